//! Frames that hosts send: the greeting, and reports on attempts.

use maplethread::{AttemptOutcome, Event, MachineId, Micros, TaskReport};
use maplethread_wire::frame::{self, Frame, NoteKind, Reason, ResourceAmounts};

use super::Delivery;
use crate::attempt::{AttemptEnd, Stage};
use crate::decide::Decide;
use crate::engine::Engine;
use crate::host::ConnectionState;
use crate::ids::{AttemptKey, HostId};

/// Why the connection to a host is dropped. The text is sent to the host.
#[derive(Debug, thiserror::Error)]
enum ProtocolError {
    #[error("speaks version {0}, not {expected}", expected = frame::MAJOR)]
    Version(u16),
    #[error("calls itself `{0}`")]
    Name(String),
    #[error("said goodbye: {0}")]
    Goodbye(String),
    #[error("a frame out of turn")]
    UnexpectedFrame,
}

impl<D: Decide> Engine<D> {
    /// Handles bytes received from a host; returns how many were used. The caller passes the rest again, with further
    /// bytes. `now` is in µs.
    pub fn host_bytes(&mut self, now: Micros, id: HostId, unread: &[u8]) -> usize {
        self.now = self.now.max(now);
        let mut used = 0;
        while self
            .hosts
            .get(&id)
            .is_some_and(|host| host.connection != ConnectionState::Down)
        {
            let violation = match frame::decode(&unread[used..]) {
                Ok((None, bytes)) => return used + bytes,
                Ok((Some(frame), bytes)) => {
                    used += bytes;
                    self.handle_frame(id, frame).err().map(|e| e.to_string())
                }
                Err(error) => Some(error.to_string()),
            };
            if let Some(violation) = violation {
                self.reject_host(id, &violation);
            }
        }
        unread.len()
    }

    fn reject_host(&mut self, id: HostId, reason: &str) {
        let Some(host) = self.hosts.get(&id) else {
            return;
        };
        tracing::warn!(host = %host.name, reason, "protocol violation by host; connection dropped");
        self.send_frame(id, &Frame::Bye(reason.to_owned()), Delivery::Required);
        self.disconnect_host(id);
    }

    fn handle_frame(&mut self, id: HostId, frame: Frame) -> Result<(), ProtocolError> {
        self.record_activity(id, &frame);
        let Some(host) = self.hosts.get_mut(&id) else {
            return Ok(());
        };
        match (host.connection, frame) {
            (
                ConnectionState::Greeting,
                Frame::Hello {
                    major,
                    name,
                    started_ms,
                    ..
                },
            ) => return self.handle_greeting(id, major, name, started_ms),
            (ConnectionState::Syncing, Frame::Held(offer, is_running)) => {
                self.handle_held_task(id, &offer, is_running);
            }
            // Since protocol 1.1 a host also reports tasks that ended while it was disconnected. Otherwise they would
            // be missing from its list and count as lost.
            (ConnectionState::Syncing, frame @ Frame::Ended(..)) => {
                self.handle_attempt_frame(id, frame);
            }
            (ConnectionState::Syncing, Frame::HeldEnd) => self.finish_sync(id),
            (ConnectionState::Syncing | ConnectionState::Up, Frame::Drain) => {
                host.is_draining = true;
                if host.connection == ConnectionState::Up {
                    self.publish_host(id);
                }
            }
            (_, Frame::Ping(nonce)) => {
                self.send_frame(id, &Frame::Pong(nonce), Delivery::Required);
            }
            (_, Frame::Pong(_)) => {}
            (_, Frame::Bye(reason)) => return Err(ProtocolError::Goodbye(reason)),
            (ConnectionState::Up, frame) => self.handle_attempt_frame(id, frame),
            _ => return Err(ProtocolError::UnexpectedFrame),
        }
        Ok(())
    }

    /// Handles the greeting of a host. The host then lists the tasks that it holds.
    fn handle_greeting(
        &mut self,
        id: HostId,
        major: u16,
        name: String,
        started_ms: u64,
    ) -> Result<(), ProtocolError> {
        let Some(host) = self.hosts.get_mut(&id) else {
            return Ok(());
        };
        if major != frame::MAJOR {
            return Err(ProtocolError::Version(major));
        }
        if *name != *host.name {
            return Err(ProtocolError::Name(name));
        }
        if host.reported_started_ms != Some(started_ms) {
            // The host has a new process: a drain that the old one reported is over.
            (host.reported_started_ms, host.is_draining) = (Some(started_ms), false);
        }
        host.connection = ConnectionState::Syncing;
        host.greeted_epoch = host.connection_epoch;
        let attempts = &self.attempts;
        let is_placed = |key: &AttemptKey| {
            attempts
                .get(key)
                .is_some_and(|attempt| attempt.stage == Stage::Placed)
        };
        host.unconfirmed = host.attempts.iter().copied().filter(is_placed).collect();
        self.monitor_liveness(id);
        Ok(())
    }

