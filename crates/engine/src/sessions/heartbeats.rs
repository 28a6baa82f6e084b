//! Heartbeats to hosts, and hosts that are cut off for their silence.

use maplethread_wire::frame::Frame;

use crate::engine::{Due, Engine};
use crate::hosts::Link;
use crate::{Decide, HostId};

impl<D: Decide> Engine<D> {
    pub(crate) fn ping_due(&mut self, id: HostId, epoch: u64) {
        let (every, silent) = (self.config.hosts.ping_every_ms, self.config.hosts.silent_after_ms);
        let Some(host) = self.hosts.get_mut(&id) else { return };
        if host.epoch != epoch || host.link == Link::Down {
            return;
        }
        if self.stalled {
            // The silence was this placer's own.
            host.heard = self.now;
        }
        if host.heard + silent * 1000 <= self.now {
            tracing::warn!(host = %host.name, "silent; connection dropped");
            self.cut(id);
            return;
        }
        self.send(id, &Frame::Ping(epoch as u32), true);
        self.timers.set(self.now + every * 1000, Due::Ping(id, epoch));
    }
}
