//! Asks: taken, joined, hung up on, and answered once.

use std::collections::BTreeSet;
use std::sync::Arc;

use maplethread::{Event, Resources, ServiceId, Task, TaskId};

use crate::answers::{FinalAnswer, IdempotencyRecord};
use crate::api::{self, Place, Problem};
use crate::audit_log::{AuditEntry, RequestOutcome};
use crate::engine::{ActorKey, ActorState, Engine, Output, PlacementRequest, Stage};
use crate::ids::stable_hash;
use crate::sessions::duplicate_policy;
use crate::{ClientId, Decide};

impl<D: Decide> Engine<D> {
    pub(crate) fn disconnect_request(&mut self, task: TaskId) {
        let Some(ask) = self.remove_request(task) else {
            return;
        };
        self.counters.disconnected += 1;
        let after = self.now.saturating_sub(ask.received_at);
        self.audit_log.add(|| AuditEntry::RequestFinished {
            task,
            outcome: RequestOutcome::ClientDisconnected,
            attempts: ask.attempts,
            elapsed: after,
        });
        ask.span.in_scope(|| tracing::debug!("hung up"));
        if let Some(key) = &ask.idempotency_key {
            self.answer_cache.forget(key);
        }
        self.events.push(Event::ClientDisconnected(task));
        if let Some(wire) = ask.in_flight {
            self.cancel_attempt(wire);
        }
    }

    /// Keeps track of what a client waits for.
    pub(crate) fn track_waiting(&mut self, client: ClientId, task: TaskId, begins: bool) {
        if let Some(client) = self.clients.get_mut(&client) {
            if begins {
                client.awaited_tasks.insert(task);
            } else {
                client.awaited_tasks.remove(&task);
            }
        }
    }

    pub(crate) fn remove_request(&mut self, task: TaskId) -> Option<PlacementRequest> {
        let ask = self.requests.remove(&task)?;
        self.deadlines.remove(&(ask.deadline, task));
        for id in ask.waiters.iter().map(|w| &w.2).chain([&ask.request_id]) {
            if self.tasks_by_request_id.get(id) == Some(&task) {
                self.tasks_by_request_id.remove(id);
            }
        }
        if self.actors.get(&ask.key) == Some(&ActorState::Pending(task)) {
            self.actors.remove(&ask.key);
        }
        Some(ask)
    }

