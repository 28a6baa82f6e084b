//! The five rules at their edges.

mod common;
use common::*;
use maplethread::*;

const KEYED: RetrySafety = RetrySafety::IdempotencyKey {
    group: DeduplicationScope::Cell,
    window: 4 * S,
};

#[test]
fn every_ask_gets_one_answer_before_its_deadline() {
    for effect in [RetrySafety::Idempotent, KEYED, RetrySafety::NonIdempotent] {
        let mut desk = Desk::new(settings(effect), 2);
        assert!(desk.ask(task(1, 1, 6 * S)).is_some());
        let actions = desk.wait(7 * S, &[2]);
        let answers = answers(&actions);
        assert_eq!(answers.len(), 1, "{effect:?}: {answers:?}");
        let expected = match effect {
            RetrySafety::Idempotent => Action::Reject(TaskId(1), None),
            _ => Action::Fail(TaskId(1)),
        };
        assert_eq!(answers[0], expected);
        // The late outcome brings nothing more.
        assert!(desk.turn(&[end(1, 0, AttemptOutcome::TimedOut, None)]).is_empty());
    }
}

#[test]
fn a_time_out_at_the_deadline_is_answered_in_the_same_turn() {
    let mut desk = Desk::new(settings(RetrySafety::NonIdempotent), 1);
    desk.ask(task(1, 1, 3 * S));
    desk.now = 3 * S;
    let actions = desk.turn(&[end(1, 0, AttemptOutcome::TimedOut, None)]);
    assert_eq!(answers(&actions), [Action::Fail(TaskId(1))]);
}

#[test]
fn with_no_machine_the_task_is_held_and_then_refused() {
    let mut desk = Desk::new(settings(RetrySafety::NonIdempotent), 0);
    assert_eq!(desk.ask(task(1, 1, 3 * S)), None);
    let actions = desk.wait(4 * S, &[2]);
    assert_eq!(answers(&actions), [Action::Reject(TaskId(1), None)]);
}

#[test]
fn a_held_task_is_offered_once_a_machine_comes() {
    // A held task must be looked at again well before its deadline.
    let mut desk = Desk::new(settings(RetrySafety::Idempotent), 0);
    assert_eq!(desk.ask(task(1, 1, 9 * S)), None);
    desk.list(UpdateScope::Delta, vec![machine(4)]);
    let actions = desk.wait(desk.now + 100_000, &[0]);
    assert_eq!(offer(&actions), Some(4));
}

#[test]
fn unsafe_tasks_are_sent_again_only_after_proof_that_they_never_ran() {
    let proofs = [AttemptOutcome::Rejected, AttemptOutcome::ConnectFailed];
    for ending in proofs {
        let mut desk = Desk::new(settings(RetrySafety::NonIdempotent), 3);
        desk.ask(task(1, 1, 9 * S));
        let actions = desk.turn(&[end(1, 0, ending, None)]);
        assert!(offer(&actions).is_some(), "{ending:?}");
    }
    for ending in [
        AttemptOutcome::Error,
        AttemptOutcome::TimedOut,
        AttemptOutcome::Disconnected,
        AttemptOutcome::Cancelled,
    ] {
        let mut desk = Desk::new(settings(RetrySafety::NonIdempotent), 3);
        desk.ask(task(1, 1, 9 * S));
        let actions = desk.turn(&[end(1, 0, ending, None)]);
        assert_eq!(offer(&actions), None, "{ending:?}");
        assert_eq!(answers(&actions), [Action::Fail(TaskId(1))], "{ending:?}");
    }
}

