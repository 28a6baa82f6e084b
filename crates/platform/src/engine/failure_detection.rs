//! Detection of failed hosts. A failed machine does not answer, and neither does one behind a network partition, but the
//! tasks of the latter continue. The old connection distinguishes the two cases later: it resumes if the host's process is
//! still the same, and breaks if it is not. So a connection whose probe fails is kept open while tasks run on its host. The
//! policy gets an event that the host is disconnected, and makes it no offers until it is connected again.

use maplethread::{AttemptOutcome, Event, MachineId, MachineState, Micros, TaskId};
use maplethread_engine::Decide;

use super::Engine;
use super::connections::IDLE_PROBE_INTERVAL;
use super::host_table::Host;
use super::output::ConnectionId;
use super::timer::Timer;

/// The tasks of a host that has been unreachable for this time have failed.
const UNREACHABLE_TIMEOUT: Micros = 3_000_000;
/// The tasks that were handed over on a host that is not listed have failed after this time: the host list would have to
/// be later than that. The platform's acceptance test wants faulty clients to hear of it within 3 s.
const UNLISTED_TIMEOUT: Micros = 2_500_000;
/// The interval of the checks of a host that is not listed.
const UNLISTED_CHECK_INTERVAL: Micros = 250_000;
/// The tasks of an unreachable host have also failed after this many consecutive connects that did not complete within the
/// connect timeout of the settings. A paused process still accepts connections, so such connects mean that the machine is
/// down and its tasks do not run, and their owners should be notified early.
const MAX_FAILED_CONNECTS: u32 = 3;
/// Machines usually fail independently. A network partition is assumed if at least this many hosts with running tasks are
/// unreachable at the same time, and at least one in `PARTITION_FRACTION_DIVISOR` of all hosts with running tasks. The tasks
/// of partitioned hosts continue to run.
const PARTITION_MIN_HOSTS: usize = 3;
/// See `PARTITION_MIN_HOSTS`.
const PARTITION_FRACTION_DIVISOR: usize = 10;
/// The tasks of partitioned hosts are declared failed only after this time. The platform protocol requires that the owners
/// of failed tasks are notified within 8 s. A partition affects all placers at once: with a short timeout they would start
/// all of these tasks again on the remaining hosts.
const PARTITION_TIMEOUT: Micros = 7_000_000;
/// An unresponsive connection is closed after this many unanswered probes while the host answered on another connection.
const MAX_MISSED_PROBES: u32 = 2;

impl<D: Decide> Engine<D> {
    /// Schedules a probe of a connection on which an answer is expected, in case nothing arrives on it within the connect
    /// timeout of the settings.
    /// A host sends the release of a task on the connection on which the task was placed, and the platform protocol requires
    /// that owners receive releases within 1 s, so a dead connection has to be detected before the attempt times out.
    pub(super) fn schedule_probe_if_unanswered(&mut self, now: Micros, id: ConnectionId) {
        let answer_due = now + self.settings.connect_timeout;
        let is_next_check_later = self.connections.get(&id).is_some_and(|connection| {
            connection.is_established
                && !connection.is_probe_pending
                && connection.next_check > answer_due
        });
        if is_next_check_later {
            self.schedule_connection_check(id, answer_due);
        }
    }

