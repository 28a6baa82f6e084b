//! A bounded table of what was recently recorded for set-ups.

use std::collections::VecDeque;
use std::collections::hash_map::{Entry, HashMap};

use maplethread::Micros;
use maplethread_platform_wire::SetupId;

/// The maximum number of entries in a table; beyond it the oldest are dropped.
const MAX_ENTRIES: usize = 1 << 13;

/// Entries by set-up id, each with the time at which it was recorded. They expire after the retention time of the table.
#[derive(Debug)]
pub(super) struct RecentTable<T> {
    retention: Micros,
    by_setup_id: HashMap<SetupId, (Micros, T)>,
    /// The times of the entries, the oldest first. Includes entries that have been removed since.
    order: VecDeque<(Micros, SetupId)>,
}

impl<T: Copy> RecentTable<T> {
    /// A table whose entries are kept for this time.
    pub(super) fn new(retention: Micros) -> RecentTable<T> {
        RecentTable {
            retention,
            by_setup_id: HashMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Records an entry, unless there is already one for the set-up.
    pub(super) fn insert(&mut self, now: Micros, id: SetupId, entry: T) {
        self.remove_expired(now);
        if let Entry::Vacant(vacant) = self.by_setup_id.entry(id) {
            vacant.insert((now, entry));
            self.order.push_back((now, id));
        }
    }

    /// The entry of a set-up.
    pub(super) fn get(&mut self, now: Micros, id: SetupId) -> Option<T> {
        self.remove_expired(now);
        self.by_setup_id.get(&id).map(|&(_, entry)| entry)
    }

    /// Removes and returns the entry of a set-up, with the time at which it was recorded.
    pub(super) fn take(&mut self, now: Micros, id: SetupId) -> Option<(Micros, T)> {
        self.remove_expired(now);
        self.by_setup_id.remove(&id)
    }

    /// Removes the entry of a set-up.
    pub(super) fn remove(&mut self, id: SetupId) {
        self.by_setup_id.remove(&id);
    }

    /// The number of entries.
    pub(super) fn len(&self) -> usize {
        self.by_setup_id.len()
    }

    fn remove_expired(&mut self, now: Micros) {
        while let Some(&(recorded_at, id)) = self.order.front()
            && (recorded_at + self.retention < now || self.order.len() >= MAX_ENTRIES)
        {
            self.order.pop_front();
            if self
                .by_setup_id
                .get(&id)
                .is_some_and(|&(kept_at, _)| kept_at <= recorded_at)
            {
                self.by_setup_id.remove(&id);
            }
        }
    }
}
