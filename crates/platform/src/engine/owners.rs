//! Owners' connections: which are useful, what they send, and when they are closed.

use std::collections::BTreeSet;

use maplethread::{Micros, TaskId};
use maplethread_engine::Decide;
use maplethread_platform_wire::owner::{DecodeError, FromOwner, ToOwner};
use maplethread_platform_wire::{Cause, SetupId};

use super::Engine;
use super::output::{Output, OwnerId};
use super::timer::Timer;

/// A connection that has sent nothing valid for this time is closed, in microseconds: within the 3 s that PROTOCOL's days
/// give.
const OWNER_SILENCE_TIMEOUT: Micros = 2_500_000;

/// An owner's connection.
#[derive(Default)]
pub(super) struct Owner {
    /// It has sent a request, a running task or a probe.
    pub(super) has_sent_valid_message: bool,
    /// One of its tasks was placed, so it is no client that only causes trouble.
    pub(super) has_placed_task: bool,
    /// Its requests that have no answer yet.
    pub(super) pending: BTreeSet<TaskId>,
    /// When it last sent something.
    pub(super) last_received: Micros,
    /// It has closed its side: its requests get no answer.
    pub(super) is_half_closed: bool,
}

impl<D: Decide> Engine<D> {
    /// An owner connected.
    pub fn owner_connected(&mut self, now: Micros, id: OwnerId) {
        let owner = Owner {
            last_received: now,
            ..Owner::default()
        };
        self.owners.insert(id, owner);
        self.timers
            .schedule(now + OWNER_SILENCE_TIMEOUT, Timer::OwnerCheck(id));
    }

    /// The connection to close first to make room for others. None with a pending request; first those that have sent
    /// nothing valid, then those that have placed no task, then the one that was silent for longest.
    pub fn least_useful_owner(&self) -> Option<OwnerId> {
        self.owners
            .iter()
            .filter(|(_, owner)| owner.pending.is_empty())
            .min_by_key(|(id, owner)| {
                let usefulness = (owner.has_sent_valid_message, owner.has_placed_task);
                (usefulness, owner.last_received, **id)
            })
            .map(|(&id, _)| id)
    }

    /// An owner has closed its side: its pending requests are cancelled. What it sent before may still be unread.
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

    /// An owner's connection was lost: its pending requests are cancelled, its running tasks run on.
    pub fn owner_disconnected(&mut self, id: OwnerId) {
        let Some(owner) = self.owners.remove(&id) else {
            return;
        };
        self.replace_fallback_owner(id);
        for task in owner.pending {
            self.cancel_request(task);
        }
    }

    /// Chooses another fallback owner if this one was it.
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

    /// Handles a message that an owner sent, or an error of its decoding.
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

    /// Rejects a set-up that did not become a request. One whose id is pending on the same connection can't be answered
    /// separately, so the connection is closed.
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

    /// Disconnects an owner that has sent nothing valid.
    pub(super) fn check_owner(&mut self, id: OwnerId) {
        if self
            .owners
            .get(&id)
            .is_some_and(|owner| !owner.has_sent_valid_message)
        {
            tracing::debug!(owner = id.0, "owner disconnected: nothing valid received");
            self.disconnect_owner(id);
        }
    }
}
