//! Client connections: accepting them, reading a bounded number of bytes at a time, and writing.

use std::collections::{BTreeSet, HashMap};

use maplethread_engine::{ClientId, Decide};
use maplethread_reactor::{ReadOutcome, Readiness, TcpConnection};

use super::{Daemon, MAX_READ_BYTES_PER_ROUND, MAX_UNREAD_BYTES};

const MAX_ACCEPTS_PER_ROUND: usize = 64;

/// Connected clients. The engine identifies a client by the poller token of its connection.
#[derive(Default)]
pub(super) struct Clients {
    connections: HashMap<u64, TcpConnection>,
    /// Clients with bytes that the engine has not consumed yet, since they have too many requests in progress.
    backlogged: BTreeSet<u64>,
    /// Whether the engine may be able to consume some of those bytes now.
    has_retriable_backlog: bool,
}

impl Clients {
    pub fn owns_token(&self, token: u64) -> bool {
        self.connections.contains_key(&token)
    }

    /// Whether the engine may now be able to consume bytes that it left unconsumed before.
    pub fn has_retriable_backlog(&self) -> bool {
        self.has_retriable_backlog
    }

    /// Whether no client has unwritten output.
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
                Ok(Some((stream, _))) => stream,
                Ok(None) => return,
                Err(error) => {
                    // Most likely too many open files; waiting connections stay in the kernel's accept queue.
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
                Err(error) => tracing::warn!(%error, "registering an accepted connection failed"),
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
            // If this fails, the connection is reported as readable again, but no more of it is read.
            let _ = connection.set_reading(false, self.event_loop.poller());
        }
        let is_disconnected = matches!(outcome, ReadOutcome::Closed | ReadOutcome::Failed)
            || (is_full && readiness.is_closed);
        if is_disconnected {
            self.disconnect_client(now, token);
        }
    }

    /// Passes bytes to the engine again that it left unconsumed while a client had too many requests in progress.
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
                // If this fails, it is tried again when further bytes are consumed.
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

    /// Closes a client's connection once its output is written. The engine no longer tracks the client.
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

    /// Writes a client's pending output. Does nothing if the token is not that of a client.
    pub(super) fn flush_client(&mut self, token: u64) {
        let Some(connection) = self.clients.connections.get_mut(&token) else {
            return;
        };
        let flushed = connection.flush(self.event_loop.poller());
        self.engine
            .client_unread(ClientId(token), connection.unwritten_bytes());
        // The engine may have paused this client because of its unwritten output.
        self.clients.has_retriable_backlog |= self.clients.backlogged.contains(&token);
        if flushed.is_err() {
            self.disconnect_client(self.event_loop.now(), token);
        }
    }

    /// Handles the end of a client's connection.
    fn disconnect_client(&mut self, now: u64, token: u64) {
        self.engine.client_closed(now, ClientId(token));
        self.clients.remove(token);
    }
}
