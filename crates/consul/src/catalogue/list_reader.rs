//! What the readers of all lists share: rows are parsed once, and added up to a list.

use crate::json_rows::{RowError, RowReader, Rows};

/// How the rows of one of Consul's lists are parsed, and what they add up to.
pub trait ListFormat {
    /// What a row is parsed to. It is kept for the next list, so cloning it should be cheap.
    type Row: Clone;
    /// What the rows add up to.
    type List: Default;

    /// Parses one row. A row that can't be used is a row as well, so that it does not spoil the list.
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
    /// Begins to read a list of at most `max_rows`; rows that are as in the previous list are not parsed again.
    pub fn new(body: Vec<u8>, previous: Rows<F::Row>, max_rows: usize) -> ListReader<F> {
        ListReader {
            rows: RowReader::new(body, previous, max_rows),
            list: F::List::default(),
        }
    }

    /// Reads on as far as the budget goes, which it lessens by the cost, and returns whether the list is complete.
    ///
    /// # Errors
    ///
    /// The body as a whole is no list, or a too long one.
    pub fn step(&mut self, budget: &mut usize, format: &F) -> Result<bool, RowError> {
        let list = &mut self.list;
        self.rows.step(
            budget,
            |raw| format.parse(raw),
            |position, row| F::add(list, position, row),
        )
    }

    /// The list, and its rows for the next one to be compared with. If the body was no list, the rows are those of
    /// the previous one.
    pub fn finish(self) -> (F::List, Rows<F::Row>) {
        (self.list, self.rows.into_rows())
    }
}
