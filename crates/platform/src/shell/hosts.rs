//! The sockets of connections to hosts.

use std::io;
use std::net::SocketAddr;

use maplethread::Micros;
use maplethread_platform_wire::host;
use maplethread_reactor::{ReadOutcome, Readiness};

use super::owners::{Closable, MAX_PEER_SHARE};
use super::{HOST_KIND, MAX_UNREAD_BYTES, Shell, token};
use crate::engine::{ConnectionId, DisconnectReason, InvalidMessage};

/// The maximum number of bytes read from one host in one round, so that a busy host does not delay the others.
const HOST_READ_BYTES: usize = 16 << 10;
/// The maximum number of unwritten bytes for a host. The connection to a host that reads too slowly is closed.
const MAX_UNWRITTEN_BYTES: usize = 256 << 10;

/// The disconnect reason for a connect error.
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
            self.close_lowest_priority_owner(Closable::All);
        }
        // Connections to hosts are limited to a share of the maximum, so that some are left for owners.
        let max_hosts = MAX_PEER_SHARE.of(self.max_connections);
        let result = match self.connection_count() < self.max_connections
            && self.host_connections.len() < max_hosts
        {
            true => self.connect(address, token(HOST_KIND, id.0)),
            false => Err(io::Error::other("connection limit reached")),
        };
        match result {
            Ok(connection) => drop(self.host_connections.insert(id, connection)),
            Err(error) => {
                tracing::debug!(%address, %error, "cannot connect to host");
                self.engine
                    .connection_lost(now, id, disconnect_reason(&error));
            }
        }
    }

    pub(super) fn handle_host_ready(&mut self, id: ConnectionId, readiness: &Readiness) {
        let now = self.event_loop.now();
        if self.draining_hosts.contains_key(&id) {
            return self.read_draining_host(now, id);
        }
        let Some(connection) = self.host_connections.get_mut(&id) else {
            return;
        };
        if connection.is_connecting() {
            if !readiness.is_writable && !readiness.is_closed {
                return;
            }
            match connection.finish_connect() {
                Ok(()) => {
                    self.engine.connection_established(now, id);
                    self.pending_writes.insert(token(HOST_KIND, id.0));
                }
                Err(error) => {
                    self.drop_host_connection(now, id, disconnect_reason(&error));
                    return;
                }
            }
        } else if readiness.is_writable {
            self.pending_writes.insert(token(HOST_KIND, id.0));
        }
        if !readiness.is_readable {
            return;
        }
        let Some(connection) = self.host_connections.get_mut(&id) else {
            return;
        };
        let outcome = connection.read_available(HOST_READ_BYTES, MAX_UNREAD_BYTES);
        loop {
            match host::decode(connection.unread()) {
                Ok(Some((message, length))) => {
                    connection.consume(length);
                    self.engine.handle_host_message(now, id, message);
                }
                Ok(None) => break,
                Err(error) => {
                    let header = host::decode_header(connection.unread());
                    let action = self.engine.handle_invalid_message(now, id, error, header);
                    tracing::debug!(connection = id.0, %error, ?action, "invalid message from host");
                    match (action, header) {
                        (InvalidMessage::Skipped, Some(header)) => {
                            connection.consume(header.length)
                        }
                        // The engine's output starts to drain the connection.
                        _ => return,
                    }
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
        reason: DisconnectReason,
    ) {
        self.host_connections.remove(&id);
        self.resume_accepting();
        self.engine.connection_lost(now, id, reason);
    }

    /// Writes bytes that end an attempt or a task at once, because the attempt is in flight until they are written.
    pub(super) fn send_to_host_immediately(&mut self, now: Micros, id: ConnectionId, bytes: &[u8]) {
        let Some(connection) = self.host_connections.get_mut(&id) else {
            return;
        };
        connection.write_buffer().extend_from_slice(bytes);
        if connection.flush(self.event_loop.poller()).is_err() || connection.unwritten_bytes() > 0 {
            tracing::debug!(
                connection = id.0,
                "close could not be written at once; closing the connection to the host"
            );
            self.drop_host_connection(now, id, DisconnectReason::Broken);
        }
    }

    pub(super) fn flush_host(&mut self, now: Micros, id: ConnectionId) {
        let Some(connection) = self.host_connections.get_mut(&id) else {
            return;
        };
        if connection.flush(self.event_loop.poller()).is_err()
            || connection.unwritten_bytes() > MAX_UNWRITTEN_BYTES
        {
            self.drop_host_connection(now, id, DisconnectReason::Broken);
        }
    }
}
