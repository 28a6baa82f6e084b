//! Connections to hosts: connecting, the time limit for the greeting, connection loss, and reconnecting.

use maplethread::{AttemptOutcome, Event, MachineId, Micros};
use maplethread_wire::frame::{self, Frame};

use super::Delivery;
use crate::attempt::{AttemptEnd, Stage};
use crate::decide::Decide;
use crate::engine::Engine;
use crate::host::ConnectionState;
use crate::ids::{AttemptKey, HostId};
use crate::output::Output;
use crate::timer::Timer;

/// The delay before a reconnect is doubled at most this many times.
const MAX_RECONNECT_DOUBLINGS: u32 = 16;

impl<D: Decide> Engine<D> {
    /// Connects to a host, unless a connection has been started since `epoch`.
    pub(crate) fn connect(&mut self, id: HostId, epoch: u64) {
        let timeout = self.config.hosts.connect_timeout_ms * 1000;
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
        self.outputs.push(Output::Connect(id, host.address));
        let epoch = host.connection_epoch;
        self.timers.schedule(
            self.now + timeout,
            Timer::GreetingTimeout { host: id, epoch },
        );
    }

    /// Drops a connection whose greeting did not complete in time.
    pub(crate) fn handle_greeting_timeout(&mut self, id: HostId, epoch: u64) {
        let Some(host) = self.hosts.get(&id) else {
            return;
        };
        let is_awaited = matches!(
            host.connection,
            ConnectionState::Greeting | ConnectionState::Syncing
        );
        if host.connection_epoch == epoch && is_awaited {
            tracing::warn!(host = %host.name, "host did not complete its greeting in time; connection dropped");
            self.disconnect_host(id);
        }
    }

    /// Handles a new connection to a host. `now` is in µs.
    pub fn host_connected(&mut self, now: Micros, id: HostId) {
        self.now = self.now.max(now);
        let is_greeting = |state| state == ConnectionState::Greeting;
        if !self
            .hosts
            .get(&id)
            .is_some_and(|host| is_greeting(host.connection))
        {
            return;
        }
        let hello = Frame::Hello {
            major: frame::MAJOR,
            minor: frame::MINOR,
            name: self.config.identity.name.clone(),
            started_ms: self.started_ms,
            max_offers: 0,
        };
        self.send_frame(id, &hello, Delivery::Required);
    }

    /// Records that the kernel has accepted `written` bytes of this connection in total.
    pub fn host_written(&mut self, id: HostId, written: u64) {
        if let Some(host) = self.hosts.get_mut(&id) {
            host.written_bytes = written;
        }
    }

    /// Handles a connection to a host that failed or was lost after the kernel had accepted `written` bytes. An offer
    /// that the kernel had not accepted completely can't have reached the host completely, so it never ran. `now` is in
    /// µs.
    pub fn host_closed(&mut self, now: Micros, id: HostId, written: u64) {
        self.now = self.now.max(now);
        let Some(host) = self.hosts.get_mut(&id) else {
            return;
        };
        if host.connection == ConnectionState::Down {
            return;
        }
        let was = std::mem::replace(&mut host.connection, ConnectionState::Down);
        self.liveness.remove(id);
        tracing::info!(host = %host.name, ?was, "connection lost");
        let (epoch, is_wanted, was_tried) =
            (host.connection_epoch, host.is_wanted(), host.was_tried);
        let earlier_failures = host.failed_connects;
        host.failed_connects = earlier_failures.saturating_add(1);
        let holds_tasks = self.finish_unplaced_attempts(id, written);
        if holds_tasks && is_wanted {
            let lost_at = self.now + self.config.hosts.loss_timeout_ms * 1000;
            self.timers
                .schedule(lost_at, Timer::TasksLost { host: id, epoch });
        } else if holds_tasks {
            self.fail_all_attempts(id);
        }
        if is_wanted {
            let delay = self.reconnect_delay(earlier_failures);
            self.timers
                .schedule(self.now + delay, Timer::Reconnect { host: id, epoch });
        }
        if !was_tried {
            self.publish_host(id);
        }
        self.events.push(Event::ConnectionChanged {
            machine: MachineId(id.0),
            is_connected: false,
        });
        self.remove_departed(id);
    }

    /// Finishes the attempts at a host that are not placed. Returns whether the host has placed ones.
    fn finish_unplaced_attempts(&mut self, id: HostId, written: u64) -> bool {
        let mut holds_tasks = false;
        for key in self.attempts_at(id) {
            let Some(attempt) = self.attempts.get(&key) else {
                continue;
            };
            match attempt.stage {
                Stage::Placed => holds_tasks = true,
                Stage::Offered if attempt.frame_end > written => {
                    let end = AttemptEnd::known_dead(AttemptOutcome::ConnectFailed);
                    self.finish_attempt(key, end);
                }
                Stage::Offered | Stage::Accepted => {
                    let end = AttemptEnd::uncertain(AttemptOutcome::Disconnected);
                    self.finish_attempt(key, end);
                }
            }
        }
        holds_tasks
    }

    /// How long to wait before the next connection attempt, after `earlier_failures` failures in a row.
    fn reconnect_delay(&mut self, earlier_failures: u32) -> Micros {
        let hosts = &self.config.hosts;
        let delay_ms = hosts
            .min_reconnect_delay_ms
            .saturating_mul(1 << earlier_failures.min(MAX_RECONNECT_DOUBLINGS))
            .min(hosts.max_reconnect_delay_ms);
        self.jitter(delay_ms * 1000)
    }

    /// Drops the connection to a host. Bytes that the kernel has not accepted by now are never sent.
    pub(crate) fn disconnect_host(&mut self, id: HostId) {
        let Some(written) = self.hosts.get(&id).map(|host| host.written_bytes) else {
            return;
        };
        self.outputs.push(Output::CloseHost(id));
        self.host_closed(self.now, id, written);
    }

    /// Finishes the attempts at a host that has been disconnected for too long. A host that has reconnected since is
    /// skipped, as it lists the tasks that it still holds.
    pub(crate) fn handle_tasks_lost(&mut self, id: HostId, epoch: u64) {
        let is_lost = self.hosts.get(&id).is_some_and(|host| {
            epoch >= host.greeted_epoch
                && epoch > host.epoch_at_return
                && !host.connection.is_greeted()
        });
        if is_lost {
            self.fail_all_attempts(id);
        }
    }

    pub(super) fn fail_all_attempts(&mut self, id: HostId) {
        for key in self.attempts_at(id) {
            let end = AttemptEnd::uncertain(AttemptOutcome::Disconnected);
            self.finish_attempt(key, end);
        }
    }

    fn attempts_at(&self, id: HostId) -> Vec<AttemptKey> {
        self.hosts
            .get(&id)
            .map(|host| host.attempts.iter().copied().collect())
            .unwrap_or_default()
    }
}
