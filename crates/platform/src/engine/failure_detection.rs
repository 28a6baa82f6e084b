//! Hosts that say nothing. A machine that is gone and one that is cut off look alike, and what stands on the second runs
//! on. What tells them apart is the old connection: it goes on where the process is the same, and breaks where it is not.
//! So a connection that fails its test is kept while tasks stand on its host, and the decisions are told that the host
//! has no connection, so that nothing is offered there until it has.

use maplethread::{AttemptOutcome, Event, MachineId, MachineState, Micros, TaskId};
use maplethread_engine::Decide;
use maplethread_platform_wire::host::ToHost;

use super::connections::{IDLE_PROBE_INTERVAL, PROBE_ID};
use super::{ConnectionId, Engine, Timer};

/// A host that could not be reached for so long has lost its tasks.
const UNREACHABLE_TIMEOUT: Micros = 3_000_000;
/// So has one that was silent and to which so many new connections on end did not come up in the settings' connect
/// time: a process that stands still is still connected to, and each second more that its tasks' owners are not told
/// is a second that the tasks don't run.
const MAX_FAILED_CONNECTS: u32 = 3;
/// Machines fail one by one: where this many hosts with tasks, and this part of all such, are out of reach together,
/// the network between is the likelier cause, and their tasks run on...
const PARTITION_MIN_HOSTS: usize = 3;
const PARTITION_MIN_FRACTION: usize = 10;
/// ...so they are given up only as late as PROTOCOL allows, which has the owners of what is over told within 8 s. All
/// placers see such a cut at once: told early, they would start anew, on what is left of the fleet, all that runs.
const PARTITION_TIMEOUT: Micros = 7_000_000;

impl<D: Decide> Engine<D> {
    /// An answer is due on a connection: if nothing at all comes on it in the settings' connect time, it is tested, not
    /// only when the attempt's time is over. A host tells what ended on the connection that the task came on, and owners
    /// are owed that within 1 s (PROTOCOL), so a connection that is of no further use has to be found out earlier.
    pub(super) fn expect_answer(&mut self, now: Micros, id: ConnectionId) {
        let due = now + self.settings.connect_timeout;
        if self
            .connections
            .get(&id)
            .is_some_and(|l| l.is_established && !l.is_probe_pending && l.next_check > due)
        {
            self.schedule_connection_check(id, due);
        }
    }

