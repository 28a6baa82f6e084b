//! Regressions: one test for each failure that was found.

mod common;
use common::*;
use maplethread::*;

/// How many of `n` requests, `every` apart, are offered to machine 0; `react` returns what becomes of each offer.
fn count_offers_to_first_machine(
    harness: &mut Harness,
    n: u64,
    every: Micros,
    react: impl Fn(u64, u32) -> Vec<Event>,
) -> u64 {
    let mut to_zero = 0;
    for i in 0..n {
        harness.now += every;
        let machine = harness
            .request(task(i, 100 + i, harness.now + SECOND))
            .expect("an offer");
        to_zero += u64::from(machine == 0);
        let mut events = react(i, machine);
        events.push(Event::ClientDisconnected(TaskId(i)));
        harness.turn(&events);
    }
    to_zero
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
    for ending in [
        AttemptOutcome::Error,
        AttemptOutcome::Disconnected,
        AttemptOutcome::ConnectFailed,
        AttemptOutcome::TimedOut,
    ] {
        let mut harness = Harness::new(settings(RetrySafety::Idempotent), 3);
        let to_zero =
            count_offers_to_first_machine(&mut harness, 300, 40_000, |i, machine| match machine {
                0 => vec![finished(i, 0, ending, None)],
                _ => accepted_started_and_completed(i),
            });
        assert!(to_zero <= 12, "{ending:?}: {to_zero} of 300");
        // The machine is tried again, and used once it works.
        harness.now += 10 * SECOND;
        let mut works = 0;
        for i in 1_000..1_100u64 {
            harness.now += 40_000;
            works += u64::from(harness.request(task(i, i, harness.now + SECOND)) == Some(0));
            harness.turn(&accepted_started_and_completed(i));
        }
        assert!(works > 10, "{ending:?}: {works} of 100 once it is well");
    }
}

#[test]
fn task_that_fails_on_every_machine_ejects_none() {
    // Some requests fail on every machine: each such task is tried on several, and others must not suffer for it.
    let mut harness = Harness::new(settings(RetrySafety::Idempotent), 3);
    let mut to = [0; 3];
    for i in 0..200u64 {
        harness.now += 20_000;
        let odd = 1_000 + i;
        let first = harness
            .request(task(odd, odd, harness.now + SECOND))
            .expect("an offer");
        let second =
            offered_machine(&harness.turn(&[finished(odd, 0, AttemptOutcome::Error, None)]))
                .expect("another offer");
        assert_ne!(
            first, second,
            "the first error counts until another machine errs too"
        );
        harness.turn(&[finished(odd, 1, AttemptOutcome::Error, None)]);
        harness.turn(&[finished(odd, 2, AttemptOutcome::Error, None)]);
        let machine = harness
            .request(task(i, 100 + i, harness.now + SECOND))
            .expect("an offer");
        to[machine as usize] += 1;
        harness.turn(&accepted_started_and_completed(i));
    }
    assert!(to.iter().all(|&n| n > 30), "{to:?} of 200");
}

#[test]
fn occasional_lost_answers_do_not_eject_a_live_machine() {
    // Connections break and answers are lost on any machine; tasks that run there go on reporting.
    let to_zero = |ending: AttemptOutcome, every: u64| {
        let mut harness = Harness::new(settings(RetrySafety::Idempotent), 3);
        let mut standing = 1_000;
        while harness.request_and_start(task(standing, standing, harness.now + SECOND), 100_000)
            != 0
        {
            standing += 1;
        }
        let (mut offers, mut to_zero) = (0, 0);
        for i in 0..300u64 {
            harness.now += 40_000;
            harness.turn(&[Event::TaskReported {
                attempt: attempt_id(standing, 0),
                report: TaskReport::ServiceShare(1.0),
            }]);
            let machine = harness
                .request(task(i, 100 + i, harness.now + SECOND))
                .expect("an offer");
            offers += u64::from(machine == 0);
            to_zero += u64::from(machine == 0);
            harness.now += 1_000;
            let spoilt = machine == 0 && offers % every == 0;
            let mut events = if spoilt {
                vec![finished(i, 0, ending, None)]
            } else {
                accepted_started_and_completed(i)
            };
            events.push(Event::ClientDisconnected(TaskId(i)));
            harness.turn(&events);
        }
        to_zero
    };
    for ending in [AttemptOutcome::Disconnected, AttemptOutcome::TimedOut] {
        assert!(
            to_zero(ending, 5) > 50,
            "{ending:?}, one in five: {}",
            to_zero(ending, 5)
        );
        assert!(
            to_zero(ending, 1) < 15,
            "{ending:?}, each one: {}",
            to_zero(ending, 1)
        );
    }
}

