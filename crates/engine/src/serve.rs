//! The client side: connections, requests and what is answered to them at once.

use std::sync::Arc;

use serde_json::json;

use crate::api::{self, ApiRequest, Problem};
use crate::clients::{ClientConnection, ClientInput};
use crate::engine::{ActorKey, ActorState, Engine, Output, Timer};
use crate::{ClientId, Decide};

/// So many requests are taken in one turn; then each client has one more, so that none waits for a crowd.
const MAX_REQUESTS_PER_TURN: usize = 128;

impl<D: Decide> Engine<D> {
    /// A client has connected.
    pub fn client_opened(&mut self, now: u64, id: ClientId) {
        self.now = self.now.max(now);
        if self.clients.len() >= self.config.api.max_clients {
            let mut problem = Problem::unavailable(
                "too-many-clients",
                "Too many connections",
                "api.max_clients are open",
            );
            problem.close = true;
            self.outputs
                .push(Output::ToClient(id, problem.to_bytes(None)));
            self.outputs.push(Output::CloseClient(id));
            return;
        }
        self.clients.insert(
            id,
            ClientConnection::new(self.now, self.config.api.max_body_bytes),
        );
        let first = self
            .config
            .api
            .request_timeout_ms
            .min(self.config.api.idle_timeout_ms)
            * 1000;
        self.timers
            .schedule(self.now + first, Timer::ClientTimeout(id));
    }

    /// Bytes from a client; returns how many were used. The rest is to be given again, with more, or once the
    /// client has had an answer.
    pub fn client_bytes(&mut self, now: u64, id: ClientId, unread: &[u8]) -> usize {
        self.now = self.now.max(now);
        let (most, turn) = (self.config.api.max_pipelined, self.turn_count);
        let unread_most = self.config.api.max_unsent_bytes / 4;
        let mut used = 0;
        loop {
            let Some(client) = self.clients.get_mut(&id) else {
                return unread.len();
            };
            if client.has_ended || client.next_event.is_some() {
                // Nothing after the last request counts.
                return unread.len();
            }
            // A client that has much in hand, does not read, or has had its share of this turn waits.
            if client.taken.0 != turn {
                client.taken = (turn, 0);
            }
            let share = if self.requests_this_turn >= MAX_REQUESTS_PER_TURN {
                1
            } else {
                most
            };
            if client.unanswered_requests() >= most
                || client.taken.1 >= share
                || client.unread_bytes > unread_most
            {
                return used;
            }
            let (came, n) = client.read(&unread[used..]);
            used += n;
            match came {
                ClientInput::Nothing => {
                    let begun = client.is_mid_request() || used < unread.len();
                    client.request_began_at = if begun {
                        client.request_began_at.or(Some(self.now))
                    } else {
                        None
                    };
                    return used;
                }
                ClientInput::Continue => {
                    client.request_began_at = client.request_began_at.or(Some(self.now));
                    self.outputs.push(Output::ToClient(
                        id,
                        b"HTTP/1.1 100 Continue\r\n\r\n".to_vec(),
                    ));
                }
                ClientInput::Request(slot, message) => {
                    (client.request_began_at, client.last_used_at) = (None, self.now);
                    client.taken.1 += 1;
                    self.requests_this_turn += 1;
                    match api::parse_request(&message) {
                        Ok(call) => self.handle_request(id, slot, call),
                        Err(problem) => self.reply_problem(id, slot, problem),
                    }
                }
                ClientInput::Malformed(slot, error) => {
                    let mut problem = Problem::new(
                        error.status(),
                        "bad-http",
                        "The message can't be read",
                        error.to_string(),
                    );
                    problem.close = true;
                    self.reply_problem(id, slot, problem);
                    return unread.len();
                }
            }
        }
    }

    /// So many bytes wait for a client to read them.
    pub fn client_unread(&mut self, id: ClientId, bytes: usize) {
        let Some(client) = self.clients.get_mut(&id) else {
            return;
        };
        client.unread_bytes = bytes;
        if bytes > self.config.api.max_unsent_bytes {
            tracing::warn!(client = id.0, bytes, "does not read its answers; cut off");
            self.outputs.push(Output::CloseClient(id));
            self.client_closed(self.now, id);
        }
    }

