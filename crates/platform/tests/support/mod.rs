//! A small world under simulated time: engines, hosts, a network between them, owners, and a judge of what crossed it.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, HashSet};

use maplethread::{Micros, Placer};
use maplethread_platform::decode_settings;
use maplethread_platform::engine::{Engine, LinkId, Loss, Output, OwnerId, TableSizes};
use maplethread_platform_wire::channel::{self, Batch};
use maplethread_platform_wire::host::{FromHost, Told};
use maplethread_platform_wire::owner::{FromOwner, SetUp, ToOwner};
use maplethread_platform_wire::{Sid, cause};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use serde_json::{Value, json};

pub const MS: Micros = 1000;
pub const S: Micros = 1_000_000;
const START: Micros = 1_700_000_000 * S;
const ZONES: [&str; 3] = ["east", "west", "north"];
const OWNER: OwnerId = OwnerId(1);
/// One way through the network; less than a turn takes to write.
const WAY: Micros = 200;
/// A placer's time for each connection it writes to.
const WRITE: Micros = 300;

/// Offers that a cold host bears in any window, from all placers together.
pub const FRESH: u64 = 60;
pub const WINDOW: Micros = 3 * S;
pub const COLD: Micros = 15 * S;

/// How connections come up.
#[derive(Clone, Copy, Debug)]
pub struct Connects {
    /// One that takes longer has failed.
    pub within: Micros,
    /// They take up to this.
    pub take: Micros,
}

/// A part of the hosts.
#[derive(Clone, Copy, Debug)]
pub enum Part {
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
    Cut(usize),
    /// The end of a cut.
    Heal(usize),
    /// All connections to these hosts are reset, under whatever is on them.
    Reset(Part),
    /// The processes of these hosts die: connections are reset, new ones refused. Until `Return`.
    Die(Part),
    /// These machines are gone and say nothing. Until `Return`.
    Vanish(Part),
    /// These hosts are taken off the list, which tells it late.
    Unlist(Part),
    /// These hosts come back as new processes.
    Return(Part),
    /// A placer is killed, and starts from nothing half a second later.
    Kill(usize),
}

/// What was seen by the end.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    pub asked: usize,
    pub placed: usize,
    /// Asks that were refused or failed.
    pub refused: usize,
    /// Tasks whose owners were told that they are lost, while they ran.
    pub released_running: usize,
    /// Tasks that ended with their host.
    pub lost: usize,
    /// The longest time from such an end to its release.
    pub latest_release: Micros,
}

type Key = (usize, u32, LinkId);

#[derive(Debug)]
enum Ev {
    Turn(usize, u32),
    Tick(usize, u32),
    Connect(Key, usize),
    AtHost(Key, Vec<u8>),
    GivenUp(Key, Sid),
    Answer(Key, u32, Sid),
    TaskEnds(usize, u32, Sid),
    ToPlacer(usize, u32, Input),
    Ask(bool, u64),
    Fault(Fault),
    Start(usize),
    Told(Value),
}

#[derive(Debug)]
enum Input {
    Up(LinkId),
    Lost(LinkId, Loss),
    Says(LinkId, FromHost),
    Owner(Box<FromOwner>),
    Told(Value),
}

struct Process {
    life: u32,
    engine: Option<Engine<Placer>>,
    inbox: Vec<Input>,
    busy: Micros,
    turn_set: bool,
    tick: Micros,
}

struct Host {
    zone: usize,
    life: u32,
    alive: bool,
    silent: bool,
    started: Micros,
    /// What runs, and for whom.
    running: BTreeMap<u64, (usize, u32)>,
    waiting: HashSet<u64>,
}

struct Conn {
    host: usize,
    host_life: u32,
    /// What is written by the placer and not yet handed to the network.
    out: Vec<Vec<u8>>,
    /// Set-ups of these ids were given up on it.
    given_up: HashSet<u64>,
}