#[test]
fn failing_machine_stays_ejected_when_its_tasks_run_elsewhere() {
    let mut harness = Harness::new(settings(RetrySafety::Idempotent), 3);
    let mut to_zero = 0;
    for i in 0..200u64 {
        harness.now += 20_000;
        let mut machine = harness
            .request(task(i, 100 + i, harness.now + SECOND))
            .expect("an offer");
        let mut number = 0;
        while machine == 0 {
            to_zero += 1;
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
    assert!(to_zero <= 6, "{to_zero}");
}

#[test]
fn preempting_task_looks_for_headroom_on_all_machines() {
    let to_empty = |priority: u32| {
        let mut settings = settings(RetrySafety::Idempotent);
        settings.classes.push(Class {
            priority,
            ..class(RetrySafety::Idempotent)
        });
        let mut harness = Harness::new(settings, 12);
        let running = |n: u64| Task {
            requested: Resources::new(12.0, 24.0),
            ..task(n, n, 0)
        };
        let full: Vec<Event> = (1..12)
            .map(|n| Event::TaskAdopted {
                task: running(n),
                machine: MachineId(n as u32),
            })
            .collect();
        harness.turn(&full);
        let large = |n: u64| Task {
            class: 1,
            requested: Resources::new(22.0, 40.0),
            ..task(n, n, 10 * SECOND)
        };
        let ask = |n: u64| {
            let machine = harness.request(large(n));
            harness.turn(&[
                finished(n, 0, AttemptOutcome::Completed, None),
                Event::ClientDisconnected(TaskId(n)),
            ]);
            machine
        };
        (100..160).map(ask).filter(|m| *m == Some(0)).count()
    };
    assert!(to_empty(1) > 50, "{} of 60", to_empty(1));
    assert!(
        to_empty(0) < 40,
        "what pushes nobody out stays near home: {} of 60",
        to_empty(0)
    );
}

#[test]
fn underserved_task_migrates_once_a_machine_has_headroom() {
    // Whether a task on machine 0 migrates, with a report every second. A task on machine 1 reports how full that is.
    let moved = |priority: u32, served: &[f64], other: f64| {
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
        for &x in served {
            harness.now += SECOND;
            let notes = [
                Event::TaskReported {
                    attempt: attempt_id(8, 0),
                    report: TaskReport::ServiceShare(other),
                },
                Event::TaskReported {
                    attempt: attempt_id(7, 0),
                    report: TaskReport::ServiceShare(x),
                },
            ];
            all.extend(harness.turn(&notes));
        }
        all.contains(&Action::Migrate(TaskId(7)))
    };
    assert!(moved(1, &[0.1, 0.0, 0.2], 1.0));
    assert!(!moved(1, &[0.1, 0.0], 1.0), "not at the first sign");
    assert!(!moved(1, &[0.1, 0.9, 0.1, 0.1], 1.0), "it had recovered");
    assert!(
        !moved(0, &[0.1, 0.0, 0.2, 0.1], 1.0),
        "small ones by the hundred stay where they are"
    );
    assert!(!moved(1, &[0.1, 0.0, 0.2, 0.1], 0.5), "nowhere better");
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
    let mut two = vec![machine(0), machine(1)];
    two[0].started_at = Some(harness.now);
    harness.update_endpoints(UpdateScope::Full, two);
    let to_zero = count_offers_to_first_machine(&mut harness, 60, 200_000, |i, _| {
        accepted_started_and_completed(i)
    });
    assert!(to_zero > 10, "{to_zero} of 60");
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
        "held for nothing"
    );
}

#[test]
fn attempt_timeout_grows_with_each_attempt_of_the_same_task_only() {
    // Slow answers everywhere must not cause one copy after the other; one silent class must not slow the others.
    let mut harness = Harness::new(settings(RetrySafety::Idempotent), 4);
    let give_up_at = harness.now + 60 * SECOND;
    let mut wait = |event| offer_timeout(&harness.turn(&[event])).expect("an offer");
    let first = wait(Event::PlacementRequested(task(1, 1, give_up_at)));
    assert!(first < 4 * SECOND, "{first}");
    let second = wait(finished(1, 0, AttemptOutcome::TimedOut, None));
    assert!(second > first + first / 2, "{first} then {second}");
    assert_eq!(
        wait(Event::PlacementRequested(task(2, 2, give_up_at))),
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
        Some(FailureReason::Cores),
    )]);
    assert_eq!(offered_machine(&again), None, "not at once");
    assert_eq!(
        harness.request(task(2, 2, 9 * SECOND)),
        Some(0),
        "a smaller one may fit"
    );
    let later = harness.advance_until(harness.now + 2 * SECOND, &[0]);
    assert_eq!(offered_machine(&later), Some(0), "it is tried again");
}

