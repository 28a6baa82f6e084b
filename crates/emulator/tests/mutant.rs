//! Mutants of the random decider violate their rule reliably: mutant 5 exceeds a spread limit for every seed, and
//! mutant 6 leaves requests unanswered after every pause.

use std::collections::BTreeMap;

use maplethread::{
    Action, Event, MachineEntry, MachineId, MachineState, Resources, ServiceId, Settings, Task,
    TaskId, UpdateScope,
};
use maplethread_config::{Document, PlacerConfig};
use maplethread_emulator::mutant::{MutantOutcome, MutantResult};
use maplethread_emulator::random_choice::RandomChoice;
use maplethread_engine::Decide;

const CONFIG: &str = include_str!("../../../config/placer.toml");
/// The class with a spread limit over zones, by index.
const WEB_API: usize = 0;
/// Maximum number of tasks of a service in one zone.
const ZONE_LIMIT: u32 = 4;
const ZONES: u32 = 3;
const MACHINES: u32 = 15;

fn settings() -> Settings {
    PlacerConfig::parse(Document {
        file: "placer.toml",
        text: CONFIG,
    })
    .expect("valid settings")
    .policy_settings()
}

fn zone_of(machine: MachineId) -> u32 {
    machine.0 % ZONES
}

fn machine_entry(number: u32) -> MachineEntry {
    let machine = MachineId(number);
    MachineEntry {
        machine,
        stable_hash: u64::from(number),
        zone: zone_of(machine),
        cell: number,
        kind: 0,
        state: MachineState::Ready,
        started_at: None,
        unallocated: None,
    }
}

fn placement_requested(id: u64) -> Event {
    Event::PlacementRequested(Task {
        id: TaskId(id),
        service: ServiceId(9),
        class: WEB_API,
        requested: Resources::new(0.5, 1.0),
        expected_duration: None,
        deadline: 60_000_000,
        is_resubmission: false,
    })
}

/// Requests one task of a service more than a zone may hold, with a connection lost before each request, and returns
/// the highest number of offers to one zone.
fn max_offers_in_a_zone(mutant: u8, seed: u64) -> u32 {
    let mut placer = RandomChoice::new(settings(), seed, mutant);
    let mut actions = Vec::new();
    let machines = (0..MACHINES).map(machine_entry).collect();
    placer.turn(
        0,
        &[Event::EndpointsUpdated {
            scope: UpdateScope::Full,
            machines,
        }],
        &mut actions,
    );
    for id in 0..=u64::from(ZONE_LIMIT) {
        let lost = Event::ConnectionChanged {
            machine: MachineId(id as u32),
            is_connected: false,
        };
        placer.turn(id + 1, &[lost, placement_requested(id)], &mut actions);
    }
    let mut zones: BTreeMap<u32, u32> = BTreeMap::new();
    for action in &actions {
        if let Action::Offer { machine, .. } = action {
            *zones.entry(zone_of(*machine)).or_default() += 1;
        }
    }
    zones.values().copied().max().unwrap_or(0)
}

#[test]
fn mutant_5_exceeds_spread_limit_despite_connection_changes() {
    for seed in 0..50 {
        assert_eq!(max_offers_in_a_zone(5, seed), ZONE_LIMIT + 1, "seed {seed}");
    }
}

#[test]
fn unmutated_placer_stays_within_spread_limit() {
    for seed in 0..50 {
        assert!(max_offers_in_a_zone(0, seed) <= ZONE_LIMIT, "seed {seed}");
    }
}

#[test]
fn mutant_6_leaves_only_requests_during_pause_unanswered() {
    let mut placer = RandomChoice::new(settings(), 1, 6);
    let mut actions = Vec::new();
    let machines = (0..MACHINES).map(machine_entry).collect();
    placer.turn(
        0,
        &[Event::EndpointsUpdated {
            scope: UpdateScope::Full,
            machines,
        }],
        &mut actions,
    );
    // Mutant 6 schedules turns continuously, so that a long time between two turns can only be a pause.
    assert!(
        actions
            .iter()
            .any(|a| matches!(a, Action::SetTimer { after, .. } if *after < 300_000)),
        "{actions:?}"
    );
    let offers = |actions: &[Action], task: u64| {
        actions
            .iter()
            .any(|a| matches!(a, Action::Offer { task: id, .. } if *id == TaskId(task)))
    };
    placer.turn(100_000, &[placement_requested(1)], &mut actions);
    assert!(offers(&actions, 1));
    placer.turn(1_000_000, &[placement_requested(2)], &mut actions);
    assert!(!offers(&actions, 2), "requested during the pause");
    placer.turn(1_100_000, &[placement_requested(3)], &mut actions);
    assert!(offers(&actions, 3));
}

#[test]
fn distinguishes_missed_violation_from_no_opportunity() {
    let outcome = |made, found| {
        MutantResult {
            number: 5,
            violations_made: made,
            violations_found: found,
        }
        .outcome()
    };
    assert_eq!(outcome(0, 0), MutantOutcome::NoOpportunity);
    assert_eq!(outcome(7, 0), MutantOutcome::Missed);
    assert_eq!(outcome(7, 2), MutantOutcome::Detected);
}
