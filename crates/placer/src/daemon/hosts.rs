//! Connections to hosts.

use std::collections::HashMap;
use std::net::SocketAddr;

use maplethread_engine::{Decide, HostId};
use maplethread_reactor::{ReadOutcome, Readiness, TcpConnection};

use super::{Daemon, MAX_READ_BYTES_PER_ROUND, MAX_UNREAD_BYTES};

/// A connection to a host, established or in progress.
struct HostConnection {
    connection: TcpConnection,
    id: HostId,
}

/// All connections to hosts.
#[derive(Default)]
pub(super) struct Hosts {
    /// Keyed by poller token.
    connections: HashMap<u64, HostConnection>,
    /// The token of the newest connection to each host.
    tokens: HashMap<HostId, u64>,
}

impl Hosts {
    pub fn owns_token(&self, token: u64) -> bool {
        self.connections.contains_key(&token)
    }

    fn insert(&mut self, token: u64, id: HostId, connection: TcpConnection) {
        self.connections
            .insert(token, HostConnection { connection, id });
        self.tokens.insert(id, token);
    }

    /// The newest connection to a host, and its token.
    fn newest(&mut self, id: HostId) -> Option<(u64, &mut TcpConnection)> {
        let token = *self.tokens.get(&id)?;
        let host = self.connections.get_mut(&token)?;
        Some((token, &mut host.connection))
    }
}

impl<D: Decide> Daemon<D> {
    pub(super) fn connect_host(&mut self, id: HostId, address: SocketAddr) {
        let token = self.tokens.allocate();
        match TcpConnection::connect(address, token, self.event_loop.poller()) {
            Ok(connection) => self.hosts.insert(token, id, connection),
            Err(error) => {
                tracing::debug!(host = id.0, %address, %error, "connect failed");
                self.engine.host_closed(self.event_loop.now(), id, 0);
            }
        }
    }

    pub(super) fn on_host_ready(&mut self, readiness: &Readiness) {
        let now = self.event_loop.now();
        let token = readiness.token;
        let Some(host) = self.hosts.connections.get_mut(&token) else {
            return;
        };
        let id = host.id;
        if host.connection.is_connecting() {
            if !readiness.is_writable && !readiness.is_closed {
                return;
            }
            if let Err(error) = host.connection.finish_connect() {
                tracing::debug!(host = id.0, %error, "connect failed");
                self.disconnect_host(token);
                return;
            }
            self.pending_writes.insert(token);
            self.engine.host_connected(now, id);
        }
        if readiness.is_writable {
            self.pending_writes.insert(token);
        }
        if readiness.is_readable {
            let outcome = host
                .connection
                .read_available(MAX_READ_BYTES_PER_ROUND, MAX_UNREAD_BYTES);
            let used = self.engine.host_bytes(now, id, host.connection.unread());
            host.connection.consume(used);
            if matches!(outcome, ReadOutcome::Closed | ReadOutcome::Failed) {
                self.disconnect_host(token);
            }
        }
    }

    pub(super) fn write_to_host(&mut self, id: HostId, bytes: &[u8]) {
        if let Some((token, connection)) = self.hosts.newest(id) {
            connection.write_buffer().extend_from_slice(bytes);
            self.pending_writes.insert(token);
        }
    }

    /// Drops the connection to a host. The engine no longer tracks it.
    pub(super) fn close_host(&mut self, id: HostId) {
        if let Some(token) = self.hosts.tokens.remove(&id) {
            self.pending_writes.remove(token);
            self.hosts.connections.remove(&token);
        }
    }

    /// Writes a host's pending output.
    pub(super) fn flush_host(&mut self, token: u64) {
        let Some(host) = self.hosts.connections.get_mut(&token) else {
            return;
        };
        let flushed = host.connection.flush(self.event_loop.poller());
        self.engine
            .host_written(host.id, host.connection.written_bytes());
        if flushed.is_err() {
            self.disconnect_host(token);
        }
    }

    /// Handles the end of a connection to a host. Notifies the engine if it was the newest one to that host.
    fn disconnect_host(&mut self, token: u64) {
        if let Some(HostConnection { connection, id }) = self.hosts.connections.remove(&token)
            && self.hosts.tokens.get(&id) == Some(&token)
        {
            self.hosts.tokens.remove(&id);
            let now = self.event_loop.now();
            self.engine.host_closed(now, id, connection.written_bytes());
        }
    }
}