#[test]
fn keyed_tasks_stay_in_their_group_and_window() {
    let mut many = settings(KEYED);
    many.limits.max_attempts = 4;
    let mut desk = Desk::new(many, 0);
    let cells = |n: u32| MachineEntry {
        cell: n / 2,
        ..machine(n)
    };
    desk.list(UpdateScope::Full, (0..8).map(cells).collect());
    let first = desk.ask(task(1, 1, 20 * S)).expect("an offer");
    let actions = desk.turn(&[end(1, 0, AttemptOutcome::Disconnected, None)]);
    let again = offer(&actions).expect("the cell's other machine");
    assert_eq!(again / 2, first / 2);
    assert_ne!(again, first, "the one that failed is avoided");
    // Near its end an offer is waited for no longer than the window lasts: it may wait for its connection as long.
    desk.now += 3_900_000;
    let actions = desk.turn(&[end(1, 1, AttemptOutcome::Disconnected, None)]);
    assert!(
        time_out(&actions).is_some_and(|out| out <= 100_000),
        "{actions:?}"
    );
    // Past the window nothing is sent, and a refusal would promise too much.
    desk.now += 100_000;
    let actions = desk.turn(&[end(1, 2, AttemptOutcome::Disconnected, None)]);
    assert_eq!(offer(&actions), None);
    assert_eq!(answers(&actions), [Action::Fail(TaskId(1))]);
}

#[test]
fn never_two_attempts_out_and_never_more_than_allowed() {
    let mut desk = Desk::new(settings(RetrySafety::Idempotent), 5);
    desk.ask(task(1, 1, 20 * S));
    assert_eq!(offer(&desk.wait(3 * S, &[0, 2])), None);
    for number in 0..2 {
        let actions = desk.turn(&[end(1, number, AttemptOutcome::Rejected, Some(FailureReason::Cores))]);
        assert!(offer(&actions).is_some());
    }
    let actions = desk.turn(&[end(1, 2, AttemptOutcome::Rejected, Some(FailureReason::Cores))]);
    assert_eq!(answers(&actions), [Action::Reject(TaskId(1), None)]);
}

#[test]
fn drained_and_gone_machines_get_nothing_new() {
    for state in [MachineState::Draining, MachineState::Gone] {
        let mut desk = Desk::new(settings(RetrySafety::Idempotent), 2);
        let listing = MachineEntry {
            state,
            ..machine(0)
        };
        desk.list(UpdateScope::Delta, vec![listing]);
        for n in 0..40 {
            assert_eq!(desk.ask(task(n, n, 9 * S)), Some(1));
        }
    }
    let mut desk = Desk::new(settings(RetrySafety::Idempotent), 2);
    desk.list(UpdateScope::Full, vec![machine(1)]);
    for n in 0..40 {
        assert_eq!(
            desk.ask(task(n, n, 9 * S)),
            Some(1),
            "absent from a full list"
        );
    }
}

#[test]
fn where_discovery_must_be_asked_it_is_at_once_and_after_each_failure() {
    let mut asks = settings(RetrySafety::Idempotent);
    asks.discovery = DiscoveryMode::Poll;
    let mut desk = Desk {
        placer: Placer::new(asks, 1).expect("sound settings"),
        now: 0,
    };
    let listen = |actions: &[Action]| {
        let calls = actions.iter().filter(|a| **a == Action::WatchEndpoints(true));
        calls.count()
    };
    let restored = Event::EndpointsUpdated {
        scope: UpdateScope::Restored,
        machines: vec![machine(0)],
    };
    assert_eq!(listen(&desk.turn(&[restored])), 1);
    for _ in 0..5 {
        let failed = desk.turn(&[Event::DiscoveryUnavailable]);
        assert_eq!(
            listen(&failed) + listen(&desk.wait(desk.now + S, &[0])),
            1,
            "once each"
        );
    }
}

