//! Numbers that placers lease. Rule 4 rests on them: a placer without one has no part of a cold host's budget. Seen
//! from the locks that the catalogue's leader took in and from what reached the hosts, never from what placers say of
//! themselves.

use std::collections::{BTreeMap, BTreeSet};

use crate::checker::{Checker, Name};
use crate::history::Observation;

/// What a placer's present life has.
#[derive(Clone, Copy)]
enum IndexLock {
    Held,
    /// Let go of by the end of its session: nobody else gets it before then.
    ReleasedUntil(u64),
}

/// A number that nobody holds.
struct FreeIndex {
    /// It can be locked from then on.
    available_from: u64,
    /// How long enough placers have wanted one since.
    waited_us: u64,
}

/// Who holds what.
#[derive(Default)]
pub(crate) struct ReplicaIndexes {
    are_leased: bool,
    placers: BTreeSet<Name>,
    /// Down, or made to stand still.
    unavailable: BTreeSet<Name>,
    locks: BTreeMap<Name, (Name, IndexLock)>,
    free: BTreeMap<Name, FreeIndex>,
    leaderless_until: u64,
    advanced_to: u64,
}

impl ReplicaIndexes {
    fn holds(&self, placer: &Name) -> bool {
        self.locks
            .get(placer)
            .is_some_and(|(_, lock)| matches!(lock, IndexLock::Held))
    }

    /// Lets time go by: a free number waits while there is a leader, and a placer without one for each that is free.
    fn advance(&mut self, now: u64) {
        let wanting = self
            .placers
            .iter()
            .filter(|p| !self.unavailable.contains(*p) && !self.holds(p))
            .count();
        let open = self
            .free
            .values()
            .filter(|f| f.available_from <= now)
            .count();
        if wanting >= open {
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
}

impl Checker<'_> {
    pub(crate) fn observe_replica_index(&mut self, seen: &Observation) {
        let at = self.now;
        self.replica_indexes.advance(at);
        let numbers = &mut self.replica_indexes;
        match seen {
            Observation::ReplicaIndexLocked { number, placer } => {
                numbers.are_leased = true;
                let other = numbers.locks.iter().find(|(p, (n, lock))| {
                    let out = match lock {
                        IndexLock::Held => true,
                        IndexLock::ReleasedUntil(until) => at < *until,
                    };
                    n == number && *p != placer && out
                });
                let other = other.map(|(p, _)| p.clone());
                numbers
                    .locks
                    .insert(placer.clone(), (number.clone(), IndexLock::Held));
                if let Some(free) = numbers.free.remove(number) {
                    self.verdict.replica_index_waits_us.push(free.waited_us);
                }
                if let Some(other) = other {
                    let what = format!("{placer} locked number {number}, which {other} still held");
                    self.report_violation(4, what, vec![self.entry_index]);
                }
            }
            Observation::ReplicaIndexReleased { number, after_us } => {
                let until = at + after_us;
                for (n, lock) in numbers.locks.values_mut() {
                    if n == number && matches!(lock, IndexLock::Held) {
                        *lock = IndexLock::ReleasedUntil(until);
                    }
                }
                numbers.free.insert(
                    number.clone(),
                    FreeIndex {
                        available_from: until,
                        waited_us: 0,
                    },
                );
            }
            Observation::CatalogueLeaderLost { for_us } => numbers.leaderless_until = at + for_us,
            Observation::PlacerStarted { placer } => {
                numbers.placers.insert(placer.clone());
                numbers.unavailable.remove(placer);
            }
            Observation::PlacerStopped { placer } => {
                // Its next life has to lock a number of its own.
                numbers.locks.remove(placer);
                numbers.unavailable.insert(placer.clone());
            }
            Observation::PlacerPaused { placer } => {
                numbers.unavailable.insert(placer.clone());
            }
            Observation::PlacerResumed { placer } => drop(numbers.unavailable.remove(placer)),
            _ => {}
        }
    }

    /// A cold host got an offer: only those who hold a number may send one.
    pub(crate) fn check_replica_index_held(&mut self, placer: &Name, host: &Name) {
        if !self.replica_indexes.are_leased {
            return;
        }
        let why = match self.replica_indexes.locks.get(placer) {
            Some((_, IndexLock::Held)) => return,
            Some((_, IndexLock::ReleasedUntil(until))) if self.now < *until => return,
            Some((number, IndexLock::ReleasedUntil(_))) => {
                format!("whose number {number} was let go of")
            }
            None => "which holds no number".to_owned(),
        };
        self.report_violation(
            4,
            format!("cold {host} was offered a task by {placer}, {why}"),
            vec![self.entry_index],
        );
    }

    /// The day is over: what is still free has waited at least so long.
    pub(crate) fn finish_replica_indexes(&mut self, end: u64) {
        self.replica_indexes.advance(end);
        let waited = self
            .replica_indexes
            .free
            .values()
            .map(|f| f.waited_us)
            .filter(|&w| w > 0);
        self.verdict.replica_index_waits_us.extend(waited);
        self.verdict.replica_index_waits_us.sort_unstable();
    }
}
