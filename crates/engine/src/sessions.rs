//! Sessions with hosts: the inventory, connections, heartbeats, and the exchange of frames.

mod adoption;
mod connections;
mod frames;
mod heartbeats;
mod inventory;
mod outgoing;
mod probes;
mod starts;

use std::sync::Arc;

use maplethread::{FailureReason, Resources, RetrySafety};
use maplethread_wire::frame::{DuplicatePolicy, Reason, ResourceAmounts};

use crate::decide::Decide;
use crate::engine::Engine;
use crate::ids::HostId;

pub(crate) use outgoing::Delivery;

/// Converts the reason that a host gave to the decider's, if it has one for it.
pub(crate) fn failure_reason(reason: Reason) -> Option<FailureReason> {
    Some(match reason {
        Reason::Cores => FailureReason::InsufficientCores,
        Reason::Memory => FailureReason::InsufficientMemory,
        Reason::QueueFull => FailureReason::QueueFull,
        Reason::Ineligible => FailureReason::Ineligible,
        Reason::Evicted => FailureReason::Evicted,
        Reason::Preempted => FailureReason::Preempted,
        Reason::Drained => FailureReason::Drained,
        Reason::Unknown | Reason::Completed | Reason::Stopped | Reason::Error => return None,
    })
}

/// The duplicate policy that hosts get with an offer. `key` identifies the copies of a task whose class has idempotency
/// keys.
pub(crate) fn duplicate_policy(retry_safety: RetrySafety, key: u64) -> DuplicatePolicy {
    match retry_safety {
        RetrySafety::Idempotent => DuplicatePolicy::Idempotent,
        RetrySafety::IdempotencyKey { .. } => DuplicatePolicy::IdempotencyKey(key),
        RetrySafety::NonIdempotent => DuplicatePolicy::NonIdempotent,
    }
}

/// Converts resources to the decider's type.
pub(crate) fn resources(amounts: ResourceAmounts) -> Resources {
    Resources::new(amounts.cores, amounts.memory_gib)
}

impl<D: Decide> Engine<D> {
    /// The name of a host; empty if the host has been removed.
    pub(crate) fn host_name(&self, id: HostId) -> Arc<str> {
        self.hosts
            .get(&id)
            .map(|host| host.name.clone())
            .unwrap_or_default()
    }

    /// The address of a host as the API shows it; empty if the host has been removed.
    pub(crate) fn host_address(&self, id: HostId) -> String {
        self.hosts
            .get(&id)
            .map(|host| host.address.to_string())
            .unwrap_or_default()
    }
}
