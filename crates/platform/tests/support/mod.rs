//! Placers on one set of hosts under simulated time: engines, hosts, a network between them, owners, and a check of the
//! messages between them.

mod faults;
mod hosts;
mod messages;
mod placers;

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
use messages::{decode_batch, list_update, setup, setup_id};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use serde_json::{Value, json};

pub use messages::settings;

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
}
