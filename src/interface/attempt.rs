//! Attempts to place a task: what they report while they run, and how they end.

use super::{Resources, TaskId};

/// One attempt of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct AttemptId {
    /// The task.
    pub task: TaskId,
    /// Attempts of a task count from 0.
    pub number: u32,
}

/// How an attempt ended, with all that is known of it.
#[derive(Clone, Copy, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct AttemptResult {
    /// How it ended.
    #[cfg_attr(feature = "serde", serde(rename = "ending"))]
    pub outcome: AttemptOutcome,
    /// Why, if the machine said so.
    #[cfg_attr(feature = "serde", serde(rename = "why"))]
    pub reason: Option<FailureReason>,
    /// The request is over, whatever became of the task.
    #[cfg_attr(feature = "serde", serde(rename = "closed"))]
    pub closes_task: bool,
    /// The machine's load report, if one came.
    pub load: Option<Resources>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum AttemptOutcome {
    /// The task ran to its end.
    #[cfg_attr(feature = "serde", serde(rename = "Done"))]
    Completed,
    /// The machine answered with an error; the task may have run.
    Error,
    /// The machine rejected it, or handed it back before it ran.
    #[cfg_attr(feature = "serde", serde(rename = "Refused"))]
    Rejected,
    /// No answer in time; the task may run.
    TimedOut,
    /// No connection; it never ran.
    #[cfg_attr(feature = "serde", serde(rename = "Unreachable"))]
    ConnectFailed,
    /// The connection or the machine was lost, or the task was evicted, preempted or drained.
    #[cfg_attr(feature = "serde", serde(rename = "Reset"))]
    Disconnected,
    /// It was cancelled; if it had not been accepted it may have run.
    Cancelled,
    /// It was never sent.
    #[cfg_attr(feature = "serde", serde(rename = "NotSent"))]
    NeverSent,
}

/// Why an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum FailureReason {
    /// Too few cores.
    Cores,
    /// Too little memory.
    Memory,
    /// Too many offers are queued.
    #[cfg_attr(feature = "serde", serde(rename = "Line"))]
    QueueFull,
    /// The wrong kind, draining, too late, or a copy of the task is there.
    #[cfg_attr(feature = "serde", serde(rename = "NotHere"))]
    Ineligible,
    /// Evicted for memory.
    Evicted,
    /// Preempted by a task of a higher priority.
    #[cfg_attr(feature = "serde", serde(rename = "PushedOut"))]
    Preempted,
    /// Its machine is draining.
    #[cfg_attr(feature = "serde", serde(rename = "SentAway"))]
    Drained,
}

/// What a task that was accepted reports.
#[derive(Clone, Copy, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum TaskReport {
    /// The task runs.
    Started,
    /// The cores that it uses.
    CoresUsed(f64),
    /// The memory that it uses.
    MemoryUsed(f64),
    /// The share of full service that it gets.
    #[cfg_attr(feature = "serde", serde(rename = "Served"))]
    ServiceShare(f64),
    /// The share of its machine's memory that is in use.
    #[cfg_attr(feature = "serde", serde(rename = "MachineMemory"))]
    MachineMemoryShare(f64),
}
