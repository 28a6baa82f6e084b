//! Tasks in memory and in the store.

use std::sync::Arc;

use maplethread_wire::frame::{Offer, Reason};

/// Identifies a process uniquely, even if its pid is reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessIdentity {
    /// The pid, which is also the id of the process group.
    pub pid: u32,
    /// The start time, in kernel clock ticks since boot.
    pub start_ticks: u64,
}

/// The lifecycle state of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskState {
    /// Accepted, not started.
    Accepted,
    /// About to be started: from this state on the task may have run.
    Starting,
    /// Running as this process.
    Running(ProcessIdentity),
    /// Ended, or could not be started.
    Finished {
        /// Why the task ended.
        reason: Reason,
        /// Whether the task ran or may have run.
        possibly_started: bool,
    },
}

/// The stored record of a task.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredTask {
    /// The placer that offered the task.
    pub placer: Arc<str>,
    /// The offer.
    pub offer: Offer,
    /// The lifecycle state.
    pub state: TaskState,
}

/// The result of looking up the process of a stored task during recovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecoveryOutcome {
    /// The task is running as this process.
    Running(ProcessIdentity),
    /// The task has no process any more.
    NotFound,
}

/// A task that has not finished.
pub(super) struct HeldTask {
    pub(super) record: StoredTask,
    /// When the offer was received, µs; `None` for a task recovered from the store.
    pub(super) received_at_us: Option<u64>,
    /// The reason to report once the task has ended, if the task is being stopped.
    pub(super) stop_reason: Option<Reason>,
}

impl HeldTask {
    /// Time since the offer was received, ms; 0 for a task recovered from the store.
    pub(super) fn time_since_offer_ms(&self, now_us: u64) -> u32 {
        self.received_at_us
            .map_or(0, |at| (now_us.saturating_sub(at) / 1000) as u32)
    }
}
