//! Machine selection by Blind GB-PANDAS while no machine fails.

mod common;
use common::*;
use maplethread::*;

/// Requests 600 placements whose clients disconnect at once, so that later decisions rarely explore.
fn end_exploration(harness: &mut Harness) {
    for n in 10_000..10_600 {
        harness.request(task(n, n, harness.now + SECOND));
        harness.turn(&[
            Event::ClientDisconnected(TaskId(n)),
            finished(n, 0, AttemptOutcome::Cancelled, None),
        ]);
    }
    harness.now += 10 * SECOND;
}

/// Requests `n` placements whose clients disconnect at once, and counts the offers to each of three machines.
fn offers_per_machine(harness: &mut Harness, n: u64, service: impl Fn(u64) -> u64) -> [u64; 3] {
    let mut offers = [0; 3];
    for i in 0..n {
        let machine = harness
            .request(task(i, service(i), harness.now + SECOND))
            .expect("an offer");
        offers[machine as usize] += 1;
        harness.turn(&[
            Event::ClientDisconnected(TaskId(i)),
            finished(i, 0, AttemptOutcome::Cancelled, None),
        ]);
        harness.now += 20 * SECOND;
    }
    offers
}

#[test]
fn least_allocated_machine_is_chosen() {
    let mut harness = Harness::new(settings(RetrySafety::Idempotent), 3);
    end_exploration(&mut harness);
    for (n, machine) in [(1, 0), (2, 0), (3, 1)] {
        let mut large = task(n, 500 + n, 0);
        large.requested = Resources::new(8.0, 16.0);
        harness.turn(&[Event::TaskAdopted {
            task: large,
            machine: MachineId(machine),
        }]);
    }
    let offers = offers_per_machine(&mut harness, 200, |i| 1_000 + i);
    assert!(offers[2] >= 195, "{offers:?}");
}

#[test]
fn emptier_machine_does_not_attract_starts_from_a_lightly_used_one_with_the_program() {
    // Machine 0 has the program and this many of 32 cores allocated. The others are empty, and one is the primary home.
    let offers_to_local_machine = |cores: f64| {
        let mut harness = Harness::new(settings(RetrySafety::Idempotent), 3);
        end_exploration(&mut harness);
        let large = Task {
            requested: Resources::new(cores, 1.0),
            ..task(1, 500, 0)
        };
        harness.turn(&[Event::TaskAdopted {
            task: large,
            machine: MachineId(0),
        }]);
        let mut offers = 0;
        for service in 0..100 {
            let small = Task {
                requested: Resources::new(0.1, 0.1),
                ..task(2_000 + service, 1_000 + service, 0)
            };
            harness.turn(&[Event::TaskAdopted {
                task: small,
                machine: MachineId(0),
            }]);
            let machine = harness
                .request(task(3_000 + service, 1_000 + service, harness.now + SECOND))
                .expect("an offer");
            offers += u64::from(machine == 0);
            for n in [2_000 + service, 3_000 + service] {
                harness.turn(&[
                    Event::ClientDisconnected(TaskId(n)),
                    finished(n, 0, AttemptOutcome::Cancelled, None),
                ]);
            }
        }
        offers
    };
    assert!(
        offers_to_local_machine(9.0) >= 95,
        "{}",
        offers_to_local_machine(9.0)
    );
    assert!(
        offers_to_local_machine(24.0) <= 80,
        "{}",
        offers_to_local_machine(24.0)
    );
}

#[test]
fn faster_machine_outweighs_a_larger_allocation() {
    let mut harness = Harness::new(settings(RetrySafety::Idempotent), 2);
    end_exploration(&mut harness);
    // Machine 0 starts the service in 0.2 s, machine 1 in 2 s; both have the program.
    let (mut n, mut starts) = (1, [0, 0]);
    while starts.iter().any(|&count| count < 8) {
        let machine = harness
            .request(task(n, 7, harness.now + 9 * SECOND))
            .expect("an offer") as usize;
        harness.turn(&[Event::AttemptAccepted {
            attempt: attempt_id(n, 0),
            elapsed: None,
        }]);
        harness.now += if machine == 0 { 200_000 } else { 2 * SECOND };
        harness.turn(&[Event::TaskReported {
            attempt: attempt_id(n, 0),
            report: TaskReport::Started,
        }]);
        starts[machine] += 1;
        n += 1;
        assert!(n < 2_000, "{starts:?}");
    }
    assert!(starts[0] > 2 * starts[1], "{starts:?}");
}

