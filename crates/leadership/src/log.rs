//! The log as the consensus library reads it: in memory, with the snapshot that holds the state.

use std::cell::RefCell;

use raft::eraftpb::{Entry, Snapshot};
use raft::storage::MemStorage;
use raft::{GetEntriesContext, RaftState, Storage, StorageError};

/// The library's own memory of a log, which would make snapshots without a state, and the snapshot that has one.
pub(crate) struct Log {
    pub(crate) memory: MemStorage,
    pub(crate) snapshot: RefCell<Option<Snapshot>>,
}

impl Storage for Log {
    fn initial_state(&self) -> raft::Result<RaftState> {
        self.memory.initial_state()
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        context: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        self.memory.entries(low, high, max_size, context)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        self.memory.term(index)
    }

    fn first_index(&self) -> raft::Result<u64> {
        self.memory.first_index()
    }

    fn last_index(&self) -> raft::Result<u64> {
        self.memory.last_index()
    }

    fn snapshot(&self, request_index: u64, _: u64) -> raft::Result<Snapshot> {
        let snapshot = self.snapshot.borrow().clone();
        let fresh = snapshot.filter(|s| s.get_metadata().index >= request_index);
        fresh.ok_or(raft::Error::Store(
            StorageError::SnapshotTemporarilyUnavailable,
        ))
    }
}
