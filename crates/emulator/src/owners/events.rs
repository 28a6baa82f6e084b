//! The life-cycle events of placers, which report to owners that tasks have ended, moved or been lost.

use maplethread_wire::http::{self, Decoder, Limits, Role, Step};
use serde_json::Value;

use super::thread::{ConnectionUse, OwnerState, OwnerThread, PlacerGeneration, Timer};

/// Interval at which event streams are opened to placers that have none, µs.
const WATCH_INTERVAL_US: u64 = 200_000;
/// Shortest and longest time before an owner whose task was lost, moved or stopped repeats its request, ms.
const LOST_TASK_RETRY_MS: [f64; 2] = [50.0, 300.0];

impl OwnerThread {
    /// Opens an event stream to each placer that is up and has none.
    pub(super) fn watch_all_events(&mut self, now: u64) {
        self.timers
            .schedule(now + WATCH_INTERVAL_US, Timer::WatchEvents);
        let placers = self.behaviour().placers.clone();
        for (number, placer) in placers.iter().enumerate() {
            let Some(address) = placer.address.filter(|_| !placer.is_down) else {
                continue;
            };
            if self.event_connections.contains_key(&number) {
                continue;
            }
            let process = PlacerGeneration {
                placer: number,
                generation: placer.generation,
            };
            let purpose = ConnectionUse::Events {
                decoder: Decoder::new(
                    Role::Responses,
                    Limits {
                        max_body_bytes: usize::MAX,
                        ..Limits::default()
                    },
                ),
                line: Vec::new(),
            };
            if let Ok(token) = self.connect(process, address, purpose)
                && let Some(connection) = self.connections.get_mut(&token)
            {
                http::write_request(
                    connection.conn.write_buffer(),
                    "GET",
                    "/v1/events",
                    &[("Host", "placer")],
                    b"",
                );
                self.event_connections.insert(number, token);
            }
        }
    }

    /// Reads events; returns whether the connection has to be closed.
    pub(super) fn read_events(&mut self, token: u64) -> bool {
        let mut lines: Vec<Value> = Vec::new();
        let Some(connection) = self.connections.get_mut(&token) else {
            return false;
        };
        let ConnectionUse::Events { decoder, line } = &mut connection.purpose else {
            return true;
        };
        loop {
            match decoder.step(connection.conn.unread()) {
                Ok((Step::NeedMore, used)) => {
                    connection.conn.consume(used);
                    break;
                }
                Ok((Step::Head(head), used)) => {
                    connection.conn.consume(used);
                    if head.status() != 200 {
                        return true;
                    }
                }
                Ok((Step::Data(data), used)) => {
                    connection.conn.consume(used);
                    line.extend_from_slice(&data);
                    while let Some(end) = line.iter().position(|&b| b == b'\n') {
                        let bytes: Vec<u8> = line.drain(..=end).collect();
                        lines.extend(serde_json::from_slice::<Value>(&bytes).ok());
                    }
                }
                Ok((Step::MessageEnd, _)) | Err(_) => return true,
            }
        }
        let now = self.context.clock.now();
        for event in lines {
            self.handle_event(now, &event);
        }
        false
    }

    pub(super) fn handle_event(&mut self, now: u64, event: &Value) {
        let text = |key: &str| event.get(key).and_then(Value::as_str).unwrap_or("");
        let Some(&owner) = self.by_actor.get(text("actor")) else {
            return;
        };
        if !matches!(self.owners[owner].state, OwnerState::Placed(..)) {
            return;
        }
        let retry_after_ms = self.scenario.demand.retry_after_ms;
        match text("event") {
            "ended" if text("reason").is_empty() => self.owners[owner].state = OwnerState::Finished,
            "ended" | "evicted" => {
                self.owners[owner].failure_count += 1;
                self.schedule_retry(now, owner, retry_after_ms);
            }
            "lost" if self.scenario.must_not_run_twice(self.owners[owner].class) => {
                let settle_ms = self.scenario.demand.unknown_outcome_retry_ms as f64;
                self.schedule_retry(now, owner, [settle_ms, settle_ms * 1.1]);
            }
            "lost" | "moved" | "stopped" => self.schedule_retry(now, owner, LOST_TASK_RETRY_MS),
            _ => {}
        }
    }
}
