//! Reads a JSON array row by row, in steps of bounded cost.
//!
//! The steps keep a list of thousands of rows from blocking the placer's event loop. Rows that are the same as in the
//! previous list are compared byte by byte instead of parsed.

use serde_json::value::RawValue;

/// Cost limit of one step, in units of the cost of an unchanged row. On the machine of `docs/measurements.md` a step
/// takes about half a millisecond.
pub const STEP_BUDGET: usize = 2_000;
/// Fixed part of the cost of parsing a row, in units of the cost of an unchanged row.
const PARSE_COST: usize = 8;
/// Number of bytes of a row whose parsing costs one unit more.
const PARSED_BYTES_PER_UNIT: usize = 40;
/// Maximum number of rows of the previous list that are searched for an equal one, from the position reached there.
const MAX_LOOKAHEAD_ROWS: usize = 64;

/// Why a body is not a valid list.
#[derive(Debug, thiserror::Error)]
pub enum RowError {
    /// The array has more rows than allowed.
    #[error("more than {max_rows} entries")]
    TooManyRows {
        /// The maximum number of rows.
        max_rows: usize,
    },
    /// A byte that is not allowed at its position.
    #[error("unexpected {byte:?} at byte offset {offset}")]
    UnexpectedByte {
        /// Its offset in the body.
        offset: usize,
        /// The byte, as a Latin-1 character.
        byte: char,
    },
    /// The body ends inside the array.
    #[error("unexpected end at byte offset {offset}")]
    UnexpectedEnd {
        /// Where the body ends, or where the truncated row begins.
        offset: usize,
    },
    /// A row is not a JSON value.
    #[error("entry {position} at byte offset {offset}: {source}")]
    InvalidRow {
        /// The row's position, counted from 0.
        position: usize,
        /// Where it begins.
        offset: usize,
        /// The parser's error.
        source: serde_json::Error,
    },
}

/// A row's position in the body, and the value that it was parsed to.
#[derive(Clone, Copy, Debug)]
struct Row<T> {
    start: usize,
    end: usize,
    value: T,
}

/// The rows of a list, to compare the next list with.
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

/// The reader's position in the array.
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
    /// The next row of the previous list that has not been matched yet.
    cursor: usize,
    /// Number of bytes of the body that have been read.
    offset: usize,
    position: Position,
    max_rows: usize,
}

impl<T: Clone> RowReader<T> {
    /// Starts reading an array of at most `max_rows`.
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

    /// Reads rows until the budget is used up, and returns whether the array is complete. Their cost is subtracted from
    /// the budget. `parse` converts a row that is new or has changed; `take` receives every row's position and value.
    ///
    /// # Errors
    ///
    /// If the body is not a JSON array, or has too many rows.
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
                    let row_index = self.current.rows.len();
                    if row_index == self.max_rows {
                        return Err(RowError::TooManyRows {
                            max_rows: self.max_rows,
                        });
                    }
                    let (row, cost) = self.read_row(row_index, &mut parse)?;
                    take(row_index, &row.value);
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
            // Brackets and commas are one byte long; reading a row has set the offset to its end.
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
        row_index: usize,
        parse: &mut impl FnMut(&str) -> T,
    ) -> Result<(Row<T>, usize), RowError> {
        let (start, rest) = (self.offset, &self.current.body[self.offset..]);
        let candidates = self
            .previous
            .rows
            .iter()
            .enumerate()
            .skip(self.cursor)
            .take(MAX_LOOKAHEAD_ROWS);
        // An object ends with its closing brace, so equal leading bytes mean an equal object. A number has no end mark:
        // 1 is a prefix of 12.
        let is_same = |old: &Row<T>| {
            rest.first() == Some(&b'{') && rest.starts_with(&self.previous.body[old.start..old.end])
        };
        if let Some((at, old)) = candidates.clone().find(|(_, old)| is_same(old)) {
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
                    position: row_index,
                    offset: start,
                    source,
                });
            }
            None => return Err(RowError::UnexpectedEnd { offset: start }),
        };
        let length = values.byte_offset();
        let value = parse(raw.get());
        // The next row of the previous list was most likely replaced by this one if both begin alike. If the row was
        // inserted instead, the next match corrects the cursor.
        if candidates
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

    /// Whether a row and a previous row have at least a quarter of its bytes in common at the start, so that they most
    /// likely describe the same instance.
    fn is_replacement_of(&self, old: &Row<T>, rest: &[u8]) -> bool {
        let old = &self.previous.body[old.start..old.end];
        let common_prefix = old.iter().zip(rest).take_while(|(a, b)| a == b).count();
        common_prefix * 4 >= old.len()
    }

    /// The rows to compare the next list with: those of this list if it is complete, else the previous ones.
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
