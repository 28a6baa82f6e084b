//! Delays of the observers. Traffic that was sent on time but read late must not count as a violation by its sender.

use crate::history::{Observation, Observer};

/// The delay that each observer has reported.
#[derive(Default)]
pub(crate) struct ObserverDelay {
    /// When the observer of the hosts last had nothing left to read, µs; `None` while it reads on time.
    hosts_since: Option<u64>,
    /// The same for the observer of the clients.
    clients_since: Option<u64>,
    /// Everything sent to hosts up to this time has been read, µs.
    hosts_read_through: u64,
}

impl ObserverDelay {
    /// Records that an observer is delayed: what it reads from now on may have arrived at any time after `since`.
    /// `None` ends the delay.
    pub(crate) fn set_delay(&mut self, observer: Observer, since: Option<u64>) {
        match observer {
            Observer::Hosts => self.hosts_since = since,
            Observer::Clients => self.clients_since = since,
        }
    }

    /// The time up to which everything sent to hosts has been read, µs, updated by this observation at `now`.
    pub(crate) fn hosts_read_through(
        &mut self,
        observation: &Observation,
        now: u64,
        slack: u64,
    ) -> u64 {
        if matches!(observation, Observation::FrameFromPlacer { .. }) {
            let through = self.earliest_arrival(Observer::Hosts, now, slack);
            self.hosts_read_through = self.hosts_read_through.max(through);
        }
        self.hosts_read_through
    }

    /// When the frame that a host reads at `now` was sent: at `now`, or at the earliest possible time if the observer
    /// is delayed.
    pub(crate) fn sent_to_host(&self, now: u64) -> u64 {
        self.hosts_since.map_or(now, |since| since.min(now))
    }

    /// The earliest time at which the data read at `now` can have arrived: `slack` before `now`, or the time at which
    /// the observer last had nothing left to read, if that is earlier.
    pub(crate) fn earliest_arrival(&self, observer: Observer, now: u64, slack: u64) -> u64 {
        let since = match observer {
            Observer::Hosts => self.hosts_since,
            Observer::Clients => self.clients_since,
        };
        let earliest_on_time = now.saturating_sub(slack);
        since.map_or(earliest_on_time, |since| since.min(earliest_on_time))
    }
}
