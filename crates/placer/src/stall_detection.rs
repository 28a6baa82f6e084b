//! Finds out in the loop when the process itself stood still, so that it does not take its own silence for that of hosts
//! and clients: stopped by a signal, frozen, swapped out, or without a processor.
//!
//! One round of the loop waits, reads, decides and writes. A pause shows as time that passed between two looks at the
//! clock, wherever in the round it was:
//!
//! - while it waited: the wait ended long after its deadline;
//! - while it read: reading took longer than it may;
//! - while it decided or wrote: the next round begins long after the last time at which nothing was left unread.
//!
//! What came during a pause lies unread, so that the time of a decision must not be later than the pause unless the
//! pause is reported with it. All times are µs on the loop's clock.

/// A pause shorter than this is not told from a busy machine, µs.
const MIN_STALL_US: u64 = 50_000;
/// Reading ends after this, so that deadlines are met also while much lies unread, µs.
pub(crate) const MAX_READ_DURATION_US: u64 = 100_000;

/// A wait for something to happen.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Wait {
    /// The last look at the clock before it.
    pub started_at: u64,
    /// When it should have ended at the latest.
    pub deadline: Option<u64>,
}

/// The end of a wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Wakeup {
    /// When the loop went on.
    pub at: u64,
    /// The process stood still before that.
    pub is_stalled: bool,
    /// What is read now may have lain unread since then.
    pub unread_since: u64,
}

impl Wakeup {
    /// How long what is read now may have lain unread, ms.
    pub fn unread_ms(&self) -> u64 {
        (self.at - self.unread_since) / 1000
    }

    /// Whether a decision at `decided_at`, made on what was read since this wakeup, follows a pause: what came since the
    /// pause is not read yet.
    pub fn is_stalled_by(&self, decided_at: u64) -> bool {
        self.is_stalled || decided_at > self.at + MAX_READ_DURATION_US + MIN_STALL_US
    }
}

/// Remembers when the loop last had nothing left to read.
#[derive(Debug)]
pub(crate) struct StallDetector {
    drained_at: u64,
}

impl StallDetector {
    /// Nothing is unread at the start.
    pub fn new(now: u64) -> StallDetector {
        StallDetector { drained_at: now }
    }

    /// Nothing was left unread at this time.
    pub fn record_drained(&mut self, at: u64) {
        self.drained_at = at;
    }

    /// A wait has ended now.
    pub fn wake_up(&self, wait: Wait, now: u64) -> Wakeup {
        let is_overslept = wait
            .deadline
            .is_some_and(|deadline| now > deadline.max(wait.started_at) + MIN_STALL_US);
        let was_stalled_before = wait.started_at > self.drained_at + MIN_STALL_US;
        let is_stalled = is_overslept || was_stalled_before;
        let unread_since = if was_stalled_before {
            self.drained_at
        } else if is_overslept {
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
