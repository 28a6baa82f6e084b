//! Arrivals are drawn from the seed alone, and as many as the load calls for.

use super::*;

#[test]
fn arrivals_depend_only_on_seed() {
    let day = Scenario::standard();
    let first = arrivals(&day, 4);
    assert_eq!(first, arrivals(&day, 4));
    assert_ne!(first, arrivals(&day, 5));
    assert!(first.is_sorted_by_key(|a| a.at_us));
    // Their number is what the load calls for, within what chance does.
    let rate =
        |s: f64| day.load_at(s) * overload_factor(&day, s) * day.cores() / day.core_seconds();
    let expected: f64 = (0..300).map(|i| rate(f64::from(i) / 10.0) / 10.0).sum();
    let share = first.len() as f64 / expected;
    assert!((0.9..1.1).contains(&share), "{} of {expected}", first.len());
}
