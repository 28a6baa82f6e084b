//! Releases and relocations of running tasks, and the selection of the owner's connection to send them on.

use std::collections::VecDeque;

use maplethread::{Micros, TaskId};
use maplethread_engine::Decide;
use maplethread_platform_wire::owner::ToOwner;
use maplethread_platform_wire::{Cause, SetupId};

use super::Engine;
use super::output::{Output, OwnerId};
use super::timer::Timer;

/// How long a release is queued. After that its owner has no use for it.
const RELEASE_LIFETIME: Micros = 8_000_000;
/// The maximum number of queued releases; beyond it the oldest are dropped.
const MAX_PENDING_RELEASES: usize = 4096;

/// A release that is queued.
struct PendingRelease {
    expires_at: Micros,
    id: SetupId,
    cause: Cause,
}

/// Releases that are queued until there is an owner to which they can be sent, the oldest first.
#[derive(Default)]
pub(super) struct PendingReleases(VecDeque<PendingRelease>);

impl PendingReleases {
    /// Queues a release. Returns when it expires.
    fn push(&mut self, now: Micros, id: SetupId, cause: Cause) -> Micros {
        if self.0.len() >= MAX_PENDING_RELEASES {
            self.0.pop_front();
        }
        let expires_at = now + RELEASE_LIFETIME;
        self.0.push_back(PendingRelease {
            expires_at,
            id,
            cause,
        });
        expires_at
    }

    pub(super) fn remove_expired(&mut self, now: Micros) {
        self.0.retain(|release| release.expires_at > now);
    }

    pub(super) fn len(&self) -> usize {
        self.0.len()
    }
}

impl<D: Decide> Engine<D> {
    /// Records that an owner's task was placed. From now on the owner may receive releases of other owners' tasks, and
    /// those that are queued are sent to it.
    pub(super) fn record_owner_placement(&mut self, id: OwnerId) {
        let Some(owner) = self
            .owners
            .get_mut(&id)
            .filter(|owner| !owner.is_half_closed)
        else {
            return;
        };
        owner.has_placed_task = true;
        self.fallback_owner = Some(id);
        for release in std::mem::take(&mut self.pending_releases).0 {
            let PendingRelease {
                id: setup, cause, ..
            } = release;
            let message = ToOwner::Close { id: setup, cause };
            self.outputs.push(Output::SendToOwner(id, message));
        }
    }

    /// The connection for messages about a task: the one on which it was requested, else that of the fallback owner.
    fn reachable_owner(&self, id: OwnerId) -> Option<OwnerId> {
        let is_usable = self
            .owners
            .get(&id)
            .is_some_and(|owner| !owner.is_half_closed);
        if is_usable {
            Some(id)
        } else {
            self.fallback_owner
        }
    }

    /// Sends the release of a task to its owner or the fallback owner. Without either it is queued until the next task of an
    /// owner is placed.
    pub(super) fn notify_release(
        &mut self,
        now: Micros,
        owner: OwnerId,
        id: SetupId,
        cause: Cause,
    ) {
        match self.reachable_owner(owner) {
            Some(owner) => self
                .outputs
                .push(Output::SendToOwner(owner, ToOwner::Close { id, cause })),
            None => {
                tracing::debug!(%id, "release queued: no owner to send it to");
                let expires_at = self.pending_releases.push(now, id, cause);
                self.timers.schedule(expires_at, Timer::ReleaseExpiry);
            }
        }
    }

    /// Asks the owner of a running task to request another placement, at most once. The platform then ends the task at its
    /// host, which reports the end. A close from the placer would kill the task, and for a killed task the owner would have
    /// to receive a release in place of the relocation.
    pub(super) fn notify_relocation(&mut self, task: TaskId) {
        let Some(entry) = self.tasks.get(task) else {
            return;
        };
        let id = entry.setup.id;
        let Some(owner) = self.reachable_owner(entry.owner) else {
            return;
        };
        let Some(placement) = self
            .tasks
            .get_mut(task)
            .and_then(|entry| entry.placement.as_mut())
            .filter(|placement| placement.close_cause.is_none() && !placement.is_relocation_sent)
        else {
            return;
        };
        placement.is_relocation_sent = true;
        self.outputs
            .push(Output::SendToOwner(owner, ToOwner::Relocate { id }));
    }
}
