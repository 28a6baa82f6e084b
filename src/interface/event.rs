//! The events that the caller passes to a placer.

use super::{
    AttemptId, AttemptResult, MachineEntry, MachineId, Micros, Resources, Task, TaskId, TaskReport,
    UpdateScope,
};

/// An event. The caller passes events in the order in which it received them.
#[derive(Clone, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Event {
    /// An endpoint list: all machines, or changes of some.
    #[cfg_attr(feature = "serde", serde(rename = "Listed"))]
    EndpointsUpdated {
        /// How much the list covers.
        scope: UpdateScope,
        /// The machines.
        machines: Vec<MachineEntry>,
    },
    /// The replica index of this placer has changed, where the index is leased rather than configured. Without an index
    /// a placer has no share of the budget of a machine that is warming up.
    #[cfg_attr(feature = "serde", serde(rename = "Numbered"))]
    ReplicaIndexChanged(Option<u32>),
    /// The connection to a machine was established or lost; only from callers that keep connections. An offer to a
    /// machine without one fails at once with [`AttemptOutcome::ConnectFailed`](super::AttemptOutcome::ConnectFailed).
    /// A machine counts as connected until this event reports otherwise.
    #[cfg_attr(
        feature = "serde",
        serde(rename = "Linked", with = "super::tuple_variants::two")
    )]
    ConnectionChanged {
        /// The machine.
        machine: MachineId,
        /// Whether there is a connection.
        is_connected: bool,
    },
    /// A call to discovery failed, or the subscription was interrupted.
    #[cfg_attr(feature = "serde", serde(rename = "ListUnavailable"))]
    DiscoveryUnavailable,
    /// An owner requests a placement.
    #[cfg_attr(feature = "serde", serde(rename = "Asked"))]
    PlacementRequested(Task),
    /// This placer takes over a task that is already running, as attempt 0.
    #[cfg_attr(
        feature = "serde",
        serde(rename = "Running", with = "super::tuple_variants::two")
    )]
    TaskAdopted {
        /// The task.
        task: Task,
        /// Where it runs.
        machine: MachineId,
    },
    /// A machine accepted the task: it is placed.
    #[cfg_attr(
        feature = "serde",
        serde(rename = "Seated", with = "super::tuple_variants::two")
    )]
    AttemptAccepted {
        /// The attempt.
        attempt: AttemptId,
        /// The time from the offer to the answer, if the caller measures it. Without it, a time in which the placer's own
        /// process was stalled would count as answer time of the machine.
        elapsed: Option<Micros>,
    },
    /// A report about the task of an attempt that has not finished.
    #[cfg_attr(
        feature = "serde",
        serde(rename = "Noted", with = "super::tuple_variants::two")
    )]
    TaskReported {
        /// The attempt.
        attempt: AttemptId,
        /// The report.
        report: TaskReport,
    },
    /// An attempt finished.
    #[cfg_attr(
        feature = "serde",
        serde(rename = "Ended", with = "super::tuple_variants::two")
    )]
    AttemptFinished {
        /// The attempt.
        attempt: AttemptId,
        /// Its outcome.
        result: AttemptResult,
    },
    /// The client closed its connection or cancelled the request, so the task needs no final answer.
    #[cfg_attr(feature = "serde", serde(rename = "HungUp"))]
    ClientDisconnected(TaskId),
    /// A timer set by [`Action::SetTimer`](super::Action::SetTimer) fired.
    #[cfg_attr(
        feature = "serde",
        serde(rename = "Woken", with = "super::tuple_variants::one")
    )]
    TimerFired {
        /// The label of the timer.
        label: u64,
    },
    /// The result of a probe.
    #[cfg_attr(feature = "serde", serde(rename = "Probed"))]
    ProbeFinished {
        /// The machine.
        machine: MachineId,
        /// Whether it answered.
        #[cfg_attr(feature = "serde", serde(rename = "ok"))]
        answered: bool,
        /// Its load report, if the answer contained one.
        load: Option<Resources>,
    },
    /// A message from another placer.
    #[cfg_attr(feature = "serde", serde(rename = "Told"))]
    PeerMessage {
        /// The sender's replica index.
        from: u32,
        /// The message.
        bytes: Vec<u8>,
    },
}
