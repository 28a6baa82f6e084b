//! The connections from placers to the hosts.

use std::sync::Arc;

use maplethread_checker::Observation;
use maplethread_reactor::{ReadOutcome, Readiness, TcpConnection};
use maplethread_wire::frame::{self, Frame};

use super::thread::{HostThread, PlacerConnection};
use crate::traffic::{ConnectionTraffic, CountedFrame, message_kind};

/// Maximum number of bytes read from a connection at a time.
const READ_BYTES: usize = 256 << 10;
/// Maximum number of unread bytes buffered for a connection.
const MAX_UNREAD_BYTES: usize = 512 << 10;

impl HostThread {
    pub(super) fn accept(&mut self, number: usize) {
        while let Some(listener) = self.slots.get(number).and_then(|s| s.listener.as_ref())
            && let Ok((stream, _)) = listener.accept()
        {
            self.last_token += 1;
            let token = self.last_token;
            let Ok(mut conn) = TcpConnection::from_accepted(stream, token, &self.poller) else {
                continue;
            };
            if !self.slots[number].is_reachable && conn.set_reading(false, &self.poller).is_err() {
                continue;
            }
            let (unwritten, traffic) = (Vec::new(), ConnectionTraffic::default());
            self.connections.insert(
                token,
                PlacerConnection {
                    conn,
                    host_index: number,
                    placer: None,
                    unwritten,
                    traffic,
                },
            );
        }
    }

    pub(super) fn close_connection(&mut self, token: u64, reset: bool) {
        let Some(mut connection) = self.connections.remove(&token) else {
            return;
        };
        self.pending_writes.remove(&token);
        if let Some(counter) = self.counter.as_ref().filter(|_| connection.is_counted()) {
            counter.closed(&mut connection.traffic, reset);
        }
        if let Some(delay) = self.read_times.delay_to_report(self.context.clock.now()) {
            self.context.record(delay);
        }
        if let Some(placer) = connection.placer {
            let host = self.slots[connection.host_index].host.spec.name.clone();
            self.context.record(Observation::ConnectionLost {
                host,
                connection: token,
            });
            let key = (connection.host_index, placer);
            if self.connection_of_placer.get(&key) == Some(&token) {
                self.connection_of_placer.remove(&key);
            }
        }
        if reset {
            connection.conn.reset();
        }
    }

    pub(super) fn handle_ready(&mut self, token: u64, readiness: &Readiness) {
        let Some(connection) = self.connections.get_mut(&token) else {
            return;
        };
        if !self.slots[connection.host_index].is_reachable {
            if readiness.is_closed {
                self.close_connection(token, false);
            }
            return;
        }
        if readiness.is_writable && connection.conn.flush(&self.poller).is_err() {
            self.close_connection(token, false);
            return;
        }
        if !readiness.is_readable {
            return;
        }
        let outcome = connection.conn.read_available(READ_BYTES, MAX_UNREAD_BYTES);
        let mut segment = Vec::new();
        while let Some(connection) = self.connections.get_mut(&token) {
            match frame::decode(connection.conn.unread()) {
                Ok((frame, used)) => {
                    connection.conn.consume(used);
                    let Some(frame) = frame else { break };
                    segment.push(CountedFrame {
                        kind: message_kind(&frame),
                        bytes: used as u64,
                    });
                    self.handle_frame(token, frame);
                }
                Err(_) => {
                    self.close_connection(token, true);
                    return;
                }
            }
        }
        self.count_received(token, &segment);
        if matches!(outcome, ReadOutcome::Closed | ReadOutcome::Failed) {
            self.close_connection(token, false);
        }
    }

    pub(super) fn handle_frame(&mut self, token: u64, frame: Frame) {
        let now = self.context.clock.now();
        let Some(connection) = self.connections.get_mut(&token) else {
            return;
        };
        let number = connection.host_index;
        let host = self.slots[number].host.spec.name.clone();
        if let Frame::Hello {
            name, started_ms, ..
        } = &frame
        {
            let placer: Arc<str> = name.as_str().into();
            connection.placer = Some(placer.clone());
            self.context.record(Observation::PlacerConnected {
                host: host.clone(),
                connection: token,
                placer: placer.clone(),
                generation: *started_ms,
            });
            self.connection_of_placer
                .insert((number, placer.clone()), token);
            let emulated_host = &self.slots[number].host;
            if emulated_host.is_silent() {
                return;
            }
            let hello = Frame::Hello {
                major: frame::MAJOR,
                minor: frame::MINOR,
                name: host.to_string(),
                started_ms: emulated_host.started_us / 1000,
                max_offers: 0,
            };
            let mut frames = vec![hello];
            frames.extend(emulated_host.held_frames(&placer));
            frames.push(Frame::HeldEnd);
            if emulated_host.is_draining() {
                frames.push(Frame::Drain);
            }
            frames.into_iter().for_each(|frame| self.send(token, frame));
            return;
        }
        let Some(placer) = connection.placer.clone() else {
            return;
        };
        if let Some(delay) = self.read_times.delay_to_report(now) {
            self.context.record(delay);
        }
        self.context.record(Observation::FrameFromPlacer {
            host,
            connection: token,
            frame: frame.clone(),
        });
        let mut out = Vec::new();
        self.slots[number]
            .host
            .handle_frame(now, &placer, frame, &mut self.keys, &mut out);
        self.apply_actions(number, out);
    }
}
