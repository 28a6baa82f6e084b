//! The five rules at their edges.

mod common;
use common::*;
use maplethread::*;

const IDEMPOTENCY_KEY: RetrySafety = RetrySafety::IdempotencyKey {
    scope: DeduplicationScope::Cell,
    window: 4 * SECOND,
};

#[test]
fn every_request_gets_one_answer_before_its_deadline() {
    for effect in [
        RetrySafety::Idempotent,
        IDEMPOTENCY_KEY,
        RetrySafety::NonIdempotent,
    ] {
        let mut harness = Harness::new(settings(effect), 2);
        assert!(harness.request(task(1, 1, 6 * SECOND)).is_some());
        let actions = harness.advance_until(7 * SECOND, &[2]);
        let answers = final_answers(&actions);
        assert_eq!(answers.len(), 1, "{effect:?}: {answers:?}");
        let expected = match effect {
            RetrySafety::Idempotent => Action::Reject {
                task: TaskId(1),
                retry_after: None,
            },
            _ => Action::Fail(TaskId(1)),
        };
        assert_eq!(answers[0], expected);
        // The late outcome leads to no further answer.
        assert!(
            harness
                .turn(&[finished(1, 0, AttemptOutcome::TimedOut, None)])
                .is_empty()
        );
    }
}

#[test]
fn timeout_at_the_deadline_is_answered_in_the_same_turn() {
    let mut harness = Harness::new(settings(RetrySafety::NonIdempotent), 1);
    harness.request(task(1, 1, 3 * SECOND));
    harness.now = 3 * SECOND;
    let actions = harness.turn(&[finished(1, 0, AttemptOutcome::TimedOut, None)]);
    assert_eq!(final_answers(&actions), [Action::Fail(TaskId(1))]);
}

#[test]
fn task_is_blocked_and_then_rejected_when_there_is_no_machine() {
    let mut harness = Harness::new(settings(RetrySafety::NonIdempotent), 0);
    assert_eq!(harness.request(task(1, 1, 3 * SECOND)), None);
    let actions = harness.advance_until(4 * SECOND, &[2]);
    assert_eq!(
        final_answers(&actions),
        [Action::Reject {
            task: TaskId(1),
            retry_after: None
        }]
    );
}

#[test]
fn blocked_task_is_offered_once_a_machine_appears() {
    // A blocked task must be tried again well before its deadline.
    let mut harness = Harness::new(settings(RetrySafety::Idempotent), 0);
    assert_eq!(harness.request(task(1, 1, 9 * SECOND)), None);
    harness.update_endpoints(UpdateScope::Delta, vec![machine(4)]);
    let actions = harness.advance_until(harness.now + 100_000, &[0]);
    assert_eq!(offered_machine(&actions), Some(4));
}

#[test]
fn non_idempotent_tasks_are_retried_only_after_proof_that_they_never_ran() {
    let proofs = [AttemptOutcome::Rejected, AttemptOutcome::ConnectFailed];
    for ending in proofs {
        let mut harness = Harness::new(settings(RetrySafety::NonIdempotent), 3);
        harness.request(task(1, 1, 9 * SECOND));
        let actions = harness.turn(&[finished(1, 0, ending, None)]);
        assert!(offered_machine(&actions).is_some(), "{ending:?}");
    }
    for ending in [
        AttemptOutcome::Error,
        AttemptOutcome::TimedOut,
        AttemptOutcome::Disconnected,
        AttemptOutcome::Cancelled,
    ] {
        let mut harness = Harness::new(settings(RetrySafety::NonIdempotent), 3);
        harness.request(task(1, 1, 9 * SECOND));
        let actions = harness.turn(&[finished(1, 0, ending, None)]);
        assert_eq!(offered_machine(&actions), None, "{ending:?}");
        assert_eq!(
            final_answers(&actions),
            [Action::Fail(TaskId(1))],
            "{ending:?}"
        );
    }
}

