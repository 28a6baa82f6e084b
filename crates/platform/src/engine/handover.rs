//! The handover of running tasks, by owners whose tasks another process of this placer has placed.

use maplethread::{Event, MachineId, Micros, Task, TaskId};
use maplethread_engine::Decide;
use maplethread_platform_wire::Cause;
use maplethread_platform_wire::owner::{Setup, ToOwner};

use super::Engine;
use super::early_results::EarlyResult;
use super::output::{Output, OwnerId};
use super::release_table::Release;
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
        if self.repeat_release(now, owner, id) {
            return;
        }
        if !self.make_room_for_handover(owner) {
            tracing::debug!(%id, "running task released: the task table is full");
            let cause = Cause::RESET;
            return self
                .outputs
                .push(Output::SendToOwner(owner, ToOwner::Close { id, cause }));
        }
        // The task's result may have arrived before the handover: from its host, which sends it on the first connection to
        // this process, or from its owner, on any connection.
        let early_result = self.early_results.take(now, id);
        let machine = self.host_table.id_or_insert(host, now);
        if let Some(EarlyResult::ReportedByHost(reporter, cause)) = early_result
            && reporter == machine
        {
            self.record_verified_owner(now, owner);
            self.released_tasks.insert(now, id, cause);
            let release = Release {
                id,
                cause,
                owner_address,
                was_confirmed: true,
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
        let Some(placement) = self.tasks.get(task).and_then(|entry| entry.placement) else {
            return;
        };
        self.tasks.change_owner(task, owner, address);
        let named = machine.map(|machine| self.host_table.successor(machine).unwrap_or(machine));
        let is_right_host = named == Some(placement.machine);
        if is_right_host && placement.is_confirmed {
            // Only owners know the ids and hosts of running tasks.
            self.record_verified_owner(now, owner);
        } else if let Some(machine) = machine {
            self.record_handover(now, owner, machine);
        }
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
