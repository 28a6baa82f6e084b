//! The timers of the engine.

use crate::ids::{AttemptKey, ClientId, HostId};

/// The purpose of a timer.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Timer {
    /// A timer that the decider has set, with its label.
    Decider(u64),
    /// The host has not answered an offer in time.
    AttemptTimeout(AttemptKey),
    /// Reconnect to a host.
    Reconnect { host: HostId, epoch: u64 },
    /// Time limit for the greeting on a new connection.
    GreetingTimeout { host: HostId, epoch: u64 },
    /// The tasks of a host that has been disconnected for too long count as lost.
    TasksLost { host: HostId, epoch: u64 },
    /// The host has not answered a probe in time.
    ProbeTimeout(u32),
    /// Check a client's connection for time-outs.
    ClientTimeout(ClientId),
    /// Remove unsettled attempts whose time is over.
    UnsettledExpiry,
    /// Send an empty line to followers of events.
    FollowerHeartbeat,
}