    pub(crate) fn accept_request(
        &mut self,
        client: ClientId,
        slot: u64,
        body: Place,
        request: Option<String>,
        idempotency: Option<String>,
    ) -> Result<(), Problem> {
        let Some(class) = self
            .config
            .classes
            .iter()
            .position(|c| c.name == body.class)
        else {
            return Err(Problem::new(
                422,
                "no-such-class",
                "No class of this name",
                body.class,
            ));
        };
        let mut joins = None;
        if let Some(key) = &idempotency {
            match self.answer_cache.get(key) {
                Some(IdempotencyRecord::Answered(bytes)) => {
                    let bytes = bytes.to_vec();
                    self.reply(client, slot, bytes, false);
                    return Ok(());
                }
                Some(IdempotencyRecord::Pending(task)) => joins = Some(*task),
                None => {}
            }
        }
        let key: ActorKey = (body.service.as_str().into(), body.actor.as_str().into());
        let actor = self.actors.get(&key).copied();
        if let Some(ActorState::Pending(task)) = actor {
            joins = joins.or(Some(task));
        }
        if let Some(ask) = joins.and_then(|task| self.requests.get_mut(&task)) {
            if ask.waiters.len() >= 64 {
                let detail = "64 requests wait for this ask already";
                return Err(Problem::unavailable(
                    "too-many-waiters",
                    "Too many requests for one ask",
                    detail,
                ));
            }
            let id = request.map_or_else(|| ask.request_id.clone(), Arc::from);
            ask.waiters.push((client, slot, id.clone()));
            self.tasks_by_request_id.entry(id).or_insert(ask.task.id);
            let task = ask.task.id;
            self.track_waiting(client, task, true);
            return Ok(());
        }
        if let Some(ActorState::Placed(wire)) = actor
            && let Some(attempt) = self.attempts.get(&wire)
        {
            if attempt.stop_reason.is_some() {
                let mut problem = Problem::new(
                    409,
                    "stopping",
                    "The actor is being stopped",
                    "ask again once it has ended",
                );
                problem.retry_after_s = Some(1);
                return Err(problem);
            }
            // It is placed already: one placing, one answer.
            let (host, number) = (attempt.host, attempt.id.number);
            let request = request.map_or_else(|| attempt.request_id.clone(), Arc::from);
            let address = self
                .hosts
                .get(&host)
                .map(|h| h.address.to_string())
                .unwrap_or_default();
            let (host, (service, actor)) = (self.host_name(host), key);
            let answer = FinalAnswer::Placed {
                request,
                service,
                actor,
                host,
                address,
                attempt: number,
            };
            self.reply(client, slot, api::json_response(200, &answer), false);
            return Ok(());
        }
        let until = self.unsettled.get(&key).map(|(until, _)| *until);
        if let Some(until) = until.filter(|&until| until > self.now) {
            let detail = "an earlier attempt may have run and is being called off";
            let mut problem = Problem::new(
                409,
                "unsettled",
                "The actor's last attempt is not settled",
                detail,
            );
            problem.retry_after_s = Some((until - self.now).div_ceil(1_000_000));
            return Err(problem);
        }
        if self.is_stopping {
            let mut problem =
                Problem::unavailable("stopping", "This placer is stopping", "ask another");
            problem.close = true;
            return Err(problem);
        }
        if self.requests.len() >= self.config.api.max_pending_requests {
            return Err(Problem::unavailable(
                "too-many-asks",
                "Too many asks are open",
                "api.max_asks are open",
            ));
        }
        if self.actors.len() >= self.config.api.max_actors {
            return Err(Problem::unavailable(
                "too-many-actors",
                "Too many actors are held",
                "api.max_actors are held",
            ));
        }
        let budget = body.budget_ms.min(self.config.api.max_budget_ms) * 1000;
        if self.turn_latency.should_reject(self.now, budget) {
            let detail = "the placer's turns run late; other placers may have time";
            return Err(Problem::unavailable(
                "overloaded",
                "This placer is overloaded",
                detail,
            ));
        }
        let deadline = self.unread_since.unwrap_or(self.now).min(self.now) + budget;
        let give_up_at = deadline - self.answer_margin_for(budget);
        if give_up_at <= self.now {
            let detail = "the placer stood still, and the ask's budget may be over";
            return Err(Problem::unavailable(
                "stood-still",
                "The ask lay unread for too long",
                detail,
            ));
        }
        self.next_task += 1;
        let id = TaskId(self.next_task);
        let request: Arc<str> = match request {
            Some(request) => request.into(),
            None => format!("{:x}-{}", self.attempt_id_prefix >> 40, id.0).into(),
        };
        let task = Task {
            id,
            service: ServiceId(stable_hash(&body.service)),
            class,
            requested: Resources::new(body.cores, body.memory_gib),
            expected_duration: body.life_ms.map(|ms| ms.saturating_mul(1000)),
            deadline: give_up_at,
            is_resubmission: body.again,
        };
        let name = body.key.as_deref().unwrap_or(&body.actor);
        let copies = duplicate_policy(
            self.settings.classes[class].retry_safety,
            stable_hash(&format!("{}/{name}", body.service)),
        );
        let span = tracing::info_span!("ask", request = %request, service = %key.0, actor = %key.1);
        span.in_scope(|| tracing::debug!(class = body.class, budget_ms = budget / 1000, "asked"));
        let idempotency: Option<Arc<str>> = idempotency.map(Into::into);
        if let Some(key) = &idempotency {
            self.answer_cache.insert_pending(key, id);
        }
        self.tasks_by_request_id.insert(request.clone(), id);
        self.actors.insert(key.clone(), ActorState::Pending(id));
        self.audit_log.add(|| AuditEntry::RequestAccepted {
            task: id,
            service: task.service,
            key: key.clone(),
            class,
            request_id: request.clone(),
            idempotency_key: idempotency.clone(),
        });
        let waiters = vec![(client, slot, request.clone())];
        let (asked, out, attempts, reason, lack, may_run) = (self.now, None, 0, None, None, None);
        let ask = PlacementRequest {
            task,
            received_at: asked,
            deadline,
            awaits_first_turn: true,
            key,
            request_id: request,
            idempotency_key: idempotency,
            waiters,
            duplicate_policy: copies,
            in_flight: out,
            attempts,
            last_failure: reason,
            block_reason: lack,
            past_block_reasons: BTreeSet::new(),
            possibly_started_on: may_run,
            span,
        };
        self.requests.insert(id, ask);
        self.track_waiting(client, id, true);
        self.deadlines.insert((deadline, id));
        self.counters.requests += 1;
        self.events.push(Event::PlacementRequested(task));
        Ok(())
    }