struct Ask {
    placer: usize,
    life: u32,
    deadline: Micros,
    answered: bool,
    placed: bool,
    released: bool,
    key: u64,
    /// When it was lost with its host.
    lost: Option<Micros>,
    /// Where an attempt is out.
    out: Option<Key>,
}

/// All of it.
pub struct World {
    now: Micros,
    set: u64,
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    events: HashMap<u64, Ev>,
    rng: Pcg64Mcg,
    placers: Vec<Process>,
    hosts: Vec<Host>,
    conns: BTreeMap<Key, Conn>,
    cut: BTreeSet<usize>,
    held: Vec<(usize, Ev)>,
    asks: BTreeMap<u64, Ask>,
    last_sid: u64,
    cursor: u64,
    list_late: Micros,
    impatient: bool,
    connects: Connects,
    /// When set-ups reached hosts that had come up in this life, by host and life.
    reached: BTreeMap<(usize, u32), Vec<Micros>>,
    seen: Seen,
}

pub fn settings(ordinal: usize, placers: usize, connects: Connects) -> Value {
    json!({
        "allowed": {"connectTimeoutMs": connects.within / MS, "idleCloseMs": 30000.0, "maxAttempts": 3, "mayCancel": true,
            "peers": false, "probes": false, "retryAfter": false, "maxRetryAfterMs": 3000.0},
        "classes": [
            {"aimMs": 600.0, "effect": "pure", "name": "web", "windowMs": 5000.0, "group": "all", "worth": 3.0}],
        "domain": {"ack": "accepted", "admitCores": 1.5, "admitMemory": 1.5, "freeBy": "used", "listsFree": false,
            "kindByClass": [-1], "kindCores": [64], "memoryByKind": [172.0], "spreadMost": [4],
            "spreadOver": ["zone"], "startBonusS": [12.0], "classPriority": [0], "freshOffers": FRESH},
        "invariants": {"askWithinMs": 10000.0, "coldFrom": 0.17, "coldMs": COLD / MS, "fallMultiple": 4.0,
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
            Connects {
                within: 250 * MS,
                take: WAY,
            },
        )
    }

    pub fn with(seed: u64, placers: usize, hosts: usize, connects: Connects) -> World {
        let host = |n| Host {
            zone: n % ZONES.len(),
            life: 0,
            alive: true,
            silent: false,
            started: 0,
            running: BTreeMap::new(),
            waiting: HashSet::new(),
        };
        let process = || Process {
            life: 0,
            engine: None,
            inbox: Vec::new(),
            busy: 0,
            turn_set: false,
            tick: 0,
        };
        let mut world = World {
            now: START,
            set: 0,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            placers: (0..placers).map(|_| process()).collect(),
            hosts: (0..hosts).map(host).collect(),
            conns: BTreeMap::new(),
            cut: BTreeSet::new(),
            held: Vec::new(),
            asks: BTreeMap::new(),
            last_sid: 0,
            cursor: 1,
            list_late: S,
            impatient: false,
            connects,
            reached: BTreeMap::new(),
            seen: Seen::default(),
        };
        (0..placers).for_each(|p| world.start(p));
        world
    }

    /// So many asks a second, from one time to another.
    pub fn load(&mut self, from: Micros, to: Micros, rate: u64) {
        let gap = S / rate;
        for at in (from..to).step_by(gap as usize) {
            let at = START + at + self.draw(gap);
            let key = self.draw(u64::MAX);
            self.at(at, Ev::Ask(false, key));
        }
    }

    pub fn fault(&mut self, at: Micros, fault: Fault) {
        self.at(START + at, Ev::Fault(fault));
    }

    /// News of the list come so late.
    pub fn list_late(&mut self, by: Micros) {
        self.list_late = by;
    }

    /// Owners who are refused come again at once.
    pub fn impatient(&mut self) {
        self.impatient = true;
    }

    /// The most set-ups that reached a cold host in one window, from all placers.
    pub fn most_in_a_window(&self) -> usize {
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
        self.reached.values().map(most).max().unwrap_or(0)
    }

    /// What each placer holds in its tables.
    pub fn held(&self) -> Vec<TableSizes> {
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
                self.happens(event);
            }
        }
        self.now = end;
    }

    /// What was seen, once all is judged that only the end shows.
    pub fn verdict(&self) -> Seen {
        for (sid, ask) in &self.asks {
            let lives = self.placers[ask.placer].life == ask.life;
            assert!(
                !lives || ask.answered || ask.deadline > self.now,
                "{sid:x} got no answer in its time"
            );
            if let Some(lost) = ask.lost.filter(|_| lives) {
                let due = lost + 8 * S + 50 * MS;
                assert!(
                    ask.released || due > self.now,
                    "{sid:x} was lost, and its owner not told"
                );
            }
        }
        self.seen.clone()
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.rng.next_u64() % below.max(1)
    }

    fn at(&mut self, at: Micros, event: Ev) {
        self.set += 1;
        self.queue.push(Reverse((at, self.set)));
        self.events.insert(self.set, event);
    }

    fn entry(&self, host: usize, status: &str) -> Value {
        let h = &self.hosts[host];
        json!({"name": format!("s-{host}"), "address": format!("127.0.0.1:{}", 1000 + host), "zone": ZONES[h.zone],
            "type": "std", "group": host / 4, "status": status, "since_ms": h.started / MS})
    }

    fn start(&mut self, placer: usize) {
        let object = settings(placer, self.placers.len(), self.connects);
        let (decisions, terms) = decode_settings(&object).expect("sound settings");
        let seed = self.rng.next_u64();
        let decider = Placer::new(decisions.clone(), seed).expect("sound settings");
        let mut engine = Engine::new(terms, &decisions, decider);
        let all: Vec<Value> = (0..self.hosts.len())
            .map(|h| self.entry(h, "active"))
            .collect();
        engine.apply_update(self.now, &batch(&changes(self.cursor, true, &all)));
        engine.owner_opened(self.now, OWNER);
        engine.owner_says(self.now, OWNER, Ok(FromOwner::Probe(Sid(1))));
        let process = &mut self.placers[placer];
        process.engine = Some(engine);
        let life = process.life;
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
            let ask = self.asks.get_mut(&sid).expect("it was asked for");
            (ask.life, ask.answered, ask.out) = (life, true, None);
            let at = Some(format!("s-{host}"));
            let set_up = SetUp {
                at,
                left_ms: None,
                ..set_up(sid, ask.key, 0)
            };
            self.reaches(
                placer,
                life,
                Input::Owner(Box::new(FromOwner::SetUp(Box::new(set_up)))),
            );
        }
        self.wake(placer);
    }

    /// Has a placer take its turn as soon as it has time.
    fn wake(&mut self, placer: usize) {
        let process = &mut self.placers[placer];
        if !std::mem::replace(&mut process.turn_set, true) {
            let (at, life) = (process.busy.max(self.now), process.life);
            self.at(at, Ev::Turn(placer, life));
        }
    }

    fn reaches(&mut self, placer: usize, life: u32, input: Input) {
        if self.placers[placer].life == life && self.placers[placer].engine.is_some() {
            self.placers[placer].inbox.push(input);
            self.wake(placer);
        }
    }

    fn happens(&mut self, event: Ev) {
        match event {
            Ev::Turn(placer, life) if self.placers[placer].life == life => self.turn(placer),
            Ev::Tick(placer, life) if self.placers[placer].life == life => self.wake(placer),
            Ev::Turn(..) | Ev::Tick(..) => {}
            Ev::Connect(key, host) => self.connects(key, host),
            Ev::GivenUp(key, sid) => {
                self.out_no_more(key, sid);
            }
            Ev::AtHost(key, bytes) => self.at_host(key, &bytes),
            Ev::Answer(key, life, sid) => self.answers(key, life, sid),
            Ev::TaskEnds(host, life, sid) => {
                let h = &mut self.hosts[host];
                if h.life == life && h.alive && h.running.remove(&sid.0).is_some() {
                    self.host_tells(host, sid, FromHost::Close(sid, cause::NORMAL, None));
                }
            }
            Ev::ToPlacer(placer, life, input) => self.reaches(placer, life, input),
            Ev::Ask(again, key) => self.ask(again, key),
            Ev::Fault(fault) => self.befall(fault),
            Ev::Start(placer) => self.start(placer),
            Ev::Told(list) => {
                for placer in 0..self.placers.len() {
                    self.reaches(placer, self.placers[placer].life, Input::Told(list.clone()));
                }
            }
        }
    }

    fn ask(&mut self, again: bool, key: u64) {
        let up: Vec<usize> = (0..self.placers.len())
            .filter(|&p| self.placers[p].engine.is_some())
            .collect();
        let placer = up[self.draw(up.len() as u64) as usize];
        self.last_sid += 1;
        let (sid, life) = (self.last_sid << 8, self.placers[placer].life);
        let deadline = self.now + 6 * S;
        let ask = Ask {
            placer,
            life,
            deadline,
            answered: false,
            placed: false,
            released: false,
            key,
            lost: None,
            out: None,
        };
        self.asks.insert(sid, ask);
        self.seen.asked += usize::from(!again);
        let says = FromOwner::SetUp(Box::new(set_up(sid, key, 6000)));
        self.reaches(placer, life, Input::Owner(Box::new(says)));
    }

    /// One turn of a placer's loop, as its shell has it.
    fn turn(&mut self, placer: usize) {
        let now = self.now;
        let process = &mut self.placers[placer];
        process.turn_set = false;
        let (life, inbox) = (process.life, std::mem::take(&mut process.inbox));
        let Some(engine) = &mut process.engine else {
            return;
        };
        for input in inbox {
            match input {
                Input::Up(link) => engine.link_up(now, link),
                Input::Lost(link, loss) => engine.link_lost(now, link, loss),
                Input::Says(link, says) => engine.host_says(now, link, says),
                Input::Owner(says) => engine.owner_says(now, OWNER, Ok(*says)),
                Input::Told(list) => drop(engine.apply_update(now, &batch(&list))),
            }
        }
        engine.turn(now);
        let outputs = engine.outputs();
        let next = engine.next_timeout();
        let (mut at, mut dirty, mut told) = (now + 50, Vec::new(), Vec::new());
        for output in outputs {
            match output {
                Output::ToOwner(_, message) => told.push(message),
                Output::CloseOwner(_) => panic!("the owner did nothing wrong"),
                Output::Connect(link, address) => {
                    let more = self.connects.take.saturating_sub(WAY);
                    let takes = WAY + if more > 0 { self.draw(more) } else { 0 };
                    let key = (placer, life, link);
                    self.at(
                        at + takes,
                        Ev::Connect(key, usize::from(address.port()) - 1000),
                    );
                }
                Output::ToHost(link, bytes) => {
                    if let Some(conn) = self.conns.get_mut(&(placer, life, link)) {
                        conn.out.push(bytes);
                        dirty.push(link);
                    }
                }
                Output::SendToHostImmediately(link, bytes) => {
                    if let Some(conn) = self.conns.get_mut(&(placer, life, link)) {
                        conn.out.push(bytes);
                        self.write((placer, life, link), at);
                        at += WRITE;
                    }
                }
                Output::CloseLink(link) => self.close((placer, life, link)),
            }
        }
        // Whatever order a shell writes in, what had to be written first is written.
        while !dirty.is_empty() {
            let n = self.draw(dirty.len() as u64) as usize;
            let link = dirty.swap_remove(n);
            if self
                .conns
                .get(&(placer, life, link))
                .is_some_and(|c| !c.out.is_empty())
            {
                self.write((placer, life, link), at);
                at += WRITE;
            }
        }
        told.into_iter()
            .for_each(|message| self.owner_hears(at, placer, life, message));
        let process = &mut self.placers[placer];
        process.busy = at;
        if let Some(next) = next.map(|next| next.max(at))
            && (process.tick <= now || next < process.tick)
        {
            process.tick = next;
            self.at(next, Ev::Tick(placer, life));
        }
    }

    /// A connection's bytes go to the network.
    fn write(&mut self, key: Key, at: Micros) {
        let conn = self.conns.get_mut(&key).expect("it is open");
        let out = std::mem::take(&mut conn.out);
        let ends: Vec<Sid> = out
            .iter()
            .filter(|bytes| bytes[2] == 12)
            .map(|bytes| sid_of(bytes))
            .collect();
        conn.given_up.extend(ends.iter().map(|sid| sid.0));
        ends.into_iter()
            .for_each(|sid| self.at(at, Ev::GivenUp(key, sid)));
        out.into_iter()
            .for_each(|bytes| self.at(at + WAY, Ev::AtHost(key, bytes)));
    }

    fn out_no_more(&mut self, key: Key, sid: Sid) {
        if let Some(ask) = self.asks.get_mut(&sid.0).filter(|a| a.out == Some(key)) {
            ask.out = None;
        }
    }

    /// A placer closes a connection, which gives up what is open on it.
    fn close(&mut self, key: Key) {
        let Some(conn) = self.conns.remove(&key) else {
            return;
        };
        for (sid, ask) in &mut self.asks {
            if ask.out == Some(key) {
                ask.out = None;
                self.hosts[conn.host].waiting.remove(sid);
            }
        }
    }

    fn owner_hears(&mut self, at: Micros, placer: usize, life: u32, message: ToOwner) {
        let (sid, ready) = match message {
            ToOwner::Ready(sid, _) => (sid, true),
            ToOwner::Close(sid, _) => (sid, false),
            ToOwner::Relocate(_) | ToOwner::Probed(..) | ToOwner::Closed(_) => return,
        };
        let ask = self.asks.get_mut(&sid.0).expect("it was asked for");
        assert_eq!((ask.placer, ask.life), (placer, life), "{sid}");
        if !ask.answered {
            assert!(at <= ask.deadline + 50 * MS, "{sid} was answered late");
            (ask.answered, ask.placed) = (true, ready);
            let key = ask.key;
            self.seen.placed += usize::from(ready);
            self.seen.refused += usize::from(!ready);
            if !ready && self.impatient {
                self.at(at + WAY, Ev::Ask(true, key));
            }
            return;
        }
        assert!(!ready && !ask.released, "{sid} got a second answer");
        ask.released = true;
        let key = ask.key;
        if let Some(lost) = ask.lost {
            self.seen.latest_release = self.seen.latest_release.max(at - lost);
        }
        let runs = self.hosts.iter_mut().find_map(|h| h.running.remove(&sid.0));
        self.seen.released_running += usize::from(runs.is_some());
        if runs.is_some() || ask.lost.is_some() {
            let again = at + 100 * MS + self.draw(400 * MS);
            self.at(again, Ev::Ask(true, key));
        }
    }

    fn connects(&mut self, key: Key, host: usize) {
        let h = &self.hosts[host];
        if h.silent || self.cut.contains(&h.zone) || self.placers[key.0].life != key.1 {
            return;
        }
        let input = if h.alive {
            Input::Up(key.2)
        } else {
            Input::Lost(key.2, Loss::Refused)
        };
        if h.alive {
            let conn = Conn {
                host,
                host_life: h.life,
                out: Vec::new(),
                given_up: HashSet::new(),
            };
            self.conns.insert(key, conn);
        }
        self.at(self.now + WAY, Ev::ToPlacer(key.0, key.1, input));
    }

    fn at_host(&mut self, key: Key, bytes: &[u8]) {
        let Some(conn) = self.conns.get(&key) else {
            return;
        };
        let (host, old) = (conn.host, conn.host_life);
        let zone = self.hosts[host].zone;
        if self.cut.contains(&zone) {
            self.held.push((zone, Ev::AtHost(key, bytes.to_vec())));
            return;
        }
        if self.hosts[host].silent {
            return;
        }
        if self.hosts[host].life != old || !self.hosts[host].alive {
            self.break_off(key);
            return;
        }
        let sid = sid_of(bytes);
        match bytes[2] {
            1 if !conn.given_up.contains(&sid.0) => {
                let ask = self.asks.get_mut(&sid.0).expect("an owner sent it");
                assert!(ask.out.is_none(), "{sid} has two attempts out");
                assert!(
                    !(ask.answered && ask.life == key.1),
                    "{sid} is sent on after its answer"
                );
                ask.out = Some(key);
                if self.hosts[host].started + COLD > self.now {
                    self.reached.entry((host, old)).or_default().push(self.now);
                }
                self.hosts[host].waiting.insert(sid.0);
                let slow = self.draw(100) < 4;
                let after = if slow {
                    300 * MS + self.draw(900 * MS)
                } else {
                    2 * MS + self.draw(20 * MS)
                };
                self.at(self.now + after, Ev::Answer(key, old, sid));
            }
            12 => {
                self.hosts[host].waiting.remove(&sid.0);
                self.hosts[host].running.remove(&sid.0);
            }
            52 => self.says(key, FromHost::Probed(true)),
            _ => {}
        }
    }

    fn answers(&mut self, key: Key, life: u32, sid: Sid) {
        let Some(host) = self.conns.get(&key).map(|c| c.host) else {
            return;
        };
        let h = &mut self.hosts[host];
        if h.life != life || !h.alive || !h.waiting.remove(&sid.0) {
            return;
        }
        self.out_no_more(key, sid);
        let (lot, lasts) = (self.draw(100), 8 * S + self.draw(10 * S));
        if lot < 3 {
            self.says(key, FromHost::Close(sid, cause::ERROR, None));
        } else if lot < 6 {
            self.says(key, FromHost::Close(sid, cause::FULL, Some(Told::NoCores)));
        } else {
            self.hosts[host].running.insert(sid.0, (key.0, key.1));
            self.says(key, FromHost::Ready(sid, "there".into()));
            self.says(key, FromHost::Event(sid, Told::Live, 0.0));
            self.at(self.now + lasts, Ev::TaskEnds(host, life, sid));
        }
    }

    fn says(&mut self, key: Key, says: FromHost) {
        let zone = self.conns.get(&key).map(|c| self.hosts[c.host].zone);
        let event = Ev::ToPlacer(key.0, key.1, Input::Says(key.2, says));
        match zone {
            Some(zone) if self.cut.contains(&zone) => self.held.push((zone, event)),
            Some(_) => self.at(self.now + WAY, event),
            None => {}
        }
    }

    /// What a host has to say of a task, on any connection of the placer that it belongs to.
    fn host_tells(&mut self, host: usize, sid: Sid, says: FromHost) {
        let Some(ask) = self.asks.get(&sid.0) else {
            return;
        };
        let (placer, life) = (ask.placer, ask.life);
        let open = self
            .conns
            .iter()
            .find(|(k, c)| k.0 == placer && k.1 == life && c.host == host);
        if let Some((&key, _)) = open {
            self.says(key, says);
        } else if let Some(ask) = self.asks.get_mut(&sid.0) {
            // It is told on the next connection, which this host leaves out: it counts as lost.
            ask.lost = ask.lost.or(Some(self.now));
        }
    }

    fn break_off(&mut self, key: Key) {
        self.close(key);
        self.at(
            self.now + WAY,
            Ev::ToPlacer(key.0, key.1, Input::Lost(key.2, Loss::Broken)),
        );
    }

    fn befall(&mut self, fault: Fault) {
        match fault {
            Fault::Cut(zone) => drop(self.cut.insert(zone)),
            Fault::Heal(zone) => {
                self.cut.remove(&zone);
                let held = std::mem::take(&mut self.held);
                let (now, later) = held.into_iter().partition(|(z, _)| *z == zone);
                self.held = later;
                let now: Vec<(usize, Ev)> = now;
                now.into_iter()
                    .for_each(|(_, event)| self.at(self.now + WAY, event));
            }
            Fault::Reset(part) => self.reset(part),
            Fault::Die(part) => {
                self.end_hosts(part, false);
                self.reset(part);
                self.list(part, "left");
            }
            Fault::Vanish(part) => self.end_hosts(part, true),
            Fault::Unlist(part) => self.list(part, "left"),
            Fault::Return(part) => {
                for host in self.part(part) {
                    let host = &mut self.hosts[host];
                    (host.alive, host.silent, host.started) = (true, false, self.now);
                    host.life += 1;
                }
                self.list(part, "active");
            }
            Fault::Kill(placer) => {
                let process = &mut self.placers[placer];
                process.life += 1;
                (process.engine, process.turn_set, process.tick) = (None, false, 0);
                process.inbox.clear();
                let life = process.life;
                let old: Vec<Key> = self
                    .conns
                    .keys()
                    .filter(|k| k.0 == placer && k.1 < life)
                    .copied()
                    .collect();
                old.into_iter().for_each(|key| self.close(key));
                self.at(self.now + S / 2, Ev::Start(placer));
            }
        }
    }

    fn part(&self, part: Part) -> Vec<usize> {
        let within = |h: &usize| match part {
            Part::Zone(zone) => self.hosts[*h].zone == zone,
            Part::All => true,
            Part::Half => h.is_multiple_of(2),
            Part::One(host) => *h == host,
        };
        (0..self.hosts.len()).filter(within).collect()
    }

    fn reset(&mut self, part: Part) {
        let hosts = self.part(part);
        let of = |c: &Conn| hosts.contains(&c.host);
        let cut: Vec<Key> = self
            .conns
            .iter()
            .filter(|(_, c)| of(c))
            .map(|(k, _)| *k)
            .collect();
        cut.into_iter().for_each(|key| self.break_off(key));
    }

    fn end_hosts(&mut self, part: Part, silent: bool) {
        for host in self.part(part) {
            let host = &mut self.hosts[host];
            (host.alive, host.silent) = (false, silent);
            host.waiting.clear();
            for (sid, _) in std::mem::take(&mut host.running) {
                let ask = self.asks.get_mut(&sid).expect("it was asked for");
                if ask.placed {
                    ask.lost = Some(self.now);
                    self.seen.lost += 1;
                }
            }
        }
    }

    /// The list has it, and tells of it late.
    fn list(&mut self, part: Part, status: &str) {
        let entries: Vec<Value> = self
            .part(part)
            .into_iter()
            .map(|h| self.entry(h, status))
            .collect();
        self.cursor += 1;
        let list = changes(self.cursor, false, &entries);
        self.at(self.now + self.list_late, Ev::Told(list));
    }
}

fn sid_of(bytes: &[u8]) -> Sid {
    Sid(u64::from_be_bytes(bytes[3..11].try_into().expect("an id")))
}

fn set_up(sid: u64, key: u64, left: u64) -> SetUp {
    SetUp {
        sid: Sid(sid),
        class: "web".into(),
        left_ms: Some(left as f64),
        key: format!("{key:016x}"),
        idem: None,
        cores: 0.5,
        memory: 1.0,
        service: key % 400,
        at: None,
        again: false,
        life_ms: None,
        text: "text".into(),
    }
}

fn changes(cursor: u64, snapshot: bool, endpoints: &[Value]) -> Value {
    let nodes = json!({"index": cursor, "snapshot": snapshot, "endpoints": endpoints});
    json!({"cursor": cursor, "cmds": [{"cursor": cursor, "nodes": nodes}]})
}

fn batch(list: &Value) -> Batch {
    channel::read(list.to_string().as_bytes()).expect("sound")
}
