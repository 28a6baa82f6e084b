//! Open-loop clients: requests at a fixed rate over pipelined connections. Latencies are measured from the time when a
//! request was due, not when it was sent, so that the delays of a slow placer are counted (no coordinated omission).

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use hdrhistogram::Histogram;
use maplethread_placer::Clock;
use maplethread_reactor::{Poller, TcpConnection};
use maplethread_wire::http::{self, Limits, MessageReader, ReadResult, Role};

/// How long after the last request was due clients wait for answers, µs.
const ANSWER_TIMEOUT_US: u64 = 30_000_000;

/// The load of requests to send.
#[derive(Clone, Debug)]
pub struct RequestLoad {
    /// Requests a second.
    pub requests_per_s: f64,
    /// Duration of the load, s.
    pub duration_s: f64,
    /// Latencies of requests due before this time are kept apart from those due after it, s.
    pub split_s: f64,
    /// Number of client connections; at least one for each placer is used.
    pub connections: usize,
    /// Expected duration of tasks given in requests, ms; left out if `None`.
    pub task_duration_ms: Option<u64>,
    /// Prefix of the actors' names, so that several loads use different actors.
    pub name: String,
}

/// The answers to a load.
#[derive(Clone, Debug)]
pub struct AnswerTimes {
    /// Number of requests.
    pub requests: u64,
    /// Number of requests that were answered `placed`.
    pub placed: u64,
    /// Times from when a request was due to its answer, µs: of requests due before the split, and after it.
    pub times: [Histogram<u64>; 2],
    /// Time until all requests were answered, s.
    pub elapsed_s: f64,
}

struct Connection {
    conn: TcpConnection,
    reader: MessageReader,
    /// Due times of the requests that have no answer yet.
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
    /// Opens the connections, distributed over these placers in turn.
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
            elapsed_s: 0.0,
        };
        Ok(Clients {
            load,
            poller,
            clock: Clock::start(),
            connections,
            answers,
        })
    }

    /// Sends all requests and reads their answers.
    ///
    /// # Errors
    ///
    /// A connection fails, or a placer violates the protocol.
    pub fn run(mut self) -> io::Result<AnswerTimes> {
        let start = self.clock.now();
        let total = (self.load.requests_per_s * self.load.duration_s).round() as u64;
        let deadline = start + (self.load.duration_s * 1e6) as u64 + ANSWER_TIMEOUT_US;
        let mut ready = Vec::new();
        let mut answered = 0;
        while answered < total {
            let now = self.clock.now();
            if now > deadline {
                break;
            }
            self.send_due_requests(start, now, total)?;
            let wait_us = match self.answers.requests < total {
                true => self
                    .due_at(start, self.answers.requests)
                    .saturating_sub(now),
                false => 50_000,
            };
            ready.clear();
            self.poller
                .wait(Some(Duration::from_micros(wait_us)), &mut ready)?;
            for readiness in &ready {
                answered += self.read(readiness.token as usize, start)?;
            }
        }
        self.answers.elapsed_s = (self.clock.now() - start) as f64 / 1e6;
        Ok(self.answers)
    }

    fn due_at(&self, start: u64, n: u64) -> u64 {
        start + (n as f64 * 1e6 / self.load.requests_per_s) as u64
    }

    fn send_due_requests(&mut self, start: u64, now: u64, total: u64) -> io::Result<()> {
        let mut has_new_requests = vec![false; self.connections.len()];
        while self.answers.requests < total && self.due_at(start, self.answers.requests) <= now {
            let n = self.answers.requests;
            let due = self.due_at(start, n);
            let index = n as usize % self.connections.len();
            let body = self.body(n);
            let connection = &mut self.connections[index];
            let out = connection.conn.write_buffer();
            let request = format!("{}-{n}", self.load.name);
            let headers = [("Host", "placer"), ("X-Request-Id", request.as_str())];
            http::write_request(out, "POST", "/v1/actors", &headers, body.as_bytes());
            connection.waiting.push_back(due);
            has_new_requests[index] = true;
            self.answers.requests += 1;
        }
        for (index, _) in has_new_requests
            .iter()
            .enumerate()
            .filter(|(_, has_new)| **has_new)
        {
            self.connections[index].conn.flush(&self.poller)?;
        }
        Ok(())
    }

    fn body(&self, n: u64) -> String {
        let duration_field = self
            .load
            .task_duration_ms
            .map_or(String::new(), |ms| format!(",\"life_ms\":{ms}"));
        format!(
            "{{\"service\":\"service-{}\",\"actor\":\"{}-{n}\",\"class\":\"web-api\",\"cores\":0.5,\"memory_gib\":1,\"budget_ms\":10000{duration_field}}}",
            n % 500,
            self.load.name
        )
    }

    /// Reads the answers on a connection and returns their number.
    fn read(&mut self, index: usize, start: u64) -> io::Result<u64> {
        let split = start + (self.load.split_s * 1e6) as u64;
        let connection = &mut self.connections[index];
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
                let latency_us = self.clock.now().saturating_sub(due).max(1);
                self.answers.times[usize::from(due >= split)].saturating_record(latency_us);
                answered += 1;
            }
            if message.body.windows(8).any(|w| w == b"\"placed\"") {
                self.answers.placed += 1;
            }
        }
    }
}
