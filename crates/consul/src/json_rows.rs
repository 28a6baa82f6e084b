//! Long lists in steps: a JSON array taken in row by row, so that a list of thousands never holds up the thread that
//! decides, and so that rows that stand as they did in the last list cost a comparison of bytes and no parsing.

use serde_json::value::RawValue;

/// What one step may cost, in units of what an unchanged row costs. On the machine of `docs/measurements.md` a step
/// takes about half a millisecond.
pub const STEP_BUDGET: usize = 2_000;
/// A parsed row costs so many units, and one more for so many bytes.
const PARSE_COST: usize = 8;
/// See [`PARSED`].
const PARSED_BYTES_PER_UNIT: usize = 40;
/// How many rows of the last list are looked at for one that is the same, from the place reached there.
const MAX_LOOKAHEAD_ROWS: usize = 64;

/// A row's place in the body, and what it came to.
#[derive(Clone, Copy, Debug)]
struct Row<T> {
    start: usize,
    end: usize,
    value: T,
}

/// The last list, with which the next is compared.
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

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Position {
    /// Before the opening bracket.
    BeforeArray,
    /// After it: a row or the end.
    AfterOpeningBracket,
    /// After a row: a comma or the end.
    AfterRow,
    /// After a comma: a row.
    AfterComma,
    /// After the closing bracket.
    AfterArray,
}

/// A list on its way in.
#[derive(Debug)]
pub struct RowReader<T> {
    current: Rows<T>,
    previous: Rows<T>,
    /// The next row of the last list that has not come up.
    cursor: usize,
    offset: usize,
    position: Position,
    max_rows: usize,
}

impl<T: Clone> RowReader<T> {
    /// Begins a list that may have so many rows.
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

    /// Takes in rows for as much work as is left, which it lessens. `parse` makes a value of a row that is new or has changed;
    /// `take` gets every row with its number. Returns whether the list is at its end; an error means that it is none,
    /// and names the place.
    pub fn step(
        &mut self,
        work: &mut usize,
        mut parse: impl FnMut(&str) -> T,
        mut take: impl FnMut(usize, &T),
    ) -> Result<bool, String> {
        while *work > 0 {
            let body = &self.current.body;
            self.offset += body[self.offset..]
                .iter()
                .take_while(|b| b" \t\r\n".contains(b))
                .count();
            let octet = body.get(self.offset);
            self.position = match (self.position, octet) {
                (Position::AfterArray, None) => return Ok(true),
                (Position::BeforeArray, Some(b'[')) => Position::AfterOpeningBracket,
                (Position::AfterOpeningBracket | Position::AfterRow, Some(b']')) => {
                    Position::AfterArray
                }
                (Position::AfterRow, Some(b',')) => Position::AfterComma,
                (Position::AfterOpeningBracket | Position::AfterComma, Some(_)) => {
                    let number = self.current.rows.len();
                    if number == self.max_rows {
                        return Err(format!("more than {} entries", self.max_rows));
                    }
                    let (row, cost) = self.read_row(number, &mut parse)?;
                    take(number, &row.value);
                    self.offset = row.end;
                    self.current.rows.push(row);
                    *work = work.saturating_sub(cost);
                    Position::AfterRow
                }
                (_, Some(&octet)) => {
                    return Err(format!(
                        "octet {}: {:?} is out of place",
                        self.offset,
                        char::from(octet)
                    ));
                }
                (_, None) => return Err(format!("octet {}: it ends too early", self.offset)),
            };
            if self.position != Position::AfterRow {
                self.offset += 1;
            }
        }
        Ok(false)
    }

    fn read_row(
        &mut self,
        number: usize,
        parse: &mut impl FnMut(&str) -> T,
    ) -> Result<(Row<T>, usize), String> {
        let (from, rest) = (self.offset, &self.current.body[self.offset..]);
        let window = self
            .previous
            .rows
            .iter()
            .enumerate()
            .skip(self.cursor)
            .take(MAX_LOOKAHEAD_ROWS);
        // An object tells its own end, so what begins with the same object is that object.
        let same = |old: &Row<T>| {
            rest.first() == Some(&b'{') && rest.starts_with(&self.previous.body[old.start..old.end])
        };
        if let Some((at, old)) = window.clone().find(|(_, old)| same(old)) {
            self.cursor = at + 1;
            let (value, to) = (old.value.clone(), from + (old.end - old.start));
            return Ok((
                Row {
                    start: from,
                    end: to,
                    value,
                },
                1,
            ));
        }
        let mut values = serde_json::Deserializer::from_slice(rest).into_iter::<&RawValue>();
        let raw = match values.next() {
            Some(Ok(raw)) => raw,
            Some(Err(e)) => return Err(format!("entry {number}, from octet {from}: {e}")),
            None => return Err(format!("octet {from}: it ends too early")),
        };
        let length = values.byte_offset();
        let value = parse(raw.get());
        // A row that stands in the place of the next old one has most likely replaced it; if it was put in before it,
        // the old one is found further on in the new list and the cursor with it.
        if window
            .clone()
            .next()
            .is_some_and(|(_, old)| self.is_replacement_of(old, rest))
        {
            self.cursor += 1;
        }
        Ok((
            Row {
                start: from,
                end: from + length,
                value,
            },
            PARSE_COST + length / PARSED_BYTES_PER_UNIT,
        ))
    }

