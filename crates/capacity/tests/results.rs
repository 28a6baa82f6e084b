//! Parsing results: errors name the file and the position.

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
fn serialized_result_is_parsed_back() {
    let parsed = parse_result(FILE, &serialized_result(|_| {})).expect("a result");
    assert_eq!(parsed, sweep(&[100, 200], &[Phase::Rest]));
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
    let text = serialized_result(|json| json["points"][1]["unknown"] = "value".into());
    let line = 1 + text
        .lines()
        .position(|line| line.contains("unknown"))
        .expect("the key");
    let error = error_of(&text);
    assert!(
        error.starts_with(&format!("{FILE}: line {line}, column ")),
        "{error}"
    );
    assert!(error.contains("unknown field `unknown`"), "{error}");
}

#[test]
fn reports_unsupported_format_version_before_unknown_keys() {
    let text = serialized_result(|json| {
        json["format"] = 2.into();
        json["new_key"] = 1.into();
    });
    assert_eq!(
        error_of(&text),
        format!("{FILE}: unsupported format version 2; this program reads version 1")
    );
}

#[test]
fn rejects_sweep_name_that_differs_from_its_file() {
    let text = serialized_result(|json| json["sweep"] = "tasks".into());
    assert_eq!(
        error_of(&text),
        format!("{FILE}: contains the sweep `tasks`; the file must be named tasks.json")
    );
}

#[test]
fn rejects_out_of_range_values_and_names_their_point() {
    let zero_length =
        serialized_result(|json| json["points"][1]["phases"][0]["seconds"] = 0.into());
    let problem = "phase rest: seconds must be a number from 0.001 to 1000000000";
    assert_eq!(
        error_of(&zero_length),
        format!("{FILE}: points[1]: {problem}")
    );
    let negative_cpu = serialized_result(|json| {
        json["points"][0]["phases"][0]["placers"][1]["cpu_cores"] = (-1).into()
    });
    let problem = "phase rest: cpu_cores must be a number from 0 to 1000000000";
    assert_eq!(
        error_of(&negative_cpu),
        format!("{FILE}: points[0]: {problem}")
    );
    let negative_rate =
        serialized_result(|json| json["points"][0]["settings"]["starts_per_second"] = (-1).into());
    assert_eq!(
        error_of(&negative_rate),
        format!("{FILE}: points[0]: settings: rates must be numbers from 0 to 1000000000")
    );
    let repeated_phase = serialized_result(|json| {
        let phase = json["points"][0]["phases"][0].clone();
        json["points"][0]["phases"]
            .as_array_mut()
            .expect("phases")
            .push(phase);
    });
    assert_eq!(
        error_of(&repeated_phase),
        format!("{FILE}: points[0]: phase rest occurs twice")
    );
}
