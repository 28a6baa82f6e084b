//! When a reader tells that it is late, and since when.

use maplethread_checker::{Observation, Observer};

use super::ReadTimes;

/// What is told of a read: nothing, or the time since which it may have lain unread.
fn reported_delay(looks: &mut ReadTimes, now: u64) -> Option<Option<u64>> {
    looks.delay_to_report(now).map(|seen| match seen {
        Observation::ObserverDelayed {
            observer: Observer::Hosts,
            since,
        } => since,
        other => panic!("{other:?}"),
    })
}

#[test]
fn reports_late_read_once_with_previous_poll_time() {
    let mut looks = ReadTimes::new(Observer::Hosts, 1_000_000);
    looks.polled(1_010_000, true);
    assert_eq!(reported_delay(&mut looks, 1_011_000), None, "in time");
    // The next look is 300 ms later: what it finds came at any time since the one before.
    looks.polled(1_310_000, true);
    assert_eq!(reported_delay(&mut looks, 1_311_000), Some(Some(1_010_000)));
    assert_eq!(reported_delay(&mut looks, 1_312_000), None, "told already");
    looks.polled(1_320_000, true);
    assert_eq!(
        reported_delay(&mut looks, 1_321_000),
        Some(None),
        "in time again"
    );
}

#[test]
fn ignores_poll_that_was_incomplete() {
    let mut looks = ReadTimes::new(Observer::Hosts, 1_000_000);
    looks.polled(1_010_000, true);
    for look in 1..10 {
        looks.polled(1_010_000 + look * 10_000, false);
    }
    assert_eq!(reported_delay(&mut looks, 1_101_000), Some(Some(1_010_000)));
}
