//! Owners as an open loop: asks at a fixed rate over pipelined connections. Times run from when an ask was due to be
//! sent, not from when it was, so that a placer that falls behind can't hide it (coordinated omission).

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use hdrhistogram::Histogram;
use maplethread_placer::Clock;
use maplethread_reactor::{Poller, TcpConnection};
use maplethread_wire::http::{self, Limits, MessageReader, ReadResult, Role};

/// Answers that are out this long after the last ask was due are not waited for, µs.
const GIVE_UP_AFTER_US: u64 = 30_000_000;

/// What is asked, and how often.
#[derive(Clone, Debug)]
pub struct RequestLoad {
    /// Asks a second.
    pub requests_per_s: f64,
    /// For so long, s.
    pub seconds: f64,
    /// Times of asks that were due before this are kept apart from those after it, s.
    pub split_s: f64,
    /// Client connections, at least one for each placer.
    pub connections: usize,
    /// Tasks are told to live so long, ms; nothing is told where missing.
    pub task_duration_ms: Option<u64>,
    /// Actors are named after this, so that several loads don't ask for the same ones.
    pub name: String,
}

/// What came of a load.
#[derive(Clone, Debug)]
pub struct AnswerTimes {
    /// Asks.
    pub requests: u64,
    /// Those placed.
    pub placed: u64,
    /// From when an ask was due to its answer, µs: of those due before the split, and after it.
    pub times: [Histogram<u64>; 2],
    /// How long it took until all was answered, s.
    pub took_s: f64,
}

struct Connection {
    conn: TcpConnection,
    reader: MessageReader,
    /// When the asks without an answer were due.
    waiting: VecDeque<u64>,
}

/// Client connections to placers.
pub struct Clients {
    load: RequestLoad,
    poller: Poller,
    clock: Clock,
    connections: Vec<Connection>,
    answers: AnswerTimes,
}

impl Clients {
    /// Connects to all of these placers in turn.
    ///
    /// # Errors
    ///
    /// A placer cannot be connected to, or the poller cannot be created.
    pub fn connect(load: RequestLoad, placers: &[SocketAddr]) -> io::Result<Clients> {
        let poller = Poller::new()?;
        let mut connections = Vec::new();
        for token in 0..load.connections.max(placers.len()) {
            let stream = std::net::TcpStream::connect(placers[token % placers.len()])?;
            let conn = TcpConnection::from_accepted(stream, token as u64, &poller)?;
            let reader = MessageReader::new(Role::Responses, Limits::default());
            connections.push(Connection {
                conn,
                reader,
                waiting: VecDeque::new(),
            });
        }
        let times = Histogram::new_with_bounds(1, 120_000_000, 3).map_err(io::Error::other)?;
        let answers = AnswerTimes {
            requests: 0,
            placed: 0,
            times: [times.clone(), times],
            took_s: 0.0,
        };
        Ok(Clients {
            load,
            poller,
            clock: Clock::start(),
            connections,
            answers,
        })
    }

    /// Asks until all is asked and answered.
    ///
    /// # Errors
    ///
    /// A connection fails, or a placer breaks the protocol.
    pub fn run(mut self) -> io::Result<AnswerTimes> {
        let start = self.clock.now();
        let total = (self.load.requests_per_s * self.load.seconds).round() as u64;
        let give_up = start + (self.load.seconds * 1e6) as u64 + GIVE_UP_AFTER_US;
        let mut ready = Vec::new();
        let mut answered = 0;
        while answered < total {
            let now = self.clock.now();
            if now > give_up {
                break;
            }
            self.send_due_requests(start, now, total)?;
            let wait = match self.answers.requests < total {
                true => self
                    .due_at(start, self.answers.requests)
                    .saturating_sub(now),
                false => 50_000,
            };
            ready.clear();
            self.poller
                .wait(Some(Duration::from_micros(wait)), &mut ready)?;
            for readiness in &ready {
                answered += self.read(readiness.token as usize, start)?;
            }
        }
        self.answers.took_s = (self.clock.now() - start) as f64 / 1e6;
        Ok(self.answers)
    }

    fn due_at(&self, start: u64, n: u64) -> u64 {
        start + (n as f64 * 1e6 / self.load.requests_per_s) as u64
    }

    fn send_due_requests(&mut self, start: u64, now: u64, total: u64) -> io::Result<()> {
        let mut touched = vec![false; self.connections.len()];
        while self.answers.requests < total && self.due_at(start, self.answers.requests) <= now {
            let n = self.answers.requests;
            let due = self.due_at(start, n);
            let at = n as usize % self.connections.len();
            let body = self.body(n);
            let connection = &mut self.connections[at];
            let out = connection.conn.write_buffer();
            let request = format!("{}-{n}", self.load.name);
            let headers = [("Host", "placer"), ("X-Request-Id", request.as_str())];
            http::write_request(out, "POST", "/v1/actors", &headers, body.as_bytes());
            connection.waiting.push_back(due);
            touched[at] = true;
            self.answers.requests += 1;
        }
        for (at, _) in touched.iter().enumerate().filter(|(_, t)| **t) {
            self.connections[at].conn.flush(&self.poller)?;
        }
        Ok(())
    }

    fn body(&self, n: u64) -> String {
        let life = self
            .load
            .task_duration_ms
            .map_or(String::new(), |ms| format!(",\"life_ms\":{ms}"));
        format!(
            "{{\"service\":\"service-{}\",\"actor\":\"{}-{n}\",\"class\":\"web-api\",\"cores\":0.5,\"memory_gib\":1,\"budget_ms\":10000{life}}}",
            n % 500,
            self.load.name
        )
    }

    /// Reads the answers on a connection; returns how many.
    fn read(&mut self, at: usize, start: u64) -> io::Result<u64> {
        let split = start + (self.load.split_s * 1e6) as u64;
        let connection = &mut self.connections[at];
        connection.conn.flush(&self.poller)?;
        connection.conn.read_available(256 << 10, 512 << 10);
        let mut answered = 0;
        loop {
            let (found, used) = connection
                .reader
                .read(connection.conn.unread())
                .map_err(io::Error::other)?;
            connection.conn.consume(used);
            let ReadResult::Message(message) = found else {
                return Ok(answered);
            };
            if let Some(due) = connection.waiting.pop_front() {
                let took = self.clock.now().saturating_sub(due).max(1);
                self.answers.times[usize::from(due >= split)].saturating_record(took);
                answered += 1;
            }
            if message.body.windows(8).any(|w| w == b"\"placed\"") {
                self.answers.placed += 1;
            }
        }
    }
}