    /// A connection was not made in time, or failed its test.
    pub(super) fn handle_unanswered_connection(&mut self, now: Micros, id: ConnectionId) {
        let Some(link) = self.connections.get_mut(&id) else {
            return;
        };
        let (machine, up, was_silent) = (link.machine, link.is_established, link.is_unresponsive);
        let Some(host) = self.host_table.hosts.get_mut(&machine) else {
            return;
        };
        // What is gone from the list is waited for no longer.
        let gone = host.state == MachineState::Gone;
        let kept = up && !gone && !host.running.is_empty();
        host.failed_connects += u32::from(!up);
        if kept {
            link.is_unresponsive = true;
            let attempts: Vec<TaskId> = link.attempts.iter().copied().collect();
            self.schedule_connection_check(id, now + IDLE_PROBE_INTERVAL);
            for task in attempts {
                self.abandon_attempt(task, AttemptOutcome::Disconnected, false);
            }
            if was_silent {
                // The first test may be lost with a process that is gone: its successor breaks the connection at this one.
                self.send_to_host(id, &ToHost::Probe(PROBE_ID));
            }
        }
        if !gone {
            self.mark_unreachable(machine);
        }
        if !kept {
            self.close_connection(now, id);
        } else if !was_silent {
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

    /// A new connection to a host is made.
    pub(super) fn record_host_connected(&mut self, now: Micros, machine: MachineId) {
        let Some(host) = self.host_table.hosts.get_mut(&machine) else {
            return;
        };
        host.was_connected = true;
        if host.failed_connects > 0 && !host.running.is_empty() {
            // It was out of reach: its process may be another one now.
            host.is_identity_unverified = true;
        } else if !host.is_identity_unverified {
            // At most a connection was at fault, and its successor is made.
            host.record_sign_of_life(now);
            self.close_unresponsive_connections(now, machine);
        }
        self.mark_reachable(machine);
    }

    /// A host said something on a connection.
    pub(super) fn record_host_message(
        &mut self,
        now: Micros,
        id: ConnectionId,
        machine: MachineId,
    ) {
        let Some(link) = self.connections.get_mut(&id) else {
            return;
        };
        // A connection that goes on where it stopped leads to the process of before.
        let same = std::mem::take(&mut link.is_unresponsive);
        if same {
            self.schedule_connection_check(id, now + IDLE_PROBE_INTERVAL);
        }
        if let Some(host) = self
            .host_table
            .hosts
            .get_mut(&machine)
            .filter(|h| same || !h.is_identity_unverified)
        {
            host.record_sign_of_life(now);
        }
        if same {
            tracing::debug!(
                host = self.host_table.name(machine),
                link = id.0,
                "a silent connection goes on"
            );
            self.close_unresponsive_connections(now, machine);
        }
        self.mark_reachable(machine);
    }

    /// A host speaks of a task that stands there since then: if that was before it fell silent, its process is the same.
    pub(super) fn confirm_same_process(&mut self, now: Micros, machine: MachineId, since: Micros) {
        let Some(host) = self
            .host_table
            .hosts
            .get_mut(&machine)
            .filter(|h| h.is_identity_unverified && since <= h.last_sign_of_life)
        else {
            return;
        };
        host.record_sign_of_life(now);
        self.close_unresponsive_connections(now, machine);
    }

    /// Silent connections have told what they were kept for.
    fn close_unresponsive_connections(&mut self, now: Micros, machine: MachineId) {
        let Some(host) = self.host_table.hosts.get(&machine) else {
            return;
        };
        let links: Vec<ConnectionId> = host.connections.iter().copied().collect();
        for id in links {
            if self
                .connections
                .get_mut(&id)
                .is_some_and(|l| std::mem::take(&mut l.is_unresponsive))
            {
                self.close_connection(now, id);
            }
        }
    }

    /// Whether so many hosts are out of reach together that it is rather the network than they.
    fn is_partitioned(&self) -> bool {
        let holding = || {
            self.host_table
                .hosts
                .values()
                .filter(|h| !h.running.is_empty())
        };
        let cut = holding().filter(|h| h.is_unreachable).count();
        cut >= PARTITION_MIN_HOSTS && cut * PARTITION_MIN_FRACTION >= holding().count()
    }

    fn reconnect(&mut self, now: Micros, machine: MachineId) {
        let Some(host) = self.host_table.hosts.get(&machine) else {
            return;
        };
        let waits = host
            .connections
            .iter()
            .any(|id| self.connections.get(id).is_some_and(|l| !l.is_unresponsive));
        let needed =
            !host.running.is_empty() || (host.is_unreachable && host.state == MachineState::Ready);
        if needed && !waits {
            self.open_connection(now, machine);
        }
    }

    /// Has a host that holds tasks, or is out of reach, looked at.
    pub(super) fn schedule_host_check(&mut self, now: Micros, machine: MachineId) {
        let Some(host) = self.host_table.hosts.get_mut(&machine) else {
            return;
        };
        if std::mem::replace(&mut host.is_check_scheduled, true) {
            return;
        }
        // Nobody waits for a host without tasks, and many are tried less often, together no oftener than a few.
        let seldom = host.running.is_empty() || self.is_partitioned();
        let again = if seldom {
            IDLE_PROBE_INTERVAL
        } else {
            self.settings.connect_timeout
        };
        self.timers.schedule(now + again, Timer::HostCheck(machine));
    }

    /// A look at a host with standing tasks, or out of reach, and no connection that answers.
    pub(super) fn check_host(&mut self, now: Micros, machine: MachineId) {
        let Some(host) = self.host_table.hosts.get_mut(&machine) else {
            return;
        };
        host.is_check_scheduled = false;
        let up = host.connections.iter().any(|id| {
            self.connections
                .get(id)
                .is_some_and(|l| l.is_established && !l.is_unresponsive)
        });
        let (standing, quiet) = (
            !host.running.is_empty(),
            now.saturating_sub(host.last_sign_of_life),
        );
        if up && !(standing && host.is_identity_unverified) || !standing && !host.is_unreachable {
            return;
        }
        let (unsure, unreached, heard) = (
            host.is_identity_unverified,
            host.failed_connects,
            host.last_sign_of_life,
        );
        // All hosts are gone through only for one with tasks.
        let over = || match unsure || self.is_partitioned() {
            true => quiet >= PARTITION_TIMEOUT,
            false => quiet >= UNREACHABLE_TIMEOUT || unreached >= MAX_FAILED_CONNECTS,
        };
        if standing && over() {
            self.fail_running_tasks(now, machine, |since| since <= heard);
            if let Some(host) = self.host_table.hosts.get_mut(&machine) {
                host.is_identity_unverified = false;
            }
            self.close_unresponsive_connections(now, machine);
        }
        self.reconnect(now, machine);
        if self
            .host_table
            .hosts
            .get(&machine)
            .is_some_and(|h| h.state == MachineState::Ready || !h.running.is_empty())
        {
            self.schedule_host_check(now, machine);
        }
    }
}
