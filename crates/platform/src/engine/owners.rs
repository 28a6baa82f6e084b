//! Owners' connections: the messages received on them, when they are closed, and which to close first.

use std::collections::BTreeSet;
use std::net::IpAddr;

use maplethread::{MachineId, Micros, TaskId};
use maplethread_engine::{Decide, TimerId};
use maplethread_platform_wire::owner::{DecodeError, FromOwner, ToOwner};
use maplethread_platform_wire::{Cause, SetupId};

use super::Engine;
use super::input_burst::InputBurst;
use super::output::{Output, OwnerConnectionEnd, OwnerId};
use super::owner_evidence::{OwnerEvidence, OwnerLikelihood};
use super::timer::Timer;

/// An owner's connection is closed if its first valid message does not arrive within this time. The platform's acceptance
/// test requires the close within 3 s.
const FIRST_MESSAGE_TIMEOUT: Micros = 2_500_000;

/// An owner's connection. The engine identifies owners by their connections, so an owner with two connections counts as two
/// owners.
pub(super) struct Owner {
    /// The owner has sent a request, a running task or a probe.
    pub(super) has_sent_valid_message: bool,
    /// The recent input of the connection.
    input_burst: InputBurst,
    /// The input is not read for the time being.
    is_input_stopped: bool,
    /// The timer of [`Engine::end_input_burst`].
    burst_timer: Option<TimerId>,
    /// What shows whether the connection is one of an owner, and of which.
    pub(super) evidence: OwnerEvidence,
    /// The owner has acknowledged a release.
    pub(super) acknowledges_releases: bool,
    /// Requests that have not been answered.
    pub(super) pending: BTreeSet<TaskId>,
    /// The total bytes of the texts of `pending`.
    pub(super) pending_bytes: usize,
    /// The timer of [`Engine::check_owner`].
    check_timer: TimerId,
    /// When the last message was received.
    pub(super) last_received: Micros,
    /// The owner has closed its side of the connection: its requests get no answer.
    pub(super) is_half_closed: bool,
}

/// What decides which connection is closed first, in descending order of importance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct OwnerPriority {
    has_running_tasks: bool,
    has_sent_valid_message: bool,
    is_in_use: bool,
    likelihood: OwnerLikelihood,
    last_received: Micros,
}

impl Owner {
    /// Whether messages on the connection can still be received.
    pub(super) fn is_reachable(&self) -> bool {
        !self.is_half_closed
    }
}

impl<D: Decide> Engine<D> {
    /// Handles a new connection of an owner from a remote address.
    pub fn owner_connected(&mut self, now: Micros, id: OwnerId, address: IpAddr) {
        let check_timer = self
            .timers
            .schedule(now + FIRST_MESSAGE_TIMEOUT, Timer::OwnerCheck(id));
        let owner = Owner {
            has_sent_valid_message: false,
            input_burst: InputBurst::default(),
            is_input_stopped: false,
            burst_timer: None,
            evidence: OwnerEvidence::new(address),
            acknowledges_releases: false,
            pending: BTreeSet::new(),
            pending_bytes: 0,
            check_timer,
            last_received: now,
            is_half_closed: false,
        };
        self.owners.insert(id, owner);
    }

    /// The owners' connections to close first when descriptors run out, at most `max_count`: those that have sent no valid
    /// message, then those that have neither placed nor handed over a task, then those of whose tasks no host has confirmed
    /// any, then others, and last those with running tasks. Of several such connections the one whose last message is the
    /// oldest is the first. Connections with a pending request are never closed, and those with running tasks only if
    /// `includes_running` is set.
    pub fn lowest_priority_owners(&self, includes_running: bool, max_count: usize) -> Vec<OwnerId> {
        let mut ranked: Vec<(OwnerPriority, OwnerId)> = self
            .owners
            .iter()
            .filter(|(_, owner)| owner.pending.is_empty())
            .map(|(&id, owner)| (self.priority(id, owner), id))
            .filter(|(priority, _)| includes_running || !priority.has_running_tasks)
            .collect();
        if ranked.len() > max_count {
            ranked.select_nth_unstable(max_count);
            ranked.truncate(max_count);
        }
        ranked.sort_unstable();
        ranked.into_iter().map(|(_, id)| id).collect()
    }