#[test]
fn a_cold_machine_gets_no_more_than_its_own_part_of_the_budget() {
    let mut shared = settings(RetrySafety::Idempotent);
    shared.replica_count = 4;
    let mut desk = Desk::new(shared, 0);
    let cold = MachineEntry {
        started: Some(desk.now),
        ..machine(0)
    };
    desk.list(UpdateScope::Full, vec![cold]);
    let mut sends = Vec::new();
    for n in 0..400u64 {
        desk.now += 20_000;
        if desk.ask(task(n, n, desk.now + 100_000)).is_some() {
            sends.push(desk.now);
            // Refused offers count too.
            desk.turn(&[end(n, 0, AttemptOutcome::Rejected, Some(FailureReason::QueueFull))]);
            desk.turn(&[end(n, 1, AttemptOutcome::Rejected, Some(FailureReason::QueueFull))]);
        }
    }
    assert!(sends.len() > 5, "it does get some: {}", sends.len());
    for &from in &sends {
        let window = sends.iter().filter(|&&at| at >= from && at < from + 3 * S);
        assert!(window.count() <= 5, "20 offers over 4 placers");
    }
}

#[test]
fn more_placers_than_fresh_offers_keep_every_window_yet_the_machine_gets_work() {
    // Told of the same start at different times, each with more tasks than it may send: with one offer a
    // window for each of 400 placers, a machine that bears 20 would get 400.
    let started = 5 * S;
    let mut sends = Vec::new();
    let mut busy = 0;
    for number in 0..400u32 {
        let mut shared = settings(RetrySafety::Idempotent);
        (shared.replica_count, shared.replica_index) = (400, number);
        let placer = Placer::new(shared, u64::from(number)).expect("sound settings");
        let mut desk = Desk {
            placer,
            now: started + u64::from(number % 40) * 100_000,
        };
        desk.list(
            UpdateScope::Full,
            vec![MachineEntry {
                started: Some(started),
                ..machine(0)
            }],
        );
        let before = sends.len();
        for n in 0..100u64 {
            desk.now += 90_000;
            if desk.ask(task(n, n, desk.now + 100_000)).is_some() {
                sends.push(desk.now);
                desk.turn(&[
                    end(n, 0, AttemptOutcome::Rejected, Some(FailureReason::QueueFull)),
                    Event::ClientDisconnected(TaskId(n)),
                ]);
            }
        }
        busy += u32::from(sends.len() > before);
        // Once it is warm, everyone may.
        desk.now = started + 16 * S;
        assert_eq!(desk.ask(task(1000, 1000, desk.now + 6 * S)), Some(0));
    }
    sends.sort_unstable();
    let most = sends.iter().map(|&from| {
        sends
            .iter()
            .filter(|&&at| at >= from && at <= from + 3 * S)
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
fn spread_counts_attempts_and_running_tasks_per_place() {
    for place in [TopologyLevel::Machine, TopologyLevel::Cell, TopologyLevel::Zone] {
        let mut spread = settings(RetrySafety::Idempotent);
        spread.classes[0].spread_limit = Some((place, 2));
        let mut desk = Desk::new(spread, 1);
        // One that runs already counts, an offer without outcome too.
        desk.turn(&[Event::TaskAdopted(task(100, 7, 0), MachineId(0))]);
        assert_eq!(desk.ask(task(1, 7, 9 * S)), Some(0));
        assert_eq!(desk.ask(task(2, 7, 9 * S)), None, "{place:?}");
        assert_eq!(desk.ask(task(3, 8, 9 * S)), Some(0), "another service");
        desk.turn(&[end(100, 0, AttemptOutcome::Completed, None)]);
        let actions = desk.wait(desk.now + 100_000, &[0]);
        assert_eq!(offer(&actions), Some(0), "room again");
    }
}

#[test]
fn without_its_number_a_placer_sends_nothing_to_cold_machines() {
    let mut s = settings(RetrySafety::Idempotent);
    s.replica_count = 4;
    let mut desk = Desk::new(s, 1);
    let cold = MachineEntry {
        started: Some(desk.now),
        ..machine(0)
    };
    desk.list(UpdateScope::Full, vec![cold]);
    // Its number is lost, as when a lease ran out while it stood still: no budget is its own.
    desk.turn(&[Event::ReplicaIndexChanged(None)]);
    assert_eq!(desk.ask(task(1, 1, desk.now + 60 * S)), None);
    assert_eq!(offer(&desk.wait(desk.now + 2 * S, &[0])), None);
    // A number's last holder may have spent its part a moment ago: nothing for one window of 3 s.
    desk.turn(&[Event::ReplicaIndexChanged(Some(2))]);
    assert_eq!(offer(&desk.wait(desk.now + 3 * S, &[0])), None);
    // Then the held task goes there, and no more than that number's part does.
    let mut sent = usize::from(offer(&desk.wait(desk.now + S / 2, &[0])).is_some());
    assert_eq!(sent, 1);
    for n in 2..40 {
        sent += usize::from(desk.ask(task(n, n, desk.now + 60 * S)).is_some());
    }
    assert!(sent <= 5, "{sent} of 20 for one of four placers");
    // Warm machines need no number.
    desk.turn(&[Event::ReplicaIndexChanged(None)]);
    desk.list(UpdateScope::Full, vec![machine(0)]);
    assert!(desk.ask(task(99, 99, desk.now + 60 * S)).is_some());
}

#[test]
fn a_restart_spends_no_cold_budget_twice() {
    // Lives of one placer, each killed half a second after it began, with more tasks than it may send to one
    // machine that stays cold: whatever a life does not know of the last one, no window may hold two parts.
    let mut shared = settings(RetrySafety::Idempotent);
    (shared.replica_count, shared.rules.warm_up_duration) = (4, 60 * S);
    for life_span in [S / 2, 2 * S, 4 * S, 7 * S] {
        let (mut now, mut sends) = (5 * S, Vec::new());
        for life in 0..8u64 {
            let placer = Placer::new(shared.clone(), life).expect("sound settings");
            let mut desk = Desk { placer, now };
            desk.list(
                UpdateScope::Full,
                vec![MachineEntry {
                    started: Some(5 * S),
                    ..machine(0)
                }],
            );
            for n in 0..life_span / 20_000 {
                desk.now += 20_000;
                if desk.ask(task(n, n, desk.now + 100_000)).is_some() {
                    sends.push(desk.now);
                    desk.turn(&[
                        end(n, 0, AttemptOutcome::Rejected, Some(FailureReason::QueueFull)),
                        Event::ClientDisconnected(TaskId(n)),
                    ]);
                }
            }
            now = desk.now;
        }
        for &from in &sends {
            let window = sends
                .iter()
                .filter(|&&at| at >= from && at < from + 3 * S)
                .count();
            assert!(
                window <= 5,
                "{window} of 20 offers for one of 4 placers, lives of {life_span}"
            );
        }
        assert_eq!(
            sends.is_empty(),
            life_span < 3 * S,
            "it does get some once a window has gone by"
        );
    }
}

#[test]
fn a_held_task_names_what_it_waits_for() {
    let held = |actions: &[Action]| {
        actions
            .iter()
            .filter_map(|a| {
                if let Action::Blocked(_, lack) = a {
                    Some(*lack)
                } else {
                    None
                }
            })
            .collect()
    };
    let ask = |desk: &mut Desk, n: u64| -> Vec<BlockReason> {
        let task = task(n, 7, desk.now + 9 * S);
        held(&desk.turn(&[Event::PlacementRequested(task)]))
    };
    let mut s = settings(RetrySafety::Idempotent);
    s.limits.max_retry_after = Some(60 * S);
    s.classes[0].spread_limit = Some((TopologyLevel::Zone, 1));
    let mut desk = Desk::new(s, 0);
    assert_eq!(ask(&mut desk, 1), [BlockReason::NoReadyMachine]);
    // Each machine comes nearer than the one before; a change is told, what stays is not told again.
    let drains = MachineEntry {
        state: MachineState::Draining,
        ..machine(0)
    };
    assert_eq!(held(&desk.list(UpdateScope::Full, vec![drains])), []);
    let mut told = Vec::new();
    let mut steps = vec![vec![Event::ConnectionChanged(MachineId(1), false)]];
    steps.push(vec![Event::TaskAdopted(
        Task {
            service: ServiceId(7),
            ..task(50, 7, 0)
        },
        MachineId(2),
    )]);
    for (n, events) in steps.into_iter().enumerate() {
        let place = MachineEntry {
            zone: n as u32 + 1,
            ..machine(n as u32 + 1)
        };
        desk.list(UpdateScope::Delta, vec![place]);
        desk.turn(&events);
        told.extend(held(&desk.wait(desk.now + S / 10, &[0])));
    }
    assert_eq!(told, [BlockReason::NotConnected, BlockReason::SpreadLimit]);
    let cold = MachineEntry {
        zone: 4,
        started: Some(desk.now),
        ..machine(4)
    };
    desk.list(UpdateScope::Delta, vec![cold]);
    // Within one window of the number the cold machine gets nothing.
    desk.turn(&[Event::ReplicaIndexChanged(None)]);
    assert_eq!(held(&desk.wait(desk.now + S / 10, &[0])), [BlockReason::WarmUpBudget]);
    // Refused in the end, it is told when to come back; two that were held alike are told different times.
    ask(&mut desk, 2);
    let at_last = desk.wait(desk.now + 10 * S, &[2, 3]);
    let advice: Vec<Micros> = at_last
        .iter()
        .filter_map(|a| {
            if let Action::Reject(_, Some(after)) = a {
                Some(*after)
            } else {
                None
            }
        })
        .collect();
    assert_eq!(advice.len(), 2, "{at_last:?}");
    assert!(
        advice[0] != advice[1] && advice.iter().all(|a| (S..5 * S).contains(a)),
        "{advice:?}"
    );
}

#[test]
fn what_no_machine_can_ever_take_is_refused_at_once() {
    let mut s = settings(RetrySafety::NonIdempotent);
    s.limits.max_retry_after = Some(60 * S);
    let mut desk = Desk::new(s, 3);
    let large = Task {
        requested: Resources::new(1000.0, 1.0),
        ..task(1, 1, 9 * S)
    };
    let actions = desk.turn(&[Event::PlacementRequested(large)]);
    assert!(
        actions.contains(&Action::Blocked(TaskId(1), BlockReason::NoKindFits)),
        "{actions:?}"
    );
    assert_eq!(answers(&actions), [Action::Reject(TaskId(1), Some(60 * S))]);
    // What one could take if it were empty is held.
    let full = Task {
        requested: Resources::new(40.0, 1.0),
        ..task(2, 1, 9 * S)
    };
    assert!(offer(&desk.turn(&[Event::PlacementRequested(full)])).is_some());
}

#[test]
fn a_refusal_after_used_up_attempts_tells_when_to_come_back() {
    let mut s = settings(RetrySafety::NonIdempotent);
    s.limits.max_retry_after = Some(60 * S);
    let attempts = s.limits.max_attempts;
    let mut desk = Desk::new(s, 40);
    let mut advice = Vec::new();
    for id in 1..4 {
        desk.ask(task(id, 1, desk.now + 9 * S));
        for number in 0..attempts {
            let actions = desk.turn(&[end(id, number, AttemptOutcome::Rejected, Some(FailureReason::Cores))]);
            advice.extend(answers(&actions).into_iter().filter_map(|a| {
                if let Action::Reject(_, after) = a {
                    after
                } else {
                    None
                }
            }));
        }
    }
    // Without this they came back at once, all together.
    assert_eq!(advice.len(), 3, "each is refused, and told when");
    assert!(
        advice.windows(2).all(|w| w[0] != w[1])
            && advice.iter().all(|a| (S / 2..2 * S).contains(a))
    );
}
