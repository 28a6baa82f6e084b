//! Time intervals in which one process has run at an address. A connection belongs to one process, so a message on it shows
//! that the process which accepted it still runs. Two intervals at one address that overlap are of the same process.

use maplethread::Micros;

/// A time interval throughout which the same process has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ProcessInterval {
    /// The process has run at least since this time.
    pub(super) since: Micros,
    /// The process was last known to run at this time.
    pub(super) until: Micros,
}

impl ProcessInterval {
    /// The process is known to have run at this time.
    pub(super) fn at(time: Micros) -> ProcessInterval {
        ProcessInterval {
            since: time,
            until: time,
        }
    }

    /// Extends the interval to a time at which the process was known to run.
    pub(super) fn extend(&mut self, time: Micros) {
        self.since = self.since.min(time);
        self.until = self.until.max(time);
    }

    /// Whether both intervals at one address have to be of the same process.
    pub(super) fn overlaps(&self, other: &ProcessInterval) -> bool {
        self.since <= other.until && other.since <= self.until
    }

    /// Extends the interval by another one of the same process.
    pub(super) fn merge(&mut self, other: &ProcessInterval) {
        self.extend(other.since);
        self.extend(other.until);
    }
}
