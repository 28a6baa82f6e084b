//! When a placer that was told to end does so. Free of I/O.

use maplethread::Micros;

#[cfg(test)]
mod tests;

/// After SIGTERM, connections and requests keep coming for so long (PROTOCOL: up to 0.4 s, and 0.2 s more).
const ARRIVAL_GRACE: Micros = 800_000;
/// PROTOCOL counts a longer deadline as this.
const MAX_COUNTED_DEADLINE: Micros = 3_000_000;
/// SIGKILL comes so long after the longest deadline at the earliest (PROTOCOL).
const KILL_GRACE: Micros = 700_000;
/// Of that, time to write the last answers...
const WRITE_MARGIN: Micros = 500_000;
/// ...and time for owners to read them, before the process is gone (`CLOSE_WITHIN` of the shell).
const READ_MARGIN: Micros = 300_000;

/// The last part of a placer's shutdown.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ShutdownSchedule {
    kill_after: Micros,
}

impl ShutdownSchedule {
    /// Under classes whose longest deadline this is.
    pub(crate) fn new(longest_deadline: Micros) -> ShutdownSchedule {
        ShutdownSchedule {
            kill_after: longest_deadline.min(MAX_COUNTED_DEADLINE) + KILL_GRACE,
        }
    }

    /// When everything has its answer, if the process was told to end at `told`.
    pub(crate) fn answer_deadline(self, told: Micros) -> Micros {
        told + self.kill_after - WRITE_MARGIN
    }

    /// The earliest end.
    pub(crate) fn earliest_exit(told: Micros) -> Micros {
        told + ARRIVAL_GRACE
    }

    /// Whether no more is read now: nothing more comes, no ask is `owed` an answer and all is `written`, or time is up.
    /// Tasks that stand are no reason to stay: they run on, and the next start is handed them, sooner if this one ends
    /// sooner.
    pub(crate) fn is_finished(self, told: Micros, now: Micros, owed: usize, written: bool) -> bool {
        now >= self.latest_exit(told)
            || (now >= ShutdownSchedule::earliest_exit(told) && owed == 0 && written)
    }

    /// When the process ends, whoever still reads.
    pub(crate) fn latest_exit(self, told: Micros) -> Micros {
        told + self.kill_after - READ_MARGIN
    }
}