#[test]
fn keyed_tasks_stay_in_their_deduplication_scope_and_window() {
    let mut many = settings(IDEMPOTENCY_KEY);
    many.limits.max_attempts = 4;
    let mut harness = Harness::new(many, 0);
    let cells = |n: u32| MachineEntry {
        cell: n / 2,
        ..machine(n)
    };
    harness.update_endpoints(UpdateScope::Full, (0..8).map(cells).collect());
    let first = harness.request(task(1, 1, 20 * SECOND)).expect("an offer");
    let actions = harness.turn(&[finished(1, 0, AttemptOutcome::Disconnected, None)]);
    let again = offered_machine(&actions).expect("the cell's other machine");
    assert_eq!(again / 2, first / 2);
    assert_ne!(again, first, "the one that failed is avoided");
    // Near its end the timeout of an offer ends with the window: until then it may wait for its connection.
    harness.now += 3_900_000;
    let actions = harness.turn(&[finished(1, 1, AttemptOutcome::Disconnected, None)]);
    assert!(
        offer_timeout(&actions).is_some_and(|out| out <= 100_000),
        "{actions:?}"
    );
    // Past the window nothing is sent, and a rejection would promise too much.
    harness.now += 100_000;
    let actions = harness.turn(&[finished(1, 2, AttemptOutcome::Disconnected, None)]);
    assert_eq!(offered_machine(&actions), None);
    assert_eq!(final_answers(&actions), [Action::Fail(TaskId(1))]);
}

#[test]
fn at_most_one_attempt_is_in_flight_and_no_more_than_allowed_are_made() {
    let mut harness = Harness::new(settings(RetrySafety::Idempotent), 5);
    harness.request(task(1, 1, 20 * SECOND));
    assert_eq!(
        offered_machine(&harness.advance_until(3 * SECOND, &[0, 2])),
        None
    );
    for number in 0..2 {
        let actions = harness.turn(&[finished(
            1,
            number,
            AttemptOutcome::Rejected,
            Some(FailureReason::Cores),
        )]);
        assert!(offered_machine(&actions).is_some());
    }
    let actions = harness.turn(&[finished(
        1,
        2,
        AttemptOutcome::Rejected,
        Some(FailureReason::Cores),
    )]);
    assert_eq!(
        final_answers(&actions),
        [Action::Reject {
            task: TaskId(1),
            retry_after: None
        }]
    );
}

#[test]
fn draining_and_removed_machines_get_no_offers() {
    for state in [MachineState::Draining, MachineState::Gone] {
        let mut harness = Harness::new(settings(RetrySafety::Idempotent), 2);
        let listing = MachineEntry {
            state,
            ..machine(0)
        };
        harness.update_endpoints(UpdateScope::Delta, vec![listing]);
        for n in 0..40 {
            assert_eq!(harness.request(task(n, n, 9 * SECOND)), Some(1));
        }
    }
    let mut harness = Harness::new(settings(RetrySafety::Idempotent), 2);
    harness.update_endpoints(UpdateScope::Full, vec![machine(1)]);
    for n in 0..40 {
        assert_eq!(
            harness.request(task(n, n, 9 * SECOND)),
            Some(1),
            "absent from a full list"
        );
    }
}

#[test]
fn polled_discovery_is_watched_at_once_and_after_each_failure() {
    let mut asks = settings(RetrySafety::Idempotent);
    asks.discovery = DiscoveryMode::Poll;
    let mut harness = Harness {
        placer: Placer::new(asks, 1).expect("sound settings"),
        now: 0,
    };
    let listen = |actions: &[Action]| {
        let calls = actions
            .iter()
            .filter(|a| **a == Action::WatchEndpoints { enabled: true });
        calls.count()
    };
    let restored = Event::EndpointsUpdated {
        scope: UpdateScope::Restored,
        machines: vec![machine(0)],
    };
    assert_eq!(listen(&harness.turn(&[restored])), 1);
    for _ in 0..5 {
        let failed = harness.turn(&[Event::DiscoveryUnavailable]);
        assert_eq!(
            listen(&failed) + listen(&harness.advance_until(harness.now + SECOND, &[0])),
            1,
            "once each"
        );
    }
}

