//! The replica indexes that placers lease in the catalogue. Rule 4 rests on them: a placer without one has no share of the
//! warm-up budget of a host. They are taken from the locks that the catalogue's leader applied and from what reached the
//! hosts, never from what placers say of themselves.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::history::Observation;

type Name = Arc<str>;

/// What the present process of a placer has.
#[derive(Clone, Copy)]
enum IndexLock {
    Held,
    /// Released by the end of its session; nobody else gets it before this time, µs.
    ReleasedUntil(u64),
}

/// A replica index and its lock.
struct Lease {
    replica_index: Name,
    lock: IndexLock,
}

/// A replica index that nobody holds.
struct FreeIndex {
    /// It can be locked from this time on, µs.
    available_from: u64,
    /// How long enough placers have wanted one since, µs.
    waited_us: u64,
}

/// Who holds which replica index.
#[derive(Default)]
pub(crate) struct ReplicaIndexes {
    /// Whether the run leases replica indexes at all.
    are_leased: bool,
    placers: BTreeSet<Name>,
    /// Placers that are down or paused.
    unavailable: BTreeSet<Name>,
    leases: BTreeMap<Name, Lease>,
    free: BTreeMap<Name, FreeIndex>,
    leaderless_until: u64,
    advanced_to: u64,
    /// How long each index that was locked again had waited, µs.
    waits_us: Vec<u64>,
}

impl ReplicaIndexes {
    /// Applies an observation at `now`; returns the violation of rule 4 that it shows, if it shows one.
    pub(crate) fn observe(&mut self, now: u64, observation: &Observation) -> Option<String> {
        self.advance(now);
        match observation {
            Observation::ReplicaIndexLocked {
                replica_index,
                placer,
            } => return self.lock(now, replica_index, placer),
            Observation::ReplicaIndexReleased {
                replica_index,
                after_us,
            } => self.release(replica_index, now + after_us),
            Observation::CatalogueLeaderLost { for_us } => self.leaderless_until = now + for_us,
            Observation::PlacerStarted { placer } => {
                self.placers.insert(placer.clone());
                self.unavailable.remove(placer);
            }
            Observation::PlacerStopped { placer } => {
                // Its next process has to lock an index of its own.
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

    /// Why a placer may send nothing to a host that warms up; nothing if it may.
    pub(crate) fn missing_lease(&self, now: u64, placer: &str) -> Option<String> {
        if !self.are_leased {
            return None;
        }
        match self.leases.get(placer) {
            None => Some("which holds no number".to_owned()),
            Some(lease) => match lease.lock {
                IndexLock::Held => None,
                IndexLock::ReleasedUntil(until) if now < until => None,
                IndexLock::ReleasedUntil(_) => Some(format!(
                    "whose number {} was let go of",
                    lease.replica_index
                )),
            },
        }
    }

    /// How long each released index waited for a new holder, µs, sorted; those still free at the end have waited at
    /// least so long.
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

    /// Lets time pass: a free index waits while there is a leader and as many placers want an index as are free.
    fn advance(&mut self, now: u64) {
        let wanting = self
            .placers
            .iter()
            .filter(|placer| !self.unavailable.contains(*placer) && !self.holds_index(placer))
            .count();
        let available = self
            .free
            .values()
            .filter(|free| free.available_from <= now)
            .count();
        if wanting >= available {
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
        let other = self.leases.iter().find(|(holder, lease)| {
            let is_taken = match lease.lock {
                IndexLock::Held => true,
                IndexLock::ReleasedUntil(until) => now < until,
            };
            lease.replica_index == *replica_index && *holder != placer && is_taken
        });
        let other = other.map(|(holder, _)| holder.clone());
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
        other.map(|other| {
            format!("{placer} locked number {replica_index}, which {other} still held")
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
