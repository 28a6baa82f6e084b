//! The poll of the command channel: one is always in flight, or about to be. It performs no I/O: the caller opens and
//! closes the one connection that this asks for, and passes on the bytes that arrive.

use std::net::SocketAddr;

use maplethread::Micros;
use maplethread_platform_wire::command_channel::{self, CommandBatch};
use maplethread_wire::http::{Limits, MessageReader, ReadResult, Role, write_request};

/// How long the channel is asked to wait for new events before it answers, in microseconds.
const LONG_POLL_WAIT: Micros = 1_000_000;
/// An answer that is later than the wait by more than this is not expected any more, in microseconds.
const RESPONSE_SLACK: Micros = 400_000;
/// How long the channel has to accept a connection, in microseconds.
const CONNECT_TIMEOUT: Micros = 400_000;
/// After consecutive timeouts the channel may be slow rather than silent: the times above are doubled, this often at most,
/// which still is within 2 s of the wait's end (PROTOCOL's days).
const MAX_DOUBLINGS: u32 = 2;
/// How long after a failed connection the next one is opened, in microseconds: a channel that refuses connections is not
/// polled in a busy loop.
const RETRY_DELAY: Micros = 100_000;
/// The longest body of an answer.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// An action for the caller.
#[derive(Debug, PartialEq, Eq)]
pub enum ChannelAction {
    /// Close the connection, if there is one, and open a new one.
    Connect(SocketAddr),
    /// Close the connection.
    Close,
    /// Send these bytes on the connection.
    Send(Vec<u8>),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// No poll is in flight; the next one is due at this time.
    Idle(Micros),
    /// A connection is being opened, until this time.
    Connecting(Micros),
    /// A poll is in flight; its answer is expected until this time.
    Polling(Micros),
}

/// The poll of the command channel. Times are in microseconds.
pub struct ChannelPoll {
    address: SocketAddr,
    state: State,
    reader: MessageReader,
    /// How many consecutive polls timed out, up to `MAX_DOUBLINGS`.
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
    /// A poll of the channel at this address, which is due at once.
    pub fn new(address: SocketAddr) -> ChannelPoll {
        ChannelPoll {
            address,
            state: State::Idle(0),
            reader: response_reader(),
            consecutive_timeouts: 0,
            actions: Vec::new(),
        }
    }

    /// Sets the address of the channel; a new one is polled at once.
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

    /// Handles a timeout if it is due: opens a connection, after closing one that did not answer.
    pub fn handle_timeout(&mut self, now: Micros) {
        if self.next_timeout() > now {
            return;
        }
        if !matches!(self.state, State::Idle(_)) {
            tracing::warn!(state = ?self.state, "the command channel does not answer");
            self.actions.push(ChannelAction::Close);
            self.consecutive_timeouts = (self.consecutive_timeouts + 1).min(MAX_DOUBLINGS);
        }
        self.state = State::Connecting(now + (CONNECT_TIMEOUT << self.consecutive_timeouts));
        self.reader = response_reader();
        self.actions.push(ChannelAction::Connect(self.address));
    }

    /// The connection was established: a poll for the events after `cursor` is sent.
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

    /// Decodes received bytes. Returns how many were used, and the events of a complete answer, which the caller applies
    /// before it calls [`ChannelPoll::poll_again`]. An answer that can't be decoded ends the connection.
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
                            tracing::warn!(%error, "the command channel's answer can't be read")
                        }
                    }
                } else {
                    tracing::warn!(
                        status = message.head.status(),
                        "the command channel refuses"
                    );
                }
                self.connection_lost(now);
                (used, None)
            }
            Ok((_, used)) => (used, None),
            Err(error) => {
                tracing::warn!(%error, "the command channel's answer can't be read");
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

    /// The connection was lost, or could not be established.
    pub fn connection_lost(&mut self, now: Micros) {
        self.actions.push(ChannelAction::Close);
        self.reader = response_reader();
        let at_once = matches!(self.state, State::Polling(_));
        self.state = State::Idle(if at_once { now } else { now + RETRY_DELAY });
    }
}

#[cfg(test)]
mod tests;
