//! The poll of the command channel: one is always out, or about to be. Sans-I/O: the caller opens and closes the one
//! connection at a time that this asks for, and gives it what came.

use std::net::SocketAddr;

use maplethread::Micros;
use maplethread_platform_wire::command_channel::{self, CommandBatch};
use maplethread_wire::http::{Limits, MessageReader, ReadResult, Role, write_request};

/// How long the channel is asked to wait for something new. Silence is noticed soon after.
const LONG_POLL_WAIT: Micros = 1_000_000;
/// An answer that is so much later than the wait that was asked for does not come any more.
const RESPONSE_SLACK: Micros = 400_000;
/// A connection is made, and a first answer begun, within this.
const CONNECT_TIMEOUT: Micros = 400_000;
/// Where that does not do several times on end, the channel may be slow rather than silent: twice and then four times as
/// long is given, which still is within 2 s of the wait's end (PROTOCOL's days).
const MAX_DOUBLINGS: u32 = 2;
/// The next try after one that failed at once: a channel that refuses is not asked in a loop.
const RETRY_DELAY: Micros = 100_000;
/// The longest answer.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// What the caller is to do.
#[derive(Debug, PartialEq, Eq)]
pub enum ChannelAction {
    /// Close the connection, if there is one, and make a new one.
    Connect(SocketAddr),
    /// Close the connection.
    Close,
    /// Send this.
    Send(Vec<u8>),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Nothing is out; the next try is due then.
    Idle(Micros),
    /// A connection is being made, until then.
    Connecting(Micros),
    /// A poll is out, and answered by then or not at all.
    Polling(Micros),
}

/// The poll.
pub struct ChannelPoll {
    address: SocketAddr,
    state: State,
    reader: MessageReader,
    /// How often on end it was too slow, up to `MAX_DOUBLINGS`.
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
    /// A poll of the channel at this address, due at once.
    pub fn new(address: SocketAddr) -> ChannelPoll {
        ChannelPoll {
            address,
            state: State::Idle(0),
            reader: response_reader(),
            consecutive_timeouts: 0,
            actions: Vec::new(),
        }
    }

    /// The channel is elsewhere from now on.
    pub fn set_address(&mut self, address: SocketAddr) {
        if address != self.address {
            self.address = address;
            self.actions.push(ChannelAction::Close);
            self.state = State::Idle(0);
        }
    }

    /// When something is due.
    pub fn next_timeout(&self) -> Micros {
        match self.state {
            State::Idle(at) | State::Connecting(at) | State::Polling(at) => at,
        }
    }

    /// Does what is due.
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

    /// The connection is made.
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

    /// Takes bytes that came; returns how many were used, and what they told. After whole answers the caller takes
    /// in what was told and calls [`Channel::next`]. An answer that can't be read breaks the connection off.
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

    /// The next poll, on the connection that is up.
    pub fn poll_again(&mut self, now: Micros, cursor: u64) {
        if matches!(self.state, State::Polling(_)) {
            self.send_poll(now, cursor);
        }
    }

    /// The connection broke, or could not be made.
    pub fn connection_lost(&mut self, now: Micros) {
        self.actions.push(ChannelAction::Close);
        self.reader = response_reader();
        let at_once = matches!(self.state, State::Polling(_));
        self.state = State::Idle(if at_once { now } else { now + RETRY_DELAY });
    }
}

#[cfg(test)]
mod tests;
