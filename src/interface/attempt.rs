//! Attempts to place a task: their reports while the task runs, and their outcomes.

use super::{Resources, TaskId};

/// The id of one attempt to place a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct AttemptId {
    /// The task.
    pub task: TaskId,
    /// The number of the attempt, from 0 for each task.
    pub number: u32,
}

/// The outcome of an attempt, with its details.
#[derive(Clone, Copy, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct AttemptResult {
    /// The outcome.
    #[cfg_attr(feature = "serde", serde(rename = "ending"))]
    pub outcome: AttemptOutcome,
    /// The reason, if the machine gave one.
    #[cfg_attr(feature = "serde", serde(rename = "why"))]
    pub reason: Option<FailureReason>,
    /// Whether the placer must make no further attempt for this task, even if the outcome would allow one.
    #[cfg_attr(feature = "serde", serde(rename = "closed"))]
    pub closes_task: bool,
    /// The machine's load report, if the answer contained one.
    pub load: Option<Resources>,
}

/// The outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum AttemptOutcome {
    /// The task ran to completion.
    #[cfg_attr(feature = "serde", serde(rename = "Done"))]
    Completed,
    /// The machine returned an error; the task may have run.
    Error,
    /// The machine rejected the task, or returned it before it ran.
    #[cfg_attr(feature = "serde", serde(rename = "Refused"))]
    Rejected,
    /// The machine did not answer in time; the task may run.
    TimedOut,
    /// The connection to the machine failed; the task never ran.
    #[cfg_attr(feature = "serde", serde(rename = "Unreachable"))]
    ConnectFailed,
    /// The connection or the machine was lost, or the task was evicted, preempted or drained.
    #[cfg_attr(feature = "serde", serde(rename = "Reset"))]
    Disconnected,
    /// The attempt was cancelled. If it had not been accepted yet, the task may have run all the same.
    Cancelled,
    /// The offer was never sent.
    #[cfg_attr(feature = "serde", serde(rename = "NotSent"))]
    NeverSent,
}

/// Why a machine rejected a task, or ended it before it completed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum FailureReason {
    /// The machine has too few free cores.
    #[cfg_attr(feature = "serde", serde(rename = "Cores"))]
    InsufficientCores,
    /// The machine has too little free memory.
    #[cfg_attr(feature = "serde", serde(rename = "Memory"))]
    InsufficientMemory,
    /// The machine's queue of offers is full.
    #[cfg_attr(feature = "serde", serde(rename = "Line"))]
    QueueFull,
    /// The machine cannot take the task: it is of the wrong kind or draining, the offer is too late, or the task
    /// already runs there.
    #[cfg_attr(feature = "serde", serde(rename = "NotHere"))]
    Ineligible,
    /// The task was evicted to free memory.
    Evicted,
    /// The task was preempted by one of a higher priority.
    #[cfg_attr(feature = "serde", serde(rename = "PushedOut"))]
    Preempted,
    /// The task was stopped because its machine is draining.
    #[cfg_attr(feature = "serde", serde(rename = "SentAway"))]
    Drained,
}

/// A report about a task that was accepted.
#[derive(Clone, Copy, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum TaskReport {
    /// The task has started.
    Started,
    /// The number of cores that the task uses.
    CoresUsed(f64),
    /// The memory that the task uses, in the unit of its request.
    MemoryUsed(f64),
    /// The share of full service that the task gets; 1 is full service.
    #[cfg_attr(feature = "serde", serde(rename = "Served"))]
    ServiceShare(f64),
    /// The share of its machine's memory that is in use.
    #[cfg_attr(feature = "serde", serde(rename = "MachineMemory"))]
    MachineMemoryShare(f64),
}
