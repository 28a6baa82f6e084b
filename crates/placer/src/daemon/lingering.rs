//! Connections that the engine has closed: each is kept for a moment, so that its client can read what it was sent. A close
//! with bytes unread would be a reset, which may destroy what was written.

use std::collections::HashMap;

use maplethread_reactor::{Poller, ReadOutcome, Readiness, TcpConnection};

use super::{MAX_READ_BYTES_PER_ROUND, MAX_UNREAD_BYTES};

/// A connection that is closed gets so long to take what it was sent, µs.
const LINGER_DURATION_US: u64 = 1_000_000;
/// Connections that linger at a time.
const MAX_LINGERING: usize = 1024;

struct LingeringConnection {
    connection: TcpConnection,
    deadline: u64,
}

/// The connections that are being closed, by their tokens.
#[derive(Default)]
pub(super) struct LingeringConnections(HashMap<u64, LingeringConnection>);

impl LingeringConnections {
    /// Whether no more connections may linger.
    pub fn is_full(&self) -> bool {
        self.0.len() >= MAX_LINGERING
    }

    /// Keeps a connection until its client has closed it or time is up.
    pub fn insert(&mut self, token: u64, mut connection: TcpConnection, now: u64, poller: &Poller) {
        if connection.unwritten_bytes() == 0 {
            connection.shutdown_write();
        }
        // If the poller does not take it, the connection ends at its deadline.
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

    /// Goes on writing, and drops what the client sends.
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

    /// When the first of them has had its time.
    pub fn next_timeout(&self) -> Option<u64> {
        self.0.values().map(|lingering| lingering.deadline).min()
    }

    /// Closes those that have had their time.
    pub fn close_expired(&mut self, now: u64) {
        self.0.retain(|_, lingering| lingering.deadline > now);
    }
}
