//! Connections to hosts: how they are selected, opened, checked and closed.

use std::collections::BTreeSet;

use maplethread::{AttemptOutcome, MachineId, MachineState, Micros, TaskId};
use maplethread_engine::{Decide, TimerId};
use maplethread_platform_wire::SetupId;
use maplethread_platform_wire::host::{self, ToHost};

use super::Engine;
use super::output::{ConnectionId, DisconnectReason, Output};
use super::process_interval::ProcessInterval;
use super::timer::Timer;

/// A connection to a host with running tasks is probed when nothing was received on it for this time. Hosts answer probes
/// at once: a probe that is not answered within the connect timeout of the settings has failed.
pub(super) const IDLE_PROBE_INTERVAL: Micros = 1_000_000;
/// The probe interval on platforms that charge for probes. It is only just short enough to detect the failure of a single
/// host within `UNREACHABLE_TIMEOUT`.
const CHARGED_PROBE_INTERVAL: Micros = 2_500_000;
/// Delay between the loss of a connection to a host with running tasks and the next connect. A host sends the release of a
/// task on the connection on which the task was placed, and repeats it only on the next connection that is opened. If that
/// is opened before the host has detected the loss, a release that the host then sends on the lost connection is never
/// repeated. The delay is many times the network latency.
const RECONNECT_DELAY: Micros = 25_000;
/// The id of probes; no set-up uses it.
const PROBE_ID: SetupId = SetupId(0);

/// A connection to a host.
pub(super) struct HostConnection {
    pub(super) machine: MachineId,
    /// False while the connection is being opened.
    pub(super) is_established: bool,
    /// Tasks with an attempt that was sent on the connection, or that will be sent once it is established.
    pub(super) attempts: BTreeSet<TaskId>,
    /// When data was last received. Before the first data: when the connection was established, or else opened.
    pub(super) last_received: Micros,
    /// Whether anything was received.
    pub(super) has_received: bool,
    /// When the process on the other side is known to have run.
    pub(super) process: ProcessInterval,
    /// A probe was sent and not answered yet.
    pub(super) is_probe_pending: bool,
    /// A probe failed. The connection is kept open because whether it resumes or breaks shows whether the host's process is
    /// still the same, and a paused process that resumes sends the releases of its tasks on it.
    pub(super) is_unresponsive: bool,
    /// How often a probe on the unresponsive connection was not answered although the host has answered on another one.
    pub(super) missed_probes: u32,
    /// When [`Engine::check_connection`] is due.
    pub(super) next_check: Micros,
    check_timer: TimerId,
    /// The timer of a delayed connect.
    connect_timer: Option<TimerId>,
}

impl<D: Decide> Engine<D> {
    /// Selects a connection to a host that is not in `excluded`: one that is established and not being probed, else one
    /// that is being opened, else a new one.
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

