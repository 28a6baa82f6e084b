//! Tasks that run on hosts, from their placement to their end.

use maplethread::{AttemptOutcome, FailureReason, MachineId, MachineState, Micros, TaskId};
use maplethread_engine::Decide;
use maplethread_platform_wire::host::ToHost;
use maplethread_platform_wire::{Cause, SetupId};

use super::Engine;
use super::host_table::HostChange;
use super::output::{ConnectionId, OwnerId};
use super::process_interval::ProcessInterval;
use super::release_table::Release;
use super::task_table::Placement;

/// A task that was running, with what its end has to be reported with.
pub(super) struct EndedTask {
    pub(super) placement: Placement,
    /// The connection on which the task was requested, or last handed over.
    pub(super) owner: OwnerId,
    /// Another connection, on which it was requested or handed over before.
    pub(super) earlier_owner: Option<OwnerId>,
    pub(super) release: Release,
}

impl<D: Decide> Engine<D> {
    /// Records a task that runs on a host, and opens a connection on which the host can release it if there is none.
    pub(super) fn record_running_task(&mut self, now: Micros, task: TaskId, machine: MachineId) {
        let Some(host) = self.host_table.hosts.get_mut(&machine) else {
            return;
        };
        if host.running.is_empty() {
            host.record_alive(now);
            host.process = ProcessInterval::at(now);
        }
        host.running.insert(task);
        if host.connections.is_empty() {
            self.open_connection(now, machine);
            self.schedule_host_check(now, machine);
        }
    }

    /// Ends a running task whose end was reported by its host or inferred from the host's failure. The owner gets a release,
    /// unless the owner closed the task or the task was cancelled for a relocation.
    pub(super) fn finish_running_task(
        &mut self,
        now: Micros,
        task: TaskId,
        outcome: AttemptOutcome,
        reason: Option<FailureReason>,
        cause: Cause,
    ) {
        let Some(ended) = self.take_running_task(task, cause) else {
            return;
        };
        let EndedTask {
            placement,
            owner,
            earlier_owner,
            release,
        } = ended;
        if placement.is_confirmed {
            self.possibly_run.insert(now, release.id, ());
        }
        self.push_attempt_finished(placement.attempt(task), outcome, reason, true);
        if placement.close_cause.is_none() && outcome != AttemptOutcome::Cancelled {
            if release.was_confirmed {
                self.released_tasks.insert(now, release.id, cause);
            }
            self.notify_release(now, owner, release);
            if let Some(earlier_owner) = earlier_owner {
                self.send_release(earlier_owner, release);
            }
        }
        self.tasks.remove_if_finished(task);
    }

    /// Takes a running task from its host. The caller reports its end, and removes it from the table.
    pub(super) fn take_running_task(&mut self, task: TaskId, cause: Cause) -> Option<EndedTask> {
        let placement = self.tasks.take_placement(task)?;
        let entry = self.tasks.get(task)?;
        let ended = EndedTask {
            placement,
            owner: entry.owner,
            earlier_owner: entry.earlier_owner,
            release: Release {
                id: entry.setup_id,
                cause,
                owner_address: entry.owner_address,
                was_confirmed: placement.is_confirmed,
            },
        };
        if let Some(host) = self.host_table.hosts.get_mut(&placement.machine) {
            host.running.remove(&task);
        }
        self.host_table.remove_unlisted_host(placement.machine);
        Some(ended)
    }

    /// Fails those tasks of a host for which `is_lost` returns true.
    pub(super) fn fail_running_tasks(
        &mut self,
        now: Micros,
        machine: MachineId,
        is_lost: impl Fn(&Placement) -> bool,
    ) {
        let lost: Vec<TaskId> = self
            .running_tasks_of(machine)
            .filter(|(_, placement)| is_lost(placement))
            .map(|(task, _)| task)
            .collect();
        if !lost.is_empty() {
            tracing::debug!(
                host = self.host_table.name(machine),
                tasks = lost.len(),
                "running tasks lost"
            );
        }
        for task in lost {
            self.finish_running_task(now, task, AttemptOutcome::Disconnected, None, Cause::RESET);
        }
    }

    /// Closes a running task at its host. If the connection is still being opened, the close is sent once it is
    /// established, with all others that the host has not confirmed.
    pub(super) fn close_at_host(
        &mut self,
        now: Micros,
        machine: MachineId,
        id: SetupId,
        cause: Cause,
    ) {
        let Some(connection) = self.select_connection(now, machine, &[]) else {
            return;
        };
        if self
            .connections
            .get(&connection)
            .is_some_and(|connection| connection.is_established)
        {
            self.send_to_host(connection, &ToHost::Close { id, cause });
        }
    }

    /// Repeats on a new connection the closes of tasks that the host has not released yet. The first close may have been
    /// lost with its connection, and closing a task twice has no effect.
    pub(super) fn repeat_unconfirmed_closes(
        &mut self,
        connection: ConnectionId,
        machine: MachineId,
    ) {
        let closes: Vec<ToHost> = self
            .host_table
            .hosts
            .get(&machine)
            .into_iter()
            .flat_map(|host| &host.running)
            .filter_map(|&task| {
                let entry = self.tasks.get(task)?;
                Some(ToHost::Close {
                    id: entry.setup_id,
                    cause: entry.placement?.close_cause?,
                })
            })
            .collect();
        for close in &closes {
            self.send_to_host(connection, close);
        }
    }

    /// Applies a change of a host's list entry: attempts that were to be sent to an earlier process are cancelled, and the
    /// tasks of an earlier process are failed.
    pub(super) fn apply_host_change(&mut self, now: Micros, change: HostChange) {
        let machine = change.machine;
        let Some(host) = self.host_table.hosts.get(&machine) else {
            return;
        };
        let (state, started_at) = (host.state, host.started_at);
        let connections: Vec<ConnectionId> = host.connections.iter().copied().collect();
        self.cancel_unsent_attempts(&connections);
        if let Some(started_at) = started_at {
            self.fail_running_tasks(now, machine, |placement| {
                placement.since < started_at || change.is_restarted && !placement.is_confirmed
            });
        }
        if state == MachineState::Gone {
            self.mark_reachable(machine);
        } else if self.host_table.successor(machine).is_some() {
            self.mark_unreachable(machine);
            self.schedule_host_check(now, machine);
        }
        if self.is_removed_or_replaced(machine) {
            self.fail_tasks_of_earlier_process(now, machine);
        }
        if state != MachineState::Draining {
            // The machine of the earlier process may have stopped without closing its connections.
            for connection in connections {
                self.probe_connection(now, connection);
            }
        }
    }

    /// Cancels the attempts that wait for connections that are still being opened.
    fn cancel_unsent_attempts(&mut self, connections: &[ConnectionId]) {
        let waiting: Vec<TaskId> = connections
            .iter()
            .filter_map(|id| self.connections.get(id))
            .filter(|connection| !connection.is_established)
            .flat_map(|connection| connection.attempts.iter().copied())
            .collect();
        for task in waiting {
            self.abandon_attempt(task, AttemptOutcome::ConnectFailed, false);
        }
    }
}
