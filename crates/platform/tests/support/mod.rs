//! A small world under simulated time: engines, hosts, a network between them, owners, and a judge of what crossed it.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, HashSet};

use maplethread::{Micros, Placer};
use maplethread_platform::decode_settings;
use maplethread_platform::engine::{
    ConnectionId, DisconnectReason, Engine, Output, OwnerId, TableSizes,
};
use maplethread_platform_wire::command_channel::{self, CommandBatch};
use maplethread_platform_wire::host::{FromHost, ReportCode};
use maplethread_platform_wire::owner::{FromOwner, Setup, ToOwner};
use maplethread_platform_wire::{Cause, SetupId};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use serde_json::{Value, json};

pub const MS: Micros = 1000;
pub const S: Micros = 1_000_000;
const START: Micros = 1_700_000_000 * S;
const ZONES: [&str; 3] = ["east", "west", "north"];
const OWNER: OwnerId = OwnerId(1);
/// One way through the network; less than a turn takes to write.
const NETWORK_DELAY: Micros = 200;
/// A placer's time for each connection it writes to.
const WRITE_TIME: Micros = 300;

/// Offers that a cold host bears in any window, from all placers together.
pub const WARM_UP_OFFERS: u64 = 60;
pub const WINDOW: Micros = 3 * S;
pub const WARM_UP: Micros = 15 * S;

/// How connections come up.
#[derive(Clone, Copy, Debug)]
pub struct ConnectTiming {
    /// One that takes longer has failed.
    pub timeout: Micros,
    /// They take up to this.
    pub max_delay: Micros,
}

/// A part of the hosts.
#[derive(Clone, Copy, Debug)]
pub enum HostSet {
    Zone(usize),
    All,
    /// Every second one.
    Half,
    One(usize),
}

/// What befalls the world.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// No placer reaches this zone, nor it them; what is on its way waits. Until `Heal`.
    Partition(usize),
    /// The end of a cut.
    Heal(usize),
    /// All connections to these hosts are reset, under whatever is on them.
    ResetConnections(HostSet),
    /// The processes of these hosts die: connections are reset, new ones refused. Until `Return`.
    KillHosts(HostSet),
    /// These machines are gone and say nothing. Until `Return`.
    SilenceHosts(HostSet),
    /// These hosts are taken off the list, which tells it late.
    RemoveFromList(HostSet),
    /// These hosts come back as new processes.
    RestartHosts(HostSet),
    /// A placer is killed, and starts from nothing half a second later.
    KillPlacer(usize),
}

/// What was seen by the end.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    pub requested: usize,
    pub placed: usize,
    /// Asks that were refused or failed.
    pub rejected: usize,
    /// Tasks whose owners were told that they are lost, while they ran.
    pub released_running: usize,
    /// Tasks that ended with their host.
    pub lost: usize,
    /// The longest time from such an end to its release.
    pub max_release_delay: Micros,
}

type ConnectionKey = (usize, u32, ConnectionId);

#[derive(Debug)]
enum Event {
    Turn(usize, u32),
    TimerFired(usize, u32),
    Connect(ConnectionKey, usize),
    HostReceives(ConnectionKey, Vec<u8>),
    SetupWithdrawn(ConnectionKey, SetupId),
    HostAnswers(ConnectionKey, u32, SetupId),
    TaskEnds(usize, u32, SetupId),
    ToPlacer(usize, u32, Input),
    Request(bool, u64),
    Fault(Fault),
    Start(usize),
    ListUpdate(Value),
}

#[derive(Debug)]
enum Input {
    Connected(ConnectionId),
    ConnectionLost(ConnectionId, DisconnectReason),
    HostMessage(ConnectionId, FromHost),
    OwnerMessage(Box<FromOwner>),
    ListUpdate(Value),
}

struct Process {
    incarnation: u32,
    engine: Option<Engine<Placer>>,
    inbox: Vec<Input>,
    busy_until: Micros,
    is_turn_scheduled: bool,
    next_timer: Micros,
}

