//! Causes of a `close`, the same in owners' and in hosts' messages.

use std::fmt;

/// Why a set-up was given up, or a task released.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Cause(pub u8);

impl Cause {
    /// The task completed; from whoever waits for the answer: the set-up is given up.
    pub const NORMAL: Cause = Cause(16);
    /// After the answer: cancelled, that is migrated or ended by its owner.
    pub const CANCELLED: Cause = Cause(31);
    /// No capacity: the task never ran.
    pub const NO_CAPACITY: Cause = Cause(34);
    /// The set-up was lost with a connection, or the task was killed.
    pub const RESET: Cause = Cause(41);
    /// An error; the task may have run.
    pub const ERROR: Cause = Cause(47);
    /// The set-up was never sent.
    pub const NEVER_SENT: Cause = Cause(102);
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
