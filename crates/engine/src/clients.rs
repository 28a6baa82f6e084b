//! Sessions of clients: whole requests in, answers out in the order of the requests.

use std::collections::{BTreeSet, VecDeque};

use maplethread::TaskId;
use maplethread_wire::http::{HttpError, Limits, Message, MessageReader, ReadResult, Role};

/// One request in hand.
struct Slot {
    number: u64,
    answer: Option<Vec<u8>>,
    closes_connection: bool,
}

/// One connection of a client.
pub struct ClientConnection {
    reader: MessageReader,
    slots: VecDeque<Slot>,
    next_slot: u64,
    /// When the request began that is not whole yet.
    pub request_began_at: Option<u64>,
    /// When the connection was last of use.
    pub last_used_at: u64,
    /// The next life-cycle event for it, once it follows them.
    pub next_event: Option<u64>,
    /// Bytes given to the shell that the client has not taken.
    pub unread_bytes: usize,
    /// Nothing more is read from it.
    pub has_ended: bool,
    /// Requests taken in this turn.
    pub taken: (u64, usize),
    /// The asks whose answers it waits for.
    pub awaited_tasks: BTreeSet<TaskId>,
}

/// What came out of a session's bytes.
pub enum ClientInput {
    /// Nothing more for now.
    Nothing,
    /// The client waits for leave to send its body.
    Continue,
    /// A whole request, to be answered under this number.
    Request(u64, Message),
    /// What can't be read; the connection is to be closed after the answer.
    Malformed(u64, HttpError),
}

impl ClientConnection {
    pub fn new(now: u64, max_body: usize) -> ClientConnection {
        let limits = Limits {
            max_body_bytes: max_body,
            ..Limits::default()
        };
        let reader = MessageReader::new(Role::Requests, limits);
        let (slots, next_event) = (VecDeque::new(), None);
        ClientConnection {
            reader,
            slots,
            next_slot: 0,
            request_began_at: None,
            last_used_at: now,
            next_event,
            unread_bytes: 0,
            has_ended: false,
            taken: (0, 0),
            awaited_tasks: BTreeSet::new(),
        }
    }

    /// Requests in hand.
    pub fn unanswered_requests(&self) -> usize {
        self.slots.len()
    }

    /// Whether a request has begun that is not whole.
    pub fn is_mid_request(&self) -> bool {
        self.reader.is_inside_message()
    }

    fn open_slot(&mut self, last: bool) -> u64 {
        self.next_slot += 1;
        self.slots.push_back(Slot {
            number: self.next_slot,
            answer: None,
            closes_connection: last,
        });
        self.next_slot
    }

    /// Takes the next request from the front of `unread`.
    pub fn read(&mut self, unread: &[u8]) -> (ClientInput, usize) {
        match self.reader.read(unread) {
            Ok((ReadResult::NeedMore, n)) => (ClientInput::Nothing, n),
            Ok((ReadResult::ExpectsContinue, n)) => (ClientInput::Continue, n),
            Ok((ReadResult::Message(message), n)) => {
                let last = !message.head.is_keep_alive();
                self.has_ended |= last;
                (ClientInput::Request(self.open_slot(last), message), n)
            }
            Err(e) => {
                self.has_ended = true;
                (
                    ClientInput::Malformed(self.open_slot(true), e),
                    unread.len(),
                )
            }
        }
    }

    /// Files an answer; returns the bytes that may go out now, and whether the connection then ends.
    pub fn answer(&mut self, number: u64, bytes: Vec<u8>, close: bool) -> (Vec<u8>, bool) {
        if let Some(slot) = self.slots.iter_mut().find(|s| s.number == number) {
            slot.answer = Some(bytes);
            slot.closes_connection |= close;
        }
        let mut out = Vec::new();
        while let Some(slot) = self.slots.pop_front_if(|s| s.answer.is_some()) {
            out.extend(slot.answer.unwrap_or_default());
            if slot.closes_connection {
                self.has_ended = true;
                self.slots.clear();
                return (out, true);
            }
        }
        (out, false)
    }
}
