//! Handling of actions whose commit to the store has failed.

use maplethread_wire::frame::{Frame, Reason};

use super::{Action, Agent, TaskState, Timer};

/// The delay before the store is used again after a failed commit.
const STORE_RETRY_DELAY_US: u64 = 1_000_000;

impl Agent {
    /// Handles a failed commit of `failed_actions`, none of which were executed; `out` receives their replacement.
    ///
    /// The failed commit may still have reached the disk, so a later agent process might start a task accepted in it.
    /// Such a task is reported as ended and possibly started, and is removed from the store once the store works.
    /// Starts are postponed. The other actions are kept: a later agent process that reads the older state looks up the
    /// task's process, which is running or has exited. Offers are rejected until the store is used again.
    pub fn handle_store_failure(&mut self, failed_actions: &[Action], out: &mut Vec<Action>) {
        for action in failed_actions {
            match action {
                Action::StoreTask(..) | Action::StoreDraining => {}
                Action::RemoveTask(attempt) => self.unconfirmed_removals.push(*attempt),
                Action::Send(placer, Frame::Accepted(attempt, _)) => {
                    self.admission
                        .remove(*attempt, &mut self.deduplication_table);
                    self.held.remove(attempt);
                    self.unconfirmed_removals.push(*attempt);
                    let end = self.admission.end_frame(*attempt, Reason::Error, true);
                    out.push(Action::Send(placer.clone(), end));
                }
                Action::StartProcess(attempt) => {
                    if let Some(task) = self.held.get_mut(attempt) {
                        task.record.state = TaskState::Accepted;
                        self.admission.requeue_start(*attempt);
                    }
                }
                Action::Send(..) | Action::StopProcess(..) | Action::SetTimer { .. } => {
                    out.push(action.clone());
                }
            }
        }
        if !std::mem::replace(&mut self.is_store_unavailable, true) {
            out.push(Action::SetTimer {
                delay_us: STORE_RETRY_DELAY_US,
                timer: Timer::RetryStore,
            });
        }
    }

    /// Accepts offers again, and removes the attempts whose removal is pending. If the store still fails,
    /// [`Agent::handle_store_failure`] is called again.
    pub(super) fn retry_store(&mut self, out: &mut Vec<Action>) {
        self.is_store_unavailable = false;
        let removals = self.unconfirmed_removals.drain(..);
        out.extend(removals.map(Action::RemoveTask));
        self.start_waiting_tasks(out);
    }
}
