//! Restart throttling: tasks that are resubmitted give way to tasks that come for the first time while many starts are in
//! progress.
//!
//! A resubmitted task has no timely start to lose, and comes with thousands of others where machines are lost. Its start
//! would stand in the queues of machines before starts that are worth more when they are timely.

use std::collections::BTreeSet;

use crate::interface::{Micros, Task, TaskId};

/// A resubmitted task gives way for this long at most, and for no more than half of the time it has.
const MAX_DEFERRAL: Micros = 1_000_000;
/// Accepted starts in progress for each ready machine, over all placers, from which on resubmitted tasks give way.
const MAX_STARTS_PER_MACHINE: f64 = 3.0;

/// When the placer stops deferring a task; none for a task that comes for the first time.
pub(super) fn deferral_deadline(task: &Task, now: Micros) -> Option<Micros> {
    let half_of_its_time = task.deadline.saturating_sub(now) / 2;
    task.is_resubmission
        .then_some(now + MAX_DEFERRAL.min(half_of_its_time))
}

/// This placer's part of the starts in progress, from which on resubmitted tasks give way.
pub(super) fn max_starts_in_progress(ready_machines: usize, replica_count: u32) -> u32 {
    let starts = MAX_STARTS_PER_MACHINE * ready_machines as f64 / f64::from(replica_count);
    (starts as u32).max(1)
}

/// The tasks that are deferred, and this placer's starts in progress.
#[derive(Default)]
pub(super) struct RestartThrottle {
    /// With the time until which each is deferred.
    deferred: BTreeSet<(Micros, TaskId)>,
    starts_in_progress: u32,
}

impl RestartThrottle {
    /// A machine accepted a task that has not started yet.
    pub(super) fn begin_start(&mut self) {
        self.starts_in_progress += 1;
    }

    /// Such a task has started, or its attempt is over.
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

    /// Takes out the next task to be placed: the one whose time is over, or the first of all below the limit.
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
