//! How late the observers read: what was sent in time and read late is not its sender's fault.

use crate::history::{Observation, Observer};

/// The delay of each observer, as it reported it.
#[derive(Default)]
pub(crate) struct ObserverDelay {
    /// When the late observer last found nothing more to read, µs.
    hosts_since: Option<u64>,
    clients_since: Option<u64>,
    /// All that was sent to hosts by this time has been read, µs.
    hosts_read_through: u64,
}

impl ObserverDelay {
    /// What this observer reads from here on may have come at any time since, if it is late.
    pub(crate) fn set_delay(&mut self, observer: Observer, since: Option<u64>) {
        match observer {
            Observer::Hosts => self.hosts_since = since,
            Observer::Clients => self.clients_since = since,
        }
    }

    /// The time up to which all that was sent to hosts has been read, as far as is known with this observation at `now`.
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

    /// When that which a host reads at `now` was sent: just then, or where the observer is late, as early as possible.
    pub(crate) fn sent_to_host(&self, now: u64) -> u64 {
        self.hosts_since.map_or(now, |since| since.min(now))
    }

    /// The earliest time at which that which is read at `now` can have come: the slack before, or where the observer has
    /// not polled for longer, when it last found nothing more to read.
    pub(crate) fn earliest_arrival(&self, observer: Observer, now: u64, slack: u64) -> u64 {
        let since = match observer {
            Observer::Hosts => self.hosts_since,
            Observer::Clients => self.clients_since,
        };
        let usual = now.saturating_sub(slack);
        since.map_or(usual, |since| since.min(usual))
    }
}
