//! The client side: requests, answers, and followers of life-cycle events.

use std::sync::Arc;

use maplethread::{Event, Room, ServiceId, Task, TaskId};
use maplethread_wire::http;
use serde_json::json;

use crate::answers::{Answer, Known};
use crate::api::{self, Call, Place, Problem};
use crate::clients::{Came, Client};
use crate::engine::{Actor, ActorKey, Ask, Due, Engine, Output, Stage};
use crate::names::hash;
use crate::sessions::copies;
use crate::{ClientId, Decide};

/// Bytes of events that may wait for a follower to read; more wait in the ring.
const FOLLOWER_BYTES: usize = 64 << 10;
/// So many requests are taken in one turn; then each client has one more, so that none waits for a crowd.
const TURN_REQUESTS: usize = 128;
/// Followers hear at least this often that the connection lives.
const BEAT: u64 = 10_000_000;

impl<D: Decide> Engine<D> {
    /// A client has connected.
    pub fn client_opened(&mut self, now: u64, id: ClientId) {
        self.now = self.now.max(now);
        if self.clients.len() >= self.config.api.max_clients {
            let mut problem =
                Problem::busy("too-many-clients", "Too many connections", "api.max_clients are open");
            problem.close = true;
            self.outputs.push(Output::ToClient(id, problem.bytes(None)));
            self.outputs.push(Output::CloseClient(id));
            return;
        }
        self.clients.insert(id, Client::new(self.now, self.config.api.max_body_bytes));
        let first = self.config.api.request_within_ms.min(self.config.api.idle_close_ms) * 1000;
        self.timers.set(self.now + first, Due::Client(id));
    }

    /// Bytes from a client; returns how many were used. The rest is to be given again, with more, or once the
    /// client has had an answer.
    pub fn client_bytes(&mut self, now: u64, id: ClientId, unread: &[u8]) -> usize {
        self.now = self.now.max(now);
        let (most, turn) = (self.config.api.max_pipelined, self.turns);
        let unread_most = self.config.api.max_unread_bytes / 4;
        let mut used = 0;
        loop {
            let Some(client) = self.clients.get_mut(&id) else { return unread.len() };
            if client.ended || client.follows.is_some() {
                // Nothing after the last request counts.
                return unread.len();
            }
            // A client that has much in hand, does not read, or has had its share of this turn waits.
            if client.taken.0 != turn {
                client.taken = (turn, 0);
            }
            let share = if self.taken >= TURN_REQUESTS { 1 } else { most };
            if client.in_hand() >= most || client.taken.1 >= share || client.unread > unread_most {
                return used;
            }
            let (came, n) = client.read(&unread[used..]);
            used += n;
            match came {
                Came::Nothing => {
                    let begun = client.inside() || used < unread.len();
                    client.begun = if begun { client.begun.or(Some(self.now)) } else { None };
                    return used;
                }
                Came::Continue => {
                    client.begun = client.begun.or(Some(self.now));
                    self.outputs.push(Output::ToClient(id, b"HTTP/1.1 100 Continue\r\n\r\n".to_vec()));
                }
                Came::Request(slot, message) => {
                    (client.begun, client.used) = (None, self.now);
                    client.taken.1 += 1;
                    self.taken += 1;
                    match api::call(&message) {
                        Ok(call) => self.serve(id, slot, call),
                        Err(problem) => self.problem(id, slot, problem),
                    }
                }
                Came::Bad(slot, error) => {
                    let mut problem = Problem::new(
                        error.status(),
                        "bad-http",
                        "The message can't be read",
                        error.to_string(),
                    );
                    problem.close = true;
                    self.problem(id, slot, problem);
                    return unread.len();
                }
            }
        }
    }

