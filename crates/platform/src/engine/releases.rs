//! Releases and relocations of running tasks, and the selection of the connections to send them on.
//!
//! A message about a task goes to the connection on which the task was requested. Once that has ended, the platform protocol
//! allows any connection of an owner, but does not identify owners. So the release of such a task is sent to all connections
//! that are verified to be owners', and to those that are probably the task's owner's ([`OwnerLikelihood`]); if there are none,
//! to those that are possibly. Until a verified one has got it, and for some time after that, it is also sent to connections
//! that become likely. A connection that ends may have ended before it received what was sent last, so that is sent again.

use std::cmp::Reverse;
use std::net::IpAddr;

use maplethread::{Micros, TaskId};
use maplethread_engine::Decide;
use maplethread_platform_wire::SetupId;
use maplethread_platform_wire::owner::ToOwner;

use super::Engine;
use super::output::{Output, OwnerConnectionEnd, OwnerId};
use super::owner_evidence::OwnerLikelihood;
use super::owners::Owner;
use super::release_table::{OrphanedRelease, Release, SentRelease};

/// The maximum number of connections to which the release of one task is sent while they are not verified, and the maximum
/// number to which its relocation is sent. Verified connections get a release while it was sent to fewer than twice as many.
const MAX_RECIPIENTS: usize = 8;
/// How long the release of a task is kept for an owner that hands the task over on another connection.
pub(super) const RELEASE_RETENTION: Micros = 60_000_000;
/// A release that was sent less than this before its connection ended may have crossed the end. The platform protocol
/// allows 50 ms for a set-up to cross it.
const CROSSING_INTERVAL: Micros = 250_000;

impl<D: Decide> Engine<D> {
    fn is_reachable(&self, id: OwnerId) -> bool {
        self.owners.get(&id).is_some_and(Owner::is_reachable)
    }

    /// Sends the release of a task to the connection on which the task was requested, or to others if that has ended.
    pub(super) fn notify_release(&mut self, now: Micros, requested_on: OwnerId, release: Release) {
        if !self.is_reachable(requested_on) {
            return self.add_orphaned_release(now, release);
        }
        let sent = SentRelease {
            release,
            owner: requested_on,
            sent_at: now,
        };
        if release.was_confirmed {
            self.sent_releases.insert(release.id, sent, |_| false);
        }
        self.push_release(requested_on, release);
    }

    /// Sends a release to a connection that is open.
    pub(super) fn send_release(&mut self, owner: OwnerId, release: Release) {
        if self.is_reachable(owner) {
            self.push_release(owner, release);
        }
    }

    /// Sends the release of a task that was handed over after its end to the connection of the handover, unless it has got
    /// it already. Returns false if the task was not released recently.
    pub(super) fn repeat_release(&mut self, now: Micros, owner: OwnerId, id: SetupId) -> bool {
        let Some(cause) = self.released_tasks.get(now, id) else {
            return false;
        };
        // A host had confirmed the task, so the connection is its owner's.
        self.record_verified_owner(now, owner);
        let has_got = self
            .orphaned_releases
            .get(id)
            .is_some_and(|orphan| orphan.recipients.contains(&owner));
        if !has_got && let Some(entry) = self.owners.get(&owner) {
            let release = Release {
                id,
                cause,
                owner_address: entry.evidence.address(),
                was_confirmed: true,
            };
            self.notify_release(now, owner, release);
        }
        true
    }

    fn push_release(&mut self, owner: OwnerId, release: Release) {
        let Release { id, cause, .. } = release;
        self.outputs
            .push(Output::SendToOwner(owner, ToOwner::Close { id, cause }));
    }

    /// Adds the release of a task whose connection has ended, and sends it to the connections that are likely its owner's.
    fn add_orphaned_release(&mut self, now: Micros, release: Release) {
        let expired = self.orphaned_releases.ids(|orphan| orphan.is_expired(now));
        for id in expired {
            self.orphaned_releases.remove(id);
        }
        let dropped =
            self.orphaned_releases
                .insert(release.id, OrphanedRelease::new(release), |orphan| {
                    !orphan.release.was_confirmed
                });
        if let Some(dropped) = dropped.filter(|orphan| !orphan.is_verified()) {
            tracing::warn!(id = %dropped.release.id, "release dropped: too many have no verified owner");
        }
        self.offer_to_likely_owners(now, release);
    }

