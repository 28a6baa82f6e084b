//! Attempts to place a task, from the offer to the final answer.

use maplethread::{
    AttemptId, AttemptOutcome, AttemptResult, Event, FailureReason, MachineId, MachineState,
    Micros, TaskId,
};
use maplethread_engine::Decide;
use maplethread_platform_wire::Cause;
use maplethread_platform_wire::host::{self, ToHost};
use maplethread_platform_wire::owner::ToOwner;

use super::Engine;
use super::output::{ConnectionId, Output};
use super::owner_evidence::OwnerEvidence;
use super::task_table::Attempt;
use super::timer::Timer;

/// Estimated size of a set-up without its description, for the initial capacity of its buffer.
const SETUP_HEAD_BYTES: usize = 128;

impl<D: Decide> Engine<D> {
    /// Offers a task to a machine. If the connection is not established yet, the set-up is sent when it is.
    pub(super) fn start_attempt(
        &mut self,
        now: Micros,
        task: TaskId,
        machine: MachineId,
        timeout: Micros,
    ) {
        let Some(entry) = self.tasks.get_mut(task) else {
            return;
        };
        let id = AttemptId {
            task,
            number: entry.attempt_count,
        };
        entry.attempt_count += 1;
        let is_pending = entry.is_pending;
        let used_connections = entry.used_connections.clone();
        let is_ready = self
            .host_table
            .hosts
            .get(&machine)
            .is_some_and(|host| host.state == MachineState::Ready)
            && self.host_table.successor(machine).is_none();
        // Answers contain the id of the task but not of the attempt, and a copy of the answer to an earlier attempt may
        // arrive late. Each attempt uses another connection, so that such a copy is not taken for the answer to this one.
        let connection = if is_ready && is_pending {
            self.select_connection(now, machine, &used_connections)
        } else {
            None
        };
        let Some(connection) = connection else {
            self.push_attempt_finished(id, AttemptOutcome::ConnectFailed, None, false);
            return;
        };
        let is_established = match self.connections.get_mut(&connection) {
            Some(connection) => {
                connection.attempts.insert(task);
                connection.is_established
            }
            None => false,
        };
        let deadline = now + timeout;
        let timeout_timer = self.timers.schedule(deadline, Timer::AttemptTimeout(id));
        if let Some(entry) = self.tasks.get_mut(task) {
            entry.in_flight = Some(Attempt {
                number: id.number,
                connection,
                offered_at: now,
                deadline,
                timeout_timer,
                was_sent: is_established,
            });
            entry.used_connections.push(connection);
        }
        if is_established {
            self.send_setup(now, task, connection);
        }
    }

    /// Sends the set-up of the task's attempt on an established connection.
    pub(super) fn send_setup(&mut self, now: Micros, task: TaskId, connection: ConnectionId) {
        let Some(entry) = self.tasks.get_mut(task) else {
            return;
        };
        let Some(attempt) = &mut entry.in_flight else {
            return;
        };
        attempt.was_sent = true;
        let Some(setup) = &entry.setup else {
            return;
        };
        self.possibly_run.insert(now, setup.id, ());
        let mut bytes = Vec::with_capacity(setup.description.len() + SETUP_HEAD_BYTES);
        let message = ToHost::Setup {
            id: setup.id,
            class: &setup.class,
            task_name: &setup.task_name,
            idempotency_key: setup.idempotency_key.as_deref(),
            answer_timeout_ms: attempt.deadline.saturating_sub(now).div_ceil(1000),
            description: &setup.description,
        };
        host::encode(&mut bytes, &message);
        self.outputs.push(Output::SendToHost(connection, bytes));
        self.schedule_probe_if_unanswered(now, connection);
    }

    /// The attempt with this id, if it is in flight.
    pub(super) fn attempt_in_flight(&self, id: AttemptId) -> Option<Attempt> {
        self.tasks
            .get(id.task)?
            .in_flight
            .filter(|attempt| attempt.number == id.number)
    }

