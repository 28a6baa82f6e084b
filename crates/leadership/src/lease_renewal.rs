//! The renewal of a lease by rounds of questions to the majority.

use std::collections::BTreeMap;

use crate::settings::Micros;

/// How many rounds may wait for answers; further ones replace the oldest.
const MAX_PENDING_ROUNDS: usize = 64;

/// The rounds by which a leader renews its lease, and how long the lease is valid.
#[derive(Default)]
pub(crate) struct LeaseRenewal {
    /// When each round that waits for answers was started.
    pending_rounds: BTreeMap<u64, Micros>,
    last_round: u64,
    /// Until when a majority follows this voter, by its own clock.
    valid_until: Micros,
}

impl LeaseRenewal {
    /// Ends the lease: the voter is not the leader.
    pub(crate) fn reset(&mut self) {
        self.pending_rounds.clear();
        self.valid_until = 0;
    }

    /// Starts a round, and returns its number.
    pub(crate) fn start_round(&mut self, now: Micros) -> u64 {
        if self.pending_rounds.len() >= MAX_PENDING_ROUNDS {
            self.pending_rounds.pop_first();
        }
        self.last_round += 1;
        self.pending_rounds.insert(self.last_round, now);
        self.last_round
    }

    /// A majority has answered a round: the lease is valid for `duration` from its start.
    pub(crate) fn confirm_round(&mut self, round: u64, duration: Micros) {
        if let Some(started_at) = self.pending_rounds.remove(&round) {
            self.valid_until = self.valid_until.max(started_at + duration);
        }
    }

    pub(crate) fn is_valid(&self, now: Micros) -> bool {
        now < self.valid_until
    }
}
