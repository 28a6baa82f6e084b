//! Hollow placers: the connections of placers that place nothing, many in one thread. Each connects to every host,
//! sends its hello and pings, so that a host has as many placer connections as in a large fleet, without the placer
//! processes.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use maplethread_engine::Timers;
use maplethread_placer::Clock;
use maplethread_reactor::{Poller, ReadOutcome, Readiness, TcpConnection};
use maplethread_wire::frame::{self, Frame};

/// Prefix of their names, by which their traffic is distinguished from that of real placers.
const NAME_PREFIX: &str = "hollow-placer-";
/// Delay before a connection that failed or was lost is retried, µs.
const RECONNECT_INTERVAL_US: u64 = 1_000_000;
/// The thread checks at least this often whether it should end, µs.
const POLL_INTERVAL_US: u64 = 100_000;
/// Maximum number of connections started per poll interval, so that the hosts' listen backlogs do not overflow.
const MAX_CONNECTS_PER_TURN: usize = 256;

/// Whether a placer of this name is hollow.
pub fn is_hollow(name: &str) -> bool {
    name.starts_with(NAME_PREFIX)
}

/// The thread of the hollow placers, which ends when this is dropped.
pub struct HollowPlacers {
    should_end: Arc<AtomicBool>,
    connected: Arc<AtomicUsize>,
    thread: Option<JoinHandle<io::Result<()>>>,
}

impl HollowPlacers {
    /// Starts this number of hollow placers, each of which connects to all of these hosts and pings each at this
    /// interval, µs.
    ///
    /// # Errors
    ///
    /// The poller or the thread cannot be created.
    pub fn start(
        placers: usize,
        hosts: &[SocketAddr],
        ping_interval_us: u64,
    ) -> io::Result<HollowPlacers> {
        let (should_end, connected) = (
            Arc::new(AtomicBool::new(false)),
            Arc::new(AtomicUsize::new(0)),
        );
        let mut thread_state = HollowThread {
            poller: Poller::new()?,
            clock: Clock::start(),
            hosts: hosts.to_vec(),
            ping_interval_us: ping_interval_us.max(1),
            connections: HashMap::new(),
            timers: Timers::default(),
            connected: connected.clone(),
        };
        thread_state.schedule_connections(placers);
        let thread_should_end = should_end.clone();
        let thread = std::thread::Builder::new()
            .name("hollow-placers".into())
            .spawn(move || thread_state.run(&thread_should_end))?;
        Ok(HollowPlacers {
            should_end,
            connected,
            thread: Some(thread),
        })
    }

    /// Number of connections on which the host has listed all tasks that it holds.
    pub fn connected(&self) -> usize {
        self.connected.load(Ordering::Relaxed)
    }
}

