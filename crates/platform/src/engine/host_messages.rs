//! Messages from hosts: answers to set-ups, and the results and reports of tasks.

use maplethread::{AttemptOutcome, Event, FailureReason, MachineId, Micros, TaskId, TaskReport};
use maplethread_engine::Decide;
use maplethread_platform_wire::host::{FromHost, ReportCode};
use maplethread_platform_wire::owner::ToOwner;
use maplethread_platform_wire::{Cause, SetupId};

use super::Engine;
use super::early_results::EarlyResult;
use super::output::{ConnectionId, Output};
use super::task_table::Placement;

impl<D: Decide> Engine<D> {
    /// Handles a message received from a host on a connection.
    pub fn handle_host_message(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        message: FromHost,
    ) {
        if let Some(&machine) = self.draining_connections.get(&connection) {
            // Only releases count: the attempts on the connection have ended.
            if let FromHost::Close { id, cause, code } = message {
                let reason = code.and_then(failure_reason);
                self.handle_host_close(now, connection, machine, id, cause, reason);
            }
            return;
        }
        let Some(received_on) = self.connections.get_mut(&connection) else {
            return;
        };
        let machine = received_on.machine;
        received_on.last_received = now;
        received_on.is_probe_pending = false;
        received_on.has_received = true;
        self.record_host_message(now, connection, machine);
        let machine = match self.host_table.successor(machine) {
            Some(successor) => {
                self.move_to_successor(connection, successor);
                successor
            }
            None => machine,
        };
        tracing::trace!(
            host = self.host_table.name(machine),
            connection = connection.0,
            ?message,
            "message from host"
        );
        match message {
            FromHost::Ready { id, description } => {
                self.handle_ready(now, connection, machine, id, description)
            }
            FromHost::Close { id, cause, code } => {
                let reason = code.and_then(failure_reason);
                self.handle_host_close(now, connection, machine, id, cause, reason)
            }
            FromHost::Report { id, code, value } => {
                self.handle_task_report(now, connection, machine, id, code, value)
            }
            FromHost::Probed { .. } | FromHost::Ignored => {}
        }
    }

    /// Handles the acceptance of a set-up: the task is placed, and its owner gets the answer.
    fn handle_ready(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        machine: MachineId,
        id: SetupId,
        description: String,
    ) {
        let Some(task) = self.tasks.id_by_setup(id) else {
            return;
        };
        let Some(entry) = self.tasks.get(task) else {
            return;
        };
        let Some(attempt) = entry.in_flight.filter(|attempt| {
            attempt.connection == connection && attempt.was_sent && entry.is_pending
        }) else {
            return;
        };
        let owner = entry.owner;
        // The connection may have moved to another host since the offer.
        let placement = Placement::new(machine, attempt.number, now);
        self.tasks.place(task, placement);
        self.remove_attempt(task);
        self.clear_pending(task);
        self.tasks.drop_setup(task);
        self.outputs.push(Output::SendToOwner(
            owner,
            ToOwner::Ready { id, description },
        ));
        self.record_verified_owner(now, owner);
        self.policy_events.push(Event::AttemptAccepted {
            attempt: attempt.id(task),
            elapsed: Some(now.saturating_sub(attempt.offered_at)),
        });
        self.record_running_task(now, task, machine);
    }

    /// Handles the rejection of a set-up or the release of a task.
    fn handle_host_close(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        machine: MachineId,
        id: SetupId,
        cause: Cause,
        reason: Option<FailureReason>,
    ) {
        let Some(task) = self.tasks.id_by_setup(id) else {
            // With other causes the message is the answer to a set-up, not the result of a running task.
            if matches!(cause, Cause::NORMAL | Cause::RESET | Cause::CANCELLED) {
                self.early_results
                    .insert(now, id, EarlyResult::ReportedByHost(machine, cause));
            }
            return;
        };
        let Some(entry) = self.tasks.get(task) else {
            return;
        };
        if let Some(attempt) = entry
            .in_flight
            .filter(|attempt| attempt.connection == connection && attempt.was_sent)
        {
            let closes_task = !entry.is_pending;
            self.remove_attempt(task);
            let outcome = rejection_outcome(cause);
            self.push_attempt_finished(attempt.id(task), outcome, reason, closes_task);
            self.tasks.remove_if_finished(task);
        } else if let Some(placement) = entry.placement.filter(|p| p.machine == machine) {
            self.record_task_known(now, connection, machine, placement.since);
            self.confirm_same_process(now, machine, placement.since);
            self.confirm_running_task(now, task);
            self.finish_running_task(now, task, release_outcome(cause), reason, cause);
        }
    }

