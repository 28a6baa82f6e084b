//! Stores that an earlier build wrote stay readable, and every task in them is recovered.
//!
//! `fixtures/running-tasks.redb.zst` is the store of an agent of text a11b515 that was killed while three tasks ran and
//! two had ended without their placer having heard of it; `fixtures/all-states.redb.zst` was written by the same text
//! through its store, with a task in each state. Neither is made anew when the code changes.

use std::path::Path;

use maplethread_admission::AdmissionPolicy;
use maplethread_agent::store::{HostFacts, Store, StoredState};
use maplethread_agent::{Action, Agent, ProcessIdentity, RecoveryOutcome, StoredTask, TaskState};
use maplethread_wire::frame::{DuplicatePolicy, Reason, ResourceAmounts};

/// Everything in a recorded store; it is opened in a copy, since opening it may write.
fn read(name: &str) -> (HostFacts, Vec<(u64, StoredTask)>) {
    let packed = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(format!("{name}.redb.zst"));
    let packed = std::fs::read(packed).expect("a fixture");
    let bytes = zstd::decode_all(&packed[..]).expect("a Zstandard frame");
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("agent.redb");
    std::fs::write(&path, bytes).expect("a copy");
    let StoredState { facts, tasks } = Store::open(&path).expect("a store").load().expect("tasks");
    (facts, tasks)
}

fn agent() -> Agent {
    let policy = AdmissionPolicy {
        cores: 8.0,
        memory_gib: 16.0,
        cpu_overcommit: 1.0,
        memory_overcommit: 1.0,
        max_queue_length: 8,
        max_concurrent_starts: 8,
        max_warm_programs: 0,
        allows_preemption: false,
    };
    Agent::new("node-1", 1, policy, 1000)
}

#[test]
fn recovers_every_task_of_a_killed_agent() {
    let (facts, tasks) = read("running-tasks");
    assert!(!facts.is_draining && !facts.boot_id.is_empty());
    let actors: Vec<&str> = tasks.iter().map(|(_, t)| &t.offer.actor[..]).collect();
    assert_eq!(actors, ["a1", "a2", "a3", "b4", "b5"]);
    for (attempt, task) in &tasks {
        assert_eq!(task.offer.attempt_id, *attempt);
        assert_eq!(&*task.placer, "placer-0");
        let quarter = ResourceAmounts {
            cores: 0.25,
            memory_gib: 0.25,
        };
        assert_eq!(task.offer.requested, quarter);
        match &task.offer.class[..] {
            "job" => {
                assert_eq!(task.offer.duplicate_policy, DuplicatePolicy::NonIdempotent);
                assert!(
                    matches!(task.state, TaskState::Running(_)),
                    "{:?}",
                    task.state
                );
            }
            "brief" => {
                assert_eq!(task.offer.duplicate_policy, DuplicatePolicy::Idempotent);
                assert!(matches!(
                    task.state,
                    TaskState::Finished {
                        reason: Reason::Completed,
                        possibly_started: true
                    }
                ));
            }
            other => panic!("class {other}"),
        }
    }

    // Those that ran run on, and nothing is started again.
    let alive = |_: u64, task: &StoredTask| match task.state {
        TaskState::Running(identity) => RecoveryOutcome::Running(identity),
        _ => panic!("asked for the process of a task that has ended"),
    };
    let (mut agent, mut actions) = (agent(), Vec::new());
    agent.recover(1, facts.is_draining, tasks.clone(), alive, &mut actions);
    let running: Vec<u64> = agent
        .running_processes()
        .map(|(attempt, _)| attempt)
        .collect();
    let expected: Vec<u64> = tasks[..3].iter().map(|(attempt, _)| *attempt).collect();
    assert_eq!(running, expected);
    assert!(
        actions.iter().all(|a| matches!(a, Action::StoreTask(..))),
        "{actions:?}"
    );
}

#[test]
fn reads_every_state_that_a_task_can_be_stored_in() {
    let (facts, tasks) = read("all-states");
    let written = HostFacts {
        boot_id: "boot-1".into(),
        is_draining: true,
    };
    assert_eq!(facts, written);
    let identity = ProcessIdentity {
        pid: 4242,
        start_ticks: 987_654,
    };
    let states = [
        TaskState::Accepted,
        TaskState::Starting,
        TaskState::Running(identity),
        TaskState::Finished {
            reason: Reason::Completed,
            possibly_started: true,
        },
        TaskState::Finished {
            reason: Reason::Error,
            possibly_started: false,
        },
        TaskState::Finished {
            reason: Reason::Evicted,
            possibly_started: true,
        },
    ];
    let copies = [
        DuplicatePolicy::Idempotent,
        DuplicatePolicy::IdempotencyKey(9),
        DuplicatePolicy::NonIdempotent,
    ];
    assert_eq!(tasks.len(), states.len());
    for (n, (attempt, task)) in tasks.iter().enumerate() {
        assert_eq!(*attempt, 0x100 + n as u64);
        assert_eq!(task.state, states[n]);
        assert_eq!(&*task.placer, "placer-1");
        let offer = &task.offer;
        assert_eq!(
            (offer.attempt_id, offer.prior_attempts),
            (*attempt, n as u32)
        );
        assert_eq!(offer.service, format!("service-{n}"));
        assert_eq!(offer.request_id, format!("request-{n}"));
        assert_eq!((&offer.actor[..], &offer.class[..]), ("ä", "job"));
        let asks = ResourceAmounts {
            cores: 0.5,
            memory_gib: 1.5,
        };
        assert_eq!((offer.requested, offer.priority), (asks, n as u32));
        assert_eq!(offer.duplicate_policy, copies[n % 3]);
        assert_eq!(
            (offer.expected_duration_ms, offer.answer_timeout_ms),
            (700 + n as u64, 250)
        );
    }
}
