//! Timers without a clock: a heap of due times. A timer that is no longer wanted is left to fall due and be ignored.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Due times with what they are for, in order; equal times in the order in which they were set.
pub struct Timers<T> {
    heap: BinaryHeap<Reverse<(u64, u64, Unordered<T>)>>,
    set_count: u64,
}

/// Keeps `T` out of the order.
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
            set_count: 0,
        }
    }
}

impl<T> Timers<T> {
    /// Sets a timer.
    pub fn schedule(&mut self, at: u64, what: T) {
        self.set_count += 1;
        self.heap
            .push(Reverse((at, self.set_count, Unordered(what))));
    }

    /// When the next one falls due.
    pub fn next_due_at(&self) -> Option<u64> {
        self.heap.peek().map(|Reverse((at, ..))| *at)
    }

    /// The next one that is due.
    pub fn pop_due(&mut self, now: u64) -> Option<T> {
        if self.next_due_at()? > now {
            return None;
        }
        self.heap.pop().map(|Reverse((_, _, Unordered(what)))| what)
    }

    /// How many are set.
    pub fn len(&self) -> usize {
        self.heap.len()
    }

    /// Whether none is set.
    pub fn is_empty(&self) -> bool {
        self.heap.is_empty()
    }
}