struct Host {
    zone: usize,
    incarnation: u32,
    is_alive: bool,
    is_silent: bool,
    started: Micros,
    /// What runs, and for whom.
    running: BTreeMap<u64, (usize, u32)>,
    waiting: HashSet<u64>,
}

struct Connection {
    host: usize,
    host_incarnation: u32,
    /// What is written by the placer and not yet handed to the network.
    unwritten: Vec<Vec<u8>>,
    /// Set-ups of these ids were given up on it.
    withdrawn: HashSet<u64>,
}

struct Request {
    placer: usize,
    incarnation: u32,
    deadline: Micros,
    answered: bool,
    placed: bool,
    released: bool,
    task_name: u64,
    /// When it was lost with its host.
    lost_at: Option<Micros>,
    /// Where an attempt is out.
    in_flight: Option<ConnectionKey>,
}

/// All of it.
pub struct World {
    now: Micros,
    last_event: u64,
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    events: HashMap<u64, Event>,
    rng: Pcg64Mcg,
    placers: Vec<Process>,
    hosts: Vec<Host>,
    connections: BTreeMap<ConnectionKey, Connection>,
    partitioned_zones: BTreeSet<usize>,
    held_messages: Vec<(usize, Event)>,
    requests: BTreeMap<u64, Request>,
    last_sid: u64,
    cursor: u64,
    list_delay: Micros,
    resubmits_at_once: bool,
    connect_timing: ConnectTiming,
    /// When set-ups reached hosts that had come up in this life, by host and life.
    cold_host_arrivals: BTreeMap<(usize, u32), Vec<Micros>>,
    summary: Summary,
}

pub fn settings(ordinal: usize, placers: usize, connects: ConnectTiming) -> Value {
    json!({
        "allowed": {"connectTimeoutMs": connects.timeout / MS, "idleCloseMs": 30000.0, "maxAttempts": 3, "mayCancel": true,
            "peers": false, "probes": false, "retryAfter": false, "maxRetryAfterMs": 3000.0},
        "classes": [
            {"aimMs": 600.0, "effect": "pure", "name": "web", "windowMs": 5000.0, "group": "all", "worth": 3.0}],
        "domain": {"ack": "accepted", "admitCores": 1.5, "admitMemory": 1.5, "freeBy": "used", "listsFree": false,
            "kindByClass": [-1], "kindCores": [64], "memoryByKind": [172.0], "spreadMost": [4],
            "spreadOver": ["zone"], "startBonusS": [12.0], "classPriority": [0], "freshOffers": WARM_UP_OFFERS},
        "invariants": {"askWithinMs": 10000.0, "coldFrom": 0.17, "coldMs": WARM_UP / MS, "fallMultiple": 4.0,
            "tipAfterMs": WINDOW / MS},
        "ordinal": ordinal, "peersTotal": placers, "registryMode": "ask",
        "reporting": {"fields": [], "how": "silent"}, "shapes": ["std"], "zone": 0, "zones": ZONES
    })
}

impl World {
    pub fn new(seed: u64, placers: usize, hosts: usize) -> World {
        World::with(
            seed,
            placers,
            hosts,
            ConnectTiming {
                timeout: 250 * MS,
                max_delay: NETWORK_DELAY,
            },
        )
    }

    pub fn with(seed: u64, placers: usize, hosts: usize, connects: ConnectTiming) -> World {
        let host = |n| Host {
            zone: n % ZONES.len(),
            incarnation: 0,
            is_alive: true,
            is_silent: false,
            started: 0,
            running: BTreeMap::new(),
            waiting: HashSet::new(),
        };
        let process = || Process {
            incarnation: 0,
            engine: None,
            inbox: Vec::new(),
            busy_until: 0,
            is_turn_scheduled: false,
            next_timer: 0,
        };
        let mut world = World {
            now: START,
            last_event: 0,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            placers: (0..placers).map(|_| process()).collect(),
            hosts: (0..hosts).map(host).collect(),
            connections: BTreeMap::new(),
            partitioned_zones: BTreeSet::new(),
            held_messages: Vec::new(),
            requests: BTreeMap::new(),
            last_sid: 0,
            cursor: 1,
            list_delay: S,
            resubmits_at_once: false,
            connect_timing: connects,
            cold_host_arrivals: BTreeMap::new(),
            summary: Summary::default(),
        };
        (0..placers).for_each(|p| world.start(p));
        world
    }

