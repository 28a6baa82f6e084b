//! Stand-in owners: each wants one task for a while, asks a placer, waits, hangs up at its deadline, and comes again
//! after refusals, failures and losses. One thread, real connections, every ask and answer recorded.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::JoinHandle;
use std::time::Duration;

use maplethread_checker::{Observation, Observer as RecordReader, Outcome};
use maplethread_engine::Timers;
use maplethread_reactor::{MAX_EVENTS_PER_WAIT, Poller, ReadOutcome, Readiness, TcpConnection};
use maplethread_wire::http::{self, Decoder, Limits, MessageReader, ReadResult, Role, Step};
use serde_json::{Value, json};

use crate::demand::Arrival;
use crate::read_times::ReadTimes;
use crate::run_context::RunContext;
use crate::scenario::Scenario;
use crate::seeded_rng::SeededRng;

/// An owner waits this much longer than its deadline before it holds that no answer came, µs: what the reading and
/// recording may be late by.
pub const ANSWER_SLACK_US: u64 = 150_000;

/// Owners have at least so many connections at a time, however few descriptors are left.
const MIN_CONNECTIONS: usize = 64;

/// A placer as the front layer sees it.
#[derive(Clone, Debug, Default)]
pub struct LoadBalancerEntry {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Where it listens; the last address while it is down.
    pub address: Option<SocketAddr>,
    /// Counts its lives.
    pub incarnation: u64,
    /// The front has noticed that it is down.
    pub is_down: bool,
}

/// What the day does to owners.
#[derive(Clone, Debug, Default)]
pub struct OwnerBehaviour {
    /// The placers.
    pub placers: Vec<LoadBalancerEntry>,
    /// This share of asks is hung up on before the deadline.
    pub disconnect_share: f64,
    /// No new tasks, and nobody comes again.
    pub is_closing: bool,
    /// All asks are over.
    pub is_closed: bool,
    /// Asks sent so far, and those answered `placed`.
    pub request_count: u64,
    /// See `asked`.
    pub placed_count: u64,
}

/// The thread of the owners.
pub struct Owners {
    behaviour: Arc<Mutex<OwnerBehaviour>>,
    thread: Option<JoinHandle<io::Result<Vec<u64>>>>,
}

impl Owners {
    /// Starts it.
    pub fn start(
        scenario: Arc<Scenario>,
        context: RunContext,
        arrivals: Vec<Arrival>,
        placers: Vec<LoadBalancerEntry>,
    ) -> io::Result<Owners> {
        let mood = Arc::new(Mutex::new(OwnerBehaviour {
            placers,
            ..OwnerBehaviour::default()
        }));
        let start = context.clock.now();
        let arrivals = arrivals.into_iter();
        let mut run = OwnerThread {
            poller: Poller::new()?,
            max_connections: max_connections(&scenario),
            scenario,
            context,
            arrivals,
            behaviour: mood.clone(),
            start,
            owners: Vec::new(),
            by_actor: HashMap::new(),
            connections: HashMap::new(),
            idle: BTreeMap::new(),
            event_connections: BTreeMap::new(),
            last_token: 1,
            timers: Timers::default(),
            read_times: ReadTimes::new(RecordReader::Clients, start),
            unanswered: 0,
            place_us: Vec::new(),
        };
        if let Some(first) = run.arrivals.as_slice().first() {
            run.timers.schedule(start + first.at_us, Timer::Arrival);
        }
        run.timers.schedule(start, Timer::WatchEvents);
        let thread = std::thread::Builder::new()
            .name("owners".into())
            .spawn(move || run.run())?;
        Ok(Owners {
            behaviour: mood,
            thread: Some(thread),
        })
    }

    /// What the day does to them.
    pub fn behaviour(&self) -> MutexGuard<'_, OwnerBehaviour> {
        self.behaviour
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Ends the thread; returns the times from asks to `placed`, µs.
    pub fn end(mut self) -> io::Result<Vec<u64>> {
        self.behaviour().is_closing = true;
        match self.thread.take().map(JoinHandle::join) {
            Some(Ok(result)) => result,
            _ => Err(io::Error::other("the owners' thread panicked")),
        }
    }
}

