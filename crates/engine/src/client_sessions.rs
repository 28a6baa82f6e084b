//! Connections of clients: opened, read, answered in order, and closed.

use maplethread::Micros;

use crate::api;
use crate::client_connection::{ClientConnection, ClientInput};
use crate::decide::Decide;
use crate::engine::Engine;
use crate::ids::{ClientId, RequestSlot};
use crate::output::Output;
use crate::problem::Problem;
use crate::timer::Timer;

/// Requests that are taken in one turn; beyond it each client may have one more, so that none waits for many others.
const MAX_REQUESTS_PER_TURN: usize = 128;
/// A client that has not read this part of the bytes it may leave unread has no further requests taken.
const UNREAD_SHARE_THAT_PAUSES: usize = 4;

impl<D: Decide> Engine<D> {
    /// A client has connected. `now` is in µs.
    pub fn client_opened(&mut self, now: Micros, id: ClientId) {
        self.now = self.now.max(now);
        let api = &self.config.api;
        if self.clients.len() >= api.max_clients {
            let problem = Problem::unavailable(
                "too-many-clients",
                "Too many connections",
                "api.max_clients are open",
            )
            .closing();
            self.outputs.push(Output::ToClient(id, problem.to_bytes()));
            self.outputs.push(Output::CloseClient(id));
            return;
        }
        let first_check = api.request_timeout_ms.min(api.idle_timeout_ms) * 1000;
        self.clients
            .insert(id, ClientConnection::new(self.now, api.max_body_bytes));
        self.timers
            .schedule(self.now + first_check, Timer::ClientTimeout(id));
    }

    /// Takes bytes from a client; returns how many were used. The rest is to be given again, with more, or once the
    /// client has had a response.
    pub fn client_bytes(&mut self, now: Micros, id: ClientId, unread: &[u8]) -> usize {
        self.now = self.now.max(now);
        let mut used = 0;
        while !self.is_client_paused(id) {
            let Some(client) = self.clients.get_mut(&id) else {
                return unread.len();
            };
            if client.has_ended || client.next_event.is_some() {
                // Nothing after the last request counts.
                return unread.len();
            }
            let (input, bytes) = client.read(&unread[used..]);
            used += bytes;
            match input {
                ClientInput::Nothing => {
                    let has_begun = client.is_mid_request() || used < unread.len();
                    client.request_began_at =
                        has_begun.then(|| client.request_began_at.unwrap_or(self.now));
                    return used;
                }
                ClientInput::Continue => {
                    client.request_began_at.get_or_insert(self.now);
                    let response = b"HTTP/1.1 100 Continue\r\n\r\n".to_vec();
                    self.outputs.push(Output::ToClient(id, response));
                }
                ClientInput::Request(slot, message) => {
                    client.record_request(self.now);
                    self.requests_this_turn += 1;
                    let handled = api::parse_request(&message)
                        .and_then(|request| self.handle_request(id, slot, request));
                    if let Err(problem) = handled {
                        self.reply_problem(id, slot, problem);
                    }
                }
                ClientInput::Malformed(slot, error) => {
                    let problem = Problem::new(
                        error.status(),
                        "bad-http",
                        "The message can't be read",
                        error.to_string(),
                    )
                    .closing();
                    self.reply_problem(id, slot, problem);
                    return unread.len();
                }
            }
        }
        used
    }

    /// Whether a client has many unanswered requests, does not read, or has had its share of this turn, so that its
    /// next request has to wait.
    fn is_client_paused(&mut self, id: ClientId) -> bool {
        let max_pipelined = self.config.api.max_pipelined;
        let max_unread = self.config.api.max_unsent_bytes / UNREAD_SHARE_THAT_PAUSES;
        let share = if self.requests_this_turn >= MAX_REQUESTS_PER_TURN {
            1
        } else {
            max_pipelined
        };
        let Some(client) = self.clients.get_mut(&id) else {
            return false;
        };
        if client.has_ended || client.next_event.is_some() {
            return false;
        }
        client.unanswered_requests() >= max_pipelined
            || client.requests_in_turn(self.turn_count) >= share
            || client.unread_bytes > max_unread
    }

    /// How many bytes wait for a client to read them.
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

    /// A client's connection has ended: it no longer waits for any answer. `now` is in µs.
    pub fn client_closed(&mut self, now: Micros, id: ClientId) {
        self.now = self.now.max(now);
        let Some(client) = self.clients.remove(&id) else {
            return;
        };
        self.followers.remove(&id);
        for task in client.awaited_tasks {
            let Some(request) = self.requests.get_mut(&task) else {
                continue;
            };
            let left: Vec<_> = request
                .waiters
                .extract_if(.., |waiter| waiter.client == id)
                .collect();
            if request.waiters.is_empty() {
                self.disconnect_request(task);
                continue;
            }
            // Ids for which no client waits any more can't be cancelled.
            for waiter in left {
                let is_awaited =
                    |w: &crate::placement_request::Waiter| w.request_id == waiter.request_id;
                if !request.waiters.iter().any(is_awaited) {
                    self.tasks_by_request_id.remove(&waiter.request_id);
                }
            }
        }
    }

    /// Closes a connection whose request takes too long, or that is idle for too long.
    pub(crate) fn handle_client_timeout(&mut self, id: ClientId) {
        let request_timeout = self.config.api.request_timeout_ms * 1000;
        let idle_timeout = self.config.api.idle_timeout_ms * 1000;
        let Some(client) = self.clients.get_mut(&id) else {
            return;
        };
        if client.has_ended || client.next_event.is_some() {
            return;
        }
        let closes_at = match client.request_began_at {
            Some(began_at) => began_at + request_timeout,
            None if client.unanswered_requests() > 0 => self.now + idle_timeout,
            None => client.last_used_at + idle_timeout,
        };
        if closes_at > self.now {
            let next_check = closes_at.min(self.now + request_timeout);
            self.timers.schedule(next_check, Timer::ClientTimeout(id));
            return;
        }
        if client.request_began_at.is_some() {
            let problem = Problem::new(
                408,
                "too-slow",
                "The request took too long",
                "api.request_within_ms is over",
            )
            .closing();
            self.outputs.push(Output::ToClient(id, problem.to_bytes()));
        }
        self.outputs.push(Output::CloseClient(id));
        self.client_closed(self.now, id);
    }

    /// Sends a response, once those to earlier requests of the connection are sent.
    pub(crate) fn reply(&mut self, id: ClientId, slot: RequestSlot, bytes: Vec<u8>) {
        self.respond(id, slot, bytes, false);
    }

    /// Sends an error response.
    pub(crate) fn reply_problem(&mut self, id: ClientId, slot: RequestSlot, problem: Problem) {
        if problem.status == 503 {
            self.counters.unavailable += 1;
        }
        self.respond(id, slot, problem.to_bytes(), problem.closes_connection);
    }

    fn respond(&mut self, id: ClientId, slot: RequestSlot, bytes: Vec<u8>, closes: bool) {
        let Some(client) = self.clients.get_mut(&id) else {
            return;
        };
        let ready = client.respond(slot, bytes, closes);
        client.unread_bytes += ready.bytes.len();
        if !ready.bytes.is_empty() {
            self.outputs.push(Output::ToClient(id, ready.bytes));
        }
        if ready.closes_connection {
            self.outputs.push(Output::CloseClient(id));
            self.client_closed(self.now, id);
        }
    }
}
