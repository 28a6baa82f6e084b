//! Writes of the hosts, the counting of their traffic, and unreachable hosts.

use maplethread_capacity::Direction;
use maplethread_checker::Observation;
use maplethread_wire::frame::{self, Frame};

use super::thread::HostThread;
use crate::traffic::{CountedFrame, message_kind};

/// Maximum number of bytes buffered for one placer.
const MAX_UNWRITTEN_BYTES: usize = 4 << 20;

impl HostThread {
    /// Sets whether a host is reachable. Connections of an unreachable host stay open, neither read nor written, until
    /// their placers close them.
    pub(super) fn set_reachable(&mut self, number: usize, is_reachable: bool) {
        self.slots[number].is_reachable = is_reachable;
        for token in self.connections_of(number) {
            let Some(connection) = self.connections.get_mut(&token) else {
                continue;
            };
            if connection
                .conn
                .set_reading(is_reachable, &self.poller)
                .is_err()
            {
                self.close_connection(token, true);
            }
            self.pending_writes.insert(token);
        }
    }

    pub(super) fn count_received(&mut self, token: u64, segment: &[CountedFrame]) {
        let now = self.context.clock.now();
        let Some(connection) = self
            .connections
            .get_mut(&token)
            .filter(|connection| connection.is_counted())
        else {
            return;
        };
        if let Some(counter) = &self.counter {
            counter.segment(&mut connection.traffic, now, Direction::FromPlacer, segment);
        }
    }

    /// Appends a frame to the write buffer of a connection; it is written when the current event has been handled.
    pub(super) fn send(&mut self, token: u64, frame: Frame) {
        let Some(connection) = self.connections.get_mut(&token) else {
            return;
        };
        let host = self.slots[connection.host_index].host.spec.name.clone();
        let before = connection.conn.write_buffer().len();
        frame::encode(&frame, connection.conn.write_buffer());
        let bytes = (connection.conn.write_buffer().len() - before) as u64;
        connection.unwritten.push(CountedFrame {
            kind: message_kind(&frame),
            bytes,
        });
        self.context.record(Observation::FrameFromHost {
            host,
            connection: token,
            frame,
        });
        self.pending_writes.insert(token);
    }

    pub(super) fn flush_pending(&mut self) {
        while let Some(token) = self.pending_writes.pop_first() {
            self.flush(token);
        }
    }

    pub(super) fn flush(&mut self, token: u64) {
        let now = self.context.clock.now();
        let Some(connection) = self.connections.get_mut(&token) else {
            return;
        };
        let mut has_failed = false;
        if self.slots[connection.host_index].is_reachable {
            // Counted before the write, so that a frame that a placer has received is always counted.
            let segment = std::mem::take(&mut connection.unwritten);
            if let Some(counter) = self.counter.as_ref().filter(|_| connection.is_counted()) {
                counter.segment(&mut connection.traffic, now, Direction::ToPlacer, &segment);
            }
            has_failed = connection.conn.flush(&self.poller).is_err();
        }
        // A paused placer does not read; the limit bounds the memory used for it.
        if has_failed || connection.conn.unwritten_bytes() > MAX_UNWRITTEN_BYTES {
            self.close_connection(token, true);
        }
    }
}
