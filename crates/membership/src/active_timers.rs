//! Timers that do not advance while the process is paused.

use maplethread_timers::Timers;

use crate::member_table::Micros;

/// Timers of a member in active time: elapsed time without the pauses of the process.
pub(crate) struct ActiveTimers<T> {
    timers: Timers<T>,
    paused_total: Micros,
}

impl<T> Default for ActiveTimers<T> {
    fn default() -> Self {
        ActiveTimers {
            timers: Timers::default(),
            paused_total: 0,
        }
    }
}

impl<T> ActiveTimers<T> {
    /// The active time that corresponds to `now`.
    pub(crate) fn active_time(&self, now: Micros) -> Micros {
        now - self.paused_total
    }

    /// Delays all timers by a pause of the process.
    pub(crate) fn add_pause(&mut self, duration: Micros) {
        self.paused_total += duration;
    }

    /// Sets a timer that is due after `delay`.
    pub(crate) fn schedule(&mut self, now: Micros, delay: Micros, timer: T) {
        self.timers.schedule(self.active_time(now) + delay, timer);
    }

    /// When the next timer is due.
    pub(crate) fn next_due_at(&self) -> Option<Micros> {
        self.timers.next_due_at().map(|at| at + self.paused_total)
    }

    /// Takes the next timer that is due.
    pub(crate) fn pop_due(&mut self, now: Micros) -> Option<T> {
        self.timers.pop_due(self.active_time(now))
    }
}
