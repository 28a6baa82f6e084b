//! The causes in `close` messages, which owners and hosts share.

use std::fmt;

/// Why a set-up was rejected or cancelled, or why a task was released.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Cause(pub u8);

impl Cause {
    /// In a release: the task completed. From the sender of a set-up: the set-up is cancelled.
    pub const NORMAL: Cause = Cause(16);
    /// The running task was cancelled: it was migrated, or closed by its owner.
    pub const CANCELLED: Cause = Cause(31);
    /// No capacity. The task has not run.
    pub const NO_CAPACITY: Cause = Cause(34);
    /// The set-up was lost with a connection, or the task was killed.
    pub const RESET: Cause = Cause(41);
    /// An error. The task may have run.
    pub const ERROR: Cause = Cause(47);
    /// The set-up was never sent.
    pub const NEVER_SENT: Cause = Cause(102);
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
