//! The requests of owners: sent, answered, abandoned and repeated.

use std::sync::Arc;

use maplethread_checker::{Observation, Outcome};
use maplethread_wire::http::{self, Limits, MessageReader, ReadResult, Role};
use serde_json::{Value, json};

use super::ANSWER_SLACK_US;
use super::thread::{ConnectionUse, OwnerState, OwnerThread, PlacerGeneration, Timer};

/// An owner whose task is wanted for less than this does not request it again, µs.
const MIN_REMAINING_US: u64 = 300_000;
/// Shortest and longest time before an owner that could not connect to a placer tries again, ms.
const NO_PLACER_RETRY_MS: [f64; 2] = [100.0, 300.0];
/// Range of the time at which an owner abandons a request early, as a share of its deadline.
const EARLY_DISCONNECT_SHARE: [f64; 2] = [0.02, 0.9];
/// Time for which some abandoned connections are left open, to record answers after the deadline, µs.
const LINGER_US: u64 = 300_000;
/// Interval at which an owner checks whether its task still runs, µs.
const CHECK_INTERVAL_US: u64 = 2_000_000;

/// An answer from a placer.
struct Answer {
    outcome: Outcome,
    /// The request that the answer names, if any.
    request: Option<Arc<str>>,
    /// The time to wait before a retry that the placer advises, ms; 0 without advice.
    retry_after_ms: f64,
}

impl Answer {
    fn parse(status: u16, body: &[u8]) -> Answer {
        let body: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        let text = |key: &str| body[key].as_str().unwrap_or("").to_owned();
        let outcome = match (status, text("outcome").as_str()) {
            (200, "placed") => Outcome::Placed(text("host")),
            (200, "refused") => Outcome::Rejected(text("reason")),
            (200, "failed") => Outcome::Failed,
            _ => Outcome::NotAccepted(status),
        };
        Answer {
            outcome,
            request: body["request"].as_str().map(Arc::from),
            retry_after_ms: body["come_back_ms"].as_f64().unwrap_or(0.0),
        }
    }
}

impl OwnerThread {
    /// Sends an owner's next request, if its task is still wanted.
    pub(super) fn send_request(&mut self, now: u64, owner: usize) {
        let is_closing = self.behaviour().is_closing;
        let state = &self.owners[owner];
        if state.state != OwnerState::BetweenRequests {
            return;
        }
        if is_closing || now + MIN_REMAINING_US >= state.wanted_until {
            self.owners[owner].state = OwnerState::Finished;
            return;
        }
        let target = self.choose_placer(owner);
        let connected = target.and_then(|target| {
            let token = self.idle_or_new_connection(target.process, target.address);
            Some((target.process.placer, token.ok()?))
        });
        let Some((placer, token)) = connected else {
            self.schedule_retry(now, owner, NO_PLACER_RETRY_MS);
            return;
        };
        self.write_request(now, owner, token, placer);
        self.schedule_deadlines(now, owner);
        let poller = &self.poller;
        let has_failed = self
            .connections
            .get_mut(&token)
            .is_some_and(|connection| connection.conn.flush(poller).is_err());
        if has_failed {
            self.handle_connection_failure(token);
        }
    }

