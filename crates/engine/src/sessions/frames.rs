//! Frames that hosts send: the greeting, and news of attempts.

use maplethread::{AttemptOutcome, Event, MachineId, TaskReport};
use maplethread_wire::frame::{self, Frame, NoteKind, Reason};

use crate::engine::{Engine, Stage};
use crate::hosts::ConnectionState;
use crate::{Decide, HostId};

impl<D: Decide> Engine<D> {
    /// Bytes from a host; returns how many were used. The rest is to be given again, with more.
    pub fn host_bytes(&mut self, now: u64, id: HostId, unread: &[u8]) -> usize {
        self.now = self.now.max(now);
        let mut used = 0;
        loop {
            if self
                .hosts
                .get(&id)
                .is_none_or(|h| h.connection == ConnectionState::Down)
            {
                return unread.len();
            }
            match frame::decode(&unread[used..]) {
                Ok((frame, n)) => {
                    used += n;
                    let Some(frame) = frame else { return used };
                    if let Err(why) = self.handle_frame(id, frame) {
                        self.reject_host(id, &why);
                        return unread.len();
                    }
                }
                Err(e) => {
                    self.reject_host(id, &e.to_string());
                    return unread.len();
                }
            }
        }
    }

    pub(super) fn reject_host(&mut self, id: HostId, why: &str) {
        let Some(host) = self.hosts.get(&id) else {
            return;
        };
        tracing::warn!(host = %host.name, why, "breaks the protocol; connection dropped");
        self.send_frame(id, &Frame::Bye(why.to_owned()), false);
        self.disconnect_host(id);
    }

    pub(super) fn handle_frame(&mut self, id: HostId, frame: Frame) -> Result<(), String> {
        self.record_sign_of_life(id, &frame);
        let Some(host) = self.hosts.get_mut(&id) else {
            return Ok(());
        };
        let link = host.connection;
        match frame {
            Frame::Hello {
                major,
                name,
                started_ms,
                ..
            } if link == ConnectionState::Greeting => {
                if major != frame::MAJOR {
                    return Err(format!("speaks version {major}, not {}", frame::MAJOR));
                }
                if *name != *host.name {
                    return Err(format!("calls itself `{name}`"));
                }
                if host.reported_started_ms != Some(started_ms) {
                    // A new process: what the old one said of itself is over.
                    (host.reported_started_ms, host.is_draining) = (Some(started_ms), false);
                }
                (host.connection, host.greeted_epoch) =
                    (ConnectionState::Syncing, host.connection_epoch);
                let seated = |w: &u64| {
                    self.attempts
                        .get(w)
                        .is_some_and(|a| a.stage == Stage::Placed)
                };
                host.unconfirmed = host.attempts.iter().copied().filter(seated).collect();
                self.watch_liveness(id);
                Ok(())
            }
            Frame::Held(offer, runs) if link == ConnectionState::Syncing => {
                self.handle_held_task(id, offer, runs);
                Ok(())
            }
            // Since 1.1: what has ended while there was no connection is no loss, and its end is known.
            Frame::Ended(..) if link == ConnectionState::Syncing => {
                self.handle_attempt_frame(id, frame);
                Ok(())
            }
            Frame::HeldEnd if link == ConnectionState::Syncing => {
                (host.connection, host.failed_connects) = (ConnectionState::Up, 0);
                tracing::info!(host = %host.name, "connected");
                let missing: Vec<u64> = host.unconfirmed.iter().copied().collect();
                for wire in missing {
                    self.finish_attempt(wire, AttemptOutcome::Disconnected, None, None, true);
                }
                self.update_host_use(id);
                self.publish_host(id);
                self.events.push(Event::ConnectionChanged {
                    machine: MachineId(id.0),
                    is_connected: true,
                });
                Ok(())
            }
            Frame::Drain if matches!(link, ConnectionState::Syncing | ConnectionState::Up) => {
                host.is_draining = true;
                if link == ConnectionState::Up {
                    self.publish_host(id);
                }
                Ok(())
            }
            Frame::Ping(nonce) => {
                self.send_frame(id, &Frame::Pong(nonce), false);
                Ok(())
            }
            Frame::Pong(_) => Ok(()),
            Frame::Bye(why) => Err(format!("said goodbye: {why}")),
            frame if link == ConnectionState::Up => {
                self.handle_attempt_frame(id, frame);
                Ok(())
            }
            _ => Err("a frame out of turn".to_owned()),
        }
    }

    /// What a greeted host says of attempts. Numbers that are not, or no longer, known are survived.
    pub(super) fn handle_attempt_frame(&mut self, id: HostId, frame: Frame) {
        let at_this_host =
            |engine: &Self, wire: &u64| engine.attempts.get(wire).is_some_and(|a| a.host == id);
        match frame {
            Frame::Accepted(wire, took) if at_this_host(self, &wire) => {
                self.handle_accepted(wire, took)
            }
            // Its time was over, or the connection had broken in between: it was called off then; again does no harm.
            Frame::Accepted(wire, _) => {
                self.send_frame(id, &Frame::Stop(wire), false);
            }
            Frame::Started(wire, took) if at_this_host(self, &wire) => {
                self.handle_started(wire, took)
            }
            Frame::Refused(wire, reason, load) if at_this_host(self, &wire) => {
                self.finish_attempt(wire, AttemptOutcome::Rejected, Some(reason), load, true);
            }
            Frame::Ended(wire, reason, ran, load) if at_this_host(self, &wire) => {
                let seated = self
                    .attempts
                    .get(&wire)
                    .is_some_and(|a| a.stage == Stage::Placed);
                let ending = match reason {
                    Reason::Completed => AttemptOutcome::Completed,
                    Reason::Error => AttemptOutcome::Error,
                    Reason::Stopped => AttemptOutcome::Cancelled,
                    // Handed back before it ran and before it was placed.
                    _ if !ran && !seated => AttemptOutcome::Rejected,
                    _ => AttemptOutcome::Disconnected,
                };
                self.finish_attempt(wire, ending, Some(reason), load, reason != Reason::Error);
            }
            Frame::Refused(wire, ..) => self.clear_unsettled(wire),
            Frame::Ended(wire, reason, ..) if reason != Reason::Error => self.clear_unsettled(wire),
            Frame::Note(wire, kind, x) if at_this_host(self, &wire) => {
                let note = match kind {
                    NoteKind::Cores => TaskReport::CoresUsed(x),
                    NoteKind::Memory => TaskReport::MemoryUsed(x),
                    NoteKind::ServedShare => TaskReport::Served(x),
                    NoteKind::HostMemoryShare => TaskReport::MachineMemory(x),
                };
                if let Some(attempt) = self.attempts.get(&wire) {
                    self.events.push(Event::TaskReported {
                        attempt: attempt.id,
                        report: note,
                    });
                }
            }
            Frame::Report(nonce, load) => self.handle_probe_report(nonce, load),
            _ => {}
        }
    }
}
