//! What the agent keeps: one embedded store (redb), one commit a turn. Each value is versioned and checked on reading,
//! so that a store of another version, or a damaged one, is told as such and never taken for an empty one.

use std::path::Path;

use maplethread_wire::frame::{self, Frame, Reason};
use redb::{
    Database, DatabaseError, Durability, ReadableDatabase, ReadableTable, StorageError,
    TableDefinition,
};
use serde::{Deserialize, Serialize};

use crate::agent::{Action, ProcessIdentity, StoredTask, TaskState};

const TASKS_TABLE: TableDefinition<u64, &[u8]> = TableDefinition::new("tasks");
const FACTS_TABLE: TableDefinition<&str, &[u8]> = TableDefinition::new("facts");
/// The version of what stands in the tables.
const STORE_VERSION: u32 = 1;

/// Why the store can't be used.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// Another agent has it.
    #[error("another process has it open")]
    Locked,
    /// A newer program wrote it.
    #[error(
        "it has version {0}, and this program knows {STORE_VERSION}; use the program that wrote it"
    )]
    NewerVersion(u32),
    /// It is damaged.
    #[error("it is damaged: {0}; put it aside and see what runs before starting without it")]
    Damaged(String),
    /// The disk fails, is full, or may not be written.
    #[error("{0}")]
    Io(String),
}

impl From<redb::Error> for StoreError {
    fn from(e: redb::Error) -> StoreError {
        match e {
            redb::Error::DatabaseAlreadyOpen => StoreError::Locked,
            redb::Error::Corrupted(why) => StoreError::Damaged(why),
            redb::Error::UpgradeRequired(version) => StoreError::NewerVersion(u32::from(version)),
            e => StoreError::Io(e.to_string()),
        }
    }
}

fn storage_error(e: impl Into<redb::Error>) -> StoreError {
    e.into().into()
}

/// Who writes: what tells one start of the machine from the next, and whether the host drains.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostFacts {
    /// The kernel's id of this boot.
    pub boot_id: String,
    /// The host drains.
    pub is_draining: bool,
}

#[derive(Serialize, Deserialize)]
enum StoredState {
    Accepted,
    Starting,
    Running { pid: u32, born: u64 },
    Finished { reason: u8, ran: bool },
}

#[derive(Serialize, Deserialize)]
struct TaskRow<'a> {
    placer: &'a str,
    state: StoredState,
    /// The offer, as a frame of the host protocol.
    offer: Vec<u8>,
}

fn encode_task(kept: &StoredTask) -> Result<Vec<u8>, StoreError> {
    let mut offer = Vec::new();
    frame::encode(&Frame::Held(kept.offer.clone(), false), &mut offer);
    let fate = match kept.state {
        TaskState::Accepted => StoredState::Accepted,
        TaskState::Starting => StoredState::Starting,
        TaskState::Running(ProcessIdentity {
            pid,
            start_ticks: born,
        }) => StoredState::Running { pid, born },
        TaskState::Finished(reason, ran) => StoredState::Finished {
            reason: reason as u8,
            ran,
        },
    };
    postcard::to_stdvec(&TaskRow {
        placer: &kept.placer,
        state: fate,
        offer,
    })
    .map_err(|e| StoreError::Io(e.to_string()))
}

fn decode_task(attempt: u64, bytes: &[u8]) -> Result<StoredTask, StoreError> {
    let damaged = |why: &str| StoreError::Damaged(format!("task {attempt:016x}: {why}"));
    let row: TaskRow<'_> = postcard::from_bytes(bytes).map_err(|e| damaged(&e.to_string()))?;
    let Ok((Some(Frame::Held(offer, _)), _)) = frame::decode(&row.offer) else {
        return Err(damaged("its offer is not one"));
    };
    if offer.attempt_id != attempt {
        return Err(damaged("its offer is another attempt's"));
    }
    let fate = match row.state {
        StoredState::Accepted => TaskState::Accepted,
        StoredState::Starting => TaskState::Starting,
        StoredState::Running { pid, born } => TaskState::Running(ProcessIdentity {
            pid,
            start_ticks: born,
        }),
        StoredState::Finished { reason, ran } => {
            TaskState::Finished(Reason::from_byte(reason), ran)
        }
    };
    Ok(StoredTask {
        placer: row.placer.into(),
        offer,
        state: fate,
    })
}

/// The store.
pub struct Store {
    database: Database,
}

impl Store {
    /// Opens it, or makes it.
    pub fn open(path: &Path) -> Result<Store, StoreError> {
        let base = Database::create(path).map_err(|e| match e {
            DatabaseError::Storage(StorageError::Io(e))
                if e.kind() == std::io::ErrorKind::InvalidData =>
            {
                StoreError::Damaged("it is no store".to_owned())
            }
            e => storage_error(e),
        })?;
        let store = Store { database: base };
        store.check_version()?;
        Ok(store)
    }

    fn check_version(&self) -> Result<(), StoreError> {
        let mut write = self.database.begin_write().map_err(storage_error)?;
        write
            .set_durability(Durability::Immediate)
            .map_err(storage_error)?;
        {
            let mut facts = write.open_table(FACTS_TABLE).map_err(storage_error)?;
            let version = facts
                .get("version")
                .map_err(storage_error)?
                .map(|v| v.value().to_vec());
            match version {
                None => drop(
                    facts
                        .insert("version", &STORE_VERSION.to_le_bytes()[..])
                        .map_err(storage_error)?,
                ),
                Some(bytes) => {
                    let bytes: [u8; 4] = bytes
                        .try_into()
                        .map_err(|_| StoreError::Damaged("its version is no number".to_owned()))?;
                    let version = u32::from_le_bytes(bytes);
                    if version > STORE_VERSION {
                        return Err(StoreError::NewerVersion(version));
                    }
                }
            }
            write.open_table(TASKS_TABLE).map_err(storage_error)?;
        }
        write.commit().map_err(storage_error)
    }