    fn write_request(&mut self, now: u64, owner: usize, token: u64, placer: usize) {
        let placer_name = self.behaviour().placers[placer].name.clone();
        let owner_index = owner;
        let owner = &mut self.owners[owner];
        let class = &self.scenario.classes[owner.class];
        owner.request_count += 1;
        owner.state = OwnerState::AwaitingAnswer(token);
        owner.requested_at = now;
        owner.request = format!("{}.{}", owner.actor, owner.request_count).into();
        let body = json!({
            "service": owner.service, "actor": owner.actor, "class": class.placer_class.name,
            "cores": owner.resources[0], "memory_gib": owner.resources[1],
            "budget_ms": class.deadline_ms,
            "life_ms": (owner.wanted_until - now) / 1000, "again": owner.request_count > 1,
        });
        let request = owner.request.clone();
        if let Some(connection) = self.connections.get_mut(&token) {
            connection.conn.check_connected();
            http::write_request(
                connection.conn.write_buffer(),
                "POST",
                "/v1/actors",
                &[("Host", "placer"), ("X-Request-Id", &*request)],
                body.to_string().as_bytes(),
            );
            connection.purpose = ConnectionUse::Requests {
                reader: MessageReader::new(Role::Responses, Limits::default()),
                owner: Some(owner_index),
                is_abandoned: false,
            };
        }
        self.context.record(Observation::PlacementRequested {
            request,
            placer: placer_name.into(),
            class: class.placer_class.name.as_str().into(),
            budget_us: class.deadline_ms * 1000,
        });
        self.unanswered += 1;
        self.behaviour().request_count += 1;
    }

    /// Schedules the deadline of a request that was just sent, and possibly an early disconnect.
    fn schedule_deadlines(&mut self, now: u64, owner: usize) {
        let state = &self.owners[owner];
        let request_count = state.request_count;
        let budget_us = self.scenario.classes[state.class].deadline_ms * 1000;
        self.timers.schedule(
            now + budget_us + ANSWER_SLACK_US,
            Timer::Deadline(owner, request_count),
        );
        let disconnect_share = self.behaviour().disconnect_share;
        let rng = &mut self.owners[owner].rng;
        if rng.random_bool(disconnect_share) {
            let share = rng.between(EARLY_DISCONNECT_SHARE);
            self.timers.schedule(
                now + (budget_us as f64 * share) as u64,
                Timer::EarlyDisconnect(owner, request_count),
            );
        }
    }

    /// Abandons a request. The connection is closed at once, or left open for a while: to cancel the request if the
    /// disconnect is early, and otherwise to record any answer after the deadline.
    pub(super) fn disconnect(&mut self, now: u64, owner: usize, is_early: bool) {
        let OwnerState::AwaitingAnswer(token) = self.owners[owner].state else {
            return;
        };
        let request = self.owners[owner].request.clone();
        self.context.record(Observation::ClientDisconnected {
            request: request.clone(),
        });
        self.unanswered -= 1;
        let is_left_open = self.owners[owner].rng.random_bool(0.5);
        if let Some(connection) = self.connections.get_mut(&token)
            && let ConnectionUse::Requests {
                owner: waiting,
                is_abandoned,
                ..
            } = &mut connection.purpose
        {
            *waiting = (is_left_open && !is_early).then_some(owner);
            *is_abandoned = true;
        }
        if is_left_open {
            if is_early {
                self.send_cancellation(token, &request);
            }
            self.timers
                .schedule(now + LINGER_US, Timer::CloseConnection(token));
        } else {
            self.drop_connection(token);
        }
        self.handle_unknown_outcome(now, owner);
    }

    fn send_cancellation(&mut self, token: u64, request: &str) {
        let Some(process) = self.connections.get(&token).map(|c| c.process) else {
            return;
        };
        let Some(address) = self.behaviour().placers[process.placer].address else {
            return;
        };
        if let Ok(other) = self.idle_or_new_connection(process, address)
            && let Some(connection) = self.connections.get_mut(&other)
        {
            http::write_request(
                connection.conn.write_buffer(),
                "DELETE",
                &format!("/v1/asks/{request}"),
                &[("Host", "placer")],
                b"",
            );
            let _ = connection.conn.flush(&self.poller);
        }
    }

    /// Handles a request whose outcome is unknown, so that its task may run: an owner whose task must not run twice
    /// waits longer before it retries.
    pub(super) fn handle_unknown_outcome(&mut self, now: u64, owner: usize) {
        let state = &mut self.owners[owner];
        state.failure_count += 1;
        let demand = &self.scenario.demand;
        let settle_ms = demand.unknown_outcome_retry_ms as f64;
        let after_ms = if self.scenario.must_not_run_twice(state.class) {
            [settle_ms, settle_ms * 1.2]
        } else {
            demand.retry_after_ms
        };
        self.schedule_retry(now, owner, after_ms);
    }

