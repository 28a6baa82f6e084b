//! Turns of an agent without processes: what is kept before what leaves, what becomes of a turn that can't be kept, and
//! what a later life makes of what an earlier one kept.

use std::sync::Arc;

use maplethread_admission::AdmissionPolicy;
use maplethread_agent::agent::Later;
use maplethread_agent::{Action, Agent, Identity, StoredTask, TaskState, agent::RecoveryOutcome};
use maplethread_wire::frame::{DuplicatePolicy, Frame, Offer, Reason, ResourceAmounts};

fn policy() -> AdmissionPolicy {
    AdmissionPolicy {
        cores: 4.0,
        memory_gib: 8.0,
        cpu_overcommit: 1.0,
        memory_overcommit: 1.0,
        max_queue_length: 8,
        max_concurrent_starts: 1,
        max_warm_programs: 0,
        allows_preemption: true,
    }
}

fn agent() -> Agent {
    Agent::new("n", 1, policy(), 1000)
}

fn placer() -> Arc<str> {
    "p".into()
}

fn offer(attempt: u64, cores: f64, priority: u32) -> Offer {
    Offer {
        attempt_id: attempt,
        prior_attempts: 0,
        service: "s".into(),
        actor: "a".into(),
        class: "c".into(),
        request_id: "r".into(),
        requested: ResourceAmounts {
            cores,
            memory_gib: 0.5,
        },
        priority,
        duplicate_policy: DuplicatePolicy::NonIdempotent,
        expected_duration_ms: 0,
        answer_timeout_ms: 100,
    }
}

fn ask(agent: &mut Agent, offer: Offer) -> Vec<Action> {
    let mut out = Vec::new();
    agent.handle_frame(1, &placer(), Frame::Offer(offer), &mut out);
    out
}

fn spawned(agent: &mut Agent, attempt: u64) -> Vec<Action> {
    let mut out = Vec::new();
    agent.spawned(
        2,
        attempt,
        Ok(Identity {
            pid: attempt as u32,
            born: 5,
        }),
        &mut out,
    );
    out
}

fn frames(out: &[Action]) -> Vec<&Frame> {
    out.iter()
        .filter_map(|d| match d {
            Action::Send(_, frame) => Some(frame),
            _ => None,
        })
        .collect()
}

fn fates(out: &[Action]) -> Vec<TaskState> {
    out.iter()
        .filter_map(|d| match d {
            Action::StoreTask(_, kept) => Some(kept.state),
            _ => None,
        })
        .collect()
}

#[test]
fn the_intent_to_start_is_kept_before_the_start_and_few_start_at_once() {
    let mut agent = agent();
    let first = ask(&mut agent, offer(1, 1.0, 0));
    assert_eq!(fates(&first), [TaskState::Accepted, TaskState::Starting]);
    assert!(first.contains(&Action::Spawn(1)));
    let second = ask(&mut agent, offer(2, 1.0, 0));
    assert_eq!(
        fates(&second),
        [TaskState::Accepted],
        "one starts at a time"
    );
    let out = spawned(&mut agent, 1);
    assert!(out.contains(&Action::Spawn(2)), "{out:?}");
    assert!(matches!(frames(&out)[..], [Frame::Started(1, _)]));
    // The same attempt again starts nothing.
    assert!(ask(&mut agent, offer(1, 1.0, 0)).is_empty());
}

#[test]
fn a_turn_that_cant_be_kept_is_taken_back_and_nothing_new_is_taken_for_a_while() {
    let mut agent = agent();
    let turn = ask(&mut agent, offer(1, 1.0, 0));
    let mut instead = Vec::new();
    agent.unkept(&turn, &mut instead);
    // It may be in the store all the same, and a later life might start it.
    assert!(
        matches!(
            frames(&instead)[..],
            [Frame::Ended(1, Reason::Error, true, _)]
        ),
        "{instead:?}"
    );
    assert!(!instead.contains(&Action::Spawn(1)) && agent.offer(1).is_none());
    let refused = ask(&mut agent, offer(2, 1.0, 0));
    assert!(matches!(
        frames(&refused)[..],
        [Frame::Refused(2, Reason::Ineligible, _)]
    ));
    let mut out = Vec::new();
    agent.handle_timer(3, Later::TryStore, &mut out);
    assert_eq!(out, [Action::Forget(1)]);
    assert!(
        ask(&mut agent, offer(3, 1.0, 0)).contains(&Action::Spawn(3)),
        "the room of the first is free"
    );
}

#[test]
fn a_start_whose_intent_cant_be_kept_waits_and_is_tried_again() {
    let mut agent = agent();
    ask(&mut agent, offer(1, 1.0, 0));
    ask(&mut agent, offer(2, 1.0, 0));
    let turn = spawned(&mut agent, 1);
    let mut instead = Vec::new();
    agent.unkept(&turn, &mut instead);
    assert!(
        matches!(frames(&instead)[..], [Frame::Started(1, _)]),
        "what runs is told: {instead:?}"
    );
    assert!(!instead.contains(&Action::Spawn(2)));
    let mut out = Vec::new();
    agent.handle_timer(3, Later::TryStore, &mut out);
    assert!(
        out.contains(&Action::Spawn(2)) && fates(&out) == [TaskState::Starting],
        "{out:?}"
    );
}