    /// Handles the end of a host's list of tasks: placed tasks that were not listed are lost.
    fn finish_sync(&mut self, id: HostId) {
        let Some(host) = self.hosts.get_mut(&id) else {
            return;
        };
        (host.connection, host.failed_connects) = (ConnectionState::Up, 0);
        tracing::info!(host = %host.name, "host connected");
        let missing: Vec<AttemptKey> = host.unconfirmed.iter().copied().collect();
        for key in missing {
            let end = AttemptEnd::known_dead(AttemptOutcome::Disconnected);
            self.finish_attempt(key, end);
        }
        self.update_host_use(id);
        self.publish_host(id);
        self.events.push(Event::ConnectionChanged {
            machine: MachineId(id.0),
            is_connected: true,
        });
    }

    /// Handles a host's report on an attempt. The attempt may be unknown, or have finished already.
    fn handle_attempt_frame(&mut self, id: HostId, frame: Frame) {
        match frame {
            Frame::Accepted(attempt, took_ms) => match self.attempt_at(id, attempt) {
                Some(key) => self.handle_accepted(key, took_ms),
                // The attempt had timed out, or its connection had been lost, and it was cancelled then; stopping it
                // again has no effect.
                None => {
                    self.send_frame(id, &Frame::Stop(attempt), Delivery::Required);
                }
            },
            Frame::Started(attempt, took_ms) => {
                if let Some(key) = self.attempt_at(id, attempt) {
                    self.handle_started(key, took_ms);
                }
            }
            Frame::Refused(attempt, reason, load) => match self.attempt_at(id, attempt) {
                Some(key) => {
                    let end = AttemptEnd {
                        outcome: AttemptOutcome::Rejected,
                        reason: Some(reason),
                        load,
                        is_known_dead: true,
                    };
                    self.finish_attempt(key, end);
                }
                None => self.clear_unsettled(AttemptKey(attempt)),
            },
            Frame::Ended(attempt, reason, has_run, load) => match self.attempt_at(id, attempt) {
                Some(key) => self.handle_ended(key, reason, has_run, load),
                None if reason != Reason::Error => self.clear_unsettled(AttemptKey(attempt)),
                None => {}
            },
            Frame::Note(attempt, kind, value) => {
                if let Some(key) = self.attempt_at(id, attempt) {
                    self.handle_note(key, kind, value);
                }
            }
            Frame::Report(nonce, load) => self.handle_probe_report(nonce, load),
            _ => {}
        }
    }

    /// The key of an attempt that a host reports on, if it is recorded at that host.
    fn attempt_at(&self, host: HostId, attempt: u64) -> Option<AttemptKey> {
        let key = AttemptKey(attempt);
        let is_at_host = self.attempts.get(&key).is_some_and(|a| a.host == host);
        is_at_host.then_some(key)
    }

    fn handle_ended(
        &mut self,
        key: AttemptKey,
        reason: Reason,
        has_run: bool,
        load: Option<ResourceAmounts>,
    ) {
        let is_placed = self
            .attempts
            .get(&key)
            .is_some_and(|attempt| attempt.stage == Stage::Placed);
        let outcome = match reason {
            Reason::Completed => AttemptOutcome::Completed,
            Reason::Error => AttemptOutcome::Error,
            Reason::Stopped => AttemptOutcome::Cancelled,
            // The host dropped the task before it ran and before it was placed.
            _ if !has_run && !is_placed => AttemptOutcome::Rejected,
            _ => AttemptOutcome::Disconnected,
        };
        let end = AttemptEnd {
            outcome,
            reason: Some(reason),
            load,
            is_known_dead: reason != Reason::Error,
        };
        self.finish_attempt(key, end);
    }

    fn handle_note(&mut self, key: AttemptKey, kind: NoteKind, value: f64) {
        let report = match kind {
            NoteKind::Cores => TaskReport::CoresUsed(value),
            NoteKind::Memory => TaskReport::MemoryUsed(value),
            NoteKind::ServiceShare => TaskReport::ServiceShare(value),
            NoteKind::HostMemoryShare => TaskReport::MachineMemoryShare(value),
        };
        if let Some(attempt) = self.attempts.get(&key) {
            self.events.push(Event::TaskReported {
                attempt: attempt.id,
                report,
            });
        }
    }
}
