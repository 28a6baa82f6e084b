//! Clients' connections: accepted, read a bounded number of bytes at a time, and written to.

use std::collections::{BTreeSet, HashMap};

use maplethread_engine::{ClientId, Decide};
use maplethread_reactor::{ReadOutcome, Readiness, TcpConnection};

use super::{Daemon, MAX_READ_BYTES_PER_ROUND, MAX_UNREAD_BYTES};

/// Connections accepted in one round.
const MAX_ACCEPTS_PER_ROUND: usize = 64;

/// The clients that are connected. A client is known to the engine by the token of its connection.
#[derive(Default)]
pub(super) struct Clients {
    connections: HashMap<u64, TcpConnection>,
    /// Clients with bytes that the engine did not take yet, since they have too many requests in hand.
    backlogged: BTreeSet<u64>,
    /// The engine may take some of those bytes now.
    has_retriable_backlog: bool,
}

impl Clients {
    pub fn owns_token(&self, token: u64) -> bool {
        self.connections.contains_key(&token)
    }

    /// Whether the engine may take bytes that it left before.
    pub fn has_retriable_backlog(&self) -> bool {
        self.has_retriable_backlog
    }

    /// Whether nothing waits to be written to any client.
    pub fn is_all_written(&self) -> bool {
        self.connections
            .values()
            .all(|connection| connection.unwritten_bytes() == 0)
    }

    fn remove(&mut self, token: u64) -> Option<TcpConnection> {
        self.backlogged.remove(&token);
        self.connections.remove(&token)
    }
}

impl<D: Decide> Daemon<D> {
    pub(super) fn accept_clients(&mut self) {
        for _ in 0..MAX_ACCEPTS_PER_ROUND {
            let Some(listener) = &self.listener else {
                return;
            };
            let stream = match listener.accept() {
                Ok(Some(stream)) => stream,
                Ok(None) => return,
                Err(error) => {
                    // Too many open files, most likely: those waiting stay in the kernel's queue.
                    tracing::warn!(%error, "accepting a connection failed");
                    return;
                }
            };
            let token = self.tokens.allocate();
            match TcpConnection::from_accepted(stream, token, self.event_loop.poller()) {
                Ok(connection) => {
                    self.clients.connections.insert(token, connection);
                    self.engine
                        .client_opened(self.event_loop.now(), ClientId(token));
                }
                Err(error) => tracing::warn!(%error, "connection not accepted"),
            }
        }
    }

    pub(super) fn on_client_ready(&mut self, readiness: &Readiness) {
        let now = self.event_loop.now();
        let token = readiness.token;
        let Some(connection) = self.clients.connections.get_mut(&token) else {
            return;
        };
        if readiness.is_writable {
            self.pending_writes.insert(token);
        }
        if !readiness.is_readable {
            return;
        }
        let id = ClientId(token);
        let outcome = connection.read_available(MAX_READ_BYTES_PER_ROUND, MAX_UNREAD_BYTES);
        let used = self.engine.client_bytes(now, id, connection.unread());
        connection.consume(used);
        let is_full = connection.unread().len() >= MAX_UNREAD_BYTES;
        if !connection.unread().is_empty() {
            self.clients.backlogged.insert(token);
            self.clients.has_retriable_backlog |= used > 0;
        }
        if is_full {
            // If the poller does not take it, the connection is reported again and is read no further.
            let _ = connection.set_reading(false, self.event_loop.poller());
        }
        let is_gone = matches!(outcome, ReadOutcome::Closed | ReadOutcome::Failed)
            || (is_full && readiness.is_closed);
        if is_gone {
            self.disconnect_client(now, token);
        }
    }

    /// Bytes that the engine left, while a client had too many requests in hand, are offered to it again.
    pub(super) fn retry_backlogged_clients(&mut self) {
        let now = self.event_loop.now();
        if !std::mem::take(&mut self.clients.has_retriable_backlog) {
            return;
        }
        for token in std::mem::take(&mut self.clients.backlogged) {
            let Some(connection) = self.clients.connections.get_mut(&token) else {
                continue;
            };
            let id = ClientId(token);
            let used = self.engine.client_bytes(now, id, connection.unread());
            connection.consume(used);
            self.clients.has_retriable_backlog |= used > 0;
            if !connection.unread().is_empty() {
                self.clients.backlogged.insert(token);
            }
            if !connection.is_reading() && connection.unread().len() < MAX_UNREAD_BYTES {
                // If the poller does not take it, the next bytes taken try again.
                let _ = connection.set_reading(true, self.event_loop.poller());
            }
        }
    }

    pub(super) fn write_to_client(&mut self, id: ClientId, bytes: &[u8]) {
        if let Some(connection) = self.clients.connections.get_mut(&id.0) {
            connection.write_buffer().extend_from_slice(bytes);
            self.pending_writes.insert(id.0);
        }
    }

    /// Closes a client's connection once what it was sent is written. The engine knows it no more.
    pub(super) fn close_client(&mut self, id: ClientId) {
        let Some(mut connection) = self.clients.remove(id.0) else {
            return;
        };
        let flushed = connection.flush(self.event_loop.poller());
        let has_too_much_unwritten =
            connection.unwritten_bytes() > self.config.api.max_unsent_bytes;
        if flushed.is_err() || has_too_much_unwritten || self.lingering.is_full() {
            connection.reset();
            return;
        }
        self.lingering.insert(
            id.0,
            connection,
            self.event_loop.now(),
            self.event_loop.poller(),
        );
    }

    /// Writes what waits for a client; nothing if the token is none of a client.
    pub(super) fn flush_client(&mut self, token: u64) {
        let Some(connection) = self.clients.connections.get_mut(&token) else {
            return;
        };
        let flushed = connection.flush(self.event_loop.poller());
        self.engine
            .client_unread(ClientId(token), connection.unwritten_bytes());
        // Answers that were written make room for further requests.
        self.clients.has_retriable_backlog |= self.clients.backlogged.contains(&token);
        if flushed.is_err() {
            self.disconnect_client(self.event_loop.now(), token);
        }
    }

    /// A client's connection has ended.
    fn disconnect_client(&mut self, now: u64, token: u64) {
        self.engine.client_closed(now, ClientId(token));
        self.clients.remove(token);
    }
}
