//! Numbering and eviction of changes.

use serde_json::json;

use super::{ChangeLog, MAX_CHANGES_PER_ANSWER, MAX_KEPT_CHANGES};

/// A log with `count` changes.
fn log_with(count: usize) -> ChangeLog {
    let mut log = ChangeLog::default();
    for n in 1..=count {
        log.push(n as u64 * 1000, json!(n));
    }
    log
}

#[test]
fn returns_changes_after_a_number_with_their_number_and_time() {
    let log = log_with(3);
    assert_eq!(log.next_number(), 4);
    assert_eq!(
        log.after(1),
        [
            json!({"number": 2, "at_ms": 2, "change": 2}),
            json!({"number": 3, "at_ms": 3, "change": 3}),
        ]
    );
    assert!(log.after(3).is_empty());
    assert!(!log.has_evicted_after(0));
}

#[test]
fn an_empty_log_has_evicted_nothing() {
    let log = ChangeLog::default();
    assert_eq!(log.next_number(), 1);
    assert!(log.after(0).is_empty() && !log.has_evicted_after(0));
}

#[test]
fn keeps_the_latest_changes_and_reports_that_older_ones_were_evicted() {
    let log = log_with(MAX_KEPT_CHANGES + 2);
    assert!(log.has_evicted_after(0) && log.has_evicted_after(1));
    assert!(!log.has_evicted_after(2));
    let answer = log.after(0);
    assert_eq!(answer.len(), MAX_CHANGES_PER_ANSWER);
    assert_eq!(answer[0]["number"], 3);
}