    /// Checks on a placed task: if the placer process that placed it is gone and the task runs nowhere, the owner
    /// repeats its request.
    pub(super) fn check_placement(&mut self, now: u64, owner: usize) {
        let OwnerState::Placed(process) = self.owners[owner].state else {
            return;
        };
        if now >= self.owners[owner].wanted_until {
            self.owners[owner].state = OwnerState::Finished;
            return;
        }
        let is_same_process = {
            let placer = &self.behaviour().placers[process.placer];
            placer.generation == process.generation && !placer.is_down
        };
        let actor = &self.owners[owner].actor;
        if !is_same_process && !self.context.service_accounting().is_running(actor) {
            let retry_after_ms = self.scenario.demand.retry_after_ms;
            self.schedule_retry(now, owner, retry_after_ms);
            return;
        }
        self.timers
            .schedule(now + CHECK_INTERVAL_US, Timer::CheckPlacement(owner));
    }

    /// Reads answers; returns whether the connection has to be closed.
    pub(super) fn read_answers(&mut self, token: u64) -> bool {
        loop {
            let Some(connection) = self.connections.get_mut(&token) else {
                return false;
            };
            let ConnectionUse::Requests {
                reader,
                owner,
                is_abandoned,
            } = &mut connection.purpose
            else {
                return true;
            };
            let message = match reader.read(connection.conn.unread()) {
                Ok((ReadResult::Message(message), used)) => {
                    connection.conn.consume(used);
                    message
                }
                Ok((_, used)) => {
                    connection.conn.consume(used);
                    return false;
                }
                Err(_) => return true,
            };
            let (owner, is_abandoned) = (owner.take(), *is_abandoned);
            let keep = message.head.is_keep_alive() && !is_abandoned;
            let process = connection.process;
            if let Some(owner) = owner {
                let answer = Answer::parse(message.head.status(), &message.body);
                self.handle_answer(owner, process, is_abandoned, answer);
            }
            if !keep {
                self.drop_connection(token);
                return false;
            }
            self.idle.entry(process).or_default().push(token);
        }
    }

    fn handle_answer(
        &mut self,
        owner: usize,
        process: PlacerGeneration,
        is_abandoned: bool,
        answer: Answer,
    ) {
        let now = self.context.clock.now();
        let request = match answer.request {
            Some(request) => request,
            // An answer without a request id on an abandoned connection does not belong to the owner's present request.
            None if is_abandoned => return,
            None => self.owners[owner].request.clone(),
        };
        if let Some(delay) = self.read_times.delay_to_report(now) {
            self.context.record(delay);
        }
        self.context.record(Observation::Answered {
            request,
            outcome: answer.outcome.clone(),
        });
        if is_abandoned {
            return;
        }
        self.unanswered -= 1;
        let retry_after_ms = self.scenario.demand.retry_after_ms;
        match answer.outcome {
            Outcome::Placed(_) => {
                self.placement_times_us
                    .push(now - self.owners[owner].requested_at);
                self.behaviour().placed_count += 1;
                let state = &mut self.owners[owner];
                (state.state, state.failure_count) = (OwnerState::Placed(process), 0);
                self.timers
                    .schedule(now + CHECK_INTERVAL_US, Timer::CheckPlacement(owner));
            }
            Outcome::Rejected(_) => {
                self.owners[owner].failure_count += 1;
                let advised = retry_after_ms.map(|ms| ms.max(answer.retry_after_ms));
                self.schedule_retry(now, owner, advised);
            }
            Outcome::Failed => self.handle_unknown_outcome(now, owner),
            Outcome::NotAccepted(_) => {
                self.owners[owner].failure_count += 1;
                self.schedule_retry(now, owner, retry_after_ms);
            }
        }
    }
}
