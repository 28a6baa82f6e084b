//! The table of tasks that are pending, in flight or running.

use std::collections::{HashMap, HashSet, VecDeque};
use std::net::IpAddr;

use maplethread::{AttemptId, MachineId, Micros, TaskId};
use maplethread_engine::{TimerId, stable_hash};
use maplethread_platform_wire::owner::Setup;
use maplethread_platform_wire::{Cause, SetupId};

use super::output::{ConnectionId, OwnerId};
use super::owner_evidence::OwnerLikelihood;
use super::unconfirmed_tasks::UnconfirmedTasks;

/// How long task names are kept. This is longer than owners take to resubmit a task.
const NAME_RETENTION: Micros = 60_000_000;
/// The maximum number of task names kept.
const MAX_RECENT_NAMES: usize = 1 << 14;

/// An attempt that is in flight.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    /// The number of the attempt, from 0 for each task.
    pub(super) number: u32,
    pub(super) connection: ConnectionId,
    pub(super) offered_at: Micros,
    /// When the attempt times out.
    pub(super) deadline: Micros,
    pub(super) timeout_timer: TimerId,
    /// The set-up was sent on an established connection, so the task may have run.
    pub(super) was_sent: bool,
}

impl Attempt {
    /// The id of the attempt, given its task.
    pub(super) fn id(&self, task: TaskId) -> AttemptId {
        AttemptId {
            task,
            number: self.number,
        }
    }
}

/// Where a task runs.
#[derive(Clone, Copy, Debug)]
pub(super) struct Placement {
    /// The number of the attempt that placed the task.
    pub(super) number: u32,
    pub(super) machine: MachineId,
    pub(super) since: Micros,
    /// The cause with which the owner closed the task. The close is repeated until the host confirms it, and the owner gets
    /// no release.
    pub(super) close_cause: Option<Cause>,
    /// A host has confirmed the task: it accepted it, or reported on it after its handover.
    pub(super) is_confirmed: bool,
}

impl Placement {
    /// A placement on `machine`, from now on, by the attempt with this number.
    pub(super) fn new(machine: MachineId, number: u32, now: Micros) -> Placement {
        Placement {
            number,
            machine,
            since: now,
            close_cause: None,
            is_confirmed: true,
        }
    }

    /// Whether the task runs in the process that has run since `process_start`. A task that was handed over was started before
    /// that, maybe in an earlier process, until the host confirms it.
    pub(super) fn is_of_process_since(&self, process_start: Micros) -> bool {
        self.is_confirmed && self.since >= process_start
    }

    /// The id of the attempt that placed this task.
    pub(super) fn attempt(&self, task: TaskId) -> AttemptId {
        AttemptId {
            task,
            number: self.number,
        }
    }
}

/// The state of a task.
#[derive(Debug)]
pub(super) struct TaskEntry {
    /// The id of the task's set-up.
    pub(super) setup_id: SetupId,
    /// The set-up, until the task runs.
    pub(super) setup: Option<Box<Setup>>,
    /// The connection on which the task was requested, or last handed over.
    pub(super) owner: OwnerId,
    /// Another connection, on which the task was requested or handed over before. It may still be its owner's.
    pub(super) earlier_owner: Option<OwnerId>,
    /// The remote address of the owner's connection.
    pub(super) owner_address: IpAddr,
    /// The request has not been answered.
    pub(super) is_pending: bool,
    /// While the task is pending: the timer by which it is answered at the latest.
    pub(super) deadline_timer: Option<TimerId>,
    pub(super) attempt_count: u32,
    /// An attempt has ended without showing that the task did not run.
    pub(super) may_have_run: bool,
    pub(super) in_flight: Option<Attempt>,
    pub(super) placement: Option<Placement>,
    /// The connections on which the owner was asked to request another placement.
    pub(super) relocation_recipients: Vec<OwnerId>,
    /// While the task is pending: the connections of all its attempts so far, which further attempts must not use.
    pub(super) used_connections: Vec<ConnectionId>,
}

impl TaskEntry {
    /// A task that was requested and is not placed yet.
    pub(super) fn pending(setup: Box<Setup>, owner: OwnerId, owner_address: IpAddr) -> TaskEntry {
        TaskEntry {
            is_pending: true,
            ..TaskEntry::new(setup.id, Some(setup), owner, owner_address)
        }
    }

