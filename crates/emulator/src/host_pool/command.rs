//! Commands of a run to its hosts.

use crate::host::HostFaults;

/// A command to a host, given by number.
#[derive(Clone, Debug)]
pub enum HostCommand {
    /// The process crashes: connections are reset and the port is closed.
    Crash(usize),
    /// A new, cold process starts, if the host is down.
    Start(usize),
    /// The host drains: it rejects new offers and notifies its placers.
    Drain(usize),
    /// Replaces the present faults of the host.
    SetFaults(usize, HostFaults),
    /// The host's connections are reset in the middle of a frame.
    ResetMidFrame(usize),
    /// Sets whether packets are exchanged with the host; the host keeps running while it is unreachable.
    SetReachable(usize, bool),
    /// The hosts' thread ends.
    End,
}