    /// A client's connection has ended: it hung up on all it waited for.
    pub fn client_closed(&mut self, now: u64, id: ClientId) {
        self.now = self.now.max(now);
        let Some(client) = self.clients.remove(&id) else {
            return;
        };
        self.followers.remove(&id);
        for task in client.awaited_tasks {
            let Some(ask) = self.requests.get_mut(&task) else {
                continue;
            };
            let left: Vec<_> = ask.waiters.extract_if(.., |w| w.0 == id).collect();
            let nobody = ask.waiters.is_empty();
            if !nobody {
                // Ids under which nobody waits any more can't be cancelled.
                for (_, _, request) in left
                    .into_iter()
                    .filter(|l| ask.waiters.iter().all(|w| w.2 != l.2))
                {
                    self.tasks_by_request_id.remove(&request);
                }
            }
            if nobody {
                self.disconnect_request(task);
            }
        }
    }

    /// Looks after a connection's times.
    pub(crate) fn handle_client_timeout(&mut self, id: ClientId) {
        let (whole, idle) = (
            self.config.api.request_timeout_ms * 1000,
            self.config.api.idle_timeout_ms * 1000,
        );
        let Some(client) = self.clients.get_mut(&id) else {
            return;
        };
        if client.has_ended || client.next_event.is_some() {
            return;
        }
        let due = match client.request_began_at {
            Some(begun) => begun + whole,
            None if client.unanswered_requests() > 0 => self.now + idle,
            None => client.last_used_at + idle,
        };
        if due > self.now {
            self.timers
                .schedule(due.min(self.now + whole), Timer::ClientTimeout(id));
            return;
        }
        if client.request_began_at.is_some() {
            let mut problem = Problem::new(
                408,
                "too-slow",
                "The request took too long",
                "api.request_within_ms is over",
            );
            problem.close = true;
            self.outputs
                .push(Output::ToClient(id, problem.to_bytes(None)));
        }
        self.outputs.push(Output::CloseClient(id));
        self.client_closed(self.now, id);
    }

    pub(crate) fn reply(&mut self, id: ClientId, slot: u64, bytes: Vec<u8>, close: bool) {
        let Some(client) = self.clients.get_mut(&id) else {
            return;
        };
        let (out, end) = client.answer(slot, bytes, close);
        client.unread_bytes += out.len();
        if !out.is_empty() {
            self.outputs.push(Output::ToClient(id, out));
        }
        if end {
            self.outputs.push(Output::CloseClient(id));
            self.client_closed(self.now, id);
        }
    }

    pub(crate) fn reply_problem(&mut self, id: ClientId, slot: u64, problem: Problem) {
        if problem.status == 503 {
            self.counters.unavailable += 1;
        }
        let bytes = problem.to_bytes(None);
        self.reply(id, slot, bytes, problem.close);
    }

    /// The answer to [`Output::AskFleet`]; nothing where there is no view of the fleet.
    pub fn answer_membership(&mut self, id: ClientId, slot: u64, view: Option<&serde_json::Value>) {
        match view {
            Some(view) => self.reply(id, slot, api::json_response(200, view), false),
            None => {
                let problem = Problem::new(
                    404,
                    "no-fleet",
                    "This placer keeps no view of a fleet",
                    "no [fleet] is set",
                );
                self.reply_problem(id, slot, problem);
            }
        }
    }

