//! What the voters agree on: who owns, in which epoch, and which store each voter votes with.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// An ownership.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ownership {
    /// The voter that owns.
    pub owner: u64,
    /// Higher than that of every ownership before.
    pub epoch: u64,
}

/// What is agreed on, in order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// A voter that leads begins an ownership.
    Own {
        /// The voter.
        owner: u64,
    },
    /// A voter votes with this store, and with no other one.
    Register {
        /// The voter.
        voter: u64,
        /// Its store's identity.
        store: u64,
    },
}

/// The state that all commands so far come to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// The latest ownership; its epoch is the highest there was.
    pub latest: Option<Ownership>,
    /// The store with which each voter votes.
    pub stores: BTreeMap<u64, u64>,
    /// Epochs begin above this: an operator who begins a fleet's ownership anew gives it.
    pub base: u64,
}

impl State {
    /// Takes a command in; what changed of the ownership.
    pub fn apply(&mut self, command: &Command) -> Option<Ownership> {
        match *command {
            Command::Own { owner } => {
                let epoch = self.latest.map_or(self.base, |l| l.epoch) + 1;
                self.latest = Some(Ownership { owner, epoch });
                self.latest
            }
            Command::Register { voter, store } => {
                // The first word holds: a voter whose store is lost comes back under another identity.
                self.stores.entry(voter).or_insert(store);
                None
            }
        }
    }

    /// Whether a voter may vote with this store.
    pub fn admits(&self, voter: u64, store: u64) -> bool {
        self.stores.get(&voter).is_none_or(|&known| known == store)
    }
}
