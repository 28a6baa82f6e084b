//! The replicated state: the latest lease, and the store with which each voter votes.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// The right of one voter to lead in one epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The voter that leads.
    pub leader: u64,
    /// Higher than the epoch of every earlier lease; the fencing token of the leader's actions.
    pub epoch: u64,
}

/// An entry of the replicated log. Entries are encoded by postcard: the order of variants and fields must not change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// A newly elected voter begins a lease.
    BeginLease {
        /// The voter.
        leader: u64,
    },
    /// A voter votes with this store, and with no other one.
    RegisterStore {
        /// The voter.
        voter: u64,
        /// The identity of its store.
        store: u64,
    },
}

/// The replicated state after all commands so far.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeadershipState {
    /// The latest lease; its epoch is the highest so far.
    pub latest_lease: Option<Lease>,
    /// The identity of the store with which each voter votes, by the voter's number.
    pub stores: BTreeMap<u64, u64>,
    /// The first epoch is one higher. An operator who starts over with new voters sets it above the epochs of the old ones.
    pub base_epoch: u64,
}

impl LeadershipState {
    /// Applies a command, and returns the lease that it begins, if any.
    pub fn apply(&mut self, command: &Command) -> Option<Lease> {
        match *command {
            Command::BeginLease { leader } => {
                let last_epoch = self
                    .latest_lease
                    .map_or(self.base_epoch, |lease| lease.epoch);
                self.latest_lease = Some(Lease {
                    leader,
                    epoch: last_epoch + 1,
                });
                self.latest_lease
            }
            Command::RegisterStore { voter, store } => {
                // The first store counts: a voter that lost it returns under another identity, and may have forgotten votes.
                self.stores.entry(voter).or_insert(store);
                None
            }
        }
    }

    /// Whether a voter may vote with this store: it is the registered one, or none is registered yet.
    pub fn accepts_store(&self, voter: u64, store: u64) -> bool {
        self.stores
            .get(&voter)
            .is_none_or(|&registered| registered == store)
    }
}
