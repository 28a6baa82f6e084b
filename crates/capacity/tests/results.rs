//! Reading results: what is wrong is told with file and place.

mod support;

use maplethread_capacity::{Phase, parse_result};
use support::sweep;

const FILE: &str = "docs/capacity/workers.json";

fn serialized_result(change: impl Fn(&mut serde_json::Value)) -> String {
    let mut json = serde_json::to_value(sweep(&[100, 200], &[Phase::Rest])).expect("JSON");
    change(&mut json);
    serde_json::to_string_pretty(&json).expect("JSON")
}

fn error_of(text: &str) -> String {
    parse_result(FILE, text)
        .expect_err("not a result")
        .to_string()
}

#[test]
fn parses_what_was_serialized() {
    let read = parse_result(FILE, &serialized_result(|_| {})).expect("a result");
    assert_eq!(read, sweep(&[100, 200], &[Phase::Rest]));
}

#[test]
fn rejects_invalid_json_with_file_and_position() {
    let error = error_of("{\n  \"format\": 1,\n  \"sweep\": }");
    assert!(
        error.starts_with("docs/capacity/workers.json: line 3, column 12: "),
        "{error}"
    );
}

#[test]
fn rejects_unknown_key_with_file_and_line() {
    let text = serialized_result(|json| json["points"][1]["weather"] = "fine".into());
    let line = 1 + text
        .lines()
        .position(|line| line.contains("weather"))
        .expect("the key");
    let error = error_of(&text);
    assert!(
        error.starts_with(&format!("{FILE}: line {line}, column ")),
        "{error}"
    );
    assert!(error.contains("unknown field `weather`"), "{error}");
}

#[test]
fn rejects_unknown_format_before_unknown_keys() {
    let text = serialized_result(|json| {
        json["format"] = 2.into();
        json["new_key"] = 1.into();
    });
    assert_eq!(
        error_of(&text),
        format!("{FILE}: format 2 is unknown; this program reads format 1")
    );
}

#[test]
fn rejects_sweep_name_that_differs_from_its_file() {
    let text = serialized_result(|json| json["sweep"] = "tasks".into());
    assert_eq!(
        error_of(&text),
        format!("{FILE}: holds the sweep `tasks`; its file has to be named tasks.json")
    );
}

#[test]
fn rejects_impossible_values_with_their_point() {
    let no_length = serialized_result(|json| json["points"][1]["phases"][0]["seconds"] = 0.into());
    let problem = "phase rest: seconds has to be a number from 0.001 to 1000000000";
    assert_eq!(
        error_of(&no_length),
        format!("{FILE}: points[1]: {problem}")
    );
    let negative = serialized_result(|json| {
        json["points"][0]["phases"][0]["placers"][1]["cpu_cores"] = (-1).into()
    });
    let problem = "phase rest: cpu_cores has to be a number from 0 to 1000000000";
    assert_eq!(error_of(&negative), format!("{FILE}: points[0]: {problem}"));
    let rate =
        serialized_result(|json| json["points"][0]["settings"]["starts_per_second"] = (-1).into());
    assert_eq!(
        error_of(&rate),
        format!("{FILE}: points[0]: settings: rates have to be numbers from 0 to 1000000000")
    );
    let twice = serialized_result(|json| {
        let phase = json["points"][0]["phases"][0].clone();
        json["points"][0]["phases"]
            .as_array_mut()
            .expect("phases")
            .push(phase);
    });
    assert_eq!(
        error_of(&twice),
        format!("{FILE}: points[0]: phase rest is there twice")
    );
}
