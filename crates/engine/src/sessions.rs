//! The host side: the list of hosts, connections, heartbeats, and the frames that hosts send.

mod adoption;
mod connections;
mod frames;
pub(crate) mod heartbeats;
mod inventory;
mod starts;

use maplethread::FailureReason;
use maplethread_wire::frame::{Copies, Reason};

pub(crate) fn why(reason: Reason) -> Option<FailureReason> {
    Some(match reason {
        Reason::Cores => FailureReason::Cores,
        Reason::Memory => FailureReason::Memory,
        Reason::Line => FailureReason::QueueFull,
        Reason::NotHere => FailureReason::Ineligible,
        Reason::Evicted => FailureReason::Evicted,
        Reason::PushedOut => FailureReason::Preempted,
        Reason::SentAway => FailureReason::Drained,
        Reason::Unknown | Reason::Done | Reason::Stopped | Reason::Error => return None,
    })
}

/// What stands on the wire for a class's effect.
pub(crate) fn copies(effect: maplethread::RetrySafety, key: u64) -> Copies {
    match effect {
        maplethread::RetrySafety::Idempotent => Copies::Safe,
        maplethread::RetrySafety::IdempotencyKey { .. } => Copies::Keyed(key),
        maplethread::RetrySafety::NonIdempotent => Copies::Unsafe,
    }
}