    /// So many asks a second, from one time to another.
    pub fn schedule_requests(&mut self, from: Micros, to: Micros, rate: u64) {
        let gap = S / rate;
        for at in (from..to).step_by(gap as usize) {
            let at = START + at + self.draw(gap);
            let key = self.draw(u64::MAX);
            self.schedule(at, Event::Request(false, key));
        }
    }

    pub fn schedule_fault(&mut self, at: Micros, fault: Fault) {
        self.schedule(START + at, Event::Fault(fault));
    }

    /// News of the list come so late.
    pub fn set_list_delay(&mut self, by: Micros) {
        self.list_delay = by;
    }

    /// Owners who are refused come again at once.
    pub fn resubmit_rejected_at_once(&mut self) {
        self.resubmits_at_once = true;
    }

    /// The most set-ups that reached a cold host in one window, from all placers.
    pub fn max_arrivals_per_window(&self) -> usize {
        let within = |times: &[Micros], from: usize| {
            times[from..]
                .iter()
                .take_while(|&&t| t <= times[from] + WINDOW)
                .count()
        };
        let most = |times: &Vec<Micros>| {
            (0..times.len())
                .map(|n| within(times, n))
                .max()
                .unwrap_or(0)
        };
        self.cold_host_arrivals
            .values()
            .map(most)
            .max()
            .unwrap_or(0)
    }

    /// What each placer holds in its tables.
    pub fn table_sizes(&self) -> Vec<TableSizes> {
        self.placers
            .iter()
            .filter_map(|p| Some(p.engine.as_ref()?.table_sizes()))
            .collect()
    }

    pub fn run(&mut self, span: Micros) {
        let end = START + span;
        while let Some(&Reverse((at, set))) =
            self.queue.peek().filter(|Reverse((at, _))| *at <= end)
        {
            self.queue.pop();
            self.now = at;
            if let Some(event) = self.events.remove(&set) {
                self.handle_event(event);
            }
        }
        self.now = end;
    }

    /// What was seen, once all is judged that only the end shows.
    pub fn check(&self) -> Summary {
        for (sid, ask) in &self.requests {
            let lives = self.placers[ask.placer].incarnation == ask.incarnation;
            assert!(
                !lives || ask.answered || ask.deadline > self.now,
                "{sid:x} got no answer in its time"
            );
            if let Some(lost) = ask.lost_at.filter(|_| lives) {
                let due = lost + 8 * S + 50 * MS;
                assert!(
                    ask.released || due > self.now,
                    "{sid:x} was lost, and its owner not told"
                );
            }
        }
        self.summary.clone()
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.rng.next_u64() % below.max(1)
    }

    fn schedule(&mut self, at: Micros, event: Event) {
        self.last_event += 1;
        self.queue.push(Reverse((at, self.last_event)));
        self.events.insert(self.last_event, event);
    }

    fn list_entry(&self, host: usize, status: &str) -> Value {
        let h = &self.hosts[host];
        json!({"name": format!("s-{host}"), "address": format!("127.0.0.1:{}", 1000 + host), "zone": ZONES[h.zone],
            "type": "std", "group": host / 4, "status": status, "since_ms": h.started / MS})
    }

