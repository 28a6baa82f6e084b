//! The servers on sockets: one thread with a log of commands, and for each server a state that may lag behind the log.

use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

use maplethread_engine::Timers;
use maplethread_placer::Clock;
use maplethread_reactor::{Poller, ReadOutcome, Readiness, TcpConnection};
use maplethread_wire::http::{self, Limits, Message, MessageReader, ReadResult, Role};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use serde_json::{Value, json};

use crate::api::{ReadRequest, Request, Resource, WriteRequest, parse_request};
use crate::state::{Check, Command, LockChange, State};

/// Tokens of the poller: the waker, the first listener, and the first connection.
const WAKER_TOKEN: u64 = 0;
const FIRST_LISTENER_TOKEN: u64 = 1 << 32;
const FIRST_CONNECTION_TOKEN: u64 = 1 << 33;

/// Faults injected into a server. Shares are from 0 to 1.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Whether writes are affected as well as reads.
    pub affects_writes: bool,
    /// Delay of responses, µs.
    pub delay_us: u64,
    /// An error status, and the share of requests that get it.
    pub error_status: Option<(u16, f64)>,
    /// The share of responses that are truncated in the middle of the body.
    pub truncated_share: f64,
    /// Whether lists are empty, except in consistent reads.
    pub empty_lists: bool,
    /// If above 0, only this share of each list is returned, except in consistent reads.
    pub partial_share: f64,
    /// Whether entries name another datacentre.
    pub other_datacentre: bool,
    /// The amount by which returned indexes are too low.
    pub index_offset: u64,
    /// Whether the server, as a follower, stops applying commands.
    pub is_frozen: bool,
}

/// Called for an observed response, with the client's User-Agent, the index, whether the read was consistent, and the
/// body.
pub type AnswerObserver = Arc<dyn Fn(&str, u64, bool, &[u8]) + Send + Sync>;

/// A change of a key's lock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LockEvent<'a> {
    /// The key (first) was locked by a session of this name (second).
    Locked(&'a str, &'a str),
    /// The key was released, and can be locked again after this time, µs.
    Released(&'a str, u64),
}

