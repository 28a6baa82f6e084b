//! The handover of running tasks, by owners whose tasks another process of this placer has placed.

use maplethread::{Event, MachineId, Micros, Task, TaskId};
use maplethread_engine::Decide;
use maplethread_platform_wire::SetupId;
use maplethread_platform_wire::owner::Setup;

use super::Engine;
use super::early_results::EarlyResult;
use super::output::OwnerId;
use super::release_table::{Release, ReleasedTask};
use super::requests::build_task;
use super::task_table::TaskEntry;

impl<D: Decide> Engine<D> {
    /// Takes over a task that already runs on a host.
    pub(super) fn adopt_running_task(&mut self, now: Micros, owner: OwnerId, setup: Box<Setup>) {
        let id = setup.id;
        let (Some(class), Some(host)) = (self.class_index(&setup), &setup.running_on) else {
            tracing::debug!(%id, "running task ignored: unknown class or missing idempotency key");
            return self.record_invalid_message(owner);
        };
        let Some(owner_entry) = self.owners.get_mut(&owner) else {
            return;
        };
        owner_entry.has_sent_valid_message = true;
        let owner_address = owner_entry.evidence.address();
        if let Some(task) = self.tasks.id_by_setup(id) {
            return self.repeat_handover(now, owner, task, host);
        }
        if self.repeat_release(now, owner, id) || !self.has_room_for_handover(id) {
            return;
        }
        // The task's result may have arrived before the handover: from its host, which sends it on the first connection to
        // this process, or from its owner, on any connection.
        let early_result = self.early_results.take(now, id);
        let machine = self.host_table.id_or_insert(host, now);
        if let Some(EarlyResult::ReportedByHost(reporter, cause)) = early_result
            && reporter == machine
        {
            self.record_verified_owner(now, owner);
            let released = ReleasedTask {
                cause,
                was_confirmed: true,
            };
            self.released_tasks.insert(now, id, released);
            let release = Release {
                id,
                cause,
                owner_address,
            };
            return self.notify_release(now, owner, release);
        }
        self.tasks.record_name(now, &setup.task_name);
        let entry = TaskEntry::running(id, owner, owner_address, machine, now);
        let task = build_task(class, &setup, now);
        self.insert_running_task(now, entry, task, machine);
        if let Some(EarlyResult::ClosedByOwner(cause)) = early_result {
            self.handle_owner_close(now, owner, id, cause);
        }
    }

    /// Handles the handover of a task that is in the table. The owner of a running task names the connection on which it can
    /// be reached; the one of before may have ended without this process having noticed.
    fn repeat_handover(&mut self, now: Micros, owner: OwnerId, task: TaskId, host: &str) {
        let machine = self.host_table.id(host);
        let Some(address) = self
            .owners
            .get(&owner)
            .map(|owner| owner.evidence.address())
        else {
            return;
        };
        let Some(entry) = self.tasks.get_mut(task) else {
            return;
        };
        let Some(placement) = entry.placement else {
            return;
        };
        if entry.owner != owner {
            entry.earlier_owner = Some(std::mem::replace(&mut entry.owner, owner));
            entry.owner_address = address;
        }
        let named = machine.map(|machine| self.host_table.successor(machine).unwrap_or(machine));
        let is_right_host = named == Some(placement.machine);
        if is_right_host && placement.is_confirmed {
            // Only owners know the ids and hosts of running tasks.
            self.record_verified_owner(now, owner);
        } else if let Some(machine) = machine {
            self.record_handover(now, owner, machine);
        }
    }

    /// Whether the table has room for a task that is handed over.
    fn has_room_for_handover(&self, id: SetupId) -> bool {
        let is_full = self.tasks.len() >= self.limits.max_tasks
            || self.tasks.unconfirmed_count() >= self.limits.max_unconfirmed_tasks;
        if is_full {
            tracing::debug!(%id, "running task ignored: the task table is full");
        }
        !is_full
    }

    fn insert_running_task(
        &mut self,
        now: Micros,
        entry: TaskEntry,
        task: Task,
        machine: MachineId,
    ) {
        let owner = entry.owner;
        let id = self.tasks.insert(entry);
        let task = Task { id, ..task };
        self.policy_events
            .push(Event::TaskAdopted { task, machine });
        self.record_running_task(now, id, machine);
        self.record_handover(now, owner, machine);
    }
}
