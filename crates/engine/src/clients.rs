//! Sessions of clients: whole requests in, answers out in the order of the requests.

use std::collections::{BTreeSet, VecDeque};

use maplethread::TaskId;
use maplethread_wire::http::{Found, HttpError, Limits, Message, Reader, Role};

/// One request in hand.
struct Slot {
    number: u64,
    answer: Option<Vec<u8>>,
    last: bool,
}

/// One connection of a client.
pub struct Client {
    reader: Reader,
    slots: VecDeque<Slot>,
    next: u64,
    /// When the request began that is not whole yet.
    pub begun: Option<u64>,
    /// When the connection was last of use.
    pub used: u64,
    /// The next life-cycle event for it, once it follows them.
    pub follows: Option<u64>,
    /// Bytes given to the shell that the client has not taken.
    pub unread: usize,
    /// Nothing more is read from it.
    pub ended: bool,
    /// Requests taken in this turn.
    pub taken: (u64, usize),
    /// The asks whose answers it waits for.
    pub waits: BTreeSet<TaskId>,
}

/// What came out of a session's bytes.
pub enum Came {
    /// Nothing more for now.
    Nothing,
    /// The client waits for leave to send its body.
    Continue,
    /// A whole request, to be answered under this number.
    Request(u64, Message),
    /// What can't be read; the connection is to be closed after the answer.
    Bad(u64, HttpError),
}

impl Client {
    pub fn new(now: u64, max_body: usize) -> Client {
        let limits = Limits {
            body: max_body,
            ..Limits::default()
        };
        let reader = Reader::new(Role::Requests, limits);
        let (slots, follows) = (VecDeque::new(), None);
        Client {
            reader,
            slots,
            next: 0,
            begun: None,
            used: now,
            follows,
            unread: 0,
            ended: false,
            taken: (0, 0),
            waits: BTreeSet::new(),
        }
    }

    /// Requests in hand.
    pub fn in_hand(&self) -> usize {
        self.slots.len()
    }

    /// Whether a request has begun that is not whole.
    pub fn inside(&self) -> bool {
        self.reader.inside()
    }

    fn slot(&mut self, last: bool) -> u64 {
        self.next += 1;
        self.slots.push_back(Slot {
            number: self.next,
            answer: None,
            last,
        });
        self.next
    }

    /// Takes the next request from the front of `unread`.
    pub fn read(&mut self, unread: &[u8]) -> (Came, usize) {
        match self.reader.read(unread) {
            Ok((Found::More, n)) => (Came::Nothing, n),
            Ok((Found::Continue, n)) => (Came::Continue, n),
            Ok((Found::Message(message), n)) => {
                let last = !message.head.keep_alive();
                self.ended |= last;
                (Came::Request(self.slot(last), message), n)
            }
            Err(e) => {
                self.ended = true;
                (Came::Bad(self.slot(true), e), unread.len())
            }
        }
    }

    /// Files an answer; returns the bytes that may go out now, and whether the connection then ends.
    pub fn answer(&mut self, number: u64, bytes: Vec<u8>, close: bool) -> (Vec<u8>, bool) {
        if let Some(slot) = self.slots.iter_mut().find(|s| s.number == number) {
            slot.answer = Some(bytes);
            slot.last |= close;
        }
        let mut out = Vec::new();
        while let Some(slot) = self.slots.pop_front_if(|s| s.answer.is_some()) {
            out.extend(slot.answer.unwrap_or_default());
            if slot.last {
                self.ended = true;
                self.slots.clear();
                return (out, true);
            }
        }
        (out, false)
    }
}