    /// Whether a row begins as an old one did for as long as two rows of different things hardly do.
    fn is_replacement_of(&self, old: &Row<T>, rest: &[u8]) -> bool {
        let old = &self.previous.body[old.start..old.end];
        let alike = old.iter().zip(rest).take_while(|(a, b)| a == b).count();
        alike * 4 >= old.len()
    }

    /// The list with which the next one is compared: this one if it came to its end, else the last.
    pub fn into_rows(self) -> Rows<T> {
        if self.position == Position::AfterArray {
            self.current
        } else {
            self.previous
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use serde_json::Value;

    /// Reads a body in steps of so much work; returns the rows and how many were parsed.
    fn read(
        body: &str,
        last: Rows<String>,
        work: usize,
    ) -> (Result<Vec<String>, String>, usize, usize, Rows<String>) {
        let mut reading = RowReader::new(body.as_bytes().to_vec(), last, 1000);
        let (mut rows, mut parsed, mut steps) = (Vec::new(), 0, 0);
        let result = loop {
            steps += 1;
            let parse = |raw: &str| {
                parsed += 1;
                raw.to_owned()
            };
            let take = |number: usize, value: &String| {
                assert_eq!(number, rows.len());
                rows.push(value.clone());
            };
            match reading.step(&mut work.clone(), parse, take) {
                Ok(false) => {}
                Ok(true) => break Ok(rows),
                Err(e) => break Err(e),
            }
        };
        (result, parsed, steps, reading.into_rows())
    }

    fn body(rows: &[(u32, u32)]) -> String {
        let row = |(id, value): &(u32, u32)| {
            format!("{{\"id\":\"{id}\",\"more\":[1,{{\"}}\":\"]\"}}],\"value\":{value}}}")
        };
        format!("[{}]", rows.iter().map(row).collect::<Vec<_>>().join(", "))
    }

    #[test]
    fn parses_only_changed_rows_and_reads_long_list_in_steps() {
        let mut rows: Vec<(u32, u32)> = (0..500).map(|id| (id, 0)).collect();
        let (first, parsed, steps, last) = read(&body(&rows), Rows::default(), 100);
        assert_eq!((first.expect("a list").len(), parsed), (500, 500));
        assert!(steps >= 10, "{steps} steps");
        let (again, parsed, steps, last) = read(&body(&rows), last, 100);
        assert_eq!((again.expect("a list").len(), parsed, steps), (500, 0, 6));
        // Changed, removed, and put in.
        rows[17].1 = 1;
        rows.drain(100..140);
        rows.insert(300, (9999, 5));
        let (news, parsed, _, last) = read(&body(&rows), last, 100);
        assert_eq!(news.expect("a list").len(), 461);
        assert_eq!(parsed, 2);
        // What is no list changes nothing of what the next is compared with.
        let (broken, .., last) = read(&body(&rows).replace("9999\"", "9999"), last, 100);
        assert!(broken.expect_err("no list").contains("entry 300"));
        assert_eq!(read(&body(&rows), last, 100).1, 0);
    }

    #[test]
    fn parses_number_again_when_it_begins_with_an_earlier_one() {
        let (_, _, _, last) = read("[1, 2]", Rows::default(), 9);
        assert_eq!(read("[12, 2]", last, 9).0.expect("a list"), ["12", "2"]);
        let many = format!("[{}1]", "1,".repeat(1000));
        assert_eq!(
            read(&many, Rows::default(), 9).0.expect_err("too many"),
            "more than 1000 entries"
        );
    }

    proptest! {
        #[test]
        fn accepts_the_arrays_that_serde_json_accepts(text in "[ \\[\\],{}\"a1:]{0,12}", step in 1usize..4) {
            let well = serde_json::from_str::<Vec<Value>>(&text).ok().map(|rows| rows.len());
            let got = read(&text, Rows::default(), step).0.ok().map(|rows| rows.len());
            // The rows' own contents are only checked for their shape here.
            prop_assert_eq!(got, well);
        }

        #[test]
        fn result_does_not_depend_on_previous_list(
            a in prop::collection::vec((0u32..40, 0u32..3), 0..60),
            b in prop::collection::vec((0u32..40, 0u32..3), 0..60),
        ) {
            let (_, _, _, last) = read(&body(&a), Rows::default(), 50);
            let fresh = read(&body(&b), Rows::default(), 50).0;
            let compared = read(&body(&b), last, 50).0;
            prop_assert_eq!(fresh, compared);
        }
    }
}
