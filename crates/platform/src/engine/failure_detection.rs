//! Detection of failed hosts. A machine that has failed and one behind a network partition are both silent, but the tasks
//! of the second run on. The old connection tells them apart: it resumes if the process is the same, and breaks if it is
//! not. So a connection whose probe fails is kept while tasks run on its host, and the decisions learn that the host is
//! not connected, so that it gets no offers until it is.

use maplethread::{AttemptOutcome, Event, MachineId, MachineState, Micros, TaskId};
use maplethread_engine::Decide;

use super::Engine;
use super::connections::IDLE_PROBE_INTERVAL;
use super::output::ConnectionId;
use super::timer::Timer;

/// The tasks of a host that is unreachable for this time have failed, in microseconds.
const UNREACHABLE_TIMEOUT: Micros = 3_000_000;
/// So have those of a silent host to which this many consecutive connections were not established within the settings'
/// connect timeout. A process that is stopped still accepts connections, and each further second in which the owners
/// don't know is a second in which their tasks don't run.
const MAX_FAILED_CONNECTS: u32 = 3;
/// Machines fail one by one. If at least this many hosts with running tasks are unreachable together...
const PARTITION_MIN_HOSTS: usize = 3;
/// ...and at least one in this many of all hosts with running tasks, a network partition is likelier, and their tasks run
/// on.
const PARTITION_MIN_ONE_IN: usize = 10;
/// So tasks behind a partition are given up only as late as PROTOCOL allows, which has the owners of failed tasks notified
/// within 8 s; in microseconds. All placers see a partition at once: if they gave up early, they would start everything
/// that runs anew on what is left of the hosts.
const PARTITION_TIMEOUT: Micros = 7_000_000;

impl<D: Decide> Engine<D> {
    /// An answer is expected on a connection: if nothing arrives on it within the settings' connect timeout it is probed,
    /// rather than when the attempt times out. A host releases a task on the connection on which it was placed, and owners
    /// are to get the release within 1 s (PROTOCOL), so a dead connection has to be detected earlier.
    pub(super) fn expect_answer(&mut self, now: Micros, id: ConnectionId) {
        let answer_due = now + self.settings.connect_timeout;
        let is_checked_later = self.connections.get(&id).is_some_and(|connection| {
            connection.is_established
                && !connection.is_probe_pending
                && connection.next_check > answer_due
        });
        if is_checked_later {
            self.schedule_connection_check(id, answer_due);
        }
    }

    /// A connection was not established in time, or its probe was not answered.
    pub(super) fn handle_unanswered_connection(&mut self, now: Micros, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let machine = connection.machine;
        let was_unresponsive = connection.is_unresponsive;
        let Some(host) = self.host_table.hosts.get_mut(&machine) else {
            return;
        };
        host.failed_connects += u32::from(!connection.is_established);
        // Hosts that were removed from the list are not waited for.
        let is_gone = host.state == MachineState::Gone;
        let is_kept = connection.is_established && !is_gone && !host.running.is_empty();
        if is_kept {
            connection.is_unresponsive = true;
            let attempts: Vec<TaskId> = connection.attempts.iter().copied().collect();
            self.schedule_connection_check(id, now + IDLE_PROBE_INTERVAL);
            for task in attempts {
                self.abandon_attempt(task, AttemptOutcome::Disconnected, false);
            }
            if was_unresponsive {
                // The first probe may be lost with a process that has died; the next process breaks the connection when it
                // gets this one.
                self.send_probe(id);
            }
        }
        if !is_gone {
            self.mark_unreachable(machine);
        }
        if !is_kept {
            self.close_connection(now, id);
        } else if !was_unresponsive {
            self.reconnect(now, machine);
        }
        self.schedule_host_check(now, machine);
    }

    fn mark_unreachable(&mut self, machine: MachineId) {
        if let Some(host) = self.host_table.hosts.get_mut(&machine)
            && !std::mem::replace(&mut host.is_unreachable, true)
        {
            self.events.push(Event::ConnectionChanged {
                machine,
                is_connected: false,
            });
        }
    }

    pub(super) fn mark_reachable(&mut self, machine: MachineId) {
        if let Some(host) = self.host_table.hosts.get_mut(&machine)
            && std::mem::take(&mut host.is_unreachable)
        {
            self.events.push(Event::ConnectionChanged {
                machine,
                is_connected: true,
            });
        }
    }

    /// A new connection to a host was established.
    pub(super) fn record_host_connected(&mut self, now: Micros, machine: MachineId) {
        let Some(host) = self.host_table.hosts.get_mut(&machine) else {
            return;
        };
        host.was_connected = true;
        if host.failed_connects > 0 && !host.running.is_empty() {
            // It was unreachable, so its process may be another one now.
            host.is_identity_unverified = true;
        } else if !host.is_identity_unverified {
            // At most a connection was at fault, and this one replaces it.
            host.record_sign_of_life(now);
            self.close_unresponsive_connections(now, machine);
        }
        self.mark_reachable(machine);
    }

