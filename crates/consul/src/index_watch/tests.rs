//! Which read comes next, and filters that match nothing.

use super::*;

const S: Micros = 1_000_000;

#[test]
fn reads_full_list_first_after_changes_and_periodically() {
    let mut watch = IndexWatch::new(true);
    assert_eq!(
        watch.next_read(0),
        NextRead::FullBlocking,
        "nothing is known yet"
    );
    watch.record_full_read(S, false, 1.0);
    assert_eq!(watch.next_read(2 * S), NextRead::IndexOnly);
    watch.record_index(false);
    assert_eq!(watch.next_read(7 * S), NextRead::IndexOnly);
    watch.record_index(true);
    assert_eq!(watch.next_read(8 * S), NextRead::Full);
    watch.record_full_read(8 * S, false, 1.0);
    assert_eq!(
        watch.next_read(8 * S + FULL_READ_INTERVAL - 1),
        NextRead::IndexOnly
    );
    assert_eq!(watch.next_read(8 * S + FULL_READ_INTERVAL), NextRead::Full);
    watch.record_full_read(8 * S, false, 0.0);
    assert_eq!(
        watch.next_read(8 * S + FULL_READ_INTERVAL / 2 - 1),
        NextRead::IndexOnly
    );
    assert_eq!(
        watch.next_read(8 * S + FULL_READ_INTERVAL / 2),
        NextRead::Full
    );
    assert_eq!(IndexWatch::new(false).next_read(0), NextRead::FullBlocking);
}

#[test]
fn disables_watch_that_missed_a_change_or_is_not_supported() {
    let mut watch = IndexWatch::new(true);
    watch.record_full_read(S, false, 0.0);
    watch.record_full_read(2 * S, true, 0.0);
    assert_eq!(watch.next_read(3 * S), NextRead::FullBlocking);
    assert_eq!(
        watch.next_read(2 * S + DISTRUST_DURATION),
        NextRead::Full,
        "tried again much later, from a whole list"
    );
    let mut watch = IndexWatch::new(true);
    watch.record_full_read(S, false, 0.0);
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