    /// The established connections to a host on which no probe has failed.
    pub(super) fn responsive_connections(
        &self,
        machine: MachineId,
    ) -> impl Iterator<Item = (ConnectionId, &HostConnection)> + '_ {
        let host = self.host_table.hosts.get(&machine);
        host.into_iter()
            .flat_map(|host| &host.connections)
            .filter_map(|id| Some((*id, self.connections.get(id)?)))
            .filter(|(_, connection)| connection.is_established && !connection.is_unresponsive)
    }

    /// Opens a connection to a host. Returns none if the host's address is unknown or now belongs to another host.
    pub(super) fn open_connection(
        &mut self,
        now: Micros,
        machine: MachineId,
    ) -> Option<ConnectionId> {
        if self.host_table.successor(machine).is_some() {
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
        let check_timer = self.timers.schedule(next_check, Timer::ConnectionCheck(id));
        let connect_timer =
            (opens_at > now).then(|| self.timers.schedule(opens_at, Timer::DelayedConnect(id)));
        let connection = HostConnection {
            machine,
            is_established: false,
            attempts: BTreeSet::new(),
            last_received: now,
            has_received: false,
            process: ProcessInterval::at(now),
            is_probe_pending: false,
            is_unresponsive: false,
            missed_probes: 0,
            next_check,
            check_timer,
            connect_timer,
        };
        self.connections.insert(id, connection);
        if connect_timer.is_none() {
            self.outputs.push(Output::Connect(id, address));
        }
        Some(id)
    }

    /// Opens a connection that was delayed by `RECONNECT_DELAY`.
    pub(super) fn open_delayed_connection(&mut self, now: Micros, id: ConnectionId) {
        let Some(machine) = self.connections.get(&id).map(|c| c.machine) else {
            return;
        };
        let address = self
            .host_table
            .hosts
            .get(&machine)
            .and_then(|host| host.address);
        match address.filter(|_| self.host_table.successor(machine).is_none()) {
            Some(address) => self.outputs.push(Output::Connect(id, address)),
            None => self.connection_lost(now, id, DisconnectReason::Broken),
        }
    }

    /// Handles an established connection: sends the set-ups that were waiting for it.
    pub fn connection_established(&mut self, now: Micros, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.is_established = true;
        connection.last_received = now;
        connection.process = ProcessInterval::at(now);
        let waiting: Vec<TaskId> = connection.attempts.iter().copied().collect();
        let machine = connection.machine;
        self.schedule_connection_check(id, now + self.probe_interval());
        self.record_host_connected(now, machine);
        self.repeat_unconfirmed_closes(id, machine);
        for task in waiting {
            // An attempt past its deadline is not sent; its timer ends it in this turn.
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

    /// Handles a connection that was lost or could not be established.
    pub fn connection_lost(&mut self, now: Micros, id: ConnectionId, reason: DisconnectReason) {
        let Some(connection) = self.connections.remove(&id) else {
            return;
        };
        let machine = connection.machine;
        self.timers.cancel(connection.check_timer);
        self.timers.cancel(connection.connect_timer);
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

    /// Updates the host of a lost connection: reconnects, or fails the tasks that run there.
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
        // A draining process refuses new connections while its tasks continue. So a refused connection means that the
        // process has terminated only if the process had accepted an earlier connection.
        let is_refused = reason == DisconnectReason::Refused;
        if is_refused && host.state == MachineState::Draining {
            host.record_alive(now);
        }
        if is_refused && host.was_connected {
            return self.fail_running_tasks(now, machine, |_| true);
        }
        if self.is_removed_or_replaced(machine) {
            return self.fail_tasks_of_earlier_process(now, machine);
        }
        // The connection may have broken without a failure of the host, so its tasks are kept until the host is detected as
        // failed. A new connection is opened even if others are open, because the host repeats unreceived messages on it.
        let has_no_connection = self
            .host_table
            .hosts
            .get(&machine)
            .is_some_and(|host| host.connections.is_empty());
        if connection.is_established {
            self.open_connection(now, machine);
        }
        if has_no_connection {
            self.schedule_host_check(now, machine);
        }
    }

    /// Probes a connection on which an answer is overdue. No task is offered on it until the probe is answered.
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

    /// Checks that a connection is established, responsive and still needed.
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
        let idle_us = now.saturating_sub(connection.last_received);
        if !connection.is_established || connection.is_probe_pending {
            tracing::debug!(
                connection = id.0,
                established = connection.is_established,
                silence = idle_us,
                "connection timed out"
            );
            return self.handle_connection_timeout(now, id);
        }
        let host = self.host_table.hosts.get(&connection.machine);
        let has_running_tasks = host.is_some_and(|host| !host.running.is_empty());
        let is_gone = host.is_none_or(|host| host.state == MachineState::Gone);
        let has_attempts = !connection.attempts.is_empty();
        let is_answer_overdue = has_attempts && idle_us >= connect_timeout;
        if is_answer_overdue || has_running_tasks && idle_us >= probe_interval {
            self.probe_connection(now, id);
        } else if !has_running_tasks
            && !has_attempts
            && (is_gone || idle_us >= self.settings.idle_timeout / 2)
        {
            self.close_connection(now, id);
        } else {
            let next_check = if has_attempts {
                now + connect_timeout
            } else if idle_us < probe_interval {
                connection.last_received + probe_interval
            } else {
                now + probe_interval
            };
            self.schedule_connection_check(id, next_check);
        }
    }

    /// How long nothing may be received on a connection, while tasks run on its host, before it is probed.
    pub(super) fn probe_interval(&self) -> Micros {
        if self.settings.are_probes_charged {
            CHARGED_PROBE_INTERVAL
        } else {
            IDLE_PROBE_INTERVAL
        }
    }

    /// Schedules the next check of a connection, replacing the one that was scheduled before.
    pub(super) fn schedule_connection_check(&mut self, id: ConnectionId, at: Micros) {
        if let Some(connection) = self.connections.get_mut(&id) {
            self.timers.cancel(connection.check_timer);
            connection.next_check = at;
            connection.check_timer = self.timers.schedule(at, Timer::ConnectionCheck(id));
        }
    }

    pub(super) fn close_connection(&mut self, now: Micros, id: ConnectionId) {
        self.outputs.push(Output::CloseConnection(id));
        self.connection_lost(now, id, DisconnectReason::Broken);
    }

    /// Sends a message to a host. Closes, which end an attempt or a task, are written before any later output.
    pub(super) fn send_to_host(&mut self, id: ConnectionId, message: &ToHost) {
        let mut bytes = Vec::new();
        host::encode(&mut bytes, message);
        self.outputs.push(match message {
            ToHost::Close { .. } => Output::SendToHostImmediately(id, bytes),
            _ => Output::SendToHost(id, bytes),
        });
    }
}
