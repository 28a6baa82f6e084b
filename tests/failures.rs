//! Regression tests: one for each fault that was found in the handling of failures.

mod common;
use common::*;
use maplethread::*;

/// Requests `n` placements at intervals of `interval`, and counts the offers to machine 0. `react` returns the events
/// that follow each offer.
fn count_offers_to_first_machine(
    harness: &mut Harness,
    n: u64,
    interval: Micros,
    react: impl Fn(u64, u32) -> Vec<Event>,
) -> u64 {
    let mut offers_to_first = 0;
    for i in 0..n {
        harness.now += interval;
        let machine = harness
            .request(task(i, 100 + i, harness.now + SECOND))
            .expect("an offer");
        offers_to_first += u64::from(machine == 0);
        let mut events = react(i, machine);
        events.push(Event::ClientDisconnected(TaskId(i)));
        harness.turn(&events);
    }
    offers_to_first
}

fn accepted_started_and_completed(i: u64) -> Vec<Event> {
    let start = Event::TaskReported {
        attempt: attempt_id(i, 0),
        report: TaskReport::Started,
    };
    vec![
        Event::AttemptAccepted {
            attempt: attempt_id(i, 0),
            elapsed: None,
        },
        start,
        finished(i, 0, AttemptOutcome::Completed, None),
    ]
}

#[test]
fn fast_failures_do_not_attract_more_offers() {
    for outcome in [
        AttemptOutcome::Error,
        AttemptOutcome::Disconnected,
        AttemptOutcome::ConnectFailed,
        AttemptOutcome::TimedOut,
    ] {
        let mut harness = Harness::new(settings(RetrySafety::Idempotent), 3);
        let offers_to_first =
            count_offers_to_first_machine(&mut harness, 300, 40_000, |i, machine| match machine {
                0 => vec![finished(i, 0, outcome, None)],
                _ => accepted_started_and_completed(i),
            });
        assert!(
            offers_to_first <= 12,
            "{outcome:?}: {offers_to_first} of 300"
        );
        // The machine gets offers again, and is used once it works.
        harness.now += 10 * SECOND;
        let mut offers_after_recovery = 0;
        for i in 1_000..1_100u64 {
            harness.now += 40_000;
            offers_after_recovery +=
                u64::from(harness.request(task(i, i, harness.now + SECOND)) == Some(0));
            harness.turn(&accepted_started_and_completed(i));
        }
        assert!(
            offers_after_recovery > 10,
            "{outcome:?}: {offers_after_recovery} of 100 after it works again"
        );
    }
}

#[test]
fn task_that_fails_on_every_machine_ejects_none() {
    // Some tasks fail on every machine. Their errors must not eject machines for other tasks.
    let mut harness = Harness::new(settings(RetrySafety::Idempotent), 3);
    let mut offers = [0; 3];
    for i in 0..200u64 {
        harness.now += 20_000;
        let failing = 1_000 + i;
        let first = harness
            .request(task(failing, failing, harness.now + SECOND))
            .expect("an offer");
        let second =
            offered_machine(&harness.turn(&[finished(failing, 0, AttemptOutcome::Error, None)]))
                .expect("another offer");
        assert_ne!(
            first, second,
            "the first error counts until another machine returns one as well"
        );
        harness.turn(&[finished(failing, 1, AttemptOutcome::Error, None)]);
        harness.turn(&[finished(failing, 2, AttemptOutcome::Error, None)]);
        let machine = harness
            .request(task(i, 100 + i, harness.now + SECOND))
            .expect("an offer");
        offers[machine as usize] += 1;
        harness.turn(&accepted_started_and_completed(i));
    }
    assert!(offers.iter().all(|&n| n > 30), "{offers:?} of 200");
}

#[test]
fn occasional_lost_answers_do_not_eject_a_live_machine() {
    // On any machine a connection may break or an answer may be lost, while running tasks continue to report.
    let offers_to_first = |outcome: AttemptOutcome, lost_one_in: u64| {
        let mut harness = Harness::new(settings(RetrySafety::Idempotent), 3);
        let mut long_running = 1_000;
        while harness.request_and_start(
            task(long_running, long_running, harness.now + SECOND),
            100_000,
        ) != 0
        {
            long_running += 1;
        }
        let (mut offer_count, mut offers_to_first) = (0, 0);
        for i in 0..300u64 {
            harness.now += 40_000;
            harness.turn(&[Event::TaskReported {
                attempt: attempt_id(long_running, 0),
                report: TaskReport::ServiceShare(1.0),
            }]);
            let machine = harness
                .request(task(i, 100 + i, harness.now + SECOND))
                .expect("an offer");
            offer_count += u64::from(machine == 0);
            offers_to_first += u64::from(machine == 0);
            harness.now += 1_000;
            let is_lost = machine == 0 && offer_count % lost_one_in == 0;
            let mut events = if is_lost {
                vec![finished(i, 0, outcome, None)]
            } else {
                accepted_started_and_completed(i)
            };
            events.push(Event::ClientDisconnected(TaskId(i)));
            harness.turn(&events);
        }
        offers_to_first
    };
    for outcome in [AttemptOutcome::Disconnected, AttemptOutcome::TimedOut] {
        assert!(
            offers_to_first(outcome, 5) > 50,
            "{outcome:?}, one in five: {}",
            offers_to_first(outcome, 5)
        );
        assert!(
            offers_to_first(outcome, 1) < 15,
            "{outcome:?}, each one: {}",
            offers_to_first(outcome, 1)
        );
    }
}

