//! Tasks as the agent holds and stores them.

use std::sync::Arc;

use maplethread_wire::frame::{Offer, Reason};

/// Identifies a process, also after its pid has been given to another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessIdentity {
    /// Its pid, which is the id of its process group too.
    pub pid: u32,
    /// When it started, in clock ticks of the kernel since boot.
    pub start_ticks: u64,
}

/// How far a task has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskState {
    /// Accepted, and not started.
    Accepted,
    /// About to be started: from here on it may have run.
    Starting,
    /// It runs as this process.
    Running(ProcessIdentity),
    /// It has ended.
    Finished {
        /// Why it ended.
        reason: Reason,
        /// Whether it ran, or may have run.
        possibly_started: bool,
    },
}

/// What is stored of a task.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredTask {
    /// The placer that offered it.
    pub placer: Arc<str>,
    /// The offer.
    pub offer: Offer,
    /// How far it has come.
    pub state: TaskState,
}

/// What became of the process of a stored task while no agent ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecoveryOutcome {
    /// It runs as this process.
    Running(ProcessIdentity),
    /// There is no such process.
    NotFound,
}

/// A task that the host holds.
pub(super) struct HeldTask {
    pub(super) record: StoredTask,
    /// When its offer was read, µs; nothing for a task of an earlier process of the agent.
    pub(super) received_at_us: Option<u64>,
    /// It is being stopped, and its end will be reported with this reason.
    pub(super) stop_reason: Option<Reason>,
}

impl HeldTask {
    /// Time since the offer was read, ms; 0 for a task of an earlier process of the agent.
    pub(super) fn time_since_offer_ms(&self, now_us: u64) -> u32 {
        self.received_at_us
            .map_or(0, |at| (now_us.saturating_sub(at) / 1000) as u32)
    }
}
