//! The sockets of connections to hosts that are being drained.

use maplethread::Micros;
use maplethread_platform_wire::host;
use maplethread_reactor::{ReadOutcome, TcpConnection};

use super::{MAX_UNREAD_BYTES, Shell};
use crate::engine::ConnectionId;

/// How long a host may take to see the end of the connection and to close its side.
const DRAIN_TIMEOUT: Micros = 1_000_000;
/// How many bytes are read on a connection that is being drained. A host may send an endless answer.
const MAX_DRAIN_BYTES: usize = 256 << 10;
/// The maximum number of connections that are being drained; beyond it the oldest is closed.
const MAX_DRAINING_CONNECTIONS: usize = 16;

/// A connection that is being drained.
pub(super) struct DrainingConnection {
    conn: TcpConnection,
    pub(super) until: Micros,
    /// How many further bytes may be read.
    remaining_bytes: usize,
}

impl Shell {
    /// Closes this side of a connection, and reads what the host has written before it sees that.
    pub(super) fn start_draining(&mut self, now: Micros, id: ConnectionId) {
        let Some(conn) = self.host_connections.remove(&id) else {
            return self.engine.connection_drained(id);
        };
        conn.shutdown_write();
        if self.draining_hosts.len() >= MAX_DRAINING_CONNECTIONS
            && let Some((oldest, _)) = self.draining_hosts.pop_first()
        {
            self.engine.connection_drained(oldest);
        }
        let connection = DrainingConnection {
            conn,
            until: now + DRAIN_TIMEOUT,
            remaining_bytes: MAX_DRAIN_BYTES,
        };
        self.draining_hosts.insert(id, connection);
        self.read_draining_host(now, id);
    }

    /// Reads a connection that is being drained, and skips what cannot be decoded.
    pub(super) fn read_draining_host(&mut self, now: Micros, id: ConnectionId) {
        let Some(connection) = self.draining_hosts.get_mut(&id) else {
            return;
        };
        let unread_before = connection.conn.unread().len();
        let outcome = connection
            .conn
            .read_available(connection.remaining_bytes, MAX_UNREAD_BYTES);
        let received = connection.conn.unread().len() - unread_before;
        connection.remaining_bytes -= received;
        let mut is_open = !matches!(outcome, ReadOutcome::Closed | ReadOutcome::Failed)
            && connection.remaining_bytes > 0;
        loop {
            match host::decode(connection.conn.unread()) {
                Ok(Some((message, length))) => {
                    connection.conn.consume(length);
                    self.engine.handle_host_message(now, id, message);
                }
                Ok(None) => break,
                Err(_) => match host::decode_header(connection.conn.unread()) {
                    Some(header) => connection.conn.consume(header.length),
                    None => {
                        is_open = false;
                        break;
                    }
                },
            }
        }
        if !is_open {
            self.finish_draining(id);
        }
    }

    /// Closes the connections whose time to drain is over.
    pub(super) fn expire_draining_hosts(&mut self, now: Micros) {
        let expired: Vec<ConnectionId> = self
            .draining_hosts
            .iter()
            .filter(|(_, connection)| connection.until <= now)
            .map(|(&id, _)| id)
            .collect();
        for id in expired {
            self.finish_draining(id);
        }
    }

    fn finish_draining(&mut self, id: ConnectionId) {
        self.draining_hosts.remove(&id);
        self.engine.connection_drained(id);
        self.resume_accepting();
    }
}
