//! Long polling of the command channel: one poll is always in flight or scheduled. This module performs no I/O: the caller
//! performs the [`ChannelAction`]s on a single connection, and passes in the bytes received on it.

use std::net::SocketAddr;

use maplethread::Micros;
use maplethread_platform_wire::command_channel::{self, CommandBatch};
use maplethread_wire::http::{Limits, MessageReader, ReadResult, Role, write_request};

/// How long the channel is asked to wait for new events before it answers.
const LONG_POLL_WAIT: Micros = 1_000_000;
/// How long after the end of the wait the response may arrive before the poll times out.
const RESPONSE_SLACK: Micros = 400_000;
/// How long the channel may take to accept a connection.
const CONNECT_TIMEOUT: Micros = 400_000;
/// `RESPONSE_SLACK` and `CONNECT_TIMEOUT` are doubled after each consecutive timeout, at most this many times, because the
/// channel may be slow rather than down. The poll then still times out within 2 s of the end of the wait, as the platform's
/// acceptance test requires.
const MAX_DOUBLINGS: u32 = 2;
/// Delay between a failed connect and the next one, so that a channel that refuses connections is not polled in a busy
/// loop.
const RETRY_DELAY: Micros = 100_000;
/// The maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// An action for the caller.
#[derive(Debug, PartialEq, Eq)]
pub enum ChannelAction {
    /// Open a new connection, and close the current one if there is one.
    Connect(SocketAddr),
    /// Close the connection.
    Close,
    /// Send these bytes on the connection.
    Send(Vec<u8>),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// No poll is in flight. The next one is due at this time.
    Idle(Micros),
    /// A connection is being opened. It times out at this time.
    Connecting(Micros),
    /// A poll is in flight. It times out at this time.
    Polling(Micros),
}

/// The long poll of the command channel.
pub struct ChannelPoll {
    address: SocketAddr,
    state: State,
    reader: MessageReader,
    /// The number of consecutive timeouts, up to `MAX_DOUBLINGS`.
    consecutive_timeouts: u32,
    pub(crate) actions: Vec<ChannelAction>,
}

fn response_reader() -> MessageReader {
    MessageReader::new(
        Role::Responses,
        Limits {
            max_body_bytes: MAX_RESPONSE_BYTES,
            ..Limits::default()
        },
    )
}

impl ChannelPoll {
    /// Creates a poll of the channel at this address. The first poll is due at once.
    pub fn new(address: SocketAddr) -> ChannelPoll {
        ChannelPoll {
            address,
            state: State::Idle(0),
            reader: response_reader(),
            consecutive_timeouts: 0,
            actions: Vec::new(),
        }
    }

    /// Sets the address of the channel. If it has changed, the new address is polled at once.
    pub fn set_address(&mut self, address: SocketAddr) {
        if address != self.address {
            self.address = address;
            self.actions.push(ChannelAction::Close);
            self.state = State::Idle(0);
        }
    }

    /// When [`ChannelPoll::handle_timeout`] is due.
    pub fn next_timeout(&self) -> Micros {
        match self.state {
            State::Idle(at) | State::Connecting(at) | State::Polling(at) => at,
        }
    }

    /// Handles a timeout if it is due: opens a connection, after closing one that has timed out.
    pub fn handle_timeout(&mut self, now: Micros) {
        if self.next_timeout() > now {
            return;
        }
        if !matches!(self.state, State::Idle(_)) {
            tracing::warn!(state = ?self.state, "command channel timed out; reconnecting");
            self.actions.push(ChannelAction::Close);
            self.consecutive_timeouts = (self.consecutive_timeouts + 1).min(MAX_DOUBLINGS);
        }
        self.state = State::Connecting(now + (CONNECT_TIMEOUT << self.consecutive_timeouts));
        self.reader = response_reader();
        self.actions.push(ChannelAction::Connect(self.address));
    }

    /// Handles an established connection: sends a poll for the events after `cursor`.
    pub fn connection_established(&mut self, now: Micros, cursor: u64) {
        if matches!(self.state, State::Connecting(_)) {
            self.send_poll(now, cursor);
        }
    }

    fn send_poll(&mut self, now: Micros, cursor: u64) {
        let target = format!("/cmd/next?resume={cursor}&block={}", LONG_POLL_WAIT / 1000);
        let mut bytes = Vec::new();
        write_request(
            &mut bytes,
            "GET",
            &target,
            &[("Host", &self.address.to_string())],
            b"",
        );
        self.state =
            State::Polling(now + LONG_POLL_WAIT + (RESPONSE_SLACK << self.consecutive_timeouts));
        self.actions.push(ChannelAction::Send(bytes));
    }

    /// Decodes received bytes. Returns the number of bytes consumed, and the events of a complete response, which the caller
    /// applies before it calls [`ChannelPoll::poll_again`]. A response that cannot be decoded closes the connection.
    pub fn read_response(&mut self, now: Micros, unread: &[u8]) -> (usize, Option<CommandBatch>) {
        match self.reader.read(unread) {
            Ok((ReadResult::Message(message), used)) => {
                if message.head.status() == 200 {
                    match command_channel::decode(&message.body) {
                        Ok(batch) => {
                            self.consecutive_timeouts = 0;
                            return (used, Some(batch));
                        }
                        Err(error) => {
                            tracing::warn!(%error, "invalid response body from the command channel; reconnecting")
                        }
                    }
                } else {
                    tracing::warn!(
                        status = message.head.status(),
                        "command channel answered with an error status; reconnecting"
                    );
                }
                self.connection_lost(now);
                (used, None)
            }
            Ok((_, used)) => (used, None),
            Err(error) => {
                tracing::warn!(%error, "invalid HTTP response from the command channel; reconnecting");
                self.connection_lost(now);
                (unread.len(), None)
            }
        }
    }

    /// Sends the next poll on the same connection.
    pub fn poll_again(&mut self, now: Micros, cursor: u64) {
        if matches!(self.state, State::Polling(_)) {
            self.send_poll(now, cursor);
        }
    }

    /// Handles a connection that was lost or could not be established.
    pub fn connection_lost(&mut self, now: Micros) {
        self.actions.push(ChannelAction::Close);
        self.reader = response_reader();
        let at_once = matches!(self.state, State::Polling(_));
        self.state = State::Idle(if at_once { now } else { now + RETRY_DELAY });
    }
}

#[cfg(test)]
mod tests;