    fn priority(&self, id: OwnerId, owner: &Owner) -> OwnerPriority {
        OwnerPriority {
            has_running_tasks: self.tasks.has_confirmed(id),
            has_sent_valid_message: owner.has_sent_valid_message,
            is_in_use: owner.evidence.is_in_use(),
            likelihood: owner.evidence.own_likelihood(),
            last_received: owner.last_received,
        }
    }

    /// Handles an owner that has closed its side: its pending requests are cancelled. Earlier input may still be unread.
    pub fn owner_half_closed(&mut self, id: OwnerId) {
        let Some(owner) = self.owners.get_mut(&id) else {
            return;
        };
        if std::mem::replace(&mut owner.is_half_closed, true) {
            return;
        }
        let pending = std::mem::take(&mut owner.pending);
        owner.pending_bytes = 0;
        for task in pending {
            self.cancel_request(task);
        }
    }

    /// Handles the loss of an owner's connection: its pending requests are cancelled, its running tasks continue.
    pub fn owner_disconnected(&mut self, now: Micros, id: OwnerId, end: OwnerConnectionEnd) {
        self.owner_half_closed(id);
        self.resend_releases(now, id, end);
        if let Some(owner) = self.owners.remove(&id) {
            if owner.evidence.is_in_use() {
                self.ended_owners.record(now, owner.evidence.address());
            }
            self.timers.cancel(owner.check_timer);
            self.timers.cancel(owner.burst_timer);
            self.admission_queue.remove_owner(id);
            self.tasks
                .end_connection(id, owner.evidence.own_likelihood());
        }
    }

    /// Records that bytes were received from an owner, before the messages in them are handled, and whether more can be read.
    /// The requests in a burst are not admitted before it is over.
    pub fn record_owner_input(&mut self, now: Micros, id: OwnerId, bytes: usize, has_more: bool) {
        let Some(owner) = self.owners.get_mut(&id) else {
            return;
        };
        let is_burst = owner.input_burst.record(now, bytes, has_more);
        if is_burst && self.admission_queue.hold(id) && !owner.is_input_stopped {
            self.schedule_burst_end(id);
        }
    }

    /// Records that an owner's input is not read any more, or is read again. Whatever is unread belongs to a burst.
    pub fn set_owner_input_stopped(&mut self, now: Micros, id: OwnerId, is_stopped: bool) {
        let Some(owner) = self.owners.get_mut(&id) else {
            return;
        };
        owner.is_input_stopped = is_stopped;
        self.admission_queue.hold(id);
        self.timers.cancel(owner.burst_timer.take());
        if !is_stopped {
            owner.input_burst.record(now, 0, true);
            self.schedule_burst_end(id);
        }
    }

    fn schedule_burst_end(&mut self, id: OwnerId) {
        if let Some(owner) = self.owners.get_mut(&id) {
            let ends_at = owner.input_burst.ends_at();
            owner.burst_timer = Some(self.timers.schedule(ends_at, Timer::BurstEnd(id)));
        }
    }

    /// Admits the requests of a burst if that is over.
    pub(super) fn end_input_burst(&mut self, now: Micros, id: OwnerId) {
        let Some(owner) = self.owners.get_mut(&id) else {
            return;
        };
        owner.burst_timer = None;
        if owner.input_burst.ends_at() > now {
            self.schedule_burst_end(id);
        } else {
            owner.input_burst.end();
            self.admission_queue.stop_holding(id);
        }
    }

