//! What the engine's timers are for.

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