    fn offer_to_likely_owners(&mut self, now: Micros, release: Release) {
        for owner in self.likely_owners(release.owner_address) {
            self.offer_orphaned_release(now, owner, release.id);
        }
    }

    /// The connections that are likely of the owner with this address, the most likely first, and of those that are equally
    /// likely the ones from its address and the ones that were active last.
    fn likely_owners(&self, owner_address: IpAddr) -> Vec<OwnerId> {
        let mut likely: Vec<_> = self
            .owners
            .iter()
            .filter(|(_, owner)| owner.is_reachable())
            .map(|(&id, owner)| {
                let likelihood = owner.evidence.likelihood(owner_address);
                let has_owner_address = owner.evidence.address() == owner_address;
                (likelihood, has_owner_address, owner.last_received, id)
            })
            .filter(|&(likelihood, ..)| likelihood > OwnerLikelihood::Unlikely)
            .collect();
        likely.sort_unstable_by_key(|&rank| Reverse(rank));
        likely.into_iter().map(|(.., id)| id).collect()
    }

    /// Sends the orphaned releases to a connection with new evidence of whose it is.
    pub(super) fn offer_orphaned_releases(&mut self, now: Micros, id: OwnerId) {
        if self.orphaned_releases.is_empty() {
            return;
        }
        for release_id in self.orphaned_releases.ids(|_| true) {
            self.offer_orphaned_release(now, id, release_id);
        }
    }

    /// Sends an orphaned release to a connection, unless that is unlikely its owner's or others are more likely.
    fn offer_orphaned_release(&mut self, now: Micros, id: OwnerId, release_id: SetupId) {
        let Some(owner) = self.owners.get(&id).filter(|owner| owner.is_reachable()) else {
            return;
        };
        let Some(orphan) = self.orphaned_releases.get_mut(release_id) else {
            return;
        };
        let release = orphan.release;
        let likelihood_of = |owner: &Owner| owner.evidence.likelihood(release.owner_address);
        let likelihood = likelihood_of(owner);
        let is_verified = likelihood == OwnerLikelihood::Verified;
        let max_recipients = MAX_RECIPIENTS * if is_verified { 2 } else { 1 };
        let replaces_own_connection = owner.evidence.replaces_owner_at(release.owner_address);
        let was_sent = orphan.recipients.contains(&id);
        let is_at_limit = !replaces_own_connection && orphan.recipients.len() >= max_recipients;
        if orphan.is_expired(now) || !was_sent && is_at_limit {
            return;
        }
        let has_better_recipient = || {
            let recipients = orphan.recipients.iter();
            let open = recipients.filter_map(|recipient| self.owners.get(recipient));
            open.filter(|recipient| recipient.is_reachable())
                .any(|recipient| likelihood_of(recipient) > likelihood)
        };
        let is_selected = match likelihood {
            OwnerLikelihood::Unlikely => false,
            OwnerLikelihood::Possible => replaces_own_connection || !has_better_recipient(),
            OwnerLikelihood::Probable | OwnerLikelihood::Verified => true,
        };
        if !is_selected {
            return;
        }
        if is_verified {
            orphan.verified_at.get_or_insert(now);
        }
        if !was_sent {
            orphan.recipients.push(id);
            self.push_release(id, release);
        }
    }

    /// Sends the orphaned releases to other connections that one which has ended may not have received, and that no open one
    /// has got.
    fn replace_recipient(
        &mut self,
        now: Micros,
        ended: OwnerId,
        is_unreceived: impl Fn(Micros) -> bool,
    ) {
        let is_open = |id: &OwnerId| self.is_reachable(*id);
        let unreceived = self.orphaned_releases.ids(|orphan| {
            orphan.recipients.contains(&ended)
                && !orphan.recipients.iter().any(is_open)
                && orphan.verified_at.is_none_or(&is_unreceived)
        });
        for release_id in unreceived {
            if let Some(orphan) = self.orphaned_releases.get_mut(release_id) {
                orphan.verified_at = None;
                let release = orphan.release;
                self.offer_to_likely_owners(now, release);
            }
        }
    }

