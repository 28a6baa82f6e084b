//! Stores written by an earlier build stay readable, and every task in them is recovered.
//!
//! Both fixtures were written by commit a11b515. `fixtures/running-tasks.redb.zst` is the store of an agent that was
//! killed while three tasks were running and the results of two finished tasks had not been sent to the placer.
//! `fixtures/all-states.redb.zst` contains a task in each state. The fixtures must not be regenerated when the code
//! changes.

use std::path::Path;

use maplethread_admission::AdmissionPolicy;
use maplethread_agent::store::{HostFacts, Store, StoredState};
use maplethread_agent::{Action, Agent, ProcessIdentity, RecoveryOutcome, StoredTask, TaskState};
use maplethread_wire::frame::{DuplicatePolicy, Reason, ResourceAmounts};

/// Loads a recorded store. It is decompressed to a temporary file, because opening a store may write to it.
fn load_fixture(name: &str) -> (HostFacts, Vec<(u64, StoredTask)>) {
    let fixture_path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(format!("{name}.redb.zst"));
    let compressed = std::fs::read(fixture_path).expect("the fixture is readable");
    let bytes = zstd::decode_all(&compressed[..]).expect("the fixture is a Zstandard frame");
    let folder = tempfile::tempdir().expect("a temporary folder can be created");
    let path = folder.path().join("agent.redb");
    std::fs::write(&path, bytes).expect("the copy is written");
    let StoredState { facts, tasks } = Store::open(&path)
        .expect("the store opens")
        .load()
        .expect("the store is readable");
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
fn recovers_every_task_of_killed_agent() {
    let (facts, tasks) = load_fixture("running-tasks");
    assert!(!facts.is_draining && !facts.boot_id.is_empty());
    let actors: Vec<&str> = tasks.iter().map(|(_, t)| &t.offer.actor[..]).collect();
    assert_eq!(actors, ["a1", "a2", "a3", "b4", "b5"]);
    for (attempt, task) in &tasks {
        assert_eq!(task.offer.attempt_id, *attempt);
        assert_eq!(&*task.placer, "placer-0");
        let requested = ResourceAmounts {
            cores: 0.25,
            memory_gib: 0.25,
        };
        assert_eq!(task.offer.requested, requested);
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
            other => panic!("unexpected class {other}"),
        }
    }

    // Running tasks are kept as running, and no task is started again.
    let find_process = |_: u64, task: &StoredTask| match task.state {
        TaskState::Running(identity) => RecoveryOutcome::Running(identity),
        _ => panic!("process lookup for a finished task"),
    };
    let (mut agent, mut actions) = (agent(), Vec::new());
    agent.recover(
        1,
        facts.is_draining,
        tasks.clone(),
        find_process,
        &mut actions,
    );
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
fn loads_tasks_in_every_state() {
    let (facts, tasks) = load_fixture("all-states");
    let expected_facts = HostFacts {
        boot_id: "boot-1".into(),
        is_draining: true,
    };
    assert_eq!(facts, expected_facts);
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
    let duplicate_policies = [
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
        let requested = ResourceAmounts {
            cores: 0.5,
            memory_gib: 1.5,
        };
        assert_eq!((offer.requested, offer.priority), (requested, n as u32));
        assert_eq!(offer.duplicate_policy, duplicate_policies[n % 3]);
        assert_eq!(
            (offer.expected_duration_ms, offer.answer_timeout_ms),
            (700 + n as u64, 250)
        );
    }
}