    /// Ends an attempt that was not answered by its deadline.
    pub(super) fn handle_attempt_timeout(&mut self, now: Micros, id: AttemptId) {
        let Some(attempt) = self.attempt_in_flight(id) else {
            return;
        };
        if attempt.was_sent {
            self.probe_connection(now, attempt.connection);
            self.abandon_attempt(id.task, AttemptOutcome::TimedOut, false);
        } else {
            self.abandon_attempt(id.task, AttemptOutcome::ConnectFailed, false);
        }
    }

    /// Cancels the task's attempt and reports its end to the policy. If the attempt was sent, the host gets a close and the
    /// policy gets `outcome`. If it was never sent, the policy gets `ConnectFailed` instead of `outcome`.
    pub(super) fn abandon_attempt(
        &mut self,
        task: TaskId,
        outcome: AttemptOutcome,
        closes_task: bool,
    ) {
        let Some(setup_id) = self.tasks.get(task).map(|entry| entry.setup_id) else {
            return;
        };
        let Some(attempt) = self.remove_attempt(task) else {
            return;
        };
        let outcome = if attempt.was_sent {
            let close = ToHost::Close {
                id: setup_id,
                cause: Cause::NORMAL,
            };
            self.send_to_host(attempt.connection, &close);
            outcome
        } else {
            AttemptOutcome::ConnectFailed
        };
        self.push_attempt_finished(attempt.id(task), outcome, None, closes_task);
        self.tasks.remove_if_finished(task);
    }

    /// Removes the task's attempt in flight from the task and from its connection.
    pub(super) fn remove_attempt(&mut self, task: TaskId) -> Option<Attempt> {
        let attempt = self.tasks.get_mut(task)?.in_flight.take()?;
        self.timers.cancel(attempt.timeout_timer);
        if let Some(connection) = self.connections.get_mut(&attempt.connection) {
            connection.attempts.remove(&task);
        }
        Some(attempt)
    }

    /// Queues the outcome of an attempt for the policy.
    pub(super) fn push_attempt_finished(
        &mut self,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        reason: Option<FailureReason>,
        closes_task: bool,
    ) {
        let never_ran = matches!(
            outcome,
            AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed | AttemptOutcome::NeverSent
        );
        if let Some(entry) = self.tasks.get_mut(attempt.task) {
            entry.may_have_run |= !never_ran;
            if never_ran && !entry.may_have_run {
                self.possibly_run.remove(entry.setup_id);
            }
        }
        let result = AttemptResult {
            outcome,
            reason,
            closes_task,
            load: None,
        };
        self.policy_events
            .push(Event::AttemptFinished { attempt, result });
    }

    /// Marks a request as no longer pending, because it was answered or cancelled. Returns whether it was pending.
    pub(super) fn clear_pending(&mut self, task: TaskId) -> bool {
        if let Some(entry) = self.tasks.get(task)
            && let Some(owner) = self.owners.get_mut(&entry.owner)
            && owner.pending.remove(&task)
        {
            owner.pending_bytes -= entry.setup_bytes();
        }
        self.cancel_deadline_timer(task);
        let was_pending = self.tasks.clear_pending(task);
        self.admission_queue.remove_obsolete(&self.tasks);
        was_pending
    }

    /// Sends the final answer to a request that was not placed.
    pub(super) fn send_final_answer(&mut self, now: Micros, task: TaskId, cause: Cause) {
        let Some(entry) = self.tasks.get(task) else {
            return;
        };
        let (owner, id) = (entry.owner, entry.setup_id);
        if !self.clear_pending(task) {
            return;
        }
        self.outputs
            .push(Output::SendToOwner(owner, ToOwner::Close { id, cause }));
        // The request has its answer, so an attempt that is still in flight is cancelled and reported as timed out.
        self.abandon_attempt(task, AttemptOutcome::TimedOut, true);
        self.tasks.remove_if_finished(task);
        self.record_evidence(now, owner, OwnerEvidence::record_answer);
    }
}