#[test]
fn failing_machine_stays_ejected_when_its_tasks_run_elsewhere() {
    let mut harness = Harness::new(settings(RetrySafety::Idempotent), 3);
    let mut offers_to_first = 0;
    for i in 0..200u64 {
        harness.now += 20_000;
        let mut machine = harness
            .request(task(i, 100 + i, harness.now + SECOND))
            .expect("an offer");
        let mut number = 0;
        while machine == 0 {
            offers_to_first += 1;
            machine =
                offered_machine(&harness.turn(&[finished(i, number, AttemptOutcome::Error, None)]))
                    .expect("another offer");
            number += 1;
        }
        let start = Event::TaskReported {
            attempt: attempt_id(i, number),
            report: TaskReport::Started,
        };
        harness.turn(&[
            Event::AttemptAccepted {
                attempt: attempt_id(i, number),
                elapsed: None,
            },
            start,
            finished(i, number, AttemptOutcome::Completed, None),
        ]);
    }
    assert!(offers_to_first <= 6, "{offers_to_first}");
}

#[test]
fn preempting_task_considers_headroom_on_all_machines() {
    let offers_to_empty = |priority: u32| {
        let mut settings = settings(RetrySafety::Idempotent);
        settings.classes.push(Class {
            priority,
            ..class(RetrySafety::Idempotent)
        });
        let mut harness = Harness::new(settings, 12);
        let running_task = |n: u64| Task {
            requested: Resources::new(12.0, 24.0),
            ..task(n, n, 0)
        };
        let full: Vec<Event> = (1..12)
            .map(|n| Event::TaskAdopted {
                task: running_task(n),
                machine: MachineId(n as u32),
            })
            .collect();
        harness.turn(&full);
        let large = |n: u64| Task {
            class: 1,
            requested: Resources::new(22.0, 40.0),
            ..task(n, n, 10 * SECOND)
        };
        let request = |n: u64| {
            let machine = harness.request(large(n));
            harness.turn(&[
                finished(n, 0, AttemptOutcome::Completed, None),
                Event::ClientDisconnected(TaskId(n)),
            ]);
            machine
        };
        (100..160).map(request).filter(|m| *m == Some(0)).count()
    };
    assert!(offers_to_empty(1) > 50, "{} of 60", offers_to_empty(1));
    assert!(
        offers_to_empty(0) < 40,
        "a task that does not preempt stays on machines that rank first: {} of 60",
        offers_to_empty(0)
    );
}

#[test]
fn underserved_task_migrates_once_a_machine_has_headroom() {
    // Returns whether a task on machine 0 migrates that reports these service shares, one every second. A task on
    // machine 1 reports `other_share`.
    let migrated = |priority: u32, service_shares: &[f64], other_share: f64| {
        let mut settings = settings(RetrySafety::Idempotent);
        settings.classes.push(Class {
            priority,
            ..class(RetrySafety::Idempotent)
        });
        let mut harness = Harness::new(settings, 2);
        let large = Task {
            class: 1,
            requested: Resources::new(8.0, 16.0),
            ..task(7, 7, 0)
        };
        harness.turn(&[
            Event::TaskAdopted {
                task: large,
                machine: MachineId(0),
            },
            Event::TaskAdopted {
                task: task(8, 8, 0),
                machine: MachineId(1),
            },
        ]);
        let mut all = Vec::new();
        for &share in service_shares {
            harness.now += SECOND;
            let reports = [
                Event::TaskReported {
                    attempt: attempt_id(8, 0),
                    report: TaskReport::ServiceShare(other_share),
                },
                Event::TaskReported {
                    attempt: attempt_id(7, 0),
                    report: TaskReport::ServiceShare(share),
                },
            ];
            all.extend(harness.turn(&reports));
        }
        all.contains(&Action::Migrate(TaskId(7)))
    };
    assert!(migrated(1, &[0.1, 0.0, 0.2], 1.0));
    assert!(
        !migrated(1, &[0.1, 0.0], 1.0),
        "underserved for one second only"
    );
    assert!(
        !migrated(1, &[0.1, 0.9, 0.1, 0.1], 1.0),
        "recovered in between"
    );
    assert!(
        !migrated(0, &[0.1, 0.0, 0.2, 0.1], 1.0),
        "tasks of priority 0 do not migrate"
    );
    assert!(
        !migrated(1, &[0.1, 0.0, 0.2, 0.1], 0.5),
        "no machine with headroom"
    );
}

