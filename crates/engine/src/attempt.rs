//! An attempt to place a task on a host, and the state of an actor.

use std::sync::Arc;

use maplethread::{AttemptId, AttemptOutcome, Micros, TaskId};
use maplethread_wire::frame::{Reason, ResourceAmounts};

use crate::ids::{ActorKey, AttemptKey, HostId};

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Offered to the host.
    Offered,
    /// Accepted by the host, where acceptance alone does not place it.
    Accepted,
    /// Placed: its request has its final answer.
    Placed,
}

/// An attempt without an outcome.
pub(crate) struct Attempt {
    pub id: AttemptId,
    pub host: HostId,
    pub key: ActorKey,
    pub request_id: Arc<str>,
    /// The index of its class in the settings.
    pub class: usize,
    pub sent_at: Micros,
    pub expires_at: Micros,
    /// Where its frame ends in the bytes queued on the host's connection.
    pub frame_end: u64,
    pub stage: Stage,
    pub is_running: bool,
    pub is_cancelled: bool,
    /// Why it is to stop, where a client or the decider stops it; the name of the event of its end.
    pub stop_reason: Option<&'static str>,
    /// Its actor was reported as ended or lost, or is placed elsewhere: no event tells of its end.
    pub is_unwanted: bool,
}

/// How an attempt ended.
pub(crate) struct AttemptEnd {
    pub outcome: AttemptOutcome,
    /// The reason that the host gave.
    pub reason: Option<Reason>,
    /// The load that the host reported with it.
    pub load: Option<ResourceAmounts>,
    /// It certainly does not run, now or later.
    pub is_known_dead: bool,
}

impl AttemptEnd {
    /// An end that no host reported and after which the attempt may still run.
    pub fn uncertain(outcome: AttemptOutcome) -> AttemptEnd {
        AttemptEnd {
            outcome,
            reason: None,
            load: None,
            is_known_dead: false,
        }
    }

    /// An end that no host reported and after which the attempt certainly does not run.
    pub fn known_dead(outcome: AttemptOutcome) -> AttemptEnd {
        AttemptEnd {
            is_known_dead: true,
            ..AttemptEnd::uncertain(outcome)
        }
    }
}

/// An attempt of an actor that must not run twice and may still start.
pub(crate) struct UnsettledAttempt {
    pub attempt: AttemptKey,
    /// Until when requests for the actor are rejected.
    pub until: Micros,
}

/// Where an actor stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ActorState {
    /// A request for it has no answer yet.
    Pending(TaskId),
    /// It is placed by this attempt.
    Placed(AttemptKey),
}