/// Adopts a small task of the service on each machine, so that all machines have the same locality.
fn run_service_on_all_machines(harness: &mut Harness, service: u64, machines: u32) {
    for n in 0..machines {
        let small = Task {
            requested: Resources::new(0.01, 0.01),
            ..task(90_000 + u64::from(n), service, 0)
        };
        harness.turn(&[Event::TaskAdopted {
            task: small,
            machine: MachineId(n),
        }]);
    }
}

#[test]
fn near_ties_are_broken_at_random() {
    let mut harness = Harness::new(settings(RetrySafety::Idempotent), 3);
    end_exploration(&mut harness);
    // No start was sampled, so all rates are equal, and all utilizations are equal as well.
    let offers = offers_per_machine(&mut harness, 300, |i| 1_000 + i);
    assert!(offers.iter().all(|&count| count > 60), "{offers:?}");
}

#[test]
fn exploration_decreases_with_the_number_of_decisions() {
    let explored = |after_many_decisions: bool| {
        let mut explorations = 0;
        for seed in 0..60 {
            let placer =
                Placer::new(settings(RetrySafety::Idempotent), seed).expect("valid settings");
            let mut harness = Harness {
                placer,
                now: SECOND,
            };
            harness.update_endpoints(UpdateScope::Full, (0..3).map(machine).collect());
            if after_many_decisions {
                end_exploration(&mut harness);
            }
            let mut large = task(1, 1, 0);
            large.requested = Resources::new(16.0, 32.0);
            harness.turn(&[
                Event::TaskAdopted {
                    task: large,
                    machine: MachineId(0),
                },
                Event::TaskAdopted {
                    task: Task {
                        id: TaskId(2),
                        ..large
                    },
                    machine: MachineId(1),
                },
            ]);
            explorations += u32::from(harness.request(task(3, 3, harness.now + SECOND)) != Some(2));
        }
        explorations
    };
    assert!(explored(false) > 25, "the first decision explores");
    assert!(explored(true) < 5, "later decisions rarely explore");
}

#[test]
fn exploration_and_ties_stay_within_feasible_machines() {
    for seed in 0..50 {
        let placer = Placer::new(settings(RetrySafety::Idempotent), seed).expect("valid settings");
        let mut harness = Harness {
            placer,
            now: SECOND,
        };
        let state = |n: u32| {
            if n == 3 {
                MachineState::Ready
            } else {
                MachineState::Draining
            }
        };
        harness.update_endpoints(
            UpdateScope::Full,
            (0..6)
                .map(|n| MachineEntry {
                    state: state(n),
                    ..machine(n)
                })
                .collect(),
        );
        assert_eq!(harness.request(task(1, 1, 9 * SECOND)), Some(3));
    }
}

#[test]
fn unreported_machine_counts_with_the_mean_allocation() {
    let mut reporting = settings(RetrySafety::Idempotent);
    reporting.endpoints_report_capacity = true;
    let mut harness = Harness::new(reporting, 0);
    let unallocated = |n| match n {
        0 => Some(Resources::new(28.0, 84.0)),
        1 => Some(Resources::new(4.0, 12.0)),
        _ => None,
    };
    harness.update_endpoints(
        UpdateScope::Full,
        (0..3)
            .map(|n| MachineEntry {
                unallocated: unallocated(n),
                ..machine(n)
            })
            .collect(),
    );
    end_exploration(&mut harness);
    run_service_on_all_machines(&mut harness, 7, 3);
    let offers = offers_per_machine(&mut harness, 200, |_| 7);
    assert!(
        offers[0] >= 190,
        "offers to the emptiest reported machine: {offers:?}"
    );
}

