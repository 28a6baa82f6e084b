//! Frames from placers and the responses to them.

use std::sync::Arc;

use maplethread_admission::{AdmissionDecision, TaskRequest};
use maplethread_wire::frame::{self, Frame, Offer, Reason};

use super::task::HeldTask;
use super::{Action, Agent, StoredTask, TaskState};

/// Deduplication is local to this agent, so all keys are in one group.
pub(super) const DEDUPLICATION_GROUP: u64 = 0;

impl Agent {
    /// Handles the Hello frame of a placer. The response is a Hello frame, the unreported results of the placer's
    /// tasks, and the list of its unfinished tasks. A placer with minor version 0 handles results only after the list:
    /// they are sent later by [`Agent::report_finished`], when those tasks already count as lost at the placer.
    pub fn handle_hello(&mut self, placer: &Arc<str>, minor: u16, out: &mut Vec<Action>) {
        let send = |frame| Action::Send(placer.clone(), frame);
        out.push(send(Frame::Hello {
            major: frame::MAJOR,
            minor: frame::MINOR,
            name: self.name.to_string(),
            started_ms: self.started_ms,
            max_offers: self.admission.policy().max_queue_length as u32,
        }));
        if minor >= 1 {
            self.report_finished(|connected| *connected == **placer, out);
        }
        for task in self.held.values().filter(|t| t.record.placer == *placer) {
            let is_running = matches!(task.record.state, TaskState::Running(_));
            out.push(send(Frame::Held(task.record.offer.clone(), is_running)));
        }
        out.push(send(Frame::HeldEnd));
        if self.admission.is_draining() {
            out.push(send(Frame::Drain));
        }
    }

    /// Handles a frame from a placer that has sent its Hello frame.
    pub fn handle_frame(
        &mut self,
        now_us: u64,
        placer: &Arc<str>,
        frame: Frame,
        out: &mut Vec<Action>,
    ) {
        self.advance_clock(now_us);
        match frame {
            Frame::Offer(offer) => self.handle_offer(placer, offer, out),
            Frame::Cancel(attempt) | Frame::Stop(attempt) if self.is_held_of(placer, attempt) => {
                self.stop_task(attempt, Reason::Stopped, out);
            }
            Frame::Probe(nonce) => {
                let report = Frame::Report(nonce, self.admission.unallocated());
                out.push(Action::Send(placer.clone(), report));
            }
            Frame::Ping(nonce) => out.push(Action::Send(placer.clone(), Frame::Pong(nonce))),
            _ => {}
        }
    }

    fn is_held_of(&self, placer: &Arc<str>, attempt: u64) -> bool {
        self.held
            .get(&attempt)
            .is_some_and(|task| task.record.placer == *placer)
    }

    fn handle_offer(&mut self, placer: &Arc<str>, offer: Offer, out: &mut Vec<Action>) {
        let attempt = offer.attempt_id;
        if self.held.contains_key(&attempt) || self.unreported.contains_key(&attempt) {
            // Attempt ids are unique, so a second offer with the same id is an error in the placer.
            tracing::warn!(%placer, attempt, "offer ignored: attempt id is already in use");
            return;
        }
        if self.is_store_unavailable {
            let rejection = self.admission.rejection_frame(attempt, Reason::Ineligible);
            out.push(Action::Send(placer.clone(), rejection));
            return;
        }
        let request = TaskRequest::from_offer(&offer, DEDUPLICATION_GROUP);
        if let Err(reason) = self.admission.enqueue(request) {
            let rejection = self.admission.rejection_frame(attempt, reason);
            out.push(Action::Send(placer.clone(), rejection));
            return;
        }
        let task = HeldTask {
            record: StoredTask {
                placer: placer.clone(),
                offer,
                state: TaskState::Accepted,
            },
            received_at_us: Some(self.now_us),
            stop_reason: None,
        };
        self.held.insert(attempt, task);
        while let Some((request, decision)) =
            self.admission.decide_next(&mut self.deduplication_table)
        {
            self.apply_decision(request.attempt_id, decision, out);
        }
        self.start_waiting_tasks(out);
    }

    fn apply_decision(&mut self, attempt: u64, decision: AdmissionDecision, out: &mut Vec<Action>) {
        match decision {
            AdmissionDecision::Rejected(reason) => {
                if let Some(task) = self.held.remove(&attempt) {
                    let rejection = self.admission.rejection_frame(attempt, reason);
                    out.push(Action::Send(task.record.placer, rejection));
                }
            }
            AdmissionDecision::Admitted { preempted } => {
                // Admission has already reassigned the resources of these tasks to the new one.
                for preempted_attempt in preempted {
                    self.stop_task(preempted_attempt, Reason::Preempted, out);
                }
                let Some(task) = self.held.get(&attempt) else {
                    return;
                };
                out.push(Action::StoreTask(attempt, task.record.clone()));
                let accepted = Frame::Accepted(attempt, task.time_since_offer_ms(self.now_us));
                out.push(Action::Send(task.record.placer.clone(), accepted));
            }
        }
    }
}
