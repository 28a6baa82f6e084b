//! The histogram as the status shows it.

use super::{DecisionTimes, MAX_RECORDED_US};

#[test]
fn json_gives_quantiles_and_the_counts_of_each_value() {
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
fn times_beyond_the_range_count_as_the_longest() {
    let mut times = DecisionTimes::new();
    times.record(10 * MAX_RECORDED_US);
    let max = times.to_json()["max"].as_u64().expect("a time");
    assert!(
        (MAX_RECORDED_US..10 * MAX_RECORDED_US).contains(&max),
        "{max}"
    );
}
