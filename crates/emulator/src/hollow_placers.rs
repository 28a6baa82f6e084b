//! Hollow placers: what a host sees of a placer that places nothing, many in one thread. Each connects to every host,
//! greets and pings, so that one host can be shown as many placers as a large fleet has, without their processes.

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

/// Their names begin with this, so that traffic of real placers can be told from theirs.
const PREFIX: &str = "hollow-placer-";
/// A connection that could not be made or was lost is tried again after this, µs.
const RECONNECT_INTERVAL_US: u64 = 1_000_000;
/// The thread looks at least this often whether it is to end.
const POLL_INTERVAL_US: u64 = 100_000;
/// Connections of this many are begun at once; the others follow, so that backlogs of hosts suffice.
const MAX_CONNECTS_PER_TURN: usize = 256;

/// Whether a placer of this name is hollow.
pub fn is_hollow(name: &str) -> bool {
    name.starts_with(PREFIX)
}

/// The thread of the hollow placers; they end when it is dropped.
pub struct HollowPlacers {
    should_end: Arc<AtomicBool>,
    connected: Arc<AtomicUsize>,
    thread: Option<JoinHandle<io::Result<()>>>,
}

impl HollowPlacers {
    /// Starts so many, each connected to all of these hosts and pinging each of them this often, µs.
    ///
    /// # Errors
    ///
    /// The poller or the thread cannot be created.
    pub fn start(
        placers: usize,
        hosts: &[SocketAddr],
        ping_every: u64,
    ) -> io::Result<HollowPlacers> {
        let (end, connected) = (
            Arc::new(AtomicBool::new(false)),
            Arc::new(AtomicUsize::new(0)),
        );
        let mut run = HollowThread {
            poller: Poller::new()?,
            clock: Clock::start(),
            hosts: hosts.to_vec(),
            ping_every: ping_every.max(1),
            conns: HashMap::new(),
            timers: Timers::default(),
            connected: connected.clone(),
        };
        run.plan_connections(placers);
        let ended = end.clone();
        let thread = std::thread::Builder::new()
            .name("hollow-placers".into())
            .spawn(move || run.run(&ended))?;
        Ok(HollowPlacers {
            should_end: end,
            connected,
            thread: Some(thread),
        })
    }

    /// Connections on which the host has said all that it holds.
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

/// One placer's connection to one host; its number in the run is the connection's token.
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
    ping_every: u64,
    conns: HashMap<u64, HollowConnection>,
    timers: Timers<Timer>,
    connected: Arc<AtomicUsize>,
}

struct HollowConnection {
    conn: TcpConnection,
    link: PlacerHostPair,
    has_listed_tasks: bool,
}

impl HollowThread {
    fn token(&self, link: PlacerHostPair) -> u64 {
        (link.placer * self.hosts.len() + link.host) as u64
    }

    /// Connections spread over one period of pings at least, so that pings are spread too.
    fn plan_connections(&mut self, placers: usize) {
        let now = self.clock.now();
        let links = (placers * self.hosts.len()).max(1) as u64;
        let at_least = links / MAX_CONNECTS_PER_TURN as u64 * POLL_INTERVAL_US;
        let span = self.ping_every.max(at_least);
        for placer in 0..placers {
            for host in 0..self.hosts.len() {
                let link = PlacerHostPair { placer, host };
                let at = now + self.token(link) * span / links;
                self.timers.schedule(at, Timer::Connect(link));
            }
        }
    }

    fn run(&mut self, ended: &AtomicBool) -> io::Result<()> {
        let mut ready: Vec<Readiness> = Vec::new();
        while !ended.load(Ordering::Relaxed) {
            let now = self.clock.now();
            let wait = self.timers.next_due_at().map_or(POLL_INTERVAL_US, |at| {
                at.saturating_sub(now).min(POLL_INTERVAL_US)
            });
            ready.clear();
            self.poller
                .wait(Some(Duration::from_micros(wait)), &mut ready)?;
            ready.iter().for_each(|readiness| self.ready(readiness));
            let now = self.clock.now();
            while let Some(due) = self.timers.pop_due(now) {
                match due {
                    Timer::Connect(link) => self.connect(link),
                    Timer::Ping(link) => self.ping(link),
                }
            }
        }
        Ok(())
    }

