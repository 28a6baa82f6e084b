//! Statuses of checks and members, and the host states that follow from them.

use maplethread_config::HostState;

/// The status of a check, ordered from best to worst.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CheckStatus {
    /// The check passes.
    Passing,
    /// The host works, but an operator should look at it.
    Warning,
    /// The host does not work.
    Critical,
    /// Operators have put the service or its node into maintenance.
    Maintenance,
}

impl CheckStatus {
    /// The state of a host whose worst check has this status.
    pub fn host_state(self) -> HostState {
        match self {
            CheckStatus::Passing | CheckStatus::Warning => HostState::Ready,
            CheckStatus::Critical | CheckStatus::Maintenance => HostState::Draining,
        }
    }
}

/// The status of an agent in the gossip pool (`/v1/agent/members`).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberStatus {
    /// It is a member, or its status is unknown.
    Alive,
    /// It is about to leave.
    Leaving,
    /// It has left.
    Left,
    /// It could not be reached.
    Failed,
}

impl MemberStatus {
    /// Converts one of Serf's status numbers.
    pub fn from_serf_status(number: i64) -> MemberStatus {
        match number {
            2 => MemberStatus::Leaving,
            3 => MemberStatus::Left,
            4 => MemberStatus::Failed,
            _ => MemberStatus::Alive,
        }
    }

    /// The state of a host on this member's node. The worse of this and the host's own state applies: that an agent is
    /// alive does not show that the host's process works. If the agent has failed or left, the host may still run its
    /// tasks, so it is drained until it is deregistered.
    pub fn host_state(self) -> HostState {
        match self {
            MemberStatus::Alive => HostState::Ready,
            MemberStatus::Leaving | MemberStatus::Left | MemberStatus::Failed => {
                HostState::Draining
            }
        }
    }
}
