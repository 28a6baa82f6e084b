//! Long lists in steps: a JSON array read row by row.
//!
//! A list of thousands of rows never holds up the thread that decides, and rows that are as in the previous list cost
//! a comparison of bytes instead of parsing.

use serde_json::value::RawValue;

/// What one step may cost, in units of what an unchanged row costs. On the machine of `docs/measurements.md` a step
/// takes about half a millisecond.
pub const STEP_BUDGET: usize = 2_000;
/// What parsing a row costs, in units of an unchanged row...
const PARSE_COST: usize = 8;
/// ...and one unit more for so many bytes.
const PARSED_BYTES_PER_UNIT: usize = 40;
/// How many rows of the previous list are looked at, from the place reached there, for one that is the same.
const MAX_LOOKAHEAD_ROWS: usize = 64;

/// Why a body is no list.
#[derive(Debug, thiserror::Error)]
pub enum RowError {
    /// The array has more rows than allowed.
    #[error("more than {max_rows} entries")]
    TooManyRows {
        /// The most rows that are allowed.
        max_rows: usize,
    },
    /// A byte that can't stand there.
    #[error("octet {offset}: {byte:?} is out of place")]
    UnexpectedByte {
        /// Its offset in the body.
        offset: usize,
        /// The byte, as a Latin-1 character.
        byte: char,
    },
    /// The body ends inside the array.
    #[error("octet {offset}: it ends too early")]
    UnexpectedEnd {
        /// Where it ends, or where the row begins that is cut short.
        offset: usize,
    },
    /// A row is no JSON value.
    #[error("entry {position}, from octet {offset}: {source}")]
    InvalidRow {
        /// The row's position, counted from 0.
        position: usize,
        /// Where it begins.
        offset: usize,
        /// What the parser says.
        source: serde_json::Error,
    },
}

/// Where a row stands in the body, and what it was parsed to.
#[derive(Clone, Copy, Debug)]
struct Row<T> {
    start: usize,
    end: usize,
    value: T,
}

/// The rows of a list, with which the next list is compared.
#[derive(Debug)]
pub struct Rows<T> {
    body: Vec<u8>,
    rows: Vec<Row<T>>,
}

impl<T> Default for Rows<T> {
    fn default() -> Rows<T> {
        Rows {
            body: Vec::new(),
            rows: Vec::new(),
        }
    }
}

/// Where the reader stands in the array.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Position {
    /// Before the opening bracket.
    BeforeArray,
    /// After it: a row or the end follows.
    AfterOpeningBracket,
    /// After a row: a comma or the end follows.
    AfterRow,
    /// After a comma: a row follows.
    AfterComma,
    /// After the closing bracket.
    AfterArray,
}

/// Reads a JSON array in steps.
#[derive(Debug)]
pub struct RowReader<T> {
    current: Rows<T>,
    previous: Rows<T>,
    /// The next row of the previous list that has not been found again.
    cursor: usize,
    /// How much of the body has been read, in bytes.
    offset: usize,
    position: Position,
    max_rows: usize,
}

impl<T: Clone> RowReader<T> {
    /// Begins to read an array of at most `max_rows`.
    pub fn new(body: Vec<u8>, previous: Rows<T>, max_rows: usize) -> RowReader<T> {
        let rows = Vec::with_capacity(previous.rows.len().min(max_rows));
        RowReader {
            current: Rows { body, rows },
            previous,
            cursor: 0,
            offset: 0,
            position: Position::BeforeArray,
            max_rows,
        }
    }

