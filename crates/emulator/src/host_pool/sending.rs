//! What the hosts write, what is counted of their traffic, and hosts that cannot be reached.

use maplethread_capacity::Direction;
use maplethread_checker::Observation;
use maplethread_wire::frame::{self, Frame};

use super::thread::HostThread;
use crate::traffic::{CountedFrame, message_kind};

/// Bytes that may wait to be written to one placer.
const MAX_UNWRITTEN_BYTES: usize = 4 << 20;

impl HostThread {
    /// The connections of an unreachable host stay as they are, unread and unwritten, until their placers give them up.
    pub(super) fn set_reachable(&mut self, number: usize, reachable: bool) {
        self.slots[number].is_reachable = reachable;
        for token in self.connections_of(number) {
            let Some(link) = self.connections.get_mut(&token) else {
                continue;
            };
            if link.conn.set_reading(reachable, &self.poller).is_err() {
                self.close_connection(token, true);
            }
            self.pending_writes.insert(token);
        }
    }

    pub(super) fn count_received(&mut self, token: u64, segment: &[CountedFrame]) {
        let now = self.context.clock.now();
        let Some(link) = self.connections.get_mut(&token).filter(|l| l.is_counted()) else {
            return;
        };
        if let Some(counter) = &self.counter {
            counter.segment(&mut link.traffic, now, Direction::FromPlacer, segment);
        }
    }

    /// Adds a frame to what its connection is to write once all that is at hand is done.
    pub(super) fn send(&mut self, token: u64, frame: Frame) {
        let Some(link) = self.connections.get_mut(&token) else {
            return;
        };
        let host = self.slots[link.host_index].host.spec.name.clone();
        let before = link.conn.write_buffer().len();
        frame::encode(&frame, link.conn.write_buffer());
        let bytes = (link.conn.write_buffer().len() - before) as u64;
        link.unwritten.push(CountedFrame {
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
        let Some(link) = self.connections.get_mut(&token) else {
            return;
        };
        let mut broken = false;
        if self.slots[link.host_index].is_reachable {
            // Counted first: whoever has read it finds it counted.
            let segment = std::mem::take(&mut link.unwritten);
            if let Some(counter) = self.counter.as_ref().filter(|_| link.is_counted()) {
                counter.segment(&mut link.traffic, now, Direction::ToPlacer, &segment);
            }
            broken = link.conn.flush(&self.poller).is_err();
        }
        // A placer that stands still reads nothing; what waits for it is bounded.
        if broken || link.conn.unwritten_bytes() > MAX_UNWRITTEN_BYTES {
            self.close_connection(token, true);
        }
    }
}
