//! Connections to hosts: selected, opened, checked and lost.

use std::collections::BTreeSet;

use maplethread::{AttemptOutcome, MachineId, MachineState, Micros, TaskId};
use maplethread_engine::Decide;
use maplethread_platform_wire::SetupId;
use maplethread_platform_wire::host::{self, ToHost};

use super::Engine;
use super::output::{ConnectionId, DisconnectReason, Output};
use super::timer::Timer;

/// A connection to a host with running tasks that was silent for this time is probed. A probe is answered at once: a
/// connection on which the answer takes longer than the settings' connect timeout is given up. In microseconds.
pub(super) const IDLE_PROBE_INTERVAL: Micros = 1_000_000;
/// The same where probes are charged for: only as often as is needed to give up a host that alone is silent after
/// `UNREACHABLE_TIMEOUT`. In microseconds.
const CHARGED_PROBE_INTERVAL: Micros = 2_500_000;
/// How long after the loss of a connection to a host with running tasks the next one is opened, in microseconds. A host
/// releases a task on the connection on which it was placed, and once more on the next one that is opened. Until it has
/// noticed that the old one is lost, it may release the task there in vain, and a new one that is opened meanwhile is not
/// the next one any more. This is many times the network's delay.
const RECONNECT_DELAY: Micros = 25_000;
/// The id of probes, which no set-up has.
const PROBE_ID: SetupId = SetupId(0);

/// A connection to a host.
pub(super) struct HostConnection {
    pub(super) machine: MachineId,
    /// Whether it is established, rather than being opened.
    pub(super) is_established: bool,
    /// Tasks with an attempt that was sent on it, or waits for it.
    pub(super) attempts: BTreeSet<TaskId>,
    /// When something was last received on it, or it was opened or established.
    pub(super) last_received: Micros,
    /// A probe has no answer yet.
    pub(super) is_probe_pending: bool,
    /// A probe failed. The connection is kept because it will show whether the process at its other end is the same.
    pub(super) is_unresponsive: bool,
    /// When it is checked next.
    pub(super) next_check: Micros,
}

impl<D: Decide> Engine<D> {
    /// A connection to a host: one that is established and not being probed, else one that is being opened, else a new
    /// one. None of `excluded`.
    pub(super) fn select_connection(
        &mut self,
        now: Micros,
        machine: MachineId,
        excluded: &[ConnectionId],
    ) -> Option<ConnectionId> {
        let host = self.host_table.hosts.get(&machine)?;
        let is_usable = |id: &&ConnectionId| {
            !excluded.contains(id)
                && self
                    .connections
                    .get(id)
                    .is_some_and(|connection| !connection.is_probe_pending)
        };
        let best = host
            .connections
            .iter()
            .filter(is_usable)
            .min_by_key(|id| !self.connections[id].is_established)
            .copied();
        best.or_else(|| self.open_connection(now, machine))
    }

    /// Opens a connection to a host; nothing if the host's address is unknown or belongs to another host now.
    pub(super) fn open_connection(
        &mut self,
        now: Micros,
        machine: MachineId,
    ) -> Option<ConnectionId> {
        if self.host_table.is_address_reused(machine) {
            return None;
        }
        let host = self.host_table.hosts.get_mut(&machine)?;
        let address = host.address?;
        self.last_connection_id += 1;
        let id = ConnectionId(self.last_connection_id);
        host.connections.insert(id);
        let opens_at = if host.running.is_empty() {
            now
        } else {
            now.max(host.last_disconnected + RECONNECT_DELAY)
        };
        let next_check = opens_at + self.settings.connect_timeout;
        let connection = HostConnection {
            machine,
            is_established: false,
            attempts: BTreeSet::new(),
            last_received: now,
            is_probe_pending: false,
            is_unresponsive: false,
            next_check,
        };
        self.connections.insert(id, connection);
        self.timers.schedule(next_check, Timer::ConnectionCheck(id));
        if opens_at > now {
            self.timers.schedule(opens_at, Timer::DelayedConnect(id));
        } else {
            self.outputs.push(Output::Connect(id, address));
        }
        Some(id)
    }

    /// Opens a connection that was delayed until the host has noticed the loss of an earlier one.
    pub(super) fn open_delayed_connection(&mut self, now: Micros, id: ConnectionId) {
        let Some(machine) = self.connections.get(&id).map(|c| c.machine) else {
            return;
        };
        let address = self
            .host_table
            .hosts
            .get(&machine)
            .and_then(|host| host.address);
        match address.filter(|_| !self.host_table.is_address_reused(machine)) {
            Some(address) => self.outputs.push(Output::Connect(id, address)),
            None => self.connection_lost(now, id, DisconnectReason::Broken),
        }
    }

    /// A connection was established: what waited for it is sent.
    pub fn connection_established(&mut self, now: Micros, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.is_established = true;
        connection.last_received = now;
        let waiting: Vec<TaskId> = connection.attempts.iter().copied().collect();
        let machine = connection.machine;
        self.schedule_connection_check(id, now + self.probe_interval());
        self.record_host_connected(now, machine);
        self.repeat_unconfirmed_closes(id, machine);
        for task in waiting {
            // An attempt that has timed out by now is withdrawn unsent in this turn.
            let is_in_time = self
                .tasks
                .get(task)
                .and_then(|entry| entry.in_flight)
                .is_some_and(|attempt| attempt.deadline > now);
            if is_in_time {
                self.send_setup(now, task, id);
            }
        }
    }