/// Called for each change of a lock when the leader applies it.
pub type LockObserver = Arc<dyn Fn(LockEvent<'_>) + Send + Sync>;

/// Settings of the emulated servers.
#[derive(Clone)]
pub struct EmulatorSettings {
    /// The address that each server listens on; port 0 for a free port.
    pub listen: Vec<SocketAddr>,
    /// The name of the datacentre.
    pub datacentre: String,
    /// Time that followers lag behind the leader, µs.
    pub lag_us: u64,
    /// ACL tokens that may read, and whether they may write; if there are none, no token is required.
    pub tokens: Vec<(String, bool)>,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Observes each complete response to an unfiltered read of a service's health when it is written.
    pub answer_observer: Option<AnswerObserver>,
    /// Observes the changes of keys' locks.
    pub lock_observer: Option<LockObserver>,
}

impl EmulatorSettings {
    /// Settings of this number of servers, at least 1, on free ports.
    pub fn new(servers: usize) -> EmulatorSettings {
        let listen = vec![SocketAddr::from(([127, 0, 0, 1], 0)); servers.max(1)];
        EmulatorSettings {
            listen,
            datacentre: "dc1".to_owned(),
            lag_us: 20_000,
            tokens: Vec::new(),
            seed: 1,
            answer_observer: None,
            lock_observer: None,
        }
    }
}

enum ControlMessage {
    SetFaults(Option<usize>, Faults),
    /// There is no leader for this time, µs; then the next server becomes the leader.
    LoseLeader(u64),
    Command(Command),
    Shutdown,
}

/// The running servers, which stop when this is dropped.
pub struct Servers {
    /// The address that each server listens on.
    pub addresses: Vec<SocketAddr>,
    controls: Arc<Mutex<VecDeque<ControlMessage>>>,
    waker: OwnedFd,
    thread: Option<JoinHandle<io::Result<()>>>,
    counts: Arc<[AtomicU64; 2]>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Servers {
    /// Starts the servers.
    ///
    /// # Errors
    ///
    /// Listening on an address fails, or the poller or the thread cannot be created.
    pub fn start(settings: EmulatorSettings) -> io::Result<Servers> {
        let poller = Poller::new()?;
        let waker = Poller::create_waker()?;
        poller.register(&waker, WAKER_TOKEN, false)?;
        let (mut listeners, mut addresses) = (Vec::new(), Vec::new());
        for (n, at) in settings.listen.iter().enumerate() {
            let listener = TcpListener::bind(at)?;
            listener.set_nonblocking(true)?;
            poller.register(&listener, FIRST_LISTENER_TOKEN + n as u64, false)?;
            addresses.push(listener.local_addr()?);
            listeners.push(listener);
        }
        let controls = Arc::new(Mutex::new(VecDeque::new()));
        let counts: Arc<[AtomicU64; 2]> = Arc::default();
        let server = |_| Replica {
            state: State::default(),
            applied: 0,
            faults: Faults::default(),
        };
        let mut server_loop = ServerLoop {
            poller,
            listeners,
            clock: Clock::start(),
            servers: settings.listen.iter().map(server).collect(),
            rng: Pcg64Mcg::seed_from_u64(settings.seed),
            settings,
            connections: HashMap::new(),
            last_token: FIRST_CONNECTION_TOKEN,
            log: VecDeque::new(),
            log_start: 0,
            leader: Some(0),
            next_leader: 0,
            leader_returns_at: 0,
            blocked: Vec::new(),
            delayed: Timers::default(),
            renewed: HashMap::new(),
            requests: 0,
            controls: controls.clone(),
            waker: rustix::io::dup(&waker)?,
            counts: counts.clone(),
            should_end: false,
        };
        for (n, address) in addresses.iter().enumerate() {
            let (name, ip) = (node_name(n), address.ip().to_string());
            server_loop.commit(Command::Register {
                node: name.clone(),
                address: ip.clone(),
                meta: json!({}),
                service: None,
                checks: Vec::new(),
            });
            server_loop.commit(Command::SetMember {
                name,
                address: ip,
                status: 1,
            });
        }
        let thread = std::thread::Builder::new()
            .name("consul-stand-in".into())
            .spawn(move || server_loop.run())?;
        Ok(Servers {
            addresses,
            controls,
            waker,
            thread: Some(thread),
            counts,
        })
    }

    fn control(&self, control: ControlMessage) {
        lock(&self.controls).push_back(control);
        let _ = rustix::io::write(&self.waker, &1u64.to_ne_bytes());
    }

    /// Replaces the faults of one server, or of all servers.
    pub fn set_faults(&self, server: Option<usize>, faults: Faults) {
        self.control(ControlMessage::SetFaults(server, faults));
    }

    /// Removes the leader for this time, µs; then the next server becomes the leader.
    pub fn lose_leader(&self, for_us: u64) {
        self.control(ControlMessage::LoseLeader(for_us));
    }

    /// Sets an agent's status in the gossip pool: 1 alive, 2 leaving, 3 left, 4 failed.
    pub fn set_member_status(&self, name: &str, status: i64) {
        let command = Command::SetMember {
            name: name.to_owned(),
            address: "127.0.0.1".to_owned(),
            status,
        };
        self.control(ControlMessage::Command(command));
    }

    /// The number of requests received and of bytes sent so far.
    pub fn traffic_counts(&self) -> (u64, u64) {
        (
            self.counts[0].load(Ordering::Relaxed),
            self.counts[1].load(Ordering::Relaxed),
        )
    }

    /// Waits for the thread to end, which happens only on an error.
    ///
    /// # Errors
    ///
    /// The error that ended the thread, or its panic.
    pub fn join(mut self) -> io::Result<()> {
        match self.thread.take().map(JoinHandle::join) {
            Some(Ok(result)) => result,
            _ => Err(io::Error::other("servers thread panicked")),
        }
    }
}

impl Drop for Servers {
    fn drop(&mut self) {
        self.control(ControlMessage::Shutdown);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn node_name(server: usize) -> String {
    format!("server-{server}")
}

struct Replica {
    state: State,
    /// Number of commands of the log that are applied to the state.
    applied: u64,
    faults: Faults,
}

struct ClientConnection {
    conn: TcpConnection,
    server: usize,
    reader: MessageReader,
    closing: bool,
}

/// The arguments of the answer observer: User-Agent, index, whether the read was consistent, and the body.
type ObservedRead = (String, u64, bool, Vec<u8>);

struct Response {
    token: u64,
    bytes: Vec<u8>,
    is_truncated: bool,
    observed: Option<ObservedRead>,
}

struct BlockedQuery {
    token: u64,
    server: usize,
    read: ReadRequest,
    until: u64,
    user_agent: String,
}

struct ServerLoop {
    poller: Poller,
    listeners: Vec<TcpListener>,
    clock: Clock,
    settings: EmulatorSettings,
    servers: Vec<Replica>,
    rng: Pcg64Mcg,
    connections: HashMap<u64, ClientConnection>,
    last_token: u64,
    log: VecDeque<(u64, Command)>,
    log_start: u64,
    leader: Option<usize>,
    next_leader: usize,
    leader_returns_at: u64,
    blocked: Vec<BlockedQuery>,
    delayed: Timers<Response>,
    /// When sessions and TTL checks were last renewed, µs.
    renewed: HashMap<String, u64>,
    requests: u64,
    controls: Arc<Mutex<VecDeque<ControlMessage>>>,
    waker: OwnedFd,
    counts: Arc<[AtomicU64; 2]>,
    should_end: bool,
}

impl ServerLoop {
    fn run(&mut self) -> io::Result<()> {
        let mut ready: Vec<Readiness> = Vec::new();
        while !self.should_end {
            let now = self.clock.now();
            let next = self
                .delayed
                .next_due_at()
                .unwrap_or(u64::MAX)
                .min(now + 10_000);
            ready.clear();
            self.poller.wait(
                Some(Duration::from_micros(next.saturating_sub(now))),
                &mut ready,
            )?;
            for r in &ready {
                match r.token {
                    WAKER_TOKEN => self.handle_control(),
                    token if token >= FIRST_CONNECTION_TOKEN => self.handle_connection(token, r),
                    token => self.accept((token - FIRST_LISTENER_TOKEN) as usize),
                }
            }
            self.tick();
        }
        Ok(())
    }

    fn handle_control(&mut self) {
        let _ = rustix::io::read(&self.waker, &mut [0u8; 8]);
        let controls = std::mem::take(&mut *lock(&self.controls));
        for control in controls {
            match control {
                ControlMessage::SetFaults(server, faults) => {
                    for (n, s) in self.servers.iter_mut().enumerate() {
                        if server.is_none_or(|selected| selected == n) {
                            s.faults = faults.clone();
                        }
                    }
                }
                ControlMessage::LoseLeader(for_us) => {
                    self.leader_returns_at = self.clock.now() + for_us;
                    let next = self.leader.map_or(0, |l| (l + 1) % self.servers.len());
                    self.leader = None;
                    self.next_leader = next;
                }
                ControlMessage::Command(command) => self.commit(command),
                ControlMessage::Shutdown => self.should_end = true,
            }
        }
    }

    fn uniform(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Appends a command to the log. The leader applies it at once, followers after their lag.
    fn commit(&mut self, command: Command) {
        let now = self.clock.now();
        let leader = self.leader.unwrap_or(0);
        if let Some(locks) = &self.settings.lock_observer {
            self.servers[leader]
                .state
                .notify_lock_events(&command, &**locks);
        }
        self.log.push_back((now, command));
        self.catch_up(leader, u64::MAX);
    }

    fn catch_up(&mut self, server: usize, until: u64) {
        let s = &mut self.servers[server];
        while let Some((at, command)) = self.log.get((s.applied - self.log_start) as usize)
            && *at <= until
        {
            s.state.apply(command);
            s.applied += 1;
        }
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        if self.leader.is_none() && now >= self.leader_returns_at {
            let next = self.next_leader;
            // The new leader applies the whole log, and all sessions and TTL checks get a full TTL from now on.
            self.leader = Some(next);
            self.catch_up(next, u64::MAX);
            self.renewed.values_mut().for_each(|at| *at = now);
        }
        for server in 0..self.servers.len() {
            if Some(server) != self.leader && !self.servers[server].faults.is_frozen {
                self.catch_up(server, now.saturating_sub(self.settings.lag_us));
            }
        }
        let applied_by_all = self.servers.iter().map(|s| s.applied).min().unwrap_or(0);
        while self.log_start < applied_by_all {
            self.log.pop_front();
            self.log_start += 1;
        }
        self.expire(now);
        while let Some(answer) = self.delayed.pop_due(now) {
            self.write(answer);
        }
        let mut still_blocked = Vec::new();
        for blocked in std::mem::take(&mut self.blocked) {
            let state = self.replica_for(blocked.server, &blocked.read);
            let has_changed = state.is_none_or(|s| {
                blocked.read.blocking_index(&self.servers[s].state) > blocked.read.index
            });
            if has_changed || blocked.until <= now {
                self.answer_read(
                    blocked.token,
                    blocked.server,
                    &blocked.read,
                    &blocked.user_agent,
                );
            } else {
                still_blocked.push(blocked);
            }
        }
        self.blocked.extend(still_blocked);
    }

    /// Marks checks critical and ends sessions whose TTL has expired.
    fn expire(&mut self, now: u64) {
        let Some(leader) = self.leader else { return };
        let state = &self.servers[leader].state;
        let mut commands = Vec::new();
        for ((node, check), ttl, status) in state.ttl_checks() {
            let renewed_at = self
                .renewed
                .get(&format!("{node}/{check}"))
                .copied()
                .unwrap_or(0);
            if renewed_at + ttl <= now && status != "critical" {
                let (node, check, output) = (node.clone(), check.clone(), "TTL expired".to_owned());
                commands.push(Command::SetCheckStatus {
                    node,
                    check,
                    status: "critical".to_owned(),
                    output,
                });
            }
        }
        for (session, _) in state.sessions.values() {
            let renewed_at = self.renewed.get(&session.id).copied().unwrap_or(now);
            if session.ttl > 0 && renewed_at + session.ttl <= now {
                commands.push(Command::EndSession {
                    session: session.id.clone(),
                    at: now,
                });
            }
        }
        commands
            .into_iter()
            .for_each(|command| self.commit(command));
    }

    fn accept(&mut self, server: usize) {
        while let Some(listener) = self.listeners.get(server)
            && let Ok((stream, _)) = listener.accept()
        {
            self.last_token += 1;
            if let Ok(conn) = TcpConnection::from_accepted(stream, self.last_token, &self.poller) {
                let reader = MessageReader::new(
                    Role::Requests,
                    Limits {
                        max_body_bytes: 1 << 20,
                        ..Limits::default()
                    },
                );
                self.connections.insert(
                    self.last_token,
                    ClientConnection {
                        conn,
                        server,
                        reader,
                        closing: false,
                    },
                );
            }
        }
    }

    fn drop_connection(&mut self, token: u64) {
        self.connections.remove(&token);
        self.blocked.retain(|p| p.token != token);
    }

    fn handle_connection(&mut self, token: u64, r: &Readiness) {
        let Some(connection) = self.connections.get_mut(&token) else {
            return;
        };
        if connection.conn.flush(&self.poller).is_err()
            || (connection.closing && connection.conn.unwritten_bytes() == 0)
        {
            self.drop_connection(token);
            return;
        }
        if !r.is_readable {
            return;
        }
        let outcome = connection.conn.read_available(256 << 10, 2 << 20);
        while let Some(connection) = self.connections.get_mut(&token) {
            match connection.reader.read(connection.conn.unread()) {
                Ok((ReadResult::Message(message), used)) => {
                    connection.conn.consume(used);
                    let server = connection.server;
                    self.handle_request(token, server, &message);
                }
                Ok((ReadResult::ExpectsContinue, used)) => {
                    connection.conn.consume(used);
                    connection
                        .conn
                        .write_buffer()
                        .extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
                    let _ = connection.conn.flush(&self.poller);
                }
                Ok((ReadResult::NeedMore, used)) => {
                    connection.conn.consume(used);
                    break;
                }
                Err(_) => {
                    self.drop_connection(token);
                    return;
                }
            }
        }
        if matches!(outcome, ReadOutcome::Closed | ReadOutcome::Failed) {
            self.drop_connection(token);
        }
    }

    fn handle_request(&mut self, token: u64, server: usize, message: &Message) {
        self.requests += 1;
        self.counts[0].fetch_add(1, Ordering::Relaxed);
        let request = parse_request(message, &node_name(server), self.requests);
        let is_affected =
            self.servers[server].faults.affects_writes || matches!(request, Request::Read(_));
        if let Some((status, share)) = self.servers[server].faults.error_status
            && is_affected
            && self.uniform() < share
        {
            let text = if status == 429 {
                "Your IP is issuing too many concurrent connections"
            } else {
                "rpc error"
            };
            self.answer(token, server, status, text.as_bytes(), None);
            return;
        }
        if !self.settings.tokens.is_empty() {
            let token_given = message.head.field("x-consul-token").unwrap_or("");
            let may_write = self
                .settings
                .tokens
                .iter()
                .find(|(t, _)| t == token_given)
                .map(|(_, write)| *write);
            let is_allowed = match &request {
                Request::Write(_) => may_write == Some(true),
                _ => may_write.is_some(),
            };
            if !is_allowed {
                let reason: &[u8] = if may_write.is_some() {
                    b"Permission denied"
                } else {
                    b"ACL not found"
                };
                self.answer(token, server, 403, reason, None);
                return;
            }
        }
        match request {
            Request::Response(status, body) => {
                let text = body
                    .as_str()
                    .map_or_else(|| body.to_string(), str::to_owned);
                let text = if status == 200 {
                    body.to_string()
                } else {
                    text
                };
                self.answer(token, server, status, text.as_bytes(), None);
            }
            Request::Read(read) => {
                let user_agent = message.head.field("user-agent").unwrap_or("").to_owned();
                let state = self.replica_for(server, &read);
                let is_unchanged = read.index > 0
                    && state
                        .is_some_and(|s| read.blocking_index(&self.servers[s].state) <= read.index);
                if is_unchanged {
                    // As documented, up to a sixteenth of the wait is added, so that the queries of many clients do not
                    // end together.
                    let jitter = (self.uniform() * (read.wait_us / 16) as f64) as u64;
                    let until = self.clock.now() + read.wait_us + jitter;
                    self.blocked.push(BlockedQuery {
                        token,
                        server,
                        read,
                        until,
                        user_agent,
                    });
                } else {
                    self.answer_read(token, server, &read, &user_agent);
                }
            }
            Request::Write(write) => {
                if self.leader.is_none() {
                    self.answer(token, server, 500, b"No cluster leader", None);
                    return;
                }
                let (status, body) = self.execute_write(write, &node_name(server));
                self.answer(token, server, status, &body, None);
            }
        }
    }

    /// The server whose state is read; `None` if the read needs a leader and there is none.
    fn replica_for(&self, server: usize, read: &ReadRequest) -> Option<usize> {
        if read.stale || matches!(read.resource, Resource::Members) {
            Some(server)
        } else {
            self.leader
        }
    }

    fn answer_read(&mut self, token: u64, server: usize, read: &ReadRequest, user_agent: &str) {
        let Some(from) = self.replica_for(server, read) else {
            self.answer(token, server, 500, b"No cluster leader", None);
            return;
        };
        let faults = self.servers[server].faults.clone();
        let datacentre = if faults.other_datacentre {
            "elsewhere"
        } else {
            &self.settings.datacentre
        };
        let state = &self.servers[from].state;
        let index = read
            .blocking_index(state)
            .saturating_sub(faults.index_offset);
        let (status, mut body) = read.answer(state, datacentre);
        if faults.empty_lists && !read.consistent {
            body = b"[]".to_vec();
        }
        if faults.partial_share > 0.0
            && !read.consistent
            && let Ok(Value::Array(mut entries)) = serde_json::from_slice(&body)
        {
            entries.truncate((entries.len() as f64 * faults.partial_share) as usize);
            body = Value::Array(entries).to_string().into_bytes();
        }
        let observed = matches!(read.resource, Resource::HealthService(..))
            && read.filter.is_empty()
            && self.settings.answer_observer.is_some();
        let observed =
            observed.then(|| (user_agent.to_owned(), index, read.consistent, body.clone()));
        self.respond_observed(token, server, status, &body, Some(index), observed);
    }

    fn answer(&mut self, token: u64, server: usize, status: u16, body: &[u8], index: Option<u64>) {
        self.respond_observed(token, server, status, body, index, None);
    }

    fn respond_observed(
        &mut self,
        token: u64,
        server: usize,
        status: u16,
        body: &[u8],
        index: Option<u64>,
        observed: Option<ObservedRead>,
    ) {
        let has_leader = if self.leader.is_some() {
            "true"
        } else {
            "false"
        };
        let last_contact_ms = if Some(server) == self.leader {
            0
        } else {
            self.settings.lag_us / 1000
        };
        let (index, last_contact_ms) = (index.map(|i| i.to_string()), last_contact_ms.to_string());
        let mut fields = vec![
            ("X-Consul-KnownLeader", has_leader),
            ("X-Consul-LastContact", last_contact_ms.as_str()),
        ];
        fields.extend(index.as_deref().map(|i| ("X-Consul-Index", i)));
        let mut bytes = Vec::new();
        let content_type = if status == 200 {
            "application/json"
        } else {
            "text/plain; charset=utf-8"
        };
        if body.len() > 16 << 10 {
            http::write_chunked_head(&mut bytes, status, content_type, &fields);
            body.chunks(8 << 10)
                .for_each(|part| http::write_chunk(&mut bytes, part));
            http::write_chunk(&mut bytes, b"");
        } else {
            http::write_response(&mut bytes, status, content_type, &fields, body);
        }
        let faults = &self.servers[server].faults;
        let is_affected = faults.affects_writes || index.is_some();
        let (delay_us, truncated_share) = if is_affected {
            (faults.delay_us, faults.truncated_share)
        } else {
            (0, 0.0)
        };
        let is_truncated = self.uniform() < truncated_share;
        if is_truncated {
            bytes.truncate(bytes.len() - body.len() / 2 - 1);
        }
        let answer = Response {
            token,
            bytes,
            is_truncated,
            observed,
        };
        if delay_us > 0 {
            self.delayed.schedule(self.clock.now() + delay_us, answer);
        } else {
            self.write(answer);
        }
    }

    fn write(&mut self, answer: Response) {
        let token = answer.token;
        self.counts[1].fetch_add(answer.bytes.len() as u64, Ordering::Relaxed);
        let Some(connection) = self.connections.get_mut(&token) else {
            return;
        };
        connection
            .conn
            .write_buffer()
            .extend_from_slice(&answer.bytes);
        connection.closing |= answer.is_truncated;
        if let (Some((user_agent, index, consistent, body)), Some(observe), false) = (
            &answer.observed,
            &self.settings.answer_observer,
            answer.is_truncated,
        ) {
            observe(user_agent, *index, *consistent, body);
        }
        let has_failed = connection.conn.flush(&self.poller).is_err();
        if has_failed || (connection.closing && connection.conn.unwritten_bytes() == 0) {
            self.drop_connection(token);
        }
    }

    fn leader_state(&self) -> &State {
        &self.servers[self.leader.unwrap_or(0)].state
    }

    fn execute_write(&mut self, write: WriteRequest, node: &str) -> (u16, Vec<u8>) {
        let now = self.clock.now();
        let json = |value: Value| {
            if value.is_null() {
                (200, Vec::new())
            } else {
                (200, value.to_string().into_bytes())
            }
        };
        match write {
            WriteRequest::Commands(commands, answer) => {
                for command in commands {
                    if let Command::Register { node, checks, .. } = &command {
                        for check in checks {
                            self.renewed.insert(format!("{node}/{}", check.id), now);
                        }
                    }
                    self.commit(command);
                }
                json(answer)
            }
            WriteRequest::Put {
                key,
                value,
                flags,
                lock,
                cas,
            } => {
                let state = self.leader_state();
                let is_session_unknown = match &lock {
                    LockChange::Acquire(s) | LockChange::Release(s) => {
                        !state.sessions.contains_key(s)
                    }
                    LockChange::Unchanged => false,
                };
                if is_session_unknown {
                    return (500, b"invalid session".to_vec());
                }
                let is_allowed = cas.is_none_or(|cas| state.modify_index(&key) == cas)
                    && match &lock {
                        LockChange::Unchanged => true,
                        LockChange::Acquire(session) => state.can_lock(&key, session, now),
                        LockChange::Release(session) => state.holds_lock(&key, session),
                    };
                if is_allowed {
                    self.commit(Command::PutKey {
                        key,
                        value,
                        flags,
                        lock,
                    });
                }
                json(json!(is_allowed))
            }
            WriteRequest::CreateSession(session) => {
                let id = session.id.clone();
                self.renewed.insert(id.clone(), now);
                self.commit(Command::CreateSession(session));
                json(json!({"ID": id}))
            }
            WriteRequest::RenewSession(id) => match self.leader_state().session(&id) {
                Some(session) => {
                    self.renewed.insert(id, now);
                    json(json!([session]))
                }
                None => (404, format!("Session id '{id}' not found").into_bytes()),
            },
            WriteRequest::DestroySession(id) => {
                self.commit(Command::EndSession {
                    session: id,
                    at: now,
                });
                json(json!(true))
            }
            WriteRequest::UpdateCheck(check, status, output) => {
                if !self.leader_state().has_check(node, &check) {
                    return (404, format!("Unknown check ID \"{check}\"").into_bytes());
                }
                self.renewed.insert(format!("{node}/{check}"), now);
                self.commit(Command::SetCheckStatus {
                    node: node.to_owned(),
                    check,
                    status,
                    output,
                });
                (200, Vec::new())
            }
            WriteRequest::UpdateService { id, maintenance } => {
                let Some(name) = self
                    .leader_state()
                    .service_name(node, &id)
                    .map(str::to_owned)
                else {
                    return (404, format!("Unknown service ID \"{id}\"").into_bytes());
                };
                let check = format!("_service_maintenance:{id}");
                match maintenance {
                    None => {
                        self.commit(Command::Deregister {
                            node: node.to_owned(),
                            service: Some(id),
                        });
                    }
                    Some((true, reason)) => self.enter_maintenance(node, check, id, name, reason),
                    Some((false, _)) => self.commit(Command::DeregisterCheck {
                        node: node.to_owned(),
                        check,
                    }),
                }
                (200, Vec::new())
            }
            WriteRequest::NodeMaintenance(on, reason) => {
                let check = "_node_maintenance".to_owned();
                if on {
                    self.enter_maintenance(node, check, String::new(), String::new(), reason);
                } else {
                    self.commit(Command::DeregisterCheck {
                        node: node.to_owned(),
                        check,
                    });
                }
                (200, Vec::new())
            }
        }
    }

    fn enter_maintenance(
        &mut self,
        node: &str,
        id: String,
        service_id: String,
        service_name: String,
        reason: String,
    ) {
        let (name, status) = ("Maintenance Mode".to_owned(), "critical".to_owned());
        let check = Check {
            id,
            name,
            status,
            output: reason,
            service_id,
            service_name,
            ttl: None,
        };
        let address = "127.0.0.1".to_owned();
        let (node, meta) = (node.to_owned(), json!({}));
        self.commit(Command::Register {
            node,
            address,
            meta,
            service: None,
            checks: vec![check],
        });
    }
}
