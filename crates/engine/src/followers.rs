//! Followers of life-cycle events: each reads the ring at its own pace.

use maplethread_wire::http;
use serde_json::json;

use crate::api::Problem;
use crate::engine::{Engine, Output, Timer};
use crate::{ClientId, Decide};

/// Bytes of events that may wait for a follower to read; more wait in the ring.
const MAX_FOLLOWER_UNREAD_BYTES: usize = 64 << 10;
/// Followers hear at least this often that the connection lives.
const FOLLOWER_HEARTBEAT_INTERVAL: u64 = 10_000_000;

impl<D: Decide> Engine<D> {
    pub(crate) fn follow(
        &mut self,
        id: ClientId,
        slot: u64,
        after: Option<u64>,
        life: Option<u64>,
    ) {
        let gone = |kind, title, detail: String| Problem::new(410, kind, title, detail);
        if life.is_some_and(|life| life != self.started_ms) {
            let detail = format!(
                "this life is {}; list the actors and follow anew",
                self.started_ms
            );
            self.reply_problem(
                id,
                slot,
                gone("other-life", "The events are of another life", detail),
            );
            return;
        }
        let from = after.map_or(self.recent_events.next_seq(), |after| {
            after.saturating_add(1)
        });
        if from < self.recent_events.oldest_seq() || from > self.recent_events.next_seq() {
            let detail = format!(
                "kept are {} to {}; list the actors and follow anew",
                self.recent_events.oldest_seq(),
                self.recent_events.next_seq()
            );
            self.reply_problem(
                id,
                slot,
                gone("fell-behind", "These events are not kept", detail),
            );
            return;
        }
        let Some(client) = self.clients.get_mut(&id) else {
            return;
        };
        if client.unanswered_requests() > 1 {
            let detail = "follow events on a connection of its own";
            self.reply_problem(
                id,
                slot,
                Problem::new(409, "busy-connection", "Other requests are in hand", detail),
            );
            return;
        }
        client.next_event = Some(from);
        let mut out = Vec::new();
        http::write_chunked_head(&mut out, 200, "application/x-ndjson", &[]);
        let hello = json!({"event": "hello", "life": self.started_ms, "next": from});
        http::write_chunk(&mut out, format!("{hello}\n").as_bytes());
        client.unread_bytes += out.len();
        self.outputs.push(Output::ToClient(id, out));
        if self.followers.is_empty() {
            self.timers.schedule(
                self.now + FOLLOWER_HEARTBEAT_INTERVAL,
                Timer::FollowerHeartbeat,
            );
        }
        self.followers.insert(id);
    }

    /// Gives followers what is new, as far as they read.
    pub(crate) fn send_events_to_followers(&mut self) {
        let mut ended = Vec::new();
        for &id in &self.followers {
            let Some(client) = self.clients.get_mut(&id) else {
                continue;
            };
            let Some(mut next) = client.next_event else {
                continue;
            };
            let mut lines = Vec::new();
            if next < self.recent_events.oldest_seq() {
                let behind = json!({"event": "behind", "oldest": self.recent_events.oldest_seq()});
                lines.extend(format!("{behind}\n").bytes());
                ended.push(id);
            }
            while client.unread_bytes + lines.len() < MAX_FOLLOWER_UNREAD_BYTES
                && let Some(event) = self.recent_events.get(next)
            {
                lines.extend(serde_json::to_vec(event).unwrap_or_default());
                lines.push(b'\n');
                next += 1;
            }
            client.next_event = Some(next);
            if !lines.is_empty() {
                let mut out = Vec::with_capacity(lines.len() + 16);
                http::write_chunk(&mut out, &lines);
                client.unread_bytes += out.len();
                self.outputs.push(Output::ToClient(id, out));
            }
        }
        for id in ended {
            self.outputs
                .push(Output::ToClient(id, b"0\r\n\r\n".to_vec()));
            self.outputs.push(Output::CloseClient(id));
            self.client_closed(self.now, id);
        }
    }

    pub(crate) fn heartbeat_followers(&mut self) {
        for &id in &self.followers {
            if let Some(client) = self.clients.get_mut(&id).filter(|c| c.unread_bytes == 0) {
                let mut out = Vec::new();
                http::write_chunk(&mut out, b"\n");
                client.unread_bytes += out.len();
                self.outputs.push(Output::ToClient(id, out));
            }
        }
        if !self.followers.is_empty() {
            self.timers.schedule(
                self.now + FOLLOWER_HEARTBEAT_INTERVAL,
                Timer::FollowerHeartbeat,
            );
        }
    }
}
