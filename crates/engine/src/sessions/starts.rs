//! Acceptance and start of attempts by hosts, which answer placement requests.

use maplethread::{Event, TaskReport};

use crate::answers::FinalAnswer;
use crate::attempt::{ActorState, Stage};
use crate::decide::Decide;
use crate::engine::Engine;
use crate::ids::AttemptKey;

impl<D: Decide> Engine<D> {
    /// Handles the acceptance of an attempt, `took_ms` after the host read the offer by its own clock.
    pub(super) fn handle_accepted(&mut self, key: AttemptKey, took_ms: u32) {
        let is_placed_on_acceptance = self.is_placed_on_acceptance();
        let Some(attempt) = self.attempts.get_mut(&key) else {
            return;
        };
        if attempt.is_cancelled || attempt.stage != Stage::Offered {
            return;
        }
        attempt.stage = Stage::Accepted;
        if is_placed_on_acceptance {
            self.confirm_placement(key, took_ms);
        }
    }

    /// Handles the start of an attempt, `took_ms` after the host read the offer by its own clock.
    pub(super) fn handle_started(&mut self, key: AttemptKey, took_ms: u32) {
        let Some(attempt) = self.attempts.get_mut(&key) else {
            return;
        };
        if attempt.is_cancelled
            || attempt.stage == Stage::Offered
            || std::mem::replace(&mut attempt.is_running, true)
        {
            return;
        }
        if attempt.stage != Stage::Placed {
            self.confirm_placement(key, took_ms);
        }
        let Some(attempt) = self
            .attempts
            .get(&key)
            .filter(|attempt| attempt.stage == Stage::Placed)
        else {
            return;
        };
        let (id, subject) = (attempt.id, self.subject_of(attempt));
        if self.is_placed_on_acceptance() {
            self.events.push(Event::TaskReported {
                attempt: id,
                report: TaskReport::Started,
            });
        }
        self.publish_event("started", None, &subject);
    }

    /// Places the task of an attempt and answers its request. Cancels the attempt if the deadline has passed.
    fn confirm_placement(&mut self, key: AttemptKey, took_ms: u32) {
        let Some(attempt) = self.attempts.get_mut(&key) else {
            return;
        };
        let task = attempt.id.task;
        let is_in_time = self
            .requests
            .get(&task)
            .is_some_and(|request| request.deadline > self.now);
        if !is_in_time {
            self.cancel_attempt(key);
            return;
        }
        attempt.stage = Stage::Placed;
        self.timers.cancel(attempt.timeout_timer.take());
        let (id, host, sent_at) = (attempt.id, attempt.host, attempt.sent_at);
        // After a stall it is not known when the answer arrived, so the host's measurement is used if it is shorter.
        let elapsed = self
            .is_after_stall
            .then(|| (self.now - sent_at).min(u64::from(took_ms) * 1000));
        self.events.push(Event::AttemptAccepted {
            attempt: id,
            elapsed,
        });
        let Some(subject) = self.attempts.get(&key).map(|a| self.subject_of(a)) else {
            return;
        };
        self.actors
            .insert(subject.key.clone(), ActorState::Placed(key));
        self.publish_event("placed", None, &subject);
        let answer = FinalAnswer::Placed {
            request_id: subject.request_id,
            service: subject.key.service,
            actor: subject.key.actor,
            host: subject.host,
            address: self.host_address(host),
            attempt: id.number,
        };
        self.finish_request(task, answer);
    }
}
