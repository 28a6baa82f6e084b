//! Converts between admission and the host protocol: offers to requests, and decisions to frames.

use maplethread_wire::frame::{DuplicatePolicy, Frame, Offer, Reason};

use crate::admission::Admission;
use crate::deduplication::DeduplicationKey;
use crate::request::{RejectionReason, TaskRequest};

impl TaskRequest {
    /// Converts an offer to a request. Its deduplication key, if any, belongs to `deduplication_group`.
    pub fn from_offer(offer: &Offer, deduplication_group: u64) -> TaskRequest {
        let deduplication_key = match offer.duplicate_policy {
            DuplicatePolicy::IdempotencyKey(key) => Some(DeduplicationKey {
                group: deduplication_group,
                key,
            }),
            DuplicatePolicy::Idempotent | DuplicatePolicy::NonIdempotent => None,
        };
        TaskRequest {
            attempt_id: offer.attempt_id,
            program_id: program_id(&offer.service),
            cores: offer.requested.cores,
            memory_gib: offer.requested.memory_gib,
            priority: offer.priority,
            deduplication_key,
        }
    }
}

/// The id of a service's program, as a hash of the service's name: tasks of one service run the same program.
fn program_id(service: &str) -> u64 {
    service.bytes().fold(7, |hash: u64, byte| {
        hash.wrapping_mul(131).wrapping_add(u64::from(byte))
    })
}

impl From<RejectionReason> for Reason {
    fn from(reason: RejectionReason) -> Reason {
        match reason {
            RejectionReason::InsufficientCores => Reason::Cores,
            RejectionReason::InsufficientMemory => Reason::Memory,
            RejectionReason::QueueFull => Reason::QueueFull,
            RejectionReason::Draining | RejectionReason::DuplicateKey => Reason::Ineligible,
        }
    }
}

impl Admission {
    /// The frame that rejects an attempt, with the unallocated resources of the host.
    pub fn rejection_frame(&self, attempt_id: u64, reason: impl Into<Reason>) -> Frame {
        Frame::Refused(attempt_id, reason.into(), Some(self.unallocated()))
    }

    /// The frame that reports the end of an attempt, with the unallocated resources of the host. To be called after the
    /// task has been removed.
    pub fn end_frame(&self, attempt_id: u64, reason: Reason, possibly_started: bool) -> Frame {
        Frame::Ended(
            attempt_id,
            reason,
            possibly_started,
            Some(self.unallocated()),
        )
    }
}
