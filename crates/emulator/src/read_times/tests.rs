//! An observer reports that it reads late, and since when.

use maplethread_checker::{Observation, Observer};

use super::ReadTimes;

/// The report for a read: none, or the time since which the data may have been unread.
fn reported_delay(read_times: &mut ReadTimes, now: u64) -> Option<Option<u64>> {
    read_times
        .delay_to_report(now)
        .map(|observation| match observation {
            Observation::ObserverDelayed {
                observer: Observer::Hosts,
                delayed_since_us: since,
            } => since,
            other => panic!("{other:?}"),
        })
}

#[test]
fn reports_late_read_once_with_previous_poll_time() {
    let mut read_times = ReadTimes::new(Observer::Hosts, 1_000_000);
    read_times.polled(1_010_000, true);
    assert_eq!(reported_delay(&mut read_times, 1_011_000), None, "in time");
    // The next poll is 300 ms later: its data may have arrived at any time since the previous poll.
    read_times.polled(1_310_000, true);
    assert_eq!(
        reported_delay(&mut read_times, 1_311_000),
        Some(Some(1_010_000))
    );
    assert_eq!(
        reported_delay(&mut read_times, 1_312_000),
        None,
        "already reported"
    );
    read_times.polled(1_320_000, true);
    assert_eq!(
        reported_delay(&mut read_times, 1_321_000),
        Some(None),
        "in time again"
    );
}

#[test]
fn ignores_poll_that_was_incomplete() {
    let mut read_times = ReadTimes::new(Observer::Hosts, 1_000_000);
    read_times.polled(1_010_000, true);
    for poll in 1..10 {
        read_times.polled(1_010_000 + poll * 10_000, false);
    }
    assert_eq!(
        reported_delay(&mut read_times, 1_101_000),
        Some(Some(1_010_000))
    );
}