    /// A connection was lost, or could not be established.
    pub fn connection_lost(&mut self, now: Micros, id: ConnectionId, reason: DisconnectReason) {
        let Some(connection) = self.connections.remove(&id) else {
            return;
        };
        let machine = connection.machine;
        tracing::debug!(
            host = self.host_table.name(machine),
            connection = id.0,
            ?reason,
            established = connection.is_established,
            attempts = connection.attempts.len(),
            "connection lost"
        );
        if let Some(host) = self.host_table.hosts.get_mut(&machine) {
            host.connections.remove(&id);
        }
        for &task in &connection.attempts {
            self.fail_attempt(task);
        }
        self.apply_connection_loss(now, &connection, reason);
    }

    /// Ends the attempt of a task whose connection was lost.
    fn fail_attempt(&mut self, task: TaskId) {
        let Some(attempt) = self.remove_attempt(task) else {
            return;
        };
        let closes_task = self.tasks.get(task).is_none_or(|entry| !entry.is_pending);
        let outcome = if attempt.was_sent {
            AttemptOutcome::Disconnected
        } else {
            AttemptOutcome::ConnectFailed
        };
        self.push_attempt_finished(attempt.id(task), outcome, None, closes_task);
        self.tasks.remove_if_finished(task);
    }

    /// What the loss of a connection means for its host and the tasks that run there.
    fn apply_connection_loss(
        &mut self,
        now: Micros,
        connection: &HostConnection,
        reason: DisconnectReason,
    ) {
        let machine = connection.machine;
        let Some(host) = self.host_table.hosts.get_mut(&machine) else {
            return;
        };
        host.is_identity_unverified |= connection.is_unresponsive;
        if connection.is_established {
            host.last_disconnected = now;
        }
        if host.running.is_empty() {
            if host.is_unreachable {
                self.schedule_host_check(now, machine);
            }
            return;
        }
        // A process that drains refuses new connections while its tasks run on. Only where one was established before and
        // lost, a refusal of the next shows that the process has died.
        let is_refused = reason == DisconnectReason::Refused;
        if is_refused && host.state == MachineState::Draining {
            host.record_sign_of_life(now);
        }
        if (is_refused && host.was_connected) || host.state == MachineState::Gone {
            self.fail_running_tasks(now, machine, |_| true);
            return;
        }
        // Perhaps only the connection broke, so tasks run on until the host is found to have failed. What the host sent on
        // it in vain it repeats on the next one, whether others are open or not.
        let has_no_connection = host.connections.is_empty();
        if connection.is_established {
            self.open_connection(now, machine);
        }
        if has_no_connection {
            self.schedule_host_check(now, machine);
        }
    }

    /// Probes a connection on which an answer is overdue. Until the probe is answered no task is offered on it.
    pub(super) fn probe_connection(&mut self, now: Micros, id: ConnectionId) {
        let Some(connection) = self
            .connections
            .get_mut(&id)
            .filter(|connection| connection.is_established && !connection.is_probe_pending)
        else {
            return;
        };
        connection.is_probe_pending = true;
        self.schedule_connection_check(id, now + self.settings.connect_timeout);
        self.send_probe(id);
    }

    pub(super) fn send_probe(&mut self, id: ConnectionId) {
        self.send_to_host(id, &ToHost::Probe { id: PROBE_ID });
    }

    /// Checks whether a connection is established, answers, and is still needed.
    pub(super) fn check_connection(&mut self, now: Micros, id: ConnectionId) {
        let probe_interval = self.probe_interval();
        let connect_timeout = self.settings.connect_timeout;
        let Some(connection) = self
            .connections
            .get(&id)
            .filter(|connection| connection.next_check <= now)
        else {
            return;
        };
        let silence = now.saturating_sub(connection.last_received);
        if !connection.is_established || connection.is_probe_pending {
            tracing::debug!(
                connection = id.0,
                established = connection.is_established,
                silence,
                "connection does not answer"
            );
            return self.handle_unanswered_connection(now, id);
        }
        let host = self.host_table.hosts.get(&connection.machine);
        let has_running_tasks = host.is_some_and(|host| !host.running.is_empty());
        let is_gone = host.is_none_or(|host| host.state == MachineState::Gone);
        let has_attempts = !connection.attempts.is_empty();
        let is_answer_overdue = has_attempts && silence >= connect_timeout;
        if is_answer_overdue || has_running_tasks && silence >= probe_interval {
            self.probe_connection(now, id);
        } else if !has_running_tasks
            && !has_attempts
            && (is_gone || silence >= self.settings.idle_timeout / 2)
        {
            self.close_connection(now, id);
        } else {
            let next_check = if has_attempts {
                now + connect_timeout
            } else if silence < probe_interval {
                connection.last_received + probe_interval
            } else {
                now + probe_interval
            };
            self.schedule_connection_check(id, next_check);
        }
    }

    /// How long a connection may be silent while tasks run on its host.
    pub(super) fn probe_interval(&self) -> Micros {
        if self.settings.are_probes_charged {
            CHARGED_PROBE_INTERVAL
        } else {
            IDLE_PROBE_INTERVAL
        }
    }

    /// Schedules the next check of a connection, in place of the one that was scheduled before.
    pub(super) fn schedule_connection_check(&mut self, id: ConnectionId, at: Micros) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.next_check = at;
            self.timers.schedule(at, Timer::ConnectionCheck(id));
        }
    }

    pub(super) fn close_connection(&mut self, now: Micros, id: ConnectionId) {
        self.outputs.push(Output::CloseConnection(id));
        self.connection_lost(now, id, DisconnectReason::Broken);
    }

    /// Sends a message to a host; one that ends an attempt or a task is written before anything else.
    pub(super) fn send_to_host(&mut self, id: ConnectionId, message: &ToHost) {
        let mut bytes = Vec::new();
        host::encode(&mut bytes, message);
        self.outputs.push(match message {
            ToHost::Close { .. } => Output::SendToHostImmediately(id, bytes),
            _ => Output::SendToHost(id, bytes),
        });
    }
}