    fn handle_request(&mut self, id: ClientId, slot: u64, call: ApiRequest) {
        match call {
            ApiRequest::Place {
                body,
                request,
                idempotency,
            } => {
                if let Err(problem) = self.accept_request(id, slot, body, request, idempotency) {
                    self.reply_problem(id, slot, problem);
                }
            }
            ApiRequest::CancelRequest(request) => {
                match self.tasks_by_request_id.get(request.as_str()).copied() {
                    Some(task) => {
                        // Others who ask for the same actor go on waiting.
                        let Some(ask) = self.requests.get_mut(&task) else {
                            return;
                        };
                        let cancelled: Vec<_> =
                            ask.waiters.extract_if(.., |w| *w.2 == *request).collect();
                        let nobody = ask.waiters.is_empty();
                        self.tasks_by_request_id.remove(request.as_str());
                        if nobody {
                            self.disconnect_request(task);
                        }
                        for (client, waiting, _) in cancelled {
                            self.track_waiting(client, task, false);
                            let problem = Problem::new(
                                410,
                                "cancelled",
                                "The ask was cancelled",
                                "by DELETE /v1/asks",
                            );
                            self.reply_problem(client, waiting, problem);
                        }
                        self.reply(
                            id,
                            slot,
                            api::json_response(202, &json!({"request": request})),
                            false,
                        );
                    }
                    None => {
                        let detail = "it has its answer, or was never asked";
                        let problem =
                            Problem::new(404, "no-such-ask", "No ask of this id is open", detail);
                        self.reply_problem(id, slot, problem);
                    }
                }
            }
            ApiRequest::StopActor { service, actor } => {
                let key = (service.as_str().into(), actor.as_str().into());
                match self.actors.get(&key).copied() {
                    Some(ActorState::Placed(wire)) => {
                        self.stop_attempt(wire, "stopped");
                        let body = json!({"service": service, "actor": actor, "state": "stopping"});
                        self.reply(id, slot, api::json_response(202, &body), false);
                    }
                    Some(ActorState::Pending(_)) => {
                        let detail = "cancel its ask, or wait for the answer";
                        self.reply_problem(
                            id,
                            slot,
                            Problem::new(409, "not-placed", "It is not placed yet", detail),
                        );
                    }
                    None => self.reply_problem(id, slot, unknown_actor()),
                }
            }
            ApiRequest::GetActor { service, actor } => {
                let key: ActorKey = (service.as_str().into(), actor.as_str().into());
                match self.describe_actor(&key) {
                    Some(body) => self.reply(id, slot, api::json_response(200, &body), false),
                    None => self.reply_problem(id, slot, unknown_actor()),
                }
            }
            ApiRequest::ListActors { after, limit } => {
                let after = after.map(|(s, a)| (Arc::<str>::from(s), Arc::<str>::from(a)));
                let from = match &after {
                    Some(key) => std::ops::Bound::Excluded(key),
                    None => std::ops::Bound::Unbounded,
                };
                let page = self
                    .actors
                    .range((from, std::ops::Bound::Unbounded))
                    .take(limit + 1);
                let mut keys: Vec<ActorKey> = page.map(|(key, _)| key.clone()).collect();
                let more = keys.len() > limit;
                keys.truncate(limit);
                let actors: Vec<_> = keys
                    .iter()
                    .filter_map(|key| self.describe_actor(key))
                    .collect();
                let next = keys.last().filter(|_| more);
                let next = next.map(|(s, a)| json!({"after_service": s, "after_actor": a}));
                let body = json!({"actors": actors, "held": self.actors.len(), "next": next});
                self.reply(id, slot, api::json_response(200, &body), false);
            }
            ApiRequest::Membership { after } => {
                self.outputs.push(Output::FetchMembership(id, slot, after))
            }
            ApiRequest::FollowEvents { after, life } => self.follow(id, slot, after, life),
            ApiRequest::Status { full } => {
                let up = self
                    .hosts
                    .values()
                    .filter(|h| h.connection == crate::hosts::ConnectionState::Up)
                    .count();
                let body = json!({
                    "placer": self.config.identity.name,
                    "life": self.started_ms,
                    "state": if self.is_stopping { "stopping" } else { "serving" },
                    "counters": self.counters,
                    "open_asks": self.requests.len(),
                    "actors": self.actors.len(),
                    "attempts": self.attempts.len(),
                    "clients": self.clients.len(),
                    "followers": self.followers.len(),
                    "hosts": self.hosts.len(),
                    "hosts_connected": up,
                    "gauges": if full { &self.gauges } else { &serde_json::Value::Null },
                    "events": {"oldest": self.recent_events.oldest_seq(), "next": self.recent_events.next_seq()},
                });
                self.reply(id, slot, api::json_response(200, &body), false);
            }
        }
    }

    fn describe_actor(&self, key: &ActorKey) -> Option<serde_json::Value> {
        let (service, actor) = key;
        Some(match *self.actors.get(key)? {
            ActorState::Pending(task) => {
                let ask = self.requests.get(&task)?;
                json!({
                    "service": service, "actor": actor, "state": "asking", "request": ask.request_id,
                    "class": self.config.classes[ask.task.class].name, "attempts": ask.attempts,
                })
            }
            ActorState::Placed(wire) => {
                let attempt = self.attempts.get(&wire)?;
                let host = self.hosts.get(&attempt.host);
                let state = match (attempt.stop_reason, attempt.is_running) {
                    (Some(_), _) => "stopping",
                    (None, true) => "running",
                    (None, false) => "placed",
                };
                json!({
                    "service": service, "actor": actor, "state": state, "request": attempt.request_id,
                    "class": self.config.classes[attempt.class].name,
                    "host": host.map(|h| h.name.clone()), "address": host.map(|h| h.address.to_string()),
                })
            }
        })
    }
}

fn unknown_actor() -> Problem {
    Problem::new(
        404,
        "no-such-actor",
        "This placer holds no such actor",
        "it ended, or another placer holds it",
    )
}