    fn start(&mut self, placer: usize) {
        let object = settings(placer, self.placers.len(), self.connect_timing);
        let (decisions, terms) = decode_settings(&object).expect("sound settings");
        let seed = self.rng.next_u64();
        let decider = Placer::new(decisions.clone(), seed).expect("sound settings");
        let mut engine = Engine::new(terms, &decisions, decider);
        let all: Vec<Value> = (0..self.hosts.len())
            .map(|h| self.list_entry(h, "active"))
            .collect();
        engine.apply_update(
            self.now,
            &decode_batch(&list_update(self.cursor, true, &all)),
        );
        engine.owner_connected(self.now, OWNER);
        engine.handle_owner_message(self.now, OWNER, Ok(FromOwner::Probe { id: SetupId(1) }));
        let process = &mut self.placers[placer];
        process.engine = Some(engine);
        let life = process.incarnation;
        // What runs already, and was this placer's before, is its again.
        let mine: Vec<(u64, usize)> = self
            .hosts
            .iter()
            .enumerate()
            .flat_map(|(h, host)| host.running.iter().map(move |(sid, of)| (*sid, h, *of)))
            .filter(|&(_, _, of)| of.0 == placer)
            .map(|(sid, h, _)| (sid, h))
            .collect();
        for (sid, host) in mine {
            self.hosts[host].running.insert(sid, (placer, life));
            let ask = self.requests.get_mut(&sid).expect("it was asked for");
            (ask.incarnation, ask.answered, ask.in_flight) = (life, true, None);
            let at = Some(format!("s-{host}"));
            let set_up = Setup {
                running_on: at,
                answer_timeout_ms: None,
                ..setup(sid, ask.task_name, 0)
            };
            self.deliver(
                placer,
                life,
                Input::OwnerMessage(Box::new(FromOwner::Setup(Box::new(set_up)))),
            );
        }
        self.schedule_turn(placer);
    }

    /// Has a placer take its turn as soon as it has time.
    fn schedule_turn(&mut self, placer: usize) {
        let process = &mut self.placers[placer];
        if !std::mem::replace(&mut process.is_turn_scheduled, true) {
            let (at, life) = (process.busy_until.max(self.now), process.incarnation);
            self.schedule(at, Event::Turn(placer, life));
        }
    }

    fn deliver(&mut self, placer: usize, life: u32, input: Input) {
        if self.placers[placer].incarnation == life && self.placers[placer].engine.is_some() {
            self.placers[placer].inbox.push(input);
            self.schedule_turn(placer);
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Turn(placer, life) if self.placers[placer].incarnation == life => {
                self.turn(placer)
            }
            Event::TimerFired(placer, life) if self.placers[placer].incarnation == life => {
                self.schedule_turn(placer)
            }
            Event::Turn(..) | Event::TimerFired(..) => {}
            Event::Connect(key, host) => self.handle_connect(key, host),
            Event::SetupWithdrawn(key, sid) => {
                self.clear_in_flight(key, sid);
            }
            Event::HostReceives(key, bytes) => self.handle_host_input(key, &bytes),
            Event::HostAnswers(key, life, sid) => self.handle_host_answer(key, life, sid),
            Event::TaskEnds(host, life, sid) => {
                let h = &mut self.hosts[host];
                if h.incarnation == life && h.is_alive && h.running.remove(&sid.0).is_some() {
                    self.report_task_end(
                        host,
                        sid,
                        FromHost::Close {
                            id: sid,
                            cause: Cause::NORMAL,
                            code: None,
                        },
                    );
                }
            }
            Event::ToPlacer(placer, life, input) => self.deliver(placer, life, input),
            Event::Request(again, key) => self.send_request(again, key),
            Event::Fault(fault) => self.apply_fault(fault),
            Event::Start(placer) => self.start(placer),
            Event::ListUpdate(list) => {
                for placer in 0..self.placers.len() {
                    self.deliver(
                        placer,
                        self.placers[placer].incarnation,
                        Input::ListUpdate(list.clone()),
                    );
                }
            }
        }
    }

    fn send_request(&mut self, again: bool, key: u64) {
        let up: Vec<usize> = (0..self.placers.len())
            .filter(|&p| self.placers[p].engine.is_some())
            .collect();
        let placer = up[self.draw(up.len() as u64) as usize];
        self.last_sid += 1;
        let (sid, life) = (self.last_sid << 8, self.placers[placer].incarnation);
        let deadline = self.now + 6 * S;
        let ask = Request {
            placer,
            incarnation: life,
            deadline,
            answered: false,
            placed: false,
            released: false,
            task_name: key,
            lost_at: None,
            in_flight: None,
        };
        self.requests.insert(sid, ask);
        self.summary.requested += usize::from(!again);
        let says = FromOwner::Setup(Box::new(setup(sid, key, 6000)));
        self.deliver(placer, life, Input::OwnerMessage(Box::new(says)));
    }

