//! The tasks that are owed an answer, are out, or stand.

use std::collections::{HashMap, HashSet, VecDeque};

use maplethread::{MachineId, Micros, TaskId};
use maplethread_engine::stable_hash;
use maplethread_platform_wire::SetupId;
use maplethread_platform_wire::owner::Setup;

use super::{ConnectionId, OwnerId};

/// Names of tasks are remembered for so long, longer than owners take to come again, and so many of them.
const ID_RETENTION: Micros = 60_000_000;
const MAX_RECENT_IDS: usize = 1 << 14;

/// An attempt that is out.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    pub(super) number: u32,
    pub(super) machine: MachineId,
    pub(super) connection: ConnectionId,
    pub(super) offered_at: Micros,
    /// When its answer is no longer waited for.
    pub(super) deadline: Micros,
    /// It was handed to a connection that is up: it may have run.
    pub(super) was_sent: bool,
}

/// Where a task stands.
#[derive(Clone, Copy, Debug)]
pub(super) struct Placement {
    pub(super) number: u32,
    pub(super) machine: MachineId,
    pub(super) since: Micros,
    /// Its owner is owed no release: it ended the task, with this cause, which its host has to be told.
    pub(super) close_cause: Option<u8>,
    /// Its owner was told to come again.
    pub(super) is_relocation_sent: bool,
}

/// A task.
#[derive(Debug)]
pub(super) struct TaskEntry {
    pub(super) setup: Box<Setup>,
    pub(super) owner: OwnerId,
    /// The owner waits for the answer.
    pub(super) is_pending: bool,
    pub(super) attempt_count: u32,
    pub(super) in_flight: Option<Attempt>,
    pub(super) placement: Option<Placement>,
    /// The connections of its attempts, while it is owed an answer.
    pub(super) used_connections: Vec<ConnectionId>,
}

/// All tasks, by the decisions' number and by the set-up's id.
#[derive(Default)]
pub(super) struct TaskTable {
    entries: HashMap<TaskId, TaskEntry>,
    by_setup_id: HashMap<SetupId, TaskId>,
    last_id: u64,
    pending_count: usize,
    /// Bytes of descriptions.
    description_bytes: usize,
    recent_ids: RecentTaskIds,
}

/// Names of tasks that were asked for or handed over of late: one that comes under a new id comes again.
#[derive(Default)]
struct RecentTaskIds {
    known: HashSet<u64>,
    order: VecDeque<(Micros, u64)>,
}

impl RecentTaskIds {
    /// Whether a task came before; it is remembered from now on.
    fn insert_or_known(&mut self, now: Micros, name: &str) -> bool {
        while let Some(&(at, old)) = self.order.front()
            && (at + ID_RETENTION < now || self.order.len() >= MAX_RECENT_IDS)
        {
            self.order.pop_front();
            self.known.remove(&old);
        }
        let name = stable_hash(name);
        let new = self.known.insert(name);
        if new {
            self.order.push_back((now, name));
        }
        !new
    }
}

impl TaskTable {
    pub(super) fn insert(&mut self, entry: TaskEntry) -> TaskId {
        self.last_id += 1;
        let id = TaskId(self.last_id);
        self.by_setup_id.insert(entry.setup.id, id);
        self.pending_count += usize::from(entry.is_pending);
        self.description_bytes += entry.setup.description.len();
        self.entries.insert(id, entry);
        id
    }

    pub(super) fn get(&self, id: TaskId) -> Option<&TaskEntry> {
        self.entries.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: TaskId) -> Option<&mut TaskEntry> {
        self.entries.get_mut(&id)
    }

    /// Whether a task of this name came before; it is remembered from now on.
    pub(super) fn is_resubmission(&mut self, now: Micros, name: &str) -> bool {
        self.recent_ids.insert_or_known(now, name)
    }

    pub(super) fn id_by_setup(&self, sid: SetupId) -> Option<TaskId> {
        self.by_setup_id.get(&sid).copied()
    }

    /// The owner has its answer, or waits no more; whether it waited.
    pub(super) fn mark_answered(&mut self, id: TaskId) -> bool {
        let open = self
            .entries
            .get_mut(&id)
            .is_some_and(|e| std::mem::take(&mut e.is_pending));
        self.pending_count -= usize::from(open);
        open
    }

    /// Drops a task with nothing left to come.
    pub(super) fn remove_if_finished(&mut self, id: TaskId) {
        let over = |e: &TaskEntry| !e.is_pending && e.in_flight.is_none() && e.placement.is_none();
        if self.entries.get(&id).is_some_and(over)
            && let Some(entry) = self.entries.remove(&id)
        {
            self.by_setup_id.remove(&entry.setup.id);
            self.description_bytes -= entry.setup.description.len();
        }
    }

    /// A task stands, or is not sent any more: its description is of no further use.
    pub(super) fn drop_description(&mut self, id: TaskId) {
        if let Some(entry) = self.entries.get_mut(&id) {
            self.description_bytes -= std::mem::take(&mut entry.setup.description).len();
        }
    }

    /// Bytes of descriptions that are held.
    pub(super) fn description_bytes(&self) -> usize {
        self.description_bytes
    }

    /// Tasks that are owed an answer.
    pub(super) fn pending_count(&self) -> usize {
        self.pending_count
    }

    /// All tasks.
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Those that are owed an answer, in the order in which they came.
    pub(super) fn pending_ids(&self) -> Vec<TaskId> {
        let mut ids: Vec<TaskId> = self
            .entries
            .iter()
            .filter(|(_, e)| e.is_pending)
            .map(|(&id, _)| id)
            .collect();
        ids.sort();
        ids
    }
}
