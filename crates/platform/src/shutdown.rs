//! The shutdown schedule: when a placer exits after it has received a stop signal. Performs no I/O.

use maplethread::Micros;

#[cfg(test)]
mod tests;

/// The minimum time between SIGTERM and the exit, as connections and requests may still arrive. The platform protocol
/// allows them for up to 0.4 s plus 0.2 s.
const ARRIVAL_GRACE: Micros = 800_000;
/// The time of SIGKILL depends on the longest deadline. The platform protocol counts longer deadlines as this.
const MAX_COUNTED_DEADLINE: Micros = 3_000_000;
/// The minimum time between the longest deadline and SIGKILL, from the platform protocol.
const KILL_GRACE: Micros = 700_000;
/// The part of `KILL_GRACE` that is left for writing and reading the last answers.
const WRITE_MARGIN: Micros = 500_000;
/// The part of `KILL_GRACE` that is left for owners to read the last answers before the process exits. The shell's
/// `SHUTDOWN_LINGER_TIMEOUT` has to be shorter.
const READ_MARGIN: Micros = 300_000;

/// The schedule of a placer's shutdown.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ShutdownSchedule {
    kill_after: Micros,
}

impl ShutdownSchedule {
    /// Creates the schedule, given the longest deadline of all classes.
    pub(crate) fn new(longest_deadline: Micros) -> ShutdownSchedule {
        ShutdownSchedule {
            kill_after: longest_deadline.min(MAX_COUNTED_DEADLINE) + KILL_GRACE,
        }
    }

    /// When requests that are still pending are answered as failed.
    pub(crate) fn answer_deadline(self, stop_requested_at: Micros) -> Micros {
        stop_requested_at + self.kill_after - WRITE_MARGIN
    }

    /// The earliest time at which the process exits.
    pub(crate) fn earliest_exit(stop_requested_at: Micros) -> Micros {
        stop_requested_at + ARRIVAL_GRACE
    }

    /// Whether the process stops serving now: either no more requests are expected, none is pending and all answers are
    /// written, or the latest exit is reached. Running tasks do not delay the exit: they continue, and their owners hand them
    /// over to the next process as soon as it has started.
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

    /// The latest time at which the process exits.
    pub(crate) fn latest_exit(self, stop_requested_at: Micros) -> Micros {
        stop_requested_at + self.kill_after - READ_MARGIN
    }
}
