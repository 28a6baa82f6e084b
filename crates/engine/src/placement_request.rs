//! A placement request that has no final answer yet.

use std::collections::BTreeSet;
use std::sync::Arc;

use maplethread::{BlockReason, Micros, Task};
use maplethread_wire::frame::DuplicatePolicy;

use crate::ids::{ActorKey, AttemptKey, ClientId, RequestSlot};

/// A request of a client that waits for the answer.
pub(crate) struct Waiter {
    pub client: ClientId,
    pub slot: RequestSlot,
    pub request_id: Arc<str>,
}

/// A placement request without an answer.
pub(crate) struct PlacementRequest {
    pub task: Task,
    pub received_at: Micros,
    /// When its client stops waiting. The decider gets an earlier deadline, by as much as turns may run late.
    pub deadline: Micros,
    /// The decider has not had a whole turn with it.
    pub awaits_first_turn: bool,
    pub key: ActorKey,
    pub request_id: Arc<str>,
    pub idempotency_key: Option<Arc<str>>,
    /// Who waits for the answer; requests for the same actor join the first one.
    pub waiters: Vec<Waiter>,
    pub duplicate_policy: DuplicatePolicy,
    /// The attempt that has no outcome yet.
    pub in_flight: Option<AttemptKey>,
    pub attempts: u32,
    /// Why its last attempt failed, as the API names it.
    pub last_failure: Option<&'static str>,
    /// What blocks it now.
    pub block_reason: Option<BlockReason>,
    /// All that has ever blocked it, so that each reason is counted once.
    pub past_block_reasons: BTreeSet<BlockReason>,
    /// The first host on which an attempt may have run.
    pub possibly_started_on: Option<Arc<str>>,
    pub span: tracing::Span,
}

impl PlacementRequest {
    /// Why it is rejected, as the API names it: what blocks it, or else how its last attempt ended.
    pub fn rejection_reason(&self) -> &'static str {
        match (self.block_reason, self.last_failure) {
            // A host that rejected an attempt has named the resource that it lacks.
            (Some(BlockReason::NoCapacity), Some(reason @ ("cores" | "memory" | "line"))) => reason,
            (Some(reason), _) => block_reason_name(reason),
            (None, _) if self.in_flight.is_some() => "no_answer",
            (None, Some(reason)) => reason,
            (None, None) => "unknown",
        }
    }
}

/// The API's name of a block reason.
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