/// So many connections leave the hosts of this process the descriptors that they need, and an eighth of all for the rest.
fn max_connections(scenario: &Scenario) -> usize {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    let limit = limit.map_or(usize::MAX, |limit| {
        usize::try_from(limit).unwrap_or(usize::MAX)
    });
    let hosts = scenario.fleet.hosts * (1 + scenario.placers as usize);
    (limit - limit / 8)
        .saturating_sub(hosts)
        .max(MIN_CONNECTIONS)
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OwnerState {
    /// A timer leads to the next ask.
    BetweenRequests,
    /// It waits for an answer on this connection.
    AwaitingAnswer(u64),
    /// It runs, placed by this placer in this life.
    Placed(usize, u64),
    /// It is over.
    Finished,
}

struct Owner {
    service: Arc<str>,
    actor: Arc<str>,
    class: usize,
    shape: [f64; 2],
    wanted_until: u64,
    zone: String,
    state: OwnerState,
    request_count: u32,
    failure_count: u32,
    request: Arc<str>,
    requested_at: u64,
    /// What it draws itself.
    rng: SeededRng,
}

#[derive(Clone, Copy, Debug)]
enum Timer {
    /// The next new owner.
    Arrival,
    Request(usize),
    Deadline(usize, u32),
    EarlyDisconnect(usize, u32),
    CheckPlacement(usize),
    WatchEvents,
    CloseConnection(u64),
}

enum ConnectionUse {
    /// Answers to asks.
    Requests {
        reader: MessageReader,
        owner: Option<usize>,
        hung_up: bool,
    },
    /// Life-cycle events.
    Events { decoder: Decoder, line: Vec<u8> },
}

struct OwnerConnection {
    conn: TcpConnection,
    placer: usize,
    incarnation: u64,
    purpose: ConnectionUse,
}

struct OwnerThread {
    poller: Poller,
    scenario: Arc<Scenario>,
    context: RunContext,
    max_connections: usize,
    /// Those to come.
    arrivals: std::vec::IntoIter<Arrival>,
    behaviour: Arc<Mutex<OwnerBehaviour>>,
    start: u64,
    owners: Vec<Owner>,
    by_actor: HashMap<Arc<str>, usize>,
    connections: HashMap<u64, OwnerConnection>,
    /// Connections without an ask, by placer and life.
    idle: BTreeMap<(usize, u64), Vec<u64>>,
    event_connections: BTreeMap<usize, u64>,
    last_token: u64,
    timers: Timers<Timer>,
    read_times: ReadTimes,
    /// Asks without an answer.
    unanswered: usize,
    place_us: Vec<u64>,
}

impl OwnerThread {
    fn behaviour(&self) -> MutexGuard<'_, OwnerBehaviour> {
        self.behaviour
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn run(&mut self) -> io::Result<Vec<u64>> {
        let mut ready: Vec<Readiness> = Vec::new();
        loop {
            let now = self.context.clock.now();
            let next = self
                .timers
                .next_due_at()
                .unwrap_or(now + 50_000)
                .min(now + 50_000);
            ready.clear();
            self.poller.wait(
                Some(Duration::from_micros(next.saturating_sub(now))),
                &mut ready,
            )?;
            self.read_times
                .polled(now, ready.len() < MAX_EVENTS_PER_WAIT);
            for r in &ready {
                self.handle_ready(r);
            }
            let due_by = self.context.clock.now();
            while let Some(due) = self.timers.pop_due(due_by) {
                // Deadlines count from when their asks leave, and a thread that is late takes long over what is due.
                self.handle_timer(self.context.clock.now(), due);
            }
            if self.behaviour().is_closing && self.unanswered == 0 {
                self.behaviour().is_closed = true;
                return Ok(std::mem::take(&mut self.place_us));
            }
        }
    }

    fn handle_timer(&mut self, now: u64, due: Timer) {
        match due {
            Timer::Arrival => self.start_next_owner(now),
            Timer::Request(owner) => self.send_request(now, owner),
            Timer::Deadline(owner, ask) => {
                if self.owners[owner].request_count == ask {
                    self.read_pending_answer(owner);
                    self.disconnect(now, owner, false);
                }
            }
            Timer::EarlyDisconnect(owner, ask) => {
                if self.owners[owner].request_count == ask {
                    self.disconnect(now, owner, true);
                }
            }
            Timer::CheckPlacement(owner) => self.check_placement(now, owner),
            Timer::WatchEvents => self.watch_all_events(now),
            Timer::CloseConnection(token) => self.drop_connection(token),
        }
    }

    fn start_next_owner(&mut self, now: u64) {
        let Some(arrival) = self.arrivals.next() else {
            return;
        };
        if let Some(next) = self.arrivals.as_slice().first() {
            self.timers
                .schedule(self.start + next.at_us, Timer::Arrival);
        }
        if self.behaviour().is_closing {
            return;
        }
        let wanted = arrival.demand(&self.scenario, self.start);
        self.context
            .service_accounting()
            .add_demand(&arrival.actor, wanted);
        let number = self.owners.len();
        self.by_actor.insert(arrival.actor.clone(), number);
        self.owners.push(Owner {
            service: arrival.service,
            actor: arrival.actor,
            class: arrival.class,
            shape: arrival.resources,
            wanted_until: wanted.until_us,
            zone: self.scenario.fleet.zones[arrival.zone].clone(),
            state: OwnerState::BetweenRequests,
            request_count: 0,
            failure_count: 0,
            request: "".into(),
            requested_at: now,
            rng: SeededRng::new(arrival.seed, 10),
        });
        self.send_request(now, number);
    }

    /// The placer that the front sends an ask to.
    fn choose_placer(&mut self, owner: usize) -> Option<(usize, SocketAddr, u64)> {
        let mood = self.behaviour.clone();
        let mood = mood
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        let o = &mut self.owners[owner];
        let up = |f: &&(usize, &LoadBalancerEntry)| !f.1.is_down && f.1.address.is_some();
        let all: Vec<(usize, &LoadBalancerEntry)> = mood.placers.iter().enumerate().collect();
        let mut some: Vec<&(usize, &LoadBalancerEntry)> = all
            .iter()
            .filter(up)
            .filter(|f| f.1.zone == o.zone)
            .collect();
        if some.is_empty() {
            some = all.iter().filter(up).collect();
        }
        let &&(number, front) = some.get(o.rng.index_below(some.len().max(1)))?;
        Some((number, front.address?, front.incarnation))
    }

    fn schedule_retry(&mut self, now: u64, owner: usize, after_ms: [f64; 2]) {
        let o = &mut self.owners[owner];
        o.state = OwnerState::BetweenRequests;
        let factor = 1.0 + 0.5 * f64::from(o.failure_count.min(6).saturating_sub(2));
        let wait = o.rng.between(after_ms) * factor * 1000.0;
        self.timers
            .schedule(now + wait as u64, Timer::Request(owner));
    }

    fn send_request(&mut self, now: u64, owner: usize) {
        let closing = self.behaviour().is_closing;
        let o = &self.owners[owner];
        if o.state != OwnerState::BetweenRequests {
            return;
        }
        if closing || now + 300_000 >= o.wanted_until {
            self.owners[owner].state = OwnerState::Finished;
            return;
        }
        let Some((placer, address, life)) = self.choose_placer(owner) else {
            self.schedule_retry(now, owner, [100.0, 300.0]);
            return;
        };
        let token = match self.idle_or_new_connection(placer, address, life) {
            Ok(token) => token,
            Err(_) => {
                self.schedule_retry(now, owner, [100.0, 300.0]);
                return;
            }
        };
        let class = &self.scenario.classes[self.owners[owner].class];
        let deadline_ms = class.deadline_ms;
        let o = &mut self.owners[owner];
        o.request_count += 1;
        o.state = OwnerState::AwaitingAnswer(token);
        o.requested_at = now;
        o.request = format!("{}.{}", o.actor, o.request_count).into();
        let body = json!({
            "service": o.service, "actor": o.actor, "class": class.rules.name,
            "cores": o.shape[0], "memory_gib": o.shape[1], "budget_ms": deadline_ms,
            "life_ms": (o.wanted_until - now) / 1000, "again": o.request_count > 1,
        });
        let (request, asks) = (o.request.clone(), o.request_count);
        let Some(link) = self.connections.get_mut(&token) else {
            return;
        };
        link.conn.poll_connected();
        let fields = [("Host", "placer"), ("X-Request-Id", &*request)];
        http::write_request(
            link.conn.write_buffer(),
            "POST",
            "/v1/actors",
            &fields,
            body.to_string().as_bytes(),
        );
        link.purpose = ConnectionUse::Requests {
            reader: MessageReader::new(Role::Responses, Limits::default()),
            owner: Some(owner),
            hung_up: false,
        };
        let name: Arc<str> = self.behaviour().placers[placer].name.as_str().into();
        self.context.record(Observation::PlacementRequested {
            request,
            placer: name,
            class: class.rules.name.as_str().into(),
            budget_us: deadline_ms * 1000,
        });
        self.unanswered += 1;
        self.behaviour().request_count += 1;
        self.timers.schedule(
            now + deadline_ms * 1000 + ANSWER_SLACK_US,
            Timer::Deadline(owner, asks),
        );
        let early = self.behaviour().disconnect_share;
        let dice = &mut self.owners[owner].rng;
        if dice.random_bool(early) {
            let share = dice.between([0.02, 0.9]);
            self.timers.schedule(
                now + (deadline_ms as f64 * 1000.0 * share) as u64,
                Timer::EarlyDisconnect(owner, asks),
            );
        }
        let poller = &self.poller;
        let broken = self
            .connections
            .get_mut(&token)
            .is_some_and(|l| l.conn.flush(poller).is_err());
        if broken {
            self.handle_connection_failure(token);
        }
    }

    /// A connection without an ask. Where there are as many as may be, none: the owner tries again later.
    fn idle_or_new_connection(
        &mut self,
        placer: usize,
        address: SocketAddr,
        life: u64,
    ) -> io::Result<u64> {
        if let Some(token) = self.idle.get_mut(&(placer, life)).and_then(Vec::pop) {
            return Ok(token);
        }
        if self.connections.len() >= self.max_connections {
            return Err(io::Error::other(
                "as many connections as this process has descriptors for",
            ));
        }
        self.connect(placer, address, life, |reader| ConnectionUse::Requests {
            reader,
            owner: None,
            hung_up: false,
        })
    }

    fn connect(
        &mut self,
        placer: usize,
        address: SocketAddr,
        life: u64,
        made: impl FnOnce(MessageReader) -> ConnectionUse,
    ) -> io::Result<u64> {
        self.last_token += 1;
        let token = self.last_token;
        let conn = TcpConnection::connect(address, token, &self.poller)?;
        let made = made(MessageReader::new(Role::Responses, Limits::default()));
        self.connections.insert(
            token,
            OwnerConnection {
                conn,
                placer,
                incarnation: life,
                purpose: made,
            },
        );
        Ok(token)
    }

    fn drop_connection(&mut self, token: u64) {
        if let Some(link) = self.connections.remove(&token)
            && let Some(idle) = self.idle.get_mut(&(link.placer, link.incarnation))
        {
            idle.retain(|&t| t != token);
        }
    }

    /// Reads what has come for an owner: an answer that lies unread, since this thread is late, has been given.
    fn read_pending_answer(&mut self, owner: usize) {
        let OwnerState::AwaitingAnswer(token) = self.owners[owner].state else {
            return;
        };
        self.handle_ready(&Readiness {
            token,
            is_readable: true,
            is_writable: false,
            is_closed: false,
        });
    }

    /// Gives up on an ask: by closing the connection at once, by an explicit word, or a while later, to see that
    /// nothing is said after the deadline.
    fn disconnect(&mut self, now: u64, owner: usize, early: bool) {
        let OwnerState::AwaitingAnswer(token) = self.owners[owner].state else {
            return;
        };
        let request = self.owners[owner].request.clone();
        self.context.record(Observation::ClientDisconnected {
            request: request.clone(),
        });
        self.unanswered -= 1;
        if let Some(OwnerConnection {
            purpose: ConnectionUse::Requests { owner, hung_up, .. },
            ..
        }) = self.connections.get_mut(&token)
        {
            (*owner, *hung_up) = (None, true);
        }
        let odd = self.owners[owner].rng.random_bool(0.5);
        if early && odd {
            self.send_cancellation(token, &request);
            self.timers
                .schedule(now + 300_000, Timer::CloseConnection(token));
        } else if !early && odd {
            // Left open, to see whether something still comes.
            if let Some(OwnerConnection {
                purpose:
                    ConnectionUse::Requests {
                        owner: waiting,
                        hung_up,
                        ..
                    },
                ..
            }) = self.connections.get_mut(&token)
            {
                (*waiting, *hung_up) = (Some(owner), true);
            }
            self.timers
                .schedule(now + 300_000, Timer::CloseConnection(token));
        } else {
            self.drop_connection(token);
        }
        self.handle_unknown_outcome(now, owner);
    }

    fn send_cancellation(&mut self, token: u64, request: &str) {
        let Some((placer, life)) = self
            .connections
            .get(&token)
            .map(|l| (l.placer, l.incarnation))
        else {
            return;
        };
        let Some(address) = self.behaviour().placers[placer].address else {
            return;
        };
        if let Ok(other) = self.idle_or_new_connection(placer, address, life)
            && let Some(link) = self.connections.get_mut(&other)
        {
            let target = format!("/v1/asks/{request}");
            http::write_request(
                link.conn.write_buffer(),
                "DELETE",
                &target,
                &[("Host", "placer")],
                b"",
            );
            let _ = link.conn.flush(&self.poller);
        }
    }

    /// An ask ended without a word that it did not run.
    fn handle_unknown_outcome(&mut self, now: u64, owner: usize) {
        let o = &mut self.owners[owner];
        o.failure_count += 1;
        let careful = self.scenario.must_not_run_twice(o.class);
        let settle = self.scenario.demand.settle_ms as f64;
        let again = self.scenario.demand.retry_after_ms;
        if careful {
            self.schedule_retry(now, owner, [settle, settle * 1.2])
        } else {
            self.schedule_retry(now, owner, again)
        }
    }

    fn check_placement(&mut self, now: u64, owner: usize) {
        let OwnerState::Placed(placer, life) = self.owners[owner].state else {
            return;
        };
        if now >= self.owners[owner].wanted_until {
            self.owners[owner].state = OwnerState::Finished;
            return;
        }
        let same = {
            let mood = self.behaviour();
            mood.placers[placer].incarnation == life && !mood.placers[placer].is_down
        };
        if !same
            && !self
                .context
                .service_accounting()
                .is_running(&self.owners[owner].actor)
        {
            // Its placer is not the one that it was, and the task runs nowhere.
            let again = self.scenario.demand.retry_after_ms;
            self.schedule_retry(now, owner, again);
            return;
        }
        self.timers
            .schedule(now + 2_000_000, Timer::CheckPlacement(owner));
    }

    fn handle_connection_failure(&mut self, token: u64) {
        let now = self.context.clock.now();
        let Some(link) = self.connections.remove(&token) else {
            return;
        };
        match link.purpose {
            ConnectionUse::Requests {
                owner: Some(owner),
                hung_up: false,
                ..
            } => {
                let request = self.owners[owner].request.clone();
                self.context
                    .record(Observation::ClientConnectionLost { request });
                self.unanswered -= 1;
                self.handle_unknown_outcome(now, owner);
            }
            ConnectionUse::Requests { .. } => {
                if let Some(idle) = self.idle.get_mut(&(link.placer, link.incarnation)) {
                    idle.retain(|&t| t != token);
                }
            }
            ConnectionUse::Events { .. } => {
                self.event_connections.remove(&link.placer);
            }
        }
    }

    fn handle_ready(&mut self, r: &Readiness) {
        let token = r.token;
        let poller = &self.poller;
        let Some(link) = self.connections.get_mut(&token) else {
            return;
        };
        if link.conn.is_connecting() {
            if !r.is_writable && !r.is_closed {
                return;
            }
            if link.conn.finish_connect().is_err() {
                self.handle_connection_failure(token);
                return;
            }
        }
        if link.conn.flush(poller).is_err() {
            self.handle_connection_failure(token);
            return;
        }
        if !r.is_readable {
            return;
        }
        let outcome = link.conn.read_available(256 << 10, 512 << 10);
        let bad = match &link.purpose {
            ConnectionUse::Requests { .. } => self.read_answers(token),
            ConnectionUse::Events { .. } => self.read_events(token),
        };
        if bad || matches!(outcome, ReadOutcome::Closed | ReadOutcome::Failed) {
            self.handle_connection_failure(token);
        }
    }

    /// Reads answers; whether the connection is of no more use.
    fn read_answers(&mut self, token: u64) -> bool {
        loop {
            let Some(link) = self.connections.get_mut(&token) else {
                return false;
            };
            let ConnectionUse::Requests {
                reader,
                owner,
                hung_up,
            } = &mut link.purpose
            else {
                return true;
            };
            let message = match reader.read(link.conn.unread()) {
                Ok((ReadResult::Message(message), used)) => {
                    link.conn.consume(used);
                    message
                }
                Ok((_, used)) => {
                    link.conn.consume(used);
                    return false;
                }
                Err(_) => return true,
            };
            let (owner, hung_up) = (owner.take(), *hung_up);
            let keep = message.head.is_keep_alive() && !hung_up;
            let (placer, life) = (link.placer, link.incarnation);
            if let Some(owner) = owner {
                self.handle_answer(
                    owner,
                    placer,
                    life,
                    hung_up,
                    message.head.status(),
                    &message.body,
                );
            }
            if !keep {
                self.drop_connection(token);
                return false;
            }
            self.idle.entry((placer, life)).or_default().push(token);
        }
    }

    fn handle_answer(
        &mut self,
        owner: usize,
        placer: usize,
        life: u64,
        hung_up: bool,
        status: u16,
        body: &[u8],
    ) {
        let now = self.context.clock.now();
        let body: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        let text = |key: &str| {
            body.get(key)
                .and_then(Value::as_str)
                .unwrap_or("")
                .to_owned()
        };
        let outcome = match (status, text("outcome").as_str()) {
            (200, "placed") => Outcome::Placed(text("host")),
            (200, "refused") => Outcome::Rejected(text("reason")),
            (200, "failed") => Outcome::Failed,
            _ => Outcome::NotAccepted(status),
        };
        let request: Arc<str> = match body.get("request").and_then(Value::as_str) {
            Some(request) => request.into(),
            // A problem told to an owner that has gone on since is no answer to what it asks now.
            None if hung_up => return,
            None => self.owners[owner].request.clone(),
        };
        if let Some(late) = self.read_times.delay_to_report(now) {
            self.context.record(late);
        }
        self.context.record(Observation::Answered {
            request,
            outcome: outcome.clone(),
        });
        if hung_up {
            return;
        }
        self.unanswered -= 1;
        let demand = self.scenario.demand.clone();
        match outcome {
            Outcome::Placed(_) => {
                self.place_us.push(now - self.owners[owner].requested_at);
                self.behaviour().placed_count += 1;
                let o = &mut self.owners[owner];
                (o.state, o.failure_count) = (OwnerState::Placed(placer, life), 0);
                self.timers
                    .schedule(now + 2_000_000, Timer::CheckPlacement(owner));
            }
            Outcome::Rejected(_) => {
                self.owners[owner].failure_count += 1;
                let advice = body
                    .get("come_back_ms")
                    .and_then(Value::as_f64)
                    .unwrap_or(0.0);
                self.schedule_retry(
                    now,
                    owner,
                    [
                        demand.retry_after_ms[0].max(advice),
                        demand.retry_after_ms[1].max(advice),
                    ],
                );
            }
            Outcome::Failed => self.handle_unknown_outcome(now, owner),
            Outcome::NotAccepted(_) => {
                self.owners[owner].failure_count += 1;
                self.schedule_retry(now, owner, demand.retry_after_ms);
            }
        }
    }

    /// Follows the life-cycle events of each placer that it does not follow yet.
    fn watch_all_events(&mut self, now: u64) {
        self.timers.schedule(now + 200_000, Timer::WatchEvents);
        let placers = self.behaviour().placers.clone();
        for (number, front) in placers.iter().enumerate() {
            let Some(address) = front.address.filter(|_| !front.is_down) else {
                continue;
            };
            if self.event_connections.contains_key(&number) {
                continue;
            }
            let made = |_| ConnectionUse::Events {
                decoder: Decoder::new(
                    Role::Responses,
                    Limits {
                        max_body_bytes: usize::MAX,
                        ..Limits::default()
                    },
                ),
                line: Vec::new(),
            };
            if let Ok(token) = self.connect(number, address, front.incarnation, made)
                && let Some(link) = self.connections.get_mut(&token)
            {
                http::write_request(
                    link.conn.write_buffer(),
                    "GET",
                    "/v1/events",
                    &[("Host", "placer")],
                    b"",
                );
                self.event_connections.insert(number, token);
            }
        }
    }

    fn read_events(&mut self, token: u64) -> bool {
        let mut lines: Vec<Value> = Vec::new();
        let Some(link) = self.connections.get_mut(&token) else {
            return false;
        };
        let ConnectionUse::Events { decoder, line } = &mut link.purpose else {
            return true;
        };
        loop {
            match decoder.step(link.conn.unread()) {
                Ok((Step::NeedMore, used)) => {
                    link.conn.consume(used);
                    break;
                }
                Ok((Step::Head(head), used)) => {
                    link.conn.consume(used);
                    if head.status() != 200 {
                        return true;
                    }
                }
                Ok((Step::Data(data), used)) => {
                    link.conn.consume(used);
                    line.extend_from_slice(&data);
                    while let Some(end) = line.iter().position(|&b| b == b'\n') {
                        let one: Vec<u8> = line.drain(..=end).collect();
                        lines.extend(serde_json::from_slice::<Value>(&one).ok());
                    }
                }
                Ok((Step::MessageEnd, _)) | Err(_) => return true,
            }
        }
        let now = self.context.clock.now();
        for event in lines {
            self.handle_event(now, &event);
        }
        false
    }

    fn handle_event(&mut self, now: u64, event: &Value) {
        let text = |key: &str| event.get(key).and_then(Value::as_str).unwrap_or("");
        let Some(&owner) = self.by_actor.get(text("actor")) else {
            return;
        };
        if !matches!(self.owners[owner].state, OwnerState::Placed(..)) {
            return;
        }
        let again = self.scenario.demand.retry_after_ms;
        match text("event") {
            "ended" if text("reason").is_empty() => self.owners[owner].state = OwnerState::Finished,
            "ended" | "evicted" => {
                self.owners[owner].failure_count += 1;
                self.schedule_retry(now, owner, again);
            }
            "lost" if self.scenario.must_not_run_twice(self.owners[owner].class) => {
                let settle = self.scenario.demand.settle_ms as f64;
                self.schedule_retry(now, owner, [settle, settle * 1.1]);
            }
            "lost" | "moved" | "stopped" => self.schedule_retry(now, owner, [50.0, 300.0]),
            _ => {}
        }
    }
}
