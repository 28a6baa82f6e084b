//! Attempts that hosts accept and start: the ask's answer.

use std::sync::Arc;

use maplethread::{Event, TaskReport};

use crate::answers::FinalAnswer;
use crate::engine::{ActorState, Engine, Stage};
use crate::{Decide, HostId};

impl<D: Decide> Engine<D> {
    pub(super) fn handle_accepted(&mut self, wire: u64, took_ms: u32) {
        let accepts = self.is_placed_on_acceptance();
        let Some(attempt) = self.attempts.get_mut(&wire) else {
            return;
        };
        if attempt.is_cancelled || attempt.stage != Stage::Offered {
            return;
        }
        attempt.stage = Stage::Accepted;
        if accepts {
            self.confirm_placement(wire, took_ms);
        }
    }

    pub(super) fn handle_started(&mut self, wire: u64, took_ms: u32) {
        let Some(attempt) = self.attempts.get_mut(&wire) else {
            return;
        };
        if attempt.is_cancelled
            || attempt.stage == Stage::Offered
            || std::mem::replace(&mut attempt.is_running, true)
        {
            return;
        }
        if attempt.stage != Stage::Placed {
            self.confirm_placement(wire, took_ms);
        }
        let Some(attempt) = self
            .attempts
            .get(&wire)
            .filter(|a| a.stage == Stage::Placed)
        else {
            return;
        };
        let (id, key, request) = (attempt.id, attempt.key.clone(), attempt.request_id.clone());
        let host = self.host_name(attempt.host);
        if self.is_placed_on_acceptance() {
            self.events.push(Event::TaskReported {
                attempt: id,
                report: TaskReport::Started,
            });
        }
        self.publish_event("started", &key, host, None, request);
    }

    /// The attempt's answer is in: the ask is placed, if its time is not over.
    pub(super) fn confirm_placement(&mut self, wire: u64, took_ms: u32) {
        let Some(attempt) = self.attempts.get_mut(&wire) else {
            return;
        };
        let task = attempt.id.task;
        let in_time = self
            .requests
            .get(&task)
            .is_some_and(|ask| ask.deadline > self.now);
        if !in_time {
            self.cancel_attempt(wire);
            return;
        }
        attempt.stage = Stage::Placed;
        let (id, host, key) = (attempt.id, attempt.host, attempt.key.clone());
        let (request, number, sent) = (
            attempt.request_id.clone(),
            attempt.id.number,
            attempt.sent_at,
        );
        // A caller that stood still can't tell when the answer came; what the host measured stands for it.
        let elapsed = self
            .is_after_stall
            .then(|| (self.now - sent).min(u64::from(took_ms) * 1000));
        self.events.push(Event::AttemptAccepted {
            attempt: id,
            elapsed,
        });
        self.actors.insert(key.clone(), ActorState::Placed(wire));
        let name = self.host_name(host);
        let address = self
            .hosts
            .get(&host)
            .map(|h| h.address.to_string())
            .unwrap_or_default();
        let (service, actor) = key.clone();
        self.publish_event("placed", &key, name.clone(), None, request.clone());
        self.finish_request(
            task,
            FinalAnswer::Placed {
                request,
                service,
                actor,
                host: name,
                address,
                attempt: number,
            },
        );
    }

    pub(crate) fn host_name(&self, id: HostId) -> Arc<str> {
        self.hosts
            .get(&id)
            .map(|h| h.name.clone())
            .unwrap_or_default()
    }
}