    /// One turn of a placer's loop, as its shell has it.
    fn turn(&mut self, placer: usize) {
        let now = self.now;
        let process = &mut self.placers[placer];
        process.is_turn_scheduled = false;
        let (life, inbox) = (process.incarnation, std::mem::take(&mut process.inbox));
        let Some(engine) = &mut process.engine else {
            return;
        };
        for input in inbox {
            match input {
                Input::Connected(link) => engine.connection_established(now, link),
                Input::ConnectionLost(link, loss) => engine.connection_lost(now, link, loss),
                Input::HostMessage(link, says) => engine.handle_host_message(now, link, says),
                Input::OwnerMessage(says) => engine.handle_owner_message(now, OWNER, Ok(*says)),
                Input::ListUpdate(list) => drop(engine.apply_update(now, &decode_batch(&list))),
            }
        }
        engine.turn(now);
        let outputs = engine.take_outputs();
        let next = engine.next_timeout();
        let (mut at, mut dirty, mut told) = (now + 50, Vec::new(), Vec::new());
        for output in outputs {
            match output {
                Output::SendToOwner(_, message) => told.push(message),
                Output::CloseOwner(_) => panic!("the owner did nothing wrong"),
                Output::Connect(link, address) => {
                    let more = self.connect_timing.max_delay.saturating_sub(NETWORK_DELAY);
                    let takes = NETWORK_DELAY + if more > 0 { self.draw(more) } else { 0 };
                    let key = (placer, life, link);
                    self.schedule(
                        at + takes,
                        Event::Connect(key, usize::from(address.port()) - 1000),
                    );
                }
                Output::SendToHost(link, bytes) => {
                    if let Some(conn) = self.connections.get_mut(&(placer, life, link)) {
                        conn.unwritten.push(bytes);
                        dirty.push(link);
                    }
                }
                Output::SendToHostImmediately(link, bytes) => {
                    if let Some(conn) = self.connections.get_mut(&(placer, life, link)) {
                        conn.unwritten.push(bytes);
                        self.flush_connection((placer, life, link), at);
                        at += WRITE_TIME;
                    }
                }
                Output::CloseConnection(link) => self.close_connection((placer, life, link)),
            }
        }
        // Whatever order a shell writes in, what had to be written first is written.
        while !dirty.is_empty() {
            let n = self.draw(dirty.len() as u64) as usize;
            let link = dirty.swap_remove(n);
            if self
                .connections
                .get(&(placer, life, link))
                .is_some_and(|c| !c.unwritten.is_empty())
            {
                self.flush_connection((placer, life, link), at);
                at += WRITE_TIME;
            }
        }
        told.into_iter()
            .for_each(|message| self.handle_owner_message(at, placer, life, message));
        let process = &mut self.placers[placer];
        process.busy_until = at;
        if let Some(next) = next.map(|next| next.max(at))
            && (process.next_timer <= now || next < process.next_timer)
        {
            process.next_timer = next;
            self.schedule(next, Event::TimerFired(placer, life));
        }
    }

    /// A connection's bytes go to the network.
    fn flush_connection(&mut self, key: ConnectionKey, at: Micros) {
        let conn = self.connections.get_mut(&key).expect("it is open");
        let out = std::mem::take(&mut conn.unwritten);
        let ends: Vec<SetupId> = out
            .iter()
            .filter(|bytes| bytes[2] == 12)
            .map(|bytes| setup_id(bytes))
            .collect();
        conn.withdrawn.extend(ends.iter().map(|sid| sid.0));
        ends.into_iter()
            .for_each(|sid| self.schedule(at, Event::SetupWithdrawn(key, sid)));
        out.into_iter()
            .for_each(|bytes| self.schedule(at + NETWORK_DELAY, Event::HostReceives(key, bytes)));
    }

    fn clear_in_flight(&mut self, key: ConnectionKey, sid: SetupId) {
        if let Some(ask) = self
            .requests
            .get_mut(&sid.0)
            .filter(|a| a.in_flight == Some(key))
        {
            ask.in_flight = None;
        }
    }

