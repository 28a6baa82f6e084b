//! Heartbeats to hosts and disconnection of unresponsive hosts, as [`maplethread_liveness`] decides.

use maplethread_liveness::{Activity, DueAction};
use maplethread_wire::frame::Frame;

use super::Delivery;
use crate::decide::Decide;
use crate::engine::Engine;
use crate::host::ConnectionState;
use crate::ids::HostId;

impl<D: Decide> Engine<D> {
    /// Sends the heartbeats that are due, and drops connections to hosts from which nothing was received within
    /// the silence time-out.
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
        let epoch = self.hosts.get(&id).map_or(0, |host| host.connection_epoch);
        match self.send_frame(id, &Frame::Ping(epoch as u32), Delivery::BestEffort) {
            Some(_) => self.counters.heartbeats += 1,
            None => self.liveness.record_unsent_heartbeat(id),
        }
    }

    /// Starts to monitor a host that has sent its greeting.
    pub(super) fn monitor_liveness(&mut self, id: HostId) {
        let first_tick_after = self.jitter(self.config.hosts.ping_interval_ms * 1000);
        self.liveness.host_greeted(self.now, id, first_tick_after);
    }

    pub(super) fn record_activity(&mut self, id: HostId, frame: &Frame) {
        let activity = match frame {
            Frame::Pong(_) => Activity::Answer,
            _ => Activity::Traffic,
        };
        self.liveness.record_activity(self.now, id, activity);
    }

    /// Updates the liveness module on whether there are attempts at a host. A host that is still listing its tasks
    /// counts as in use.
    pub(crate) fn update_host_use(&mut self, id: HostId) {
        let Some(host) = self
            .hosts
            .get(&id)
            .filter(|host| host.connection == ConnectionState::Up)
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
