//! Heartbeats to hosts, and hosts that are cut off for their silence, as [`maplethread_liveness`] says.

use maplethread_config::HostSettings;
use maplethread_liveness::{DueAction, Liveness, Settings, SignOfLife};
use maplethread_wire::frame::Frame;

use crate::engine::Engine;
use crate::hosts::ConnectionState;
use crate::{Decide, HostId};

/// No hosts yet; how often they are pinged is set.
pub(crate) fn new_liveness(hosts: &HostSettings) -> Liveness<HostId> {
    Liveness::new(Settings {
        ping_interval: hosts.ping_interval_ms * 1000,
        silence_timeout: hosts.silence_timeout_ms * 1000,
        max_idle_pings_per_s: hosts.max_idle_pings_per_s,
        max_idle_interval: hosts.max_idle_ping_interval_ms * 1000,
    })
}

impl<D: Decide> Engine<D> {
    /// Sends the heartbeats that are due, and cuts off hosts whose silence is final.
    pub(crate) fn send_due_heartbeats(&mut self) {
        for due in self.liveness.take_due(self.now, self.is_after_stall) {
            match due {
                DueAction::SendHeartbeat(id) => self.send_heartbeat(id),
                DueAction::Disconnect(id) => {
                    tracing::warn!(host = %self.host_name(id), "silent; connection dropped");
                    self.disconnect_host(id);
                }
            }
        }
    }

    fn send_heartbeat(&mut self, id: HostId) {
        let epoch = self.hosts.get(&id).map_or(0, |h| h.connection_epoch);
        match self.send_frame(id, &Frame::Ping(epoch as u32), true) {
            Some(_) => self.counters.heartbeats += 1,
            None => self.liveness.record_unsent_heartbeat(id),
        }
    }

    /// A host has greeted: its silence counts from now on.
    pub(super) fn watch_liveness(&mut self, id: HostId) {
        let first_tick_after = self.jitter(self.config.hosts.ping_interval_ms * 1000);
        self.liveness.host_greeted(self.now, id, first_tick_after);
    }

    /// A host was heard to say something.
    pub(super) fn record_sign_of_life(&mut self, id: HostId, frame: &Frame) {
        let sign = if matches!(frame, Frame::Pong(_)) {
            SignOfLife::Answer
        } else {
            SignOfLife::Traffic
        };
        self.liveness.record_sign_of_life(self.now, id, sign);
    }

    /// Attempts at a host have come or gone. One that is still naming what it holds counts as in use.
    pub(crate) fn update_host_use(&mut self, id: HostId) {
        let Some(host) = self
            .hosts
            .get(&id)
            .filter(|h| h.connection == ConnectionState::Up)
        else {
            return;
        };
        if host.attempts.is_empty() {
            self.liveness.mark_idle(id);
        } else {
            self.liveness.mark_in_use(self.now, id);
        }
    }
}