#[test]
fn what_is_stopped_while_it_starts_is_ended_once_it_runs() {
    let mut agent = agent();
    ask(&mut agent, offer(1, 1.0, 0));
    let mut out = Vec::new();
    agent.handle_frame(1, &placer(), Frame::Cancel(1), &mut out);
    assert!(out.is_empty(), "there is nothing to stop yet: {out:?}");
    let identity = Identity { pid: 1, born: 5 };
    assert!(spawned(&mut agent, 1).contains(&Action::Kill(identity, false)));
    let mut out = Vec::new();
    agent.handle_timer(4, Later::Force(1), &mut out);
    assert_eq!(out, [Action::Kill(identity, true)]);
    let mut out = Vec::new();
    agent.exited(5, 1, Some(false), &mut out);
    agent.report_finished(|_| true, &mut out);
    assert!(
        matches!(
            frames(&out)[..],
            [Frame::Ended(1, Reason::Stopped, true, _)]
        ),
        "{out:?}"
    );
}

#[test]
fn an_end_is_in_the_store_until_it_was_told() {
    let mut agent = agent();
    ask(&mut agent, offer(1, 1.0, 0));
    spawned(&mut agent, 1);
    let mut out = Vec::new();
    agent.exited(5, 1, Some(true), &mut out);
    agent.report_finished(|_| false, &mut out);
    assert_eq!(fates(&out), [TaskState::Finished(Reason::Completed, true)]);
    assert!(frames(&out).is_empty(), "nobody is there to hear it");
    let mut out = Vec::new();
    agent.report_finished(|_| true, &mut out);
    assert!(matches!(
        frames(&out)[..],
        [Frame::Ended(1, Reason::Completed, true, _)]
    ));
    let mut out = Vec::new();
    agent.report_finished(|_| true, &mut out);
    assert_eq!(out, [Action::Forget(1)]);
}

#[test]
fn a_later_life_finishes_what_an_earlier_one_began() {
    let kept = |fate| StoredTask {
        placer: placer(),
        offer: offer(0, 0.5, 0),
        state: fate,
    };
    let all = [
        (1, TaskState::Accepted),
        (2, TaskState::Starting),
        (3, TaskState::Starting),
        (4, TaskState::Running(Identity { pid: 4, born: 4 })),
        (5, TaskState::Running(Identity { pid: 5, born: 5 })),
        (6, TaskState::Finished(Reason::Completed, true)),
    ];
    let all: Vec<(u64, StoredTask)> = all
        .into_iter()
        .map(|(attempt, fate)| {
            let mut kept = kept(fate);
            kept.offer.attempt_id = attempt;
            (attempt, kept)
        })
        .collect();
    let found = |attempt: u64, _: &StoredTask| match attempt {
        2 | 4 => RecoveryOutcome::Alive(Identity {
            pid: attempt as u32,
            born: 9,
        }),
        _ => RecoveryOutcome::Gone,
    };
    let (mut agent, mut out) = (agent(), Vec::new());
    agent.recover(1, true, all, found, &mut out);
    let spawns: Vec<&Action> = out
        .iter()
        .filter(|d| matches!(d, Action::Spawn(_)))
        .collect();
    assert_eq!(
        spawns,
        [&Action::Spawn(1)],
        "only what provably never started is started"
    );
    let mut greeting = Vec::new();
    agent.handle_greeting(&placer(), 1, &mut greeting);
    assert_eq!(frames(&greeting).last(), Some(&&Frame::Drain));
    let held_end = frames(&greeting)
        .iter()
        .position(|f| **f == Frame::HeldEnd)
        .expect("all is named");
    let ends = frames(&greeting)[..held_end]
        .iter()
        .filter(|f| matches!(f, Frame::Ended(..)))
        .count();
    assert_eq!(ends, 3, "ends come before what is held is all named");
    let told = frames(&greeting);
    let held: Vec<(u64, bool)> = told
        .iter()
        .filter_map(|f| match f {
            Frame::Held(offer, runs) => Some((offer.attempt_id, *runs)),
            _ => None,
        })
        .collect();
    assert_eq!(held, [(1, false), (2, true), (4, true)]);
    assert!(told.contains(&&Frame::Drain), "it drained, and still does");
    let ended: Vec<(u64, Reason, bool)> = told
        .iter()
        .filter_map(|f| match f {
            Frame::Ended(attempt, reason, ran, _) => Some((*attempt, *reason, *ran)),
            _ => None,
        })
        .collect();
    // A start that was cut off may have run; how the other one ended nobody saw.
    assert_eq!(
        ended,
        [
            (3, Reason::Error, true),
            (5, Reason::Unknown, true),
            (6, Reason::Completed, true)
        ]
    );
}

#[test]
fn a_higher_priority_takes_the_room_of_a_lower_one() {
    let mut agent = agent();
    ask(&mut agent, offer(1, 3.0, 0));
    spawned(&mut agent, 1);
    let out = ask(&mut agent, offer(2, 2.0, 1));
    assert!(
        out.contains(&Action::Kill(Identity { pid: 1, born: 5 }, false)),
        "{out:?}"
    );
    assert!(out.contains(&Action::Spawn(2)));
    let mut out = Vec::new();
    agent.exited(5, 1, None, &mut out);
    agent.report_finished(|_| true, &mut out);
    assert!(
        matches!(
            frames(&out)[..],
            [Frame::Ended(1, Reason::Preempted, true, _)]
        ),
        "{out:?}"
    );
}
