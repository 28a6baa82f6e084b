//! The actions that a placer returns to its caller.

use super::{AttemptId, MachineId, Micros, TaskId};

/// An action for the caller. Actions are carried out in the order in which a turn returns them.
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
        /// How long the caller waits for the machine's answer, in microseconds.
        timeout: Micros,
    },
    /// Stop waiting for an attempt.
    Cancel(AttemptId),
    /// Final answer: the task was not placed, and resubmitting it has no second effect.
    #[cfg_attr(
        feature = "serde",
        serde(rename = "Refuse", with = "super::tuple_variants::two")
    )]
    Reject {
        /// The task.
        task: TaskId,
        /// How long the owner should wait before it resubmits the task, in microseconds.
        retry_after: Option<Micros>,
    },
    /// Final answer: the task was not placed, but one of its attempts may have started it.
    Fail(TaskId),
    /// A task is blocked for this reason. For information only; reported each time the reason changes.
    #[cfg_attr(
        feature = "serde",
        serde(rename = "Held", with = "super::tuple_variants::two")
    )]
    Blocked {
        /// The task.
        task: TaskId,
        /// Why it is blocked.
        reason: BlockReason,
    },
    /// Stop a placed task, so that its owner resubmits it.
    #[cfg_attr(feature = "serde", serde(rename = "Move"))]
    Migrate(TaskId),
    /// Deliver [`Event::TimerFired`](super::Event::TimerFired) after a time. The label tells which timers are of a task;
    /// see [`TaskId::from_timer_label`].
    #[cfg_attr(
        feature = "serde",
        serde(rename = "Wake", with = "super::tuple_variants::two")
    )]
    SetTimer {
        /// The time, in microseconds.
        after: Micros,
        /// The label of the event.
        label: u64,
    },
    /// Request a machine's load report.
    Probe(MachineId),
    /// Close idle connections to a machine.
    #[cfg_attr(feature = "serde", serde(rename = "CloseIdle"))]
    CloseIdleConnections(MachineId),
    /// Send a message of at most 256 bytes to one other placer or to all.
    #[cfg_attr(feature = "serde", serde(rename = "Tell"))]
    SendToPeer {
        /// The replica index of the receiver; none for all.
        to: Option<u32>,
        /// The message.
        bytes: Vec<u8>,
    },
    /// Subscribe to the changes that discovery reports, or end the subscription.
    #[cfg_attr(
        feature = "serde",
        serde(rename = "Listen", with = "super::tuple_variants::one")
    )]
    WatchEndpoints {
        /// Whether to subscribe.
        enabled: bool,
    },
    /// Fetch the full endpoint list from discovery once.
    #[cfg_attr(feature = "serde", serde(rename = "Lookup"))]
    FetchEndpoints,
    /// Write a line to the operators' log.
    Log(String),
}

/// Why a task is blocked: the check that failed on the machine that passed the most checks. Variants are in the order
/// of the checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum BlockReason {
    /// No kind of machine that it may run on is large enough.
    #[cfg_attr(feature = "serde", serde(rename = "Size"))]
    NoKindFits,
    /// No machine of a kind that it may run on is ready: there is none, or all are draining or gone.
    #[cfg_attr(feature = "serde", serde(rename = "Ready"))]
    NoReadyMachine,
    /// No such machine is connected.
    #[cfg_attr(feature = "serde", serde(rename = "Link"))]
    NotConnected,
    /// An attempt may have run, and no such machine is in the scope that deduplicates by its idempotency key.
    #[cfg_attr(feature = "serde", serde(rename = "Group"))]
    OutsideDeduplicationScope,
    /// The spread limit of its service is reached in the domains of all such machines.
    #[cfg_attr(feature = "serde", serde(rename = "Spread"))]
    SpreadLimit,
    /// All such machines are warming up, and this placer has used its share of their budgets.
    #[cfg_attr(feature = "serde", serde(rename = "Cold"))]
    WarmUpBudget,
    /// No such machine has enough free cores and memory, or all have a backoff after a rejection.
    #[cfg_attr(feature = "serde", serde(rename = "Room"))]
    NoCapacity,
}