    /// A task that already runs, by the word of its owner. It was placed by attempt 0.
    pub(super) fn running(
        setup_id: SetupId,
        owner: OwnerId,
        owner_address: IpAddr,
        machine: MachineId,
        now: Micros,
    ) -> TaskEntry {
        TaskEntry {
            attempt_count: 1,
            placement: Some(Placement {
                is_confirmed: false,
                ..Placement::new(machine, 0, now)
            }),
            ..TaskEntry::new(setup_id, None, owner, owner_address)
        }
    }

    fn new(
        setup_id: SetupId,
        setup: Option<Box<Setup>>,
        owner: OwnerId,
        owner_address: IpAddr,
    ) -> TaskEntry {
        TaskEntry {
            setup_id,
            setup,
            owner,
            earlier_owner: None,
            owner_address,
            is_pending: false,
            deadline_timer: None,
            attempt_count: 0,
            may_have_run: false,
            in_flight: None,
            placement: None,
            relocation_recipients: Vec::new(),
            used_connections: Vec::new(),
        }
    }

    /// The bytes of the texts of the set-up, which its owner chooses.
    pub(super) fn setup_bytes(&self) -> usize {
        self.setup.as_deref().map_or(0, setup_bytes)
    }

    fn is_unconfirmed(&self) -> bool {
        self.placement
            .is_some_and(|placement| !placement.is_confirmed)
    }

    fn is_finished(&self) -> bool {
        !self.is_pending && self.in_flight.is_none() && self.placement.is_none()
    }
}

/// The bytes of the texts of a set-up.
pub(super) fn setup_bytes(setup: &Setup) -> usize {
    setup.description.len()
        + setup.class.len()
        + setup.task_name.len()
        + setup.idempotency_key.as_ref().map_or(0, String::len)
}

/// All tasks, by the policy's task id and by the id of the set-up.
#[derive(Default)]
pub(super) struct TaskTable {
    entries: HashMap<TaskId, TaskEntry>,
    by_setup_id: HashMap<SetupId, TaskId>,
    last_id: u64,
    pending_count: usize,
    unconfirmed: UnconfirmedTasks,
    /// The number of running tasks of each connection that hosts have confirmed.
    confirmed_by_owner: HashMap<OwnerId, usize>,
    setup_bytes: usize,
    recent_names: RecentNames,
}

impl TaskTable {
    pub(super) fn insert(&mut self, entry: TaskEntry) -> TaskId {
        self.last_id += 1;
        let id = TaskId(self.last_id);
        self.by_setup_id.insert(entry.setup_id, id);
        self.pending_count += usize::from(entry.is_pending);
        if entry.is_unconfirmed() {
            self.unconfirmed.insert(entry.owner, id);
        }
        self.setup_bytes += entry.setup_bytes();
        self.entries.insert(id, entry);
        id
    }

    pub(super) fn get(&self, id: TaskId) -> Option<&TaskEntry> {
        self.entries.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: TaskId) -> Option<&mut TaskEntry> {
        self.entries.get_mut(&id)
    }

    pub(super) fn id_by_setup(&self, id: SetupId) -> Option<TaskId> {
        self.by_setup_id.get(&id).copied()
    }

    /// Records the name of a task that is requested or handed over. Returns whether it was recorded recently.
    pub(super) fn record_name(&mut self, now: Micros, task_name: &str) -> bool {
        !self.recent_names.insert(now, task_name)
    }

    /// Marks a task as no longer pending. Returns whether it was pending.
    pub(super) fn clear_pending(&mut self, id: TaskId) -> bool {
        let was_pending = self
            .entries
            .get_mut(&id)
            .is_some_and(|entry| std::mem::take(&mut entry.is_pending));
        self.pending_count -= usize::from(was_pending);
        was_pending
    }

    /// Records that a host has confirmed a running task. Returns whether it had not before.
    pub(super) fn confirm(&mut self, id: TaskId) -> bool {
        let Some(entry) = self.entries.get_mut(&id) else {
            return false;
        };
        let owner = entry.owner;
        let is_first = entry
            .placement
            .as_mut()
            .is_some_and(|placement| !std::mem::replace(&mut placement.is_confirmed, true));
        if is_first {
            self.unconfirmed.remove(owner, id);
            *self.confirmed_by_owner.entry(owner).or_default() += 1;
        }
        is_first
    }

