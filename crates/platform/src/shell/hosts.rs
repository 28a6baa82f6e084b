//! Connections to hosts.

use std::io;
use std::net::SocketAddr;

use maplethread::Micros;
use maplethread_platform_wire::host;
use maplethread_reactor::{ReadOutcome, Readiness};

use super::owners::MAX_PEER_SHARE;
use super::{HOST_KIND, MAX_UNREAD_BYTES, Shell, token};
use crate::engine::{ConnectionId, DisconnectReason};

/// Bytes read from one host in one round, so that a busy one waits for the others.
const HOST_READ_BYTES: usize = 16 << 10;
/// Bytes that may wait for a host; one that reads too little is cut off from this placer.
const MAX_UNWRITTEN_BYTES: usize = 256 << 10;

/// What an error while connecting tells of the host.
fn disconnect_reason(error: &io::Error) -> DisconnectReason {
    if error.kind() == io::ErrorKind::ConnectionRefused {
        DisconnectReason::Refused
    } else {
        DisconnectReason::Broken
    }
}

impl Shell {
    pub(super) fn connect_host(&mut self, now: Micros, id: ConnectionId, address: SocketAddr) {
        if self.connection_count() >= self.max_connections {
            self.close_least_useful_owner();
        }
        // Nor do hosts take all, however many there are: owners have to be heard.
        let most = self.max_connections * MAX_PEER_SHARE.0 / MAX_PEER_SHARE.1;
        let result = match self.connection_count() < self.max_connections
            && self.host_connections.len() < most
        {
            true => self.connect(address, token(HOST_KIND, id.0)),
            false => Err(io::Error::other("all descriptors are in use")),
        };
        match result {
            Ok(conn) => drop(self.host_connections.insert(id, conn)),
            Err(error) => {
                tracing::debug!(%address, %error, "connect");
                self.engine
                    .connection_lost(now, id, disconnect_reason(&error));
            }
        }
    }

    pub(super) fn handle_host_ready(&mut self, id: ConnectionId, r: &Readiness) {
        let now = self.event_loop.now();
        let Some(conn) = self.host_connections.get_mut(&id) else {
            return;
        };
        if conn.is_connecting() {
            if !r.is_writable && !r.is_closed {
                return;
            }
            match conn.finish_connect() {
                Ok(()) => {
                    self.engine.connection_established(now, id);
                    self.pending_writes.insert(token(HOST_KIND, id.0));
                }
                Err(error) => {
                    self.drop_host_connection(now, id, disconnect_reason(&error));
                    return;
                }
            }
        } else if r.is_writable {
            self.pending_writes.insert(token(HOST_KIND, id.0));
        }
        if !r.is_readable {
            return;
        }
        let Some(conn) = self.host_connections.get_mut(&id) else {
            return;
        };
        let outcome = conn.read_available(HOST_READ_BYTES, MAX_UNREAD_BYTES);
        loop {
            match host::decode(conn.unread()) {
                Ok(Some((says, n))) => {
                    conn.consume(n);
                    self.engine.handle_host_message(now, id, says);
                }
                Ok(None) => break,
                Err(fault) => {
                    tracing::debug!(link = id.0, %fault, "a host sent what can't be read");
                    self.drop_host_connection(now, id, DisconnectReason::Broken);
                    return;
                }
            }
        }
        if matches!(outcome, ReadOutcome::Closed | ReadOutcome::Failed) {
            self.drop_host_connection(now, id, DisconnectReason::Broken);
        }
    }

    pub(super) fn drop_host_connection(
        &mut self,
        now: Micros,
        id: ConnectionId,
        loss: DisconnectReason,
    ) {
        self.host_connections.remove(&id);
        self.resume_accepting();
        self.engine.connection_lost(now, id, loss);
    }

    /// Has an end written now: what it ends is out until then.
    pub(super) fn send_to_host_immediately(&mut self, now: Micros, id: ConnectionId, bytes: &[u8]) {
        let Some(conn) = self.host_connections.get_mut(&id) else {
            return;
        };
        conn.write_buffer().extend_from_slice(bytes);
        if conn.flush(self.event_loop.poller()).is_err() || conn.unwritten_bytes() > 0 {
            tracing::debug!(link = id.0, "a connection does not take an end");
            self.drop_host_connection(now, id, DisconnectReason::Broken);
        }
    }

    pub(super) fn flush_host(&mut self, now: Micros, id: ConnectionId) {
        let Some(conn) = self.host_connections.get_mut(&id) else {
            return;
        };
        if conn.flush(self.event_loop.poller()).is_err()
            || conn.unwritten_bytes() > MAX_UNWRITTEN_BYTES
        {
            self.drop_host_connection(now, id, DisconnectReason::Broken);
        }
    }
}
