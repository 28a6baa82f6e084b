//! Detects that the process itself was stalled (stopped by a signal, frozen, swapped out or without CPU time), so that
//! hosts and clients are not timed out for the time in which the process read none of their input.
//!
//! One round of the event loop waits, reads, decides and writes. A stall in any of these steps is
//! detected by comparing clock readings:
//!
//! - while waiting: the wait ended long after its deadline;
//! - while reading: reading took longer than allowed;
//! - while deciding or writing: the next round begins long after the last time at which no input was left unread.
//!
//! Input that arrived during a stall is still unread, so the time of a decision must not be later than the stall unless
//! the stall is reported with the decision. All times are µs on the event loop's clock.

/// Minimum duration of a pause that counts as a stall, µs. Shorter ones can't be distinguished from a busy machine.
const MIN_STALL_US: u64 = 50_000;
/// Maximum duration of reading in one round, µs, so that deadlines are met even with much unread input.
pub(crate) const MAX_READ_DURATION_US: u64 = 100_000;

/// A wait of the event loop.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Wait {
    /// The last clock reading before the wait.
    pub started_at: u64,
    /// The latest time at which the wait should have ended.
    pub deadline: Option<u64>,
}

/// The end of a wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Wakeup {
    /// When the wait ended.
    pub at: u64,
    /// Whether the process was stalled before that.
    pub is_stalled: bool,
    /// The earliest time at which input that is read now may have arrived.
    pub unread_since: u64,
}

impl Wakeup {
    /// How long input that is read now may have been waiting, ms.
    pub fn unread_ms(&self) -> u64 {
        (self.at - self.unread_since) / 1000
    }

    /// Whether a decision at `decided_at`, based on the input read since this wakeup, follows a stall: input that
    /// arrived since the stall is not read yet.
    pub fn is_stalled_by(&self, decided_at: u64) -> bool {
        self.is_stalled || decided_at > self.at + MAX_READ_DURATION_US + MIN_STALL_US
    }
}

/// Records when the event loop last had no input left to read.
#[derive(Debug)]
pub(crate) struct StallDetector {
    drained_at: u64,
}

impl StallDetector {
    /// Creates a detector at a time when no input is unread.
    pub fn new(now: u64) -> StallDetector {
        StallDetector { drained_at: now }
    }

    /// Records that no input was left unread at this time.
    pub fn record_drained(&mut self, at: u64) {
        self.drained_at = at;
    }

    /// Evaluates a wait that ended at `now`.
    pub fn wake_up(&self, wait: Wait, now: u64) -> Wakeup {
        let is_past_deadline = wait
            .deadline
            .is_some_and(|deadline| now > deadline.max(wait.started_at) + MIN_STALL_US);
        let was_stalled_before_wait = wait.started_at > self.drained_at + MIN_STALL_US;
        let is_stalled = is_past_deadline || was_stalled_before_wait;
        let unread_since = if was_stalled_before_wait {
            self.drained_at
        } else if is_past_deadline {
            wait.started_at
        } else {
            now
        };
        Wakeup {
            at: now,
            is_stalled,
            unread_since,
        }
    }
}

#[cfg(test)]
mod tests;
