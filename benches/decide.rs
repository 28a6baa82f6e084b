//! Measures the time per decision by the number of machines: `cargo bench --bench decide`. Prints a checksum of all
//! decisions as well, to verify that a change does not alter any decision.

use std::time::Instant;

#[path = "../tests/common/mod.rs"]
mod common;

use maplethread::*;

const SERVICES: u64 = 300;
const REQUESTS: u64 = 20_000;
/// Requests in one turn; many at once, as after the loss of a zone.
const REQUESTS_PER_TURN: u64 = 50;

fn settings() -> Settings {
    let class = |retry_safety, limit, priority| Class {
        latency_objective: 900_000,
        spread_limit: limit,
        priority,
        ..common::class(retry_safety)
    };
    Settings {
        replica_count: 16,
        replica_index: 3,
        classes: vec![
            class(
                RetrySafety::Idempotent,
                Some(SpreadLimit {
                    level: TopologyLevel::Zone,
                    max_tasks: 4,
                }),
                0,
            ),
            class(
                RetrySafety::IdempotencyKey {
                    scope: DeduplicationScope::Zone,
                    window: 6_000_000,
                },
                None,
                1,
            ),
        ],
        machine_kinds: vec![Resources::new(32.0, 64.0)],
        acceptance_point: AcceptancePoint::Running,
        costs: Costs {
            cross_zone: 0.05,
            ..Costs::default()
        },
        ..common::settings(RetrySafety::Idempotent)
    }
}

/// Returns the time per decision in microseconds, and a checksum of all decisions.
fn run(machines: u32) -> (f64, u64) {
    let mut placer = Placer::new(settings(), 7).expect("valid settings");
    let list = (0..machines).map(|n| MachineEntry {
        stable_hash: u64::from(n) * 7919,
        zone: n % 3,
        cell: n % 16,
        ..common::machine(n)
    });
    let (mut now, mut actions, mut checksum, mut offers) = (1_000_000, Vec::new(), 0u64, 0u64);
    placer.turn(
        now,
        &[Event::EndpointsUpdated {
            scope: UpdateScope::Full,
            machines: list.collect(),
        }],
        &mut actions,
    );
    let started = Instant::now();
    let mut running: std::collections::VecDeque<AttemptId> = Default::default();
    for first in (0..REQUESTS).step_by(REQUESTS_PER_TURN as usize) {
        now += 20_000;
        let mut events = Vec::new();
        for n in first..first + REQUESTS_PER_TURN {
            let task = common::task(n, n * n % SERVICES, now + 3_000_000);
            events.push(Event::PlacementRequested(Task {
                class: usize::from(n % 10 == 0),
                ..task
            }));
        }
        while running.len() > 600 {
            let completed = AttemptResult {
                outcome: AttemptOutcome::Completed,
                reason: None,
                closes_task: true,
                load: None,
            };
            events.extend(running.pop_front().map(|id| Event::AttemptFinished {
                attempt: id,
                result: completed,
            }));
        }
        actions.clear();
        placer.turn(now, &events, &mut actions);
        let mut accepted = Vec::new();
        for action in &actions {
            if let Action::Offer { task, machine, .. } = *action {
                offers += 1;
                checksum = checksum
                    .wrapping_mul(31)
                    .wrapping_add(u64::from(machine.0) + 1);
                let id = AttemptId { task, number: 0 };
                accepted.push(Event::AttemptAccepted {
                    attempt: id,
                    elapsed: None,
                });
                running.push_back(id);
            }
        }
        now += 5_000;
        actions.clear();
        placer.turn(now, &accepted, &mut actions);
    }
    (
        started.elapsed().as_secs_f64() * 1e6 / offers.max(1) as f64,
        checksum,
    )
}

fn main() {
    for machines in [25, 100, 400, 1600] {
        let (micros, checksum) = run(machines);
        println!("{machines:5} machines: {micros:8.1} us a decision, decisions {checksum:016x}");
    }
}