    /// Removes and returns the placement of a task.
    pub(super) fn take_placement(&mut self, id: TaskId) -> Option<Placement> {
        let entry = self.entries.get_mut(&id)?;
        let placement = entry.placement.take()?;
        let owner = entry.owner;
        if placement.is_confirmed {
            self.remove_confirmed(owner);
        } else {
            self.unconfirmed.remove(owner, id);
        }
        Some(placement)
    }

    /// The running tasks that no host has confirmed.
    pub(super) fn unconfirmed(&self) -> &UnconfirmedTasks {
        &self.unconfirmed
    }

    /// Records that a connection has ended. Its running tasks stay.
    pub(super) fn end_connection(&mut self, owner: OwnerId, likelihood: OwnerLikelihood) {
        self.unconfirmed.end_connection(owner, likelihood);
    }

    /// Changes the connection of a running task. The one of before may still be its owner's.
    pub(super) fn change_owner(&mut self, id: TaskId, owner: OwnerId, address: IpAddr) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        let earlier_owner = std::mem::replace(&mut entry.owner, owner);
        if earlier_owner == owner {
            return;
        }
        entry.earlier_owner = Some(earlier_owner);
        entry.owner_address = address;
        if entry.is_unconfirmed() {
            self.unconfirmed.remove(earlier_owner, id);
            self.unconfirmed.insert(owner, id);
        } else if entry.placement.is_some() {
            self.remove_confirmed(earlier_owner);
            *self.confirmed_by_owner.entry(owner).or_default() += 1;
        }
    }

    /// Records that a host has accepted a task.
    pub(super) fn place(&mut self, id: TaskId, placement: Placement) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.used_connections = Vec::new();
            entry.placement = Some(placement);
            *self.confirmed_by_owner.entry(entry.owner).or_default() += 1;
        }
    }

    fn remove_confirmed(&mut self, owner: OwnerId) {
        if let Some(count) = self.confirmed_by_owner.get_mut(&owner) {
            *count -= 1;
            if *count == 0 {
                self.confirmed_by_owner.remove(&owner);
            }
        }
    }

    /// Whether a host runs a task of this connection.
    pub(super) fn has_confirmed(&self, owner: OwnerId) -> bool {
        self.confirmed_by_owner.contains_key(&owner)
    }

    /// Removes a task that is neither pending nor in flight nor running.
    pub(super) fn remove_if_finished(&mut self, id: TaskId) {
        if self.entries.get(&id).is_some_and(TaskEntry::is_finished)
            && let Some(entry) = self.entries.remove(&id)
        {
            self.by_setup_id.remove(&entry.setup_id);
            self.setup_bytes -= entry.setup_bytes();
        }
    }

    /// Drops the set-up of a task that will not be offered again.
    pub(super) fn drop_setup(&mut self, id: TaskId) {
        if let Some(entry) = self.entries.get_mut(&id) {
            self.setup_bytes -= entry.setup_bytes();
            entry.setup = None;
        }
    }

    /// The total bytes of the texts of the set-ups in the table.
    pub(super) fn setup_bytes(&self) -> usize {
        self.setup_bytes
    }

    /// The number of pending tasks.
    pub(super) fn pending_count(&self) -> usize {
        self.pending_count
    }

    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// The ids of the pending tasks, the oldest first.
    pub(super) fn pending_ids(&self) -> Vec<TaskId> {
        let mut ids: Vec<TaskId> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.is_pending)
            .map(|(&id, _)| id)
            .collect();
        ids.sort();
        ids
    }
}

/// Hashes of the names of tasks that were requested or handed over recently. A name that is used again with a new set-up id
/// is a resubmission.
#[derive(Default)]
struct RecentNames {
    hashes: HashSet<u64>,
    /// The hashes with the times at which they were recorded, the oldest first.
    order: VecDeque<(Micros, u64)>,
}

impl RecentNames {
    /// Records a name. Returns whether it is new.
    fn insert(&mut self, now: Micros, name: &str) -> bool {
        while let Some(&(inserted_at, hash)) = self.order.front()
            && (inserted_at + NAME_RETENTION < now || self.order.len() >= MAX_RECENT_NAMES)
        {
            self.order.pop_front();
            self.hashes.remove(&hash);
        }
        let hash = stable_hash(name);
        let is_new = self.hashes.insert(hash);
        if is_new {
            self.order.push_back((now, hash));
        }
        is_new
    }
}
