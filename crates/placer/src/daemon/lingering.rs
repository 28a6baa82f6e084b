//! Connections that the engine has closed. Each stays open briefly so that its client can read all output: closing a
//! socket with unread input sends a reset, which may discard output that the client has not read yet.

use std::collections::HashMap;

use maplethread_reactor::{Poller, ReadOutcome, Readiness, TcpConnection};

use super::{MAX_READ_BYTES_PER_ROUND, MAX_UNREAD_BYTES};

/// How long a closed connection stays open for its client to read the output, µs.
const LINGER_DURATION_US: u64 = 1_000_000;
const MAX_LINGERING_CONNECTIONS: usize = 1024;

struct LingeringConnection {
    connection: TcpConnection,
    deadline: u64,
}

/// Connections that are being closed, keyed by poller token.
#[derive(Default)]
pub(super) struct LingeringConnections(HashMap<u64, LingeringConnection>);

impl LingeringConnections {
    /// Whether the maximum number of lingering connections is reached.
    pub fn is_full(&self) -> bool {
        self.0.len() >= MAX_LINGERING_CONNECTIONS
    }

    /// Keeps a connection until its client closes it or `LINGER_DURATION_US` has passed.
    pub fn insert(&mut self, token: u64, mut connection: TcpConnection, now: u64, poller: &Poller) {
        if connection.unwritten_bytes() == 0 {
            connection.shutdown_write();
        }
        // If this fails, the connection ends at its deadline.
        let _ = connection.set_reading(true, poller);
        let deadline = now + LINGER_DURATION_US;
        self.0.insert(
            token,
            LingeringConnection {
                connection,
                deadline,
            },
        );
    }

    /// Continues writing and discards input from the client.
    pub fn on_ready(&mut self, readiness: &Readiness, poller: &Poller) {
        let token = readiness.token;
        let Some(LingeringConnection { connection, .. }) = self.0.get_mut(&token) else {
            return;
        };
        if connection.flush(poller).is_err() {
            self.0.remove(&token);
            return;
        }
        if connection.unwritten_bytes() == 0 {
            connection.shutdown_write();
        }
        if readiness.is_readable {
            let outcome = connection.read_available(MAX_READ_BYTES_PER_ROUND, MAX_UNREAD_BYTES);
            connection.consume(MAX_UNREAD_BYTES);
            if matches!(outcome, ReadOutcome::Closed | ReadOutcome::Failed) {
                self.0.remove(&token);
            }
        }
    }

    /// The earliest deadline of a lingering connection, µs.
    pub fn next_timeout(&self) -> Option<u64> {
        self.0.values().map(|lingering| lingering.deadline).min()
    }

    /// Closes the connections whose deadline has passed.
    pub fn close_expired(&mut self, now: u64) {
        self.0.retain(|_, lingering| lingering.deadline > now);
    }
}
