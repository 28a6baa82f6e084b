//! Stores that an earlier build wrote stay readable, and every task in them is recovered.
//!
//! `fixtures/running-tasks.redb.zst` is the store of an agent of text a11b515 that was killed while three tasks ran and
//! two had ended without their placer having heard of it; `fixtures/all-states.redb.zst` was written by the same text
//! through its store, with a task in each state. Neither is made anew when the code changes.

use std::path::Path;

use maplethread_admission::Policy;
use maplethread_agent::agent::Found;
use maplethread_agent::store::{Facts, Store};
use maplethread_agent::{Agent, Do, Fate, Identity, Kept};
use maplethread_wire::frame::{Copies, Load, Reason};

/// All that stands in a recorded store; it is opened in a copy, since opening it may write.
fn read(name: &str) -> (Facts, Vec<(u64, Kept)>) {
    let packed = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(format!("{name}.redb.zst"));
    let packed = std::fs::read(packed).expect("a fixture");
    let bytes = zstd::decode_all(&packed[..]).expect("a Zstandard frame");
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("agent.redb");
    std::fs::write(&path, bytes).expect("a copy");
    Store::open(&path).expect("a store").read().expect("tasks")
}

fn agent() -> Agent {
    let policy = Policy {
        cores: 8.0,
        memory: 16.0,
        over_cores: 1.0,
        over_memory: 1.0,
        line: 8,
        starts: 8,
        kept: 0,
        push_out: false,
    };
    Agent::new("node-1", 1, policy, 1000)
}

#[test]
fn recovers_every_task_of_a_killed_agent() {
    let (facts, tasks) = read("running-tasks");
    assert!(!facts.drains && !facts.boot.is_empty());
    let actors: Vec<&str> = tasks.iter().map(|(_, t)| &t.offer.actor[..]).collect();
    assert_eq!(actors, ["a1", "a2", "a3", "b4", "b5"]);
    for (attempt, task) in &tasks {
        assert_eq!(task.offer.attempt, *attempt);
        assert_eq!(&*task.placer, "placer-0");
        let quarter = Load {
            cores: 0.25,
            memory: 0.25,
        };
        assert_eq!(task.offer.asks, quarter);
        match &task.offer.class[..] {
            "job" => {
                assert_eq!(task.offer.copies, Copies::Unsafe);
                assert!(matches!(task.fate, Fate::Running(_)), "{:?}", task.fate);
            }
            "brief" => {
                assert_eq!(task.offer.copies, Copies::Safe);
                assert!(matches!(task.fate, Fate::Ended(Reason::Done, true)));
            }
            other => panic!("class {other}"),
        }
    }

    // Those that ran run on, and nothing is started again.
    let alive = |_: u64, task: &Kept| match task.fate {
        Fate::Running(identity) => Found::Alive(identity),
        _ => panic!("asked for the process of a task that has ended"),
    };
    let (mut agent, mut actions) = (agent(), Vec::new());
    agent.recover(1, facts.drains, tasks.clone(), alive, &mut actions);
    let running: Vec<u64> = agent.running().map(|(attempt, _)| attempt).collect();
    let expected: Vec<u64> = tasks[..3].iter().map(|(attempt, _)| *attempt).collect();
    assert_eq!(running, expected);
    assert!(
        actions.iter().all(|a| matches!(a, Do::Keep(..))),
        "{actions:?}"
    );
}

#[test]
fn reads_every_state_that_a_task_can_be_stored_in() {
    let (facts, tasks) = read("all-states");
    let written = Facts {
        boot: "boot-1".into(),
        drains: true,
    };
    assert_eq!(facts, written);
    let identity = Identity {
        pid: 4242,
        born: 987_654,
    };
    let states = [
        Fate::Accepted,
        Fate::Starting,
        Fate::Running(identity),
        Fate::Ended(Reason::Done, true),
        Fate::Ended(Reason::Error, false),
        Fate::Ended(Reason::Evicted, true),
    ];
    let copies = [Copies::Safe, Copies::Keyed(9), Copies::Unsafe];
    assert_eq!(tasks.len(), states.len());
    for (n, (attempt, task)) in tasks.iter().enumerate() {
        assert_eq!(*attempt, 0x100 + n as u64);
        assert_eq!(task.fate, states[n]);
        assert_eq!(&*task.placer, "placer-1");
        let offer = &task.offer;
        assert_eq!((offer.attempt, offer.number), (*attempt, n as u32));
        assert_eq!(offer.service, format!("service-{n}"));
        assert_eq!(offer.request, format!("request-{n}"));
        assert_eq!((&offer.actor[..], &offer.class[..]), ("ä", "job"));
        let asks = Load {
            cores: 0.5,
            memory: 1.5,
        };
        assert_eq!((offer.asks, offer.priority), (asks, n as u32));
        assert_eq!(offer.copies, copies[n % 3]);
        assert_eq!((offer.life_ms, offer.wait_ms), (700 + n as u64, 250));
    }
}
