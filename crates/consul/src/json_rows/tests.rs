//! Steps, rows that are not parsed again, and agreement with `serde_json`.

use super::*;
use proptest::prelude::*;
use serde_json::Value;

/// Reads a body in steps of this budget. Returns the rows, how many of them were parsed, the number of steps, and the
/// rows to compare the next list with.
fn read(
    body: &str,
    previous: Rows<String>,
    budget: usize,
) -> (Result<Vec<String>, String>, usize, usize, Rows<String>) {
    let mut reader = RowReader::new(body.as_bytes().to_vec(), previous, 1000);
    let (mut rows, mut parsed, mut steps) = (Vec::new(), 0, 0);
    let result = loop {
        steps += 1;
        let parse = |raw: &str| {
            parsed += 1;
            raw.to_owned()
        };
        let take = |row_index: usize, value: &String| {
            assert_eq!(row_index, rows.len());
            rows.push(value.clone());
        };
        match reader.step(&mut budget.clone(), parse, take) {
            Ok(false) => {}
            Ok(true) => break Ok(rows),
            Err(e) => break Err(e.to_string()),
        }
    };
    (result, parsed, steps, reader.into_rows())
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
    let (first, parsed, steps, previous) = read(&body(&rows), Rows::default(), 100);
    assert_eq!((first.expect("a valid list").len(), parsed), (500, 500));
    assert!(steps >= 10, "{steps} steps");
    let (again, parsed, steps, previous) = read(&body(&rows), previous, 100);
    assert_eq!(
        (again.expect("a valid list").len(), parsed, steps),
        (500, 0, 6)
    );
    // Rows are changed, removed and inserted.
    rows[17].1 = 1;
    rows.drain(100..140);
    rows.insert(300, (9999, 5));
    let (changed, parsed, _, previous) = read(&body(&rows), previous, 100);
    assert_eq!(changed.expect("a valid list").len(), 461);
    assert_eq!(parsed, 2);
    // A body that is not a list leaves the rows unchanged that the next list is compared with.
    let (invalid, .., previous) = read(&body(&rows).replace("9999\"", "9999"), previous, 100);
    assert!(
        invalid
            .expect_err("the body is not a list")
            .contains("entry 300")
    );
    assert_eq!(read(&body(&rows), previous, 100).1, 0);
}

#[test]
fn parses_number_again_when_it_begins_with_an_earlier_one() {
    let (_, _, _, previous) = read("[1, 2]", Rows::default(), 9);
    assert_eq!(
        read("[12, 2]", previous, 9).0.expect("a valid list"),
        ["12", "2"]
    );
    let many = format!("[{}1]", "1,".repeat(1000));
    assert_eq!(
        read(&many, Rows::default(), 9)
            .0
            .expect_err("the list has too many rows"),
        "more than 1000 entries"
    );
}

proptest! {
    #[test]
    fn accepts_the_arrays_that_serde_json_accepts(text in "[ \\[\\],{}\"a1:]{0,12}", step in 1usize..4) {
        let expected = serde_json::from_str::<Vec<Value>>(&text).ok().map(|rows| rows.len());
        let actual = read(&text, Rows::default(), step).0.ok().map(|rows| rows.len());
        // Only acceptance and the number of rows are compared.
        prop_assert_eq!(actual, expected);
    }

    #[test]
    fn result_does_not_depend_on_previous_list(
        a in prop::collection::vec((0u32..40, 0u32..3), 0..60),
        b in prop::collection::vec((0u32..40, 0u32..3), 0..60),
    ) {
        let (_, _, _, previous) = read(&body(&a), Rows::default(), 50);
        let fresh = read(&body(&b), Rows::default(), 50).0;
        let compared = read(&body(&b), previous, 50).0;
        prop_assert_eq!(fresh, compared);
    }
}
