//! The engine's timers, and what happens when one fires.

use maplethread::{Event, Micros};
use rand_pcg::rand_core::Rng;

use crate::decide::Decide;
use crate::engine::Engine;
use crate::ids::{AttemptKey, ClientId, HostId};

/// What a timer is for.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Timer {
    /// A timer of the decider, with its label.
    Decider(u64),
    /// An attempt has had no answer in time.
    AttemptTimeout(AttemptKey),
    /// A host is to be connected to again.
    Reconnect { host: HostId, epoch: u64 },
    /// A connection must have been greeted by now.
    GreetingTimeout { host: HostId, epoch: u64 },
    /// Tasks of a host without a connection count as lost.
    TasksLost { host: HostId, epoch: u64 },
    /// A probe has had no answer in time.
    ProbeTimeout(u32),
    /// A client's connection is to be checked for time limits.
    ClientTimeout(ClientId),
    /// An actor with an unsettled attempt may count as settled.
    UnsettledExpiry,
    /// Followers of events get an empty line.
    FollowerHeartbeat,
}

impl<D: Decide> Engine<D> {
    pub(crate) fn handle_timer(&mut self, timer: Timer) {
        match timer {
            Timer::Decider(label) => self.events.push(Event::TimerFired { label }),
            Timer::AttemptTimeout(attempt) => self.handle_attempt_timeout(attempt),
            Timer::Reconnect { host, epoch } => self.connect(host, epoch),
            Timer::GreetingTimeout { host, epoch } => self.handle_greeting_timeout(host, epoch),
            Timer::TasksLost { host, epoch } => self.handle_tasks_lost(host, epoch),
            Timer::ProbeTimeout(nonce) => self.handle_probe_timeout(nonce),
            Timer::ClientTimeout(client) => self.handle_client_timeout(client),
            Timer::UnsettledExpiry => self.expire_unsettled(),
            Timer::FollowerHeartbeat => self.heartbeat_followers(),
        }
    }

    /// Draws a duration between half of `max` and `max`.
    pub(crate) fn jitter(&mut self, max: Micros) -> Micros {
        let half = max / 2;
        half + self.rng.next_u64() % (max - half).max(1)
    }
}