#[test]
fn consecutive_rejections_back_off_longer_until_one_is_accepted() {
    let mut harness = Harness::new(settings(RetrySafety::Idempotent), 1);
    let mut offered = 0;
    for n in 0..1_000u64 {
        harness.now += 20_000;
        if harness.request(task(n, n, harness.now + SECOND)).is_some() {
            offered += 1;
            let refused = finished(
                n,
                0,
                AttemptOutcome::Rejected,
                Some(FailureReason::QueueFull),
            );
            harness.turn(&[Event::ClientDisconnected(TaskId(n)), refused]);
        }
    }
    assert!((10..30).contains(&offered), "{offered} offers in 20 s");
    harness.now += 2 * SECOND;
    assert_eq!(
        harness.request(task(5_000, 1, harness.now + SECOND)),
        Some(0)
    );
    harness.turn(&accepted_started_and_completed(5_000));
    assert_eq!(
        harness.request(task(5_001, 1, harness.now + SECOND)),
        Some(0),
        "taken: all is well"
    );
}

#[test]
fn contended_machines_are_skipped_for_a_while() {
    for note in [
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
                    report: note,
                }],
            ]
            .concat()
        };
        harness.turn(&[Event::TaskReported {
            attempt: attempt_id(900, 0),
            report: note,
        }]);
        assert_eq!(
            count_offers_to_first_machine(&mut harness, 50, 100_000, react),
            0,
            "{note:?}"
        );
        // Once nothing more is reported of it, and the other machine is fuller, it is used again.
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
            "{note:?}"
        );
    }
}

#[test]
fn restarted_machine_holds_no_program() {
    // Ten services have tasks on machine 0, which is lost with them and restarts, or is not lost.
    let back_there = |lost: bool| {
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
        if lost {
            let listing = MachineEntry {
                started_at: Some(harness.now),
                ..machine(0)
            };
            harness.now += 100_000;
            harness.update_endpoints(UpdateScope::Delta, vec![listing]);
        }
        let ending = if lost {
            AttemptOutcome::Disconnected
        } else {
            AttemptOutcome::Completed
        };
        harness.turn(
            &(0..10)
                .map(|n| finished(n, 0, ending, None))
                .collect::<Vec<_>>(),
        );
        // A report of another task there shows that the machine is alive.
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
        let again = (0..10).map(|n| {
            harness.request(Task {
                id: TaskId(100 + n),
                deadline: harness.now + SECOND,
                ..small(n)
            })
        });
        again.filter(|machine| *machine == Some(0)).count()
    };
    assert!(back_there(false) >= 9, "{}", back_there(false));
    assert!(back_there(true) <= 6, "{}", back_there(true));
}

