//! The five rules of the placement policy, which `src/policy/mod.rs` lists, in boundary cases.

mod common;
use common::*;
use maplethread::*;

const IDEMPOTENCY_KEY: RetrySafety = RetrySafety::IdempotencyKey {
    scope: DeduplicationScope::Cell,
    window: 4 * SECOND,
};

#[test]
fn every_request_gets_one_answer_before_its_deadline() {
    for retry_safety in [
        RetrySafety::Idempotent,
        IDEMPOTENCY_KEY,
        RetrySafety::NonIdempotent,
    ] {
        let mut harness = Harness::new(settings(retry_safety), 2);
        assert!(harness.request(task(1, 1, 6 * SECOND)).is_some());
        let actions = harness.advance_until(7 * SECOND, &[2]);
        let answers = final_answers(&actions);
        assert_eq!(answers.len(), 1, "{retry_safety:?}: {answers:?}");
        let expected = match retry_safety {
            RetrySafety::Idempotent => Action::Reject {
                task: TaskId(1),
                retry_after: None,
            },
            _ => Action::Fail(TaskId(1)),
        };
        assert_eq!(answers[0], expected);
        // An outcome after the final answer leads to no second one.
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
    // A blocked task must be tried again soon, not only at its deadline.
    let mut harness = Harness::new(settings(RetrySafety::Idempotent), 0);
    assert_eq!(harness.request(task(1, 1, 9 * SECOND)), None);
    harness.update_endpoints(UpdateScope::Delta, vec![machine(4)]);
    let actions = harness.advance_until(harness.now + 100_000, &[0]);
    assert_eq!(offered_machine(&actions), Some(4));
}

#[test]
fn non_idempotent_tasks_are_retried_only_after_proof_that_they_never_ran() {
    let never_ran = [AttemptOutcome::Rejected, AttemptOutcome::ConnectFailed];
    for outcome in never_ran {
        let mut harness = Harness::new(settings(RetrySafety::NonIdempotent), 3);
        harness.request(task(1, 1, 9 * SECOND));
        let actions = harness.turn(&[finished(1, 0, outcome, None)]);
        assert!(offered_machine(&actions).is_some(), "{outcome:?}");
    }
    for outcome in [
        AttemptOutcome::Error,
        AttemptOutcome::TimedOut,
        AttemptOutcome::Disconnected,
        AttemptOutcome::Cancelled,
    ] {
        let mut harness = Harness::new(settings(RetrySafety::NonIdempotent), 3);
        harness.request(task(1, 1, 9 * SECOND));
        let actions = harness.turn(&[finished(1, 0, outcome, None)]);
        assert_eq!(offered_machine(&actions), None, "{outcome:?}");
        assert_eq!(
            final_answers(&actions),
            [Action::Fail(TaskId(1))],
            "{outcome:?}"
        );
    }
}

#[test]
fn keyed_tasks_stay_in_their_deduplication_scope_and_window() {
    let mut four_attempts = settings(IDEMPOTENCY_KEY);
    four_attempts.limits.max_attempts = 4;
    let mut harness = Harness::new(four_attempts, 0);
    let two_per_cell = |n: u32| MachineEntry {
        cell: n / 2,
        ..machine(n)
    };
    harness.update_endpoints(UpdateScope::Full, (0..8).map(two_per_cell).collect());
    let first = harness.request(task(1, 1, 20 * SECOND)).expect("an offer");
    let actions = harness.turn(&[finished(1, 0, AttemptOutcome::Disconnected, None)]);
    let again = offered_machine(&actions).expect("an offer to the cell's other machine");
    assert_eq!(again / 2, first / 2);
    assert_ne!(again, first, "the machine that failed is avoided");
    // Near the end of the window an offer's timeout ends with the window, since the offer may wait for a connection.
    harness.now += 3_900_000;
    let actions = harness.turn(&[finished(1, 1, AttemptOutcome::Disconnected, None)]);
    assert!(
        offer_timeout(&actions).is_some_and(|timeout| timeout <= 100_000),
        "{actions:?}"
    );
    // After the window no offer is sent. The task fails instead of being rejected, since a rejection would guarantee
    // that a resubmission has no second effect.
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
            Some(FailureReason::InsufficientCores),
        )]);
        assert!(offered_machine(&actions).is_some());
    }
    let actions = harness.turn(&[finished(
        1,
        2,
        AttemptOutcome::Rejected,
        Some(FailureReason::InsufficientCores),
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
        let entry = MachineEntry {
            state,
            ..machine(0)
        };
        harness.update_endpoints(UpdateScope::Delta, vec![entry]);
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
            "absent from the full list"
        );
    }
}

