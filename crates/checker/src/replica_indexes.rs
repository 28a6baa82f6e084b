//! The replica indexes that placers lease in the catalogue. Rule 4 depends on them: a placer without one has no share
//! of the warm-up budget of a host. They are derived from the locks that the catalogue's leader applied and from the
//! frames that reached the hosts, never from what placers report about themselves.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::history::Observation;

type Name = Arc<str>;

/// The lock of the current process of a placer on a replica index.
#[derive(Clone, Copy)]
enum IndexLock {
    Held,
    /// Released by the end of its session; no other placer can lock it before this time, µs.
    ReleasedUntil(u64),
}

/// A replica index with its lock.
struct Lease {
    replica_index: Name,
    lock: IndexLock,
}

/// A replica index that no placer holds.
struct FreeIndex {
    /// The earliest time at which it can be locked, µs.
    available_from: u64,
    /// How long enough placers have needed an index since then, µs.
    waited_us: u64,
}

/// The leases of all replica indexes.
#[derive(Default)]
pub(crate) struct ReplicaIndexes {
    /// Whether any replica index has been locked in this run; if not, placers need none.
    are_leased: bool,
    placers: BTreeSet<Name>,
    /// Placers that are down or paused.
    unavailable: BTreeSet<Name>,
    /// Leases by placer.
    leases: BTreeMap<Name, Lease>,
    free: BTreeMap<Name, FreeIndex>,
    /// Time until which the catalogue has no leader, µs.
    leaderless_until: u64,
    /// Time up to which waiting times have been accumulated, µs.
    advanced_to: u64,
    /// Waiting times of the indexes that were locked again, µs.
    waits_us: Vec<u64>,
}

impl ReplicaIndexes {
    /// Applies an observation at `now`. Returns a description of the violation of rule 4 that it shows, if any.
    pub(crate) fn observe(&mut self, now: u64, observation: &Observation) -> Option<String> {
        self.advance(now);
        match observation {
            Observation::ReplicaIndexLocked {
                replica_index,
                placer,
            } => return self.lock(now, replica_index, placer),
            Observation::ReplicaIndexReleased {
                replica_index,
                lock_delay_us: after_us,
            } => self.release(replica_index, now + after_us),
            Observation::CatalogueLeaderLost {
                duration_us: for_us,
            } => self.leaderless_until = now + for_us,
            Observation::PlacerStarted { placer } => {
                self.placers.insert(placer.clone());
                self.unavailable.remove(placer);
            }
            Observation::PlacerStopped { placer } => {
                // Its next process must lock an index itself.
                self.leases.remove(placer);
                self.unavailable.insert(placer.clone());
            }
            Observation::PlacerPaused { placer } => {
                self.unavailable.insert(placer.clone());
            }
            Observation::PlacerResumed { placer } => {
                self.unavailable.remove(placer);
            }
            _ => {}
        }
        None
    }

    /// The reason why a placer must send no offers to a warming host; `None` if it may.
    pub(crate) fn missing_lease(&self, now: u64, placer: &str) -> Option<String> {
        if !self.are_leased {
            return None;
        }
        match self.leases.get(placer) {
            None => Some("which holds no replica index".to_owned()),
            Some(lease) => match lease.lock {
                IndexLock::Held => None,
                IndexLock::ReleasedUntil(until) if now < until => None,
                IndexLock::ReleasedUntil(_) => Some(format!(
                    "whose replica index {} was released",
                    lease.replica_index
                )),
            },
        }
    }

    /// How long each released index waited for a new holder, µs, sorted. Indexes that are still free at `end` are
    /// included with the time that they have waited so far.
    pub(crate) fn finish(&mut self, end: u64) -> Vec<u64> {
        self.advance(end);
        let mut waits_us = std::mem::take(&mut self.waits_us);
        let still_free = self.free.values().map(|free| free.waited_us);
        waits_us.extend(still_free.filter(|&waited_us| waited_us > 0));
        waits_us.sort_unstable();
        waits_us
    }

    fn holds_index(&self, placer: &Name) -> bool {
        self.leases
            .get(placer)
            .is_some_and(|lease| matches!(lease.lock, IndexLock::Held))
    }

    /// Advances the time to `now`. A free index accumulates waiting time while the catalogue has a leader and at least
    /// as many placers need an index as there are free ones.
    fn advance(&mut self, now: u64) {
        let placers_without_index = self
            .placers
            .iter()
            .filter(|placer| !self.unavailable.contains(*placer) && !self.holds_index(placer))
            .count();
        let available_indexes = self
            .free
            .values()
            .filter(|free| free.available_from <= now)
            .count();
        if placers_without_index >= available_indexes {
            for free in self.free.values_mut() {
                let since = self
                    .advanced_to
                    .max(free.available_from)
                    .max(self.leaderless_until);
                free.waited_us += now.saturating_sub(since);
            }
        }
        self.advanced_to = now;
    }

    fn lock(&mut self, now: u64, replica_index: &Name, placer: &Name) -> Option<String> {
        self.are_leased = true;
        let other_lease = self.leases.iter().find(|(holder, lease)| {
            let is_taken = match lease.lock {
                IndexLock::Held => true,
                IndexLock::ReleasedUntil(until) => now < until,
            };
            lease.replica_index == *replica_index && *holder != placer && is_taken
        });
        let other_holder = other_lease.map(|(holder, _)| holder.clone());
        self.leases.insert(
            placer.clone(),
            Lease {
                replica_index: replica_index.clone(),
                lock: IndexLock::Held,
            },
        );
        if let Some(free) = self.free.remove(replica_index) {
            self.waits_us.push(free.waited_us);
        }
        other_holder.map(|other| {
            format!("{placer} locked replica index {replica_index}, which {other} still held")
        })
    }

    fn release(&mut self, replica_index: &Name, available_from: u64) {
        for lease in self.leases.values_mut() {
            if lease.replica_index == *replica_index && matches!(lease.lock, IndexLock::Held) {
                lease.lock = IndexLock::ReleasedUntil(available_from);
            }
        }
        self.free.insert(
            replica_index.clone(),
            FreeIndex {
                available_from,
                waited_us: 0,
            },
        );
    }
}
