//! What becomes of a turn that could not be stored.

use maplethread_wire::frame::{Frame, Reason};

use super::{Action, Agent, TaskState, Timer};

/// A store that failed is tried again after this time, µs.
const STORE_RETRY_DELAY_US: u64 = 1_000_000;

impl Agent {
    /// The commit of a turn has failed, and nothing of the turn was carried out; `out` receives what is done instead.
    ///
    /// Whether an acceptance is in the store all the same is unknown, and a later process of the agent might start it:
    /// so its placer is told that it may have run, and it is removed once the store works. Starts wait. All else is
    /// reported as it is: a later process that reads the older state finds the process, or finds that it is gone.
    /// Offers are rejected until the store is tried again.
    pub fn handle_store_failure(&mut self, turn: &[Action], out: &mut Vec<Action>) {
        for action in turn {
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

    /// Accepts offers again, and removes what is not to be in the store; another failure comes back as one.
    pub(super) fn retry_store(&mut self, out: &mut Vec<Action>) {
        self.is_store_unavailable = false;
        let removals = self.unconfirmed_removals.drain(..);
        out.extend(removals.map(Action::RemoveTask));
        self.start_waiting_tasks(out);
    }
}
