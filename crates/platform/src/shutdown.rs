//! When a placer that was told to end does so. Free of I/O.

use maplethread::Micros;

#[cfg(test)]
mod tests;

/// After SIGTERM, connections and requests keep coming for so long (PROTOCOL: up to 0.4 s, and 0.2 s more).
const STILL_COMES: Micros = 800_000;
/// PROTOCOL counts a longer deadline as this.
const LONGEST_COUNTED: Micros = 3_000_000;
/// SIGKILL comes so long after the longest deadline at the earliest (PROTOCOL).
const KILLED_AFTER: Micros = 700_000;
/// Of that, time to write the last answers...
const TO_WRITE: Micros = 500_000;
/// ...and time for owners to read them, before the process is gone (`CLOSE_WITHIN` of the shell).
const TO_READ: Micros = 300_000;

/// The last part of a placer's shutdown.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ShutdownSchedule {
    kill_after: Micros,
}

impl ShutdownSchedule {
    /// Under classes whose longest deadline this is.
    pub(crate) fn new(longest_deadline: Micros) -> ShutdownSchedule {
        ShutdownSchedule {
            kill_after: longest_deadline.min(LONGEST_COUNTED) + KILLED_AFTER,
        }
    }

    /// When everything has its answer, if the process was told to end at `told`.
    pub(crate) fn answered_by(self, told: Micros) -> Micros {
        told + self.kill_after - TO_WRITE
    }

    /// The earliest end.
    pub(crate) fn earliest(told: Micros) -> Micros {
        told + STILL_COMES
    }

    /// Whether no more is read now: nothing more comes, no ask is `owed` an answer and all is `written`, or time is up.
    /// Tasks that stand are no reason to stay: they run on, and the next start is handed them, sooner if this one ends
    /// sooner.
    pub(crate) fn over(self, told: Micros, now: Micros, owed: usize, written: bool) -> bool {
        now >= self.last(told) || (now >= ShutdownSchedule::earliest(told) && owed == 0 && written)
    }

    /// When the process ends, whoever still reads.
    pub(crate) fn last(self, told: Micros) -> Micros {
        told + self.kill_after - TO_READ
    }
}
