//! Renewal of a lease by rounds of Raft read-index requests, each confirmed by a majority.

use std::collections::BTreeMap;

use crate::settings::Micros;

/// Maximum number of unconfirmed rounds; a further one replaces the oldest.
const MAX_PENDING_ROUNDS: usize = 64;

/// The renewal rounds of a leader, and the time until which its lease is valid.
#[derive(Default)]
pub(crate) struct LeaseRenewal {
    /// The start time of each unconfirmed round.
    pending_rounds: BTreeMap<u64, Micros>,
    last_round: u64,
    /// The end of the lease, by the clock of this voter.
    valid_until: Micros,
}

impl LeaseRenewal {
    /// Ends the lease, when the voter is not the leader.
    pub(crate) fn reset(&mut self) {
        self.pending_rounds.clear();
        self.valid_until = 0;
    }

    /// Starts a round. Returns its number.
    pub(crate) fn start_round(&mut self, now: Micros) -> u64 {
        if self.pending_rounds.len() >= MAX_PENDING_ROUNDS {
            self.pending_rounds.pop_first();
        }
        self.last_round += 1;
        self.pending_rounds.insert(self.last_round, now);
        self.last_round
    }

    /// Records that a majority has confirmed a round: the lease is valid for `duration` from the start of the round.
    pub(crate) fn confirm_round(&mut self, round: u64, duration: Micros) {
        if let Some(started_at) = self.pending_rounds.remove(&round) {
            self.valid_until = self.valid_until.max(started_at + duration);
        }
    }

    pub(crate) fn is_valid(&self, now: Micros) -> bool {
        now < self.valid_until
    }
}
