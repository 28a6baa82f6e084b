//! Shared by the readers of all lists: rows are parsed once and collected into a list.

use crate::json_rows::{RowError, RowReader, Rows};

/// How the rows of one of Consul's lists are parsed, and what they are collected into.
pub trait ListFormat {
    /// The result of parsing a row. It is kept for the next list, so cloning it should be cheap.
    type Row: Clone;
    /// What the rows are collected into.
    type List: Default;

    /// Parses one row. An invalid row has a result as well, so that it does not invalidate the list.
    fn parse(&self, raw: &str) -> Self::Row;

    /// Adds the row at this position, counted from 0, to the list.
    fn add(list: &mut Self::List, position: usize, row: &Self::Row);
}

/// Reads the body of a list in steps.
pub struct ListReader<F: ListFormat> {
    rows: RowReader<F::Row>,
    list: F::List,
}

impl<F: ListFormat> ListReader<F> {
    /// Starts reading a list of at most `max_rows`. Rows that are as in the previous list are not parsed again.
    pub fn new(body: Vec<u8>, previous: Rows<F::Row>, max_rows: usize) -> ListReader<F> {
        ListReader {
            rows: RowReader::new(body, previous, max_rows),
            list: F::List::default(),
        }
    }

    /// Reads until the budget is used up, and returns whether the list is complete. Subtracts the cost from the budget.
    ///
    /// # Errors
    ///
    /// If the body is not a list, or has too many entries.
    pub fn step(&mut self, budget: &mut usize, format: &F) -> Result<bool, RowError> {
        let list = &mut self.list;
        self.rows.step(
            budget,
            |raw| format.parse(raw),
            |position, row| F::add(list, position, row),
        )
    }

    /// Returns the list, and its rows to compare the next list with. If the body was not a list, the rows are those of
    /// the previous one.
    pub fn finish(self) -> (F::List, Rows<F::Row>) {
        (self.list, self.rows.into_rows())
    }
}
