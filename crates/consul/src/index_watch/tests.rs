//! The choice of the next read, and filters that match nothing.

use super::*;

const SECOND: Micros = 1_000_000;

#[test]
fn reads_full_list_first_after_changes_and_periodically() {
    let mut watch = IndexWatch::new(true);
    assert_eq!(
        watch.next_read(0),
        NextRead::FullBlocking,
        "no list was read yet"
    );
    watch.record_full_read(SECOND, false, 1.0);
    assert_eq!(watch.next_read(2 * SECOND), NextRead::IndexOnly);
    watch.record_index(false);
    assert_eq!(watch.next_read(7 * SECOND), NextRead::IndexOnly);
    watch.record_index(true);
    assert_eq!(watch.next_read(8 * SECOND), NextRead::Full);
    watch.record_full_read(8 * SECOND, false, 1.0);
    assert_eq!(
        watch.next_read(8 * SECOND + FULL_READ_INTERVAL - 1),
        NextRead::IndexOnly
    );
    assert_eq!(
        watch.next_read(8 * SECOND + FULL_READ_INTERVAL),
        NextRead::Full
    );
    watch.record_full_read(8 * SECOND, false, 0.0);
    assert_eq!(
        watch.next_read(8 * SECOND + FULL_READ_INTERVAL / 2 - 1),
        NextRead::IndexOnly
    );
    assert_eq!(
        watch.next_read(8 * SECOND + FULL_READ_INTERVAL / 2),
        NextRead::Full
    );
    assert_eq!(IndexWatch::new(false).next_read(0), NextRead::FullBlocking);
}

#[test]
fn disables_watch_that_missed_a_change_or_is_not_supported() {
    let mut watch = IndexWatch::new(true);
    watch.record_full_read(SECOND, false, 0.0);
    watch.record_full_read(2 * SECOND, true, 0.0);
    assert_eq!(watch.next_read(3 * SECOND), NextRead::FullBlocking);
    assert_eq!(
        watch.next_read(2 * SECOND + DISABLE_DURATION),
        NextRead::Full,
        "used again later, starting with a full list"
    );
    let mut watch = IndexWatch::new(true);
    watch.record_full_read(SECOND, false, 0.0);
    watch.disable();
    assert_eq!(watch.next_read(u64::MAX), NextRead::FullBlocking);
}

#[test]
fn match_nothing_filter_narrows_the_configured_one() {
    assert_eq!(match_nothing_filter(None), "Service.ID == \"\"");
    assert_eq!(
        match_nothing_filter(Some("a == b")),
        "a == b and Service.ID == \"\""
    );
    assert_eq!(
        match_nothing_filter(Some("a == b or c == d")),
        "(a == b or c == d) and Service.ID == \"\""
    );
}
