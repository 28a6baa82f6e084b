//! Measures how late a thread of the emulator reads what it records, from the last time that it had read everything.

use maplethread_checker::{Observation, Observer};

#[cfg(test)]
mod tests;

/// Reads later than this are reported to the checker, µs; well below the timing slack that the checker always allows.
const REPORTED_DELAY_US: u64 = 50_000;

/// Poll times of an observer.
pub struct ReadTimes {
    observer: Observer,
    /// Data that is read now arrived after this time, µs.
    read_since: u64,
    /// Start of the last poll that returned all connections with data, µs.
    last_complete_poll: u64,
    reported_since: Option<u64>,
}

impl ReadTimes {
    /// Poll times of an observer that starts now.
    pub fn new(observer: Observer, now: u64) -> ReadTimes {
        ReadTimes {
            observer,
            read_since: now,
            last_complete_poll: now,
            reported_since: None,
        }
    }

    /// Records a poll that began at `began`; `is_complete` if it returned all connections with data to read.
    pub fn polled(&mut self, began: u64, is_complete: bool) {
        self.read_since = self.last_complete_poll;
        if is_complete {
            self.last_complete_poll = began;
        }
    }

    /// Called when data is read at `now`, before it is recorded. Returns an observation to record first if the observer
    /// has become late, if the time since which it is late has changed, or if it is no longer late.
    pub fn delay_to_report(&mut self, now: u64) -> Option<Observation> {
        let is_late = now.saturating_sub(self.read_since) > REPORTED_DELAY_US;
        let since = is_late.then_some(self.read_since);
        if since == self.reported_since {
            return None;
        }
        self.reported_since = since;
        Some(Observation::ObserverDelayed {
            observer: self.observer,
            delayed_since_us: since,
        })
    }
}
