//! What a new process of the agent makes of the tasks that an earlier one stored.

use maplethread_admission::{TaskRequest, TaskStage};
use maplethread_wire::frame::Reason;

use super::offers::DEDUPLICATION_GROUP;
use super::task::HeldTask;
use super::{Action, Agent, RecoveryOutcome, StoredTask, TaskState};

impl Agent {
    /// Takes over the tasks that an earlier process of the agent stored. `find_process` is asked for the process of
    /// each task that may have one.
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
                TaskState::Accepted => self.hold_recovered(attempt, record, TaskStage::Waiting),
                TaskState::Starting | TaskState::Running(_) => {
                    let outcome = find_process(attempt, &record);
                    self.recover_started(attempt, record, outcome, out);
                }
            }
        }
        if is_draining {
            self.admission.drain();
        }
        self.start_waiting_tasks(out);
    }

    fn recover_started(
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
                self.hold_recovered(attempt, record, TaskStage::Running);
            }
            RecoveryOutcome::NotFound => {
                // A start that was interrupted may have run; how a running task ended was not observed.
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

    fn hold_recovered(&mut self, attempt: u64, record: StoredTask, stage: TaskStage) {
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
