//! The connection of a client: parses complete requests, and returns responses in the order of the requests.

use std::collections::{BTreeSet, VecDeque};

use maplethread::{Micros, TaskId};
use maplethread_timers::TimerId;
use maplethread_wire::http::{HttpError, Limits, Message, MessageReader, ReadResult, Role};

use crate::ids::RequestSlot;

/// A request whose response has not been sent yet.
struct PendingResponse {
    slot: RequestSlot,
    bytes: Option<Vec<u8>>,
    closes_connection: bool,
}

/// One connection of a client.
pub(crate) struct ClientConnection {
    reader: MessageReader,
    responses: VecDeque<PendingResponse>,
    last_slot: RequestSlot,
    /// When the first bytes of an incomplete request were read.
    pub request_began_at: Option<Micros>,
    /// When the connection was opened or its last request was read.
    pub last_used_at: Micros,
    /// The next life-cycle event to send, if the client follows events.
    pub next_event: Option<u64>,
    /// Bytes passed to the caller that the client has not read yet.
    pub unread_bytes: usize,
    /// Whether no further requests are read.
    pub has_ended: bool,
    /// The turn in which the connection was last read, and the requests read in that turn.
    last_turn: u64,
    requests_in_turn: usize,
    /// The tasks whose answers the client waits for.
    pub awaited_tasks: BTreeSet<TaskId>,
    /// The timer of the next check for time-outs.
    pub timeout_timer: Option<TimerId>,
}

/// The result of reading from a connection.
pub(crate) enum ClientInput {
    /// More bytes are needed.
    NeedMore,
    /// The client waits for `100 Continue` before it sends the body.
    Continue,
    /// A complete request, to be answered in this slot.
    Request(RequestSlot, Message),
    /// A malformed request; the connection is to be closed after the response.
    Malformed(RequestSlot, HttpError),
}

/// Responses that can be sent now.
pub(crate) struct ReadyResponses {
    pub bytes: Vec<u8>,
    /// Whether the connection is to be closed after them.
    pub closes_connection: bool,
}

impl ClientConnection {
    pub fn new(now: Micros, max_body_bytes: usize) -> ClientConnection {
        let limits = Limits {
            max_body_bytes,
            ..Limits::default()
        };
        ClientConnection {
            reader: MessageReader::new(Role::Requests, limits),
            responses: VecDeque::new(),
            last_slot: RequestSlot(0),
            request_began_at: None,
            last_used_at: now,
            next_event: None,
            unread_bytes: 0,
            has_ended: false,
            last_turn: 0,
            requests_in_turn: 0,
            awaited_tasks: BTreeSet::new(),
            timeout_timer: None,
        }
    }

    /// Number of requests without a response.
    pub fn unanswered_requests(&self) -> usize {
        self.responses.len()
    }

    /// Whether an incomplete request has been read.
    pub fn is_mid_request(&self) -> bool {
        self.reader.is_inside_message()
    }

    /// Number of requests read in this turn.
    pub fn requests_in_turn(&mut self, turn: u64) -> usize {
        if self.last_turn != turn {
            (self.last_turn, self.requests_in_turn) = (turn, 0);
        }
        self.requests_in_turn
    }

    /// Records that a complete request was read.
    pub fn record_request(&mut self, now: Micros) {
        (self.request_began_at, self.last_used_at) = (None, now);
        self.requests_in_turn += 1;
    }

    fn open_slot(&mut self, closes_connection: bool) -> RequestSlot {
        self.last_slot.0 += 1;
        self.responses.push_back(PendingResponse {
            slot: self.last_slot,
            bytes: None,
            closes_connection,
        });
        self.last_slot
    }

    /// Reads the next request from the front of `unread`. Returns how many bytes were used.
    pub fn read(&mut self, unread: &[u8]) -> (ClientInput, usize) {
        match self.reader.read(unread) {
            Ok((ReadResult::NeedMore, used)) => (ClientInput::NeedMore, used),
            Ok((ReadResult::ExpectsContinue, used)) => (ClientInput::Continue, used),
            Ok((ReadResult::Message(message), used)) => {
                let is_last = !message.head.is_keep_alive();
                self.has_ended |= is_last;
                let slot = self.open_slot(is_last);
                (ClientInput::Request(slot, message), used)
            }
            Err(error) => {
                self.has_ended = true;
                let slot = self.open_slot(true);
                (ClientInput::Malformed(slot, error), unread.len())
            }
        }
    }

    /// Stores the response to a request; returns the responses that can be sent now.
    pub fn respond(
        &mut self,
        slot: RequestSlot,
        bytes: Vec<u8>,
        closes_connection: bool,
    ) -> ReadyResponses {
        if let Some(response) = self.responses.iter_mut().find(|r| r.slot == slot) {
            response.bytes = Some(bytes);
            response.closes_connection |= closes_connection;
        }
        let mut ready = ReadyResponses {
            bytes: Vec::new(),
            closes_connection: false,
        };
        while let Some(response) = self.responses.pop_front_if(|r| r.bytes.is_some()) {
            ready.bytes.extend(response.bytes.unwrap_or_default());
            if response.closes_connection {
                self.has_ended = true;
                self.responses.clear();
                ready.closes_connection = true;
                break;
            }
        }
        ready
    }
}