    /// Reads rows as far as the budget goes, which it lessens by their cost, and returns whether the array is
    /// complete. `parse` makes a value of a row that is new or has changed; `take` gets every row's position and value.
    ///
    /// # Errors
    ///
    /// The body is no JSON array, or has too many rows. The error names the place.
    pub fn step(
        &mut self,
        budget: &mut usize,
        mut parse: impl FnMut(&str) -> T,
        mut take: impl FnMut(usize, &T),
    ) -> Result<bool, RowError> {
        while *budget > 0 {
            self.skip_whitespace();
            let byte = self.current.body.get(self.offset);
            self.position = match (self.position, byte) {
                (Position::AfterArray, None) => return Ok(true),
                (Position::BeforeArray, Some(b'[')) => Position::AfterOpeningBracket,
                (Position::AfterOpeningBracket | Position::AfterRow, Some(b']')) => {
                    Position::AfterArray
                }
                (Position::AfterRow, Some(b',')) => Position::AfterComma,
                (Position::AfterOpeningBracket | Position::AfterComma, Some(_)) => {
                    let number = self.current.rows.len();
                    if number == self.max_rows {
                        return Err(RowError::TooManyRows {
                            max_rows: self.max_rows,
                        });
                    }
                    let (row, cost) = self.read_row(number, &mut parse)?;
                    take(number, &row.value);
                    self.offset = row.end;
                    self.current.rows.push(row);
                    *budget = budget.saturating_sub(cost);
                    Position::AfterRow
                }
                (_, Some(&byte)) => {
                    return Err(RowError::UnexpectedByte {
                        offset: self.offset,
                        byte: char::from(byte),
                    });
                }
                (_, None) => {
                    return Err(RowError::UnexpectedEnd {
                        offset: self.offset,
                    });
                }
            };
            // Brackets and commas are one byte; a row has moved the offset to its own end.
            if self.position != Position::AfterRow {
                self.offset += 1;
            }
        }
        Ok(false)
    }

    fn skip_whitespace(&mut self) {
        self.offset += self.current.body[self.offset..]
            .iter()
            .take_while(|byte| b" \t\r\n".contains(byte))
            .count();
    }

    /// Reads the row at the offset, and returns it with its cost.
    fn read_row(
        &mut self,
        number: usize,
        parse: &mut impl FnMut(&str) -> T,
    ) -> Result<(Row<T>, usize), RowError> {
        let (start, rest) = (self.offset, &self.current.body[self.offset..]);
        let lookahead = self
            .previous
            .rows
            .iter()
            .enumerate()
            .skip(self.cursor)
            .take(MAX_LOOKAHEAD_ROWS);
        // An object shows its own end, so what begins with the same object is that object. A number does not.
        let is_same = |old: &Row<T>| {
            rest.first() == Some(&b'{') && rest.starts_with(&self.previous.body[old.start..old.end])
        };
        if let Some((at, old)) = lookahead.clone().find(|(_, old)| is_same(old)) {
            self.cursor = at + 1;
            let row = Row {
                start,
                end: start + (old.end - old.start),
                value: old.value.clone(),
            };
            return Ok((row, 1));
        }
        let mut values = serde_json::Deserializer::from_slice(rest).into_iter::<&RawValue>();
        let raw = match values.next() {
            Some(Ok(raw)) => raw,
            Some(Err(source)) => {
                return Err(RowError::InvalidRow {
                    position: number,
                    offset: start,
                    source,
                });
            }
            None => return Err(RowError::UnexpectedEnd { offset: start }),
        };
        let length = values.byte_offset();
        let value = parse(raw.get());
        // A row that stands in the place of the next old one has most likely replaced it. If it was put in before it,
        // the old one is found further on in the new list, and the cursor with it.
        if lookahead
            .clone()
            .next()
            .is_some_and(|(_, old)| self.is_replacement_of(old, rest))
        {
            self.cursor += 1;
        }
        let row = Row {
            start,
            end: start + length,
            value,
        };
        Ok((row, PARSE_COST + length / PARSED_BYTES_PER_UNIT))
    }

    /// Whether a row begins like an old one for so long that it hardly describes anything else.
    fn is_replacement_of(&self, old: &Row<T>, rest: &[u8]) -> bool {
        let old = &self.previous.body[old.start..old.end];
        let alike = old.iter().zip(rest).take_while(|(a, b)| a == b).count();
        alike * 4 >= old.len()
    }

    /// The rows with which the next list is compared: those of this list if it is complete, else the previous ones.
    pub fn into_rows(self) -> Rows<T> {
        if self.position == Position::AfterArray {
            self.current
        } else {
            self.previous
        }
    }
}

#[cfg(test)]
mod tests;
