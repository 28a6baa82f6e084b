//! The socket of the command channel.

use std::io;
use std::net::SocketAddr;

use maplethread::Micros;
use maplethread_reactor::{ReadOutcome, Readiness, TcpConnection, is_resource_exhausted};

use super::owners::Closable;
use super::{CHANNEL_KIND, MAX_UNREAD_BYTES, Shell, token};
use crate::channel_poll::ChannelAction;

/// The maximum number of bytes read from the channel in one round. It is large because a full host list is.
const CHANNEL_READ_BYTES: usize = 256 << 10;

impl Shell {
    pub(super) fn handle_channel_ready(&mut self, number: u64, readiness: &Readiness) {
        let now = self.event_loop.now();
        if number != self.channel_connection_number {
            return;
        }
        let Some(connection) = &mut self.channel_connection else {
            return;
        };
        if connection.is_connecting() {
            if !readiness.is_writable && !readiness.is_closed {
                return;
            }
            match connection.finish_connect() {
                Ok(()) => self
                    .channel
                    .connection_established(now, self.engine.cursor()),
                Err(error) => {
                    tracing::warn!(%error, "cannot connect to the command channel");
                    self.channel.connection_lost(now);
                }
            }
        } else if readiness.is_readable {
            let outcome = connection.read_available(CHANNEL_READ_BYTES, MAX_UNREAD_BYTES);
            loop {
                let (used, batch) = self.channel.read_response(now, connection.unread());
                connection.consume(used);
                if let Some(batch) = &batch {
                    self.engine.apply_commands(now, batch);
                    self.channel.poll_again(now, self.engine.cursor());
                }
                if batch.is_none() || used == 0 {
                    break;
                }
            }
            if matches!(outcome, ReadOutcome::Closed | ReadOutcome::Failed) {
                self.channel.connection_lost(now);
            }
        }
        self.perform_channel_actions(now);
    }

    pub(super) fn perform_channel_actions(&mut self, now: Micros) {
        for action in std::mem::take(&mut self.channel.actions) {
            match action {
                ChannelAction::Close => self.channel_connection = None,
                ChannelAction::Connect(address) => {
                    self.channel_connection_number += 1;
                    let token = token(CHANNEL_KIND, self.channel_connection_number);
                    match self.connect(address, token) {
                        Ok(connection) => self.channel_connection = Some(connection),
                        Err(error) => {
                            tracing::warn!(%error, "cannot connect to the command channel");
                            self.channel.connection_lost(now);
                        }
                    }
                }
                ChannelAction::Send(bytes) => {
                    if let Some(connection) = &mut self.channel_connection {
                        connection.write_buffer().extend_from_slice(&bytes);
                    }
                }
            }
        }
        if let Some(connection) = &mut self.channel_connection
            && connection.flush(self.event_loop.poller()).is_err()
        {
            self.channel.connection_lost(now);
        }
    }

    /// Opens a connection. If no descriptor is left, the connection of the lowest-priority owner is closed first.
    pub(super) fn connect(&mut self, address: SocketAddr, token: u64) -> io::Result<TcpConnection> {
        match TcpConnection::connect(address, token, self.event_loop.poller()) {
            Err(error)
                if is_resource_exhausted(&error)
                    && self.close_lowest_priority_owner(Closable::All) =>
            {
                TcpConnection::connect(address, token, self.event_loop.poller())
            }
            result => result,
        }
    }
}
