//! What a run does to its hosts.

use crate::host::HostFaults;

/// An action on a host, given by number.
#[derive(Clone, Debug)]
pub enum HostCommand {
    /// The process dies: connections are reset, the port is closed.
    Crash(usize),
    /// A new process starts, cold.
    Start(usize),
    /// It takes nothing new and tells its placers.
    Drain(usize),
    /// Its faults from now on.
    SetFaults(usize, HostFaults),
    /// Its connections are reset in the middle of a frame.
    ResetMidFrame(usize),
    /// Whether packets reach it, and its own reach others; it lives on meanwhile.
    SetReachable(usize, bool),
    /// The thread ends.
    End,
}
