//! The connections of placers to the hosts.

use std::sync::Arc;

use maplethread_checker::Observation;
use maplethread_reactor::{ReadOutcome, Readiness, TcpConnection};
use maplethread_wire::frame::{self, Frame};

use super::thread::{HostThread, PlacerConnection};
use crate::traffic::{ConnectionTraffic, CountedFrame, message_kind};

/// Bytes that are read from a connection at a time, and that may lie unread in it.
const READ_BYTES: usize = 256 << 10;
/// See [`READ_BYTES`].
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
        let Some(mut link) = self.connections.remove(&token) else {
            return;
        };
        self.pending_writes.remove(&token);
        if let Some(counter) = self.counter.as_ref().filter(|_| link.is_counted()) {
            counter.closed(&mut link.traffic, reset);
        }
        if let Some(late) = self.read_times.delay_to_report(self.context.clock.now()) {
            self.context.record(late);
        }
        if let Some(placer) = link.placer {
            let host = self.slots[link.host_index].host.spec.name.clone();
            self.context.record(Observation::ConnectionLost {
                host,
                connection: token,
            });
            let key = (link.host_index, placer);
            if self.connection_of_placer.get(&key) == Some(&token) {
                self.connection_of_placer.remove(&key);
            }
        }
        if reset {
            link.conn.reset();
        }
    }

    pub(super) fn handle_ready(&mut self, token: u64, r: &Readiness) {
        let Some(link) = self.connections.get_mut(&token) else {
            return;
        };
        if !self.slots[link.host_index].is_reachable {
            if r.is_closed {
                self.close_connection(token, false);
            }
            return;
        }
        if r.is_writable && link.conn.flush(&self.poller).is_err() {
            self.close_connection(token, false);
            return;
        }
        if !r.is_readable {
            return;
        }
        let outcome = link.conn.read_available(READ_BYTES, MAX_UNREAD_BYTES);
        let mut segment = Vec::new();
        while let Some(link) = self.connections.get_mut(&token) {
            match frame::decode(link.conn.unread()) {
                Ok((frame, used)) => {
                    link.conn.consume(used);
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
        let Some(link) = self.connections.get_mut(&token) else {
            return;
        };
        let number = link.host_index;
        let host = self.slots[number].host.spec.name.clone();
        if let Frame::Hello {
            name, started_ms, ..
        } = &frame
        {
            let placer: Arc<str> = name.as_str().into();
            link.placer = Some(placer.clone());
            self.context.record(Observation::PlacerConnected {
                host: host.clone(),
                connection: token,
                placer: placer.clone(),
                incarnation: *started_ms,
            });
            self.connection_of_placer
                .insert((number, placer.clone()), token);
            let slot = &self.slots[number].host;
            if slot.is_silent() {
                return;
            }
            let hello = Frame::Hello {
                major: frame::MAJOR,
                minor: frame::MINOR,
                name: host.to_string(),
                started_ms: slot.started_us / 1000,
                max_offers: 0,
            };
            let mut frames = vec![hello];
            frames.extend(slot.held_frames(&placer));
            frames.push(Frame::HeldEnd);
            if slot.is_draining() {
                frames.push(Frame::Drain);
            }
            frames.into_iter().for_each(|frame| self.send(token, frame));
            return;
        }
        let Some(placer) = link.placer.clone() else {
            return;
        };
        if let Some(late) = self.read_times.delay_to_report(now) {
            self.context.record(late);
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
