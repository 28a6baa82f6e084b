//! The host side: the list of hosts, connections, heartbeats, and the frames that hosts send.

mod adoption;
mod connections;
mod frames;
pub(crate) mod heartbeats;
mod inventory;
mod starts;

use maplethread::FailureReason;
use maplethread_wire::frame::{DuplicatePolicy, Reason};

pub(crate) fn failure_reason(reason: Reason) -> Option<FailureReason> {
    Some(match reason {
        Reason::Cores => FailureReason::Cores,
        Reason::Memory => FailureReason::Memory,
        Reason::QueueFull => FailureReason::QueueFull,
        Reason::Ineligible => FailureReason::Ineligible,
        Reason::Evicted => FailureReason::Evicted,
        Reason::Preempted => FailureReason::Preempted,
        Reason::Drained => FailureReason::Drained,
        Reason::Unknown | Reason::Completed | Reason::Stopped | Reason::Error => return None,
    })
}

/// What stands on the wire for a class's effect.
pub(crate) fn duplicate_policy(effect: maplethread::RetrySafety, key: u64) -> DuplicatePolicy {
    match effect {
        maplethread::RetrySafety::Idempotent => DuplicatePolicy::Idempotent,
        maplethread::RetrySafety::IdempotencyKey { .. } => DuplicatePolicy::IdempotencyKey(key),
        maplethread::RetrySafety::NonIdempotent => DuplicatePolicy::NonIdempotent,
    }
}