#[test]
fn restarted_machine_has_no_recorded_failures() {
    let mut harness = Harness::new(settings(RetrySafety::Idempotent), 1);
    for i in 0..6 {
        harness.request(task(i, i, harness.now + SECOND));
        harness.turn(&[
            finished(i, 0, AttemptOutcome::Error, None),
            Event::ClientDisconnected(TaskId(i)),
        ]);
    }
    let mut machines = vec![machine(0), machine(1)];
    machines[0].started_at = Some(harness.now);
    harness.update_endpoints(UpdateScope::Full, machines);
    let offers_to_first = count_offers_to_first_machine(&mut harness, 60, 200_000, |i, _| {
        accepted_started_and_completed(i)
    });
    assert!(offers_to_first > 10, "{offers_to_first} of 60");
}

#[test]
fn offers_continue_when_every_machine_is_ejected() {
    let mut harness = Harness::new(settings(RetrySafety::Idempotent), 2);
    for i in 0..8 {
        harness.request(task(i, i, harness.now + SECOND));
        harness.turn(&[
            Event::ClientDisconnected(TaskId(i)),
            finished(i, 0, AttemptOutcome::TimedOut, None),
        ]);
    }
    assert!(
        harness
            .request(task(100, 100, harness.now + SECOND))
            .is_some(),
        "a task was blocked although all machines are only ejected"
    );
}

#[test]
fn attempt_timeout_grows_with_each_attempt_of_the_same_task_only() {
    // If all machines answer slowly, a constant timeout would start one duplicate of a task after another. The timeouts
    // of one task must not lengthen those of other tasks.
    let mut harness = Harness::new(settings(RetrySafety::Idempotent), 4);
    let deadline = harness.now + 60 * SECOND;
    let mut timeout_after = |event| offer_timeout(&harness.turn(&[event])).expect("an offer");
    let first = timeout_after(Event::PlacementRequested(task(1, 1, deadline)));
    assert!(first < 4 * SECOND, "{first}");
    let second = timeout_after(finished(1, 0, AttemptOutcome::TimedOut, None));
    assert!(second > first + first / 2, "{first} then {second}");
    assert_eq!(
        timeout_after(Event::PlacementRequested(task(2, 2, deadline))),
        first
    );
}

#[test]
fn full_machine_is_skipped_for_tasks_as_large_but_not_for_smaller_ones() {
    let mut harness = Harness::new(settings(RetrySafety::NonIdempotent), 1);
    let large = Task {
        requested: Resources::new(8.0, 8.0),
        ..task(1, 1, 9 * SECOND)
    };
    assert_eq!(harness.request(large), Some(0));
    let again = harness.turn(&[finished(
        1,
        0,
        AttemptOutcome::Rejected,
        Some(FailureReason::InsufficientCores),
    )]);
    assert_eq!(offered_machine(&again), None, "no offer during the backoff");
    assert_eq!(
        harness.request(task(2, 2, 9 * SECOND)),
        Some(0),
        "a smaller task may fit"
    );
    let later = harness.advance_until(harness.now + 2 * SECOND, &[0]);
    assert_eq!(
        offered_machine(&later),
        Some(0),
        "offered again after the backoff"
    );
}

#[test]
fn consecutive_rejections_back_off_longer_until_one_is_accepted() {
    let mut harness = Harness::new(settings(RetrySafety::Idempotent), 1);
    let mut offers = 0;
    for n in 0..1_000u64 {
        harness.now += 20_000;
        if harness.request(task(n, n, harness.now + SECOND)).is_some() {
            offers += 1;
            let rejected = finished(
                n,
                0,
                AttemptOutcome::Rejected,
                Some(FailureReason::QueueFull),
            );
            harness.turn(&[Event::ClientDisconnected(TaskId(n)), rejected]);
        }
    }
    assert!((10..30).contains(&offers), "{offers} offers in 20 s");
    harness.now += 2 * SECOND;
    assert_eq!(
        harness.request(task(5_000, 1, harness.now + SECOND)),
        Some(0)
    );
    harness.turn(&accepted_started_and_completed(5_000));
    assert_eq!(
        harness.request(task(5_001, 1, harness.now + SECOND)),
        Some(0),
        "an acceptance ends the backoff"
    );
}

#[test]
fn contended_machines_are_skipped_for_a_while() {
    for task_report in [
        TaskReport::ServiceShare(0.5),
        TaskReport::MachineMemoryShare(0.97),
    ] {
        let mut harness = Harness::new(settings(RetrySafety::Idempotent), 2);
        harness.turn(&[Event::TaskAdopted {
            task: task(900, 900, 0),
            machine: MachineId(0),
        }]);
        let react = |i: u64, _| {
            [
                accepted_started_and_completed(i),
                vec![Event::TaskReported {
                    attempt: attempt_id(900, 0),
                    report: task_report,
                }],
            ]
            .concat()
        };
        harness.turn(&[Event::TaskReported {
            attempt: attempt_id(900, 0),
            report: task_report,
        }]);
        assert_eq!(
            count_offers_to_first_machine(&mut harness, 50, 100_000, react),
            0,
            "{task_report:?}"
        );
        // Once contention is no longer reported, and the other machine is fuller, the machine is used again.
        harness.now += 3 * SECOND;
        let large = Task {
            requested: Resources::new(16.0, 16.0),
            ..task(901, 901, 0)
        };
        harness.turn(&[Event::TaskAdopted {
            task: large,
            machine: MachineId(1),
        }]);
        assert!(
            count_offers_to_first_machine(&mut harness, 50, 100_000, |i, _| {
                accepted_started_and_completed(i)
            }) > 40,
            "{task_report:?}"
        );
    }
}