    /// Handles a connection that was not established in time, or whose probe was not answered.
    pub(super) fn handle_connection_timeout(&mut self, now: Micros, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let machine = connection.machine;
        let was_unresponsive = connection.is_unresponsive;
        let Some(host) = self.host_table.hosts.get_mut(&machine) else {
            return;
        };
        host.failed_connects += u32::from(!connection.is_established);
        // Hosts that were removed from the list are not expected to return.
        let is_gone = host.state == MachineState::Gone;
        // A connection on which nothing was received shows nothing about the process that runs the tasks.
        let is_kept = connection.is_established
            && connection.has_received
            && !is_gone
            && !host.running.is_empty()
            && connection.missed_probes < MAX_MISSED_PROBES;
        if is_kept {
            connection.is_unresponsive = true;
            let attempts: Vec<TaskId> = connection.attempts.iter().copied().collect();
            self.schedule_connection_check(id, now + IDLE_PROBE_INTERVAL);
            for task in attempts {
                self.abandon_attempt(task, AttemptOutcome::Disconnected, false);
            }
            if was_unresponsive {
                self.count_missed_probe(now, id, machine);
                // The first probe may have been lost when the host's process terminated. If a new process runs there now,
                // the connection breaks when this probe arrives.
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

    /// Counts an unanswered probe on an unresponsive connection if the host has answered on another one meanwhile.
    fn count_missed_probe(&mut self, now: Micros, id: ConnectionId, machine: MachineId) {
        let answers_elsewhere = self.responsive_connections(machine).any(|(_, connection)| {
            connection.has_received && connection.last_received + IDLE_PROBE_INTERVAL > now
        });
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.missed_probes += u32::from(answers_elsewhere);
        }
    }

    pub(super) fn mark_unreachable(&mut self, machine: MachineId) {
        if let Some(host) = self.host_table.hosts.get_mut(&machine)
            && !std::mem::replace(&mut host.is_unreachable, true)
        {
            self.policy_events.push(Event::ConnectionChanged {
                machine,
                is_connected: false,
            });
        }
    }

    pub(super) fn mark_reachable(&mut self, machine: MachineId) {
        if let Some(host) = self.host_table.hosts.get_mut(&machine)
            && std::mem::take(&mut host.is_unreachable)
        {
            self.policy_events.push(Event::ConnectionChanged {
                machine,
                is_connected: true,
            });
        }
    }

    /// Marks a host as reachable that a connection has reached, unless the process there is that of its successor.
    fn mark_reachable_unless_replaced(&mut self, machine: MachineId) {
        if self.host_table.successor(machine).is_none() {
            self.mark_reachable(machine);
        }
    }

    /// Updates a host to which a new connection was established.
    pub(super) fn record_host_connected(&mut self, now: Micros, machine: MachineId) {
        let Some(host) = self.host_table.hosts.get_mut(&machine) else {
            return;
        };
        host.was_connected = true;
        if host.failed_connects > 0 && !host.running.is_empty() {
            // The host was unreachable, so its process may have been replaced.
            host.is_identity_unverified = true;
        } else if !host.is_identity_unverified {
            // No connect to the host has failed, so the machine is not down. Whether its process is still the same is not
            // known yet.
            host.record_alive(now);
        }
        self.mark_reachable_unless_replaced(machine);
    }

    /// Updates a host that sent a message on a connection.
    pub(super) fn record_host_message(
        &mut self,
        now: Micros,
        id: ConnectionId,
        machine: MachineId,
    ) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        // A connection that resumes shows that the host's process is still the same.
        let has_resumed = std::mem::take(&mut connection.is_unresponsive);
        connection.missed_probes = 0;
        if has_resumed {
            self.schedule_connection_check(id, now + IDLE_PROBE_INTERVAL);
        }
        if let Some(host) = self
            .host_table
            .hosts
            .get_mut(&machine)
            .filter(|host| has_resumed || !host.is_identity_unverified)
        {
            host.record_alive(now);
        }
        if has_resumed {
            tracing::debug!(
                host = self.host_table.name(machine),
                connection = id.0,
                "connection resumed"
            );
        }
        self.record_process_alive(now, id, machine);
        self.mark_reachable_unless_replaced(machine);
    }

    /// Handles a report on a task that has been running since `since`. If the task started before the host became
    /// unreachable, the report shows that the host's process is still the same.
    pub(super) fn confirm_same_process(&mut self, now: Micros, machine: MachineId, since: Micros) {
        let Some(host) = self
            .host_table
            .hosts
            .get_mut(&machine)
            .filter(|host| host.is_identity_unverified && since <= host.last_alive)
        else {
            return;
        };
        host.record_alive(now);
    }

    /// Closes the unresponsive connections of a host. They were kept open to find out whether its process is still the same,
    /// and are no longer needed for that.
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

    /// Whether so many hosts are unreachable at the same time that a network partition is the most likely cause.
    fn is_partitioned(&self) -> bool {
        let (mut with_tasks, mut unreachable) = (0, 0);
        for host in self.host_table.hosts.values() {
            if !host.running.is_empty() && host.address.is_some() {
                with_tasks += 1;
                unreachable += usize::from(host.is_unreachable);
            }
        }
        unreachable >= PARTITION_MIN_HOSTS && unreachable * PARTITION_FRACTION_DIVISOR >= with_tasks
    }

    /// Opens a connection to a host that needs one and has none that is responsive.
    fn reconnect(&mut self, now: Micros, machine: MachineId) {
        let Some(host) = self.host_table.hosts.get(&machine) else {
            return;
        };
        let is_needed =
            !host.running.is_empty() || (host.is_unreachable && host.state == MachineState::Ready);
        let has_usable_connection = host.connections.iter().any(|id| {
            self.connections
                .get(id)
                .is_some_and(|connection| !connection.is_unresponsive)
        });
        if is_needed && !has_usable_connection {
            self.open_connection(now, machine);
        }
    }

    /// Schedules a check of a host that runs tasks or is unreachable, unless one is already scheduled.
    pub(super) fn schedule_host_check(&mut self, now: Micros, machine: MachineId) {
        let Some(host) = self.host_table.hosts.get_mut(&machine) else {
            return;
        };
        if std::mem::replace(&mut host.is_check_scheduled, true) {
            return;
        }
        // A host without tasks is checked less often, as no owner depends on it. So are the hosts of a partition, which are
        // many: each check may open a connection.
        let interval = if host.address.is_none() {
            UNLISTED_CHECK_INTERVAL
        } else if host.running.is_empty() || self.is_partitioned() {
            IDLE_PROBE_INTERVAL
        } else {
            self.settings.connect_timeout
        };
        self.timers
            .schedule(now + interval, Timer::HostCheck(machine));
    }

    /// Checks a host that runs tasks or is unreachable, fails its tasks if they count as failed, and reconnects.
    pub(super) fn check_host(&mut self, now: Micros, machine: MachineId) {
        let Some(host) = self.host_table.hosts.get_mut(&machine) else {
            return;
        };
        host.is_check_scheduled = false;
        let has_running_tasks = !host.running.is_empty();
        let is_verified = !(has_running_tasks && host.is_identity_unverified);
        let needs_no_check = !has_running_tasks && !host.is_unreachable;
        let is_connected_and_verified =
            is_verified && self.responsive_connections(machine).next().is_some();
        if is_connected_and_verified || needs_no_check {
            return;
        }
        if has_running_tasks && self.has_failed(now, machine) {
            self.fail_unreachable_tasks(now, machine);
            if let Some(host) = self.host_table.hosts.get_mut(&machine) {
                host.is_identity_unverified = false;
            }
            self.close_unresponsive_connections(now, machine);
        }
        self.reconnect(now, machine);
        let needs_next_check = self
            .host_table
            .hosts
            .get(&machine)
            .is_some_and(|host| host.state == MachineState::Ready || !host.running.is_empty());
        if needs_next_check {
            self.schedule_host_check(now, machine);
        }
    }

    /// Fails the tasks of an unreachable host, except those on a process that is still connected and those that were handed
    /// over only recently.
    fn fail_unreachable_tasks(&mut self, now: Micros, machine: MachineId) {
        let Some(host) = self.host_table.hosts.get(&machine) else {
            return;
        };
        let last_alive = host.last_alive;
        let timeout = self.failure_timeout(host);
        let process_start = self.earliest_process_start(machine).unwrap_or(Micros::MAX);
        self.fail_running_tasks(now, machine, |placement| {
            let is_overdue = placement.since <= last_alive || placement.since + timeout <= now;
            is_overdue && !placement.is_of_process_since(process_start)
        });
    }

    /// How long a host may be inactive before its tasks count as failed.
    fn failure_timeout(&self, host: &Host) -> Micros {
        // Owners choose the names of hosts that are not listed. There may be thousands, too many to look for a partition each
        // time.
        if host.address.is_none() {
            UNLISTED_TIMEOUT
        } else if host.is_identity_unverified || self.is_partitioned() {
            PARTITION_TIMEOUT
        } else {
            UNREACHABLE_TIMEOUT
        }
    }

    /// Whether the tasks of an inactive host count as failed: the timeout that applies to the host is over, or too many
    /// connects to it have failed.
    fn has_failed(&self, now: Micros, machine: MachineId) -> bool {
        let Some(host) = self.host_table.hosts.get(&machine) else {
            return false;
        };
        let timeout = self.failure_timeout(host);
        let is_timed_out = now.saturating_sub(host.last_alive) >= timeout;
        let is_down = timeout == UNREACHABLE_TIMEOUT && host.failed_connects >= MAX_FAILED_CONNECTS;
        is_timed_out || is_down
    }
}