impl Drop for HollowPlacers {
    fn drop(&mut self) {
        self.should_end.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// A placer and a host that it connects to; their number is the connection's token.
#[derive(Clone, Copy, Debug)]
struct PlacerHostPair {
    placer: usize,
    host: usize,
}

#[derive(Clone, Copy, Debug)]
enum Timer {
    Connect(PlacerHostPair),
    Ping(PlacerHostPair),
}

struct HollowThread {
    poller: Poller,
    clock: Clock,
    hosts: Vec<SocketAddr>,
    ping_interval_us: u64,
    connections: HashMap<u64, HollowConnection>,
    timers: Timers<Timer>,
    connected: Arc<AtomicUsize>,
}

struct HollowConnection {
    conn: TcpConnection,
    pair: PlacerHostPair,
    has_listed_tasks: bool,
}

impl HollowThread {
    fn token(&self, pair: PlacerHostPair) -> u64 {
        (pair.placer * self.hosts.len() + pair.host) as u64
    }

    /// Schedules the connections over at least one ping interval, so that the pings are spread too.
    fn schedule_connections(&mut self, placers: usize) {
        let now = self.clock.now();
        let pair_count = (placers * self.hosts.len()).max(1) as u64;
        let min_span_us = pair_count / MAX_CONNECTS_PER_TURN as u64 * POLL_INTERVAL_US;
        let span_us = self.ping_interval_us.max(min_span_us);
        for placer in 0..placers {
            for host in 0..self.hosts.len() {
                let pair = PlacerHostPair { placer, host };
                let at = now + self.token(pair) * span_us / pair_count;
                self.timers.schedule(at, Timer::Connect(pair));
            }
        }
    }

    fn run(&mut self, should_end: &AtomicBool) -> io::Result<()> {
        let mut ready: Vec<Readiness> = Vec::new();
        while !should_end.load(Ordering::Relaxed) {
            let now = self.clock.now();
            let wait_us = self.timers.next_due_at().map_or(POLL_INTERVAL_US, |at| {
                at.saturating_sub(now).min(POLL_INTERVAL_US)
            });
            ready.clear();
            self.poller
                .wait(Some(Duration::from_micros(wait_us)), &mut ready)?;
            ready
                .iter()
                .for_each(|readiness| self.handle_ready(readiness));
            let now = self.clock.now();
            while let Some(due) = self.timers.pop_due(now) {
                match due {
                    Timer::Connect(pair) => self.connect(pair),
                    Timer::Ping(pair) => self.ping(pair),
                }
            }
        }
        Ok(())
    }

    fn connect(&mut self, pair: PlacerHostPair) {
        let token = self.token(pair);
        match TcpConnection::connect(self.hosts[pair.host], token, &self.poller) {
            Ok(conn) => {
                self.connections.insert(
                    token,
                    HollowConnection {
                        conn,
                        pair,
                        has_listed_tasks: false,
                    },
                );
            }
            Err(_) => {
                let retry_at = self.clock.now() + RECONNECT_INTERVAL_US;
                self.timers.schedule(retry_at, Timer::Connect(pair));
            }
        }
    }

    fn ping(&mut self, pair: PlacerHostPair) {
        let token = self.token(pair);
        if self
            .connections
            .get(&token)
            .is_some_and(|c| c.has_listed_tasks)
        {
            self.send(token, &Frame::Ping(token as u32));
            self.timers
                .schedule(self.clock.now() + self.ping_interval_us, Timer::Ping(pair));
        }
    }

    fn send(&mut self, token: u64, frame: &Frame) {
        let Some(connection) = self.connections.get_mut(&token) else {
            return;
        };
        frame::encode(frame, connection.conn.write_buffer());
        if connection.conn.flush(&self.poller).is_err() {
            self.close_connection(token);
        }
    }

    fn close_connection(&mut self, token: u64) {
        let Some(connection) = self.connections.remove(&token) else {
            return;
        };
        if connection.has_listed_tasks {
            self.connected.fetch_sub(1, Ordering::Relaxed);
        }
        self.timers.schedule(
            self.clock.now() + RECONNECT_INTERVAL_US,
            Timer::Connect(connection.pair),
        );
    }

    fn handle_ready(&mut self, readiness: &Readiness) {
        let token = readiness.token;
        let Some(connection) = self.connections.get_mut(&token) else {
            return;
        };
        if connection.conn.is_connecting() {
            if connection.conn.finish_connect().is_err() {
                self.close_connection(token);
                return;
            }
            let hello = hello(connection.pair);
            self.send(token, &hello);
        }
        let Some(connection) = self.connections.get_mut(&token) else {
            return;
        };
        if readiness.is_writable && connection.conn.flush(&self.poller).is_err() {
            self.close_connection(token);
            return;
        }
        if readiness.is_readable {
            self.read(token);
        }
    }

    fn read(&mut self, token: u64) {
        let Some(connection) = self.connections.get_mut(&token) else {
            return;
        };
        let outcome = connection.conn.read_available(64 << 10, 128 << 10);
        let mut has_failed = matches!(outcome, ReadOutcome::Closed | ReadOutcome::Failed);
        loop {
            match frame::decode(connection.conn.unread()) {
                Ok((frame, used)) => {
                    connection.conn.consume(used);
                    match frame {
                        None => break,
                        Some(Frame::HeldEnd) if !connection.has_listed_tasks => {
                            connection.has_listed_tasks = true;
                            self.connected.fetch_add(1, Ordering::Relaxed);
                            let first = self.clock.now() + self.ping_interval_us;
                            self.timers.schedule(first, Timer::Ping(connection.pair));
                        }
                        Some(Frame::Ping(nonce)) => {
                            frame::encode(&Frame::Pong(nonce), connection.conn.write_buffer())
                        }
                        Some(_) => {}
                    }
                }
                Err(_) => {
                    has_failed = true;
                    break;
                }
            }
        }
        if has_failed || connection.conn.flush(&self.poller).is_err() {
            self.close_connection(token);
        }
    }
}

fn hello(pair: PlacerHostPair) -> Frame {
    Frame::Hello {
        major: frame::MAJOR,
        minor: frame::MINOR,
        name: format!("{NAME_PREFIX}{}", pair.placer),
        started_ms: 1,
        max_offers: 0,
    }
}