#[test]
fn warming_machine_gets_no_more_than_this_placers_part_of_the_budget() {
    let mut shared = settings(RetrySafety::Idempotent);
    shared.replica_count = 4;
    let mut harness = Harness::new(shared, 0);
    let cold = MachineEntry {
        started_at: Some(harness.now),
        ..machine(0)
    };
    harness.update_endpoints(UpdateScope::Full, vec![cold]);
    let mut sends = Vec::new();
    for n in 0..400u64 {
        harness.now += 20_000;
        if harness.request(task(n, n, harness.now + 100_000)).is_some() {
            sends.push(harness.now);
            // Rejected offers count as well.
            harness.turn(&[finished(
                n,
                0,
                AttemptOutcome::Rejected,
                Some(FailureReason::QueueFull),
            )]);
            harness.turn(&[finished(
                n,
                1,
                AttemptOutcome::Rejected,
                Some(FailureReason::QueueFull),
            )]);
        }
    }
    assert!(sends.len() > 5, "it does get some: {}", sends.len());
    for &from in &sends {
        let window = sends
            .iter()
            .filter(|&&at| at >= from && at < from + 3 * SECOND);
        assert!(window.count() <= 5, "20 offers over 4 placers");
    }
}

#[test]
fn budget_holds_when_placers_outnumber_warm_up_offers() {
    // Placers are notified of the same start at different times, each with more tasks than it may send: with one offer a
    // window for each of 400 placers, a machine that bears 20 would get 400.
    let started = 5 * SECOND;
    let mut sends = Vec::new();
    let mut busy = 0;
    for number in 0..400u32 {
        let mut shared = settings(RetrySafety::Idempotent);
        (shared.replica_count, shared.replica_index) = (400, number);
        let placer = Placer::new(shared, u64::from(number)).expect("sound settings");
        let mut harness = Harness {
            placer,
            now: started + u64::from(number % 40) * 100_000,
        };
        harness.update_endpoints(
            UpdateScope::Full,
            vec![MachineEntry {
                started_at: Some(started),
                ..machine(0)
            }],
        );
        let before = sends.len();
        for n in 0..100u64 {
            harness.now += 90_000;
            if harness.request(task(n, n, harness.now + 100_000)).is_some() {
                sends.push(harness.now);
                harness.turn(&[
                    finished(
                        n,
                        0,
                        AttemptOutcome::Rejected,
                        Some(FailureReason::QueueFull),
                    ),
                    Event::ClientDisconnected(TaskId(n)),
                ]);
            }
        }
        busy += u32::from(sends.len() > before);
        // Once it is warm, every placer may.
        harness.now = started + 16 * SECOND;
        assert_eq!(
            harness.request(task(1000, 1000, harness.now + 6 * SECOND)),
            Some(0)
        );
    }
    sends.sort_unstable();
    let most = sends.iter().map(|&from| {
        sends
            .iter()
            .filter(|&&at| at >= from && at <= from + 3 * SECOND)
            .count()
    });
    let most = most.max().unwrap_or(0);
    assert!(most <= 20, "{most} offers in one window");
    assert!(
        busy >= 10 && most >= 10,
        "{busy} placers may offer, {most} in a window"
    );
}

#[test]
fn spread_limit_counts_attempts_and_running_tasks_per_domain() {
    for place in [
        TopologyLevel::Machine,
        TopologyLevel::Cell,
        TopologyLevel::Zone,
    ] {
        let mut spread = settings(RetrySafety::Idempotent);
        spread.classes[0].spread_limit = Some(SpreadLimit {
            level: place,
            max_tasks: 2,
        });
        let mut harness = Harness::new(spread, 1);
        // A task that runs already counts, and so does an offer without outcome.
        harness.turn(&[Event::TaskAdopted {
            task: task(100, 7, 0),
            machine: MachineId(0),
        }]);
        assert_eq!(harness.request(task(1, 7, 9 * SECOND)), Some(0));
        assert_eq!(harness.request(task(2, 7, 9 * SECOND)), None, "{place:?}");
        assert_eq!(
            harness.request(task(3, 8, 9 * SECOND)),
            Some(0),
            "another service"
        );
        harness.turn(&[finished(100, 0, AttemptOutcome::Completed, None)]);
        let actions = harness.advance_until(harness.now + 100_000, &[0]);
        assert_eq!(offered_machine(&actions), Some(0), "room again");
    }
}

