//! A simulation of placers that share a set of hosts: engines, hosts, owners and the network between them under simulated
//! time, with checks of the messages that they exchange.

mod faults;
mod hosts;
mod messages;
mod placers;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, HashSet};
use std::net::IpAddr;

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
pub const SECOND: Micros = 1_000_000;
const START: Micros = 1_700_000_000 * SECOND;
const ZONES: [&str; 3] = ["east", "west", "north"];
const OWNER: OwnerId = OwnerId(1);
/// The one-way network latency. It is shorter than `WRITE_TIME`.
const NETWORK_DELAY: Micros = 200;
/// The time that a placer takes to write to one connection.
const WRITE_TIME: Micros = 300;

/// The maximum number of offers that a cold host may receive in any window, from all placers together.
pub const WARM_UP_OFFERS: u64 = 60;
pub const OVERLOAD_WINDOW: Micros = 3 * SECOND;
pub const WARM_UP_DURATION: Micros = 15 * SECOND;

/// The timing of connects.
#[derive(Clone, Copy, Debug)]
pub struct ConnectTiming {
    /// A connect that takes longer has failed.
    pub timeout: Micros,
    /// The longest time that a connect takes.
    pub max_delay: Micros,
}

/// A subset of the hosts.
#[derive(Clone, Copy, Debug)]
pub enum HostSet {
    Zone(usize),
    All,
    /// Every second host.
    Half,
    One(usize),
}

/// The order in which the host list reports that a host was replaced by another one at its address.
#[derive(Clone, Copy, Debug)]
pub enum ReplacementOrder {
    /// Both in one event, the old host first.
    Together,
    /// The old host has left 0.5 s before the new one is listed.
    OldHostFirst,
    /// The new host is listed 0.5 s before the old one has left.
    NewHostFirst,
}

/// A fault that a test injects.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// The network between this zone and all placers is partitioned. Messages are held until `Heal`.
    Partition(usize),
    /// The partition of this zone ends.
    Heal(usize),
    /// All connections to these hosts are reset.
    ResetConnections(HostSet),
    /// The processes of these hosts are killed: connections are reset and new ones refused, until `RestartHosts`.
    KillHosts(HostSet),
    /// The machines of these hosts lose power: nothing is answered, until `RestartHosts`.
    PowerOffHosts(HostSet),
    /// These hosts are removed from the host list. Placers receive the update after the list delay.
    RemoveFromList(HostSet),
    /// These hosts start again, with new processes.
    RestartHosts(HostSet),
    /// The machines of these hosts vanish without a word, and other hosts under new names answer at their addresses at once.
    ReplaceHosts(HostSet, ReplacementOrder),
    /// A placer is killed, and restarts without state 0.5 s later.
    KillPlacer(usize),
}

/// The results of a simulation.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    pub requested: usize,
    pub placed: usize,
    /// Requests that were rejected or failed.
    pub rejected: usize,
    /// Tasks that were released to their owners while they were still running.
    pub released_running: usize,
    /// Tasks that were lost in the failure of their host.
    pub lost: usize,
    /// The longest time from the loss of a task to its release.
    pub max_release_delay: Micros,
}

/// A connection to a host: placer, incarnation of the placer, and connection id.
type ConnectionKey = (usize, u32, ConnectionId);

/// A scheduled event. Placers and hosts are given by index and incarnation.
#[derive(Debug)]
enum Event {
    /// A placer performs a turn.
    Turn(usize, u32),
    /// A timer of a placer is due.
    TimerFired(usize, u32),
    /// A connect of a placer arrives at a host.
    Connect(ConnectionKey, usize),
    /// A message of a placer arrives at a host.
    HostReceives(ConnectionKey, Vec<u8>),
    /// A placer has written the close of a set-up, which ends the attempt.
    SetupClosed(ConnectionKey, SetupId),
    /// A host answers a set-up.
    HostAnswers(ConnectionKey, u32, SetupId),
    /// A task completes on a host.
    TaskEnds(usize, u32, SetupId),
    /// An input arrives at a placer.
    ToPlacer(usize, u32, Input),
    /// An owner sends a request: whether it is a resubmission, and the name of the task.
    Request(bool, u64),
    /// A fault begins or ends.
    Fault(Fault),
    /// A process of a placer starts.
    Start(usize),
    /// An update of the host list arrives at all placers.
    ListUpdate(Value),
}

