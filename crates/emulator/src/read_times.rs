//! How late a thread of the emulator reads what it records: when it last found nothing more to read.

use maplethread_checker::{Observation, Observer};

#[cfg(test)]
mod tests;

/// Reading later than this is reported to the checker, µs; well under the slack that the checker grants anyway.
const REPORTED_DELAY_US: u64 = 50_000;

/// When an observer polled its connections.
pub struct ReadTimes {
    observer: Observer,
    /// What is read now came after this time, µs.
    read_since: u64,
    /// When all connections were last polled, µs.
    last_complete_poll: u64,
    reported_since: Option<u64>,
}

impl ReadTimes {
    /// An observer that begins now.
    pub fn new(observer: Observer, now: u64) -> ReadTimes {
        ReadTimes {
            observer,
            read_since: now,
            last_complete_poll: now,
            reported_since: None,
        }
    }

    /// The connections were polled, from `began` on; `is_complete` says that none was left out that had something to
    /// read.
    pub fn polled(&mut self, began: u64, is_complete: bool) {
        self.read_since = self.last_complete_poll;
        if is_complete {
            self.last_complete_poll = began;
        }
    }

    /// Something is read at `now` and will be recorded: what is to be recorded before it, if this observer is late since
    /// then, or is not late any more.
    pub fn delay_to_report(&mut self, now: u64) -> Option<Observation> {
        let is_late = now.saturating_sub(self.read_since) > REPORTED_DELAY_US;
        let since = is_late.then_some(self.read_since);
        if since == self.reported_since {
            return None;
        }
        self.reported_since = since;
        Some(Observation::ObserverDelayed {
            observer: self.observer,
            since,
        })
    }
}