    /// Records that a host runs a task of this connection. From now on it gets releases of tasks whose own connections have
    /// ended, and those that are kept.
    pub(super) fn record_verified_owner(&mut self, now: Micros, id: OwnerId) {
        let Some(owner) = self
            .owners
            .get_mut(&id)
            .filter(|owner| owner.is_reachable())
        else {
            return;
        };
        owner.evidence.record_running_task();
        self.offer_orphaned_releases(now, id);
    }

    /// Handles an owner's acknowledgement of a release. Owners are not required to send any. An orphaned release is kept if
    /// the connection is only possibly its owner's.
    pub(super) fn handle_release_acknowledged(&mut self, owner: OwnerId, id: SetupId) {
        let is_received = self.orphaned_releases.get(id).is_some_and(|orphan| {
            orphan.recipients.contains(&owner)
                && self.owners.get(&owner).is_some_and(|owner| {
                    let owner_address = orphan.release.owner_address;
                    owner.evidence.likelihood(owner_address) >= OwnerLikelihood::Probable
                })
        });
        if is_received {
            self.orphaned_releases.remove(id);
            self.released_tasks.remove(id);
        }
        let sent = self.sent_releases.get(id);
        if sent.is_some_and(|sent| sent.owner == owner) {
            self.sent_releases.remove(id);
            self.released_tasks.remove(id);
            if let Some(owner) = self.owners.get_mut(&owner) {
                owner.acknowledges_releases = true;
            }
        }
    }

    /// Forgets the release of a task that its owner has ended too.
    pub(super) fn forget_release(&mut self, id: SetupId) {
        self.orphaned_releases.remove(id);
        self.sent_releases.remove(id);
        self.released_tasks.remove(id);
    }

    /// Sends the releases again that a connection may not have received before it ended: if it broke, those that were sent
    /// shortly before; if bytes were not written or the owner acknowledges releases, all that it has not acknowledged.
    pub(super) fn resend_releases(&mut self, now: Micros, id: OwnerId, end: OwnerConnectionEnd) {
        let acknowledges = self
            .owners
            .get(&id)
            .is_some_and(|owner| owner.acknowledges_releases);
        let is_unreceived = |sent_at: Micros| {
            acknowledges
                || match end {
                    OwnerConnectionEnd::Orderly => false,
                    OwnerConnectionEnd::Broken => sent_at + CROSSING_INTERVAL > now,
                    OwnerConnectionEnd::Unwritten => true,
                }
        };
        self.replace_recipient(now, id, is_unreceived);
        for release_id in self.sent_releases.ids(|sent| sent.owner == id) {
            let sent = self.sent_releases.remove(release_id);
            if let Some(sent) = sent.filter(|sent| is_unreceived(sent.sent_at)) {
                self.notify_release(now, id, sent.release);
            }
        }
    }

    /// Asks the owner of a running task to request another placement. The platform then ends the task at its host, which
    /// reports the end. A close from the placer would kill the task, and for a killed task the owner would have to receive a
    /// release. If the task's connection has ended, each call sends the message to one more verified connection: as the task
    /// still runs, those before were not its owner's. Without one nothing is sent; the policy asks again.
    pub(super) fn notify_relocation(&mut self, task: TaskId) {
        let Some(entry) = self.tasks.get(task) else {
            return;
        };
        let is_closed = entry
            .placement
            .is_none_or(|placement| placement.close_cause.is_some());
        if is_closed || entry.relocation_recipients.len() >= MAX_RECIPIENTS {
            return;
        }
        let owner = if self.is_reachable(entry.owner) {
            Some(entry.owner)
        } else {
            self.likely_owners(entry.owner_address)
                .into_iter()
                .filter(|id| self.owners[id].evidence.is_verified())
                .find(|id| !entry.relocation_recipients.contains(id))
        };
        let id = entry.setup_id;
        if let Some(owner) = owner
            && let Some(entry) = self.tasks.get_mut(task)
            && !entry.relocation_recipients.contains(&owner)
        {
            entry.relocation_recipients.push(owner);
            self.outputs
                .push(Output::SendToOwner(owner, ToOwner::Relocate { id }));
        }
    }
}