    /// Handles a message from an owner, or the error of decoding it.
    pub fn handle_owner_message(
        &mut self,
        now: Micros,
        id: OwnerId,
        message: Result<FromOwner, DecodeError>,
    ) {
        let Some(owner) = self.owners.get_mut(&id) else {
            return;
        };
        owner.last_received = now;
        match message {
            Ok(FromOwner::Setup(setup)) if setup.running_on.is_some() => {
                self.adopt_running_task(now, id, setup)
            }
            Ok(FromOwner::Setup(setup)) => self.handle_request(now, id, setup),
            Ok(FromOwner::Close { id: setup, cause }) => {
                self.handle_owner_close(now, id, setup, cause)
            }
            Ok(FromOwner::Closed { id: setup }) => self.handle_release_acknowledged(id, setup),
            Ok(FromOwner::Probe { id: probe }) => {
                owner.has_sent_valid_message = true;
                let answer = ToOwner::Probed {
                    id: probe,
                    is_healthy: true,
                };
                let is_in_place_of_ended = !owner.evidence.has_probed()
                    && self.ended_owners.take(now, owner.evidence.address());
                if is_in_place_of_ended {
                    owner.evidence.record_replacement();
                }
                self.outputs.push(Output::SendToOwner(id, answer));
                self.record_evidence(now, id, OwnerEvidence::record_probe);
            }
            Ok(FromOwner::Ignored) => {}
            Err(error) => {
                tracing::debug!(owner = id.0, %error, "invalid message from owner");
                owner.evidence.record_invalid_message();
                match error {
                    DecodeError::InvalidField { id: setup, .. } => {
                        self.reject_setup(now, id, setup, Cause::ERROR)
                    }
                    DecodeError::LineTooLong | DecodeError::Malformed(_) => {
                        self.disconnect_owner(now, id)
                    }
                }
            }
        }
    }

    /// Closes an owner's connection and cancels its pending requests.
    fn disconnect_owner(&mut self, now: Micros, id: OwnerId) {
        // The shell writes what is unwritten before it closes the connection.
        self.owner_disconnected(now, id, OwnerConnectionEnd::Orderly);
        self.outputs.push(Output::CloseOwner(id));
    }

    /// Rejects a set-up that was not accepted as a request. If a request with the same id is pending on the same connection,
    /// the answers to both would have the same id, so the connection is closed instead.
    pub(super) fn reject_setup(&mut self, now: Micros, owner: OwnerId, id: SetupId, cause: Cause) {
        let is_pending_here = self
            .tasks
            .id_by_setup(id)
            .and_then(|task| self.tasks.get(task))
            .is_some_and(|entry| entry.is_pending && entry.owner == owner);
        if is_pending_here {
            self.disconnect_owner(now, owner);
        } else {
            self.outputs
                .push(Output::SendToOwner(owner, ToOwner::Close { id, cause }));
        }
    }

    /// Disconnects an owner that has sent no valid message, or that has cancelled all that it requested.
    pub(super) fn check_owner(&mut self, now: Micros, id: OwnerId) {
        let is_idle = |owner: &Owner| {
            let has_cancelled_all = owner.pending.is_empty() && owner.evidence.has_only_cancelled();
            !owner.has_sent_valid_message || has_cancelled_all
        };
        if self.owners.get(&id).is_some_and(is_idle) {
            tracing::debug!(owner = id.0, "disconnecting owner: nothing to wait for");
            self.disconnect_owner(now, id);
        }
    }

    /// Records what shows whose connection this is. If `record` returns that it is new, the connection may get releases.
    pub(super) fn record_evidence(
        &mut self,
        now: Micros,
        id: OwnerId,
        record: fn(&mut OwnerEvidence) -> bool,
    ) {
        let is_new = self
            .owners
            .get_mut(&id)
            .is_some_and(|owner| record(&mut owner.evidence));
        if is_new {
            self.offer_orphaned_releases(now, id);
        }
    }

    /// Records the handover of a task that runs on `machine`.
    pub(super) fn record_handover(&mut self, now: Micros, id: OwnerId, machine: MachineId) {
        let is_host_listed = self
            .host_table
            .hosts
            .get(&machine)
            .is_some_and(|host| host.address.is_some());
        if is_host_listed {
            self.record_evidence(now, id, OwnerEvidence::record_handover);
        }
    }

    /// Records that an owner has cancelled a request.
    pub(super) fn record_cancellation(&mut self, id: OwnerId) {
        if let Some(owner) = self.owners.get_mut(&id) {
            owner.evidence.record_cancellation();
        }
    }

    /// Records an invalid message of an owner.
    pub(super) fn record_invalid_message(&mut self, id: OwnerId) {
        if let Some(owner) = self.owners.get_mut(&id) {
            owner.evidence.record_invalid_message();
        }
    }
}