    /// The decider left an ask open up to its deadline: it is answered in its stead, with no more than is known.
    pub(crate) fn send_deadline_answer(&mut self, task: TaskId) {
        let Some(ask) = self.requests.get(&task) else {
            return;
        };
        let (request, attempts) = (ask.request_id.clone(), ask.attempts);
        ask.span
            .in_scope(|| tracing::warn!(attempts, "left open up to its deadline"));
        self.counters.deadline_answers += 1;
        let answer = if attempts == 0 {
            FinalAnswer::Refused {
                request,
                reason: ask.rejection_reason(),
                come_back_ms: 0,
                attempts,
            }
        } else {
            FinalAnswer::Failed {
                request,
                unknown: "whether it runs".to_owned(),
                attempts,
            }
        };
        self.events.push(Event::ClientDisconnected(task));
        self.finish_request(task, answer);
    }

    /// The one final answer to an ask. What is still out is called off, unless it is what was placed.
    pub(crate) fn finish_request(&mut self, task: TaskId, answer: FinalAnswer) {
        let Some(ask) = self.remove_request(task) else {
            return;
        };
        let name = match &answer {
            FinalAnswer::Placed { .. } => {
                self.counters.placed += 1;
                "placed"
            }
            FinalAnswer::Refused { .. } => {
                self.counters.rejected += 1;
                "refused"
            }
            FinalAnswer::Failed { .. } => {
                self.counters.failed += 1;
                "failed"
            }
        };
        let out = ask.in_flight.filter(|w| {
            self.attempts
                .get(w)
                .is_some_and(|a| a.stage != Stage::Placed)
        });
        if let Some(wire) = out {
            self.cancel_attempt(wire);
        }
        let after = self.now.saturating_sub(ask.received_at);
        self.audit_log.add(|| AuditEntry::RequestFinished {
            task,
            outcome: request_outcome(&answer),
            attempts: ask.attempts,
            elapsed: after,
        });
        let late = ask.deadline <= self.now;
        ask.span
            .in_scope(|| tracing::debug!(attempts = ask.attempts, late, "{name}"));
        let bytes = api::json_response(200, &answer);
        if let Some(key) = &ask.idempotency_key {
            self.answer_cache
                .insert_answer(key, self.now, bytes.clone().into());
        }
        for (client, slot, id) in ask.waiters {
            self.track_waiting(client, task, false);
            if late {
                // Its owner gave up: nothing is said after the deadline, and the silence is made plain.
                self.counters.past_deadline += 1;
                self.outputs.push(Output::CloseClient(client));
                self.client_closed(self.now, client);
            } else {
                // Each request that waited has the answer under its own id.
                let own = if id == ask.request_id {
                    bytes.clone()
                } else {
                    api::json_response(200, &answer.for_request(id))
                };
                self.reply(client, slot, own, false);
            }
        }
    }
}

fn request_outcome(answer: &FinalAnswer) -> RequestOutcome {
    match answer {
        FinalAnswer::Placed { host, .. } => RequestOutcome::Placed(host.clone()),
        FinalAnswer::Refused {
            reason,
            come_back_ms,
            ..
        } => RequestOutcome::Rejected(reason, *come_back_ms),
        FinalAnswer::Failed { .. } => RequestOutcome::Failed,
    }
}
