//! What an [`Agent`](super::Agent) wants done.

use std::sync::Arc;

use maplethread_wire::frame::Frame;

use super::task::{ProcessIdentity, StoredTask};

/// A timer of the agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timer {
    /// The stop grace period of this attempt is over: its processes are killed.
    ForceStop(u64),
    /// A store that failed is tried again.
    RetryStore,
}

/// How a process group is asked to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopMode {
    /// By a signal that it may handle (SIGTERM).
    Graceful,
    /// By a signal that it cannot handle (SIGKILL).
    Forced,
}

/// What is to be done, in the order of the list.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Store this of an attempt.
    StoreTask(u64, StoredTask),
    /// Remove an attempt from the store.
    RemoveTask(u64),
    /// Store that the host is draining.
    StoreDraining,
    /// Send a frame to a placer, if it is connected.
    Send(Arc<str>, Frame),
    /// Start the program of an attempt, and report the result to
    /// [`Agent::handle_start_result`](super::Agent::handle_start_result).
    StartProcess(u64),
    /// Stop a process group.
    StopProcess(ProcessIdentity, StopMode),
    /// Call [`Agent::handle_timer`](super::Agent::handle_timer) after a time.
    SetTimer {
        /// The time, µs.
        delay_us: u64,
        /// What the timer is for.
        timer: Timer,
    },
}

impl Action {
    /// Whether it changes the store, and so has to be durable before the others of its list are carried out.
    pub fn is_stored(&self) -> bool {
        matches!(
            self,
            Action::StoreTask(..) | Action::RemoveTask(_) | Action::StoreDraining
        )
    }
}
