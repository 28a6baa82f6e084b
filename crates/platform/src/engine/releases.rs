//! Releases and relocations of running tasks, and the selection of the connections to send them on.
//!
//! A message about a task goes to the connection on which the task was requested. Once that has ended it goes to another
//! connection of an owner, as the platform protocol allows. A release is kept until it was sent to a connection that is
//! verified to be an owner's; meanwhile it is also sent to those that are likely to be ([`OwnerLikelihood`]). A connection
//! that ends may have ended before it received what was sent last, so that is sent again.

use std::cmp::Reverse;
use std::net::IpAddr;

use maplethread::{Micros, TaskId};
use maplethread_engine::Decide;
use maplethread_platform_wire::SetupId;
use maplethread_platform_wire::owner::ToOwner;

use super::Engine;
use super::output::{Output, OwnerId, WriteProgress};
use super::owner_evidence::OwnerLikelihood;
use super::owners::Owner;
use super::release_table::{PendingRelease, Release, SentRelease};

/// The maximum number of connections that are not verified to which one release is sent.
const MAX_UNVERIFIED_RECIPIENTS: usize = 8;
/// A release that was sent less than this before its connection ended may have crossed the end. The platform protocol
/// allows 50 ms for a set-up to cross it.
const CROSSING_INTERVAL: Micros = 250_000;

impl<D: Decide> Engine<D> {
    /// The connection for messages about a task: the one on which it was requested, else the verified one that was active
    /// last, preferably with the address of the task's owner.
    fn reachable_owner(&self, requested_on: OwnerId, owner_address: IpAddr) -> Option<OwnerId> {
        if self
            .owners
            .get(&requested_on)
            .is_some_and(Owner::is_reachable)
        {
            return Some(requested_on);
        }
        self.owners
            .iter()
            .filter(|(_, owner)| owner.is_reachable() && owner.evidence.is_verified())
            .max_by_key(|(id, owner)| {
                let has_owner_address = owner.evidence.address() == owner_address;
                (has_owner_address, owner.last_received, **id)
            })
            .map(|(&id, _)| id)
    }

    /// Sends the release of a task that was requested on the connection `requested_on`. Until there is a connection that can
    /// be relied on to be an owner's, the release is pending.
    pub(super) fn notify_release(&mut self, now: Micros, requested_on: OwnerId, release: Release) {
        match self.reachable_owner(requested_on, release.owner_address) {
            Some(owner) => self.send_release(now, owner, release),
            None => self.add_pending_release(release),
        }
    }

    fn send_release(&mut self, now: Micros, owner: OwnerId, release: Release) {
        self.record_sent_release(now, owner, release);
        self.push_release(owner, release);
    }

    fn record_sent_release(&mut self, now: Micros, owner: OwnerId, release: Release) {
        let sent = SentRelease {
            release,
            owner,
            sent_at: now,
        };
        self.sent_releases.insert(release.id, sent);
    }

    fn push_release(&mut self, owner: OwnerId, release: Release) {
        let Release { id, cause, .. } = release;
        self.outputs
            .push(Output::SendToOwner(owner, ToOwner::Close { id, cause }));
    }

    /// Adds a pending release and sends it to the connections that are most likely its owner's.
    fn add_pending_release(&mut self, release: Release) {
        let recipients = self.most_likely_owners(release.owner_address);
        tracing::debug!(id = %release.id, recipients = recipients.len(), "release pending: no verified owner");
        for &owner in &recipients {
            self.push_release(owner, release);
        }
        let pending = PendingRelease {
            release,
            recipients,
        };
        if let Some(dropped) = self.pending_releases.insert(release.id, pending) {
            tracing::warn!(id = %dropped.release.id, "release dropped: too many are pending");
        }
    }

    /// The connections that are most likely of the owner with this address, those that were active last.
    fn most_likely_owners(&self, owner_address: IpAddr) -> Vec<OwnerId> {
        let likelihood_of = |owner: &Owner| owner.evidence.likelihood(owner_address);
        let reachable = || self.owners.iter().filter(|(_, owner)| owner.is_reachable());
        let best = reachable()
            .map(|(_, owner)| likelihood_of(owner))
            .max()
            .unwrap_or(OwnerLikelihood::Unlikely);
        if best == OwnerLikelihood::Unlikely {
            return Vec::new();
        }
        let mut candidates: Vec<(&OwnerId, &Owner)> = reachable()
            .filter(|(_, owner)| likelihood_of(owner) == best)
            .collect();
        candidates.sort_by_key(|(id, owner)| Reverse((owner.last_received, **id)));
        candidates
            .into_iter()
            .take(MAX_UNVERIFIED_RECIPIENTS)
            .map(|(&id, _)| id)
            .collect()
    }

    /// Sends pending releases to a connection with new evidence of whose it is, unless others are more likely their owners'.
    pub(super) fn offer_pending_releases(&mut self, now: Micros, id: OwnerId) {
        if self.pending_releases.is_empty() {
            return;
        }
        for release_id in self.pending_releases.ids(|_| true) {
            self.offer_pending_release(now, id, release_id);
        }
    }

