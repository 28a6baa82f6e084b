//! Owners' connections: the messages received on them, when they are closed, and which to close first.

use std::collections::BTreeSet;

use maplethread::{Micros, TaskId};
use maplethread_engine::Decide;
use maplethread_platform_wire::owner::{DecodeError, FromOwner, ToOwner};
use maplethread_platform_wire::{Cause, SetupId};

use super::Engine;
use super::output::{Output, OwnerId};
use super::timer::Timer;

/// An owner's connection is closed if its first valid message does not arrive within this time. The platform's acceptance
/// test requires the close within 3 s.
const FIRST_MESSAGE_TIMEOUT: Micros = 2_500_000;

/// An owner's connection. The engine identifies owners by their connections, so an owner with two connections counts as two
/// owners.
#[derive(Default)]
pub(super) struct Owner {
    /// The owner has sent a request, a running task or a probe.
    pub(super) has_sent_valid_message: bool,
    /// One of the owner's tasks was placed. Clients that send only requests that fail get no releases of other owners.
    pub(super) has_placed_task: bool,
    /// Requests that have not been answered.
    pub(super) pending: BTreeSet<TaskId>,
    /// When the last message was received.
    pub(super) last_received: Micros,
    /// The owner has closed its side of the connection: its requests get no answer.
    pub(super) is_half_closed: bool,
}

impl<D: Decide> Engine<D> {
    /// Handles a new connection of an owner.
    pub fn owner_connected(&mut self, now: Micros, id: OwnerId) {
        let owner = Owner {
            last_received: now,
            ..Owner::default()
        };
        self.owners.insert(id, owner);
        self.timers
            .schedule(now + FIRST_MESSAGE_TIMEOUT, Timer::OwnerCheck(id));
    }

    /// The owner's connection to close first when descriptors run out: one that has sent no valid message, else one that has
    /// placed no task, else any other. Of several such connections it is the one whose last message is the oldest.
    /// Connections with a pending request are never closed.
    pub fn lowest_priority_owner(&self) -> Option<OwnerId> {
        self.owners
            .iter()
            .filter(|(_, owner)| owner.pending.is_empty())
            .min_by_key(|(id, owner)| {
                let priority = (owner.has_sent_valid_message, owner.has_placed_task);
                (priority, owner.last_received, **id)
            })
            .map(|(&id, _)| id)
    }

    /// Handles an owner that has closed its side: its pending requests are cancelled. Earlier input may still be unread.
    pub fn owner_half_closed(&mut self, id: OwnerId) {
        let Some(owner) = self.owners.get_mut(&id) else {
            return;
        };
        owner.is_half_closed = true;
        let pending = std::mem::take(&mut owner.pending);
        self.replace_fallback_owner(id);
        for task in pending {
            self.cancel_request(task);
        }
    }

    /// Handles the loss of an owner's connection: its pending requests are cancelled, its running tasks continue.
    pub fn owner_disconnected(&mut self, id: OwnerId) {
        let Some(owner) = self.owners.remove(&id) else {
            return;
        };
        self.replace_fallback_owner(id);
        for task in owner.pending {
            self.cancel_request(task);
        }
    }

    /// Selects another fallback owner if `unusable` is the current one.
    fn replace_fallback_owner(&mut self, unusable: OwnerId) {
        if self.fallback_owner != Some(unusable) {
            return;
        }
        self.fallback_owner = self
            .owners
            .iter()
            .filter(|(id, owner)| {
                **id != unusable && owner.has_placed_task && !owner.is_half_closed
            })
            .max_by_key(|(id, owner)| (owner.last_received, **id))
            .map(|(&id, _)| id);
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
            Ok(FromOwner::Close { id: setup, cause }) => self.handle_owner_close(now, setup, cause),
            Ok(FromOwner::Probe { id: probe }) => {
                owner.has_sent_valid_message = true;
                let answer = ToOwner::Probed {
                    id: probe,
                    is_healthy: true,
                };
                self.outputs.push(Output::SendToOwner(id, answer));
            }
            Ok(FromOwner::Ignored) => {}
            Err(error) => {
                tracing::debug!(owner = id.0, %error, "invalid message from owner");
                match error {
                    DecodeError::InvalidField { id: setup, .. } => {
                        self.reject_setup(id, setup, Cause::ERROR)
                    }
                    DecodeError::LineTooLong | DecodeError::Malformed(_) => {
                        self.disconnect_owner(id)
                    }
                }
            }
        }
    }

    /// Closes an owner's connection and cancels its pending requests.
    fn disconnect_owner(&mut self, id: OwnerId) {
        self.owner_disconnected(id);
        self.outputs.push(Output::CloseOwner(id));
    }

    /// Rejects a set-up that was not accepted as a request. If a request with the same id is pending on the same connection,
    /// the answers to both would have the same id, so the connection is closed instead.
    pub(super) fn reject_setup(&mut self, owner: OwnerId, id: SetupId, cause: Cause) {
        let is_pending_here = self
            .tasks
            .id_by_setup(id)
            .and_then(|task| self.tasks.get(task))
            .is_some_and(|entry| entry.is_pending && entry.owner == owner);
        if is_pending_here {
            self.disconnect_owner(owner);
        } else {
            self.outputs
                .push(Output::SendToOwner(owner, ToOwner::Close { id, cause }));
        }
    }

    /// Disconnects an owner that has sent no valid message.
    pub(super) fn check_owner(&mut self, id: OwnerId) {
        if self
            .owners
            .get(&id)
            .is_some_and(|owner| !owner.has_sent_valid_message)
        {
            tracing::debug!(
                owner = id.0,
                "disconnecting owner: no valid message received in time"
            );
            self.disconnect_owner(id);
        }
    }
}
