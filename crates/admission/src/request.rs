//! Requests to run a task, and the decisions on them.

use crate::deduplication::DeduplicationKey;

/// A request to run a task.
#[derive(Clone, Debug, PartialEq)]
pub struct TaskRequest {
    /// The id of the attempt, unique on the host.
    pub attempt_id: u64,
    /// The id of the program; tasks of one service share it.
    pub program_id: u64,
    /// Requested cores.
    pub cores: f64,
    /// Requested memory, GiB.
    pub memory_gib: f64,
    /// Priority; a higher one may preempt a lower one.
    pub priority: u32,
    /// The deduplication key. Only one task with the same key may be held at a time; tasks without a key are not
    /// limited.
    pub deduplication_key: Option<DeduplicationKey>,
}

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RejectionReason {
    /// The tasks held would request more cores than the policy allows.
    #[error("insufficient cores")]
    InsufficientCores,
    /// The tasks held would request more memory than the policy allows.
    #[error("insufficient memory")]
    InsufficientMemory,
    /// Too many requests wait for a decision.
    #[error("the admission queue is full")]
    QueueFull,
    /// The host is draining.
    #[error("the host is draining")]
    Draining,
    /// A task with the same deduplication key is held.
    #[error("a task with the same deduplication key is held")]
    DuplicateKey,
}

/// The decision on a request.
#[derive(Clone, Debug, PartialEq)]
pub enum AdmissionDecision {
    /// The task is admitted.
    Admitted {
        /// Attempts of lower priority that were removed to free resources for it, and have to be stopped.
        preempted: Vec<u64>,
    },
    /// The task is rejected and has had no effect.
    Rejected(RejectionReason),
}