/// An input that a placer handles in its next turn.
#[derive(Debug)]
enum Input {
    Connected(ConnectionId),
    ConnectionLost(ConnectionId, DisconnectReason),
    HostMessage(ConnectionId, FromHost),
    OwnerMessage(Box<FromOwner>),
    ListUpdate(Value),
}

/// A placer, with its engine while its process runs.
struct Process {
    incarnation: u32,
    engine: Option<Engine<Placer>>,
    inbox: Vec<Input>,
    /// The end of the current or last turn.
    busy_until: Micros,
    is_turn_scheduled: bool,
    /// When the timer that was scheduled last is due.
    next_timer: Micros,
}

struct Host {
    name: String,
    zone: usize,
    incarnation: u32,
    is_alive: bool,
    is_powered_off: bool,
    started: Micros,
    /// The running tasks by set-up id, with the placer and its incarnation that manage them.
    running: BTreeMap<u64, (usize, u32)>,
    pending_offers: HashSet<u64>,
}

struct Connection {
    host: usize,
    host_incarnation: u32,
    /// Messages from the placer that have not been written to the network.
    unwritten: Vec<Vec<u8>>,
    /// The ids of set-ups that the placer closed on this connection.
    closed_setups: HashSet<u64>,
}

struct Request {
    placer: usize,
    incarnation: u32,
    deadline: Micros,
    answered: bool,
    placed: bool,
    released: bool,
    task_name: u64,
    /// When the task was lost in the failure of its host.
    lost_at: Option<Micros>,
    /// The connection of the attempt in flight.
    in_flight: Option<ConnectionKey>,
}

/// The simulation.
pub struct Simulation {
    now: Micros,
    last_event_id: u64,
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    events: HashMap<u64, Event>,
    rng: Pcg64Mcg,
    placers: Vec<Process>,
    hosts: Vec<Host>,
    connections: BTreeMap<ConnectionKey, Connection>,
    partitioned_zones: BTreeSet<usize>,
    /// Messages held back by a partition, with the zone of the host.
    held_messages: Vec<(usize, Event)>,
    requests: BTreeMap<u64, Request>,
    last_sid: u64,
    cursor: u64,
    list_delay: Micros,
    resubmits_at_once: bool,
    connect_timing: ConnectTiming,
    /// The arrival times of set-ups at cold hosts, by host and its incarnation.
    cold_host_arrivals: BTreeMap<(usize, u32), Vec<Micros>>,
    summary: Summary,
}

impl Simulation {
    pub fn new(seed: u64, placers: usize, hosts: usize) -> Simulation {
        Simulation::with_connect_timing(
            seed,
            placers,
            hosts,
            ConnectTiming {
                timeout: 250 * MS,
                max_delay: NETWORK_DELAY,
            },
        )
    }

    pub fn with_connect_timing(
        seed: u64,
        placers: usize,
        hosts: usize,
        connect_timing: ConnectTiming,
    ) -> Simulation {
        let host = |n| Host {
            name: format!("s-{n}"),
            zone: n % ZONES.len(),
            incarnation: 0,
            is_alive: true,
            is_powered_off: false,
            started: 0,
            running: BTreeMap::new(),
            pending_offers: HashSet::new(),
        };
        let process = || Process {
            incarnation: 0,
            engine: None,
            inbox: Vec::new(),
            busy_until: 0,
            is_turn_scheduled: false,
            next_timer: 0,
        };
        let mut simulation = Simulation {
            now: START,
            last_event_id: 0,
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
            list_delay: SECOND,
            resubmits_at_once: false,
            connect_timing,
            cold_host_arrivals: BTreeMap::new(),
            summary: Summary::default(),
        };
        (0..placers).for_each(|p| simulation.start(p));
        simulation
    }

    /// Schedules `rate` requests per second between two times.
    pub fn schedule_requests(&mut self, from: Micros, to: Micros, rate: u64) {
        let interval = SECOND / rate;
        for at in (from..to).step_by(interval as usize) {
            let at = START + at + self.random_below(interval);
            let task_name = self.random_below(u64::MAX);
            self.schedule(at, Event::Request(false, task_name));
        }
    }