    /// A placer closes a connection, which gives up what is open on it.
    fn close_connection(&mut self, key: ConnectionKey) {
        let Some(conn) = self.connections.remove(&key) else {
            return;
        };
        for (sid, ask) in &mut self.requests {
            if ask.in_flight == Some(key) {
                ask.in_flight = None;
                self.hosts[conn.host].waiting.remove(sid);
            }
        }
    }

    fn handle_owner_message(&mut self, at: Micros, placer: usize, life: u32, message: ToOwner) {
        let (sid, ready) = match message {
            ToOwner::Ready { id: sid, .. } => (sid, true),
            ToOwner::Close { id: sid, .. } => (sid, false),
            ToOwner::Relocate { .. } | ToOwner::Probed { .. } | ToOwner::Closed { .. } => return,
        };
        let ask = self.requests.get_mut(&sid.0).expect("it was asked for");
        assert_eq!((ask.placer, ask.incarnation), (placer, life), "{sid}");
        if !ask.answered {
            assert!(at <= ask.deadline + 50 * MS, "{sid} was answered late");
            (ask.answered, ask.placed) = (true, ready);
            let key = ask.task_name;
            self.summary.placed += usize::from(ready);
            self.summary.rejected += usize::from(!ready);
            if !ready && self.resubmits_at_once {
                self.schedule(at + NETWORK_DELAY, Event::Request(true, key));
            }
            return;
        }
        assert!(!ready && !ask.released, "{sid} got a second answer");
        ask.released = true;
        let key = ask.task_name;
        if let Some(lost) = ask.lost_at {
            self.summary.max_release_delay = self.summary.max_release_delay.max(at - lost);
        }
        let runs = self.hosts.iter_mut().find_map(|h| h.running.remove(&sid.0));
        self.summary.released_running += usize::from(runs.is_some());
        if runs.is_some() || ask.lost_at.is_some() {
            let again = at + 100 * MS + self.draw(400 * MS);
            self.schedule(again, Event::Request(true, key));
        }
    }

    fn handle_connect(&mut self, key: ConnectionKey, host: usize) {
        let h = &self.hosts[host];
        if h.is_silent
            || self.partitioned_zones.contains(&h.zone)
            || self.placers[key.0].incarnation != key.1
        {
            return;
        }
        let input = if h.is_alive {
            Input::Connected(key.2)
        } else {
            Input::ConnectionLost(key.2, DisconnectReason::Refused)
        };
        if h.is_alive {
            let conn = Connection {
                host,
                host_incarnation: h.incarnation,
                unwritten: Vec::new(),
                withdrawn: HashSet::new(),
            };
            self.connections.insert(key, conn);
        }
        self.schedule(
            self.now + NETWORK_DELAY,
            Event::ToPlacer(key.0, key.1, input),
        );
    }

    fn handle_host_input(&mut self, key: ConnectionKey, bytes: &[u8]) {
        let Some(conn) = self.connections.get(&key) else {
            return;
        };
        let (host, old) = (conn.host, conn.host_incarnation);
        let zone = self.hosts[host].zone;
        if self.partitioned_zones.contains(&zone) {
            self.held_messages
                .push((zone, Event::HostReceives(key, bytes.to_vec())));
            return;
        }
        if self.hosts[host].is_silent {
            return;
        }
        if self.hosts[host].incarnation != old || !self.hosts[host].is_alive {
            self.break_connection(key);
            return;
        }
        let sid = setup_id(bytes);
        match bytes[2] {
            1 if !conn.withdrawn.contains(&sid.0) => {
                let ask = self.requests.get_mut(&sid.0).expect("an owner sent it");
                assert!(ask.in_flight.is_none(), "{sid} has two attempts out");
                assert!(
                    !(ask.answered && ask.incarnation == key.1),
                    "{sid} is sent on after its answer"
                );
                ask.in_flight = Some(key);
                if self.hosts[host].started + WARM_UP > self.now {
                    self.cold_host_arrivals
                        .entry((host, old))
                        .or_default()
                        .push(self.now);
                }
                self.hosts[host].waiting.insert(sid.0);
                let slow = self.draw(100) < 4;
                let after = if slow {
                    300 * MS + self.draw(900 * MS)
                } else {
                    2 * MS + self.draw(20 * MS)
                };
                self.schedule(self.now + after, Event::HostAnswers(key, old, sid));
            }
            12 => {
                self.hosts[host].waiting.remove(&sid.0);
                self.hosts[host].running.remove(&sid.0);
            }
            52 => self.send_from_host(key, FromHost::Probed { is_healthy: true }),
            _ => {}
        }
    }

