//! Timers without a clock: a heap of due times. Timers cannot be cancelled; the caller ignores those that are obsolete.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Timers ordered by due time, and those with equal times in the order in which they were scheduled. The caller chooses the
/// unit and the epoch of the times.
pub struct Timers<T> {
    heap: BinaryHeap<Reverse<(u64, u64, Unordered<T>)>>,
    scheduled_count: u64,
}

/// A value that is ignored in comparisons.
struct Unordered<T>(T);

impl<T> PartialEq for Unordered<T> {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}
impl<T> Eq for Unordered<T> {}
impl<T> PartialOrd for Unordered<T> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl<T> Ord for Unordered<T> {
    fn cmp(&self, _: &Self) -> std::cmp::Ordering {
        std::cmp::Ordering::Equal
    }
}

impl<T> Default for Timers<T> {
    fn default() -> Self {
        Timers {
            heap: BinaryHeap::new(),
            scheduled_count: 0,
        }
    }
}

impl<T> Timers<T> {
    /// Schedules a timer that is due at `at`.
    pub fn schedule(&mut self, at: u64, value: T) {
        self.scheduled_count += 1;
        self.heap
            .push(Reverse((at, self.scheduled_count, Unordered(value))));
    }

    /// The due time of the next timer.
    pub fn next_due_at(&self) -> Option<u64> {
        self.heap.peek().map(|Reverse((at, ..))| *at)
    }

    /// Removes and returns the next timer that is due by `now`, if there is one.
    pub fn pop_due(&mut self, now: u64) -> Option<T> {
        if self.next_due_at()? > now {
            return None;
        }
        self.heap
            .pop()
            .map(|Reverse((_, _, Unordered(value)))| value)
    }

    /// The number of scheduled timers.
    pub fn len(&self) -> usize {
        self.heap.len()
    }

    /// Whether no timer is scheduled.
    pub fn is_empty(&self) -> bool {
        self.heap.is_empty()
    }
}