    /// So many bytes wait for a client to read them.
    pub fn client_unread(&mut self, id: ClientId, bytes: usize) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.unread = bytes;
        if bytes > self.config.api.max_unread_bytes {
            tracing::warn!(client = id.0, bytes, "does not read its answers; cut off");
            self.outputs.push(Output::CloseClient(id));
            self.client_closed(self.now, id);
        }
    }

    /// A client's connection has ended: it hung up on all it waited for.
    pub fn client_closed(&mut self, now: u64, id: ClientId) {
        self.now = self.now.max(now);
        let Some(client) = self.clients.remove(&id) else { return };
        self.followers.remove(&id);
        for task in client.waits {
            let Some(ask) = self.asks.get_mut(&task) else { continue };
            ask.waiters.retain(|w| w.0 != id);
            if ask.waiters.is_empty() {
                self.hang_up(task);
            }
        }
    }

    fn hang_up(&mut self, task: TaskId) {
        let Some(ask) = self.forget_ask(task) else { return };
        self.counters.hung_up += 1;
        ask.span.in_scope(|| tracing::debug!("hung up"));
        if let Some(key) = &ask.idempotency {
            self.answers.forget(key);
        }
        self.events.push(Event::HungUp(task));
        if let Some(wire) = ask.out {
            self.call_off(wire);
        }
    }

    /// Keeps track of what a client waits for.
    fn waits(&mut self, client: ClientId, task: TaskId, begins: bool) {
        if let Some(client) = self.clients.get_mut(&client) {
            if begins {
                client.waits.insert(task);
            } else {
                client.waits.remove(&task);
            }
        }
    }

    fn forget_ask(&mut self, task: TaskId) -> Option<Ask> {
        let ask = self.asks.remove(&task)?;
        if self.by_request.get(&ask.request) == Some(&task) {
            self.by_request.remove(&ask.request);
        }
        if self.actors.get(&ask.key) == Some(&Actor::Asking(task)) {
            self.actors.remove(&ask.key);
        }
        Some(ask)
    }

    /// Looks after a connection's times.
    pub(crate) fn client_due(&mut self, id: ClientId) {
        let (whole, idle) = (self.config.api.request_within_ms * 1000, self.config.api.idle_close_ms * 1000);
        let Some(client) = self.clients.get_mut(&id) else { return };
        if client.ended || client.follows.is_some() {
            return;
        }
        let due = match client.begun {
            Some(begun) => begun + whole,
            None if client.in_hand() > 0 => self.now + idle,
            None => client.used + idle,
        };
        if due > self.now {
            self.timers.set(due.min(self.now + whole), Due::Client(id));
            return;
        }
        if client.begun.is_some() {
            let mut problem =
                Problem::new(408, "too-slow", "The request took too long", "api.request_within_ms is over");
            problem.close = true;
            self.outputs.push(Output::ToClient(id, problem.bytes(None)));
        }
        self.outputs.push(Output::CloseClient(id));
        self.client_closed(self.now, id);
    }

    fn reply(&mut self, id: ClientId, slot: u64, bytes: Vec<u8>, close: bool) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        let (out, end) = client.answer(slot, bytes, close);
        client.unread += out.len();
        if !out.is_empty() {
            self.outputs.push(Output::ToClient(id, out));
        }
        if end {
            self.outputs.push(Output::CloseClient(id));
            self.client_closed(self.now, id);
        }
    }

    fn problem(&mut self, id: ClientId, slot: u64, problem: Problem) {
        if problem.status == 503 {
            self.counters.turned_away += 1;
        }
        let bytes = problem.bytes(None);
        self.reply(id, slot, bytes, problem.close);
    }

    fn serve(&mut self, id: ClientId, slot: u64, call: Call) {
        match call {
            Call::Place { body, request, idempotency } => {
                if let Err(problem) = self.place(id, slot, body, request, idempotency) {
                    self.problem(id, slot, problem);
                }
            }
            Call::CancelAsk(request) => match self.by_request.get(request.as_str()).copied() {
                Some(task) => {
                    let waiters = self.asks.get(&task).map(|a| a.waiters.clone()).unwrap_or_default();
                    self.hang_up(task);
                    for (client, waiting) in waiters {
                        self.waits(client, task, false);
                        let problem =
                            Problem::new(410, "cancelled", "The ask was cancelled", "by DELETE /v1/asks");
                        self.problem(client, waiting, problem);
                    }
                    self.reply(id, slot, api::answer(202, &json!({"request": request})), false);
                }
                None => {
                    let detail = "it has its answer, or was never asked";
                    let problem = Problem::new(404, "no-such-ask", "No ask of this id is open", detail);
                    self.problem(id, slot, problem);
                }
            },
            Call::Stop { service, actor } => {
                let key = (service.as_str().into(), actor.as_str().into());
                match self.actors.get(&key).copied() {
                    Some(Actor::Placed(wire)) => {
                        self.stop_attempt(wire, "stopped");
                        let body = json!({"service": service, "actor": actor, "state": "stopping"});
                        self.reply(id, slot, api::answer(202, &body), false);
                    }
                    Some(Actor::Asking(_)) => {
                        let detail = "cancel its ask, or wait for the answer";
                        self.problem(
                            id,
                            slot,
                            Problem::new(409, "not-placed", "It is not placed yet", detail),
                        );
                    }
                    None => self.problem(id, slot, unknown_actor()),
                }
            }
            Call::Look { service, actor } => {
                let key: ActorKey = (service.as_str().into(), actor.as_str().into());
                match self.look(&key) {
                    Some(body) => self.reply(id, slot, api::answer(200, &body), false),
                    None => self.problem(id, slot, unknown_actor()),
                }
            }
            Call::List { after, limit } => {
                let after = after.map(|(s, a)| (Arc::<str>::from(s), Arc::<str>::from(a)));
                let from = match &after {
                    Some(key) => std::ops::Bound::Excluded(key),
                    None => std::ops::Bound::Unbounded,
                };
                let page = self.actors.range((from, std::ops::Bound::Unbounded)).take(limit + 1);
                let mut keys: Vec<ActorKey> = page.map(|(key, _)| key.clone()).collect();
                let more = keys.len() > limit;
                keys.truncate(limit);
                let actors: Vec<_> = keys.iter().filter_map(|key| self.look(key)).collect();
                let next = keys.last().filter(|_| more);
                let next = next.map(|(s, a)| json!({"after_service": s, "after_actor": a}));
                let body = json!({"actors": actors, "held": self.actors.len(), "next": next});
                self.reply(id, slot, api::answer(200, &body), false);
            }
            Call::Events { after, life } => self.follow(id, slot, after, life),
            Call::Status { full } => {
                let up = self.hosts.values().filter(|h| h.link == crate::hosts::Link::Up).count();
                let body = json!({
                    "placer": self.config.placer.name,
                    "life": self.started_ms,
                    "state": if self.stopping { "stopping" } else { "serving" },
                    "counters": self.counters,
                    "open_asks": self.asks.len(),
                    "actors": self.actors.len(),
                    "attempts": self.attempts.len(),
                    "clients": self.clients.len(),
                    "followers": self.followers.len(),
                    "hosts": self.hosts.len(),
                    "hosts_connected": up,
                    "gauges": if full { &self.gauges } else { &serde_json::Value::Null },
                    "events": {"oldest": self.ring.oldest(), "next": self.ring.next()},
                });
                self.reply(id, slot, api::answer(200, &body), false);
            }
        }
    }

    fn look(&self, key: &ActorKey) -> Option<serde_json::Value> {
        let (service, actor) = key;
        Some(match *self.actors.get(key)? {
            Actor::Asking(task) => {
                let ask = self.asks.get(&task)?;
                json!({
                    "service": service, "actor": actor, "state": "asking", "request": ask.request,
                    "class": self.config.class[ask.task.class].name, "attempts": ask.attempts,
                })
            }
            Actor::Placed(wire) => {
                let attempt = self.attempts.get(&wire)?;
                let host = self.hosts.get(&attempt.host);
                let state = match (attempt.stop, attempt.runs) {
                    (Some(_), _) => "stopping",
                    (None, true) => "running",
                    (None, false) => "placed",
                };
                json!({
                    "service": service, "actor": actor, "state": state, "request": attempt.request,
                    "class": self.config.class[attempt.class].name,
                    "host": host.map(|h| h.name.clone()), "address": host.map(|h| h.address.to_string()),
                })
            }
        })
    }

    fn place(
        &mut self,
        client: ClientId,
        slot: u64,
        body: Place,
        request: Option<String>,
        idempotency: Option<String>,
    ) -> Result<(), Problem> {
        let Some(class) = self.config.class.iter().position(|c| c.name == body.class) else {
            return Err(Problem::new(422, "no-such-class", "No class of this name", body.class));
        };
        let mut joins = None;
        if let Some(key) = &idempotency {
            match self.answers.get(key) {
                Some(Known::Answered(bytes)) => {
                    let bytes = bytes.to_vec();
                    self.reply(client, slot, bytes, false);
                    return Ok(());
                }
                Some(Known::Asking(task)) => joins = Some(*task),
                None => {}
            }
        }
        let key: ActorKey = (body.service.as_str().into(), body.actor.as_str().into());
        let actor = self.actors.get(&key).copied();
        if let Some(Actor::Asking(task)) = actor {
            joins = joins.or(Some(task));
        }
        if let Some(ask) = joins.and_then(|task| self.asks.get_mut(&task)) {
            if ask.waiters.len() >= 64 {
                let detail = "64 requests wait for this ask already";
                return Err(Problem::busy("too-many-waiters", "Too many requests for one ask", detail));
            }
            ask.waiters.push((client, slot));
            let task = ask.task.id;
            self.waits(client, task, true);
            return Ok(());
        }
        if let Some(Actor::Placed(wire)) = actor
            && let Some(attempt) = self.attempts.get(&wire)
        {
            if attempt.stop.is_some() {
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
            let request = request.map_or_else(|| attempt.request.clone(), Arc::from);
            let address = self.hosts.get(&host).map(|h| h.address.to_string()).unwrap_or_default();
            let (host, (service, actor)) = (self.host_name(host), key);
            let answer = Answer::Placed { request, service, actor, host, address, attempt: number };
            self.reply(client, slot, api::answer(200, &answer), false);
            return Ok(());
        }
        let until = self.unsettled.get(&key).map(|(until, _)| *until);
        if let Some(until) = until.filter(|&until| until > self.now) {
            let detail = "an earlier attempt may have run and is being called off";
            let mut problem =
                Problem::new(409, "unsettled", "The actor's last attempt is not settled", detail);
            problem.retry_after_s = Some((until - self.now).div_ceil(1_000_000));
            return Err(problem);
        }
        if self.stopping {
            let mut problem = Problem::busy("stopping", "This placer is stopping", "ask another");
            problem.close = true;
            return Err(problem);
        }
        if self.asks.len() >= self.config.api.max_asks {
            return Err(Problem::busy("too-many-asks", "Too many asks are open", "api.max_asks are open"));
        }
        if self.actors.len() >= self.config.api.max_actors {
            return Err(Problem::busy(
                "too-many-actors",
                "Too many actors are held",
                "api.max_actors are held",
            ));
        }
        self.next_task += 1;
        let id = TaskId(self.next_task);
        let request: Arc<str> = match request {
            Some(request) => request.into(),
            None => format!("{:x}-{}", self.mark >> 40, id.0).into(),
        };
        let budget = body.budget_ms.min(self.config.api.max_budget_ms) * 1000;
        let task = Task {
            id,
            service: ServiceId(hash(&body.service)),
            class,
            asks: Room::new(body.cores, body.memory_gib),
            life: body.life_ms.map(|ms| ms.saturating_mul(1000)),
            give_up_at: self.now + budget,
            again: body.again,
        };
        let name = body.key.as_deref().unwrap_or(&body.actor);
        let copies = copies(self.settings.classes[class].effect, hash(&format!("{}/{name}", body.service)));
        let span = tracing::info_span!("ask", request = %request, service = %key.0, actor = %key.1);
        span.in_scope(|| tracing::debug!(class = body.class, budget_ms = budget / 1000, "asked"));
        let idempotency: Option<Arc<str>> = idempotency.map(Into::into);
        if let Some(key) = &idempotency {
            self.answers.asking(key, id);
        }
        self.by_request.insert(request.clone(), id);
        self.actors.insert(key.clone(), Actor::Asking(id));
        let waiters = vec![(client, slot)];
        let (asked, out, attempts, reason, may_run) = (self.now, None, 0, None, None);
        let ask = Ask {
            task,
            asked,
            fresh: true,
            key,
            request,
            idempotency,
            waiters,
            copies,
            out,
            attempts,
            reason,
            may_run,
            span,
        };
        self.asks.insert(id, ask);
        self.waits(client, id, true);
        self.counters.asks += 1;
        self.fresh.push(id);
        self.events.push(Event::Asked(task));
        Ok(())
    }

    /// The one final answer to an ask. What is still out is called off, unless it is what was placed.
    pub(crate) fn answer(&mut self, task: TaskId, answer: Answer) {
        let Some(ask) = self.forget_ask(task) else { return };
        let name = match &answer {
            Answer::Placed { .. } => {
                self.counters.placed += 1;
                "placed"
            }
            Answer::Refused { .. } => {
                self.counters.refused += 1;
                "refused"
            }
            Answer::Failed { .. } => {
                self.counters.failed += 1;
                "failed"
            }
        };
        let out = ask.out.filter(|w| self.attempts.get(w).is_some_and(|a| a.stage != Stage::Seated));
        if let Some(wire) = out {
            self.call_off(wire);
        }
        let late = ask.task.give_up_at <= self.now;
        ask.span.in_scope(|| tracing::debug!(attempts = ask.attempts, late, "{name}"));
        let bytes = api::answer(200, &answer);
        if let Some(key) = &ask.idempotency {
            self.answers.answered(key, self.now, bytes.clone().into());
        }
        for (client, slot) in ask.waiters {
            self.waits(client, task, false);
            if late {
                // Its owner gave up: nothing is said after the deadline, and the silence is made plain.
                self.counters.too_late += 1;
                self.outputs.push(Output::CloseClient(client));
                self.client_closed(self.now, client);
            } else {
                self.reply(client, slot, bytes.clone(), false);
            }
        }
    }

    fn follow(&mut self, id: ClientId, slot: u64, after: Option<u64>, life: Option<u64>) {
        let gone = |kind, title, detail: String| Problem::new(410, kind, title, detail);
        if life.is_some_and(|life| life != self.started_ms) {
            let detail = format!("this life is {}; list the actors and follow anew", self.started_ms);
            self.problem(id, slot, gone("other-life", "The events are of another life", detail));
            return;
        }
        let from = after.map_or(self.ring.next(), |after| after.saturating_add(1));
        if from < self.ring.oldest() || from > self.ring.next() {
            let detail = format!(
                "kept are {} to {}; list the actors and follow anew",
                self.ring.oldest(),
                self.ring.next()
            );
            self.problem(id, slot, gone("fell-behind", "These events are not kept", detail));
            return;
        }
        let Some(client) = self.clients.get_mut(&id) else { return };
        if client.in_hand() > 1 {
            let detail = "follow events on a connection of its own";
            self.problem(
                id,
                slot,
                Problem::new(409, "busy-connection", "Other requests are in hand", detail),
            );
            return;
        }
        client.follows = Some(from);
        let mut out = Vec::new();
        http::write_chunked_head(&mut out, 200, "application/x-ndjson", &[]);
        let hello = json!({"event": "hello", "life": self.started_ms, "next": from});
        http::write_chunk(&mut out, format!("{hello}\n").as_bytes());
        client.unread += out.len();
        self.outputs.push(Output::ToClient(id, out));
        if self.followers.is_empty() {
            self.timers.set(self.now + BEAT, Due::Beat);
        }
        self.followers.insert(id);
    }

    /// Gives followers what is new, as far as they read.
    pub(crate) fn pump(&mut self) {
        let mut ended = Vec::new();
        for &id in &self.followers {
            let Some(client) = self.clients.get_mut(&id) else { continue };
            let Some(mut next) = client.follows else { continue };
            let mut lines = Vec::new();
            if next < self.ring.oldest() {
                let behind = json!({"event": "behind", "oldest": self.ring.oldest()});
                lines.extend(format!("{behind}\n").bytes());
                ended.push(id);
            }
            while client.unread + lines.len() < FOLLOWER_BYTES
                && let Some(event) = self.ring.get(next)
            {
                lines.extend(serde_json::to_vec(event).unwrap_or_default());
                lines.push(b'\n');
                next += 1;
            }
            client.follows = Some(next);
            if !lines.is_empty() {
                let mut out = Vec::with_capacity(lines.len() + 16);
                http::write_chunk(&mut out, &lines);
                client.unread += out.len();
                self.outputs.push(Output::ToClient(id, out));
            }
        }
        for id in ended {
            self.outputs.push(Output::ToClient(id, b"0\r\n\r\n".to_vec()));
            self.outputs.push(Output::CloseClient(id));
            self.client_closed(self.now, id);
        }
    }

    pub(crate) fn beat(&mut self) {
        for &id in &self.followers {
            if let Some(client) = self.clients.get_mut(&id).filter(|c| c.unread == 0) {
                let mut out = Vec::new();
                http::write_chunk(&mut out, b"\n");
                client.unread += out.len();
                self.outputs.push(Output::ToClient(id, out));
            }
        }
        if !self.followers.is_empty() {
            self.timers.set(self.now + BEAT, Due::Beat);
        }
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
