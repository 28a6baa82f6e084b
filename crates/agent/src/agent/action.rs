//! The actions that an [`Agent`](super::Agent) returns to its caller.

use std::sync::Arc;

use maplethread_wire::frame::Frame;

use super::task::{ProcessIdentity, StoredTask};

/// A timer of the agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timer {
    /// The stop grace period of this attempt has expired; its processes are killed.
    ForceStop(u64),
    /// The store is used again after a failed commit.
    RetryStore,
}

/// How a process group is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopMode {
    /// With SIGTERM, which the processes can handle.
    Graceful,
    /// With SIGKILL, which the processes cannot handle.
    Forced,
}

/// An action for the caller. Actions are executed in the order of the list.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Store the record of an attempt.
    StoreTask(u64, StoredTask),
    /// Remove an attempt from the store.
    RemoveTask(u64),
    /// Store the draining flag of the host.
    StoreDraining,
    /// Send a frame to a placer, if the placer is connected.
    Send(Arc<str>, Frame),
    /// Start the program of an attempt, and report the result to
    /// [`Agent::handle_start_result`](super::Agent::handle_start_result).
    StartProcess(u64),
    /// Signal a process group to stop.
    StopProcess(ProcessIdentity, StopMode),
    /// Call [`Agent::handle_timer`](super::Agent::handle_timer) after a delay.
    SetTimer {
        /// The delay, µs.
        delay_us: u64,
        /// The timer to pass to the call.
        timer: Timer,
    },
}

impl Action {
    /// Whether the action changes the store. Such actions are committed before the others in the list are executed.
    pub fn changes_store(&self) -> bool {
        matches!(
            self,
            Action::StoreTask(..) | Action::RemoveTask(_) | Action::StoreDraining
        )
    }
}
