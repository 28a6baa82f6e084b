//! How late the readers of the record were: what was sent in time and read late is not its sender's fault.

use crate::checker::Checker;
use crate::history::{Observation, Observer};

/// Since when each reader had not looked, where it told that it was late.
#[derive(Default)]
pub(crate) struct ObserverDelay {
    hosts_since: Option<u64>,
    clients_since: Option<u64>,
    /// All that was sent to hosts by this time is read.
    hosts_read_through: u64,
}

impl ObserverDelay {
    /// What this reader reads from here on may have come at any time since, if it is late.
    pub(crate) fn set_delay(&mut self, reader: Observer, since: Option<u64>) {
        match reader {
            Observer::Hosts => self.hosts_since = since,
            Observer::Clients => self.clients_since = since,
        }
    }
}

impl Checker<'_> {
    /// All that was sent to hosts by this time has been read, as far as is known from the record up to here.
    pub(crate) fn hosts_read_through(&mut self, seen: &Observation) -> u64 {
        if matches!(seen, Observation::FrameFromPlacer { .. }) {
            let through = self.earliest_arrival(Observer::Hosts);
            self.observer_delay.hosts_read_through =
                self.observer_delay.hosts_read_through.max(through);
        }
        self.observer_delay.hosts_read_through
    }

    /// When what is read now at a host was sent: just now, or where the reader is late, as early as it can have been.
    pub(crate) fn sent_to_host(&self) -> u64 {
        self.observer_delay
            .hosts_since
            .map_or(self.now, |since| since.min(self.now))
    }

    /// What is read now came no earlier than this: the slack before, or where the reader itself had not looked for longer,
    /// when it last found nothing more to read.
    pub(crate) fn earliest_arrival(&self, reader: Observer) -> u64 {
        let since = match reader {
            Observer::Hosts => self.observer_delay.hosts_since,
            Observer::Clients => self.observer_delay.clients_since,
        };
        let usual = self.now.saturating_sub(self.parameters.timing_slack_us);
        since.map_or(usual, |since| since.min(usual))
    }
}