#[test]
fn restarted_machine_counts_as_having_no_program() {
    // Ten services have tasks on machine 0. The machine restarts and loses them, or they complete.
    let offers_to_former_machine = |restarts: bool| {
        let mut harness = Harness::new(settings(RetrySafety::Idempotent), 4);
        harness.now += 20 * SECOND;
        let small = |n| Task {
            requested: Resources::new(0.1, 0.1),
            ..task(n, n, 0)
        };
        let tasks: Vec<Event> = (0..10)
            .map(|n| Event::TaskAdopted {
                task: small(n),
                machine: MachineId(0),
            })
            .collect();
        harness.turn(&tasks);
        harness.now += SECOND;
        if restarts {
            let entry = MachineEntry {
                started_at: Some(harness.now),
                ..machine(0)
            };
            harness.now += 100_000;
            harness.update_endpoints(UpdateScope::Delta, vec![entry]);
        }
        let outcome = if restarts {
            AttemptOutcome::Disconnected
        } else {
            AttemptOutcome::Completed
        };
        harness.turn(
            &(0..10)
                .map(|n| finished(n, 0, outcome, None))
                .collect::<Vec<_>>(),
        );
        // A report of another task on the machine shows that it is alive.
        harness.turn(&[
            Event::TaskAdopted {
                task: small(50),
                machine: MachineId(0),
            },
            Event::TaskReported {
                attempt: attempt_id(50, 0),
                report: TaskReport::ServiceShare(1.0),
            },
        ]);
        let offers = (0..10).map(|n| {
            harness.request(Task {
                id: TaskId(100 + n),
                deadline: harness.now + SECOND,
                ..small(n)
            })
        });
        offers.filter(|machine| *machine == Some(0)).count()
    };
    assert!(
        offers_to_former_machine(false) >= 9,
        "{}",
        offers_to_former_machine(false)
    );
    assert!(
        offers_to_former_machine(true) <= 6,
        "{}",
        offers_to_former_machine(true)
    );
}

#[test]
fn service_is_placed_where_its_program_is_loaded() {
    let mut harness = Harness::new(settings(RetrySafety::Idempotent), 4);
    // A small task of each service runs on one machine; starts elsewhere take ten times as long.
    for service in 0..20u64 {
        let small = Task {
            requested: Resources::new(0.1, 0.1),
            ..task(5_000 + service, service, 0)
        };
        harness.turn(&[Event::TaskAdopted {
            task: small,
            machine: MachineId((service % 4) as u32),
        }]);
    }
    let mut local_offers = 0;
    for n in 0..600u64 {
        let machine = harness
            .request(task(n, n % 20, harness.now + 9 * SECOND))
            .expect("an offer");
        let is_local = u64::from(machine) == n % 4;
        local_offers += u64::from(is_local && n >= 400);
        harness.now += if is_local { 100_000 } else { SECOND };
        harness.turn(&accepted_started_and_completed(n));
        harness.now += 9 * SECOND;
    }
    assert!(
        local_offers > 150,
        "{local_offers} of 200; a random selection gives about 50"
    );
}

#[test]
fn no_more_machines_are_used_than_needed_when_they_have_a_cost() {
    let machines_used = |cost: f64| {
        let mut settings_with_cost = settings(RetrySafety::Idempotent);
        (
            settings_with_cost.endpoints_report_capacity,
            settings_with_cost.costs.machines_in_use,
        ) = (true, cost);
        let mut harness = Harness::new(settings_with_cost, 0);
        let free = |n: u32| {
            Some(if n < 2 {
                Resources::new(24.0, 72.0)
            } else {
                Resources::new(32.0, 96.0)
            })
        };
        harness.update_endpoints(
            UpdateScope::Full,
            (0..8)
                .map(|n| MachineEntry {
                    unallocated: free(n),
                    ..machine(n)
                })
                .collect(),
        );
        let mut offers = [0; 8];
        for n in 0..300 {
            let machine = harness
                .request(task(n, n, harness.now + SECOND))
                .expect("an offer");
            offers[machine as usize] += 1;
            harness.turn(&accepted_started_and_completed(n));
        }
        offers.iter().filter(|&&n| n > 0).count()
    };
    assert_eq!(machines_used(0.2), 1);
    assert!(machines_used(0.0) >= 6);
}

