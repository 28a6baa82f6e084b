//! When good reports are suppressed, and for how long.

use super::*;

const SECOND_US: Micros = 1_000_000;

fn damping() -> FlapDamping<u32> {
    FlapDamping::new(DampingPolicy::Penalty, 100, 1)
}

#[test]
fn first_return_takes_effect_at_once() {
    let mut d = damping();
    assert!(d.observe(0, &1, true));
    assert!(!d.observe(SECOND_US, &1, false));
    assert!(d.observe(2 * SECOND_US, &1, true));
    assert_eq!(d.next_release(), None);
}

#[test]
fn flapping_host_is_suppressed_until_it_settles() {
    let mut d = damping();
    let mut now = 0;
    d.observe(now, &1, true);
    let mut suppressed = 0;
    for _ in 0..20 {
        now += SECOND_US;
        assert!(
            !d.observe(now, &1, false),
            "a bad report takes effect at once"
        );
        now += SECOND_US;
        suppressed += u32::from(!d.observe(now, &1, true));
    }
    assert!(suppressed >= 15, "suppressed {suppressed} times of 20");
    // The host has settled: it is released within the bound, and not before.
    let until = d.next_release().expect("a release is due");
    assert!(
        until > now && until <= now + 9 * SECOND_US,
        "{until} after {now}"
    );
    assert!(d.release_due(until - 1).is_empty());
    assert!(!d.observe(until - 1, &1, true));
    assert_eq!(d.release_due(until), [1]);
    assert!(d.observe(until + 1, &1, true));
    assert_eq!(d.next_release(), None);
}

#[test]
fn loss_ends_suppression_and_repeated_bad_reports_count_once() {
    let mut d = damping();
    let mut now = 0;
    d.observe(now, &1, true);
    for _ in 0..4 {
        now += SECOND_US / 2;
        d.observe(now, &1, false);
        now += SECOND_US / 2;
        d.observe(now, &1, true);
    }
    assert!(d.is_suppressed(&1));
    d.observe(now, &1, false);
    assert!(
        !d.is_suppressed(&1) && d.release_due(now + 100 * SECOND_US).is_empty(),
        "a bad host is never released"
    );
    // Repeated bad reports add no penalty, so that it decays while the host is bad, and the next good report takes
    // effect at once.
    for n in 0..40 {
        d.observe(now + n * SECOND_US, &1, false);
    }
    assert!(d.observe(now + 40 * SECOND_US, &1, true));
}

#[test]
fn spreads_releases_of_many_hosts_and_placers() {
    let mut releases = Vec::new();
    for placer in 0..10 {
        let mut d = FlapDamping::new(DampingPolicy::Penalty, 100, placer);
        for host in 0..20u32 {
            for n in 0..6 {
                d.observe(n * SECOND_US, &host, n % 2 == 0);
                d.observe(n * SECOND_US + SECOND_US / 2, &host, n % 2 == 1);
            }
            d.observe(6 * SECOND_US, &host, false);
            d.observe(7 * SECOND_US, &host, true);
        }
        while let Some(next) = d.next_release() {
            releases.extend(d.release_due(next).iter().map(|_| next));
        }
    }
    assert_eq!(releases.len(), 200);
    releases.sort_unstable();
    let shortest_span = releases
        .windows(40)
        .map(|w| w[39] - w[0])
        .min()
        .expect("there are 200 releases");
    assert!(
        shortest_span > SECOND_US / 20,
        "40 of 200 releases within {shortest_span} us"
    );
}

#[test]
fn off_never_suppresses_and_hold_always_does() {
    let mut off = FlapDamping::new(DampingPolicy::Off, 10, 1);
    let mut hold = FlapDamping::new(DampingPolicy::Hold(3 * SECOND_US), 10, 1);
    for n in 0..10 {
        off.observe(2 * n * SECOND_US, &1, false);
        hold.observe(2 * n * SECOND_US, &1, false);
        assert!(off.observe(2 * n * SECOND_US + SECOND_US, &1, true));
        assert!(!hold.observe(2 * n * SECOND_US + SECOND_US, &1, true));
    }
    assert_eq!(hold.next_release(), Some(22 * SECOND_US));
}

#[test]
fn hosts_beyond_the_limit_are_not_damped() {
    let mut d = FlapDamping::new(DampingPolicy::Penalty, 2, 1);
    for host in 0..5u32 {
        assert!(d.observe(0, &host, true));
    }
    assert_eq!(d.hosts.len(), 2);
    // A host beyond the limit is not damped: bad and good reports take effect at once.
    assert!(!d.observe(1, &4, false));
    assert!(d.observe(2, &4, true));
}