    fn offer_pending_release(&mut self, now: Micros, id: OwnerId, release_id: SetupId) {
        let Some(owner) = self.owners.get(&id).filter(|owner| owner.is_reachable()) else {
            return;
        };
        let Some(pending) = self.pending_releases.get_mut(release_id) else {
            return;
        };
        let release = pending.release;
        let likelihood_of = |owner: &Owner| owner.evidence.likelihood(release.owner_address);
        let likelihood = likelihood_of(owner);
        let was_sent = pending.recipients.contains(&id);
        if likelihood == OwnerLikelihood::Verified {
            self.pending_releases.remove(release_id);
            self.record_sent_release(now, id, release);
            if !was_sent {
                self.push_release(id, release);
            }
            return;
        }
        let best_so_far = pending
            .recipients
            .iter()
            .filter_map(|recipient| self.owners.get(recipient))
            .filter(|recipient| recipient.is_reachable())
            .map(likelihood_of)
            .max()
            .unwrap_or(OwnerLikelihood::Possible);
        if likelihood >= best_so_far
            && !was_sent
            && pending.recipients.len() < MAX_UNVERIFIED_RECIPIENTS
        {
            pending.recipients.push(id);
            self.push_release(id, release);
        }
    }

    /// Sends those pending releases to other connections that were sent to this one, which has ended, and to none that is
    /// still open.
    fn replace_unverified_recipient(&mut self, now: Micros, ended: OwnerId) {
        let owners = &self.owners;
        let is_open = |id: &OwnerId| owners.get(id).is_some_and(Owner::is_reachable);
        let abandoned = self.pending_releases.ids(|pending| {
            pending.recipients.contains(&ended) && !pending.recipients.iter().any(is_open)
        });
        for release_id in abandoned {
            let Some(pending) = self.pending_releases.get(release_id) else {
                continue;
            };
            for id in self.most_likely_owners(pending.release.owner_address) {
                self.offer_pending_release(now, id, release_id);
            }
        }
    }

    /// Records that a host runs a task of this connection. From now on it gets releases of tasks whose own connections have
    /// ended, and those that are pending are sent to it.
    pub(super) fn record_verified_owner(&mut self, now: Micros, id: OwnerId) {
        let Some(owner) = self
            .owners
            .get_mut(&id)
            .filter(|owner| owner.is_reachable())
        else {
            return;
        };
        owner.evidence.record_running_task();
        self.offer_pending_releases(now, id);
    }

    /// Handles an owner's acknowledgement of a release. Owners are not required to send any. A pending release stays pending
    /// if the connection is only possibly its owner's.
    pub(super) fn handle_release_acknowledged(&mut self, owner: OwnerId, id: SetupId) {
        let is_received = self.pending_releases.get(id).is_some_and(|pending| {
            pending.recipients.contains(&owner)
                && self.owners.get(&owner).is_some_and(|owner| {
                    let owner_address = pending.release.owner_address;
                    owner.evidence.likelihood(owner_address) >= OwnerLikelihood::Probable
                })
        });
        if is_received {
            self.pending_releases.remove(id);
        }
        if self
            .sent_releases
            .get(id)
            .is_some_and(|sent| sent.owner == owner)
        {
            self.sent_releases.remove(id);
            if let Some(owner) = self.owners.get_mut(&owner) {
                owner.acknowledges_releases = true;
            }
        }
    }

    /// Forgets the release of a task that its owner has ended too.
    pub(super) fn forget_release(&mut self, id: SetupId) {
        self.pending_releases.remove(id);
        self.sent_releases.remove(id);
    }

    /// Sends the releases again that a connection may not have received before it ended: those that were sent shortly
    /// before; and all that it has not acknowledged if it acknowledges releases or not all bytes were written to it.
    pub(super) fn resend_releases(&mut self, now: Micros, id: OwnerId, written: WriteProgress) {
        self.replace_unverified_recipient(now, id);
        let is_any_unreceived = written == WriteProgress::Incomplete
            || self
                .owners
                .get(&id)
                .is_some_and(|owner| owner.acknowledges_releases);
        for release_id in self.sent_releases.ids(|sent| sent.owner == id) {
            let Some(sent) = self.sent_releases.remove(release_id) else {
                continue;
            };
            let has_crossed = sent.sent_at + CROSSING_INTERVAL > now;
            if has_crossed || is_any_unreceived {
                self.notify_release(now, id, sent.release);
            }
        }
    }

    /// Asks the owner of a running task to request another placement, at most once on connections that are open. The
    /// platform then ends the task at its host, which reports the end. A close from the placer would kill the task, and for
    /// a killed task the owner would have to receive a release. Without a verified owner nothing is sent; the policy asks
    /// again.
    pub(super) fn notify_relocation(&mut self, task: TaskId) {
        let Some(entry) = self.tasks.get(task) else {
            return;
        };
        let id = entry.setup_id;
        let Some(owner) = self.reachable_owner(entry.owner, entry.owner_address) else {
            return;
        };
        let owners = &self.owners;
        let is_open = |id: &OwnerId| owners.get(id).is_some_and(Owner::is_reachable);
        let Some(placement) = self
            .tasks
            .get_mut(task)
            .and_then(|entry| entry.placement.as_mut())
            .filter(|placement| placement.close_cause.is_none())
            .filter(|placement| !placement.relocation_sent_on.as_ref().is_some_and(is_open))
        else {
            return;
        };
        placement.relocation_sent_on = Some(owner);
        self.outputs
            .push(Output::SendToOwner(owner, ToOwner::Relocate { id }));
    }
}