    fn handle_host_answer(&mut self, key: ConnectionKey, life: u32, sid: SetupId) {
        let Some(host) = self.connections.get(&key).map(|c| c.host) else {
            return;
        };
        let h = &mut self.hosts[host];
        if h.incarnation != life || !h.is_alive || !h.waiting.remove(&sid.0) {
            return;
        }
        self.clear_in_flight(key, sid);
        let (lot, lasts) = (self.draw(100), 8 * S + self.draw(10 * S));
        if lot < 3 {
            self.send_from_host(
                key,
                FromHost::Close {
                    id: sid,
                    cause: Cause::ERROR,
                    code: None,
                },
            );
        } else if lot < 6 {
            self.send_from_host(
                key,
                FromHost::Close {
                    id: sid,
                    cause: Cause::NO_CAPACITY,
                    code: Some(ReportCode::InsufficientCores),
                },
            );
        } else {
            self.hosts[host].running.insert(sid.0, (key.0, key.1));
            self.send_from_host(
                key,
                FromHost::Ready {
                    id: sid,
                    description: "there".into(),
                },
            );
            self.send_from_host(
                key,
                FromHost::Report {
                    id: sid,
                    code: ReportCode::Running,
                    figure: 0.0,
                },
            );
            self.schedule(self.now + lasts, Event::TaskEnds(host, life, sid));
        }
    }

    fn send_from_host(&mut self, key: ConnectionKey, says: FromHost) {
        let zone = self.connections.get(&key).map(|c| self.hosts[c.host].zone);
        let event = Event::ToPlacer(key.0, key.1, Input::HostMessage(key.2, says));
        match zone {
            Some(zone) if self.partitioned_zones.contains(&zone) => {
                self.held_messages.push((zone, event))
            }
            Some(_) => self.schedule(self.now + NETWORK_DELAY, event),
            None => {}
        }
    }

    /// What a host has to say of a task, on any connection of the placer that it belongs to.
    fn report_task_end(&mut self, host: usize, sid: SetupId, says: FromHost) {
        let Some(ask) = self.requests.get(&sid.0) else {
            return;
        };
        let (placer, life) = (ask.placer, ask.incarnation);
        let open = self
            .connections
            .iter()
            .find(|(k, c)| k.0 == placer && k.1 == life && c.host == host);
        if let Some((&key, _)) = open {
            self.send_from_host(key, says);
        } else if let Some(ask) = self.requests.get_mut(&sid.0) {
            // It is told on the next connection, which this host leaves out: it counts as lost.
            ask.lost_at = ask.lost_at.or(Some(self.now));
        }
    }

    fn break_connection(&mut self, key: ConnectionKey) {
        self.close_connection(key);
        self.schedule(
            self.now + NETWORK_DELAY,
            Event::ToPlacer(
                key.0,
                key.1,
                Input::ConnectionLost(key.2, DisconnectReason::Broken),
            ),
        );
    }