#[test]
fn timeout_shortens_once_answers_are_quick_for_every_retry_safety() {
    // With a long timeout, a machine that does not answer offers of one class would hold a non-idempotent task until its
    // deadline. If the task is returned earlier, its owner finds out that it does not run, and resubmits it.
    for retry_safety in [RetrySafety::Idempotent, RetrySafety::NonIdempotent] {
        let mut harness = Harness::new(settings(retry_safety), 3);
        for n in 0..30 {
            harness
                .request(task(n, 1, harness.now + 9 * SECOND))
                .expect("an offer");
            harness.now += 20_000;
            harness.turn(&[
                Event::AttemptAccepted {
                    attempt: attempt_id(n, 0),
                    elapsed: None,
                },
                finished(n, 0, AttemptOutcome::Completed, None),
            ]);
        }
        let actions = harness.turn(&[Event::PlacementRequested(task(
            99,
            1,
            harness.now + 9 * SECOND,
        ))]);
        let timeout = offer_timeout(&actions);
        assert!(
            timeout.is_some_and(|timeout| timeout > 60_000 && timeout < SECOND),
            "{retry_safety:?}: {timeout:?}"
        );
    }
}

#[test]
fn placers_do_not_all_choose_the_same_few_machines_with_headroom() {
    let (mut offers_with_headroom, placers) = (0, 200);
    for index in 0..placers {
        let mut reporting = settings(RetrySafety::Idempotent);
        (
            reporting.endpoints_report_capacity,
            reporting.replica_count,
            reporting.replica_index,
        ) = (true, placers, index);
        let placer = Placer::new(reporting, u64::from(index)).expect("valid settings");
        let mut harness = Harness {
            placer,
            now: SECOND,
        };
        // Three of twenty machines have headroom.
        let unallocated = |n: u32| {
            if n < 3 {
                Resources::new(8.0, 24.0)
            } else {
                Resources::new(3.0, 9.0)
            }
        };
        let entry = |n: u32| MachineEntry {
            unallocated: Some(unallocated(n)),
            ..machine(n)
        };
        harness.update_endpoints(UpdateScope::Full, (0..20).map(entry).collect());
        offers_with_headroom += u32::from(
            harness
                .request(task(1, u64::from(index), 9 * SECOND))
                .expect("an offer")
                < 3,
        );
    }
    assert!(
        offers_with_headroom < placers * 3 / 4,
        "{offers_with_headroom} of {placers}"
    );
    assert!(
        offers_with_headroom > placers / 5,
        "headroom is still preferred: {offers_with_headroom} of {placers}"
    );
}

#[test]
fn failing_class_is_ejected_and_readmitted_without_affecting_other_classes() {
    let mut two_classes = settings(RetrySafety::Idempotent);
    two_classes.classes.push(class(RetrySafety::Idempotent));
    let mut harness = Harness::new(two_classes, 2);
    let task_of_class = |n: u64, class: usize| Task {
        class,
        ..task(n, n, 900 * SECOND)
    };
    harness.turn(&[
        Event::TaskAdopted {
            task: task_of_class(9_999, 1),
            machine: MachineId(0),
        },
        Event::TaskAdopted {
            task: task_of_class(9_998, 1),
            machine: MachineId(1),
        },
    ]);
    // Class 0 fails on machine 0 in some phases; class 1 is served there all the time.
    let mut n = 0;
    let mut offers_to_first = |harness: &mut Harness, class: usize, fails: bool| {
        let mut offers = 0;
        for _ in 0..40 {
            n += 1;
            // A task that runs there continues to report its usage.
            harness.turn(&[Event::TaskReported {
                attempt: attempt_id(9_999, 0),
                report: TaskReport::CoresUsed(0.5),
            }]);
            let machine = harness.request(task_of_class(n, class)).expect("an offer");
            offers += u32::from(machine == 0);
            if machine == 0 && fails {
                harness.turn(&[
                    finished(n, 0, AttemptOutcome::TimedOut, None),
                    Event::ClientDisconnected(TaskId(n)),
                    finished(n, 1, AttemptOutcome::Disconnected, None),
                ]);
            } else {
                harness.turn(&[
                    Event::AttemptAccepted {
                        attempt: attempt_id(n, 0),
                        elapsed: None,
                    },
                    Event::TaskReported {
                        attempt: attempt_id(n, 0),
                        report: TaskReport::Started,
                    },
                ]);
                harness.turn(&[finished(n, 0, AttemptOutcome::Completed, None)]);
            }
            harness.now += 20_000;
        }
        offers
    };
    assert!(offers_to_first(&mut harness, 1, false) > 5);
    assert!(
        offers_to_first(&mut harness, 0, true) < 5,
        "the failing class gets no more offers there"
    );
    assert!(
        offers_to_first(&mut harness, 1, false) > 5,
        "the other class is still offered there"
    );
    assert!(
        offers_to_first(&mut harness, 0, true) < 5,
        "starts of the other class do not end the ejection"
    );
    harness.now += 60 * SECOND;
    assert!(
        offers_to_first(&mut harness, 0, false) > 5,
        "the failing class is offered there again once it works"
    );
}