    /// Records that a host knows a running task. For one that was handed over this is the first evidence of it.
    fn confirm_running_task(&mut self, now: Micros, task: TaskId) {
        if !self.tasks.confirm(task) {
            return;
        }
        if let Some(owner) = self.tasks.get(task).map(|entry| entry.owner) {
            self.record_verified_owner(now, owner);
        }
    }

    /// Handles a host's report on a running task.
    fn handle_task_report(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        machine: MachineId,
        id: SetupId,
        code: ReportCode,
        value: f64,
    ) {
        let Some(task) = self.tasks.id_by_setup(id) else {
            return;
        };
        let Some(placement) = self.tasks.get(task).and_then(|entry| entry.placement) else {
            return;
        };
        if placement.machine != machine || !value.is_finite() {
            return;
        }
        self.record_task_known(now, connection, machine, placement.since);
        self.confirm_same_process(now, machine, placement.since);
        self.confirm_running_task(now, task);
        let report = match code {
            ReportCode::Running => TaskReport::Started,
            ReportCode::CoresUsed => TaskReport::CoresUsed(value),
            ReportCode::MemoryUsed => TaskReport::MemoryUsed(value),
            ReportCode::ServiceShare => TaskReport::ServiceShare(value),
            ReportCode::HostMemoryUsed => TaskReport::MachineMemoryShare(value),
            ReportCode::InsufficientCores
            | ReportCode::InsufficientMemory
            | ReportCode::QueueFull
            | ReportCode::Ineligible
            | ReportCode::Evicted
            | ReportCode::Preempted
            | ReportCode::Drained => return,
        };
        self.policy_events.push(Event::TaskReported {
            attempt: placement.attempt(task),
            report,
        });
    }
}

/// The outcome of an attempt that was not accepted.
fn rejection_outcome(cause: Cause) -> AttemptOutcome {
    match cause {
        Cause::NO_CAPACITY => AttemptOutcome::Rejected,
        Cause::ERROR => AttemptOutcome::Error,
        Cause::NEVER_SENT => AttemptOutcome::NeverSent,
        _ => AttemptOutcome::Disconnected,
    }
}

/// The outcome of a task that its host released.
fn release_outcome(cause: Cause) -> AttemptOutcome {
    match cause {
        Cause::NORMAL => AttemptOutcome::Completed,
        Cause::CANCELLED => AttemptOutcome::Cancelled,
        _ => AttemptOutcome::Disconnected,
    }
}

/// The reason that a host reports for a rejection or a release.
fn failure_reason(code: ReportCode) -> Option<FailureReason> {
    match code {
        ReportCode::InsufficientCores => Some(FailureReason::InsufficientCores),
        ReportCode::InsufficientMemory => Some(FailureReason::InsufficientMemory),
        ReportCode::QueueFull => Some(FailureReason::QueueFull),
        ReportCode::Ineligible => Some(FailureReason::Ineligible),
        ReportCode::Evicted => Some(FailureReason::Evicted),
        ReportCode::Preempted => Some(FailureReason::Preempted),
        ReportCode::Drained => Some(FailureReason::Drained),
        ReportCode::Running
        | ReportCode::CoresUsed
        | ReportCode::MemoryUsed
        | ReportCode::ServiceShare
        | ReportCode::HostMemoryUsed => None,
    }
}
