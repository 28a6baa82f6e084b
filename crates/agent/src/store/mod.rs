//! The durable state of an agent: an embedded database (redb) with one commit for each turn.
//!
//! Each value is checked when it is read, and the database carries a version, so that a store of a newer version or a
//! damaged one is reported as such and never taken for an empty one.

mod error;
mod row;
#[cfg(test)]
mod tests;

use std::path::Path;

use redb::{
    Database, DatabaseError, Durability, ReadableDatabase, ReadableTable, StorageError,
    TableDefinition, WriteTransaction,
};
use serde::{Deserialize, Serialize};

use crate::agent::{Action, StoredTask};
use error::storage_error;
pub use error::{Damage, StoreError};

/// Tasks by attempt, see [`row`].
const TASKS_TABLE: TableDefinition<u64, &[u8]> = TableDefinition::new("tasks");
/// The version of the store and the facts of the host.
const FACTS_TABLE: TableDefinition<&str, &[u8]> = TableDefinition::new("facts");
/// Key of the version, 4 bytes little endian.
const VERSION_KEY: &str = "version";
/// Key of the [`HostFacts`].
const HOST_KEY: &str = "host";
/// The version of the contents of the tables.
const STORE_VERSION: u32 = 1;

/// What is stored of the host. Stored by position: the order of the fields stays.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostFacts {
    /// The kernel's id of the boot in which the agent last ran.
    pub boot_id: String,
    /// Whether the host is draining.
    pub is_draining: bool,
}

/// Everything that a store holds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoredState {
    /// What is stored of the host.
    pub facts: HostFacts,
    /// The tasks, by attempt.
    pub tasks: Vec<(u64, StoredTask)>,
}

/// The store of one agent.
pub struct Store {
    database: Database,
}

impl Store {
    /// Opens a store, or creates it.
    ///
    /// # Errors
    /// If another process has it open, if it is of a newer version or damaged, or if the disk fails.
    pub fn open(path: &Path) -> Result<Store, StoreError> {
        let database = Database::create(path).map_err(|e| match e {
            DatabaseError::Storage(StorageError::Io(e))
                if e.kind() == std::io::ErrorKind::InvalidData =>
            {
                StoreError::Damaged(Damage::NotAStore)
            }
            e => storage_error(e),
        })?;
        let store = Store { database };
        store.check_version()?;
        Ok(store)
    }

    fn begin_write(&self) -> Result<WriteTransaction, StoreError> {
        let mut write = self.database.begin_write().map_err(storage_error)?;
        write
            .set_durability(Durability::Immediate)
            .map_err(storage_error)?;
        Ok(write)
    }

    /// Writes the version and the tables of a new store; of an old one checks the version.
    fn check_version(&self) -> Result<(), StoreError> {
        let write = self.begin_write()?;
        {
            let mut facts = write.open_table(FACTS_TABLE).map_err(storage_error)?;
            let version = facts
                .get(VERSION_KEY)
                .map_err(storage_error)?
                .map(|bytes| bytes.value().to_vec());
            match version {
                None => {
                    facts
                        .insert(VERSION_KEY, &STORE_VERSION.to_le_bytes()[..])
                        .map_err(storage_error)?;
                }
                Some(bytes) => {
                    let bytes: [u8; 4] = bytes
                        .try_into()
                        .map_err(|_| StoreError::Damaged(Damage::Version))?;
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

    /// Reads everything that is stored.
    ///
    /// # Errors
    /// If a value is damaged or the disk fails.
    pub fn load(&self) -> Result<StoredState, StoreError> {
        let read = self.database.begin_read().map_err(storage_error)?;
        let facts = read.open_table(FACTS_TABLE).map_err(storage_error)?;
        let facts = match facts.get(HOST_KEY).map_err(storage_error)? {
            None => HostFacts::default(),
            Some(bytes) => postcard::from_bytes(bytes.value()).map_err(Damage::HostFacts)?,
        };
        let mut tasks = Vec::new();
        let table = read.open_table(TASKS_TABLE).map_err(storage_error)?;
        for entry in table.iter().map_err(storage_error)? {
            let (attempt, bytes) = entry.map_err(storage_error)?;
            let attempt = attempt.value();
            tasks.push((attempt, row::decode_task(attempt, bytes.value())?));
        }
        Ok(StoredState { facts, tasks })
    }

    /// Makes what a turn wants stored durable, all of it or nothing. Returns whether there was anything to store.
    ///
    /// # Errors
    /// If the commit fails; whether it reached the disk all the same is unknown then.
    pub fn commit(&self, turn: &[Action], facts: Option<&HostFacts>) -> Result<bool, StoreError> {
        if facts.is_none() && !turn.iter().any(Action::is_stored) {
            return Ok(false);
        }
        let write = self.begin_write()?;
        {
            let mut tasks = write.open_table(TASKS_TABLE).map_err(storage_error)?;
            for action in turn {
                match action {
                    Action::StoreTask(attempt, task) => {
                        tasks
                            .insert(attempt, &row::encode_task(task)?[..])
                            .map_err(storage_error)?;
                    }
                    Action::RemoveTask(attempt) => {
                        tasks.remove(attempt).map_err(storage_error)?;
                    }
                    _ => {}
                }
            }
            if let Some(facts) = facts {
                let bytes = postcard::to_stdvec(facts).map_err(StoreError::Encode)?;
                let mut table = write.open_table(FACTS_TABLE).map_err(storage_error)?;
                table.insert(HOST_KEY, &bytes[..]).map_err(storage_error)?;
            }
        }
        write.commit().map_err(storage_error)?;
        Ok(true)
    }
}
