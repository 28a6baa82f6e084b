//! What a placer sees.

use super::{
    AttemptId, AttemptResult, MachineEntry, MachineId, Micros, Resources, Task, TaskId, TaskReport,
    UpdateScope,
};

/// Something that has happened, in the order in which the caller learned of it.
#[derive(Clone, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Event {
    /// A list of machines, or changes of one.
    #[cfg_attr(feature = "serde", serde(rename = "Listed"))]
    EndpointsUpdated {
        /// How much the list covers.
        scope: UpdateScope,
        /// The machines.
        machines: Vec<MachineEntry>,
    },
    /// Which of the placers this one is from now on, where that is leased rather than set. Without an index a placer
    /// has no part of the budget of a machine that is warming up.
    #[cfg_attr(feature = "serde", serde(rename = "Numbered"))]
    ReplicaIndexChanged(Option<u32>),
    /// Whether the caller has a connection to a machine; only from callers that keep connections. Without one an offer
    /// is [`AttemptOutcome::ConnectFailed`](super::AttemptOutcome::ConnectFailed) at once. A machine counts as
    /// connected until this says otherwise.
    #[cfg_attr(
        feature = "serde",
        serde(rename = "Linked", with = "super::tuple_variants::two")
    )]
    ConnectionChanged {
        /// The machine.
        machine: MachineId,
        /// There is a connection.
        is_connected: bool,
    },
    /// A call to discovery failed, or the subscription broke.
    #[cfg_attr(feature = "serde", serde(rename = "ListUnavailable"))]
    DiscoveryUnavailable,
    /// An owner requests a placement.
    #[cfg_attr(feature = "serde", serde(rename = "Asked"))]
    PlacementRequested(Task),
    /// A task that runs already is this placer's from now on, as attempt 0.
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
        /// The time from the offer to the answer, where the caller measures it. After a stall of its own the placer
        /// would else take its pause for the machine's.
        elapsed: Option<Micros>,
    },
    /// A report of an attempt that is in flight.
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
    /// An attempt ended.
    #[cfg_attr(
        feature = "serde",
        serde(rename = "Ended", with = "super::tuple_variants::two")
    )]
    AttemptFinished {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        result: AttemptResult,
    },
    /// The client closed or cancelled: nobody waits for the task any more.
    #[cfg_attr(feature = "serde", serde(rename = "HungUp"))]
    ClientDisconnected(TaskId),
    /// A timer of [`Action::SetTimer`](super::Action::SetTimer) fired.
    #[cfg_attr(
        feature = "serde",
        serde(rename = "Woken", with = "super::tuple_variants::one")
    )]
    TimerFired {
        /// The label that it was set with.
        label: u64,
    },
    /// A probe's result.
    Probed {
        /// The machine.
        machine: MachineId,
        /// It answered.
        #[cfg_attr(feature = "serde", serde(rename = "ok"))]
        answered: bool,
        /// Its load report, if one came.
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
