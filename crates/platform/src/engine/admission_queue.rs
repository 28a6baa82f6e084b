//! Requests that have not been passed to the policy yet. Each turn admits a limited number, taking the oldest request of
//! each owner in round-robin order, so that an owner that sends thousands of requests does not delay the others.

use std::collections::{HashMap, HashSet, VecDeque};

use maplethread::{Task, TaskId};

use super::output::OwnerId;
use super::task_table::TaskTable;

/// Requests that are not pending any more are removed once there are this many more of them than pending ones. It keeps the
/// cost of the removal in proportion to the number of requests.
const MAX_OBSOLETE_EXCESS: usize = 64;

/// Requests that wait for admission. The limit on the number of pending requests limits them too.
#[derive(Default)]
pub(super) struct AdmissionQueue {
    by_owner: HashMap<OwnerId, VecDeque<Task>>,
    /// Owners that have an entry in `by_owner` and are not held, each once.
    owner_order: VecDeque<OwnerId>,
    /// Owners whose requests are not admitted for the time being.
    held: HashSet<OwnerId>,
    /// The number of requests of all owners, including those that are not pending any more.
    len: usize,
}

impl AdmissionQueue {
    pub(super) fn push(&mut self, owner: OwnerId, task: Task) {
        let waiting = self.by_owner.entry(owner).or_default();
        if waiting.is_empty() && !self.held.contains(&owner) {
            self.owner_order.push_back(owner);
        }
        waiting.push_back(task);
        self.len += 1;
    }

    /// Holds the requests of an owner back. Returns whether they were not held before.
    pub(super) fn hold(&mut self, owner: OwnerId) -> bool {
        let is_new = self.held.insert(owner);
        if is_new {
            self.owner_order.retain(|&other| other != owner);
        }
        is_new
    }

    /// Ends the holding of an owner's requests.
    pub(super) fn stop_holding(&mut self, owner: OwnerId) {
        if self.held.remove(&owner) && self.by_owner.contains_key(&owner) {
            self.owner_order.push_back(owner);
        }
    }

    /// Removes and returns the next request that is still pending; others are dropped.
    pub(super) fn pop_next(&mut self, is_pending: impl Fn(TaskId) -> bool) -> Option<Task> {
        while let Some(owner) = self.owner_order.pop_front() {
            let Some(waiting) = self.by_owner.get_mut(&owner) else {
                continue;
            };
            let len_before = waiting.len();
            let task = std::iter::from_fn(|| waiting.pop_front()).find(|task| is_pending(task.id));
            self.len -= len_before - waiting.len();
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

    /// Removes the requests of an owner whose connection has ended.
    pub(super) fn remove_owner(&mut self, owner: OwnerId) {
        self.held.remove(&owner);
        if let Some(waiting) = self.by_owner.remove(&owner) {
            self.len -= waiting.len();
            self.owner_order.retain(|&other| other != owner);
        }
    }

    /// Removes requests that are not pending any more, once they are the larger part.
    pub(super) fn remove_obsolete(&mut self, tasks: &TaskTable) {
        if self.len <= 2 * tasks.pending_count() + MAX_OBSOLETE_EXCESS {
            return;
        }
        let is_pending = |task: &Task| tasks.get(task.id).is_some_and(|entry| entry.is_pending);
        for waiting in self.by_owner.values_mut() {
            waiting.retain(is_pending);
        }
        self.by_owner.retain(|_, waiting| !waiting.is_empty());
        let by_owner = &self.by_owner;
        self.owner_order
            .retain(|owner| by_owner.contains_key(owner));
        self.len = by_owner.values().map(VecDeque::len).sum();
    }

    /// The number of requests, including those that are not pending any more.
    pub(super) fn len(&self) -> usize {
        self.len
    }

    /// Whether a request can be admitted.
    pub(super) fn has_admissible(&self) -> bool {
        !self.owner_order.is_empty()
    }
}
