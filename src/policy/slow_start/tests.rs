use super::*;
use crate::interface::{MachineId, MachineState};

const SECOND: Micros = 1_000_000;

fn rules(warm_up_offers: f64) -> Rules {
    Rules {
        max_poll_interval: 10 * SECOND,
        initial_capacity_share: 0.2,
        warm_up_duration: 10 * SECOND,
        overload_multiple: 3.0,
        overload_window: 2 * SECOND,
        warm_up_offers_per_window: warm_up_offers,
    }
}

fn started_at(started_at: Option<Micros>) -> MachineEntry {
    MachineEntry {
        machine: MachineId(0),
        stable_hash: 0x5eed,
        zone: 0,
        cell: 0,
        kind: 0,
        state: MachineState::Ready,
        started_at,
        unallocated: None,
    }
}

#[test]
fn shares_of_all_replicas_add_up_to_nine_tenths_of_the_budget() {
    for replica_count in [1, 3, 7, 20, 30] {
        for hash in 0..50 {
            let shares = (0..replica_count)
                .map(|index| budget_of_replica(hash, &rules(20.0), replica_count, index));
            assert_eq!(shares.sum::<u64>(), 18, "{replica_count} replicas");
        }
    }
}

#[test]
fn offers_are_allowed_up_to_the_budget_in_every_window() {
    let (slow_start, entry) = (SlowStart::new(0), started_at(Some(SECOND)));
    let mut recent = RecentOffers::default();
    let allows =
        |recent: &RecentOffers, now| slow_start.allows_offer(&entry, recent, &rules(4.0), 1, now);
    for now in [1_000_000, 2_000_000, 2_500_000] {
        assert!(allows(&recent, now));
        recent.record(now, 2 * SECOND);
    }
    assert!(!allows(&recent, 3_000_000));
    assert!(allows(&recent, 3_000_001));
}

#[test]
fn machines_that_are_not_warming_up_have_no_offer_limit() {
    let slow_start = SlowStart::new(0);
    let recent = RecentOffers::default();
    for (entry, now, allowed) in [
        (started_at(None), SECOND, true),
        (started_at(Some(SECOND)), 11 * SECOND, true),
        (started_at(Some(SECOND)), 11 * SECOND - 1, false),
    ] {
        let allows = slow_start.allows_offer(&entry, &recent, &rules(0.0), 1, now);
        assert_eq!(allows, allowed);
    }
}

#[test]
fn no_offers_are_allowed_without_an_index_or_within_a_window_of_a_new_one() {
    let mut slow_start = SlowStart::new(0);
    let entry = started_at(Some(20 * SECOND));
    let allows = |slow_start: &SlowStart, now| {
        slow_start.allows_offer(&entry, &RecentOffers::default(), &rules(20.0), 1, now)
    };
    assert!(allows(&slow_start, 20 * SECOND));
    slow_start.set_replica_index(None, 20 * SECOND, 2 * SECOND);
    assert!(!allows(&slow_start, 25 * SECOND));
    slow_start.set_replica_index(Some(0), 25 * SECOND, 2 * SECOND);
    assert!(!allows(&slow_start, 27 * SECOND));
    assert!(allows(&slow_start, 27 * SECOND + 1));
}
