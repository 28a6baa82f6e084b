//! How late a thread of stand-ins reads what it records: when it last found nothing more to read.

use maplethread_judge::{Reader, Seen};

#[cfg(test)]
mod tests;

/// Reading later than this is told to the judge, µs; well under the slack that it grants anyway.
const TOLD_FROM: u64 = 50_000;

/// The looks of one reader at its connections.
pub struct Looks {
    reader: Reader,
    /// What is read now came after this time.
    since: u64,
    /// The last time that all connections were looked at.
    last: u64,
    told: Option<u64>,
}

impl Looks {
    /// A reader that begins now.
    pub fn new(reader: Reader, now: u64) -> Looks {
        Looks {
            reader,
            since: now,
            last: now,
            told: None,
        }
    }

    /// The connections were looked at, from `began` on; `all` tells that none was left out that had something to read.
    pub fn looked(&mut self, began: u64, all: bool) {
        self.since = self.last;
        if all {
            self.last = began;
        }
    }

    /// Something is read at `now` and will be recorded: what the judge must be told first, where that is late, or no
    /// more.
    pub fn reads(&mut self, now: u64) -> Option<Seen> {
        let late = now.saturating_sub(self.since) > TOLD_FROM;
        let since = late.then_some(self.since);
        if since == self.told {
            return None;
        }
        self.told = since;
        Some(Seen::ReadLate {
            reader: self.reader,
            since,
        })
    }
}
