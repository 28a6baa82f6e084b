//! What owners ask, until the decisions are told of it: a few in each turn, each owner's in the order in which they came,
//! and of each owner one in turn, so that one that asks by the thousand does not make the others wait.

use std::collections::{HashMap, VecDeque};

use maplethread::{Task, TaskId};

use super::OwnerId;

/// Asks that wait. Bounded by the bound on tasks.
#[derive(Default)]
pub(super) struct AdmissionQueue {
    by_owner: HashMap<OwnerId, VecDeque<Task>>,
    /// Owners with something in `of`, each once.
    owner_order: VecDeque<OwnerId>,
}

impl AdmissionQueue {
    pub(super) fn push(&mut self, owner: OwnerId, task: Task) {
        let waiting = self.by_owner.entry(owner).or_default();
        if waiting.is_empty() {
            self.owner_order.push_back(owner);
        }
        waiting.push_back(task);
    }

    /// The next one that is still wanted.
    pub(super) fn pop_next(&mut self, wanted: impl Fn(TaskId) -> bool) -> Option<Task> {
        while let Some(owner) = self.owner_order.pop_front() {
            let Some(waiting) = self.by_owner.get_mut(&owner) else {
                continue;
            };
            let task = std::iter::from_fn(|| waiting.pop_front()).find(|task| wanted(task.id));
            if waiting.is_empty() {
                self.by_owner.remove(&owner);
            } else {
                self.owner_order.push_back(owner);
            }
            if task.is_some() {
                return task;
            }
        }
        None
    }

    /// Whether the decisions were not told of it yet.
    pub(super) fn contains(&self, owner: OwnerId, task: TaskId) -> bool {
        self.by_owner
            .get(&owner)
            .is_some_and(|waiting| waiting.binary_search_by_key(&task, |t| t.id).is_ok())
    }

    pub(super) fn is_empty(&self) -> bool {
        self.by_owner.is_empty()
    }
}
