//! Whether the process at a host's address is still the one that runs the host's tasks. A new process may take over the
//! address of one that has terminated, under the name of another host, and the host list reports that late and in any order.
//! A connection that can be established does not show which process has accepted it. What does is a message on a connection
//! that overlaps the lifetime of the earlier one ([`ProcessInterval`](super::process_interval::ProcessInterval)), or a
//! message about a task that was running before.

use maplethread::{MachineId, MachineState, Micros, TaskId};
use maplethread_engine::Decide;

use super::Engine;
use super::output::ConnectionId;
use super::task_table::Placement;

impl<D: Decide> Engine<D> {
    /// Records a message on a connection: its process still runs. If that is the process that runs the tasks of the host, so
    /// do they.
    pub(super) fn record_process_alive(
        &mut self,
        now: Micros,
        id: ConnectionId,
        machine: MachineId,
    ) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.process.extend(now);
        let mut process = connection.process;
        let Some(host) = self.host_table.hosts.get(&machine) else {
            return;
        };
        let is_same_process = process.overlaps(&host.process);
        if is_same_process {
            process.merge(&host.process);
        } else if self.has_tasks_of_earlier_process(machine, process.since) {
            return;
        }
        if let Some(host) = self.host_table.hosts.get_mut(&machine) {
            host.process = process;
        }
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.process = process;
        }
    }

    /// Records a message about a task that has been running since `since`: the process on the connection has run since then.
    pub(super) fn record_task_known(
        &mut self,
        now: Micros,
        id: ConnectionId,
        machine: MachineId,
        since: Micros,
    ) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.process.extend(since);
            self.record_process_alive(now, id, machine);
        }
    }

    fn has_tasks_of_earlier_process(&self, machine: MachineId, process_start: Micros) -> bool {
        self.running_tasks_of(machine)
            .any(|(_, placement)| !placement.is_of_process_since(process_start))
    }

    /// The tasks that run on a host.
    pub(super) fn running_tasks_of(
        &self,
        machine: MachineId,
    ) -> impl Iterator<Item = (TaskId, Placement)> + '_ {
        let host = self.host_table.hosts.get(&machine);
        host.into_iter()
            .flat_map(|host| host.running.iter().copied())
            .filter_map(|task| {
                let placement = self.tasks.get(task)?.placement?;
                Some((task, placement))
            })
    }

    /// Since when the processes on the responsive connections of a host have run, at the earliest. None without any.
    pub(super) fn earliest_process_start(&self, machine: MachineId) -> Option<Micros> {
        self.responsive_connections(machine)
            .map(|(_, connection)| connection.process.since)
            .min()
    }

    /// Fails the tasks of a host that are from before the processes on its responsive connections: nothing shows that they
    /// still run.
    pub(super) fn fail_tasks_of_earlier_process(&mut self, now: Micros, machine: MachineId) {
        let process_start = self.earliest_process_start(machine);
        self.fail_running_tasks(now, machine, |placement| {
            process_start.is_none_or(|start| !placement.is_of_process_since(start))
        });
    }

    /// Whether no process of this host can be at its address any more: the host is gone, or another host has taken over the
    /// address.
    pub(super) fn is_removed_or_replaced(&self, machine: MachineId) -> bool {
        let host = self.host_table.hosts.get(&machine);
        host.is_none_or(|host| host.state == MachineState::Gone)
            || self.host_table.successor(machine).is_some()
    }

    /// Moves a connection of a host that was replaced to its successor, with the tasks of the process on the connection. The
    /// connection was opened, or the tasks were started, before the host list reported the replacement.
    pub(super) fn move_to_successor(&mut self, id: ConnectionId, successor: MachineId) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let machine = std::mem::replace(&mut connection.machine, successor);
        let process = connection.process;
        let moved: Vec<TaskId> = self
            .running_tasks_of(machine)
            .filter(|(_, placement)| placement.is_of_process_since(process.since))
            .map(|(task, _)| task)
            .collect();
        tracing::debug!(
            host = self.host_table.name(machine),
            successor = self.host_table.name(successor),
            tasks = moved.len(),
            "connection moved to the successor of its host"
        );
        if let Some(host) = self.host_table.hosts.get_mut(&machine) {
            host.connections.remove(&id);
            host.running.retain(|task| !moved.contains(task));
        }
        if let Some(host) = self.host_table.hosts.get_mut(&successor) {
            if host.running.is_empty() {
                host.process = process;
            } else {
                host.process.merge(&process);
            }
            host.was_connected = true;
            host.connections.insert(id);
            host.running.extend(&moved);
        }
        for task in moved {
            if let Some(placement) = self
                .tasks
                .get_mut(task)
                .and_then(|entry| entry.placement.as_mut())
            {
                placement.machine = successor;
            }
        }
    }
}
