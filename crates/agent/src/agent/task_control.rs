//! Starting and stopping tasks, and reporting their results.

use maplethread_wire::frame::{Frame, Reason};

use super::{Action, Agent, ProcessIdentity, StopMode, TaskState, Timer};

/// The maximum number of unreported results. Beyond it the result with the lowest attempt id is dropped. The placer
/// then counts the task as lost, because it is missing from the list of unfinished tasks.
const MAX_UNREPORTED_RESULTS: usize = 1 << 16;

impl Agent {
    /// Starts waiting tasks up to the limit of concurrent starts.
    pub(super) fn start_waiting_tasks(&mut self, out: &mut Vec<Action>) {
        while let Some(start) = self.admission.next_start() {
            let attempt = start.attempt_id;
            let Some(task) = self.held.get_mut(&attempt) else {
                continue;
            };
            task.record.state = TaskState::Starting;
            out.push(Action::StoreTask(attempt, task.record.clone()));
            out.push(Action::StartProcess(attempt));
        }
    }

    /// Handles the result of starting the program of an attempt.
    pub fn handle_start_result(
        &mut self,
        now_us: u64,
        attempt: u64,
        result: Result<ProcessIdentity, Reason>,
        out: &mut Vec<Action>,
    ) {
        self.advance_clock(now_us);
        match result {
            Ok(identity) => {
                self.admission.mark_running(attempt);
                let Some(task) = self.held.get_mut(&attempt) else {
                    return;
                };
                task.record.state = TaskState::Running(identity);
                out.push(Action::StoreTask(attempt, task.record.clone()));
                let started = Frame::Started(attempt, task.time_since_offer_ms(self.now_us));
                out.push(Action::Send(task.record.placer.clone(), started));
                if let Some(reason) = task.stop_reason {
                    self.stop_task(attempt, reason, out);
                }
            }
            Err(reason) => self.finish_task(attempt, reason, false, out),
        }
        self.start_waiting_tasks(out);
    }

    /// Handles the exit of the process of an attempt. `is_success` is `None` if the exit status is unknown.
    pub fn handle_process_exit(
        &mut self,
        now_us: u64,
        attempt: u64,
        is_success: Option<bool>,
        out: &mut Vec<Action>,
    ) {
        self.advance_clock(now_us);
        let stop_reason = self.held.get(&attempt).and_then(|task| task.stop_reason);
        let reason = stop_reason.unwrap_or(match is_success {
            Some(true) => Reason::Completed,
            Some(false) => Reason::Error,
            None => Reason::Unknown,
        });
        self.finish_task(attempt, reason, true, out);
        self.start_waiting_tasks(out);
    }

    /// Stops a task; its result is reported with `reason`.
    pub(super) fn stop_task(&mut self, attempt: u64, reason: Reason, out: &mut Vec<Action>) {
        let Some(task) = self.held.get_mut(&attempt) else {
            return;
        };
        match task.record.state {
            // The process is being created, and is stopped as soon as it runs.
            TaskState::Starting => task.stop_reason = Some(reason),
            TaskState::Running(identity) => {
                task.stop_reason = Some(reason);
                out.push(Action::StopProcess(identity, StopMode::Graceful));
                out.push(Action::SetTimer {
                    delay_us: self.stop_grace_us,
                    timer: Timer::ForceStop(attempt),
                });
            }
            TaskState::Accepted | TaskState::Finished { .. } => {
                self.finish_task(attempt, reason, false, out);
                self.start_waiting_tasks(out);
            }
        }
    }

    /// Kills the process of a task that has not exited within its stop grace period.
    pub(super) fn force_stop(&self, attempt: u64, out: &mut Vec<Action>) {
        if let Some(task) = self.held.get(&attempt)
            && let TaskState::Running(identity) = task.record.state
            && task.stop_reason.is_some()
        {
            out.push(Action::StopProcess(identity, StopMode::Forced));
        }
    }

    /// Stores a task as finished until its result has been reported.
    fn finish_task(
        &mut self,
        attempt: u64,
        reason: Reason,
        possibly_started: bool,
        out: &mut Vec<Action>,
    ) {
        self.admission
            .remove(attempt, &mut self.deduplication_table);
        let Some(task) = self.held.remove(&attempt) else {
            return;
        };
        let mut record = task.record;
        record.state = TaskState::Finished {
            reason,
            possibly_started,
        };
        out.push(Action::StoreTask(attempt, record.clone()));
        self.unreported.insert(attempt, record);
        while self.unreported.len() > MAX_UNREPORTED_RESULTS
            && let Some((dropped, _)) = self.unreported.pop_first()
        {
            out.push(Action::RemoveTask(dropped));
        }
    }

    /// Reports results to the connected placers. Each reported result is removed from the store by the next call, so
    /// that it stays stored until the list of actions that reports it has been executed.
    pub fn report_finished(&mut self, is_connected: impl Fn(&str) -> bool, out: &mut Vec<Action>) {
        out.extend(self.reported.drain(..).map(Action::RemoveTask));
        let reportable = self
            .unreported
            .extract_if(.., |_, record| is_connected(&record.placer));
        for (attempt, record) in reportable {
            if let TaskState::Finished {
                reason,
                possibly_started,
            } = record.state
            {
                let ended = self.admission.end_frame(attempt, reason, possibly_started);
                out.push(Action::Send(record.placer, ended));
            }
            self.reported.push(attempt);
        }
    }
}