#[test]
fn own_placements_count_until_the_endpoint_list_includes_them() {
    let mut reporting = settings(RetrySafety::Idempotent);
    reporting.endpoints_report_capacity = true;
    let mut harness = Harness::new(reporting, 0);
    let free = Some(Resources::new(32.0, 96.0));
    harness.update_endpoints(
        UpdateScope::Full,
        (0..2)
            .map(|n| MachineEntry {
                unallocated: free,
                ..machine(n)
            })
            .collect(),
    );
    end_exploration(&mut harness);
    run_service_on_all_machines(&mut harness, 7, 2);
    let mut offers = [0; 2];
    for n in 1..=20 {
        offers[harness
            .request(task(n, 7, harness.now + SECOND))
            .expect("an offer") as usize] += 1;
    }
    assert!(
        offers.iter().all(|&count| (8..=12).contains(&count)),
        "an out-of-date list must not concentrate offers on one machine: {offers:?}"
    );
}

#[test]
fn same_seed_and_events_give_the_same_actions() {
    let run = || {
        let mut harness = Harness::new(settings(RetrySafety::Idempotent), 5);
        let mut all = Vec::new();
        for n in 0..300u64 {
            harness.now += 7_000;
            all.extend(harness.turn(&[Event::PlacementRequested(task(
                n,
                n % 9,
                harness.now + SECOND,
            ))]));
            all.extend(harness.turn(&[
                Event::AttemptAccepted {
                    attempt: attempt_id(n, 0),
                    elapsed: None,
                },
                Event::TaskReported {
                    attempt: attempt_id(n, 0),
                    report: TaskReport::Started,
                },
            ]));
            if n % 3 == 0 {
                all.extend(harness.turn(&[finished(n, 0, AttemptOutcome::Completed, None)]));
            }
        }
        all
    };
    assert_eq!(run(), run());
}

#[test]
fn late_duplicate_and_unknown_events_are_ignored() {
    let mut harness = Harness::new(settings(RetrySafety::Idempotent), 1);
    let unknown = [
        Event::AttemptAccepted {
            attempt: attempt_id(5, 0),
            elapsed: None,
        },
        Event::TaskReported {
            attempt: attempt_id(5, 0),
            report: TaskReport::Started,
        },
        Event::TaskReported {
            attempt: attempt_id(5, 3),
            report: TaskReport::ServiceShare(0.1),
        },
        finished(5, 0, AttemptOutcome::Completed, None),
        Event::ClientDisconnected(TaskId(5)),
        Event::TimerFired { label: 77 },
        Event::ProbeFinished {
            machine: MachineId(99),
            answered: true,
            load: None,
        },
        Event::PeerMessage {
            from: 3,
            bytes: vec![1],
        },
        Event::DiscoveryUnavailable,
        Event::TaskAdopted {
            task: Task {
                class: 9,
                ..task(6, 6, 0)
            },
            machine: MachineId(0),
        },
    ];
    assert!(harness.turn(&unknown).is_empty());
    let rejected = harness.turn(&[Event::PlacementRequested(Task {
        class: 9,
        ..task(7, 7, 9 * SECOND)
    })]);
    assert_eq!(
        final_answers(&rejected),
        [Action::Reject {
            task: TaskId(7),
            retry_after: None
        }]
    );
    // A time before that of an earlier turn is replaced by the earlier time.
    harness.now = 0;
    harness.request(task(8, 8, 9 * SECOND));
    assert!(
        harness
            .turn(&[
                finished(8, 0, AttemptOutcome::Completed, None),
                finished(8, 0, AttemptOutcome::Completed, None)
            ])
            .len()
            < 3
    );
}

#[test]
fn invalid_settings_are_rejected() {
    let error = |change: fn(&mut Settings)| {
        let mut settings = settings(RetrySafety::Idempotent);
        change(&mut settings);
        Placer::new(settings, 1).err()
    };
    assert_eq!(error(|_| {}), None);
    assert_eq!(
        error(|s| s.classes.clear()),
        Some(SettingsError::Empty("classes"))
    );
    assert_eq!(
        error(|s| s.machine_kinds.clear()),
        Some(SettingsError::Empty("kinds"))
    );
    assert_eq!(
        error(|s| s.classes[0].machine_kind = Some(4)),
        Some(SettingsError::UnknownMachineKind(4))
    );
    let bad: [fn(&mut Settings); 5] = [
        |s| s.cpu_overcommit = f64::NAN,
        |s| s.rules.overload_multiple = f64::INFINITY,
        |s| s.replica_count = 0,
        |s| s.replica_index = s.replica_count,
        |s| s.machine_kinds[0].memory = 0.0,
    ];
    for change in bad {
        assert!(matches!(error(change), Some(SettingsError::OutOfRange(_))));
    }
}