    /// All that is kept.
    pub fn load(&self) -> Result<(HostFacts, Vec<(u64, StoredTask)>), StoreError> {
        let read = self.database.begin_read().map_err(storage_error)?;
        let facts = read.open_table(FACTS_TABLE).map_err(storage_error)?;
        let facts = match facts.get("host").map_err(storage_error)? {
            None => HostFacts::default(),
            Some(bytes) => postcard::from_bytes(bytes.value())
                .map_err(|e| StoreError::Damaged(format!("facts of the host: {e}")))?,
        };
        let mut all = Vec::new();
        for row in read
            .open_table(TASKS_TABLE)
            .map_err(storage_error)?
            .iter()
            .map_err(storage_error)?
        {
            let (attempt, bytes) = row.map_err(storage_error)?;
            all.push((
                attempt.value(),
                decode_task(attempt.value(), bytes.value())?,
            ));
        }
        Ok((facts, all))
    }

    /// Makes what a turn wants kept durable, all of it or nothing; whether there was anything.
    pub fn commit(&self, turn: &[Action], facts: Option<&HostFacts>) -> Result<bool, StoreError> {
        let any = turn.iter().any(|d| {
            matches!(
                d,
                Action::StoreTask(..) | Action::RemoveTask(_) | Action::StoreDraining
            )
        });
        if !any && facts.is_none() {
            return Ok(false);
        }
        let mut write = self.database.begin_write().map_err(storage_error)?;
        write
            .set_durability(Durability::Immediate)
            .map_err(storage_error)?;
        {
            let mut tasks = write.open_table(TASKS_TABLE).map_err(storage_error)?;
            for what in turn {
                match what {
                    Action::StoreTask(attempt, kept) => {
                        tasks
                            .insert(attempt, &encode_task(kept)?[..])
                            .map_err(storage_error)?;
                    }
                    Action::RemoveTask(attempt) => {
                        tasks.remove(attempt).map_err(storage_error)?;
                    }
                    _ => {}
                }
            }
            if let Some(facts) = facts {
                let bytes =
                    postcard::to_stdvec(facts).map_err(|e| StoreError::Io(e.to_string()))?;
                let mut table = write.open_table(FACTS_TABLE).map_err(storage_error)?;
                table.insert("host", &bytes[..]).map_err(storage_error)?;
            }
        }
        write.commit().map_err(storage_error)?;
        Ok(true)
    }
}

#[cfg(test)]
mod tests {
    use maplethread_wire::frame::{DuplicatePolicy, Offer, ResourceAmounts};

    use super::*;

    fn stored_task(attempt: u64, fate: TaskState) -> StoredTask {
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
            state: fate,
        }
    }

    #[test]
    fn loads_committed_tasks_after_reopening() {
        let folder = tempfile::tempdir().expect("a folder");
        let path = folder.path().join("agent.redb");
        let fates = [
            TaskState::Accepted,
            TaskState::Starting,
            TaskState::Running(ProcessIdentity {
                pid: 7,
                start_ticks: 1 << 40,
            }),
            TaskState::Finished(Reason::Preempted, true),
        ];
        let all: Vec<(u64, StoredTask)> = (1..)
            .zip(fates)
            .map(|(n, fate)| (n, stored_task(n, fate)))
            .collect();
        let facts = HostFacts {
            boot_id: "b".into(),
            is_draining: true,
        };
        {
            let store = Store::open(&path).expect("a store");
            let mut turn: Vec<Action> = all
                .iter()
                .map(|(n, kept)| Action::StoreTask(*n, kept.clone()))
                .collect();
            turn.push(Action::StoreTask(99, stored_task(99, TaskState::Accepted)));
            assert!(store.commit(&turn, Some(&facts)).expect("a commit"));
            assert!(
                store
                    .commit(&[Action::RemoveTask(99)], None)
                    .expect("a commit")
            );
            assert!(
                !store
                    .commit(&[Action::StartProcess(1)], None)
                    .expect("nothing to do")
            );
            assert!(
                matches!(Store::open(&path), Err(StoreError::Locked)),
                "one agent at a time"
            );
        }
        let store = Store::open(&path).expect("a store");
        assert_eq!(store.load().expect("readable"), (facts, all));
    }

    #[test]
    fn rejects_damaged_foreign_or_newer_store_with_its_cause() {
        let folder = tempfile::tempdir().expect("a folder");
        let path = folder.path().join("agent.redb");
        std::fs::write(&path, vec![7; 100_000]).expect("a file");
        assert!(matches!(
            Store::open(&path),
            Err(StoreError::Damaged(_) | StoreError::Io(_))
        ));
        let path = folder.path().join("newer.redb");
        {
            let store = Store::open(&path).expect("a store");
            let write = store.database.begin_write().expect("a write");
            write
                .open_table(FACTS_TABLE)
                .expect("a table")
                .insert("version", &9u32.to_le_bytes()[..])
                .expect("a row");
            write.commit().expect("a commit");
        }
        assert!(matches!(
            Store::open(&path),
            Err(StoreError::NewerVersion(9))
        ));
        let path = folder.path().join("row.redb");
        let store = Store::open(&path).expect("a store");
        let write = store.database.begin_write().expect("a write");
        write
            .open_table(TASKS_TABLE)
            .expect("a table")
            .insert(5, &[1u8, 2, 3][..])
            .expect("a row");
        write.commit().expect("a commit");
        let told = store.load().expect_err("a damaged row").to_string();
        assert!(told.contains("0000000000000005"), "{told}");
    }
}