#[test]
fn placer_without_replica_index_sends_nothing_to_warming_machines() {
    let mut s = settings(RetrySafety::Idempotent);
    s.replica_count = 4;
    let mut harness = Harness::new(s, 1);
    let cold = MachineEntry {
        started_at: Some(harness.now),
        ..machine(0)
    };
    harness.update_endpoints(UpdateScope::Full, vec![cold]);
    // Its replica index is lost, as when a lease expired during a stall: it has no part of any budget.
    harness.turn(&[Event::ReplicaIndexChanged(None)]);
    assert_eq!(harness.request(task(1, 1, harness.now + 60 * SECOND)), None);
    assert_eq!(
        offered_machine(&harness.advance_until(harness.now + 2 * SECOND, &[0])),
        None
    );
    // The last holder of the index may have spent its part a moment ago: nothing is sent for one window of 3 s.
    harness.turn(&[Event::ReplicaIndexChanged(Some(2))]);
    assert_eq!(
        offered_machine(&harness.advance_until(harness.now + 3 * SECOND, &[0])),
        None
    );
    // Then the blocked task is offered there, and no more than the part of that index.
    let mut sent = usize::from(
        offered_machine(&harness.advance_until(harness.now + SECOND / 2, &[0])).is_some(),
    );
    assert_eq!(sent, 1);
    for n in 2..40 {
        sent += usize::from(
            harness
                .request(task(n, n, harness.now + 60 * SECOND))
                .is_some(),
        );
    }
    assert!(sent <= 5, "{sent} of 20 for one of four placers");
    // Warm machines need no index.
    harness.turn(&[Event::ReplicaIndexChanged(None)]);
    harness.update_endpoints(UpdateScope::Full, vec![machine(0)]);
    assert!(
        harness
            .request(task(99, 99, harness.now + 60 * SECOND))
            .is_some()
    );
}

#[test]
fn restart_spends_no_warm_up_budget_twice() {
    // Processes of one placer, each killed half a second after its start, with more tasks than it may send to one
    // machine that stays warming up: none knows what the last one sent, and yet no window may hold two parts.
    let mut shared = settings(RetrySafety::Idempotent);
    (shared.replica_count, shared.rules.warm_up_duration) = (4, 60 * SECOND);
    for life_span in [SECOND / 2, 2 * SECOND, 4 * SECOND, 7 * SECOND] {
        let (mut now, mut sends) = (5 * SECOND, Vec::new());
        for life in 0..8u64 {
            let placer = Placer::new(shared.clone(), life).expect("sound settings");
            let mut harness = Harness { placer, now };
            harness.update_endpoints(
                UpdateScope::Full,
                vec![MachineEntry {
                    started_at: Some(5 * SECOND),
                    ..machine(0)
                }],
            );
            for n in 0..life_span / 20_000 {
                harness.now += 20_000;
                if harness.request(task(n, n, harness.now + 100_000)).is_some() {
                    sends.push(harness.now);
                    harness.turn(&[
                        finished(
                            n,
                            0,
                            AttemptOutcome::Rejected,
                            Some(FailureReason::QueueFull),
                        ),
                        Event::ClientDisconnected(TaskId(n)),
                    ]);
                }
            }
            now = harness.now;
        }
        for &from in &sends {
            let window = sends
                .iter()
                .filter(|&&at| at >= from && at < from + 3 * SECOND)
                .count();
            assert!(
                window <= 5,
                "{window} of 20 offers for one of 4 placers, lives of {life_span}"
            );
        }
        assert_eq!(
            sends.is_empty(),
            life_span < 3 * SECOND,
            "it does get some once a window has gone by"
        );
    }
}

