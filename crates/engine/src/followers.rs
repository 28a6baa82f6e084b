//! Clients that follow life-cycle events. Each is sent the buffered events as fast as it reads them.

use std::sync::Arc;

use maplethread::Micros;
use maplethread_wire::http;
use serde_json::json;

use crate::api::EventCursor;
use crate::attempt::Attempt;
use crate::decide::Decide;
use crate::engine::Engine;
use crate::ids::{ActorKey, ClientId, RequestSlot};
use crate::lifecycle::LifecycleEvent;
use crate::output::Output;
use crate::problem::Problem;
use crate::timer::Timer;

/// Maximum number of sent bytes that a follower has not read; further events stay in the buffer.
const MAX_FOLLOWER_UNREAD_BYTES: usize = 64 << 10;
/// Interval at which followers get an empty line, which shows that the connection is alive.
const FOLLOWER_HEARTBEAT_INTERVAL: Micros = 10_000_000;
/// The end of a chunked body.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

impl<D: Decide> Engine<D> {
    /// Starts to send events to a client, from the cursor on.
    pub(crate) fn follow(
        &mut self,
        id: ClientId,
        slot: RequestSlot,
        cursor: &EventCursor,
    ) -> Result<(), Problem> {
        let first = self.first_event(cursor)?;
        let Some(client) = self.clients.get_mut(&id) else {
            return Ok(());
        };
        if client.unanswered_requests() > 1 {
            return Err(Problem::new(
                409,
                "busy-connection",
                "Other requests are in hand",
                "follow events on a connection of its own",
            ));
        }
        tracing::debug!(client = id.0, slot = slot.0, first, "client follows events");
        client.next_event = Some(first);
        let mut out = Vec::new();
        http::write_chunked_head(&mut out, 200, "application/x-ndjson", &[]);
        let hello = json!({"event": "hello", "life": self.started_ms, "next": first});
        http::write_chunk(&mut out, format!("{hello}\n").as_bytes());
        client.unread_bytes += out.len();
        self.outputs.push(Output::ToClient(id, out));
        if self.followers.is_empty() {
            self.schedule_follower_heartbeat();
        }
        self.followers.insert(id);
        Ok(())
    }

    /// The sequence number of the first event to send for a cursor.
    fn first_event(&self, cursor: &EventCursor) -> Result<u64, Problem> {
        if cursor.started_ms.is_some_and(|ms| ms != self.started_ms) {
            return Err(Problem::new(
                410,
                "other-life",
                "The events are of another life",
                format!(
                    "this life is {}; list the actors and follow anew",
                    self.started_ms
                ),
            ));
        }
        let (oldest, next) = (
            self.recent_events.oldest_seq(),
            self.recent_events.next_seq(),
        );
        let first = cursor.after_seq.map_or(next, |seq| seq.saturating_add(1));
        if !(oldest..=next).contains(&first) {
            return Err(Problem::new(
                410,
                "fell-behind",
                "These events are not kept",
                format!("kept are {oldest} to {next}; list the actors and follow anew"),
            ));
        }
        Ok(first)
    }

    /// Sends new events to followers, up to their limit of unread bytes.
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
                let mut out = Vec::new();
                http::write_chunk(&mut out, &lines);
                client.unread_bytes += out.len();
                self.outputs.push(Output::ToClient(id, out));
            }
        }
        for id in ended {
            self.outputs.push(Output::ToClient(id, LAST_CHUNK.to_vec()));
            self.outputs.push(Output::CloseClient(id));
            self.client_closed(self.now, id);
        }
    }

    /// Sends an empty line to followers that have read everything.
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
            self.schedule_follower_heartbeat();
        }
    }

    fn schedule_follower_heartbeat(&mut self) {
        self.timers.schedule(
            self.now + FOLLOWER_HEARTBEAT_INTERVAL,
            Timer::FollowerHeartbeat,
        );
    }

    /// Records an event of a placed actor, which followers get at the end of the turn.
    pub(crate) fn publish_event(
        &mut self,
        event: &'static str,
        reason: Option<&'static str>,
        subject: &AttemptSubject,
    ) {
        let AttemptSubject {
            key: ActorKey { service, actor },
            host,
            request_id,
        } = subject.clone();
        tracing::debug!(request = %request_id, %service, %actor, %host, reason, event);
        self.recent_events.push(LifecycleEvent {
            seq: 0,
            at_ms: self.now / 1000,
            event,
            service,
            actor,
            host,
            reason,
            request_id,
        });
    }

    /// The subject of events about an attempt.
    pub(crate) fn subject_of(&self, attempt: &Attempt) -> AttemptSubject {
        AttemptSubject {
            key: attempt.key.clone(),
            host: self.host_name(attempt.host),
            request_id: attempt.request_id.clone(),
        }
    }
}

/// The attempt that an event is about.
#[derive(Clone, Debug)]
pub(crate) struct AttemptSubject {
    pub key: ActorKey,
    pub host: Arc<str>,
    pub request_id: Arc<str>,
}
