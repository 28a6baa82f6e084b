//! The addresses of owners whose connections have ended recently. The next connection from such an address is probably of the
//! same owner.

use std::collections::VecDeque;
use std::net::IpAddr;

use maplethread::Micros;

/// How long an address is kept. The platform protocol allows this time from the end of a task to its release.
const RETENTION: Micros = 8_000_000;
/// The maximum number of addresses; beyond it the oldest is dropped.
const MAX_ADDRESSES: usize = 1024;

/// The addresses of owners' connections that have ended, with the times of their ends, the oldest first.
#[derive(Debug, Default)]
pub(super) struct EndedOwners {
    by_end: VecDeque<(Micros, IpAddr)>,
}

impl EndedOwners {
    /// Records the end of a connection from this address.
    pub(super) fn record(&mut self, now: Micros, address: IpAddr) {
        self.remove_expired(now);
        if self.by_end.len() >= MAX_ADDRESSES {
            self.by_end.pop_front();
        }
        self.by_end.push_back((now, address));
    }

    /// Removes an end of a connection from this address. Returns whether there was one.
    pub(super) fn take(&mut self, now: Micros, address: IpAddr) -> bool {
        self.remove_expired(now);
        let index = self.by_end.iter().position(|&(_, other)| other == address);
        index.is_some_and(|index| self.by_end.remove(index).is_some())
    }

    fn remove_expired(&mut self, now: Micros) {
        while self
            .by_end
            .front()
            .is_some_and(|&(ended_at, _)| ended_at + RETENTION <= now)
        {
            self.by_end.pop_front();
        }
    }
}
