//! Connections to hosts.

use std::io;
use std::net::SocketAddr;

use maplethread::Micros;
use maplethread_platform_wire::host;
use maplethread_reactor::{ReadOutcome, Readiness};

use super::owners::MAX_PART;
use super::{LINK, MAX_UNREAD, Shell, token};
use crate::engine::{LinkId, Loss};

/// Bytes read from one host in one round, so that a busy one waits for the others.
const READ_ROUND: usize = 16 << 10;
/// Bytes that may wait for a host; one that reads too little is cut off from this placer.
const MAX_UNWRITTEN: usize = 256 << 10;

/// What an error while connecting tells of the host.
fn why_lost(error: &io::Error) -> Loss {
    if error.kind() == io::ErrorKind::ConnectionRefused {
        Loss::Refused
    } else {
        Loss::Broken
    }
}

impl Shell {
    pub(super) fn connect_host(&mut self, now: Micros, id: LinkId, address: SocketAddr) {
        if self.used() >= self.sockets {
            self.spare();
        }
        // Nor do hosts take all, however many there are: owners have to be heard.
        let most = self.sockets * MAX_PART.0 / MAX_PART.1;
        let result = match self.used() < self.sockets && self.host_connections.len() < most {
            true => self.connect(address, token(LINK, id.0)),
            false => Err(io::Error::other("all descriptors are in use")),
        };
        match result {
            Ok(conn) => drop(self.host_connections.insert(id, conn)),
            Err(error) => {
                tracing::debug!(%address, %error, "connect");
                self.engine.link_lost(now, id, why_lost(&error));
            }
        }
    }

    pub(super) fn link_ready(&mut self, id: LinkId, r: &Readiness) {
        let now = self.clock.now();
        let Some(conn) = self.host_connections.get_mut(&id) else {
            return;
        };
        if conn.is_connecting() {
            if !r.is_writable && !r.is_closed {
                return;
            }
            match conn.finish_connect() {
                Ok(()) => {
                    self.engine.link_up(now, id);
                    self.dirty.insert(token(LINK, id.0));
                }
                Err(error) => {
                    self.lose(now, id, why_lost(&error));
                    return;
                }
            }
        } else if r.is_writable {
            self.dirty.insert(token(LINK, id.0));
        }
        if !r.is_readable {
            return;
        }
        let Some(conn) = self.host_connections.get_mut(&id) else {
            return;
        };
        let outcome = conn.read_available(READ_ROUND, MAX_UNREAD);
        loop {
            match host::read(conn.unread()) {
                Ok(Some((says, n))) => {
                    conn.consume(n);
                    self.engine.host_says(now, id, says);
                }
                Ok(None) => break,
                Err(fault) => {
                    tracing::debug!(link = id.0, %fault, "a host sent what can't be read");
                    self.lose(now, id, Loss::Broken);
                    return;
                }
            }
        }
        if matches!(outcome, ReadOutcome::Closed | ReadOutcome::Failed) {
            self.lose(now, id, Loss::Broken);
        }
    }

    pub(super) fn lose(&mut self, now: Micros, id: LinkId, loss: Loss) {
        self.host_connections.remove(&id);
        self.resume();
        self.engine.link_lost(now, id, loss);
    }

    /// Has an end written now: what it ends is out until then.
    pub(super) fn end_at_host(&mut self, now: Micros, id: LinkId, bytes: &[u8]) {
        let Some(conn) = self.host_connections.get_mut(&id) else {
            return;
        };
        conn.write_buffer().extend_from_slice(bytes);
        if conn.flush(&self.poller).is_err() || conn.unwritten_bytes() > 0 {
            tracing::debug!(link = id.0, "a connection does not take an end");
            self.lose(now, id, Loss::Broken);
        }
    }

    pub(super) fn flush_host(&mut self, now: Micros, id: LinkId) {
        let Some(conn) = self.host_connections.get_mut(&id) else {
            return;
        };
        if conn.flush(&self.poller).is_err() || conn.unwritten_bytes() > MAX_UNWRITTEN {
            self.lose(now, id, Loss::Broken);
        }
    }
}