#[test]
fn stalled_placer_does_not_count_its_pause_as_answer_time() {
    // Answers that arrive while the placer's process is stalled are applied late. Timeouts must depend only on the time
    // that the machine took to answer.
    let timeout_after_stalls = |elapsed: Option<Micros>| {
        let mut harness = Harness::new(settings(RetrySafety::Idempotent), 3);
        for n in 0..30 {
            harness
                .request(task(n, 1, harness.now + 9 * SECOND))
                .expect("an offer");
            harness.now += 1_500_000;
            harness.turn(&[
                Event::AttemptAccepted {
                    attempt: attempt_id(n, 0),
                    elapsed,
                },
                finished(n, 0, AttemptOutcome::Completed, None),
            ]);
        }
        let actions = harness.turn(&[Event::PlacementRequested(task(
            99,
            1,
            harness.now + 9 * SECOND,
        ))]);
        offer_timeout(&actions)
    };
    assert!(timeout_after_stalls(None) > Some(SECOND));
    assert!(timeout_after_stalls(Some(20_000)).is_some_and(|timeout| timeout < SECOND));
}

#[test]
fn events_that_arrived_during_a_stall_are_applied_before_any_offer() {
    let mut harness = Harness::new(settings(RetrySafety::Idempotent), 2);
    let drained = MachineEntry {
        state: MachineState::Draining,
        ..machine(0)
    };
    harness.now += 2 * SECOND;
    // The drain is the last event, after twenty requests.
    let mut backlog: Vec<Event> = (0..20)
        .map(|n| Event::PlacementRequested(task(n, n, harness.now + 5 * SECOND)))
        .collect();
    backlog.push(Event::EndpointsUpdated {
        scope: UpdateScope::Delta,
        machines: vec![drained],
    });
    let actions = harness.turn(&backlog);
    let offers = actions
        .iter()
        .filter(|a| matches!(a, Action::Offer { .. }))
        .count();
    let to_other = actions
        .iter()
        .filter(|a| {
            matches!(
                a,
                Action::Offer {
                    machine: MachineId(1),
                    ..
                }
            )
        })
        .count();
    assert_eq!((offers, to_other), (20, 20));
}

#[test]
fn cross_zone_offers_are_weighed_by_their_cost() {
    // The service runs on a machine in each zone, so the machines differ only in their zone.
    let offers_to_other_zone = |cost: f64| {
        let mut settings_with_cost = settings(RetrySafety::Idempotent);
        settings_with_cost.costs.cross_zone = cost;
        let mut harness = Harness::new(settings_with_cost, 0);
        harness.update_endpoints(
            UpdateScope::Full,
            (0..2)
                .map(|n| MachineEntry {
                    zone: n,
                    ..machine(n)
                })
                .collect(),
        );
        harness.turn(&[
            Event::TaskAdopted {
                task: task(998, 1, 0),
                machine: MachineId(0),
            },
            Event::TaskAdopted {
                task: task(999, 1, 0),
                machine: MachineId(1),
            },
        ]);
        let mut cross_zone_offers = 0;
        for n in 0..200 {
            cross_zone_offers += harness
                .request(task(n, 1, harness.now + SECOND))
                .expect("an offer");
            harness.turn(&accepted_started_and_completed(n));
        }
        cross_zone_offers
    };
    assert!(offers_to_other_zone(0.05) < 20);
    assert!(offers_to_other_zone(0.0) > 60);
}

#[test]
fn restarted_placer_uses_its_restored_list_until_a_newer_one() {
    let mut polling = settings(RetrySafety::Idempotent);
    polling.discovery = DiscoveryMode::Poll;
    let placer = Placer::new(polling, 3).expect("valid settings");
    let mut harness = Harness {
        placer,
        now: SECOND,
    };
    harness.update_endpoints(UpdateScope::Restored, vec![machine(0), machine(1)]);
    assert!(harness.request(task(1, 1, harness.now + SECOND)).is_some());
    let drained = MachineEntry {
        state: MachineState::Draining,
        ..machine(0)
    };
    harness.update_endpoints(UpdateScope::Delta, vec![drained]);
    for n in 2..30 {
        assert_eq!(harness.request(task(n, n, harness.now + SECOND)), Some(1));
    }
}

