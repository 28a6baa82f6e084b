//! An attempt to place a task on a host, and the state of an actor.

use std::sync::Arc;

use maplethread::{AttemptId, AttemptOutcome, Micros, TaskId};
use maplethread_timers::TimerId;
use maplethread_wire::frame::{Reason, ResourceAmounts};

use crate::ids::{ActorKey, AttemptKey, HostId};

/// The stage of an attempt that has no outcome yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Offered to the host.
    Offered,
    /// Accepted by the host, if the settings count a task as placed only once it has started.
    Accepted,
    /// Placed; the request has been answered.
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
    /// The timer of `expires_at`, once the offer is sent.
    pub timeout_timer: Option<TimerId>,
    /// Position in the byte stream of the host's connection at which the offer frame ends.
    pub frame_end: u64,
    pub stage: Stage,
    pub is_running: bool,
    pub is_cancelled: bool,
    /// Set once a client or the decider has stopped it: the name of the life-cycle event that reports its end.
    pub stop_reason: Option<&'static str>,
    /// Its actor has already been reported as ended or lost, or is placed by another attempt: no event reports its end.
    pub is_unwanted: bool,
}

/// How an attempt ended.
pub(crate) struct AttemptEnd {
    pub outcome: AttemptOutcome,
    /// The reason that the host gave.
    pub reason: Option<Reason>,
    /// The load that the host reported with the end.
    pub load: Option<ResourceAmounts>,
    /// Whether the attempt certainly does not run, now or later.
    pub is_known_dead: bool,
}

impl AttemptEnd {
    /// An end that no host has reported; the attempt may still run.
    pub fn uncertain(outcome: AttemptOutcome) -> AttemptEnd {
        AttemptEnd {
            outcome,
            reason: None,
            load: None,
            is_known_dead: false,
        }
    }

    /// An end that no host has reported; the attempt certainly does not run.
    pub fn known_dead(outcome: AttemptOutcome) -> AttemptEnd {
        AttemptEnd {
            is_known_dead: true,
            ..AttemptEnd::uncertain(outcome)
        }
    }
}

/// An abandoned attempt that may still start, of an actor that must not run twice.
pub(crate) struct UnsettledAttempt {
    pub attempt: AttemptKey,
    /// Requests for the actor are rejected until this time.
    pub until: Micros,
}

/// The state of an actor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ActorState {
    /// A placement request for it is pending.
    Pending(TaskId),
    /// It is placed by this attempt.
    Placed(AttemptKey),
}
