//! Durable writes of a voter, and the durable state that results from them.

use std::collections::BTreeMap;

use protobuf::Message as _;
use raft::Storage;
use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::storage::MemStorage;
use serde::{Deserialize, Serialize};

use crate::raft_log::{RETAINED_ENTRIES, RaftLog};
use crate::state::LeadershipState;

/// A write that the caller has to make durable. Writes are applied in order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DurableWrite {
    /// The identity of the store. This is the first write to a new store, and occurs only once.
    Identity(u64),
    /// Raft's hard state (term, vote and commit index), encoded.
    Vote(Vec<u8>),
    /// Log entries, encoded. They replace all stored entries from `first_index` on.
    Entries {
        /// The index of the first entry.
        first_index: u64,
        /// The entries.
        entries: Vec<Vec<u8>>,
    },
    /// A snapshot, encoded. It covers all entries up to its index, of which only the most recent ones are retained.
    Snapshot(Vec<u8>),
}

/// The durable state of a voter, which is loaded when the voter starts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DurableState {
    /// The identity of the store; `None` if the store is new.
    pub identity: Option<u64>,
    vote: Option<Vec<u8>>,
    entries: BTreeMap<u64, Vec<u8>>,
    snapshot: Option<(u64, Vec<u8>)>,
}

/// An error in the durable state of a voter.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// A Raft message in the store cannot be decoded.
    #[error("the voter's store is damaged: {0}")]
    Damaged(#[from] protobuf::ProtobufError),
    /// The replicated state in the snapshot cannot be decoded.
    #[error("cannot decode the replicated state in the snapshot of the voter's store: {0}")]
    InvalidState(#[from] postcard::Error),
    /// The Raft library rejected the content of the store or the settings.
    #[error("the Raft library rejected the voter's store or settings: {0}")]
    RejectedByRaft(#[from] raft::Error),
    /// The store contains a vote, a snapshot or log entries, but no identity.
    #[error(
        "the voter's store is incomplete: it contains a vote, a snapshot or log entries, but no identity"
    )]
    MissingIdentity,
}

/// The state that a voter restores from its durable state.
pub(crate) struct RestoredState {
    pub(crate) log: RaftLog,
    pub(crate) state: LeadershipState,
    /// The index of the last entry applied to `state`.
    pub(crate) applied_index: u64,
}

impl DurableState {
    /// Applies a write. All writes have to be applied in order.
    ///
    /// # Errors
    ///
    /// Fails if a snapshot cannot be decoded.
    pub fn apply(&mut self, write: DurableWrite) -> Result<(), StoreError> {
        match write {
            DurableWrite::Identity(identity) => self.identity = Some(identity),
            DurableWrite::Vote(vote) => self.vote = Some(vote),
            DurableWrite::Entries {
                first_index,
                entries,
            } => {
                self.entries.split_off(&first_index);
                self.entries.extend((first_index..).zip(entries));
            }
            DurableWrite::Snapshot(bytes) => {
                let index = Snapshot::parse_from_bytes(&bytes)?.get_metadata().index;
                let first_retained = index.saturating_sub(RETAINED_ENTRIES) + 1;
                self.entries = self.entries.split_off(&first_retained);
                self.snapshot = Some((index, bytes));
            }
        }
        Ok(())
    }

    /// Whether a voter has already used the store.
    pub(crate) fn has_history(&self) -> bool {
        self.vote.is_some() || self.snapshot.is_some() || !self.entries.is_empty()
    }

    /// Decodes the log and the replicated state.
    pub(crate) fn restore(&self, voters: &[u64]) -> Result<RestoredState, StoreError> {
        let memory = MemStorage::new_with_conf_state(ConfState {
            voters: voters.to_vec(),
            ..ConfState::default()
        });
        let mut latest_snapshot = None;
        let mut state = LeadershipState::default();
        let mut applied_index = 0;
        if let Some((index, bytes)) = &self.snapshot {
            let snapshot = Snapshot::parse_from_bytes(bytes)?;
            state = postcard::from_bytes(snapshot.get_data())?;
            latest_snapshot = Some(snapshot.clone());
            memory.wl().apply_snapshot(snapshot)?;
            applied_index = *index;
        }
        let first_index = memory.first_index()?;
        let entries: Result<Vec<Entry>, _> = self
            .entries
            .range(first_index..)
            .map(|(_, bytes)| Entry::parse_from_bytes(bytes))
            .collect();
        memory.wl().append(&entries?)?;
        if let Some(vote) = &self.vote {
            memory
                .wl()
                .set_hardstate(HardState::parse_from_bytes(vote)?);
        }
        Ok(RestoredState {
            log: RaftLog::new(memory, latest_snapshot),
            state,
            applied_index,
        })
    }
}
