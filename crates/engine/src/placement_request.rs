//! A placement request that has no final answer yet.

use std::collections::BTreeSet;
use std::sync::Arc;

use maplethread::{BlockReason, Micros, Task};
use maplethread_timers::TimerId;
use maplethread_wire::frame::DuplicatePolicy;

use crate::ids::{ActorKey, AttemptKey, ClientId, RequestSlot};

/// A client's request that waits for the answer.
pub(crate) struct Waiter {
    pub client: ClientId,
    pub slot: RequestSlot,
    pub request_id: Arc<str>,
}

/// A placement request without an answer.
pub(crate) struct PlacementRequest {
    pub task: Task,
    pub received_at: Micros,
    /// When its client stops waiting. The decider gets an earlier deadline, which allows for late turns.
    pub deadline: Micros,
    /// Whether the request's first turn of the decider is not over yet.
    pub awaits_first_turn: bool,
    pub key: ActorKey,
    pub request_id: Arc<str>,
    pub idempotency_key: Option<Arc<str>>,
    /// The client requests that wait for the answer; further requests for the same actor join the first one.
    pub waiters: Vec<Waiter>,
    pub duplicate_policy: DuplicatePolicy,
    /// The attempt that has no outcome yet.
    pub in_flight: Option<AttemptKey>,
    /// The decider's timer for the request.
    pub timer: Option<TimerId>,
    pub attempts: u32,
    /// Why its last attempt failed, by its name in the API.
    pub last_failure: Option<&'static str>,
    /// Why it is blocked at present.
    pub block_reason: Option<BlockReason>,
    /// All reasons for which it has been blocked, so that each is counted once.
    pub past_block_reasons: BTreeSet<BlockReason>,
    /// The first host on which an attempt may have run.
    pub possibly_started_on: Option<Arc<str>>,
    pub span: tracing::Span,
}

impl PlacementRequest {
    /// The reason for a rejection, by its name in the API: the current block reason, or else how the last attempt
    /// failed.
    pub fn rejection_reason(&self) -> &'static str {
        match (self.block_reason, self.last_failure) {
            // The host that rejected the last attempt has reported which resource it lacks, which is more specific.
            (Some(BlockReason::NoCapacity), Some(reason @ ("cores" | "memory" | "line"))) => reason,
            (Some(reason), _) => block_reason_name(reason),
            (None, _) if self.in_flight.is_some() => "no_answer",
            (None, Some(reason)) => reason,
            (None, None) => "unknown",
        }
    }
}

/// The name of a block reason in the API.
pub(crate) fn block_reason_name(reason: BlockReason) -> &'static str {
    match reason {
        BlockReason::NoKindFits => "too_large",
        BlockReason::NoReadyMachine => "no_host",
        BlockReason::NotConnected => "no_connection",
        BlockReason::OutsideDeduplicationScope => "key_group",
        BlockReason::SpreadLimit => "spread",
        BlockReason::WarmUpBudget => "cold",
        BlockReason::NoCapacity => "no_room",
    }
}
