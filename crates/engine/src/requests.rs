//! Placement requests: accepting, joining and abandoning them, and answering each of them once.

use std::collections::BTreeSet;
use std::sync::Arc;

use maplethread::{Event, Micros, ServiceId, Task, TaskId};

use crate::answers::{FinalAnswer, IdempotencyRecord};
use crate::api::PlaceRequest;
use crate::attempt::{ActorState, Stage};
use crate::audit_log::{AuditEntry, RequestOutcome};
use crate::decide::Decide;
use crate::engine::Engine;
use crate::ids::{ActorKey, AttemptKey, ClientId, RequestSlot, stable_hash};
use crate::output::Output;
use crate::placement_request::{PlacementRequest, Waiter};
use crate::problem::{Problem, json_response};
use crate::sessions::duplicate_policy;

/// Maximum number of client requests that wait for the answer to one placement request.
const MAX_WAITERS: usize = 64;

impl<D: Decide> Engine<D> {
    /// Accepts a placement request, joins it to another one for the same actor, or answers it at once.
    pub(crate) fn accept_request(
        &mut self,
        client: ClientId,
        slot: RequestSlot,
        place: PlaceRequest,
    ) -> Result<(), Problem> {
        let class = self.class_index(&place.class)?;
        let known = place
            .idempotency_key
            .as_deref()
            .and_then(|key| self.answer_cache.get(key));
        let mut joined = None;
        match known {
            Some(IdempotencyRecord::Answered(bytes)) => {
                let bytes = bytes.to_vec();
                self.reply(client, slot, bytes);
                return Ok(());
            }
            Some(IdempotencyRecord::Pending(task)) => joined = Some(*task),
            None => {}
        }
        let actor = self.actors.get(&place.key).copied();
        if let Some(ActorState::Pending(task)) = actor {
            joined = joined.or(Some(task));
        }
        if let Some(task) = joined.filter(|task| self.requests.contains_key(task)) {
            return self.join_request(client, slot, task, place.request_id);
        }
        if let Some(ActorState::Placed(attempt)) = actor
            && self.attempts.contains_key(&attempt)
        {
            return self.answer_placed(client, slot, attempt, place);
        }
        self.check_settled(&place.key)?;
        self.check_limits()?;
        let budget = place.budget_ms.min(self.config.api.max_budget_ms) * 1000;
        self.check_time_left(budget)?;
        self.start_request(client, slot, class, budget, place);
        Ok(())
    }

    fn class_index(&self, name: &str) -> Result<usize, Problem> {
        self.config
            .classes
            .iter()
            .position(|class| class.name == name)
            .ok_or_else(|| Problem::new(422, "no-such-class", "No class of this name", name))
    }

    /// Adds a client request to those that wait for the answer to a pending placement request.
    fn join_request(
        &mut self,
        client: ClientId,
        slot: RequestSlot,
        task: TaskId,
        request_id: Option<String>,
    ) -> Result<(), Problem> {
        let Some(request) = self.requests.get_mut(&task) else {
            return Ok(());
        };
        if request.waiters.len() >= MAX_WAITERS {
            return Err(Problem::unavailable(
                "too-many-waiters",
                "Too many requests for one ask",
                "64 requests wait for this ask already",
            ));
        }
        let request_id = request_id.map_or_else(|| request.request_id.clone(), Arc::from);
        request.waiters.push(Waiter {
            client,
            slot,
            request_id: request_id.clone(),
        });
        self.tasks_by_request_id.entry(request_id).or_insert(task);
        self.add_awaited_task(client, task);
        Ok(())
    }

    /// Answers a request for an actor that is already placed with its present placement.
    fn answer_placed(
        &mut self,
        client: ClientId,
        slot: RequestSlot,
        placed: AttemptKey,
        place: PlaceRequest,
    ) -> Result<(), Problem> {
        let Some(attempt) = self.attempts.get(&placed) else {
            return Ok(());
        };
        if attempt.stop_reason.is_some() {
            return Err(Problem::new(
                409,
                "stopping",
                "The actor is being stopped",
                "ask again once it has ended",
            )
            .retry_after(1));
        }
        let answer = FinalAnswer::Placed {
            request_id: place
                .request_id
                .map_or_else(|| attempt.request_id.clone(), Arc::from),
            service: place.key.service,
            actor: place.key.actor,
            host: self.host_name(attempt.host),
            address: self.host_address(attempt.host),
            attempt: attempt.id.number,
        };
        self.reply(client, slot, json_response(200, &answer));
        Ok(())
    }

