//! What a full table takes back: requests and handed-over tasks of the connections that fill it, so that one client cannot shut
//! out the others.

use std::cmp::Reverse;

use maplethread::{AttemptOutcome, Event, Micros, TaskId};
use maplethread_engine::Decide;
use maplethread_platform_wire::Cause;
use maplethread_platform_wire::host::ToHost;
use maplethread_platform_wire::owner::Setup;

use super::Engine;
use super::output::OwnerId;
use super::owner_evidence::OwnerLikelihood;
use super::owners::Owner;
use super::running_tasks::EndedTask;
use super::task_table::setup_bytes;
use super::unconfirmed_tasks::Holder;

/// The rank of the holder of unconfirmed tasks, in ascending order of how far it is to be believed that they exist.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Credibility {
    likelihood: OwnerLikelihood,
    task_count: Reverse<usize>,
}

impl<D: Decide> Engine<D> {
    /// Makes room for a task that is handed over on this connection, if need be at the expense of the least credible holder of
    /// unconfirmed tasks. Returns false if that is this connection.
    pub(super) fn make_room_for_handover(&mut self, owner: OwnerId) -> bool {
        let unconfirmed = self.tasks.unconfirmed();
        let is_full = self.tasks.len() >= self.limits.max_tasks
            || unconfirmed.len() >= self.limits.max_unconfirmed_tasks;
        if !is_full {
            return true;
        }
        let own_count = unconfirmed.count_of(owner) + 1;
        let own_credibility = self.credibility(Holder::Open(owner), own_count);
        match self.least_credible_task() {
            Some((credibility, task)) if credibility < own_credibility => {
                self.displace_unconfirmed_task(task);
                true
            }
            _ => false,
        }
    }

    /// Makes room for a request on this connection, if need be at the expense of connections that have more unanswered requests,
    /// or of tasks that probably do not exist. Returns false if there is none.
    pub(super) fn make_room_for_request(
        &mut self,
        now: Micros,
        owner: OwnerId,
        setup: &Setup,
    ) -> bool {
        if self.tasks.len() >= self.limits.max_tasks {
            let expendable = self
                .least_credible_task()
                .filter(|(credibility, _)| credibility.likelihood < OwnerLikelihood::Verified);
            match expendable {
                Some((_, task)) => self.displace_unconfirmed_task(task),
                None => return false,
            }
        }
        let has_request_room = self.tasks.pending_count() < self.limits.max_pending_requests
            || self.displace_request(now, owner, 1, |owner| owner.pending.len());
        let bytes = setup_bytes(setup);
        let has_bytes =
            |engine: &Self| engine.tasks.setup_bytes() + bytes <= engine.limits.max_setup_bytes;
        while has_request_room && !has_bytes(self) {
            if !self.displace_request(now, owner, bytes, |owner| owner.pending_bytes) {
                return false;
            }
        }
        has_request_room
    }

    /// Rejects the latest request of the connection whose unanswered requests have the largest total size, unless the requester
    /// would have as much with one more of size `added`. Only a request that was never offered is rejected. Returns whether
    /// there was one.
    fn displace_request(
        &mut self,
        now: Micros,
        requester: OwnerId,
        added: usize,
        total_size: fn(&Owner) -> usize,
    ) -> bool {
        let own_size = self.owners.get(&requester).map_or(0, total_size) + added;
        let Some(largest) = self
            .owners
            .values()
            .max_by_key(|owner| total_size(owner))
            .filter(|owner| total_size(owner) > own_size)
        else {
            return false;
        };
        let was_never_offered = |task: &TaskId| {
            self.tasks
                .get(*task)
                .is_some_and(|entry| entry.attempt_count == 0)
        };
        let Some(task) = largest
            .pending
            .iter()
            .copied()
            .rev()
            .find(was_never_offered)
        else {
            return false;
        };
        self.send_final_answer(now, task, Cause::NO_CAPACITY);
        self.policy_events.push(Event::ClientDisconnected(task));
        true
    }

    /// The latest task of the least credible holder of unconfirmed tasks.
    fn least_credible_task(&self) -> Option<(Credibility, TaskId)> {
        self.tasks
            .unconfirmed()
            .holders()
            .map(|(holder, count, latest)| (self.credibility(holder, count), latest))
            .min()
    }

    fn credibility(&self, holder: Holder, count: usize) -> Credibility {
        let likelihood = match holder {
            Holder::Ended(likelihood) => likelihood,
            Holder::Open(owner) => self
                .owners
                .get(&owner)
                .map_or(OwnerLikelihood::Unlikely, |owner| {
                    owner.evidence.own_likelihood()
                }),
        };
        Credibility {
            likelihood,
            task_count: Reverse(count),
        }
    }

    /// Ends a task that no host has confirmed: it is closed at its host, in case it exists, and released.
    fn displace_unconfirmed_task(&mut self, task: TaskId) {
        let Some(ended) = self.take_running_task(task, Cause::RESET) else {
            return;
        };
        let EndedTask {
            placement,
            owner,
            release,
            ..
        } = ended;
        tracing::debug!(id = %release.id, "running task displaced: too many are unconfirmed");
        let connection = self.responsive_connections(placement.machine).next();
        if let Some(connection) = connection.map(|(id, _)| id) {
            let close = ToHost::Close {
                id: release.id,
                cause: Cause::NORMAL,
            };
            self.send_to_host(connection, &close);
        }
        self.push_attempt_finished(
            placement.attempt(task),
            AttemptOutcome::Cancelled,
            None,
            true,
        );
        self.send_release(owner, release);
        self.tasks.remove_if_finished(task);
    }
}