    fn apply_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Partition(zone) => drop(self.partitioned_zones.insert(zone)),
            Fault::Heal(zone) => {
                self.partitioned_zones.remove(&zone);
                let held = std::mem::take(&mut self.held_messages);
                let (now, later) = held.into_iter().partition(|(z, _)| *z == zone);
                self.held_messages = later;
                let now: Vec<(usize, Event)> = now;
                now.into_iter()
                    .for_each(|(_, event)| self.schedule(self.now + NETWORK_DELAY, event));
            }
            Fault::ResetConnections(part) => self.reset_connections(part),
            Fault::KillHosts(part) => {
                self.end_hosts(part, false);
                self.reset_connections(part);
                self.publish_list_change(part, "left");
            }
            Fault::SilenceHosts(part) => self.end_hosts(part, true),
            Fault::RemoveFromList(part) => self.publish_list_change(part, "left"),
            Fault::RestartHosts(part) => {
                for host in self.hosts_in(part) {
                    let host = &mut self.hosts[host];
                    (host.is_alive, host.is_silent, host.started) = (true, false, self.now);
                    host.incarnation += 1;
                }
                self.publish_list_change(part, "active");
            }
            Fault::KillPlacer(placer) => {
                let process = &mut self.placers[placer];
                process.incarnation += 1;
                (
                    process.engine,
                    process.is_turn_scheduled,
                    process.next_timer,
                ) = (None, false, 0);
                process.inbox.clear();
                let life = process.incarnation;
                let old: Vec<ConnectionKey> = self
                    .connections
                    .keys()
                    .filter(|k| k.0 == placer && k.1 < life)
                    .copied()
                    .collect();
                old.into_iter().for_each(|key| self.close_connection(key));
                self.schedule(self.now + S / 2, Event::Start(placer));
            }
        }
    }

    fn hosts_in(&self, part: HostSet) -> Vec<usize> {
        let within = |h: &usize| match part {
            HostSet::Zone(zone) => self.hosts[*h].zone == zone,
            HostSet::All => true,
            HostSet::Half => h.is_multiple_of(2),
            HostSet::One(host) => *h == host,
        };
        (0..self.hosts.len()).filter(within).collect()
    }

    fn reset_connections(&mut self, part: HostSet) {
        let hosts = self.hosts_in(part);
        let of = |c: &Connection| hosts.contains(&c.host);
        let cut: Vec<ConnectionKey> = self
            .connections
            .iter()
            .filter(|(_, c)| of(c))
            .map(|(k, _)| *k)
            .collect();
        cut.into_iter().for_each(|key| self.break_connection(key));
    }

    fn end_hosts(&mut self, part: HostSet, silent: bool) {
        for host in self.hosts_in(part) {
            let host = &mut self.hosts[host];
            (host.is_alive, host.is_silent) = (false, silent);
            host.waiting.clear();
            for (sid, _) in std::mem::take(&mut host.running) {
                let ask = self.requests.get_mut(&sid).expect("it was asked for");
                if ask.placed {
                    ask.lost_at = Some(self.now);
                    self.summary.lost += 1;
                }
            }
        }
    }

    /// The list has it, and tells of it late.
    fn publish_list_change(&mut self, part: HostSet, status: &str) {
        let entries: Vec<Value> = self
            .hosts_in(part)
            .into_iter()
            .map(|h| self.list_entry(h, status))
            .collect();
        self.cursor += 1;
        let list = list_update(self.cursor, false, &entries);
        self.schedule(self.now + self.list_delay, Event::ListUpdate(list));
    }
}

fn setup_id(bytes: &[u8]) -> SetupId {
    SetupId(u64::from_be_bytes(bytes[3..11].try_into().expect("an id")))
}

fn setup(sid: u64, key: u64, left: u64) -> Setup {
    Setup {
        id: SetupId(sid),
        class: "web".into(),
        answer_timeout_ms: Some(left as f64),
        task_name: format!("{key:016x}"),
        idempotency_key: None,
        cores: 0.5,
        memory: 1.0,
        service: key % 400,
        running_on: None,
        is_resubmission: false,
        expected_duration_ms: None,
        description: "text".into(),
    }
}

fn list_update(cursor: u64, snapshot: bool, endpoints: &[Value]) -> Value {
    let nodes = json!({"index": cursor, "snapshot": snapshot, "endpoints": endpoints});
    json!({"cursor": cursor, "cmds": [{"cursor": cursor, "nodes": nodes}]})
}

fn decode_batch(list: &Value) -> CommandBatch {
    command_channel::decode(list.to_string().as_bytes()).expect("sound")
}
