//! JSON output of the decision time histogram.

use super::{DecisionTimes, MAX_RECORDED_US};

#[test]
fn json_contains_quantiles_and_the_count_of_each_value() {
    let mut times = DecisionTimes::new();
    for micros in [100, 100, 200] {
        times.record(micros);
    }
    let json = times.to_json();
    assert_eq!(json["count"], 3);
    assert_eq!((&json["p50"], &json["p99"]), (&100.into(), &200.into()));
    assert_eq!(json["max"], 200);
    assert_eq!(json["counts"], serde_json::json!([[100, 2], [200, 1]]));
}

#[test]
fn times_above_the_range_are_recorded_as_the_maximum() {
    let mut times = DecisionTimes::new();
    times.record(10 * MAX_RECORDED_US);
    let max = times.to_json()["max"].as_u64().expect("max is a number");
    assert!(
        (MAX_RECORDED_US..10 * MAX_RECORDED_US).contains(&max),
        "{max}"
    );
}
