//! The replicated state: the latest lease, and the registered store of each voter.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// The right of one voter to act as leader in one epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The id of the leader.
    pub leader: u64,
    /// The epoch, which is higher than that of every earlier lease. It is the fencing token of the leader's actions.
    pub epoch: u64,
}

/// A command in the replicated log. Commands are encoded with postcard, so the order of variants and fields must not change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Begins a lease of a newly elected leader.
    BeginLease {
        /// The id of the leader.
        leader: u64,
    },
    /// Registers the store of a voter. A voter may vote only with its registered store.
    RegisterStore {
        /// The id of the voter.
        voter: u64,
        /// The identity of the voter's store.
        store: u64,
    },
}

/// The replicated state, which results from all applied commands.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeadershipState {
    /// The latest lease, which has the highest epoch.
    pub latest_lease: Option<Lease>,
    /// The identity of each voter's registered store, by voter id.
    pub stores: BTreeMap<u64, u64>,
    /// The epoch before the first lease. If the voters are replaced by new ones with empty stores, it has to be set to at
    /// least the highest epoch of the old voters.
    pub base_epoch: u64,
}

impl LeadershipState {
    /// Applies a command. Returns the lease that the command begins, if any.
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
                // Only the first registration is accepted: a voter that has lost its store restarts with a new identity, and
                // may no longer have a record of its votes.
                self.stores.entry(voter).or_insert(store);
                None
            }
        }
    }

    /// Whether a voter may vote with this store: it is the voter's registered one, or none is registered yet.
    pub fn accepts_store(&self, voter: u64, store: u64) -> bool {
        self.stores
            .get(&voter)
            .is_none_or(|&registered| registered == store)
    }
}
