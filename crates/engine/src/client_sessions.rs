//! Connections of clients: opening, reading, responding in order, and closing.

use maplethread::Micros;

use crate::api;
use crate::client_connection::{ClientConnection, ClientInput};
use crate::decide::Decide;
use crate::engine::Engine;
use crate::ids::{ClientId, RequestSlot};
use crate::output::Output;
use crate::problem::Problem;
use crate::timer::Timer;

/// Number of requests that are read in one turn without a limit per client. Beyond this number one request is read per
/// client, so that no client waits for many requests of others.
const MAX_REQUESTS_PER_TURN: usize = 128;
/// No further requests of a client are read while its unread bytes exceed `api.max_unsent_bytes` divided by this.
const UNREAD_PAUSE_DIVISOR: usize = 4;

impl<D: Decide> Engine<D> {
    /// Handles a new client connection. `now` is in µs.
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
        let mut client = ClientConnection::new(self.now, api.max_body_bytes);
        let timer = Timer::ClientTimeout(id);
        client.timeout_timer = Some(self.timers.schedule(self.now + first_check, timer));
        self.clients.insert(id, client);
    }

    /// Handles bytes received from a client; returns how many were used. The caller passes the rest again, with further
    /// bytes or after the client has been sent a response.
    pub fn client_bytes(&mut self, now: Micros, id: ClientId, unread: &[u8]) -> usize {
        self.now = self.now.max(now);
        let mut used = 0;
        while !self.is_client_paused(id) {
            let Some(client) = self.clients.get_mut(&id) else {
                return unread.len();
            };
            if client.has_ended || client.next_event.is_some() {
                // Input after the last request is discarded.
                return unread.len();
            }
            let (input, bytes) = client.read(&unread[used..]);
            used += bytes;
            match input {
                ClientInput::NeedMore => {
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

    /// Whether a client's next request has to wait because the client has too many unanswered requests or unread bytes,
    /// or has used up its share of this turn.
    fn is_client_paused(&mut self, id: ClientId) -> bool {
        let max_pipelined = self.config.api.max_pipelined;
        let max_unread = self.config.api.max_unsent_bytes / UNREAD_PAUSE_DIVISOR;
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

    /// Records how many bytes are waiting for a client to read them.
    pub fn client_unread(&mut self, id: ClientId, bytes: usize) {
        let Some(client) = self.clients.get_mut(&id) else {
            return;
        };
        client.unread_bytes = bytes;
        if bytes > self.config.api.max_unsent_bytes {
            tracing::warn!(
                client = id.0,
                bytes,
                "client does not read its responses; connection closed"
            );
            self.outputs.push(Output::CloseClient(id));
            self.client_closed(self.now, id);
        }
    }

    /// Handles the end of a client's connection: requests that no other client waits for are abandoned. `now` is in µs.
    pub fn client_closed(&mut self, now: Micros, id: ClientId) {
        self.now = self.now.max(now);
        let Some(client) = self.clients.remove(&id) else {
            return;
        };
        self.timers.cancel(client.timeout_timer);
        self.followers.remove(&id);
        for task in client.awaited_tasks {
            let Some(request) = self.requests.get_mut(&task) else {
                continue;
            };
            let removed: Vec<_> = request
                .waiters
                .extract_if(.., |waiter| waiter.client == id)
                .collect();
            if request.waiters.is_empty() {
                self.disconnect_request(task);
                continue;
            }
            // A request id that no client waits for can't be cancelled any more.
            for waiter in removed {
                let is_awaited =
                    |w: &crate::placement_request::Waiter| w.request_id == waiter.request_id;
                if !request.waiters.iter().any(is_awaited) {
                    self.tasks_by_request_id.remove(&waiter.request_id);
                }
            }
        }
    }

    /// Closes a connection that has been idle or inside a request for too long, and otherwise schedules the next check.
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
            let timer = self.timers.schedule(next_check, Timer::ClientTimeout(id));
            client.timeout_timer = Some(timer);
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

    /// Sends a response after those to earlier requests of the connection.
    pub(crate) fn reply(&mut self, id: ClientId, slot: RequestSlot, bytes: Vec<u8>) {
        self.respond(id, slot, bytes, false);
    }

    /// Sends an error response after those to earlier requests of the connection.
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
