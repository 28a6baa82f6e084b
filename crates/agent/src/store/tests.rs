//! Reading back stored tasks, and errors of damaged or incompatible stores.

use std::path::PathBuf;

use maplethread_wire::frame::{DuplicatePolicy, Offer, Reason, ResourceAmounts};

use super::*;
use crate::agent::{ProcessIdentity, TaskState};

fn stored_task(attempt: u64, state: TaskState) -> StoredTask {
    let offer = Offer {
        attempt_id: attempt,
        prior_attempts: 1,
        service: "s".into(),
        actor: "ä".into(),
        class: "c".into(),
        request_id: "r".into(),
        requested: ResourceAmounts {
            cores: 0.5,
            memory_gib: 1.5,
        },
        priority: 2,
        duplicate_policy: DuplicatePolicy::IdempotencyKey(9),
        expected_duration_ms: 700,
        answer_timeout_ms: 250,
    };
    StoredTask {
        placer: "p".into(),
        offer,
        state,
    }
}

/// A temporary folder for stores, removed on drop.
struct Folder(tempfile::TempDir);

impl Folder {
    fn new() -> Folder {
        Folder(tempfile::tempdir().expect("a temporary folder can be created"))
    }

    fn path(&self, name: &str) -> PathBuf {
        self.0.path().join(name)
    }
}

#[test]
fn loads_committed_tasks_after_reopening() {
    let folder = Folder::new();
    let path = folder.path("agent.redb");
    let states = [
        TaskState::Accepted,
        TaskState::Starting,
        TaskState::Running(ProcessIdentity {
            pid: 7,
            start_ticks: 1 << 40,
        }),
        TaskState::Finished {
            reason: Reason::Preempted,
            possibly_started: true,
        },
    ];
    let tasks: Vec<(u64, StoredTask)> = (1..)
        .zip(states)
        .map(|(attempt, state)| (attempt, stored_task(attempt, state)))
        .collect();
    let facts = HostFacts {
        boot_id: "b".into(),
        is_draining: true,
    };
    {
        let store = Store::open(&path).expect("a store is created");
        let mut actions: Vec<Action> = tasks
            .iter()
            .map(|(attempt, task)| Action::StoreTask(*attempt, task.clone()))
            .collect();
        actions.push(Action::StoreTask(99, stored_task(99, TaskState::Accepted)));
        let commit =
            |actions: &[Action], facts| store.commit(actions, facts).expect("the commit succeeds");
        assert!(commit(&actions, Some(&facts)));
        assert!(commit(&[Action::RemoveTask(99)], None));
        assert!(
            !commit(&[Action::StartProcess(1)], None),
            "no action changes the store"
        );
        assert!(
            matches!(Store::open(&path), Err(StoreError::Locked)),
            "only one agent can open a store"
        );
    }
    let store = Store::open(&path).expect("the store is reopened");
    assert_eq!(
        store.load().expect("the store is readable"),
        StoredState { facts, tasks }
    );
}

#[test]
fn reports_cause_for_damaged_or_newer_store() {
    let folder = Folder::new();
    let path = folder.path("agent.redb");
    std::fs::write(&path, vec![7; 100_000]).expect("the file is written");
    assert!(matches!(
        Store::open(&path),
        Err(StoreError::Damaged(_) | StoreError::Storage(_))
    ));
    let path = folder.path("newer.redb");
    {
        let store = Store::open(&path).expect("a store is created");
        let write = store.database.begin_write().expect("a write begins");
        write
            .open_table(FACTS_TABLE)
            .expect("the table opens")
            .insert(VERSION_KEY, &9u32.to_le_bytes()[..])
            .expect("the version is written");
        write.commit().expect("the commit succeeds");
    }
    assert!(matches!(
        Store::open(&path),
        Err(StoreError::NewerVersion(9))
    ));
    let path = folder.path("row.redb");
    let store = Store::open(&path).expect("a store is created");
    let write = store.database.begin_write().expect("a write begins");
    write
        .open_table(TASKS_TABLE)
        .expect("the table opens")
        .insert(5, &[1u8, 2, 3][..])
        .expect("the row is written");
    write.commit().expect("the commit succeeds");
    let error = store.load().expect_err("the row is damaged").to_string();
    assert!(error.contains("0000000000000005"), "{error}");
}
