//! Arrivals depend only on the seed, and their number matches the load.

use super::*;

#[test]
fn arrivals_depend_only_on_seed() {
    let scenario = Scenario::standard();
    let first = arrivals(&scenario, 4);
    assert_eq!(first, arrivals(&scenario, 4));
    assert_ne!(first, arrivals(&scenario, 5));
    assert!(first.is_sorted_by_key(|a| a.at_us));
    // Their number matches the load, within random variation.
    let rate = |s: f64| {
        scenario.load_at(s) * overload_factor(&scenario, s) * scenario.total_cores()
            / scenario.mean_core_seconds()
    };
    let expected: f64 = (0..300).map(|i| rate(f64::from(i) / 10.0) / 10.0).sum();
    let share = first.len() as f64 / expected;
    assert!((0.9..1.1).contains(&share), "{} of {expected}", first.len());
}
