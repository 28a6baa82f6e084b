//! The engine's timers.

use maplethread::{AttemptId, MachineId, TaskId};

use super::output::{ConnectionId, OwnerId};

/// What is due when a timer fires.
pub(super) enum Timer {
    /// A timer of the decisions, with its label.
    Decisions(u64),
    /// The answer to an attempt is overdue.
    AttemptTimeout(AttemptId),
    /// A connection to a host may be overdue, idle or in need of a health check.
    ConnectionCheck(ConnectionId),
    /// A connection is to be opened that was delayed.
    DelayedConnect(ConnectionId),
    /// A host with running tasks, or one that is unreachable, may have failed.
    HostCheck(MachineId),
    /// An owner that has sent nothing valid is to be disconnected.
    OwnerCheck(OwnerId),
    /// A pending release may have expired.
    ReleaseExpiry,
    /// A request that was not admitted yet has to be answered.
    AdmissionDeadline(TaskId),
}
