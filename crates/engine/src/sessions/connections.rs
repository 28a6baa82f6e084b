//! Connections to hosts: made, greeted in time, lost and made again.

use maplethread::{AttemptOutcome, Event, MachineId};
use maplethread_wire::frame::{self, Frame};

use crate::engine::{Engine, Output, Stage, Timer};
use crate::hosts::{ConnectionState, Host};
use crate::{Decide, HostId};

impl<D: Decide> Engine<D> {
    pub(crate) fn connect(&mut self, id: HostId, epoch: u64) {
        let within = self.config.hosts.connect_timeout_ms * 1000;
        let Some(host) = self.hosts.get_mut(&id) else {
            return;
        };
        if host.connection_epoch != epoch
            || host.connection != ConnectionState::Down
            || !host.is_wanted()
        {
            return;
        }
        host.connection_epoch += 1;
        host.connection = ConnectionState::Greeting;
        (host.queued_bytes, host.written_bytes) = (0, 0);
        let (address, epoch) = (host.address, host.connection_epoch);
        self.outputs.push(Output::Connect(id, address));
        self.timers
            .schedule(self.now + within, Timer::GreetingTimeout(id, epoch));
    }

    pub(crate) fn handle_greeting_timeout(&mut self, id: HostId, epoch: u64) {
        let Some(host) = self.hosts.get_mut(&id) else {
            return;
        };
        if host.connection_epoch == epoch
            && matches!(
                host.connection,
                ConnectionState::Greeting | ConnectionState::Syncing
            )
        {
            tracing::warn!(host = %host.name, "no greeting in time");
            self.disconnect_host(id);
        }
    }

    /// The connection to a host is made.
    pub fn host_connected(&mut self, now: u64, id: HostId) {
        self.now = self.now.max(now);
        let hello = Frame::Hello {
            major: frame::MAJOR,
            minor: frame::MINOR,
            name: self.config.identity.name.clone(),
            started_ms: self.started_ms,
            max_offers: 0,
        };
        if self
            .hosts
            .get(&id)
            .is_some_and(|h| h.connection == ConnectionState::Greeting)
        {
            self.send_frame(id, &hello, false);
        }
    }

    /// The kernel has taken so many bytes of this connection, ever.
    pub fn host_written(&mut self, id: HostId, written: u64) {
        if let Some(host) = self.hosts.get_mut(&id) {
            host.written_bytes = written;
        }
    }

    /// A connection to a host could not be made, or is lost; the kernel had taken `written` bytes of it. An offer
    /// of which it had not taken all never reached the host whole, so it never ran.
    pub fn host_closed(&mut self, now: u64, id: HostId, written: u64) {
        self.now = self.now.max(now);
        let (first, most) = (
            self.config.hosts.min_reconnect_delay_ms,
            self.config.hosts.max_reconnect_delay_ms,
        );
        let lost = self.config.hosts.loss_timeout_ms * 1000;
        let Some(host) = self.hosts.get_mut(&id) else {
            return;
        };
        if host.connection == ConnectionState::Down {
            return;
        }
        let was = std::mem::replace(&mut host.connection, ConnectionState::Down);
        self.liveness.remove(id);
        tracing::info!(host = %host.name, ?was, "connection lost");
        let attempts: Vec<u64> = host.attempts.iter().copied().collect();
        let (epoch, tries, wanted) = (
            host.connection_epoch,
            host.failed_connects,
            host.is_wanted(),
        );
        host.failed_connects = tries.saturating_add(1);
        let untold = !host.was_tried;
        let mut holds = false;
        for wire in attempts {
            let Some(attempt) = self.attempts.get(&wire) else {
                continue;
            };
            match attempt.stage {
                Stage::Placed => holds = true,
                Stage::Offered if attempt.frame_end > written => {
                    self.finish_attempt(wire, AttemptOutcome::ConnectFailed, None, None, true);
                }
                Stage::Offered | Stage::Accepted => {
                    self.finish_attempt(wire, AttemptOutcome::Disconnected, None, None, false)
                }
            }
        }
        if holds && wanted {
            self.timers
                .schedule(self.now + lost, Timer::TasksLost(id, epoch));
        } else if holds {
            self.fail_all_attempts(id);
        }
        if wanted {
            let whole = first.saturating_mul(1 << tries.min(16)).min(most) * 1000;
            let wait = self.jitter(whole);
            self.timers
                .schedule(self.now + wait, Timer::Reconnect(id, epoch));
        }
        if untold {
            self.publish_host(id);
        }
        self.events.push(Event::ConnectionChanged {
            machine: MachineId(id.0),
            is_connected: false,
        });
        self.forget_departed(id);
    }

    /// Drops the connection to a host. What the kernel has not taken of it by now is never sent.
    pub(crate) fn disconnect_host(&mut self, id: HostId) {
        let Some(written) = self.hosts.get(&id).map(|h| h.written_bytes) else {
            return;
        };
        self.outputs.push(Output::CloseHost(id));
        self.host_closed(self.now, id, written);
    }

    pub(crate) fn handle_tasks_lost(&mut self, id: HostId, epoch: u64) {
        // A connection made since has its own say on what the host still holds.
        let back =
            |h: &Host| matches!(h.connection, ConnectionState::Syncing | ConnectionState::Up);
        if self
            .hosts
            .get(&id)
            .is_some_and(|h| epoch >= h.greeted_epoch && epoch > h.epoch_at_return && !back(h))
        {
            self.fail_all_attempts(id);
        }
    }

    pub(super) fn fail_all_attempts(&mut self, id: HostId) {
        let held = self
            .hosts
            .get(&id)
            .map(|h| h.attempts.iter().copied().collect::<Vec<_>>());
        for wire in held.unwrap_or_default() {
            self.finish_attempt(wire, AttemptOutcome::Disconnected, None, None, false);
        }
    }
}
