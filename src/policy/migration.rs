//! Reports of running tasks: resource usage, contention on their machine, and the migration of underserved tasks.

use super::Placer;
use super::attempts::Attempt;
use crate::interface::{Action, AttemptId, Micros, TaskReport};

/// A machine is contended if a task on it gets less than this share of full service.
const CONTENTION_SERVICE_SHARE: f64 = 0.92;
/// A machine is contended if more than this share of its memory is in use.
const CONTENTION_MEMORY_SHARE: f64 = 0.9;
/// How long a contended machine is skipped. The cause may be own tasks, tasks of other placers or another program.
const CONTENTION_DURATION: Micros = 1_500_000;
/// A task with a lower service share is underserved and migrates after [`MIGRATION_DELAY`]. Only tasks of a priority
/// above 0 migrate, since tasks of priority 0 can be preempted.
const UNDERSERVED_SHARE: f64 = 0.5;
/// How long a task must be underserved before it migrates. Without migration a task of such a class, which is rare and
/// large, would stay underserved on a contended machine for its whole duration.
const MIGRATION_DELAY: Micros = 2_000_000;

impl Attempt {
    /// Applies a reported service share. Returns whether the task has been underserved for long enough to migrate.
    fn track_service(&mut self, share: f64, is_preemptible: bool, now: Micros) -> bool {
        let is_underserved = share < UNDERSERVED_SHARE && !is_preemptible;
        let since = self.underserved_since.unwrap_or(now);
        self.underserved_since = is_underserved.then_some(since);
        is_underserved && since + MIGRATION_DELAY <= now
    }
}

/// Whether a report shows contention on the task's machine.
fn shows_contention(report: TaskReport) -> bool {
    match report {
        TaskReport::ServiceShare(share) => share < CONTENTION_SERVICE_SHARE,
        TaskReport::MachineMemoryShare(share) => share > CONTENTION_MEMORY_SHARE,
        _ => false,
    }
}

impl Placer {
    /// Applies the report of an own task about itself or its machine.
    pub(super) fn handle_task_report(
        &mut self,
        id: &AttemptId,
        report: TaskReport,
        actions: &mut Vec<Action>,
    ) {
        // Any report shows that the task runs, even if the report of its start was lost.
        self.finish_start(id);
        let Some(attempt) = self.attempts.get_mut(id) else {
            return;
        };
        let is_preemptible = self.settings.classes[attempt.task.class].priority == 0;
        let should_migrate = match report {
            TaskReport::ServiceShare(share) => {
                attempt.track_service(share, is_preemptible, self.now)
            }
            _ => false,
        };
        let Attempt { task, machine, .. } = *attempt;
        match report {
            TaskReport::CoresUsed(used) => {
                self.usage_share.observe_cores(used, task.requested.cores);
            }
            TaskReport::MemoryUsed(used) => {
                self.usage_share.observe_memory(used, task.requested.memory);
            }
            _ => {}
        }
        if let Some(machine) = self.machines.get_mut(&machine) {
            machine.health.record_liveness(self.now);
            if shows_contention(report) {
                machine.contended_until = self.now + CONTENTION_DURATION;
            }
        }
        if should_migrate && self.has_machine_with_headroom(&task) {
            actions.push(Action::Migrate(id.task));
        }
    }
}
