//! The statuses of checks and of members, and what they mean for placing.

use maplethread_config::HostState;

/// The status of a check, best first.
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
    /// What it means for placing.
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
    /// It is a member, or nothing is known of it.
    Alive,
    /// It is about to leave.
    Leaving,
    /// It has left.
    Left,
    /// It could not be reached.
    Failed,
}

impl MemberStatus {
    /// The status for one of Serf's numbers.
    pub fn from_serf_status(number: i64) -> MemberStatus {
        match number {
            2 => MemberStatus::Leaving,
            3 => MemberStatus::Left,
            4 => MemberStatus::Failed,
            _ => MemberStatus::Alive,
        }
    }

    /// What it means for placing. A member can only make a host worse: an agent that is alive says nothing about the
    /// host's process. The host of a failed or departed agent may still run its tasks, so it drains until it is
    /// deregistered.
    pub fn host_state(self) -> HostState {
        match self {
            MemberStatus::Alive => HostState::Ready,
            MemberStatus::Leaving | MemberStatus::Left | MemberStatus::Failed => {
                HostState::Draining
            }
        }
    }
}
