//! Connections of placers.

use std::sync::Arc;

use maplethread_reactor::{ReadOutcome, Readiness, TcpConnection};
use maplethread_wire::frame::{self, Frame, Reason};

use super::Shell;
use crate::agent::Action;
use crate::config::find_program;

/// Connections that may be open at a time; more are closed at once.
const MAX_CONNECTIONS: usize = 1024;
/// A placer that leaves more than this unread is disconnected.
const MAX_UNWRITTEN_BYTES: usize = 4 << 20;
/// Bytes that are read from a connection in one turn.
const MAX_READ_BYTES: usize = 256 << 10;
/// Bytes that may be read from a connection and not be decoded yet.
const MAX_UNREAD_BYTES: usize = 512 << 10;

pub(super) struct PlacerConnection {
    connection: TcpConnection,
    /// The name of the placer, once it has greeted.
    placer: Option<Arc<str>>,
}

impl Shell {
    pub(super) fn accept_connections(&mut self) {
        while let Ok((stream, _)) = self.listener.accept() {
            if self.connections.len() >= MAX_CONNECTIONS {
                tracing::warn!(
                    max = MAX_CONNECTIONS,
                    "connection closed: too many are open"
                );
                continue;
            }
            let token = self.take_token();
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
        turn: &mut Vec<Action>,
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
                    self.handle_frame(token, frame, turn);
                }
                Err(error) => {
                    let name = placer.placer.as_deref().unwrap_or_default();
                    tracing::warn!(placer = name, %error, "connection lost: protocol error");
                    return self.close_connection(token);
                }
            }
        }
        if matches!(outcome, ReadOutcome::Closed | ReadOutcome::Failed) {
            self.close_connection(token);
        }
    }

    fn handle_frame(&mut self, token: u64, frame: Frame, turn: &mut Vec<Action>) {
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
                self.handle_greeting(token, name.into(), minor, turn);
            }
            (None, _) => {
                let bye = Frame::Bye(format!("speaks version {}", frame::MAJOR));
                frame::encode(&bye, connection.connection.write_buffer());
                // The connection is closed whether or not this reaches the peer.
                let _ = connection.connection.flush(&self.poller);
                self.close_connection(token);
            }
            (Some(placer), Frame::Offer(offer))
                if find_program(&self.programs, &offer).is_none() =>
            {
                let rejection = Frame::Refused(offer.attempt_id, Reason::Ineligible, None);
                turn.push(Action::Send(placer.clone(), rejection));
            }
            (Some(placer), frame) => {
                let placer = placer.clone();
                let now_us = self.now_us();
                self.agent.handle_frame(now_us, &placer, frame, turn);
            }
        }
    }

    /// A placer has greeted on a connection, which replaces an earlier one of the same placer.
    fn handle_greeting(
        &mut self,
        token: u64,
        placer: Arc<str>,
        minor: u16,
        turn: &mut Vec<Action>,
    ) {
        if let Some(connection) = self.connections.get_mut(&token) {
            connection.placer = Some(placer.clone());
        }
        if let Some(earlier) = self.token_by_placer.insert(placer.clone(), token) {
            self.connections.remove(&earlier);
        }
        self.agent.handle_greeting(&placer, minor, turn);
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
