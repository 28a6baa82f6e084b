//! Tasks that a host names after a new connection: kept, stopped, or taken over from an earlier life.

use std::sync::Arc;

use maplethread::{AttemptId, Event, MachineId, Resources, Task, TaskId};
use maplethread_wire::frame::{Frame, Offer};

use crate::answers::FinalAnswer;
use crate::audit_log::AuditEntry;
use crate::engine::{ActorState, Attempt, Engine, Stage};
use crate::ids::stable_hash;
use crate::{Decide, HostId};

impl<D: Decide> Engine<D> {
    /// A task that a host holds of this placer, told after a new connection.
    pub(super) fn handle_held_task(&mut self, id: HostId, offer: Offer, runs: bool) {
        let wire = offer.attempt_id;
        if let Some(attempt) = self.attempts.get(&wire) {
            if attempt.stage != Stage::Placed || attempt.host != id {
                return;
            }
            let (stop, was) = (attempt.stop_reason.is_some(), attempt.is_running);
            if let Some(host) = self.hosts.get_mut(&id) {
                host.unconfirmed.remove(&wire);
            }
            if runs && !was {
                self.handle_started(wire, 0);
            }
            if stop {
                self.send_frame(id, &Frame::Stop(wire), false);
            }
            return;
        }
        let key = (
            Arc::<str>::from(offer.service.as_str()),
            Arc::<str>::from(offer.actor.as_str()),
        );
        let Some(class) = self
            .config
            .classes
            .iter()
            .position(|c| c.name == offer.class)
        else {
            tracing::warn!(host = %self.host_name(id), class = offer.class, "holds a task of no known class");
            return;
        };
        // An attempt of this life that ended or was told as lost, or another copy: it is not wanted. It runs until the
        // host has stopped it, and counts as long.
        let own = wire & !((1 << 40) - 1) == self.attempt_id_prefix;
        let unwanted = own || matches!(self.actors.get(&key), Some(ActorState::Placed(_)));
        self.next_task += 1;
        let task = Task {
            id: TaskId(self.next_task),
            service: maplethread::ServiceId(stable_hash(&offer.service)),
            class,
            requested: Resources::new(offer.requested.cores, offer.requested.memory_gib),
            expected_duration: (offer.expected_duration_ms > 0)
                .then_some(offer.expected_duration_ms * 1000),
            deadline: self.now,
            is_resubmission: false,
        };
        self.audit_log
            .add(|| AuditEntry::Service(task.service, key.0.clone()));
        let request: Arc<str> = offer.request_id.as_str().into();
        let attempt = Attempt {
            id: AttemptId {
                task: task.id,
                number: 0,
            },
            host: id,
            key: key.clone(),
            request_id: request.clone(),
            class,
            sent_at: self.now,
            expires_at: self.now,
            frame_end: 0,
            stage: Stage::Placed,
            is_running: runs,
            is_cancelled: false,
            stop_reason: unwanted.then_some("unwanted"),
            is_unwanted: unwanted,
        };
        self.attempts.insert(wire, attempt);
        if let Some(host) = self.hosts.get_mut(&id) {
            host.attempts.insert(wire);
        }
        self.events.push(Event::TaskAdopted {
            task,
            machine: MachineId(id.0),
        });
        if unwanted {
            self.send_frame(id, &Frame::Stop(wire), false);
            return;
        }
        self.counters.adopted += 1;
        let before = self.actors.insert(key.clone(), ActorState::Placed(wire));
        let name = self.host_name(id);
        self.publish_event("adopted", &key, name.clone(), None, request);
        // Somebody asks for it just now: here it is.
        if let Some(ActorState::Pending(asked)) = before {
            let address = self
                .hosts
                .get(&id)
                .map(|h| h.address.to_string())
                .unwrap_or_default();
            let request = self
                .requests
                .get(&asked)
                .map(|a| a.request_id.clone())
                .unwrap_or_default();
            let (service, actor) = key;
            self.events.push(Event::ClientDisconnected(asked));
            self.finish_request(
                asked,
                FinalAnswer::Placed {
                    request,
                    service,
                    actor,
                    host: name,
                    address,
                    attempt: 0,
                },
            );
        }
    }
}
