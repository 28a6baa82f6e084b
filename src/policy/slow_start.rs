//! Slow start: how many offers this placer sends to a machine that has just started (rule 4).
//!
//! In every window a warming machine bears a number of offers from all placers together. They are split over the
//! placers; rejected offers count as well.

use std::collections::VecDeque;

use super::random::mix_bits;
use crate::interface::{MachineEntry, Micros, Rules};

/// Share of the budget that is spent; the rest is for offers that arrive bunched.
const BUDGET_SHARE: f64 = 0.9;

/// When offers were lately sent to one machine.
#[derive(Default)]
pub(super) struct RecentOffers {
    sent_at: VecDeque<Micros>,
}

impl RecentOffers {
    /// Records an offer, and forgets those that have left the window.
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

/// This placer's part of the warm-up budgets.
pub(super) struct SlowStart {
    /// Which of the placers this one is; none while that is not known, and then it has no part.
    replica_index: Option<u32>,
    /// Nothing goes to warming machines up to this time.
    paused_until: Micros,
}

impl SlowStart {
    pub(super) fn new(replica_index: u32) -> SlowStart {
        SlowStart {
            replica_index: Some(replica_index),
            paused_until: 0,
        }
    }

    /// Waits for a whole window, since this index's part of it may be spent already: what an earlier process, or the
    /// last holder of the index, sent is not known here.
    pub(super) fn pause(&mut self, now: Micros, window: Micros) {
        self.paused_until = now + window;
    }

    /// The index changed. Without one nothing is sent, since two placers could else spend the same part.
    pub(super) fn set_replica_index(&mut self, index: Option<u32>, now: Micros, window: Micros) {
        if index.is_some() && index != self.replica_index {
            self.pause(now, window);
        }
        self.replica_index = index;
    }

    /// Whether one more offer to the machine keeps its budget. A machine that is not warming up has none to keep.
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

/// Offers in each window that are the replica's. Where placers outnumber the offers, each start of a machine opens it to
/// only so many placers; all placers draw them alike from the machine and its start (`draw`), so no window holds more,
/// whenever each of them was notified.
fn budget_of_replica(draw: u64, rules: &Rules, replica_count: u32, index: u32) -> u64 {
    let offers = (rules.warm_up_offers * BUDGET_SHARE) as u64;
    let replicas = u64::from(replica_count);
    let turn = (u64::from(index) + mix_bits(draw) % replicas) % replicas;
    offers / replicas + u64::from(turn < offers % replicas)
}

#[cfg(test)]
mod tests;
