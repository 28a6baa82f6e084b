//! Stand-in owners: each wants one task for a while, asks a placer, waits, hangs up at its deadline, and comes again
//! after refusals, failures and losses. One thread, real connections, every ask and answer recorded.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::JoinHandle;
use std::time::Duration;

use maplethread_engine::Timers;
use maplethread_judge::{Outcome, Reader as RecordReader, Seen};
use maplethread_reactor::{Conn, MAX_READY, Poller, ReadOutcome, Readiness};
use maplethread_wire::http::{self, Decoder, Found, Limits, Reader, Role, Step};
use serde_json::{Value, json};

use crate::demand::Arrival;
use crate::looks::Looks;
use crate::scenario::Scenario;
use crate::world::{Dice, World};

/// An owner waits this much longer than its deadline before it holds that no answer came, µs: what the reading and
/// recording may be late by.
pub const SLACK: u64 = 150_000;

/// Owners have at least so many connections at a time, however few descriptors are left.
const MIN_CONNECTIONS: usize = 64;

/// A placer as the front layer sees it.
#[derive(Clone, Debug, Default)]
pub struct Front {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Where it listens; the last address while it is down.
    pub address: Option<SocketAddr>,
    /// Counts its lives.
    pub life: u64,
    /// The front has noticed that it is down.
    pub down: bool,
}

/// What the day does to owners.
#[derive(Clone, Debug, Default)]
pub struct Mood {
    /// The placers.
    pub placers: Vec<Front>,
    /// This share of asks is hung up on before the deadline.
    pub hang_ups: f64,
    /// No new tasks, and nobody comes again.
    pub closing: bool,
    /// All asks are over.
    pub closed: bool,
    /// Asks sent so far, and those answered `placed`.
    pub asked: u64,
    /// See `asked`.
    pub placed: u64,
}

/// The thread of the owners.
pub struct Owners {
    mood: Arc<Mutex<Mood>>,
    thread: Option<JoinHandle<io::Result<Vec<u64>>>>,
}

impl Owners {
    /// Starts it.
    pub fn start(
        scenario: Arc<Scenario>,
        world: World,
        arrivals: Vec<Arrival>,
        placers: Vec<Front>,
    ) -> io::Result<Owners> {
        let mood = Arc::new(Mutex::new(Mood {
            placers,
            ..Mood::default()
        }));
        let start = world.clock.now();
        let arrivals = arrivals.into_iter();
        let mut run = Run {
            poller: Poller::new()?,
            max_connections: max_connections(&scenario),
            scenario,
            world,
            arrivals,
            mood: mood.clone(),
            start,
            owners: Vec::new(),
            by_actor: HashMap::new(),
            conns: HashMap::new(),
            idle: BTreeMap::new(),
            followers: BTreeMap::new(),
            next: 1,
            timers: Timers::default(),
            looks: Looks::new(RecordReader::Clients, start),
            open: 0,
            place_us: Vec::new(),
        };
        if let Some(first) = run.arrivals.as_slice().first() {
            run.timers.set(start + first.at, Due::Arrive);
        }
        run.timers.set(start, Due::Follow);
        let thread = std::thread::Builder::new()
            .name("owners".into())
            .spawn(move || run.run())?;
        Ok(Owners {
            mood,
            thread: Some(thread),
        })
    }

