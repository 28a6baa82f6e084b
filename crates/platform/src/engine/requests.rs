//! Requests from owners: how they are accepted, admitted to the policy and cancelled.

use maplethread::{AttemptOutcome, Event, Micros, Resources, ServiceId, Task, TaskId};
use maplethread_engine::Decide;
use maplethread_platform_settings::micros_from_ms;
use maplethread_platform_wire::owner::Setup;
use maplethread_platform_wire::{Cause, SetupId};

use super::Engine;
use super::early_results::EarlyResult;
use super::output::OwnerId;
use super::task_table::TaskEntry;
use super::timer::Timer;

/// The maximum number of requests admitted to the policy in one turn. It bounds the length of a turn under a burst, as
/// cancellations that arrive meanwhile are read only after it. The policy takes about 0.1 ms for a request with 400 hosts
/// (`--bench decide`).
pub(super) const MAX_ADMISSIONS_PER_TURN: usize = 64;
/// How long before its deadline a request that has not been admitted is rejected.
const ANSWER_MARGIN: Micros = 12_000;
/// How long the id of a set-up that may have run is not accepted again.
pub(super) const USED_ID_RETENTION: Micros = 60_000_000;

impl<D: Decide> Engine<D> {
    /// The index of the set-up's class, or none if the class is unknown or its required idempotency key is missing.
    pub(super) fn class_index(&self, setup: &Setup) -> Option<usize> {
        let class = self
            .settings
            .class_names
            .iter()
            .position(|name| *name == setup.class)?;
        let lacks_key = self.requires_idempotency_key[class] && setup.idempotency_key.is_none();
        (!lacks_key).then_some(class)
    }

    /// Accepts or rejects a request. An accepted request is queued for admission to the policy.
    pub(super) fn handle_request(&mut self, now: Micros, owner: OwnerId, setup: Box<Setup>) {
        let id = setup.id;
        let Some(class) = self.class_index(&setup) else {
            tracing::debug!(%id, class = %setup.class, "request rejected: unknown class or missing idempotency key");
            self.record_invalid_message(owner);
            return self.reject_setup(now, owner, id, Cause::ERROR);
        };
        if self.tasks.id_by_setup(id).is_some() {
            tracing::debug!(%id, "request rejected: set-up id already in use");
            return self.reject_setup(now, owner, id, Cause::NEVER_SENT);
        }
        if self.possibly_run.get(now, id).is_some() {
            tracing::debug!(%id, "request failed: an earlier one with the same id may have run");
            return self.reject_setup(now, owner, id, Cause::ERROR);
        }
        let Some(owner_address) = self
            .owners
            .get(&owner)
            .filter(|owner| owner.is_reachable())
            .map(|owner| owner.evidence.address())
        else {
            return;
        };
        if self.is_rejecting_requests || !self.make_room_for_request(now, owner, &setup) {
            return self.reject_setup(now, owner, id, Cause::NO_CAPACITY);
        }
        let deadline = now + micros_from_ms(setup.answer_timeout_ms.unwrap_or(0.0));
        // Not all owners mark the tasks that they resubmit, so a task name that was used recently identifies one too.
        let is_recent_name = self.tasks.record_name(now, &setup.task_name);
        let is_resubmission = is_recent_name || setup.is_resubmission;
        let task = build_task(class, &setup, deadline);
        let id = self
            .tasks
            .insert(TaskEntry::pending(setup, owner, owner_address));
        self.record_pending_request(owner, id);
        let task = Task {
            id,
            is_resubmission,
            ..task
        };
        self.admission_queue.push(owner, task);
        let answer_at = deadline.saturating_sub(ANSWER_MARGIN);
        self.set_deadline_timer(id, answer_at, Timer::AdmissionDeadline(id));
    }

    /// Sets the timer by which a pending request is answered at the latest, in place of an earlier one.
    pub(super) fn set_deadline_timer(&mut self, task: TaskId, at: Micros, timer: Timer) {
        self.cancel_deadline_timer(task);
        if let Some(entry) = self.tasks.get_mut(task).filter(|entry| entry.is_pending) {
            entry.deadline_timer = Some(self.timers.schedule(at, timer));
        }
    }

    pub(super) fn cancel_deadline_timer(&mut self, task: TaskId) {
        if let Some(entry) = self.tasks.get_mut(task) {
            self.timers.cancel(entry.deadline_timer.take());
        }
    }

    fn record_pending_request(&mut self, id: OwnerId, task: TaskId) {
        let Some(owner) = self.owners.get_mut(&id) else {
            return;
        };
        owner.has_sent_valid_message = true;
        owner.pending.insert(task);
        owner.pending_bytes += self.tasks.get(task).map_or(0, TaskEntry::setup_bytes);
    }

    /// Admits queued requests to the policy, up to the limit for one turn.
    pub(super) fn admit_requests(&mut self) {
        for _ in 0..MAX_ADMISSIONS_PER_TURN {
            let tasks = &self.tasks;
            let Some(task) = self
                .admission_queue
                .pop_next(|id| tasks.get(id).is_some_and(|entry| entry.is_pending))
            else {
                return;
            };
            self.cancel_deadline_timer(task.id);
            self.policy_events.push(Event::PlacementRequested(task));
        }
    }

    /// Rejects a request that has not been admitted shortly before its deadline.
    pub(super) fn reject_unadmitted_request(&mut self, now: Micros, task: TaskId) {
        let owner = self.tasks.get(task).map(|entry| entry.owner);
        if owner.is_some_and(|owner| self.admission_queue.contains(owner, task)) {
            self.send_final_answer(now, task, Cause::NO_CAPACITY);
        }
    }

    /// Handles an owner's close, which cancels a request or ends a running task.
    pub(super) fn handle_owner_close(
        &mut self,
        now: Micros,
        owner: OwnerId,
        id: SetupId,
        cause: Cause,
    ) {
        let Some(task) = self.tasks.id_by_setup(id) else {
            self.forget_release(id);
            let result = EarlyResult::ClosedByOwner(cause);
            return self.early_results.insert(now, id, result);
        };
        let Some(entry) = self.tasks.get_mut(task) else {
            return;
        };
        if let Some(placement) = &mut entry.placement {
            placement.close_cause = Some(cause);
            let (machine, is_confirmed) = (placement.machine, placement.is_confirmed);
            self.close_at_host(now, machine, id, cause);
            // Only owners know the ids of running tasks.
            if is_confirmed {
                self.record_verified_owner(now, owner);
            }
        } else {
            self.cancel_request(task);
            self.record_cancellation(owner);
        }
    }

    /// Cancels a pending request; it gets no answer.
    pub(super) fn cancel_request(&mut self, task: TaskId) {
        if self.clear_pending(task) {
            self.policy_events.push(Event::ClientDisconnected(task));
            self.abandon_attempt(task, AttemptOutcome::Cancelled, true);
            self.tasks.remove_if_finished(task);
        }
    }
}

/// Builds the policy's task from a set-up. The caller assigns its id.
pub(super) fn build_task(class: usize, setup: &Setup, deadline: Micros) -> Task {
    Task {
        id: TaskId(0),
        service: ServiceId(setup.service),
        class,
        requested: Resources {
            cores: setup.cores,
            memory: setup.memory,
        },
        expected_duration: setup.expected_duration_ms.map(micros_from_ms),
        deadline,
        is_resubmission: setup.is_resubmission,
    }
}
