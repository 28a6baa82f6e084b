//! Slow start: limits this placer's offers to a machine that is warming up after its start (rule 4).
//!
//! A warming machine has a budget of offers per window for all placers together, which is split among the placers.
//! Rejected offers count as well.

use std::collections::VecDeque;

use super::random::mix_bits;
use crate::interface::{MachineEntry, Micros, Rules};

/// Share of the budget that is used. The rest is a margin for offers that arrive in bursts.
const BUDGET_SHARE: f64 = 0.9;

/// The times of recent offers to one machine.
#[derive(Default)]
pub(super) struct RecentOffers {
    sent_at: VecDeque<Micros>,
}

impl RecentOffers {
    /// Records an offer, and removes those outside of the window.
    pub(super) fn record(&mut self, now: Micros, window: Micros) {
        self.sent_at.retain(|at| at + window >= now);
        self.sent_at.push_back(now);
    }

    fn count(&self, now: Micros, window: Micros) -> u64 {
        self.sent_at
            .iter()
            .filter(|&&at| at + window >= now)
            .count() as u64
    }
}

/// This placer's share of the warm-up budgets.
pub(super) struct SlowStart {
    /// The index of this placer; without one it has no share of any budget.
    replica_index: Option<u32>,
    /// No offers are sent to warming machines until after this time.
    paused_until: Micros,
}

impl SlowStart {
    pub(super) fn new(replica_index: u32) -> SlowStart {
        SlowStart {
            replica_index: Some(replica_index),
            paused_until: 0,
        }
    }

    /// Pauses offers to warming machines for a whole window. An earlier process of this placer, or the last placer with
    /// this index, may have used the index's share of the window, and its offers are not recorded here.
    pub(super) fn pause(&mut self, now: Micros, window: Micros) {
        self.paused_until = now + window;
    }

    /// Changes the index. Without an index no offers are sent to warming machines, since two placers could otherwise
    /// use the same share.
    pub(super) fn set_replica_index(&mut self, index: Option<u32>, now: Micros, window: Micros) {
        if index.is_some() && index != self.replica_index {
            self.pause(now, window);
        }
        self.replica_index = index;
    }

    /// Whether the budget allows one more offer to the machine. Only machines that are warming up have a budget.
    pub(super) fn allows_offer(
        &self,
        entry: &MachineEntry,
        recent: &RecentOffers,
        rules: &Rules,
        replica_count: u32,
        now: Micros,
    ) -> bool {
        let is_warming = |&started_at: &Micros| started_at + rules.warm_up_duration > now;
        let Some(started_at) = entry.started_at.filter(is_warming) else {
            return true;
        };
        let Some(index) = self.replica_index.filter(|_| self.paused_until < now) else {
            return false;
        };
        let budget = budget_of_replica(entry.stable_hash ^ started_at, rules, replica_count, index);
        recent.count(now, rules.overload_window) < budget
    }
}

/// The replica's share of the offers in each window. The remainder of the division goes to some of the placers; if
/// placers outnumber the offers, only those may send any. All placers derive the same selection from `hash`, which
/// depends only on the machine and the time of its start, so no window exceeds the budget, whenever each placer
/// received the list.
fn budget_of_replica(hash: u64, rules: &Rules, replica_count: u32, index: u32) -> u64 {
    let offers = (rules.warm_up_offers_per_window * BUDGET_SHARE) as u64;
    let replicas = u64::from(replica_count);
    let rotated_index = (u64::from(index) + mix_bits(hash) % replicas) % replicas;
    offers / replicas + u64::from(rotated_index < offers % replicas)
}

#[cfg(test)]
mod tests;