    fn connect(&mut self, link: PlacerHostPair) {
        let token = self.token(link);
        match TcpConnection::connect(self.hosts[link.host], token, &self.poller) {
            Ok(conn) => {
                self.conns.insert(
                    token,
                    HollowConnection {
                        conn,
                        link,
                        has_listed_tasks: false,
                    },
                );
            }
            Err(_) => self.timers.schedule(
                self.clock.now() + RECONNECT_INTERVAL_US,
                Timer::Connect(link),
            ),
        }
    }

    fn ping(&mut self, link: PlacerHostPair) {
        let token = self.token(link);
        if self.conns.get(&token).is_some_and(|c| c.has_listed_tasks) {
            self.send(token, &Frame::Ping(token as u32));
            self.timers
                .schedule(self.clock.now() + self.ping_every, Timer::Ping(link));
        }
    }

    fn send(&mut self, token: u64, frame: &Frame) {
        let Some(hollow) = self.conns.get_mut(&token) else {
            return;
        };
        frame::encode(frame, hollow.conn.write_buffer());
        if hollow.conn.flush(&self.poller).is_err() {
            self.close_connection(token);
        }
    }

    fn close_connection(&mut self, token: u64) {
        let Some(hollow) = self.conns.remove(&token) else {
            return;
        };
        if hollow.has_listed_tasks {
            self.connected.fetch_sub(1, Ordering::Relaxed);
        }
        self.timers.schedule(
            self.clock.now() + RECONNECT_INTERVAL_US,
            Timer::Connect(hollow.link),
        );
    }

    fn ready(&mut self, readiness: &Readiness) {
        let token = readiness.token;
        let Some(hollow) = self.conns.get_mut(&token) else {
            return;
        };
        if hollow.conn.is_connecting() {
            if hollow.conn.finish_connect().is_err() {
                self.close_connection(token);
                return;
            }
            let hello = hello(hollow.link);
            self.send(token, &hello);
        }
        let Some(hollow) = self.conns.get_mut(&token) else {
            return;
        };
        if readiness.is_writable && hollow.conn.flush(&self.poller).is_err() {
            self.close_connection(token);
            return;
        }
        if readiness.is_readable {
            self.read(token);
        }
    }

    fn read(&mut self, token: u64) {
        let Some(hollow) = self.conns.get_mut(&token) else {
            return;
        };
        let outcome = hollow.conn.read_available(64 << 10, 128 << 10);
        let mut broken = matches!(outcome, ReadOutcome::Closed | ReadOutcome::Failed);
        loop {
            match frame::decode(hollow.conn.unread()) {
                Ok((frame, used)) => {
                    hollow.conn.consume(used);
                    match frame {
                        None => break,
                        Some(Frame::HeldEnd) if !hollow.has_listed_tasks => {
                            hollow.has_listed_tasks = true;
                            self.connected.fetch_add(1, Ordering::Relaxed);
                            let first = self.clock.now() + self.ping_every;
                            self.timers.schedule(first, Timer::Ping(hollow.link));
                        }
                        Some(Frame::Ping(nonce)) => {
                            frame::encode(&Frame::Pong(nonce), hollow.conn.write_buffer())
                        }
                        Some(_) => {}
                    }
                }
                Err(_) => {
                    broken = true;
                    break;
                }
            }
        }
        if broken || hollow.conn.flush(&self.poller).is_err() {
            self.close_connection(token);
        }
    }
}

fn hello(link: PlacerHostPair) -> Frame {
    Frame::Hello {
        major: frame::MAJOR,
        minor: frame::MINOR,
        name: format!("{PREFIX}{}", link.placer),
        started_ms: 1,
        max_offers: 0,
    }
}
