//! Tasks that a host lists after its greeting: confirmed, stopped, or adopted from an earlier incarnation of this
//! placer.

use std::sync::Arc;

use maplethread::{AttemptId, Event, MachineId, ServiceId, Task, TaskId};
use maplethread_wire::frame::{Frame, Offer};

use super::{Delivery, resources};
use crate::answers::FinalAnswer;
use crate::attempt::{ActorState, Attempt, Stage};
use crate::audit_log::AuditEntry;
use crate::decide::Decide;
use crate::engine::Engine;
use crate::ids::{ActorKey, AttemptKey, HostId, stable_hash};

impl<D: Decide> Engine<D> {
    /// Handles a task of this placer that a host holds.
    pub(super) fn handle_held_task(&mut self, id: HostId, offer: &Offer, is_running: bool) {
        let attempt = AttemptKey(offer.attempt_id);
        if self.attempts.contains_key(&attempt) {
            self.confirm_task(id, attempt, is_running);
        } else {
            self.adopt_task(id, offer, is_running);
        }
    }

    /// Confirms a task that this engine has placed and the host still holds.
    fn confirm_task(&mut self, id: HostId, key: AttemptKey, is_running: bool) {
        let Some(attempt) = self
            .attempts
            .get(&key)
            .filter(|attempt| attempt.stage == Stage::Placed && attempt.host == id)
        else {
            return;
        };
        let (is_to_stop, was_running) = (attempt.stop_reason.is_some(), attempt.is_running);
        if let Some(host) = self.hosts.get_mut(&id) {
            host.unconfirmed.remove(&key);
        }
        if is_running && !was_running {
            self.handle_started(key, 0);
        }
        if is_to_stop {
            self.send_frame(id, &Frame::Stop(key.0), Delivery::Required);
        }
    }

    /// Records a task that a host holds and this engine has no attempt for.
    fn adopt_task(&mut self, id: HostId, offer: &Offer, is_running: bool) {
        let attempt_key = AttemptKey(offer.attempt_id);
        let key = ActorKey::new(&offer.service, &offer.actor);
        let classes = &self.config.classes;
        let Some(class) = classes.iter().position(|c| c.name == offer.class) else {
            tracing::warn!(host = %self.host_name(id), class = offer.class, "host holds a task of an unknown class; task ignored");
            return;
        };
        // An attempt of this incarnation that has ended or was reported lost, and a second copy of a placed actor, are
        // to be stopped. They count as running until the host has stopped them.
        let is_own = attempt_key.has_prefix(self.attempt_id_prefix);
        let is_unwanted = is_own || matches!(self.actors.get(&key), Some(ActorState::Placed(_)));
        self.next_task += 1;
        let task = Task {
            id: TaskId(self.next_task),
            service: ServiceId(stable_hash(&offer.service)),
            class,
            requested: resources(offer.requested),
            expected_duration: (offer.expected_duration_ms > 0)
                .then_some(offer.expected_duration_ms * 1000),
            deadline: self.now,
            is_resubmission: false,
        };
        self.audit_log
            .add(|| AuditEntry::Service(task.service, key.service.clone()));
        let attempt = Attempt {
            id: AttemptId {
                task: task.id,
                number: 0,
            },
            host: id,
            key: key.clone(),
            request_id: Arc::from(offer.request_id.as_str()),
            class,
            sent_at: self.now,
            expires_at: self.now,
            timeout_timer: None,
            frame_end: 0,
            stage: Stage::Placed,
            is_running,
            is_cancelled: false,
            stop_reason: is_unwanted.then_some("unwanted"),
            is_unwanted,
        };
        let subject = self.subject_of(&attempt);
        self.attempts.insert(attempt_key, attempt);
        if let Some(host) = self.hosts.get_mut(&id) {
            host.attempts.insert(attempt_key);
        }
        self.events.push(Event::TaskAdopted {
            task,
            machine: MachineId(id.0),
        });
        if is_unwanted {
            self.send_frame(id, &Frame::Stop(attempt_key.0), Delivery::Required);
            return;
        }
        self.counters.adopted += 1;
        let before = self
            .actors
            .insert(key.clone(), ActorState::Placed(attempt_key));
        self.publish_event("adopted", None, &subject);
        if let Some(ActorState::Pending(task)) = before {
            self.answer_with_adopted(task, key, id);
        }
    }

    /// Answers a pending request for an actor that has just been adopted.
    fn answer_with_adopted(&mut self, task: TaskId, key: ActorKey, host: HostId) {
        let request_id = self
            .requests
            .get(&task)
            .map(|request| request.request_id.clone())
            .unwrap_or_default();
        let answer = FinalAnswer::Placed {
            request_id,
            service: key.service,
            actor: key.actor,
            host: self.host_name(host),
            address: self.host_address(host),
            attempt: 0,
        };
        self.events.push(Event::ClientDisconnected(task));
        self.finish_request(task, answer);
    }
}