#[test]
fn blocked_task_reports_its_block_reason() {
    let held = |actions: &[Action]| {
        actions
            .iter()
            .filter_map(|a| {
                if let Action::Blocked { reason: lack, .. } = a {
                    Some(*lack)
                } else {
                    None
                }
            })
            .collect()
    };
    let ask = |harness: &mut Harness, n: u64| -> Vec<BlockReason> {
        let task = task(n, 7, harness.now + 9 * SECOND);
        held(&harness.turn(&[Event::PlacementRequested(task)]))
    };
    let mut s = settings(RetrySafety::Idempotent);
    s.limits.max_retry_after = Some(60 * SECOND);
    s.classes[0].spread_limit = Some(SpreadLimit {
        level: TopologyLevel::Zone,
        max_tasks: 1,
    });
    let mut harness = Harness::new(s, 0);
    assert_eq!(ask(&mut harness, 1), [BlockReason::NoReadyMachine]);
    // Each machine comes nearer than the one before; a change is reported, what stays the same is not.
    let drains = MachineEntry {
        state: MachineState::Draining,
        ..machine(0)
    };
    assert_eq!(
        held(&harness.update_endpoints(UpdateScope::Full, vec![drains])),
        []
    );
    let mut told = Vec::new();
    let mut steps = vec![vec![Event::ConnectionChanged {
        machine: MachineId(1),
        is_connected: false,
    }]];
    steps.push(vec![Event::TaskAdopted {
        task: Task {
            service: ServiceId(7),
            ..task(50, 7, 0)
        },
        machine: MachineId(2),
    }]);
    for (n, events) in steps.into_iter().enumerate() {
        let place = MachineEntry {
            zone: n as u32 + 1,
            ..machine(n as u32 + 1)
        };
        harness.update_endpoints(UpdateScope::Delta, vec![place]);
        harness.turn(&events);
        told.extend(held(
            &harness.advance_until(harness.now + SECOND / 10, &[0]),
        ));
    }
    assert_eq!(told, [BlockReason::NotConnected, BlockReason::SpreadLimit]);
    let cold = MachineEntry {
        zone: 4,
        started_at: Some(harness.now),
        ..machine(4)
    };
    harness.update_endpoints(UpdateScope::Delta, vec![cold]);
    // Within one window of the new index the warming machine gets nothing.
    harness.turn(&[Event::ReplicaIndexChanged(None)]);
    assert_eq!(
        held(&harness.advance_until(harness.now + SECOND / 10, &[0])),
        [BlockReason::WarmUpBudget]
    );
    // Rejected in the end, it has a retry-after; two tasks that were blocked alike have different ones.
    ask(&mut harness, 2);
    let at_last = harness.advance_until(harness.now + 10 * SECOND, &[2, 3]);
    let advice: Vec<Micros> = at_last
        .iter()
        .filter_map(|a| {
            if let Action::Reject {
                retry_after: Some(after),
                ..
            } = a
            {
                Some(*after)
            } else {
                None
            }
        })
        .collect();
    assert_eq!(advice.len(), 2, "{at_last:?}");
    assert!(
        advice[0] != advice[1] && advice.iter().all(|a| (SECOND..5 * SECOND).contains(a)),
        "{advice:?}"
    );
}

#[test]
fn task_that_fits_no_machine_kind_is_rejected_at_once() {
    let mut s = settings(RetrySafety::NonIdempotent);
    s.limits.max_retry_after = Some(60 * SECOND);
    let mut harness = Harness::new(s, 3);
    let large = Task {
        requested: Resources::new(1000.0, 1.0),
        ..task(1, 1, 9 * SECOND)
    };
    let actions = harness.turn(&[Event::PlacementRequested(large)]);
    assert!(
        actions.contains(&Action::Blocked {
            task: TaskId(1),
            reason: BlockReason::NoKindFits
        }),
        "{actions:?}"
    );
    assert_eq!(
        final_answers(&actions),
        [Action::Reject {
            task: TaskId(1),
            retry_after: Some(60 * SECOND)
        }]
    );
    // A task that a machine could take if it were empty is blocked.
    let full = Task {
        requested: Resources::new(40.0, 1.0),
        ..task(2, 1, 9 * SECOND)
    };
    assert!(offered_machine(&harness.turn(&[Event::PlacementRequested(full)])).is_some());
}

#[test]
fn rejection_after_used_up_attempts_has_a_retry_after() {
    let mut s = settings(RetrySafety::NonIdempotent);
    s.limits.max_retry_after = Some(60 * SECOND);
    let attempts = s.limits.max_attempts;
    let mut harness = Harness::new(s, 40);
    let mut advice = Vec::new();
    for id in 1..4 {
        harness.request(task(id, 1, harness.now + 9 * SECOND));
        for number in 0..attempts {
            let actions = harness.turn(&[finished(
                id,
                number,
                AttemptOutcome::Rejected,
                Some(FailureReason::Cores),
            )]);
            advice.extend(final_answers(&actions).into_iter().filter_map(|a| {
                if let Action::Reject {
                    retry_after: after, ..
                } = a
                {
                    after
                } else {
                    None
                }
            }));
        }
    }
    // Without this they returned at once, all together.
    assert_eq!(advice.len(), 3, "each is refused, and told when");
    assert!(
        advice.windows(2).all(|w| w[0] != w[1])
            && advice.iter().all(|a| (SECOND / 2..2 * SECOND).contains(a))
    );
}
