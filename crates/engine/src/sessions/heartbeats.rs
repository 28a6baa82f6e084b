//! Heartbeats to hosts, and hosts that are cut off for their silence, as [`maplethread_liveness`] says.

use maplethread_config::HostSettings;
use maplethread_liveness::{Due, Liveness, Settings, Sign};
use maplethread_wire::frame::Frame;

use crate::engine::Engine;
use crate::hosts::ConnectionState;
use crate::{Decide, HostId};

/// No hosts yet; how often they are pinged is set.
pub(crate) fn liveness(hosts: &HostSettings) -> Liveness<HostId> {
    Liveness::new(Settings {
        ping_every: hosts.ping_interval_ms * 1000,
        silent_after: hosts.silence_timeout_ms * 1000,
        max_idle_pings_per_s: hosts.max_idle_pings_per_s,
        max_idle_interval: hosts.max_idle_ping_interval_ms * 1000,
    })
}

impl<D: Decide> Engine<D> {
    /// Sends the heartbeats that are due, and cuts off hosts whose silence is final.
    pub(crate) fn heartbeats_due(&mut self) {
        for due in self.liveness.due(self.now, self.stalled) {
            match due {
                Due::Heartbeat(id) => self.heartbeat(id),
                Due::Silent(id) => {
                    tracing::warn!(host = %self.host_name(id), "silent; connection dropped");
                    self.cut(id);
                }
            }
        }
    }

    fn heartbeat(&mut self, id: HostId) {
        let epoch = self.hosts.get(&id).map_or(0, |h| h.connection_epoch);
        match self.send(id, &Frame::Ping(epoch as u32), true) {
            Some(_) => self.counters.heartbeats += 1,
            None => self.liveness.heartbeat_not_sent(id),
        }
    }

    /// A host has greeted: its silence counts from now on.
    pub(super) fn watch(&mut self, id: HostId) {
        let first_tick_after = self.jitter(self.config.hosts.ping_interval_ms * 1000);
        self.liveness.greeted(self.now, id, first_tick_after);
    }

    /// A host was heard to say something.
    pub(super) fn sign_of_life(&mut self, id: HostId, frame: &Frame) {
        let sign = if matches!(frame, Frame::Pong(_)) {
            Sign::Answer
        } else {
            Sign::Traffic
        };
        self.liveness.heard(self.now, id, sign);
    }

    /// Attempts at a host have come or gone. One that is still naming what it holds counts as in use.
    pub(crate) fn use_changed(&mut self, id: HostId) {
        let Some(host) = self
            .hosts
            .get(&id)
            .filter(|h| h.connection == ConnectionState::Up)
        else {
            return;
        };
        if host.attempts.is_empty() {
            self.liveness.use_ends(id);
        } else {
            self.liveness.use_begins(self.now, id);
        }
    }
}
