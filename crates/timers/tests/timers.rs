//! Order, cancellation and size of timers.

use maplethread_timers::Timers;

#[test]
fn timers_are_due_in_the_order_of_their_times_and_then_of_scheduling() {
    let mut timers = Timers::default();
    for (at, value) in [(30, "d"), (10, "a"), (20, "c"), (10, "b")] {
        timers.schedule(at, value);
    }
    assert_eq!(timers.next_due_at(), Some(10));
    assert_eq!(timers.pop_due(9), None);
    let due: Vec<&str> = std::iter::from_fn(|| timers.pop_due(20)).collect();
    assert_eq!(due, ["a", "b", "c"]);
    assert_eq!((timers.len(), timers.pop_due(30)), (1, Some("d")));
    assert!(timers.is_empty() && timers.next_due_at().is_none());
}

#[test]
fn cancelled_timer_is_never_due_and_the_others_are() {
    let mut timers = Timers::default();
    let first = timers.schedule(10, "first");
    timers.schedule(10, "second");
    assert_eq!(timers.cancel(first), Some("first"));
    assert_eq!(timers.cancel(first), None);
    assert_eq!((timers.len(), timers.pop_due(10)), (1, Some("second")));
}

/// Guards against timers that stay in memory until they are due although they were cancelled.
#[test]
fn cancelled_timers_take_no_place() {
    let mut timers = Timers::default();
    for number in 0..100_000 {
        let id = timers.schedule(u64::MAX - number, number);
        timers.cancel(id);
    }
    assert!(timers.is_empty());
}

#[test]
fn timer_that_was_due_cannot_be_cancelled() {
    let mut timers = Timers::default();
    let id = timers.schedule(10, "value");
    assert_eq!(timers.pop_due(10), Some("value"));
    assert_eq!(timers.cancel(id), None);
}
