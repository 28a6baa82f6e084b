//! Recovery of the tasks that an earlier agent process stored.

use maplethread_admission::{TaskRequest, TaskStage};
use maplethread_wire::frame::Reason;

use super::offers::DEDUPLICATION_GROUP;
use super::task::HeldTask;
use super::{Action, Agent, RecoveryOutcome, StoredTask, TaskState};

impl Agent {
    /// Restores the tasks that an earlier agent process stored. `find_process` looks up the process of each task that
    /// may have one.
    pub fn recover(
        &mut self,
        now_us: u64,
        is_draining: bool,
        stored: Vec<(u64, StoredTask)>,
        find_process: impl Fn(u64, &StoredTask) -> RecoveryOutcome,
        out: &mut Vec<Action>,
    ) {
        self.now_us = now_us;
        for (attempt, record) in stored {
            match record.state {
                TaskState::Finished { .. } => {
                    self.unreported.insert(attempt, record);
                }
                TaskState::Accepted => self.restore_task(attempt, record, TaskStage::Waiting),
                TaskState::Starting | TaskState::Running(_) => {
                    let outcome = find_process(attempt, &record);
                    self.restore_started_task(attempt, record, outcome, out);
                }
            }
        }
        if is_draining {
            self.admission.drain();
        }
        self.start_waiting_tasks(out);
    }

    fn restore_started_task(
        &mut self,
        attempt: u64,
        mut record: StoredTask,
        outcome: RecoveryOutcome,
        out: &mut Vec<Action>,
    ) {
        match outcome {
            RecoveryOutcome::Running(identity) => {
                record.state = TaskState::Running(identity);
                out.push(Action::StoreTask(attempt, record.clone()));
                self.restore_task(attempt, record, TaskStage::Running);
            }
            RecoveryOutcome::NotFound => {
                // An interrupted start may have succeeded; the exit status of a running task was not observed.
                let reason = match record.state {
                    TaskState::Starting => Reason::Error,
                    _ => Reason::Unknown,
                };
                record.state = TaskState::Finished {
                    reason,
                    possibly_started: true,
                };
                out.push(Action::StoreTask(attempt, record.clone()));
                self.unreported.insert(attempt, record);
            }
        }
    }

    fn restore_task(&mut self, attempt: u64, record: StoredTask, stage: TaskStage) {
        let request = TaskRequest::from_offer(&record.offer, DEDUPLICATION_GROUP);
        self.admission
            .restore(request, stage, &mut self.deduplication_table);
        let task = HeldTask {
            record,
            received_at_us: None,
            stop_reason: None,
        };
        self.held.insert(attempt, task);
    }
}
