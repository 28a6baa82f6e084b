//! The engine's timers.

use maplethread::{AttemptId, MachineId, TaskId};

use super::output::{ConnectionId, OwnerId};

/// The action that is due when a timer fires.
pub(super) enum Timer {
    /// A timer of the policy, with its label.
    Policy(u64),
    /// An attempt has reached its deadline.
    AttemptTimeout(AttemptId),
    /// A connection to a host is to be checked: it may have timed out, be idle or need a probe.
    ConnectionCheck(ConnectionId),
    /// A delayed connect is due.
    DelayedConnect(ConnectionId),
    /// A host that runs tasks or is unreachable is to be checked: it may have failed.
    HostCheck(MachineId),
    /// An owner that has sent no valid message is to be disconnected.
    OwnerCheck(OwnerId),
    /// A burst of input of an owner may be over.
    BurstEnd(OwnerId),
    /// A request that has not been admitted has to be answered.
    AdmissionDeadline(TaskId),
}
