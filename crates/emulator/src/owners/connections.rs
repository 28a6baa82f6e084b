//! The connections from owners to placers.

use std::io;
use std::net::SocketAddr;

use maplethread_checker::Observation;
use maplethread_reactor::{ReadOutcome, Readiness, TcpConnection};
use maplethread_wire::http::{Limits, MessageReader, Role};

use super::thread::{ConnectionUse, OwnerConnection, OwnerState, OwnerThread, PlacerGeneration};

/// Maximum number of bytes read from a connection at a time.
const READ_BYTES: usize = 256 << 10;
/// Maximum number of unread bytes buffered for a connection.
const MAX_UNREAD_BYTES: usize = 512 << 10;

impl OwnerThread {
    /// An idle or a new connection. Fails at the maximum number of connections; the owner then retries later.
    pub(super) fn idle_or_new_connection(
        &mut self,
        process: PlacerGeneration,
        address: SocketAddr,
    ) -> io::Result<u64> {
        if let Some(token) = self.idle.get_mut(&process).and_then(Vec::pop) {
            return Ok(token);
        }
        if self.connections.len() >= self.max_connections {
            return Err(io::Error::other(
                "maximum number of connections reached for the descriptor limit of this process",
            ));
        }
        let reader = MessageReader::new(Role::Responses, Limits::default());
        let purpose = ConnectionUse::Requests {
            reader,
            owner: None,
            is_abandoned: false,
        };
        self.connect(process, address, purpose)
    }

    pub(super) fn connect(
        &mut self,
        process: PlacerGeneration,
        address: SocketAddr,
        purpose: ConnectionUse,
    ) -> io::Result<u64> {
        self.last_token += 1;
        let token = self.last_token;
        let conn = TcpConnection::connect(address, token, &self.poller)?;
        self.connections.insert(
            token,
            OwnerConnection {
                conn,
                process,
                purpose,
            },
        );
        Ok(token)
    }

    pub(super) fn drop_connection(&mut self, token: u64) {
        if let Some(connection) = self.connections.remove(&token)
            && let Some(idle) = self.idle.get_mut(&connection.process)
        {
            idle.retain(|&t| t != token);
        }
    }

    pub(super) fn handle_ready(&mut self, readiness: &Readiness) {
        let token = readiness.token;
        let poller = &self.poller;
        let Some(connection) = self.connections.get_mut(&token) else {
            return;
        };
        if connection.conn.is_connecting() {
            if !readiness.is_writable && !readiness.is_closed {
                return;
            }
            if connection.conn.finish_connect().is_err() {
                self.handle_connection_failure(token);
                return;
            }
        }
        if connection.conn.flush(poller).is_err() {
            self.handle_connection_failure(token);
            return;
        }
        if !readiness.is_readable {
            return;
        }
        let outcome = connection.conn.read_available(READ_BYTES, MAX_UNREAD_BYTES);
        let is_finished = match &connection.purpose {
            ConnectionUse::Requests { .. } => self.read_answers(token),
            ConnectionUse::Events { .. } => self.read_events(token),
        };
        if is_finished || matches!(outcome, ReadOutcome::Closed | ReadOutcome::Failed) {
            self.handle_connection_failure(token);
        }
    }

    /// Reads the connection of an owner before its deadline is handled: an answer that arrived in time, but is unread
    /// because this thread is late, counts as given.
    pub(super) fn read_pending_answer(&mut self, owner: usize) {
        let OwnerState::AwaitingAnswer(token) = self.owners[owner].state else {
            return;
        };
        self.handle_ready(&Readiness {
            token,
            is_readable: true,
            is_writable: false,
            is_closed: false,
        });
    }

    /// Handles a failed connection: a request that waits on it has an unknown outcome.
    pub(super) fn handle_connection_failure(&mut self, token: u64) {
        let now = self.context.clock.now();
        let Some(connection) = self.connections.remove(&token) else {
            return;
        };
        match connection.purpose {
            ConnectionUse::Requests {
                owner: Some(owner),
                is_abandoned: false,
                ..
            } => {
                let request = self.owners[owner].request.clone();
                self.context
                    .record(Observation::ClientConnectionLost { request });
                self.unanswered -= 1;
                self.handle_unknown_outcome(now, owner);
            }
            ConnectionUse::Requests { .. } => {
                if let Some(idle) = self.idle.get_mut(&connection.process) {
                    idle.retain(|&t| t != token);
                }
            }
            ConnectionUse::Events { .. } => {
                self.event_connections.remove(&connection.process.placer);
            }
        }
    }
}