#[test]
fn placer_that_polls_discovery_subscribes_at_once_and_after_each_failure() {
    let mut polling = settings(RetrySafety::Idempotent);
    polling.discovery = DiscoveryMode::Poll;
    let mut harness = Harness {
        placer: Placer::new(polling, 1).expect("valid settings"),
        now: 0,
    };
    let count_subscriptions = |actions: &[Action]| {
        let calls = actions
            .iter()
            .filter(|a| **a == Action::WatchEndpoints { enabled: true });
        calls.count()
    };
    let restored = Event::EndpointsUpdated {
        scope: UpdateScope::Restored,
        machines: vec![machine(0)],
    };
    assert_eq!(count_subscriptions(&harness.turn(&[restored])), 1);
    for _ in 0..5 {
        let failed = harness.turn(&[Event::DiscoveryUnavailable]);
        assert_eq!(
            count_subscriptions(&failed)
                + count_subscriptions(&harness.advance_until(harness.now + SECOND, &[0])),
            1,
            "one subscription for each failure"
        );
    }
}

#[test]
fn warming_machine_gets_no_more_than_this_placers_share_of_the_budget() {
    let mut shared = settings(RetrySafety::Idempotent);
    shared.replica_count = 4;
    let mut harness = Harness::new(shared, 0);
    let warming = MachineEntry {
        started_at: Some(harness.now),
        ..machine(0)
    };
    harness.update_endpoints(UpdateScope::Full, vec![warming]);
    let mut sent_at = Vec::new();
    for n in 0..400u64 {
        harness.now += 20_000;
        if harness.request(task(n, n, harness.now + 100_000)).is_some() {
            sent_at.push(harness.now);
            // Rejected offers count against the budget as well.
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
    assert!(
        sent_at.len() > 5,
        "offers within the budget: {}",
        sent_at.len()
    );
    for &from in &sent_at {
        let window = sent_at
            .iter()
            .filter(|&&at| at >= from && at < from + 3 * SECOND);
        assert!(window.count() <= 5, "a budget of 20 offers for 4 placers");
    }
}

#[test]
fn budget_holds_when_placers_outnumber_warm_up_offers() {
    // 400 placers receive the same start of a machine at different times, and each has more tasks than it may offer.
    // With one offer per window for each placer, a machine with a budget of 20 would get 400.
    let started = 5 * SECOND;
    let mut sent_at = Vec::new();
    let mut sending_placers = 0;
    for index in 0..400u32 {
        let mut shared = settings(RetrySafety::Idempotent);
        (shared.replica_count, shared.replica_index) = (400, index);
        let placer = Placer::new(shared, u64::from(index)).expect("valid settings");
        let mut harness = Harness {
            placer,
            now: started + u64::from(index % 40) * 100_000,
        };
        harness.update_endpoints(
            UpdateScope::Full,
            vec![MachineEntry {
                started_at: Some(started),
                ..machine(0)
            }],
        );
        let before = sent_at.len();
        for n in 0..100u64 {
            harness.now += 90_000;
            if harness.request(task(n, n, harness.now + 100_000)).is_some() {
                sent_at.push(harness.now);
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
        sending_placers += u32::from(sent_at.len() > before);
        // Once the machine has warmed up, every placer may send offers.
        harness.now = started + 16 * SECOND;
        assert_eq!(
            harness.request(task(1000, 1000, harness.now + 6 * SECOND)),
            Some(0)
        );
    }
    sent_at.sort_unstable();
    let most = sent_at.iter().map(|&from| {
        sent_at
            .iter()
            .filter(|&&at| at >= from && at <= from + 3 * SECOND)
            .count()
    });
    let most = most.max().unwrap_or(0);
    assert!(most <= 20, "{most} offers in one window");
    assert!(
        sending_placers >= 10 && most >= 10,
        "{sending_placers} placers sent offers, at most {most} in a window"
    );
}

#[test]
fn spread_limit_counts_attempts_and_running_tasks_per_domain() {
    for topology_level in [
        TopologyLevel::Machine,
        TopologyLevel::Cell,
        TopologyLevel::Zone,
    ] {
        let mut spread = settings(RetrySafety::Idempotent);
        spread.classes[0].spread_limit = Some(SpreadLimit {
            level: topology_level,
            max_tasks: 2,
        });
        let mut harness = Harness::new(spread, 1);
        // A running task counts, and so does an offer without an outcome.
        harness.turn(&[Event::TaskAdopted {
            task: task(100, 7, 0),
            machine: MachineId(0),
        }]);
        assert_eq!(harness.request(task(1, 7, 9 * SECOND)), Some(0));
        assert_eq!(
            harness.request(task(2, 7, 9 * SECOND)),
            None,
            "{topology_level:?}"
        );
        assert_eq!(
            harness.request(task(3, 8, 9 * SECOND)),
            Some(0),
            "another service"
        );
        harness.turn(&[finished(100, 0, AttemptOutcome::Completed, None)]);
        let actions = harness.advance_until(harness.now + 100_000, &[0]);
        assert_eq!(
            offered_machine(&actions),
            Some(0),
            "a finished task no longer counts"
        );
    }
}

#[test]
fn placer_without_replica_index_sends_nothing_to_warming_machines() {
    let mut settings = settings(RetrySafety::Idempotent);
    settings.replica_count = 4;
    let mut harness = Harness::new(settings, 1);
    let warming = MachineEntry {
        started_at: Some(harness.now),
        ..machine(0)
    };
    harness.update_endpoints(UpdateScope::Full, vec![warming]);
    // The placer has lost its replica index, as when its lease expired during a stall, so it has no share of any
    // budget.
    harness.turn(&[Event::ReplicaIndexChanged(None)]);
    assert_eq!(harness.request(task(1, 1, harness.now + 60 * SECOND)), None);
    assert_eq!(
        offered_machine(&harness.advance_until(harness.now + 2 * SECOND, &[0])),
        None
    );
    // The last holder of the index may have used its share just before, so no offers are sent for one window of 3 s.
    harness.turn(&[Event::ReplicaIndexChanged(Some(2))]);
    assert_eq!(
        offered_machine(&harness.advance_until(harness.now + 3 * SECOND, &[0])),
        None
    );
    // Then the blocked task is offered, and further tasks only within the share of that index.
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
    // Offers to machines that are not warming up need no index.
    harness.turn(&[Event::ReplicaIndexChanged(None)]);
    harness.update_endpoints(UpdateScope::Full, vec![machine(0)]);
    assert!(
        harness
            .request(task(99, 99, harness.now + 60 * SECOND))
            .is_some()
    );
}

#[test]
fn restarted_placer_does_not_use_its_warm_up_budget_twice() {
    // One placer restarts eight times, after the same lifetime each time, with more tasks than it may offer to a
    // machine that is warming up throughout. No process has a record of the offers of the previous one, but no window
    // may contain more than the placer's share.
    let mut shared = settings(RetrySafety::Idempotent);
    (shared.replica_count, shared.rules.warm_up_duration) = (4, 60 * SECOND);
    for lifetime in [SECOND / 2, 2 * SECOND, 4 * SECOND, 7 * SECOND] {
        let (mut now, mut sent_at) = (5 * SECOND, Vec::new());
        for process in 0..8u64 {
            let placer = Placer::new(shared.clone(), process).expect("valid settings");
            let mut harness = Harness { placer, now };
            harness.update_endpoints(
                UpdateScope::Full,
                vec![MachineEntry {
                    started_at: Some(5 * SECOND),
                    ..machine(0)
                }],
            );
            for n in 0..lifetime / 20_000 {
                harness.now += 20_000;
                if harness.request(task(n, n, harness.now + 100_000)).is_some() {
                    sent_at.push(harness.now);
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
        for &from in &sent_at {
            let window = sent_at
                .iter()
                .filter(|&&at| at >= from && at < from + 3 * SECOND)
                .count();
            assert!(
                window <= 5,
                "{window} of 20 offers for one of 4 placers, lifetime {lifetime} us"
            );
        }
        assert_eq!(
            sent_at.is_empty(),
            lifetime < 3 * SECOND,
            "no offers within one window of a restart, and some after it"
        );
    }
}

#[test]
fn blocked_task_reports_its_block_reason() {
    let block_reasons = |actions: &[Action]| {
        actions
            .iter()
            .filter_map(|a| {
                if let Action::Blocked {
                    reason: block_reason,
                    ..
                } = a
                {
                    Some(*block_reason)
                } else {
                    None
                }
            })
            .collect()
    };
    let request = |harness: &mut Harness, n: u64| -> Vec<BlockReason> {
        let task = task(n, 7, harness.now + 9 * SECOND);
        block_reasons(&harness.turn(&[Event::PlacementRequested(task)]))
    };
    let mut settings = settings(RetrySafety::Idempotent);
    settings.limits.max_retry_after = Some(60 * SECOND);
    settings.classes[0].spread_limit = Some(SpreadLimit {
        level: TopologyLevel::Zone,
        max_tasks: 1,
    });
    let mut harness = Harness::new(settings, 0);
    assert_eq!(request(&mut harness, 1), [BlockReason::NoReadyMachine]);
    // Each added machine passes more checks than the one before. Only changes of the block reason are reported.
    let draining = MachineEntry {
        state: MachineState::Draining,
        ..machine(0)
    };
    assert_eq!(
        block_reasons(&harness.update_endpoints(UpdateScope::Full, vec![draining])),
        []
    );
    let mut reported = Vec::new();
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
        let entry = MachineEntry {
            zone: n as u32 + 1,
            ..machine(n as u32 + 1)
        };
        harness.update_endpoints(UpdateScope::Delta, vec![entry]);
        harness.turn(&events);
        reported.extend(block_reasons(
            &harness.advance_until(harness.now + SECOND / 10, &[0]),
        ));
    }
    assert_eq!(
        reported,
        [BlockReason::NotConnected, BlockReason::SpreadLimit]
    );
    let warming = MachineEntry {
        zone: 4,
        started_at: Some(harness.now),
        ..machine(4)
    };
    harness.update_endpoints(UpdateScope::Delta, vec![warming]);
    // Without a replica index the warming machine gets no offers.
    harness.turn(&[Event::ReplicaIndexChanged(None)]);
    assert_eq!(
        block_reasons(&harness.advance_until(harness.now + SECOND / 10, &[0])),
        [BlockReason::WarmUpBudget]
    );
    // The final rejection has a retry-after, which differs between two tasks with the same block reason.
    request(&mut harness, 2);
    let actions = harness.advance_until(harness.now + 10 * SECOND, &[2, 3]);
    let retry_afters: Vec<Micros> = actions
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
    assert_eq!(retry_afters.len(), 2, "{actions:?}");
    assert!(
        retry_afters[0] != retry_afters[1]
            && retry_afters
                .iter()
                .all(|a| (SECOND..5 * SECOND).contains(a)),
        "{retry_afters:?}"
    );
}

#[test]
fn task_that_fits_no_machine_kind_is_rejected_at_once() {
    let mut settings = settings(RetrySafety::NonIdempotent);
    settings.limits.max_retry_after = Some(60 * SECOND);
    let mut harness = Harness::new(settings, 3);
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
    // A task that fits an empty machine is offered.
    let full = Task {
        requested: Resources::new(40.0, 1.0),
        ..task(2, 1, 9 * SECOND)
    };
    assert!(offered_machine(&harness.turn(&[Event::PlacementRequested(full)])).is_some());
}

#[test]
fn rejection_after_used_up_attempts_has_a_retry_after() {
    let mut settings = settings(RetrySafety::NonIdempotent);
    settings.limits.max_retry_after = Some(60 * SECOND);
    let attempts = settings.limits.max_attempts;
    let mut harness = Harness::new(settings, 40);
    let mut retry_afters = Vec::new();
    for id in 1..4 {
        harness.request(task(id, 1, harness.now + 9 * SECOND));
        for number in 0..attempts {
            let actions = harness.turn(&[finished(
                id,
                number,
                AttemptOutcome::Rejected,
                Some(FailureReason::InsufficientCores),
            )]);
            retry_afters.extend(final_answers(&actions).into_iter().filter_map(|a| {
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
    // Without a retry-after all three would be resubmitted at once and together.
    assert_eq!(retry_afters.len(), 3, "each rejection has a retry-after");
    assert!(
        retry_afters.windows(2).all(|w| w[0] != w[1])
            && retry_afters
                .iter()
                .all(|a| (SECOND / 2..2 * SECOND).contains(a))
    );
}