    /// A host sent something on a connection.
    pub(super) fn record_host_message(
        &mut self,
        now: Micros,
        id: ConnectionId,
        machine: MachineId,
    ) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        // A connection that resumes leads to the same process as before.
        let has_resumed = std::mem::take(&mut connection.is_unresponsive);
        if has_resumed {
            self.schedule_connection_check(id, now + IDLE_PROBE_INTERVAL);
        }
        if let Some(host) = self
            .host_table
            .hosts
            .get_mut(&machine)
            .filter(|host| has_resumed || !host.is_identity_unverified)
        {
            host.record_sign_of_life(now);
        }
        if has_resumed {
            tracing::debug!(
                host = self.host_table.name(machine),
                connection = id.0,
                "connection resumed"
            );
            self.close_unresponsive_connections(now, machine);
        }
        self.mark_reachable(machine);
    }

    /// A host reports on a task that has run there since this time. If that was before the host fell silent, its process is
    /// the same.
    pub(super) fn confirm_same_process(&mut self, now: Micros, machine: MachineId, since: Micros) {
        let Some(host) = self
            .host_table
            .hosts
            .get_mut(&machine)
            .filter(|host| host.is_identity_unverified && since <= host.last_sign_of_life)
        else {
            return;
        };
        host.record_sign_of_life(now);
        self.close_unresponsive_connections(now, machine);
    }

    /// Closes unresponsive connections: whether the host's process is the same is known now, which is what they were kept
    /// for.
    fn close_unresponsive_connections(&mut self, now: Micros, machine: MachineId) {
        let Some(host) = self.host_table.hosts.get(&machine) else {
            return;
        };
        let connections: Vec<ConnectionId> = host.connections.iter().copied().collect();
        for id in connections {
            let was_unresponsive = self
                .connections
                .get_mut(&id)
                .is_some_and(|connection| std::mem::take(&mut connection.is_unresponsive));
            if was_unresponsive {
                self.close_connection(now, id);
            }
        }
    }

    /// Whether so many hosts are unreachable together that a network partition is the likelier cause.
    fn is_partitioned(&self) -> bool {
        let (mut with_tasks, mut unreachable) = (0, 0);
        for host in self.host_table.hosts.values() {
            if !host.running.is_empty() {
                with_tasks += 1;
                unreachable += usize::from(host.is_unreachable);
            }
        }
        unreachable >= PARTITION_MIN_HOSTS && unreachable * PARTITION_MIN_ONE_IN >= with_tasks
    }

    /// Opens a connection to a host that needs one and has only unresponsive ones.
    fn reconnect(&mut self, now: Micros, machine: MachineId) {
        let Some(host) = self.host_table.hosts.get(&machine) else {
            return;
        };
        let is_needed =
            !host.running.is_empty() || (host.is_unreachable && host.state == MachineState::Ready);
        let has_other = host.connections.iter().any(|id| {
            self.connections
                .get(id)
                .is_some_and(|connection| !connection.is_unresponsive)
        });
        if is_needed && !has_other {
            self.open_connection(now, machine);
        }
    }

    /// Schedules a check of a host that runs tasks or is unreachable, unless one is scheduled.
    pub(super) fn schedule_host_check(&mut self, now: Micros, machine: MachineId) {
        let Some(host) = self.host_table.hosts.get_mut(&machine) else {
            return;
        };
        if std::mem::replace(&mut host.is_check_scheduled, true) {
            return;
        }
        // Nobody waits for a host without tasks; and many hosts are each checked less often, so that together they cost no
        // more than a few.
        let is_rarely_checked = host.running.is_empty() || self.is_partitioned();
        let interval = if is_rarely_checked {
            IDLE_PROBE_INTERVAL
        } else {
            self.settings.connect_timeout
        };
        self.timers
            .schedule(now + interval, Timer::HostCheck(machine));
    }

    /// Checks a host that runs tasks or is unreachable, and fails its tasks if it was silent for too long.
    pub(super) fn check_host(&mut self, now: Micros, machine: MachineId) {
        let Some(host) = self.host_table.hosts.get_mut(&machine) else {
            return;
        };
        host.is_check_scheduled = false;
        let has_working_connection = host.connections.iter().any(|id| {
            self.connections
                .get(id)
                .is_some_and(|connection| connection.is_established && !connection.is_unresponsive)
        });
        let has_running_tasks = !host.running.is_empty();
        let is_in_order =
            has_working_connection && !(has_running_tasks && host.is_identity_unverified);
        let is_of_no_interest = !has_running_tasks && !host.is_unreachable;
        if is_in_order || is_of_no_interest {
            return;
        }
        let last_sign_of_life = host.last_sign_of_life;
        if has_running_tasks && self.has_failed(now, machine) {
            self.fail_running_tasks(now, machine, |since| since <= last_sign_of_life);
            if let Some(host) = self.host_table.hosts.get_mut(&machine) {
                host.is_identity_unverified = false;
            }
            self.close_unresponsive_connections(now, machine);
        }
        self.reconnect(now, machine);
        let is_checked_again = self
            .host_table
            .hosts
            .get(&machine)
            .is_some_and(|host| host.state == MachineState::Ready || !host.running.is_empty());
        if is_checked_again {
            self.schedule_host_check(now, machine);
        }
    }

    /// Whether a host was silent for so long that its tasks have failed.
    fn has_failed(&self, now: Micros, machine: MachineId) -> bool {
        let Some(host) = self.host_table.hosts.get(&machine) else {
            return false;
        };
        let silence = now.saturating_sub(host.last_sign_of_life);
        if host.is_identity_unverified || self.is_partitioned() {
            silence >= PARTITION_TIMEOUT
        } else {
            silence >= UNREACHABLE_TIMEOUT || host.failed_connects >= MAX_FAILED_CONNECTS
        }
    }
}
