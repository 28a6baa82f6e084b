//! What a voter has to make durable, and the state that results from all these writes.

use std::collections::BTreeMap;

use protobuf::Message as _;
use raft::Storage;
use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::storage::MemStorage;
use serde::{Deserialize, Serialize};

use crate::raft_log::{RETAINED_ENTRIES, RaftLog};
use crate::state::LeadershipState;

/// What has to be made durable, in order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DurableWrite {
    /// The identity of the store: the first write, and made once.
    Identity(u64),
    /// The vote and the term, encoded.
    Vote(Vec<u8>),
    /// Entries of the log, encoded. Earlier entries from this index on are void.
    Entries {
        /// The index of the first entry.
        first_index: u64,
        /// The entries.
        entries: Vec<Vec<u8>>,
    },
    /// A snapshot, encoded. Entries up to its index are void.
    Snapshot(Vec<u8>),
}

/// The durable state of a voter, as read at its start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DurableState {
    /// The identity of the store; `None` if it is new.
    pub identity: Option<u64>,
    vote: Option<Vec<u8>>,
    entries: BTreeMap<u64, Vec<u8>>,
    snapshot: Option<(u64, Vec<u8>)>,
}

/// Why a voter cannot use its store.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// A part of it cannot be decoded.
    #[error("the voter's store is damaged: {0}")]
    Damaged(#[from] protobuf::ProtobufError),
    /// The replicated state in its snapshot cannot be decoded.
    #[error("the voter's store holds a state that can't be read: {0}")]
    InvalidState(#[from] postcard::Error),
    /// The consensus library rejects its content or the settings.
    #[error("the voter's store or settings can't be used: {0}")]
    RejectedByRaft(#[from] raft::Error),
    /// It has a vote or a log, but no identity.
    #[error("the voter's store is no whole one: it holds a vote or a log, and no identity")]
    MissingIdentity,
}

/// What a voter restores from its durable state.
pub(crate) struct RestoredState {
    pub(crate) log: RaftLog,
    pub(crate) state: LeadershipState,
    /// The index of the last entry that is part of `state`.
    pub(crate) applied_index: u64,
}

impl DurableState {
    /// Applies a write. The durable state is the result of all writes in order.
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

    /// Whether a voter has used the store.
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
