//! Restart throttling: while many starts are in progress, resubmitted tasks are deferred in favour of first
//! submissions.
//!
//! When machines fail, owners resubmit thousands of tasks at once. A resubmitted task can no longer earn the start
//! bonus. Without a limit, resubmitted tasks would fill the machines' queues and delay first submissions, which can
//! still earn it.

use std::collections::BTreeSet;

use crate::interface::{Micros, Task, TaskId};

/// Maximum time for which a resubmitted task is deferred; it is also limited to half of the time until its deadline.
const MAX_DEFERRAL: Micros = 1_000_000;
/// Resubmitted tasks are deferred while all placers together have at least this many starts in progress per ready
/// machine.
const MAX_STARTS_PER_MACHINE: f64 = 3.0;

/// Until when a task may be deferred; none for a first submission.
pub(super) fn deferral_deadline(task: &Task, now: Micros) -> Option<Micros> {
    let half_of_remaining = task.deadline.saturating_sub(now) / 2;
    task.is_resubmission
        .then_some(now + MAX_DEFERRAL.min(half_of_remaining))
}

/// This placer's share of the limit on starts in progress. Resubmitted tasks are deferred while it is reached.
pub(super) fn max_starts_in_progress(ready_machines: usize, replica_count: u32) -> u32 {
    let starts = MAX_STARTS_PER_MACHINE * ready_machines as f64 / f64::from(replica_count);
    (starts as u32).max(1)
}

/// The deferred tasks and the number of this placer's starts in progress.
#[derive(Default)]
pub(super) struct RestartThrottle {
    /// Ordered by the time until which each task is deferred.
    deferred: BTreeSet<(Micros, TaskId)>,
    starts_in_progress: u32,
}

impl RestartThrottle {
    /// Records that a machine has accepted a task that has not started yet.
    pub(super) fn begin_start(&mut self) {
        self.starts_in_progress += 1;
    }

    /// Records that an accepted task has started, or that its attempt has finished before the start.
    pub(super) fn finish_start(&mut self) {
        self.starts_in_progress -= 1;
    }

    pub(super) fn is_at_limit(&self, max_starts: u32) -> bool {
        self.starts_in_progress >= max_starts
    }

    pub(super) fn defer(&mut self, task: TaskId, until: Micros) {
        self.deferred.insert((until, task));
    }

    pub(super) fn has_deferred(&self) -> bool {
        !self.deferred.is_empty()
    }

    pub(super) fn deferred_count(&self) -> usize {
        self.deferred.len()
    }

    /// Removes the deferred tasks for which `keep` is false.
    pub(super) fn retain(&mut self, keep: impl Fn(TaskId) -> bool) {
        self.deferred.retain(|&(_, task)| keep(task));
    }

    /// Removes and returns the next task to place: the first one, if its deferral has ended or starts in progress are
    /// below the limit.
    pub(super) fn take_released(&mut self, max_starts: u32, now: Micros) -> Option<TaskId> {
        let &(until, task) = self.deferred.first()?;
        if self.is_at_limit(max_starts) && until > now {
            return None;
        }
        self.deferred.remove(&(until, task));
        Some(task)
    }
}

#[cfg(test)]
mod tests;
