//! What the hosts write, what is counted of their traffic, and hosts that cannot be reached.

use maplethread_capacity::Direction;
use maplethread_checker::Observation;
use maplethread_wire::frame::{self, Frame};

use super::HostThread;
use crate::traffic::{Counted, kind_of};

/// Bytes that may wait to be written to one placer.
const MOST_UNWRITTEN: usize = 4 << 20;

impl HostThread {
    /// The connections of an unreachable host stay as they are, unread and unwritten, until their placers give them up.
    pub(super) fn set_reachable(&mut self, number: usize, reachable: bool) {
        self.slots[number].reachable = reachable;
        let links: Vec<u64> = self
            .conns
            .iter()
            .filter(|(_, l)| l.host_index == number)
            .map(|(&t, _)| t)
            .collect();
        for token in links {
            let Some(link) = self.conns.get_mut(&token) else {
                continue;
            };
            if link.conn.set_reading(reachable, &self.poller).is_err() {
                self.lose(token, true);
            }
            self.pending_writes.insert(token);
        }
    }

    pub(super) fn count_read(&mut self, token: u64, segment: &[Counted]) {
        let now = self.world.clock.now();
        let Some(link) = self.conns.get_mut(&token).filter(|l| l.counts()) else {
            return;
        };
        if let Some(counter) = &self.counter {
            counter.segment(&mut link.traffic, now, Direction::FromPlacer, segment);
        }
    }

    /// Adds a frame to what its connection is to write once all that is at hand is done.
    pub(super) fn send(&mut self, token: u64, frame: Frame) {
        let Some(link) = self.conns.get_mut(&token) else {
            return;
        };
        let host = self.slots[link.host_index].host.spec.name.clone();
        let before = link.conn.write_buffer().len();
        frame::encode(&frame, link.conn.write_buffer());
        let bytes = (link.conn.write_buffer().len() - before) as u64;
        link.unwritten.push(Counted {
            kind: kind_of(&frame),
            bytes,
        });
        self.world.record(Observation::FromHost {
            host,
            link: token,
            frame,
        });
        self.pending_writes.insert(token);
    }

    pub(super) fn flush_dirty(&mut self) {
        while let Some(token) = self.pending_writes.pop_first() {
            self.flush(token);
        }
    }

    pub(super) fn flush(&mut self, token: u64) {
        let now = self.world.clock.now();
        let Some(link) = self.conns.get_mut(&token) else {
            return;
        };
        let mut broken = false;
        if self.slots[link.host_index].reachable {
            // Counted first: whoever has read it finds it counted.
            let segment = std::mem::take(&mut link.unwritten);
            if let Some(counter) = self.counter.as_ref().filter(|_| link.counts()) {
                counter.segment(&mut link.traffic, now, Direction::ToPlacer, &segment);
            }
            broken = link.conn.flush(&self.poller).is_err();
        }
        // A placer that stands still reads nothing; what waits for it is bounded.
        if broken || link.conn.unwritten_bytes() > MOST_UNWRITTEN {
            self.lose(token, true);
        }
    }
}