#[test]
fn disconnected_machine_gets_no_offers_and_uses_no_attempts() {
    let mut harness = Harness::new(settings(RetrySafety::Idempotent), 2);
    harness.turn(&[
        Event::ConnectionChanged {
            machine: MachineId(0),
            is_connected: false,
        },
        Event::ConnectionChanged {
            machine: MachineId(1),
            is_connected: false,
        },
    ]);
    // No machine is connected, so the task is blocked: neither offered nor rejected.
    let actions = harness.turn(&[Event::PlacementRequested(task(
        1,
        5,
        harness.now + 10 * SECOND,
    ))]);
    assert_eq!(offered_machine(&actions), None);
    assert!(final_answers(&harness.advance_until(harness.now + SECOND, &[0])).is_empty());
    // The first machine that is connected again gets the offer, which is the first attempt.
    harness.turn(&[Event::ConnectionChanged {
        machine: MachineId(1),
        is_connected: true,
    }]);
    let actions = harness.advance_until(harness.now + SECOND, &[0]);
    assert_eq!(offered_machine(&actions), Some(1));
    // A lost connection takes effect in the turn in which it is reported.
    let lost = [
        finished(1, 0, AttemptOutcome::Disconnected, None),
        Event::ConnectionChanged {
            machine: MachineId(1),
            is_connected: false,
        },
        Event::ConnectionChanged {
            machine: MachineId(0),
            is_connected: true,
        },
    ];
    assert_eq!(offered_machine(&harness.turn(&lost)), Some(0));
    // Without a connection until the deadline, the task is rejected in time.
    let mut harness = Harness::new(settings(RetrySafety::NonIdempotent), 1);
    harness.turn(&[Event::ConnectionChanged {
        machine: MachineId(0),
        is_connected: false,
    }]);
    let deadline = harness.now + 2 * SECOND;
    harness.turn(&[Event::PlacementRequested(task(1, 5, deadline))]);
    let actions = harness.advance_until(deadline, &[0, 2]);
    assert_eq!(
        final_answers(&actions),
        [Action::Reject {
            task: TaskId(1),
            retry_after: None
        }]
    );
    assert_eq!(offered_machine(&actions), None);
}

/// One of four placers with four machines, with its share (three) of the limit of twelve starts in progress. Returns
/// the next free task number as well.
fn harness_with_starts_at_the_limit() -> (Harness, u64) {
    let mut shared = settings(RetrySafety::Idempotent);
    shared.replica_count = 4;
    let mut harness = Harness::new(shared, 4);
    for n in 0..3 {
        harness.request(task(n, n, 100 * SECOND)).expect("an offer");
        harness.turn(&[Event::AttemptAccepted {
            attempt: attempt_id(n, 0),
            elapsed: None,
        }]);
    }
    (harness, 3)
}

fn resubmitted(n: u64, deadline: Micros) -> Task {
    Task {
        is_resubmission: true,
        ..task(n, n, deadline)
    }
}

#[test]
fn resubmitted_tasks_are_deferred_behind_first_starts() {
    let (mut harness, next) = harness_with_starts_at_the_limit();
    assert_eq!(
        harness.request(resubmitted(next, 100 * SECOND)),
        None,
        "its share of the starts is in progress"
    );
    assert!(
        harness.request(task(next + 1, 9, 100 * SECOND)).is_some(),
        "a first submission is not deferred"
    );
    assert_eq!(
        offered_machine(&harness.turn(&[Event::AttemptAccepted {
            attempt: attempt_id(next + 1, 0),
            elapsed: None
        }])),
        None
    );
    // Once two of its four starts in progress have finished, this placer is below its share of three.
    harness.now += 50_000;
    let started = |n| Event::TaskReported {
        attempt: attempt_id(n, 0),
        report: TaskReport::Started,
    };
    assert_eq!(offered_machine(&harness.turn(&[started(0)])), None);
    let offered = harness.turn(&[started(1)]);
    assert!(
        offered
            .iter()
            .any(|a| matches!(a, Action::Offer { task: t, .. } if t.0 == next)),
        "{offered:?}"
    );
    harness.turn(&[Event::AttemptAccepted {
        attempt: attempt_id(next, 0),
        elapsed: None,
    }]);
    assert!(
        harness
            .request(resubmitted(next + 2, 100 * SECOND))
            .is_none(),
        "the start of the resubmitted task counts as well"
    );
}

#[test]
fn deferral_ends_even_if_starts_are_never_reported() {
    let (mut harness, next) = harness_with_starts_at_the_limit();
    let start = harness.now;
    assert_eq!(
        harness.request(resubmitted(next, start + 100 * SECOND)),
        None
    );
    assert_eq!(harness.request(resubmitted(next + 1, start + SECOND)), None);
    // A task is deferred for at most a second, and for at most half of the time until its deadline.
    assert!(offered_machine(&harness.advance_until(start + 400_000, &[0])).is_none());
    let sooner = harness.advance_until(start + 710_000, &[0]);
    assert!(
        sooner
            .iter()
            .any(|a| matches!(a, Action::Offer { task: t, .. } if t.0 == next + 1)),
        "{sooner:?}"
    );
    let late = harness.advance_until(start + 1_210_000, &[0]);
    assert!(
        late.iter()
            .any(|a| matches!(a, Action::Offer { task: t, .. } if t.0 == next)),
        "{late:?}"
    );
}

