//! What a placer wants done.

use super::{AttemptId, MachineId, Micros, TaskId};

/// What the caller is to do, in the order in which a turn returns it.
#[derive(Clone, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Action {
    /// Offer the task to a machine, as its next attempt.
    #[cfg_attr(feature = "serde", serde(with = "super::tuple_variants::three"))]
    Offer {
        /// The task.
        task: TaskId,
        /// The machine.
        machine: MachineId,
        /// How long its answer is waited for, in microseconds.
        timeout: Micros,
    },
    /// Stop waiting for an attempt.
    Cancel(AttemptId),
    /// Final answer: the task was not placed, and asking again does no harm.
    #[cfg_attr(
        feature = "serde",
        serde(rename = "Refuse", with = "super::tuple_variants::two")
    )]
    Reject {
        /// The task.
        task: TaskId,
        /// Advice how long to wait before asking again, in microseconds.
        retry_after: Option<Micros>,
    },
    /// Final answer: the task was not placed, and nothing is promised about its attempts.
    Fail(TaskId),
    /// A task is blocked from now on for this reason. Nothing is to be done; reported once for each change.
    #[cfg_attr(
        feature = "serde",
        serde(rename = "Held", with = "super::tuple_variants::two")
    )]
    Blocked {
        /// The task.
        task: TaskId,
        /// What it waits for.
        reason: BlockReason,
    },
    /// Stop a placed task, so that its owner asks for another place.
    #[cfg_attr(feature = "serde", serde(rename = "Move"))]
    Migrate(TaskId),
    /// Return [`Event::TimerFired`](super::Event::TimerFired) later.
    #[cfg_attr(
        feature = "serde",
        serde(rename = "Wake", with = "super::tuple_variants::two")
    )]
    SetTimer {
        /// After how long, in microseconds.
        after: Micros,
        /// The label to return.
        label: u64,
    },
    /// Ask a machine for its load report.
    Probe(MachineId),
    /// Close idle connections to a machine.
    CloseIdle(MachineId),
    /// Send a message of at most 256 bytes to one placer, or to all.
    #[cfg_attr(feature = "serde", serde(rename = "Tell"))]
    SendToPeer {
        /// The replica index of the receiver; none for all.
        to: Option<u32>,
        /// The message.
        bytes: Vec<u8>,
    },
    /// Subscribe to the changes that discovery reports, or end that.
    #[cfg_attr(
        feature = "serde",
        serde(rename = "Listen", with = "super::tuple_variants::one")
    )]
    WatchEndpoints {
        /// Subscribe.
        enabled: bool,
    },
    /// Ask discovery for the full list once.
    #[cfg_attr(feature = "serde", serde(rename = "Lookup"))]
    FetchEndpoints,
    /// A line for the operators.
    Log(String),
}

/// What a blocked task waits for: what stopped the machine that came nearest to taking it. Later reasons are nearer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum BlockReason {
    /// A larger machine: no kind that it may run on could ever take it.
    #[cfg_attr(feature = "serde", serde(rename = "Size"))]
    NoKindFits,
    /// A machine of its kind that takes tasks: all are draining, or gone.
    #[cfg_attr(feature = "serde", serde(rename = "Ready"))]
    NoReadyMachine,
    /// A connection to one.
    #[cfg_attr(feature = "serde", serde(rename = "Link"))]
    NotConnected,
    /// A machine that knows its idempotency key, since an attempt may have run there.
    #[cfg_attr(feature = "serde", serde(rename = "Group"))]
    OutsideDeduplicationScope,
    /// A domain that does not hold as many tasks of its service as it may.
    #[cfg_attr(feature = "serde", serde(rename = "Spread"))]
    SpreadLimit,
    /// A part of the budget of a machine that is warming up.
    #[cfg_attr(feature = "serde", serde(rename = "Cold"))]
    WarmUpBudget,
    /// Free cores or memory.
    #[cfg_attr(feature = "serde", serde(rename = "Room"))]
    NoCapacity,
}
