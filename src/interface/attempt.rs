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

/// How an attempt ended, with all that was told of it.
#[derive(Clone, Copy, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct AttemptResult {
    /// How.
    #[cfg_attr(feature = "serde", serde(rename = "ending"))]
    pub outcome: AttemptOutcome,
    /// Why, if told.
    #[cfg_attr(feature = "serde", serde(rename = "why"))]
    pub reason: Option<FailureReason>,
    /// The placing is over.
    #[cfg_attr(feature = "serde", serde(rename = "closed"))]
    pub closes_task: bool,
    /// The machine's report, if one came.
    pub load: Option<Resources>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum AttemptOutcome {
    /// The task came to its end.
    #[cfg_attr(feature = "serde", serde(rename = "Done"))]
    Completed,
    /// The machine answered with an error; the task may have run.
    Error,
    /// Turned down, or handed back before it ran.
    #[cfg_attr(feature = "serde", serde(rename = "Refused"))]
    Rejected,
    /// No answer in time; the task may run.
    TimedOut,
    /// No connection; it never ran.
    #[cfg_attr(feature = "serde", serde(rename = "Unreachable"))]
    ConnectFailed,
    /// The connection or the machine was lost, or the task was evicted, pushed out or sent away.
    #[cfg_attr(feature = "serde", serde(rename = "Reset"))]
    Disconnected,
    /// Called off; before it was seated it may have run.
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
    /// Too many offers wait.
    #[cfg_attr(feature = "serde", serde(rename = "Line"))]
    QueueFull,
    /// Wrong kind, draining, too late, or a copy stands there.
    #[cfg_attr(feature = "serde", serde(rename = "NotHere"))]
    Ineligible,
    /// Evicted for memory.
    Evicted,
    /// Pushed out by a higher priority.
    #[cfg_attr(feature = "serde", serde(rename = "PushedOut"))]
    Preempted,
    /// Sent away by a draining machine.
    #[cfg_attr(feature = "serde", serde(rename = "SentAway"))]
    Drained,
}

/// News of an attempt that is out.
#[derive(Clone, Copy, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum TaskReport {
    /// The task runs.
    Started,
    /// Cores that it uses.
    CoresUsed(f64),
    /// Memory that it uses.
    MemoryUsed(f64),
    /// The share of full service that it gets.
    Served(f64),
    /// The share of its machine's memory that is in use.
    MachineMemory(f64),
}
