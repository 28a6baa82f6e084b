//! Requests that have not been passed to the policy yet. Each turn admits a limited number, taking the oldest request of
//! each owner in round-robin order, so that an owner that sends thousands of requests does not delay the others.

use std::collections::{HashMap, VecDeque};

use maplethread::{Task, TaskId};

use super::output::OwnerId;

/// Requests that wait for admission. The limit on the number of tasks limits them too.
#[derive(Default)]
pub(super) struct AdmissionQueue {
    by_owner: HashMap<OwnerId, VecDeque<Task>>,
    /// Owners that have an entry in `by_owner`, each once.
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

    /// Removes and returns the next request that is still pending; others are dropped.
    pub(super) fn pop_next(&mut self, is_pending: impl Fn(TaskId) -> bool) -> Option<Task> {
        while let Some(owner) = self.owner_order.pop_front() {
            let Some(waiting) = self.by_owner.get_mut(&owner) else {
                continue;
            };
            let task = std::iter::from_fn(|| waiting.pop_front()).find(|task| is_pending(task.id));
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

    /// Whether the owner's request is still queued. The requests of an owner are queued in ascending order of their ids.
    pub(super) fn contains(&self, owner: OwnerId, id: TaskId) -> bool {
        self.by_owner
            .get(&owner)
            .is_some_and(|waiting| waiting.binary_search_by_key(&id, |task| task.id).is_ok())
    }

    pub(super) fn is_empty(&self) -> bool {
        self.by_owner.is_empty()
    }
}
