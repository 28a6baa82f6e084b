//! Timers without a clock: values ordered by due time. A timer takes memory until it is due or cancelled, so a caller whose
//! timers may be due long after they are of use cancels them.

use std::collections::BTreeMap;

/// Timers ordered by due time, and those with equal times in the order in which they were scheduled. The caller chooses the
/// unit and the epoch of the times.
pub struct Timers<T> {
    scheduled: BTreeMap<TimerId, T>,
    last_number: u64,
}

/// Identifies a timer of one [`Timers`]. Ids are not reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerId {
    due_at: u64,
    number: u64,
}

impl<T> Default for Timers<T> {
    fn default() -> Self {
        Timers {
            scheduled: BTreeMap::new(),
            last_number: 0,
        }
    }
}

impl<T> Timers<T> {
    /// Schedules a timer that is due at `at`.
    pub fn schedule(&mut self, at: u64, value: T) -> TimerId {
        self.last_number += 1;
        let id = TimerId {
            due_at: at,
            number: self.last_number,
        };
        self.scheduled.insert(id, value);
        id
    }

    /// Removes a timer and returns its value. Returns none if there is no id, or the timer was due or cancelled before.
    pub fn cancel(&mut self, id: impl Into<Option<TimerId>>) -> Option<T> {
        self.scheduled.remove(&id.into()?)
    }

    /// The due time of the next timer.
    pub fn next_due_at(&self) -> Option<u64> {
        self.scheduled.first_key_value().map(|(id, _)| id.due_at)
    }

    /// Removes and returns the next timer that is due by `now`, if there is one.
    pub fn pop_due(&mut self, now: u64) -> Option<T> {
        let next = self.scheduled.first_entry()?;
        (next.key().due_at <= now).then(|| next.remove())
    }

    /// The number of scheduled timers.
    pub fn len(&self) -> usize {
        self.scheduled.len()
    }

    /// Whether no timer is scheduled.
    pub fn is_empty(&self) -> bool {
        self.scheduled.is_empty()
    }
}