    /// What the day does to them.
    pub fn mood(&self) -> MutexGuard<'_, Mood> {
        self.mood
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Ends the thread; returns the times from asks to `placed`, µs.
    pub fn end(mut self) -> io::Result<Vec<u64>> {
        self.mood().closing = true;
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
enum State {
    /// A timer leads to the next ask.
    Between,
    /// It waits for an answer on this connection.
    Asking(u64),
    /// It runs, placed by this placer in this life.
    Held(usize, u64),
    /// It is over.
    Over,
}

struct Owner {
    service: Arc<str>,
    actor: Arc<str>,
    class: usize,
    shape: [f64; 2],
    until: u64,
    zone: String,
    state: State,
    asks: u32,
    failures: u32,
    request: Arc<str>,
    asked: u64,
    /// What it draws itself.
    dice: Dice,
}

#[derive(Clone, Copy, Debug)]
enum Due {
    /// The next new owner.
    Arrive,
    Ask(usize),
    Deadline(usize, u32),
    EarlyHangUp(usize, u32),
    Check(usize),
    Follow,
    Close(u64),
}

enum Use {
    /// Answers to asks.
    Asks {
        reader: Reader,
        owner: Option<usize>,
        hung_up: bool,
    },
    /// Life-cycle events.
    Follows { decoder: Decoder, line: Vec<u8> },
}

struct Link {
    conn: Conn,
    placer: usize,
    life: u64,
    made: Use,
}

struct Run {
    poller: Poller,
    scenario: Arc<Scenario>,
    world: World,
    max_connections: usize,
    /// Those to come.
    arrivals: std::vec::IntoIter<Arrival>,
    mood: Arc<Mutex<Mood>>,
    start: u64,
    owners: Vec<Owner>,
    by_actor: HashMap<Arc<str>, usize>,
    conns: HashMap<u64, Link>,
    /// Connections without an ask, by placer and life.
    idle: BTreeMap<(usize, u64), Vec<u64>>,
    followers: BTreeMap<usize, u64>,
    next: u64,
    timers: Timers<Due>,
    looks: Looks,
    /// Asks without an answer.
    open: usize,
    place_us: Vec<u64>,
}

impl Run {
    fn mood(&self) -> MutexGuard<'_, Mood> {
        self.mood
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn run(&mut self) -> io::Result<Vec<u64>> {
        let mut ready: Vec<Readiness> = Vec::new();
        loop {
            let now = self.world.clock.now();
            let next = self.timers.next().unwrap_or(now + 50_000).min(now + 50_000);
            ready.clear();
            self.poller.wait(
                Some(Duration::from_micros(next.saturating_sub(now))),
                &mut ready,
            )?;
            self.looks.looked(now, ready.len() < MAX_READY);
            for r in &ready {
                self.link_ready(r);
            }
            let due_by = self.world.clock.now();
            while let Some(due) = self.timers.due(due_by) {
                // Deadlines count from when their asks leave, and a thread that is late takes long over what is due.
                self.due(self.world.clock.now(), due);
            }
            if self.mood().closing && self.open == 0 {
                self.mood().closed = true;
                return Ok(std::mem::take(&mut self.place_us));
            }
        }
    }

    fn due(&mut self, now: u64, due: Due) {
        match due {
            Due::Arrive => self.arrive(now),
            Due::Ask(owner) => self.ask(now, owner),
            Due::Deadline(owner, ask) => {
                if self.owners[owner].asks == ask {
                    self.read_first(owner);
                    self.hang_up(now, owner, false);
                }
            }
            Due::EarlyHangUp(owner, ask) => {
                if self.owners[owner].asks == ask {
                    self.hang_up(now, owner, true);
                }
            }
            Due::Check(owner) => self.check(now, owner),
            Due::Follow => self.follow_all(now),
            Due::Close(token) => self.drop_link(token),
        }
    }

    fn arrive(&mut self, now: u64) {
        let Some(arrival) = self.arrivals.next() else {
            return;
        };
        if let Some(next) = self.arrivals.as_slice().first() {
            self.timers.set(self.start + next.at, Due::Arrive);
        }
        if self.mood().closing {
            return;
        }
        let wanted = arrival.wanted(&self.scenario, self.start);
        self.world.ledger().want(&arrival.actor, wanted);
        let number = self.owners.len();
        self.by_actor.insert(arrival.actor.clone(), number);
        self.owners.push(Owner {
            service: arrival.service,
            actor: arrival.actor,
            class: arrival.class,
            shape: arrival.shape,
            until: wanted.until,
            zone: self.scenario.fleet.zones[arrival.zone].clone(),
            state: State::Between,
            asks: 0,
            failures: 0,
            request: "".into(),
            asked: now,
            dice: Dice::new(arrival.seed, 10),
        });
        self.ask(now, number);
    }

    /// The placer that the front sends an ask to.
    fn choose(&mut self, owner: usize) -> Option<(usize, SocketAddr, u64)> {
        let mood = self.mood.clone();
        let mood = mood
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        let o = &mut self.owners[owner];
        let up = |f: &&(usize, &Front)| !f.1.down && f.1.address.is_some();
        let all: Vec<(usize, &Front)> = mood.placers.iter().enumerate().collect();
        let mut some: Vec<&(usize, &Front)> = all
            .iter()
            .filter(up)
            .filter(|f| f.1.zone == o.zone)
            .collect();
        if some.is_empty() {
            some = all.iter().filter(up).collect();
        }
        let &&(number, front) = some.get(o.dice.below(some.len().max(1)))?;
        Some((number, front.address?, front.life))
    }

    fn again(&mut self, now: u64, owner: usize, after_ms: [f64; 2]) {
        let o = &mut self.owners[owner];
        o.state = State::Between;
        let factor = 1.0 + 0.5 * f64::from(o.failures.min(6).saturating_sub(2));
        let wait = o.dice.between(after_ms) * factor * 1000.0;
        self.timers.set(now + wait as u64, Due::Ask(owner));
    }

    fn ask(&mut self, now: u64, owner: usize) {
        let closing = self.mood().closing;
        let o = &self.owners[owner];
        if o.state != State::Between {
            return;
        }
        if closing || now + 300_000 >= o.until {
            self.owners[owner].state = State::Over;
            return;
        }
        let Some((placer, address, life)) = self.choose(owner) else {
            self.again(now, owner, [100.0, 300.0]);
            return;
        };
        let token = match self.connection(placer, address, life) {
            Ok(token) => token,
            Err(_) => {
                self.again(now, owner, [100.0, 300.0]);
                return;
            }
        };
        let class = &self.scenario.class[self.owners[owner].class];
        let deadline_ms = class.deadline_ms;
        let o = &mut self.owners[owner];
        o.asks += 1;
        o.state = State::Asking(token);
        o.asked = now;
        o.request = format!("{}.{}", o.actor, o.asks).into();
        let body = json!({
            "service": o.service, "actor": o.actor, "class": class.rules.name,
            "cores": o.shape[0], "memory_gib": o.shape[1], "budget_ms": deadline_ms,
            "life_ms": (o.until - now) / 1000, "again": o.asks > 1,
        });
        let (request, asks) = (o.request.clone(), o.asks);
        let Some(link) = self.conns.get_mut(&token) else {
            return;
        };
        link.conn.try_connected();
        let fields = [("Host", "placer"), ("X-Request-Id", &*request)];
        http::write_request(
            link.conn.out(),
            "POST",
            "/v1/actors",
            &fields,
            body.to_string().as_bytes(),
        );
        link.made = Use::Asks {
            reader: Reader::new(Role::Responses, Limits::default()),
            owner: Some(owner),
            hung_up: false,
        };
        let name: Arc<str> = self.mood().placers[placer].name.as_str().into();
        self.world.see(Seen::Asked {
            request,
            placer: name,
            class: class.rules.name.as_str().into(),
            budget_us: deadline_ms * 1000,
        });
        self.open += 1;
        self.mood().asked += 1;
        self.timers
            .set(now + deadline_ms * 1000 + SLACK, Due::Deadline(owner, asks));
        let early = self.mood().hang_ups;
        let dice = &mut self.owners[owner].dice;
        if dice.chance(early) {
            let share = dice.between([0.02, 0.9]);
            self.timers.set(
                now + (deadline_ms as f64 * 1000.0 * share) as u64,
                Due::EarlyHangUp(owner, asks),
            );
        }
        let poller = &self.poller;
        let broken = self
            .conns
            .get_mut(&token)
            .is_some_and(|l| l.conn.flush(poller).is_err());
        if broken {
            self.broken(token);
        }
    }

    /// A connection without an ask. Where there are as many as may be, none: the owner tries again later.
    fn connection(&mut self, placer: usize, address: SocketAddr, life: u64) -> io::Result<u64> {
        if let Some(token) = self.idle.get_mut(&(placer, life)).and_then(Vec::pop) {
            return Ok(token);
        }
        if self.conns.len() >= self.max_connections {
            return Err(io::Error::other(
                "as many connections as this process has descriptors for",
            ));
        }
        self.connect(placer, address, life, |reader| Use::Asks {
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
        made: impl FnOnce(Reader) -> Use,
    ) -> io::Result<u64> {
        self.next += 1;
        let token = self.next;
        let conn = Conn::connect(address, token, &self.poller)?;
        let made = made(Reader::new(Role::Responses, Limits::default()));
        self.conns.insert(
            token,
            Link {
                conn,
                placer,
                life,
                made,
            },
        );
        Ok(token)
    }

    fn drop_link(&mut self, token: u64) {
        if let Some(link) = self.conns.remove(&token)
            && let Some(idle) = self.idle.get_mut(&(link.placer, link.life))
        {
            idle.retain(|&t| t != token);
        }
    }

    /// Reads what has come for an owner: an answer that lies unread, since this thread is late, has been given.
    fn read_first(&mut self, owner: usize) {
        let State::Asking(token) = self.owners[owner].state else {
            return;
        };
        self.link_ready(&Readiness {
            token,
            read: true,
            write: false,
            closed: false,
        });
    }

    /// Gives up on an ask: by closing the connection at once, by an explicit word, or a while later, to see that
    /// nothing is said after the deadline.
    fn hang_up(&mut self, now: u64, owner: usize, early: bool) {
        let State::Asking(token) = self.owners[owner].state else {
            return;
        };
        let request = self.owners[owner].request.clone();
        self.world.see(Seen::HungUp {
            request: request.clone(),
        });
        self.open -= 1;
        if let Some(Link {
            made: Use::Asks { owner, hung_up, .. },
            ..
        }) = self.conns.get_mut(&token)
        {
            (*owner, *hung_up) = (None, true);
        }
        let odd = self.owners[owner].dice.chance(0.5);
        if early && odd {
            self.cancel(token, &request);
            self.timers.set(now + 300_000, Due::Close(token));
        } else if !early && odd {
            // Left open, to see whether something still comes.
            if let Some(Link {
                made:
                    Use::Asks {
                        owner: waiting,
                        hung_up,
                        ..
                    },
                ..
            }) = self.conns.get_mut(&token)
            {
                (*waiting, *hung_up) = (Some(owner), true);
            }
            self.timers.set(now + 300_000, Due::Close(token));
        } else {
            self.drop_link(token);
        }
        self.unknown(now, owner);
    }

    fn cancel(&mut self, token: u64, request: &str) {
        let Some((placer, life)) = self.conns.get(&token).map(|l| (l.placer, l.life)) else {
            return;
        };
        let Some(address) = self.mood().placers[placer].address else {
            return;
        };
        if let Ok(other) = self.connection(placer, address, life)
            && let Some(link) = self.conns.get_mut(&other)
        {
            let target = format!("/v1/asks/{request}");
            http::write_request(
                link.conn.out(),
                "DELETE",
                &target,
                &[("Host", "placer")],
                b"",
            );
            let _ = link.conn.flush(&self.poller);
        }
    }

    /// An ask ended without a word that it did not run.
    fn unknown(&mut self, now: u64, owner: usize) {
        let o = &mut self.owners[owner];
        o.failures += 1;
        let careful = self.scenario.careful(o.class);
        let settle = self.scenario.demand.settle_ms as f64;
        let again = self.scenario.demand.again_ms;
        if careful {
            self.again(now, owner, [settle, settle * 1.2])
        } else {
            self.again(now, owner, again)
        }
    }

    fn check(&mut self, now: u64, owner: usize) {
        let State::Held(placer, life) = self.owners[owner].state else {
            return;
        };
        if now >= self.owners[owner].until {
            self.owners[owner].state = State::Over;
            return;
        }
        let same = {
            let mood = self.mood();
            mood.placers[placer].life == life && !mood.placers[placer].down
        };
        if !same && !self.world.ledger().runs(&self.owners[owner].actor) {
            // Its placer is not the one that it was, and the task runs nowhere.
            let again = self.scenario.demand.again_ms;
            self.again(now, owner, again);
            return;
        }
        self.timers.set(now + 2_000_000, Due::Check(owner));
    }

    fn broken(&mut self, token: u64) {
        let now = self.world.clock.now();
        let Some(link) = self.conns.remove(&token) else {
            return;
        };
        match link.made {
            Use::Asks {
                owner: Some(owner),
                hung_up: false,
                ..
            } => {
                let request = self.owners[owner].request.clone();
                self.world.see(Seen::Cut { request });
                self.open -= 1;
                self.unknown(now, owner);
            }
            Use::Asks { .. } => {
                if let Some(idle) = self.idle.get_mut(&(link.placer, link.life)) {
                    idle.retain(|&t| t != token);
                }
            }
            Use::Follows { .. } => {
                self.followers.remove(&link.placer);
            }
        }
    }

    fn link_ready(&mut self, r: &Readiness) {
        let token = r.token;
        let poller = &self.poller;
        let Some(link) = self.conns.get_mut(&token) else {
            return;
        };
        if link.conn.connecting() {
            if !r.write && !r.closed {
                return;
            }
            if link.conn.connected().is_err() {
                self.broken(token);
                return;
            }
        }
        if link.conn.flush(poller).is_err() {
            self.broken(token);
            return;
        }
        if !r.read {
            return;
        }
        let outcome = link.conn.fill(256 << 10, 512 << 10);
        let bad = match &link.made {
            Use::Asks { .. } => self.answers(token),
            Use::Follows { .. } => self.events(token),
        };
        if bad || matches!(outcome, ReadOutcome::Closed | ReadOutcome::Broken) {
            self.broken(token);
        }
    }

    /// Reads answers; whether the connection is of no more use.
    fn answers(&mut self, token: u64) -> bool {
        loop {
            let Some(link) = self.conns.get_mut(&token) else {
                return false;
            };
            let Use::Asks {
                reader,
                owner,
                hung_up,
            } = &mut link.made
            else {
                return true;
            };
            let message = match reader.read(link.conn.unread()) {
                Ok((Found::Message(message), used)) => {
                    link.conn.take(used);
                    message
                }
                Ok((_, used)) => {
                    link.conn.take(used);
                    return false;
                }
                Err(_) => return true,
            };
            let (owner, hung_up) = (owner.take(), *hung_up);
            let keep = message.head.keep_alive() && !hung_up;
            let (placer, life) = (link.placer, link.life);
            if let Some(owner) = owner {
                self.answer(
                    owner,
                    placer,
                    life,
                    hung_up,
                    message.head.status(),
                    &message.body,
                );
            }
            if !keep {
                self.drop_link(token);
                return false;
            }
            self.idle.entry((placer, life)).or_default().push(token);
        }
    }

    fn answer(
        &mut self,
        owner: usize,
        placer: usize,
        life: u64,
        hung_up: bool,
        status: u16,
        body: &[u8],
    ) {
        let now = self.world.clock.now();
        let body: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        let text = |key: &str| {
            body.get(key)
                .and_then(Value::as_str)
                .unwrap_or("")
                .to_owned()
        };
        let outcome = match (status, text("outcome").as_str()) {
            (200, "placed") => Outcome::Placed(text("host")),
            (200, "refused") => Outcome::Refused(text("reason")),
            (200, "failed") => Outcome::Failed,
            _ => Outcome::Turned(status),
        };
        let request: Arc<str> = match body.get("request").and_then(Value::as_str) {
            Some(request) => request.into(),
            // A problem told to an owner that has gone on since is no answer to what it asks now.
            None if hung_up => return,
            None => self.owners[owner].request.clone(),
        };
        if let Some(late) = self.looks.reads(now) {
            self.world.see(late);
        }
        self.world.see(Seen::Answered {
            request,
            outcome: outcome.clone(),
        });
        if hung_up {
            return;
        }
        self.open -= 1;
        let demand = self.scenario.demand.clone();
        match outcome {
            Outcome::Placed(_) => {
                self.place_us.push(now - self.owners[owner].asked);
                self.mood().placed += 1;
                let o = &mut self.owners[owner];
                (o.state, o.failures) = (State::Held(placer, life), 0);
                self.timers.set(now + 2_000_000, Due::Check(owner));
            }
            Outcome::Refused(_) => {
                self.owners[owner].failures += 1;
                let advice = body
                    .get("come_back_ms")
                    .and_then(Value::as_f64)
                    .unwrap_or(0.0);
                self.again(
                    now,
                    owner,
                    [
                        demand.again_ms[0].max(advice),
                        demand.again_ms[1].max(advice),
                    ],
                );
            }
            Outcome::Failed => self.unknown(now, owner),
            Outcome::Turned(_) => {
                self.owners[owner].failures += 1;
                self.again(now, owner, demand.again_ms);
            }
        }
    }

    /// Follows the life-cycle events of each placer that it does not follow yet.
    fn follow_all(&mut self, now: u64) {
        self.timers.set(now + 200_000, Due::Follow);
        let placers = self.mood().placers.clone();
        for (number, front) in placers.iter().enumerate() {
            let Some(address) = front.address.filter(|_| !front.down) else {
                continue;
            };
            if self.followers.contains_key(&number) {
                continue;
            }
            let made = |_| Use::Follows {
                decoder: Decoder::new(
                    Role::Responses,
                    Limits {
                        body: usize::MAX,
                        ..Limits::default()
                    },
                ),
                line: Vec::new(),
            };
            if let Ok(token) = self.connect(number, address, front.life, made)
                && let Some(link) = self.conns.get_mut(&token)
            {
                http::write_request(
                    link.conn.out(),
                    "GET",
                    "/v1/events",
                    &[("Host", "placer")],
                    b"",
                );
                self.followers.insert(number, token);
            }
        }
    }

    fn events(&mut self, token: u64) -> bool {
        let mut lines: Vec<Value> = Vec::new();
        let Some(link) = self.conns.get_mut(&token) else {
            return false;
        };
        let Use::Follows { decoder, line } = &mut link.made else {
            return true;
        };
        loop {
            match decoder.step(link.conn.unread()) {
                Ok((Step::More, used)) => {
                    link.conn.take(used);
                    break;
                }
                Ok((Step::Head(head), used)) => {
                    link.conn.take(used);
                    if head.status() != 200 {
                        return true;
                    }
                }
                Ok((Step::Data(data), used)) => {
                    link.conn.take(used);
                    line.extend_from_slice(&data);
                    while let Some(end) = line.iter().position(|&b| b == b'\n') {
                        let one: Vec<u8> = line.drain(..=end).collect();
                        lines.extend(serde_json::from_slice::<Value>(&one).ok());
                    }
                }
                Ok((Step::End, _)) | Err(_) => return true,
            }
        }
        let now = self.world.clock.now();
        for event in lines {
            self.event(now, &event);
        }
        false
    }

    fn event(&mut self, now: u64, event: &Value) {
        let text = |key: &str| event.get(key).and_then(Value::as_str).unwrap_or("");
        let Some(&owner) = self.by_actor.get(text("actor")) else {
            return;
        };
        if !matches!(self.owners[owner].state, State::Held(..)) {
            return;
        }
        let again = self.scenario.demand.again_ms;
        match text("event") {
            "ended" if text("reason").is_empty() => self.owners[owner].state = State::Over,
            "ended" | "evicted" => {
                self.owners[owner].failures += 1;
                self.again(now, owner, again);
            }
            "lost" if self.scenario.careful(self.owners[owner].class) => {
                let settle = self.scenario.demand.settle_ms as f64;
                self.again(now, owner, [settle, settle * 1.1]);
            }
            "lost" | "moved" | "stopped" => self.again(now, owner, [50.0, 300.0]),
            _ => {}
        }
    }
}