#[test]
fn service_stays_where_its_program_is_loaded() {
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
    let mut local = 0;
    for n in 0..600u64 {
        let machine = harness
            .request(task(n, n % 20, harness.now + 9 * SECOND))
            .expect("an offer");
        let held = u64::from(machine) == n % 4;
        local += u64::from(held && n >= 400);
        harness.now += if held { 100_000 } else { SECOND };
        harness.turn(&accepted_started_and_completed(n));
        harness.now += 9 * SECOND;
    }
    assert!(local > 150, "{local} of 200; chance gives a quarter");
}

#[test]
fn no_more_machines_are_used_than_needed_where_they_are_priced() {
    let used = |fleet: f64| {
        let mut priced = settings(RetrySafety::Idempotent);
        (
            priced.endpoints_report_capacity,
            priced.costs.machines_in_use,
        ) = (true, fleet);
        let mut harness = Harness::new(priced, 0);
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
        let mut used = [0; 8];
        for n in 0..300 {
            let machine = harness
                .request(task(n, n, harness.now + SECOND))
                .expect("an offer");
            used[machine as usize] += 1;
            harness.turn(&accepted_started_and_completed(n));
        }
        used.iter().filter(|&&n| n > 0).count()
    };
    assert_eq!(used(0.2), 1);
    assert!(used(0.0) >= 6);
}

#[test]
fn timeout_shortens_once_answers_are_quick_for_every_retry_safety() {
    // A machine that leaves one class unanswered would keep a non-idempotent task until its deadline; returned
    // early, its owner learns that it does not run and resubmits it.
    for effect in [RetrySafety::Idempotent, RetrySafety::NonIdempotent] {
        let mut harness = Harness::new(settings(effect), 3);
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
        let wait = offer_timeout(&actions);
        assert!(
            wait.is_some_and(|wait| wait > 60_000 && wait < SECOND),
            "{effect:?}: {wait:?}"
        );
    }
}

#[test]
fn placers_do_not_all_choose_the_same_few_machines_with_headroom() {
    let (mut swarmed, placers) = (0, 200);
    for number in 0..placers {
        let mut seen = settings(RetrySafety::Idempotent);
        (
            seen.endpoints_report_capacity,
            seen.replica_count,
            seen.replica_index,
        ) = (true, placers, number);
        let placer = Placer::new(seen, u64::from(number)).expect("sound settings");
        let mut harness = Harness {
            placer,
            now: SECOND,
        };
        // Three of twenty machines have headroom.
        let unasked = |n: u32| {
            if n < 3 {
                Resources::new(8.0, 24.0)
            } else {
                Resources::new(3.0, 9.0)
            }
        };
        let listing = |n: u32| MachineEntry {
            unallocated: Some(unasked(n)),
            ..machine(n)
        };
        harness.update_endpoints(UpdateScope::Full, (0..20).map(listing).collect());
        swarmed += u32::from(
            harness
                .request(task(1, u64::from(number), 9 * SECOND))
                .expect("an offer")
                < 3,
        );
    }
    assert!(swarmed < placers * 3 / 4, "{swarmed} of {placers}");
    assert!(
        swarmed > placers / 5,
        "comfort still counts: {swarmed} of {placers}"
    );
}