    pub fn schedule_fault(&mut self, at: Micros, fault: Fault) {
        self.schedule(START + at, Event::Fault(fault));
    }

    /// Sets the delay after which placers receive updates of the host list.
    pub fn set_list_delay(&mut self, delay: Micros) {
        self.list_delay = delay;
    }

    /// Makes owners resubmit rejected requests at once.
    pub fn resubmit_rejected_at_once(&mut self) {
        self.resubmits_at_once = true;
    }

    /// The maximum number of set-ups, from all placers, that arrived at a cold host within one window.
    pub fn max_arrivals_per_window(&self) -> usize {
        let count_from = |times: &[Micros], from: usize| {
            times[from..]
                .iter()
                .take_while(|&&t| t <= times[from] + OVERLOAD_WINDOW)
                .count()
        };
        let max_count = |times: &Vec<Micros>| {
            (0..times.len())
                .map(|n| count_from(times, n))
                .max()
                .unwrap_or(0)
        };
        self.cold_host_arrivals
            .values()
            .map(max_count)
            .max()
            .unwrap_or(0)
    }

    /// The table sizes of each running placer.
    pub fn table_sizes(&self) -> Vec<TableSizes> {
        self.placers
            .iter()
            .filter_map(|p| Some(p.engine.as_ref()?.table_sizes()))
            .collect()
    }

    pub fn run(&mut self, span: Micros) {
        let end = START + span;
        while let Some(&Reverse((at, event_id))) =
            self.queue.peek().filter(|Reverse((at, _))| *at <= end)
        {
            self.queue.pop();
            self.now = at;
            if let Some(event) = self.events.remove(&event_id) {
                self.handle_event(event);
            }
        }
        self.now = end;
    }

    /// Checks at the end of a simulation that each request was answered and each lost task released in time, and returns the
    /// results.
    pub fn check(&self) -> Summary {
        for (sid, request) in &self.requests {
            let is_same_process = self.placers[request.placer].incarnation == request.incarnation;
            assert!(
                !is_same_process || request.answered || request.deadline > self.now,
                "{sid:x} was not answered by its deadline"
            );
            if let Some(lost_at) = request.lost_at.filter(|_| is_same_process) {
                let release_due = lost_at + 8 * SECOND + 50 * MS;
                assert!(
                    request.released || release_due > self.now,
                    "{sid:x} was lost and not released within 8 s"
                );
            }
        }
        self.summary.clone()
    }

    fn random_below(&mut self, bound: u64) -> u64 {
        self.rng.next_u64() % bound.max(1)
    }

    fn schedule(&mut self, at: Micros, event: Event) {
        self.last_event_id += 1;
        self.queue.push(Reverse((at, self.last_event_id)));
        self.events.insert(self.last_event_id, event);
    }

    fn list_entry(&self, host: usize, status: &str) -> Value {
        let h = &self.hosts[host];
        json!({"name": h.name, "address": format!("127.0.0.1:{}", 1000 + host), "zone": ZONES[h.zone],
            "type": "std", "group": host / 4, "status": status, "since_ms": h.started / MS})
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Turn(placer, incarnation) if self.placers[placer].incarnation == incarnation => {
                self.turn(placer)
            }
            Event::TimerFired(placer, incarnation)
                if self.placers[placer].incarnation == incarnation =>
            {
                self.schedule_turn(placer)
            }
            Event::Turn(..) | Event::TimerFired(..) => {}
            Event::Connect(key, host) => self.handle_connect(key, host),
            Event::SetupClosed(key, sid) => {
                self.clear_in_flight(key, sid);
            }
            Event::HostReceives(key, bytes) => self.handle_host_input(key, &bytes),
            Event::HostAnswers(key, incarnation, sid) => {
                self.handle_host_answer(key, incarnation, sid)
            }
            Event::TaskEnds(host, incarnation, sid) => {
                let h = &mut self.hosts[host];
                if h.incarnation == incarnation && h.is_alive && h.running.remove(&sid.0).is_some()
                {
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
            Event::ToPlacer(placer, incarnation, input) => self.deliver(placer, incarnation, input),
            Event::Request(is_resubmission, task_name) => {
                self.send_request(is_resubmission, task_name)
            }
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
