//! The in-memory log for the Raft library, with the snapshot of the replicated state.

use std::cell::RefCell;

use raft::eraftpb::{Entry, HardState, Snapshot};
use raft::storage::MemStorage;
use raft::{GetEntriesContext, RaftState, Storage, StorageError};

/// The number of entries that are retained before a snapshot, so that a voter that is only slightly behind does not need
/// the snapshot.
pub(crate) const RETAINED_ENTRIES: u64 = 256;

/// The in-memory log. The snapshot is stored separately, because snapshots made by [`MemStorage`] contain no state.
pub(crate) struct RaftLog {
    memory: MemStorage,
    snapshot: RefCell<Option<Snapshot>>,
}

impl RaftLog {
    pub(crate) fn new(memory: MemStorage, snapshot: Option<Snapshot>) -> RaftLog {
        RaftLog {
            memory,
            snapshot: RefCell::new(snapshot),
        }
    }

    /// The number of entries in the log.
    pub(crate) fn len(&self) -> u64 {
        let first = self.memory.first_index().unwrap_or(0);
        (self.memory.last_index().unwrap_or(0) + 1).saturating_sub(first)
    }

    /// Appends entries. They replace all entries from the index of the first one on.
    pub(crate) fn append(&self, entries: &[Entry]) {
        // Fails only if there is a gap between the log and the entries, which the library never produces.
        let _ = self.memory.wl().append(entries);
    }

    pub(crate) fn set_hard_state(&self, hard_state: HardState) {
        self.memory.wl().set_hardstate(hard_state);
    }

    pub(crate) fn set_commit_index(&self, index: u64) {
        self.memory.wl().mut_hard_state().commit = index;
    }

    /// Replaces the log by a received snapshot.
    pub(crate) fn install_snapshot(&self, snapshot: Snapshot) {
        // Fails only if the snapshot is older than the log, which the library never produces.
        let _ = self.memory.wl().apply_snapshot(snapshot.clone());
        self.snapshot.replace(Some(snapshot));
    }

    /// Stores a snapshot made by this voter, and removes the entries before it except for [`RETAINED_ENTRIES`].
    pub(crate) fn compact(&self, snapshot: Snapshot) {
        let index = snapshot.get_metadata().index;
        self.snapshot.replace(Some(snapshot));
        // Fails only if the index is beyond the log; the voter has already applied this index.
        let _ = self
            .memory
            .wl()
            .compact(index.saturating_sub(RETAINED_ENTRIES));
    }
}

impl Storage for RaftLog {
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

    fn snapshot(&self, request_index: u64, _to: u64) -> raft::Result<Snapshot> {
        let snapshot = self.snapshot.borrow().clone();
        snapshot
            .filter(|snapshot| snapshot.get_metadata().index >= request_index)
            .ok_or(raft::Error::Store(
                StorageError::SnapshotTemporarilyUnavailable,
            ))
    }
}