#[test]
fn finished_or_running_attempts_do_not_count_as_starts_in_progress() {
    let (mut harness, next) = harness_with_starts_at_the_limit();
    assert_eq!(harness.request(resubmitted(next, 100 * SECOND)), None);
    let after_usage = harness.turn(&[Event::TaskReported {
        attempt: attempt_id(1, 0),
        report: TaskReport::CoresUsed(0.5),
    }]);
    assert!(
        after_usage
            .iter()
            .any(|a| matches!(a, Action::Offer { task: t, .. } if t.0 == next)),
        "{after_usage:?}"
    );
    harness.turn(&[Event::AttemptAccepted {
        attempt: attempt_id(next, 0),
        elapsed: None,
    }]);
    assert_eq!(harness.request(resubmitted(next + 1, 100 * SECOND)), None);
    let after_end = harness.turn(&[finished(0, 0, AttemptOutcome::Disconnected, None)]);
    assert!(
        after_end
            .iter()
            .any(|a| matches!(a, Action::Offer { task: t, .. } if t.0 == next + 1)),
        "{after_end:?}"
    );
    // Duplicate and late events do not count again.
    let duplicates = [
        Event::AttemptAccepted {
            attempt: attempt_id(2, 0),
            elapsed: None,
        },
        Event::AttemptAccepted {
            attempt: attempt_id(2, 0),
            elapsed: None,
        },
    ];
    harness.turn(&duplicates);
    harness.turn(&[
        Event::TaskReported {
            attempt: attempt_id(2, 0),
            report: TaskReport::Started,
        },
        Event::AttemptAccepted {
            attempt: attempt_id(2, 0),
            elapsed: None,
        },
    ]);
    assert!(
        harness
            .request(resubmitted(next + 2, 100 * SECOND))
            .is_some(),
        "one start is in progress, of a share of three"
    );
}

#[test]
fn deferred_task_is_dropped_when_its_client_disconnects() {
    let (mut harness, next) = harness_with_starts_at_the_limit();
    assert_eq!(harness.request(resubmitted(next, 100 * SECOND)), None);
    let is_for_task = |a: &Action| matches!(a, Action::Offer { task: t, .. } | Action::Reject { task: t, .. } if t.0 == next);
    harness.turn(&[Event::ClientDisconnected(TaskId(next))]);
    let actions = harness.turn(&[Event::TaskReported {
        attempt: attempt_id(0, 0),
        report: TaskReport::Started,
    }]);
    assert!(!actions.iter().any(is_for_task), "{actions:?}");
    let actions = harness.advance_until(110 * SECOND, &[0, next + 1]);
    assert!(!actions.iter().any(is_for_task), "{actions:?}");
}

/// Guards against blocked tasks that stay queued after their requests were cancelled: they took memory, and each tick tried
/// a few of them in place of tasks that need an answer.
#[test]
fn cancelled_blocked_tasks_do_not_delay_others() {
    let mut harness = Harness::new(settings(RetrySafety::Idempotent), 0);
    for n in 1..=5_000 {
        assert_eq!(harness.request(task(n, n, 900 * SECOND)), None);
        harness.turn(&[Event::ClientDisconnected(TaskId(n))]);
    }
    assert_eq!(harness.request(task(9_999, 1, 900 * SECOND)), None);
    harness.update_endpoints(UpdateScope::Delta, vec![machine(4)]);
    harness.now += 400_000;
    let actions = harness.turn(&[Event::TimerFired {
        label: TICK_TIMER_LABEL,
    }]);
    assert_eq!(offered_machine(&actions), Some(4));
}

/// Guards against clients that hand over tasks which no machine runs and so leave no room for requests.
#[test]
fn more_adopted_tasks_than_a_machine_can_hold_do_not_shut_out_requests() {
    let mut harness = Harness::new(settings(RetrySafety::Idempotent), 2);
    let adopted = |i: u64| Event::TaskAdopted {
        task: task(i, 1000 + i, 0),
        machine: MachineId((i % 2) as u32),
    };
    // Each machine has 32 cores and accepts 1.5 times that; a task requests one core.
    let genuine: Vec<Event> = (0..96).map(adopted).collect();
    harness.turn(&genuine);
    let request = |harness: &mut Harness, n: u64| {
        let deadline = harness.now + SECOND;
        let machine = harness.request(task(n, n, deadline));
        harness.turn(&[Event::ClientDisconnected(TaskId(n))]);
        machine
    };
    assert_eq!(request(&mut harness, 5000), None, "both machines are full");
    let made_up: Vec<Event> = (96..700).map(adopted).collect();
    harness.turn(&made_up);
    assert!(request(&mut harness, 5001).is_some());
    // The machines report on the tasks that exist, and these count.
    let reports: Vec<Event> = (0..96)
        .map(|i| Event::TaskReported {
            attempt: attempt_id(i, 0),
            report: TaskReport::CoresUsed(0.5),
        })
        .collect();
    harness.turn(&reports);
    assert_eq!(request(&mut harness, 5002), None, "both machines are full");
    let ends: Vec<Event> = (0..700)
        .map(|i| finished(i, 0, AttemptOutcome::Completed, None))
        .collect();
    harness.turn(&ends);
    assert!(request(&mut harness, 5003).is_some());
}
