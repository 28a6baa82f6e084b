//! When hosts are held back, and for how long.

use super::*;

const S: Micros = 1_000_000;

fn damping() -> FlapDamping<u32> {
    FlapDamping::new(DampingPolicy::Penalty, 100, 1)
}

#[test]
fn first_return_counts_at_once() {
    let mut d = damping();
    assert!(d.observe(0, &1, true));
    assert!(!d.observe(S, &1, false));
    assert!(d.observe(2 * S, &1, true));
    assert_eq!(d.next_release(), None);
}

#[test]
fn flapping_host_is_held_until_it_settles() {
    let mut d = damping();
    let mut now = 0;
    d.observe(now, &1, true);
    let mut held = 0;
    for _ in 0..20 {
        now += S;
        assert!(!d.observe(now, &1, false), "bad news counts at once");
        now += S;
        held += u32::from(!d.observe(now, &1, true));
    }
    assert!(held >= 15, "held back {held} times of 20");
    // It has settled: back within the bound, and not told again before.
    let until = d.next_release().expect("it waits");
    assert!(until > now && until <= now + 9 * S, "{until} after {now}");
    assert!(d.release_due(until - 1).is_empty());
    assert!(!d.observe(until - 1, &1, true));
    assert_eq!(d.release_due(until), [1]);
    assert!(d.observe(until + 1, &1, true));
    assert_eq!(d.next_release(), None);
}

#[test]
fn loss_ends_a_hold_and_repeated_losses_count_once() {
    let mut d = damping();
    let mut now = 0;
    d.observe(now, &1, true);
    for _ in 0..4 {
        now += S / 2;
        d.observe(now, &1, false);
        now += S / 2;
        d.observe(now, &1, true);
    }
    assert!(d.is_held(&1));
    d.observe(now, &1, false);
    assert!(
        !d.is_held(&1) && d.release_due(now + 100 * S).is_empty(),
        "a bad host is never released"
    );
    // Saying the same again and again adds nothing: after a while it returns as if it had been lost once.
    for n in 0..40 {
        d.observe(now + n * S, &1, false);
    }
    assert!(d.observe(now + 40 * S, &1, true));
}

#[test]
fn spreads_releases_of_many_hosts_and_placers() {
    let mut at = Vec::new();
    for placer in 0..10 {
        let mut d = FlapDamping::new(DampingPolicy::Penalty, 100, placer);
        for host in 0..20u32 {
            for n in 0..6 {
                d.observe(n * S, &host, n % 2 == 0);
                d.observe(n * S + S / 2, &host, n % 2 == 1);
            }
            d.observe(6 * S, &host, false);
            d.observe(7 * S, &host, true);
        }
        while let Some(next) = d.next_release() {
            at.extend(d.release_due(next).iter().map(|_| next));
        }
    }
    assert_eq!(at.len(), 200);
    at.sort_unstable();
    let bunch = at.windows(40).map(|w| w[39] - w[0]).min().expect("many");
    assert!(bunch > S / 20, "forty of 200 releases within {bunch} us");
}

#[test]
fn off_never_holds_and_hold_always_waits() {
    let mut off = FlapDamping::new(DampingPolicy::Off, 10, 1);
    let mut hold = FlapDamping::new(DampingPolicy::Hold(3 * S), 10, 1);
    for n in 0..10 {
        off.observe(2 * n * S, &1, false);
        hold.observe(2 * n * S, &1, false);
        assert!(off.observe(2 * n * S + S, &1, true));
        assert!(!hold.observe(2 * n * S + S, &1, true));
    }
    assert_eq!(hold.next_release(), Some(22 * S));
}

#[test]
fn forgets_hosts_beyond_its_limit() {
    let mut d = FlapDamping::new(DampingPolicy::Penalty, 2, 1);
    for host in 0..5u32 {
        assert!(d.observe(0, &host, true));
    }
    assert_eq!(d.hosts.len(), 2);
    // What is beyond is not damped, and its bad news counts all the same.
    assert!(!d.observe(1, &4, false));
    assert!(d.observe(2, &4, true));
}
