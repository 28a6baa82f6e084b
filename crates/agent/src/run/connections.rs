//! Connections from placers.

use std::sync::Arc;

use maplethread_reactor::{ReadOutcome, Readiness, TcpConnection};
use maplethread_wire::frame::{self, Frame, Reason};

use super::Shell;
use crate::agent::Action;
use crate::config::find_program;

/// Maximum number of open connections; further ones are closed immediately.
const MAX_CONNECTIONS: usize = 1024;
/// Maximum size of the write buffer of a connection. A placer that reads so slowly that it is exceeded is disconnected.
const MAX_UNWRITTEN_BYTES: usize = 4 << 20;
/// Maximum number of bytes read from a connection for one readiness event.
const MAX_READ_BYTES: usize = 256 << 10;
/// Maximum size of the read buffer of a connection, which holds bytes that are not decoded yet.
const MAX_UNREAD_BYTES: usize = 512 << 10;

pub(super) struct PlacerConnection {
    connection: TcpConnection,
    /// The name of the placer, once its Hello frame has been received.
    placer: Option<Arc<str>>,
}

impl Shell {
    pub(super) fn accept_connections(&mut self) {
        while let Ok((stream, _)) = self.listener.accept() {
            if self.connections.len() >= MAX_CONNECTIONS {
                tracing::warn!(
                    max = MAX_CONNECTIONS,
                    "connection closed: the maximum number of connections is open"
                );
                continue;
            }
            let token = self.allocate_token();
            if let Ok(connection) = TcpConnection::from_accepted(stream, token, &self.poller) {
                let connection = PlacerConnection {
                    connection,
                    placer: None,
                };
                self.connections.insert(token, connection);
            }
        }
    }

    fn close_connection(&mut self, token: u64) {
        if let Some(closed) = self.connections.remove(&token)
            && let Some(placer) = closed.placer
            && self.token_by_placer.get(&placer) == Some(&token)
        {
            self.token_by_placer.remove(&placer);
        }
    }

    pub(super) fn handle_connection_ready(
        &mut self,
        readiness: &Readiness,
        actions: &mut Vec<Action>,
    ) {
        let token = readiness.token;
        let Some(placer) = self.connections.get_mut(&token) else {
            return;
        };
        if readiness.is_writable && placer.connection.flush(&self.poller).is_err() {
            return self.close_connection(token);
        }
        if !readiness.is_readable {
            return;
        }
        let outcome = placer
            .connection
            .read_available(MAX_READ_BYTES, MAX_UNREAD_BYTES);
        while let Some(placer) = self.connections.get_mut(&token) {
            match frame::decode(placer.connection.unread()) {
                Ok((frame, used)) => {
                    placer.connection.consume(used);
                    let Some(frame) = frame else { break };
                    self.handle_frame(token, frame, actions);
                }
                Err(error) => {
                    let name = placer.placer.as_deref().unwrap_or_default();
                    tracing::warn!(placer = name, %error, "connection closed: protocol error");
                    return self.close_connection(token);
                }
            }
        }
        if matches!(outcome, ReadOutcome::Closed | ReadOutcome::Failed) {
            self.close_connection(token);
        }
    }

    fn handle_frame(&mut self, token: u64, frame: Frame, actions: &mut Vec<Action>) {
        let Some(connection) = self.connections.get_mut(&token) else {
            return;
        };
        match (&connection.placer, frame) {
            (_, Frame::Bye(_)) => self.close_connection(token),
            (
                None,
                Frame::Hello {
                    major, minor, name, ..
                },
            ) if major == frame::MAJOR => {
                self.handle_hello(token, name.into(), minor, actions);
            }
            (None, _) => {
                let bye = Frame::Bye(format!("speaks version {}", frame::MAJOR));
                frame::encode(&bye, connection.connection.write_buffer());
                // Best effort: the connection is closed whether or not the frame reaches the peer.
                let _ = connection.connection.flush(&self.poller);
                self.close_connection(token);
            }
            (Some(placer), Frame::Offer(offer))
                if find_program(&self.programs, &offer).is_none() =>
            {
                let rejection = Frame::Refused(offer.attempt_id, Reason::Ineligible, None);
                actions.push(Action::Send(placer.clone(), rejection));
            }
            (Some(placer), frame) => {
                let placer = placer.clone();
                let now_us = self.now_us();
                self.agent.handle_frame(now_us, &placer, frame, actions);
            }
        }
    }

    /// Handles the Hello frame of a placer. The connection replaces an earlier one from the same placer.
    fn handle_hello(
        &mut self,
        token: u64,
        placer: Arc<str>,
        minor: u16,
        actions: &mut Vec<Action>,
    ) {
        if let Some(connection) = self.connections.get_mut(&token) {
            connection.placer = Some(placer.clone());
        }
        if let Some(earlier) = self.token_by_placer.insert(placer.clone(), token) {
            self.connections.remove(&earlier);
        }
        self.agent.handle_hello(&placer, minor, actions);
    }

    pub(super) fn send_frame(&mut self, placer: &str, frame: &Frame) {
        let Some(&token) = self.token_by_placer.get(placer) else {
            return;
        };
        let Some(PlacerConnection { connection, .. }) = self.connections.get_mut(&token) else {
            return;
        };
        frame::encode(frame, connection.write_buffer());
        if connection.flush(&self.poller).is_err()
            || connection.unwritten_bytes() > MAX_UNWRITTEN_BYTES
        {
            self.close_connection(token);
        }
    }
}
