//! What running tasks report: how much they use, contention on their machine, and when a task that is served too little
//! moves.

use super::Placer;
use super::attempts::Attempt;
use crate::interface::{Action, AttemptId, Micros, TaskReport};

/// A task that gets less than this share of full service tells of contention on its machine.
const CONTENTION_SERVICE_SHARE: f64 = 0.92;
/// So does a machine that has more than this share of its memory in use.
const CONTENTION_MEMORY_SHARE: f64 = 0.9;
/// A contended machine is passed over for this long, whether the cause are own tasks, others' or another program.
const CONTENTION_DURATION: Micros = 1_500_000;
/// A task of a priority above 0, which others cannot preempt, moves once it has been served under this share...
const UNDERSERVED_SHARE: f64 = 0.5;
/// ...for this long. A rare and large task would else earn nothing for its whole life where it landed.
const MIGRATION_DELAY: Micros = 2_000_000;

impl Attempt {
    /// Takes in the share of full service that the task gets. Whether it has been served too little for long enough to
    /// move.
    fn track_service(&mut self, share: f64, is_preemptible: bool, now: Micros) -> bool {
        let is_underserved = share < UNDERSERVED_SHARE && !is_preemptible;
        let since = self.underserved_since.unwrap_or(now);
        self.underserved_since = is_underserved.then_some(since);
        is_underserved && since + MIGRATION_DELAY <= now
    }
}

/// Whether a report tells of contention on the task's machine.
fn shows_contention(report: TaskReport) -> bool {
    match report {
        TaskReport::ServiceShare(share) => share < CONTENTION_SERVICE_SHARE,
        TaskReport::MachineMemoryShare(share) => share > CONTENTION_MEMORY_SHARE,
        _ => false,
    }
}

impl Placer {
    /// Applies what an own task reports of itself and of its machine.
    pub(super) fn handle_task_report(
        &mut self,
        id: &AttemptId,
        report: TaskReport,
        actions: &mut Vec<Action>,
    ) {
        // The report of its start may have been lost: a task that uses something runs.
        self.finish_start(id);
        let Some(attempt) = self.attempts.get_mut(id) else {
            return;
        };
        let is_preemptible = self.settings.classes[attempt.task.class].priority == 0;
        let should_move = match report {
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
            machine.health.record_sign_of_life(self.now);
            if shows_contention(report) {
                machine.contended_until = self.now + CONTENTION_DURATION;
            }
        }
        if should_move && self.has_machine_with_headroom(&task) {
            actions.push(Action::Migrate(id.task));
        }
    }
}