    /// Rejects a request for an actor that has an attempt that may still start.
    fn check_settled(&self, key: &ActorKey) -> Result<(), Problem> {
        let until = self.unsettled.get(key).map(|unsettled| unsettled.until);
        match until.filter(|&until| until > self.now) {
            Some(until) => Err(Problem::new(
                409,
                "unsettled",
                "The actor's last attempt is not settled",
                "an earlier attempt may have run and is being called off",
            )
            .retry_after((until - self.now).div_ceil(1_000_000))),
            None => Ok(()),
        }
    }

    fn check_limits(&self) -> Result<(), Problem> {
        if self.is_stopping {
            return Err(
                Problem::unavailable("stopping", "This placer is stopping", "ask another")
                    .closing(),
            );
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
        Ok(())
    }

    /// Rejects a request that can't be decided on before its deadline.
    fn check_time_left(&self, budget: Micros) -> Result<(), Problem> {
        if self.turn_latency.should_reject(self.now, budget) {
            return Err(Problem::unavailable(
                "overloaded",
                "This placer is overloaded",
                "the placer's turns run late; other placers may have time",
            ));
        }
        if self.decision_deadline(budget) <= self.now {
            return Err(Problem::unavailable(
                "stood-still",
                "The ask lay unread for too long",
                "the placer stood still, and the ask's budget may be over",
            ));
        }
        Ok(())
    }

    /// When the client of a request that is read now stops waiting. The budget counts from the earliest time at which
    /// the request may have arrived.
    fn client_deadline(&self, budget: Micros) -> Micros {
        self.unread_since.unwrap_or(self.now).min(self.now) + budget
    }

    /// The deadline that the decider gets for a request that is read now.
    fn decision_deadline(&self, budget: Micros) -> Micros {
        self.client_deadline(budget) - self.answer_margin_for(budget)
    }

    fn start_request(
        &mut self,
        client: ClientId,
        slot: RequestSlot,
        class: usize,
        budget: Micros,
        place: PlaceRequest,
    ) {
        self.next_task += 1;
        let id = TaskId(self.next_task);
        let key = place.key;
        let request_id: Arc<str> = match place.request_id {
            Some(request_id) => request_id.into(),
            None => {
                let prefix = AttemptKey::short_prefix(self.attempt_id_prefix);
                format!("{prefix:x}-{}", id.0).into()
            }
        };
        let task = Task {
            id,
            service: ServiceId(stable_hash(&key.service)),
            class,
            requested: place.requested,
            expected_duration: place.expected_duration,
            deadline: self.decision_deadline(budget),
            is_resubmission: place.is_resubmission,
        };
        let deduplication_name = place.deduplication_key.as_deref().unwrap_or(&key.actor);
        let duplicate_policy = duplicate_policy(
            self.settings.classes[class].retry_safety,
            stable_hash(&format!("{}/{deduplication_name}", key.service)),
        );
        let span = tracing::info_span!(
            "placement",
            request = %request_id,
            service = %key.service,
            actor = %key.actor
        );
        span.in_scope(|| {
            tracing::debug!(class = place.class, budget_ms = budget / 1000, "accepted");
        });
        let idempotency_key: Option<Arc<str>> = place.idempotency_key.map(Into::into);
        if let Some(idempotency_key) = &idempotency_key {
            self.answer_cache.insert_pending(idempotency_key, id);
        }
        self.tasks_by_request_id.insert(request_id.clone(), id);
        self.actors.insert(key.clone(), ActorState::Pending(id));
        self.audit_log.add(|| AuditEntry::RequestAccepted {
            task: id,
            service: task.service,
            key: key.clone(),
            class,
            request_id: request_id.clone(),
            idempotency_key: idempotency_key.clone(),
        });
        let deadline = self.client_deadline(budget);
        let waiter = Waiter {
            client,
            slot,
            request_id: request_id.clone(),
        };
        let request = PlacementRequest {
            task,
            received_at: self.now,
            deadline,
            awaits_first_turn: true,
            key,
            request_id,
            idempotency_key,
            waiters: vec![waiter],
            duplicate_policy,
            in_flight: None,
            timer: None,
            attempts: 0,
            last_failure: None,
            block_reason: None,
            past_block_reasons: BTreeSet::new(),
            possibly_started_on: None,
            span,
        };
        self.requests.insert(id, request);
        self.add_awaited_task(client, id);
        self.deadlines.insert((deadline, id));
        self.counters.requests += 1;
        self.events.push(Event::PlacementRequested(task));
    }

    /// Records that a client waits for the answer to a request.
    fn add_awaited_task(&mut self, client: ClientId, task: TaskId) {
        if let Some(client) = self.clients.get_mut(&client) {
            client.awaited_tasks.insert(task);
        }
    }

    /// Records that a client no longer waits for the answer to a request.
    pub(crate) fn remove_awaited_task(&mut self, client: ClientId, task: TaskId) {
        if let Some(client) = self.clients.get_mut(&client) {
            client.awaited_tasks.remove(&task);
        }
    }

    /// Ends a request that no client waits for any more.
    pub(crate) fn disconnect_request(&mut self, task: TaskId) {
        let Some(request) = self.remove_request(task) else {
            return;
        };
        self.counters.disconnected += 1;
        let elapsed = self.now.saturating_sub(request.received_at);
        self.audit_log.add(|| AuditEntry::RequestFinished {
            task,
            outcome: RequestOutcome::ClientDisconnected,
            attempts: request.attempts,
            elapsed,
        });
        request
            .span
            .in_scope(|| tracing::debug!("client disconnected"));
        if let Some(key) = &request.idempotency_key {
            self.answer_cache.remove(key);
        }
        self.events.push(Event::ClientDisconnected(task));
        if let Some(attempt) = request.in_flight {
            self.cancel_attempt(attempt);
        }
    }

    fn remove_request(&mut self, task: TaskId) -> Option<PlacementRequest> {
        let request = self.requests.remove(&task)?;
        self.deadlines.remove(&(request.deadline, task));
        self.timers.cancel(request.timer);
        let waiters = request.waiters.iter().map(|waiter| &waiter.request_id);
        for id in waiters.chain([&request.request_id]) {
            if self.tasks_by_request_id.get(id) == Some(&task) {
                self.tasks_by_request_id.remove(id);
            }
        }
        if self.actors.get(&request.key) == Some(&ActorState::Pending(task)) {
            self.actors.remove(&request.key);
        }
        Some(request)
    }

    /// Answers a request that the decider has not answered before its deadline: as rejected if no attempt was made,
    /// otherwise as failed.
    pub(crate) fn send_deadline_answer(&mut self, task: TaskId) {
        let Some(request) = self.requests.get(&task) else {
            return;
        };
        let attempts = request.attempts;
        request.span.in_scope(|| {
            tracing::warn!(
                attempts,
                "decider did not answer before the deadline; answered by the engine"
            )
        });
        self.counters.deadline_answers += 1;
        let request_id = request.request_id.clone();
        let answer = if attempts == 0 {
            FinalAnswer::Rejected {
                request_id,
                reason: request.rejection_reason(),
                retry_after_ms: 0,
                attempts,
            }
        } else {
            FinalAnswer::Failed {
                request_id,
                unknown: "whether it runs".to_owned(),
                attempts,
            }
        };
        self.events.push(Event::ClientDisconnected(task));
        self.finish_request(task, answer);
    }

    /// Sends the final answer to a request. Its attempt in flight is cancelled, unless that attempt was placed.
    pub(crate) fn finish_request(&mut self, task: TaskId, answer: FinalAnswer) {
        let Some(request) = self.remove_request(task) else {
            return;
        };
        let name = match &answer {
            FinalAnswer::Placed { .. } => {
                self.counters.placed += 1;
                "placed"
            }
            FinalAnswer::Rejected { .. } => {
                self.counters.rejected += 1;
                "refused"
            }
            FinalAnswer::Failed { .. } => {
                self.counters.failed += 1;
                "failed"
            }
        };
        let unplaced_attempt = request.in_flight.filter(|key| {
            self.attempts
                .get(key)
                .is_some_and(|attempt| attempt.stage != Stage::Placed)
        });
        if let Some(attempt) = unplaced_attempt {
            self.cancel_attempt(attempt);
        }
        let elapsed = self.now.saturating_sub(request.received_at);
        self.audit_log.add(|| AuditEntry::RequestFinished {
            task,
            outcome: RequestOutcome::from(&answer),
            attempts: request.attempts,
            elapsed,
        });
        let is_late = request.deadline <= self.now;
        request
            .span
            .in_scope(|| tracing::debug!(attempts = request.attempts, late = is_late, "{name}"));
        let bytes = json_response(200, &answer);
        if let Some(key) = &request.idempotency_key {
            self.answer_cache
                .insert_answer(key, self.now, bytes.clone().into());
        }
        for waiter in request.waiters {
            self.remove_awaited_task(waiter.client, task);
            if is_late {
                // No answer is sent after the deadline. Closing the connection shows the client that none follows.
                self.counters.past_deadline += 1;
                self.outputs.push(Output::CloseClient(waiter.client));
                self.client_closed(self.now, waiter.client);
            } else if waiter.request_id == request.request_id {
                self.reply(waiter.client, waiter.slot, bytes.clone());
            } else {
                // A request that joined another one is answered under its own id.
                let answer = answer.for_request(waiter.request_id);
                self.reply(waiter.client, waiter.slot, json_response(200, &answer));
            }
        }
    }
}
