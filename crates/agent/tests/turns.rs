//! Turns of an agent without processes: what is kept before what leaves, what becomes of a turn that can't be kept, and
//! what a later life makes of what an earlier one kept.

use std::sync::Arc;

use maplethread_admission::Policy;
use maplethread_agent::agent::Later;
use maplethread_agent::{Agent, Do, Fate, Identity, Kept, agent::Found};
use maplethread_wire::frame::{Copies, Frame, Load, Offer, Reason};

fn policy() -> Policy {
    Policy {
        cores: 4.0,
        memory: 8.0,
        over_cores: 1.0,
        over_memory: 1.0,
        line: 8,
        starts: 1,
        kept: 0,
        push_out: true,
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
        attempt,
        number: 0,
        service: "s".into(),
        actor: "a".into(),
        class: "c".into(),
        request: "r".into(),
        asks: Load { cores, memory: 0.5 },
        priority,
        copies: Copies::Unsafe,
        life_ms: 0,
        wait_ms: 100,
    }
}

fn ask(agent: &mut Agent, offer: Offer) -> Vec<Do> {
    let mut out = Vec::new();
    agent.frame(1, &placer(), Frame::Offer(offer), &mut out);
    out
}

fn spawned(agent: &mut Agent, attempt: u64) -> Vec<Do> {
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

fn frames(out: &[Do]) -> Vec<&Frame> {
    out.iter()
        .filter_map(|d| match d {
            Do::Send(_, frame) => Some(frame),
            _ => None,
        })
        .collect()
}

fn fates(out: &[Do]) -> Vec<Fate> {
    out.iter()
        .filter_map(|d| match d {
            Do::Keep(_, kept) => Some(kept.fate),
            _ => None,
        })
        .collect()
}

#[test]
fn the_intent_to_start_is_kept_before_the_start_and_few_start_at_once() {
    let mut agent = agent();
    let first = ask(&mut agent, offer(1, 1.0, 0));
    assert_eq!(fates(&first), [Fate::Accepted, Fate::Starting]);
    assert!(first.contains(&Do::Spawn(1)));
    let second = ask(&mut agent, offer(2, 1.0, 0));
    assert_eq!(fates(&second), [Fate::Accepted], "one starts at a time");
    let out = spawned(&mut agent, 1);
    assert!(out.contains(&Do::Spawn(2)), "{out:?}");
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
    assert!(!instead.contains(&Do::Spawn(1)) && agent.offer(1).is_none());
    let refused = ask(&mut agent, offer(2, 1.0, 0));
    assert!(matches!(
        frames(&refused)[..],
        [Frame::Refused(2, Reason::NotHere, _)]
    ));
    let mut out = Vec::new();
    agent.due(3, Later::TryStore, &mut out);
    assert_eq!(out, [Do::Forget(1)]);
    assert!(
        ask(&mut agent, offer(3, 1.0, 0)).contains(&Do::Spawn(3)),
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
    assert!(!instead.contains(&Do::Spawn(2)));
    let mut out = Vec::new();
    agent.due(3, Later::TryStore, &mut out);
    assert!(
        out.contains(&Do::Spawn(2)) && fates(&out) == [Fate::Starting],
        "{out:?}"
    );
}

#[test]
fn what_is_stopped_while_it_starts_is_ended_once_it_runs() {
    let mut agent = agent();
    ask(&mut agent, offer(1, 1.0, 0));
    let mut out = Vec::new();
    agent.frame(1, &placer(), Frame::Cancel(1), &mut out);
    assert!(out.is_empty(), "there is nothing to stop yet: {out:?}");
    let identity = Identity { pid: 1, born: 5 };
    assert!(spawned(&mut agent, 1).contains(&Do::Kill(identity, false)));
    let mut out = Vec::new();
    agent.due(4, Later::Force(1), &mut out);
    assert_eq!(out, [Do::Kill(identity, true)]);
    let mut out = Vec::new();
    agent.exited(5, 1, Some(false), &mut out);
    agent.tell(|_| true, &mut out);
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
    agent.tell(|_| false, &mut out);
    assert_eq!(fates(&out), [Fate::Ended(Reason::Done, true)]);
    assert!(frames(&out).is_empty(), "nobody is there to hear it");
    let mut out = Vec::new();
    agent.tell(|_| true, &mut out);
    assert!(matches!(
        frames(&out)[..],
        [Frame::Ended(1, Reason::Done, true, _)]
    ));
    let mut out = Vec::new();
    agent.tell(|_| true, &mut out);
    assert_eq!(out, [Do::Forget(1)]);
}

#[test]
fn a_later_life_finishes_what_an_earlier_one_began() {
    let kept = |fate| Kept {
        placer: placer(),
        offer: offer(0, 0.5, 0),
        fate,
    };
    let all = [
        (1, Fate::Accepted),
        (2, Fate::Starting),
        (3, Fate::Starting),
        (4, Fate::Running(Identity { pid: 4, born: 4 })),
        (5, Fate::Running(Identity { pid: 5, born: 5 })),
        (6, Fate::Ended(Reason::Done, true)),
    ];
    let all: Vec<(u64, Kept)> = all
        .into_iter()
        .map(|(attempt, fate)| {
            let mut kept = kept(fate);
            kept.offer.attempt = attempt;
            (attempt, kept)
        })
        .collect();
    let found = |attempt: u64, _: &Kept| match attempt {
        2 | 4 => Found::Alive(Identity {
            pid: attempt as u32,
            born: 9,
        }),
        _ => Found::Gone,
    };
    let (mut agent, mut out) = (agent(), Vec::new());
    agent.recover(1, true, all, found, &mut out);
    let spawns: Vec<&Do> = out.iter().filter(|d| matches!(d, Do::Spawn(_))).collect();
    assert_eq!(
        spawns,
        [&Do::Spawn(1)],
        "only what provably never started is started"
    );
    let mut greeting = Vec::new();
    agent.greeted(&placer(), 1, &mut greeting);
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
            Frame::Held(offer, runs) => Some((offer.attempt, *runs)),
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
            (6, Reason::Done, true)
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
        out.contains(&Do::Kill(Identity { pid: 1, born: 5 }, false)),
        "{out:?}"
    );
    assert!(out.contains(&Do::Spawn(2)));
    let mut out = Vec::new();
    agent.exited(5, 1, None, &mut out);
    agent.tell(|_| true, &mut out);
    assert!(
        matches!(
            frames(&out)[..],
            [Frame::Ended(1, Reason::PushedOut, true, _)]
        ),
        "{out:?}"
    );
}
