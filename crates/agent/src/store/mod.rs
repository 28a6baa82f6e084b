//! The durable state of an agent: an embedded database (redb) with one commit for each list of actions.
//!
//! Each value is validated when it is read, and the database contains a version number, so that a damaged store or one of
//! a newer version is reported as such and never treated as empty.

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
/// Key of the version, stored as 4 bytes in little-endian order.
const VERSION_KEY: &str = "version";
/// Key of the [`HostFacts`].
const HOST_KEY: &str = "host";
/// The version of the contents of the tables.
const STORE_VERSION: u32 = 1;

/// Stored facts about the host. Fields are encoded by position: their order must not change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostFacts {
    /// The kernel's boot id when the agent last started.
    pub boot_id: String,
    /// Whether the host is draining.
    pub is_draining: bool,
}

/// The contents of a store.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoredState {
    /// Facts about the host.
    pub facts: HostFacts,
    /// The tasks, by attempt.
    pub tasks: Vec<(u64, StoredTask)>,
}

/// The store of one agent.
pub struct Store {
    database: Database,
}

impl Store {
    /// Opens a store, or creates it if it does not exist.
    ///
    /// # Errors
    /// If the store is open in another process, has a newer version or is damaged, or if the disk fails.
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

    /// Writes the version and creates the tables of a new store; checks the version of an existing one.
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

    /// Reads the contents of the store.
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

    /// Commits the changes of the store in a list of actions in one transaction. Returns whether there were any.
    ///
    /// # Errors
    /// If the commit fails; whether the transaction reached the disk is unknown then.
    pub fn commit(
        &self,
        actions: &[Action],
        facts: Option<&HostFacts>,
    ) -> Result<bool, StoreError> {
        if facts.is_none() && !actions.iter().any(Action::changes_store) {
            return Ok(false);
        }
        let write = self.begin_write()?;
        {
            let mut tasks = write.open_table(TASKS_TABLE).map_err(storage_error)?;
            for action in actions {
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
