//! How late a thread of stand-ins reads what it records: when it last found nothing more to read.

use maplethread_checker::{Observation, Observer};

#[cfg(test)]
mod tests;

/// Reading later than this is told to the judge, µs; well under the slack that it grants anyway.
const REPORTED_DELAY_US: u64 = 50_000;

/// The looks of one reader at its connections.
pub struct ReadTimes {
    observer: Observer,
    /// What is read now came after this time.
    read_since: u64,
    /// The last time that all connections were looked at.
    last_complete_poll: u64,
    reported_since: Option<u64>,
}

impl ReadTimes {
    /// A reader that begins now.
    pub fn new(observer: Observer, now: u64) -> ReadTimes {
        ReadTimes {
            observer,
            read_since: now,
            last_complete_poll: now,
            reported_since: None,
        }
    }

    /// The connections were looked at, from `began` on; `all` tells that none was left out that had something to read.
    pub fn polled(&mut self, began: u64, all: bool) {
        self.read_since = self.last_complete_poll;
        if all {
            self.last_complete_poll = began;
        }
    }

    /// Something is read at `now` and will be recorded: what the judge must be told first, where that is late, or no
    /// more.
    pub fn delay_to_report(&mut self, now: u64) -> Option<Observation> {
        let late = now.saturating_sub(self.read_since) > REPORTED_DELAY_US;
        let since = late.then_some(self.read_since);
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
