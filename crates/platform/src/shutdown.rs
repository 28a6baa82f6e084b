//! When a placer ends that was asked to stop. Performs no I/O.

use maplethread::Micros;

#[cfg(test)]
mod tests;

/// For how long connections and requests still arrive after SIGTERM, in microseconds (PROTOCOL: up to 0.4 s, and 0.2 s
/// more).
const ARRIVAL_GRACE: Micros = 800_000;
/// PROTOCOL counts longer deadlines as this, in microseconds.
const MAX_COUNTED_DEADLINE: Micros = 3_000_000;
/// How long after the longest deadline SIGKILL comes at the earliest, in microseconds (PROTOCOL).
const KILL_GRACE: Micros = 700_000;
/// The part of that in which the last answers are written and read, in microseconds...
const WRITE_MARGIN: Micros = 500_000;
/// ...and the part in which owners can still read them before the process ends, in microseconds
/// (`SHUTDOWN_LINGER_TIMEOUT` of the shell).
const READ_MARGIN: Micros = 300_000;

/// The schedule of a placer's shutdown. Times are in microseconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ShutdownSchedule {
    kill_after: Micros,
}

impl ShutdownSchedule {
    /// The schedule under classes of which this is the longest deadline.
    pub(crate) fn new(longest_deadline: Micros) -> ShutdownSchedule {
        ShutdownSchedule {
            kill_after: longest_deadline.min(MAX_COUNTED_DEADLINE) + KILL_GRACE,
        }
    }

    /// When all pending requests are answered, if the stop was requested at this time.
    pub(crate) fn answer_deadline(self, stop_requested_at: Micros) -> Micros {
        stop_requested_at + self.kill_after - WRITE_MARGIN
    }

    /// When the process ends at the earliest.
    pub(crate) fn earliest_exit(stop_requested_at: Micros) -> Micros {
        stop_requested_at + ARRIVAL_GRACE
    }

    /// Whether the process stops reading now: nothing more arrives, no request is pending and all answers are written, or
    /// time is up. Running tasks are no reason to stay: they run on, and are handed over to the next process, the sooner
    /// the sooner this one ends.
    pub(crate) fn is_finished(
        self,
        stop_requested_at: Micros,
        now: Micros,
        pending_requests: usize,
        is_all_written: bool,
    ) -> bool {
        let has_answered_all = pending_requests == 0 && is_all_written;
        now >= self.latest_exit(stop_requested_at)
            || (now >= ShutdownSchedule::earliest_exit(stop_requested_at) && has_answered_all)
    }

    /// When the process ends at the latest.
    pub(crate) fn latest_exit(self, stop_requested_at: Micros) -> Micros {
        stop_requested_at + self.kill_after - READ_MARGIN
    }
}