#[test]
fn failing_class_leaves_a_machine_and_returns_while_other_classes_stay() {
    let mut two = settings(RetrySafety::Idempotent);
    two.classes.push(class(RetrySafety::Idempotent));
    let mut harness = Harness::new(two, 2);
    let of = |n: u64, class: usize| Task {
        class,
        ..task(n, n, 900 * SECOND)
    };
    harness.turn(&[
        Event::TaskAdopted {
            task: of(9_999, 1),
            machine: MachineId(0),
        },
        Event::TaskAdopted {
            task: of(9_998, 1),
            machine: MachineId(1),
        },
    ]);
    // Class 0 fails on machine 0 until both homes are known; class 1 is served there all the time.
    let mut n = 0;
    let mut share = |harness: &mut Harness, class: usize, fails: bool| {
        let mut there = 0;
        for _ in 0..40 {
            n += 1;
            // A task that runs there goes on reporting what it uses.
            harness.turn(&[Event::TaskReported {
                attempt: attempt_id(9_999, 0),
                report: TaskReport::CoresUsed(0.5),
            }]);
            let at = harness.request(of(n, class)).expect("an offer");
            there += u32::from(at == 0);
            if at == 0 && fails {
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
        there
    };
    assert!(share(&mut harness, 1, false) > 5);
    assert!(share(&mut harness, 0, true) < 5, "the failing class leaves");
    assert!(share(&mut harness, 1, false) > 5, "the other stays");
    assert!(
        share(&mut harness, 0, true) < 5,
        "whose success clears nothing"
    );
    harness.now += 60 * SECOND;
    assert!(share(&mut harness, 0, false) > 5, "and finds it again");
}

#[test]
fn stalled_placer_does_not_count_its_pause_as_answer_time() {
    // Answers that arrived during a stall are applied late; timeouts must follow the time that they took.
    let wait_after_stalls = |elapsed: Option<Micros>| {
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
    assert!(wait_after_stalls(None) > Some(SECOND));
    assert!(wait_after_stalls(Some(20_000)).is_some_and(|wait| wait < SECOND));
}

#[test]
fn events_that_arrived_during_a_stall_are_applied_before_any_offer() {
    let mut harness = Harness::new(settings(RetrySafety::Idempotent), 2);
    let drained = MachineEntry {
        state: MachineState::Draining,
        ..machine(0)
    };
    harness.now += 2 * SECOND;
    // The drain is last in the backlog, behind twenty requests.
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
    // The service runs on a machine of either zone, so the machines differ in nothing else.
    let away = |price: f64| {
        let mut priced = settings(RetrySafety::Idempotent);
        priced.costs.cross_zone = price;
        let mut harness = Harness::new(priced, 0);
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
        let mut away = 0;
        for n in 0..200 {
            away += harness
                .request(task(n, 1, harness.now + SECOND))
                .expect("an offer");
            harness.turn(&accepted_started_and_completed(n));
        }
        away
    };
    assert!(away(0.05) < 20);
    assert!(away(0.0) > 60);
}

#[test]
fn restarted_placer_uses_its_restored_list_until_a_newer_one() {
    let mut asks = settings(RetrySafety::Idempotent);
    asks.discovery = DiscoveryMode::Poll;
    let placer = Placer::new(asks, 3).expect("sound settings");
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
    // No machine is connected: the task is blocked, neither offered nor rejected.
    let actions = harness.turn(&[Event::PlacementRequested(task(
        1,
        5,
        harness.now + 10 * SECOND,
    ))]);
    assert_eq!(offered_machine(&actions), None);
    assert!(final_answers(&harness.advance_until(harness.now + SECOND, &[0])).is_empty());
    // The first machine that is connected again gets it, as its first attempt.
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
    // No connection until the deadline: rejected in time.
    let mut harness = Harness::new(settings(RetrySafety::NonIdempotent), 1);
    harness.turn(&[Event::ConnectionChanged {
        machine: MachineId(0),
        is_connected: false,
    }]);
    let give_up_at = harness.now + 2 * SECOND;
    harness.turn(&[Event::PlacementRequested(task(1, 5, give_up_at))]);
    let actions = harness.advance_until(give_up_at, &[0, 2]);
    assert_eq!(
        final_answers(&actions),
        [Action::Reject {
            task: TaskId(1),
            retry_after: None
        }]
    );
    assert_eq!(offered_machine(&actions), None);
}

/// One of four placers with four machines, and its part of twelve accepted starts in progress.
fn harness_with_starts_at_the_limit() -> (Harness, u64) {
    let mut own = settings(RetrySafety::Idempotent);
    own.replica_count = 4;
    let mut harness = Harness::new(own, 4);
    for n in 0..3 {
        harness.request(task(n, n, 100 * SECOND)).expect("an offer");
        harness.turn(&[Event::AttemptAccepted {
            attempt: attempt_id(n, 0),
            elapsed: None,
        }]);
    }
    (harness, 3)
}

fn resubmitted(n: u64, give_up_at: Micros) -> Task {
    Task {
        is_resubmission: true,
        ..task(n, n, give_up_at)
    }
}

#[test]
fn resubmitted_tasks_are_deferred_behind_first_starts() {
    let (mut harness, next) = harness_with_starts_at_the_limit();
    assert_eq!(
        harness.request(resubmitted(next, 100 * SECOND)),
        None,
        "its part of the starts is under way"
    );
    assert!(
        harness.request(task(next + 1, 9, 100 * SECOND)).is_some(),
        "a first start is not kept waiting"
    );
    assert_eq!(
        offered_machine(&harness.turn(&[Event::AttemptAccepted {
            attempt: attempt_id(next + 1, 0),
            elapsed: None
        }])),
        None
    );
    // Two of the four starts in progress are done: this placer's part is three, so one more may start.
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
        "that start counts too"
    );
}

#[test]
fn deferral_ends_when_starts_are_never_reported() {
    let (mut harness, next) = harness_with_starts_at_the_limit();
    let from = harness.now;
    assert_eq!(
        harness.request(resubmitted(next, from + 100 * SECOND)),
        None
    );
    assert_eq!(harness.request(resubmitted(next + 1, from + SECOND)), None);
    // A task is deferred for half of its time at most, and for no more than a second.
    assert!(offered_machine(&harness.advance_until(from + 400_000, &[0])).is_none());
    let early = harness.advance_until(from + 710_000, &[0]);
    assert!(
        early
            .iter()
            .any(|a| matches!(a, Action::Offer { task: t, .. } if t.0 == next + 1)),
        "{early:?}"
    );
    let late = harness.advance_until(from + 1_210_000, &[0]);
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
    let used = harness.turn(&[Event::TaskReported {
        attempt: attempt_id(1, 0),
        report: TaskReport::CoresUsed(0.5),
    }]);
    assert!(
        used.iter()
            .any(|a| matches!(a, Action::Offer { task: t, .. } if t.0 == next)),
        "{used:?}"
    );
    harness.turn(&[Event::AttemptAccepted {
        attempt: attempt_id(next, 0),
        elapsed: None,
    }]);
    assert_eq!(harness.request(resubmitted(next + 1, 100 * SECOND)), None);
    let ended = harness.turn(&[finished(0, 0, AttemptOutcome::Disconnected, None)]);
    assert!(
        ended
            .iter()
            .any(|a| matches!(a, Action::Offer { task: t, .. } if t.0 == next + 1)),
        "{ended:?}"
    );
    // A repeated or late report counts once or not at all.
    let twice = [
        Event::AttemptAccepted {
            attempt: attempt_id(2, 0),
            elapsed: None,
        },
        Event::AttemptAccepted {
            attempt: attempt_id(2, 0),
            elapsed: None,
        },
    ];
    harness.turn(&twice);
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
        "one start is under way, of a part of three"
    );
}

#[test]
fn deferred_task_is_dropped_when_its_client_disconnects() {
    let (mut harness, next) = harness_with_starts_at_the_limit();
    assert_eq!(harness.request(resubmitted(next, 100 * SECOND)), None);
    let its = |a: &Action| matches!(a, Action::Offer { task: t, .. } | Action::Reject { task: t, .. } if t.0 == next);
    harness.turn(&[Event::ClientDisconnected(TaskId(next))]);
    let actions = harness.turn(&[Event::TaskReported {
        attempt: attempt_id(0, 0),
        report: TaskReport::Started,
    }]);
    assert!(!actions.iter().any(its), "{actions:?}");
    let actions = harness.advance_until(110 * SECOND, &[0, next + 1]);
    assert!(!actions.iter().any(its), "{actions:?}");
}
