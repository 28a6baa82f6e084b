//! A day: hosts and owners in this process, placers as processes of their own, troubles on time, and the verdict.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command as Process, Stdio};
use std::sync::Arc;
use std::time::Duration;

use maplethread_config::{
    Api, Consul, Damping, HostEntry, HostState, Hosts, Identity, Inventory, Membership, PlacerConfig,
    Placing, Prices, Reads, Rules as PlacerRules,
};
use maplethread_consul_standin::{Faults as CatalogueFaults, Servers, Settings as ServerSettings};
use maplethread_judge::{Broken, ClassRule, Figures, Group, Place, Record, Seen, Verdict, Where, judge};
use maplethread_wire::frame::Frame;
use maplethread_wire::http::{self, Found, Limits, Reader, Role};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};

use crate::host::Faults;
use crate::owners::{Front, Owners, SLACK};
use crate::rack::{Command, Rack};
use crate::scenario::{Scenario, Trouble, TroubleKind};
use crate::world::{Dice, Service, World};

/// How to play a day.
#[derive(Clone, Debug)]
pub struct Options {
    /// The day.
    pub scenario: Scenario,
    /// Seed of everything drawn.
    pub seed: u64,
    /// The program whose `placer` subcommand is run.
    pub program: PathBuf,
    /// Use the random-choice decider.
    pub random: bool,
    /// Break this rule (1 to 5) on purpose; 0 for none.
    pub rogue: u8,
    /// Hosts and placers register in a catalogue, with this way of damping.
    pub consul: Option<Damping>,
    /// Tell how it goes, on standard error.
    pub progress: bool,
    /// Keep the placers' logs and settings in this folder.
    pub keep: Option<PathBuf>,
}

/// What a day came to.
pub struct Report {
    /// What the traffic shows.
    pub verdict: Verdict,
    /// The worth served over the worth asked for.
    pub service: Service,
    /// Seconds that second copies ran.
    pub double_s: f64,
    /// Times from an ask to `placed` at the owner, µs, sorted.
    pub place_us: Vec<u64>,
    /// Times of decisions, µs, with their counts, of all placers that were up at the end.
    pub decide_us: BTreeMap<u64, u64>,
    /// Offers to a host in the second after its health came back: how many returns, the mean and the most.
    pub returns: (usize, f64, usize),
    /// The record, for frames that show a broken rule.
    pub record: Vec<Record>,
}

impl Report {
    /// No rule broken, and no ask without its answer.
    pub fn good(&self) -> bool {
        self.verdict.broken.is_empty() && self.verdict.unanswered == 0
    }

    fn decide_quantile(&self, q: f64) -> u64 {
        let all: u64 = self.decide_us.values().sum();
        let mut left = (all as f64 * q).ceil() as u64;
        for (&value, &count) in &self.decide_us {
            if left <= count {
                return value;
            }
            left -= count;
        }
        self.decide_us.keys().last().copied().unwrap_or(0)
    }

    fn place_quantile(&self, q: f64) -> f64 {
        let at = ((self.place_us.len() as f64 * q).ceil() as usize).max(1) - 1;
        self.place_us.get(at.min(self.place_us.len().saturating_sub(1))).copied().unwrap_or(0) as f64 / 1000.0
    }

    /// The report as one object.
    pub fn json(&self) -> Value {
        let v = &self.verdict;
        let broken: BTreeMap<String, u64> = v.counts().into_iter().map(|(r, n)| (r.to_string(), n)).collect();
        json!({
            "asks": v.asks, "placed": v.placed, "refused": v.refused, "failed": v.failed,
            "turned_away": v.turned_away, "unanswered": v.unanswered, "excused": v.excused,
            "offers": v.offers, "refused_by": v.refused_by,
            "service": self.service.whole,
            "service_worst_10_s": self.service.worst_10_s,
            "service_worst_class": self.service.worst_class,
            "double_s": self.double_s,
            "broken": broken,
            "broken_shown": v.broken.iter().take(20).map(|b| self.shown(b)).collect::<Vec<_>>(),
            "returns": {"count": self.returns.0, "offers_mean": self.returns.1, "offers_most": self.returns.2},
            "place_ms": {
                "p50": self.place_quantile(0.5), "p99": self.place_quantile(0.99), "max": self.place_quantile(1.0),
            },
            "decide_us": { "p50": self.decide_quantile(0.5), "p99": self.decide_quantile(0.99) },
        })
    }

    fn shown(&self, broken: &Broken) -> Value {
        let first = self.record.first().map_or(0, |r| r.at);
        let frames: Vec<String> = broken
            .shown_by
            .iter()
            .take(12)
            .filter_map(|&i| self.record.get(i))
            .map(|r| format!("{:.3} s {:?}", (r.at - first) as f64 / 1e6, r.seen))
            .collect();
        json!({"rule": broken.rule, "what": broken.what, "records": frames})
    }

    /// The report for a person.
    pub fn text(&self) -> String {
        let v = &self.verdict;
        let mut out = String::new();
        let s = &self.service;
        let _ = writeln!(
            out,
            "asks {}: placed {}, refused {}, failed {}, turned away {}; unanswered {}, excused {}",
            v.asks, v.placed, v.refused, v.failed, v.turned_away, v.unanswered, v.excused
        );
        let _ = writeln!(
            out,
            "service {:.3} of the worth asked for; worst ten seconds {:.3}, worst-served class {:.3} (simulated work)",
            s.whole, s.worst_10_s, s.worst_class
        );
        let _ = writeln!(
            out,
            "ask to placed: p50 {:.1} ms, p99 {:.1} ms, max {:.1} ms; decisions: p50 {} us, p99 {} us; {} offers",
            self.place_quantile(0.5),
            self.place_quantile(0.99),
            self.place_quantile(1.0),
            self.decide_quantile(0.5),
            self.decide_quantile(0.99),
            v.offers
        );
        for broken in v.broken.iter().take(10) {
            let _ = writeln!(out, "rule {} broken: {}", broken.rule, broken.what);
            if let Some(records) = self.shown(broken)["records"].as_array() {
                for line in records.iter().filter_map(Value::as_str) {
                    let _ = writeln!(out, "    {line}");
                }
            }
        }
        if v.broken.len() > 10 {
            let _ = writeln!(out, "and {} more", v.broken.len() - 10);
        }
        let _ = if self.good() {
            writeln!(out, "all five rules held, and every ask had exactly one answer")
        } else {
            writeln!(out, "RULES BROKEN: {:?} (rule: times)", v.counts())
        };
        out
    }
}

struct PlacerProcess {
    config: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    paused: bool,
}

/// Something that happens at a time of the day.
#[derive(Clone, Debug)]
enum Act {
    Host(Command),
    HostListed(usize, HostState),
    /// Changes a host's faults.
    Fault(usize, Fault, bool),
    Kill(usize),
    Respawn(usize),
    Pause(usize),
    GoOn(usize),
    Noticed(usize),
    Garbage(&'static str),
    Flap(usize, bool),
    Catalogue(CatalogueFaults),
    LoseLeader(u64),
    Overload(f64),
    HangUps(f64),
    Late(f64),
}

#[derive(Clone, Debug)]
enum Fault {
    Silent,
    Errors(f64),
    Class(String, f64, bool),
    AnswersLost(f64),
    Neighbour(f64),
    Slow(f64),
}

struct Day<'a> {
    options: &'a Options,
    scenario: Arc<Scenario>,
    world: World,
    dice: Dice,
    rack: Rack,
    folder: PathBuf,
    placers: Vec<PlacerProcess>,
    acts: Vec<(u64, Act)>,
    /// Host states that the inventory will tell, and when.
    news: Vec<(u64, usize, HostState)>,
    listed: Vec<(HostState, Option<u64>)>,
    faults: Vec<Faults>,
    /// The hosts that the last sound inventory told as ready.
    told_ready: Vec<(Arc<str>, Option<u64>)>,
    notice: u64,
    garbled: bool,
    /// When a host's health came back after a flap.
    returned: Vec<(u64, Arc<str>)>,
    /// Hosts that said that they drain.
    draining: BTreeSet<usize>,
    servers: Option<Servers>,
    /// The hosts as they stand in the catalogue, and whether it lacks something.
    in_catalogue: Inventory,
    unregistered: bool,
}

/// Plays a day and judges it.
pub fn play(options: &Options) -> io::Result<Report> {
    let scenario = Arc::new(options.scenario.clone());
    let temporary = tempfile::tempdir()?;
    let folder = options.keep.clone().unwrap_or_else(|| temporary.path().to_owned());
    std::fs::create_dir_all(&folder)?;
    let world = World::new(scenario.class.len());
    let rack = Rack::start(&scenario, &world, options.seed, None)?;
    let hosts = scenario.fleet.hosts;
    let servers = match options.consul {
        None => None,
        Some(_) => {
            let world = world.clone();
            let watch = move |who: &str, index: u64, consistent: bool, body: &[u8]| {
                let placer = who.split(['(', ')']).nth(1).unwrap_or("").into();
                world.see(Seen::Catalogue { placer, index, consistent, body: body.into() });
            };
            let settings =
                ServerSettings { seed: options.seed, watch: Some(Arc::new(watch)), ..ServerSettings::new(3) };
            Some(Servers::start(settings)?)
        }
    };
    let mut day = Day {
        options,
        dice: Dice::new(options.seed, 1),
        rack,
        folder,
        placers: Vec::new(),
        acts: Vec::new(),
        news: Vec::new(),
        listed: vec![(HostState::Ready, None); hosts],
        faults: vec![Faults::default(); hosts],
        told_ready: Vec::new(),
        notice: scenario.fleet.notice_ms * 1000,
        garbled: false,
        returned: Vec::new(),
        draining: BTreeSet::new(),
        servers,
        in_catalogue: Inventory::default(),
        unregistered: false,
        world,
        scenario,
    };
    let result = day.run();
    for placer in &mut day.placers {
        if let Some(child) = &mut placer.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
    result
}

impl Day<'_> {
    fn run(&mut self) -> io::Result<Report> {
        for number in 0..self.scenario.fleet.hosts {
            self.listed[number] = (HostState::Ready, Some(self.started(number)));
        }
        self.write_inventory()?;
        let mut fronts = Vec::new();
        for number in 0..self.scenario.placers as usize {
            let config = self.write_config(number)?;
            let name = format!("placer-{number}");
            let log = self.folder.join(format!("{name}.log"));
            self.placers.push(PlacerProcess { config, log, child: None, paused: false });
            let address = self.spawn(number)?;
            let zone = self.scenario.fleet.zones[number % self.scenario.fleet.zones.len()].clone();
            fronts.push(Front { name, zone, address: Some(address), life: 1, down: false });
        }
        self.plan();
        let owners = Owners::start(self.scenario.clone(), self.world.clone(), self.options.seed, fronts)?;
        let start = self.world.clock.now();
        let end = start + (self.scenario.seconds * 1e6) as u64;
        let mut told = 0;
        let mut closing = None;
        loop {
            let now = self.world.clock.now();
            self.acts.sort_by_key(|a| a.0);
            while self.acts.first().is_some_and(|a| start + a.0 <= now) {
                let (_, act) = self.acts.remove(0);
                self.act(act, &owners)?;
            }
            self.tell_news(now)?;
            if now >= end && closing.is_none() {
                owners.mood().closing = true;
                closing = Some(now);
            }
            let over = owners.mood().closed || closing.is_some_and(|at| now > at + 30_000_000);
            if over && self.acts.is_empty() {
                break;
            }
            let second = (now - start) / 1_000_000;
            if self.options.progress && second > told {
                told = second;
                let (asked, placed) = {
                    let mood = owners.mood();
                    (mood.asked, mood.placed)
                };
                eprint!("\r{second:3} s: {asked} asks, {placed} placed ");
                let _ = io::stderr().flush();
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        if self.options.progress {
            eprintln!();
        }
        let service = self.world.ledger().service(end);
        let double_s = self.world.ledger().double_s;
        let decide_us = self.decide_times(&owners);
        let mut place_us = owners.end()?;
        place_us.sort_unstable();
        self.stop_placers();
        let record = self.world.take_record();
        let verdict = judge(&record, &self.figures());
        let returns = returns(&record, &self.returned);
        Ok(Report { verdict, service, double_s, place_us, decide_us, returns, record })
    }

    fn figures(&self) -> Figures {
        let s = &self.scenario;
        let class = |c: &crate::scenario::Class| {
            use maplethread_config as mc;
            ClassRule {
                name: c.rules.name.clone(),
                keyed: c.rules.group.zip(c.rules.window_ms).map(|(group, ms)| {
                    let group = match group {
                        mc::Group::All => Group::All,
                        mc::Group::Zone => Group::Zone,
                        mc::Group::Cell => Group::Cell,
                    };
                    (group, ms * 1000)
                }),
                spread: c.rules.spread_over.zip(c.rules.spread_most).map(|(place, most)| {
                    let place = match place {
                        mc::Place::Host => Place::Host,
                        mc::Place::Cell => Place::Cell,
                        mc::Place::Zone => Place::Zone,
                    };
                    (place, most)
                }),
            }
        };
        let host = |number: usize| {
            let (zone, cell) = s.place_of(number);
            Where { host: format!("host-{number:02}").into(), zone: zone.into(), cell: cell.into() }
        };
        Figures {
            classes: s.class.iter().map(class).collect(),
            hosts: (0..s.fleet.hosts).map(host).collect(),
            placers: s.placers,
            drain_grace: s.rules.drain_grace_ms * 1000,
            cold_for: s.rules.cold_for_ms * 1000,
            fall_window: s.rules.fall_window_ms * 1000,
            fresh_offers: s.rules.fresh_offers,
            lost_after: hosts("").lost_after_ms * 1000,
            slack: SLACK,
        }
    }

    fn started(&self, host: usize) -> u64 {
        self.rack.started.lock().unwrap_or_else(std::sync::PoisonError::into_inner)[host]
    }

    fn write_config(&self, number: usize) -> io::Result<PathBuf> {
        let s = &self.scenario;
        let zones = &s.fleet.zones;
        let config = PlacerConfig {
            placer: Identity {
                name: format!("placer-{number}"),
                number: number as u32,
                placers: s.placers,
                zone: zones[number % zones.len()].clone(),
                zones: zones.clone(),
                seed: Some(self.options.seed.wrapping_mul(1000) + number as u64),
            },
            api: api(),
            hosts: Hosts {
                inventory: self.servers.is_none().then(|| "hosts.toml".into()),
                ..hosts("hosts.toml")
            },
            consul: self.servers.as_ref().map(|servers| {
                let membership = Membership {
                    service: "maplethread-placer".to_owned(),
                    prefix: "maplethread/slots".to_owned(),
                    ttl_ms: 2_000,
                    lock_delay_ms: 1_000,
                };
                consul(servers.addresses.clone(), self.options.consul.unwrap_or_default(), Some(membership))
            }),
            placing: Placing {
                placed_when: s.fleet.placed_when,
                admit_cores: s.fleet.over_cores,
                admit_memory: s.fleet.over_memory,
                ..Placing::default()
            },
            rules: PlacerRules {
                ask_within_ms: 10_000,
                cold_from: s.rules.cold_from,
                cold_for_ms: s.rules.cold_for_ms,
                fall_multiple: s.rules.fall_multiple,
                fall_window_ms: s.rules.fall_window_ms,
                fresh_offers: s.rules.fresh_offers,
            },
            prices: Prices::default(),
            kind: s.kind.iter().map(|k| k.kind()).collect(),
            class: s.class.iter().map(|c| c.rules.clone()).collect(),
        };
        let path = self.folder.join(format!("placer-{number}.toml"));
        let text = config.to_toml().map_err(io::Error::other)?;
        std::fs::write(&path, text)?;
        Ok(path)
    }

    fn spawn(&mut self, number: usize) -> io::Result<SocketAddr> {
        let placer = &mut self.placers[number];
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&placer.log)?;
        let mut process = Process::new(&self.options.program);
        process.arg("placer").arg("--config").arg(&placer.config).arg("--log-format").arg("text");
        if self.options.keep.is_some() {
            process.arg("--log").arg("debug");
        }
        if self.options.random || self.options.rogue > 0 {
            process.arg("--decider").arg("random").arg("--rogue").arg(self.options.rogue.to_string());
        }
        let mut child = process.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(log).spawn()?;
        let out = child.stdout.take();
        placer.child = Some(child);
        let mut line = String::new();
        if let Some(out) = out {
            BufReader::new(out).read_line(&mut line)?;
        }
        let address = line.trim().rsplit(' ').next().and_then(|a| a.parse().ok());
        let address = address.ok_or_else(|| {
            let log = std::fs::read_to_string(&self.placers[number].log).unwrap_or_default();
            io::Error::other(format!("placer {number} did not start: {log}"))
        })?;
        self.world.see(Seen::PlacerUp { placer: format!("placer-{number}").into() });
        Ok(address)
    }

    fn replace_inventory(&self, text: &str) -> io::Result<()> {
        replace(&self.folder.join("hosts.toml"), text)
    }

    fn write_inventory(&mut self) -> io::Result<()> {
        if let Some(servers) = &self.servers {
            let now = inventory(&self.scenario, &self.rack.addresses, &self.listed);
            let mut told = Vec::new();
            for host in &now.host {
                let known = self.in_catalogue.host.iter().find(|h| h.name == host.name);
                match known {
                    Some(known) if known == host => told.push(host.clone()),
                    _ if register(servers.addresses[0], host).is_ok() => told.push(host.clone()),
                    // The catalogue has no leader: told with the next news.
                    _ => told.extend(known.cloned()),
                }
            }
            self.unregistered = told != now.host;
            self.in_catalogue.host = told;
            return Ok(());
        }
        let inventory = inventory(&self.scenario, &self.rack.addresses, &self.listed);
        let ready = inventory.host.iter().filter(|h| h.state == HostState::Ready);
        let ready: Vec<_> = ready.map(|h| (Arc::from(h.name.as_str()), h.started_ms)).collect();
        let text = toml::to_string(&inventory).map_err(io::Error::other)?;
        // A placer may act on good news before the record has it, so that stands there first; bad news counts from
        // when the file was surely in place.
        let mut either = ready.clone();
        either.extend(
            self.told_ready.iter().filter(|(host, _)| !ready.iter().any(|(h, _)| h == host)).cloned(),
        );
        self.world.see(Seen::Inventory { ready: either });
        self.replace_inventory(&text)?;
        self.world.see(Seen::Inventory { ready: ready.clone() });
        self.told_ready = ready;
        Ok(())
    }

    /// The inventory tells what it has noticed.
    fn tell_news(&mut self, now: u64) -> io::Result<()> {
        if self.garbled || !(self.unregistered || self.news.iter().any(|n| n.0 <= now)) {
            return Ok(());
        }
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.news).into_iter().partition(|n| n.0 <= now);
        self.news = later;
        for (_, host, state) in due {
            let started = self.started(host);
            self.listed[host] = (state, (started > 0).then_some(started).or(self.listed[host].1));
        }
        self.write_inventory()
    }

    /// Draws the hosts that a trouble strikes.
    fn struck(&mut self, trouble: &Trouble) -> Vec<usize> {
        let mut all: Vec<usize> = (0..self.scenario.fleet.hosts).collect();
        if let Some(zone) = &trouble.zone {
            all.retain(|&h| self.scenario.place_of(h).0 == *zone);
            if trouble.reach == 0.0 {
                return all;
            }
        }
        self.dice.shuffle(&mut all);
        let n = (all.len() as f64 * trouble.reach).round().max(1.0) as usize;
        all.truncate(n);
        all
    }

    fn struck_placers(&mut self, trouble: &Trouble) -> Vec<usize> {
        let mut all: Vec<usize> = (0..self.scenario.placers as usize).collect();
        self.dice.shuffle(&mut all);
        let n = (all.len() as f64 * trouble.reach).round().max(1.0) as usize;
        all.truncate(n);
        all
    }

    /// Lays out what each trouble does, and when.
    fn plan(&mut self) {
        let scenario = self.scenario.clone();
        for trouble in &scenario.trouble {
            let at = (trouble.at_s * 1e6) as u64;
            let until = at + (trouble.for_s * 1e6) as u64;
            let mut acts: Vec<(u64, Act)> = Vec::new();
            let size = trouble.size;
            let both = |acts: &mut Vec<(u64, Act)>, host: usize, fault: Fault| {
                acts.push((at, Act::Fault(host, fault.clone(), true)));
                acts.push((until, Act::Fault(host, fault, false)));
            };
            match trouble.kind {
                TroubleKind::HostCrash | TroubleKind::ZoneLoss => {
                    for host in self.struck(trouble) {
                        acts.push((at, Act::Host(Command::Crash(host))));
                        acts.push((at, Act::HostListed(host, HostState::Gone)));
                        acts.push((until, Act::Host(Command::Start(host))));
                        acts.push((until + 1, Act::HostListed(host, HostState::Ready)));
                    }
                }
                TroubleKind::Silence => {
                    for host in self.struck(trouble) {
                        acts.push((at, Act::Fault(host, Fault::Silent, true)));
                        acts.push((until, Act::Host(Command::Crash(host))));
                        acts.push((until + 1, Act::Fault(host, Fault::Silent, false)));
                        acts.push((until + 300_000, Act::Host(Command::Start(host))));
                        acts.push((until + 300_001, Act::HostListed(host, HostState::Ready)));
                    }
                }
                TroubleKind::RollingDeploy => {
                    let hosts = self.struck(trouble);
                    let batch = ((scenario.fleet.hosts as f64 * size).round() as usize).max(1);
                    let batches = hosts.len().div_ceil(batch).max(1) as u64;
                    let step = (until - at) / batches;
                    for (i, host) in hosts.into_iter().enumerate() {
                        let at = at + (i / batch) as u64 * step;
                        acts.push((at, Act::Host(Command::Drain(host))));
                        acts.push((at, Act::HostListed(host, HostState::Draining)));
                        acts.push((at + step / 2, Act::Host(Command::Crash(host))));
                        acts.push((at + step / 2 + 300_000, Act::Host(Command::Start(host))));
                        acts.push((at + step / 2 + 300_001, Act::HostListed(host, HostState::Ready)));
                    }
                }
                TroubleKind::Shrink => {
                    for host in self.struck(trouble) {
                        acts.push((at, Act::Host(Command::Drain(host))));
                        acts.push((at, Act::HostListed(host, HostState::Draining)));
                        acts.push((until, Act::Host(Command::Crash(host))));
                        acts.push((until, Act::HostListed(host, HostState::Gone)));
                    }
                }
                TroubleKind::FastErrors => {
                    for host in self.struck(trouble) {
                        both(&mut acts, host, Fault::Errors(size));
                    }
                }
                TroubleKind::ClassErrors | TroubleKind::ClassSilence => {
                    let errors = trouble.kind == TroubleKind::ClassErrors;
                    let class = trouble.class.clone().unwrap_or_else(|| scenario.class[0].rules.name.clone());
                    for host in self.struck(trouble) {
                        both(&mut acts, host, Fault::Class(class.clone(), size, errors));
                    }
                }
                TroubleKind::AnswersLost => {
                    for host in self.struck(trouble) {
                        both(&mut acts, host, Fault::AnswersLost(size));
                    }
                }
                TroubleKind::Neighbour => {
                    for host in self.struck(trouble) {
                        both(&mut acts, host, Fault::Neighbour(size));
                    }
                }
                TroubleKind::SlowAnswers => {
                    for host in self.struck(trouble) {
                        both(&mut acts, host, Fault::Slow(size));
                    }
                }
                TroubleKind::PlacerKill => {
                    let notice = scenario.demand.front_notice_ms * 1000;
                    for placer in self.struck_placers(trouble) {
                        acts.push((at, Act::Kill(placer)));
                        acts.push(((at + notice).min(until), Act::Noticed(placer)));
                        acts.push((until + 1, Act::Respawn(placer)));
                    }
                }
                TroubleKind::PlacerPause => {
                    for placer in self.struck_placers(trouble) {
                        acts.push((at, Act::Pause(placer)));
                        acts.push((until, Act::GoOn(placer)));
                    }
                }
                TroubleKind::ResetMidFrame => {
                    for host in self.struck(trouble) {
                        acts.push((at, Act::Host(Command::ResetMidFrame(host))));
                    }
                }
                TroubleKind::InventoryLate => {
                    acts.push((at, Act::Late(size.max(1.0))));
                    acts.push((until, Act::Late(1.0)));
                }
                TroubleKind::InventoryEmpty => {
                    acts.push((at, Act::Garbage("")));
                    acts.push((until, Act::Garbage("sound")));
                }
                TroubleKind::InventoryGarbage => {
                    acts.push((at, Act::Garbage("[[host]]\nname = \"host-00\"\nadress = \"?\u{0}\" [[")));
                    acts.push((until, Act::Garbage("sound")));
                }
                TroubleKind::HealthFlaps => {
                    let period = ((size.max(0.05)) * 1e6) as u64;
                    for host in self.struck(trouble) {
                        let offset = self.dice.below(period as usize) as u64;
                        let mut at = at + offset;
                        while at < until {
                            acts.push((at, Act::Flap(host, false)));
                            acts.push(((at + period / 2).min(until), Act::Flap(host, true)));
                            at += period;
                        }
                    }
                }
                TroubleKind::LeaderLost => acts.push((at, Act::LoseLeader(until - at))),
                TroubleKind::CatalogueLate
                | TroubleKind::CatalogueStorm
                | TroubleKind::CatalogueCut
                | TroubleKind::CataloguePartial
                | TroubleKind::CatalogueStale => {
                    let none = CatalogueFaults::default;
                    let faults = match trouble.kind {
                        TroubleKind::CatalogueLate => CatalogueFaults { late: (size * 1e6) as u64, ..none() },
                        TroubleKind::CatalogueStorm => {
                            CatalogueFaults { storm: Some((size as u16, 1.0)), ..none() }
                        }
                        TroubleKind::CatalogueCut => CatalogueFaults { cut: 0.7, ..none() },
                        TroubleKind::CataloguePartial => CatalogueFaults { partial: size, ..none() },
                        _ => CatalogueFaults { index_back: size as u64, ..none() },
                    };
                    acts.push((at, Act::Catalogue(faults)));
                    acts.push((until, Act::Catalogue(none())));
                }
                TroubleKind::Overload => {
                    acts.push((at, Act::Overload(size)));
                    acts.push((until, Act::Overload(0.0)));
                }
                TroubleKind::HangUps => {
                    acts.push((at, Act::HangUps(size)));
                    acts.push((until, Act::HangUps(0.0)));
                }
            }
            self.acts.extend(acts);
        }
    }

    fn signal(&mut self, number: usize, signal: Signal) -> io::Result<()> {
        if let Some(child) = &self.placers[number].child
            && let Some(pid) = Pid::from_raw(child.id() as i32)
        {
            kill_process(pid, signal)?;
        }
        Ok(())
    }

    fn act(&mut self, act: Act, owners: &Owners) -> io::Result<()> {
        tracing::debug!(?act, "trouble");
        match act {
            Act::Host(command) => {
                match command {
                    Command::Drain(host) => drop(self.draining.insert(host)),
                    Command::Start(host) => drop(self.draining.remove(&host)),
                    _ => {}
                }
                self.rack.command(command);
            }
            Act::HostListed(host, state) => {
                self.news.push((self.world.clock.now() + self.notice, host, state));
            }
            Act::Fault(host, fault, on) => {
                let faults = &mut self.faults[host];
                match fault {
                    Fault::Silent => faults.silent = on,
                    Fault::Errors(share) => faults.errors = if on { share } else { 0.0 },
                    Fault::Class(class, share, errors) => faults.class = on.then_some((class, share, errors)),
                    Fault::AnswersLost(share) => faults.answers_lost = if on { share } else { 0.0 },
                    Fault::Neighbour(share) => faults.neighbour = if on { share } else { 0.0 },
                    Fault::Slow(times) => faults.slow = if on { times } else { 0.0 },
                }
                self.rack.command(Command::Faults(host, faults.clone()));
            }
            Act::Kill(number) => {
                let placer: Arc<str> = format!("placer-{number}").into();
                if self.placers[number].paused {
                    return Ok(());
                }
                self.world.see(Seen::PlacerDown { placer });
                if let Some(mut child) = self.placers[number].child.take() {
                    child.kill()?;
                    child.wait()?;
                }
            }
            Act::Noticed(number) => {
                if self.placers[number].child.is_none() {
                    owners.mood().placers[number].down = true;
                }
            }
            Act::Respawn(number) => {
                if self.placers[number].child.is_none() {
                    let address = self.spawn(number)?;
                    let mut mood = owners.mood();
                    let front = &mut mood.placers[number];
                    (front.address, front.down) = (Some(address), false);
                    front.life += 1;
                }
            }
            Act::Pause(number) => {
                if self.placers[number].child.is_some() {
                    self.world.see(Seen::PlacerPaused { placer: format!("placer-{number}").into() });
                    self.signal(number, Signal::STOP)?;
                    self.placers[number].paused = true;
                }
            }
            Act::GoOn(number) => {
                if std::mem::take(&mut self.placers[number].paused) {
                    self.signal(number, Signal::CONT)?;
                    self.world.see(Seen::PlacerGoesOn { placer: format!("placer-{number}").into() });
                }
            }
            Act::Flap(host, good) => {
                // Only a host that is listed as up flaps; what other troubles did to it stands.
                let (from, to) = if good {
                    (HostState::Draining, HostState::Ready)
                } else {
                    (HostState::Ready, HostState::Draining)
                };
                let up = self.started(host) > 0 && !self.draining.contains(&host);
                if up && self.listed[host].0 == from && !self.news.iter().any(|n| n.1 == host) {
                    self.listed[host].0 = to;
                    if good {
                        self.returned.push((self.world.clock.now(), format!("host-{host:02}").into()));
                    }
                    if !self.garbled {
                        self.write_inventory()?;
                    }
                }
            }
            Act::Catalogue(faults) => {
                if let Some(servers) = &self.servers {
                    // Stale indexes are those of one server; the rest strikes all.
                    let server = (faults.index_back > 0).then_some(1);
                    servers.faults(server, faults);
                }
            }
            Act::LoseLeader(span) => {
                if let Some(servers) = &self.servers {
                    servers.lose_leader(span);
                }
            }
            Act::Garbage(text) if self.servers.is_some() => {
                // An empty or a garbled file is an empty or a cut answer here.
                let faults = match text {
                    "" => CatalogueFaults { empty: true, ..CatalogueFaults::default() },
                    "sound" => CatalogueFaults::default(),
                    _ => CatalogueFaults { cut: 1.0, ..CatalogueFaults::default() },
                };
                if let Some(servers) = &self.servers {
                    servers.faults(None, faults);
                }
            }
            Act::Garbage("sound") => {
                self.garbled = false;
                self.write_inventory()?;
            }
            Act::Garbage(text) => {
                self.garbled = true;
                self.replace_inventory(text)?;
            }
            Act::Overload(times) => owners.mood().overload = times,
            Act::HangUps(share) => owners.mood().hang_ups = share,
            Act::Late(times) => {
                self.notice = (self.scenario.fleet.notice_ms as f64 * 1000.0 * times) as u64;
            }
        }
        Ok(())
    }

    fn decide_times(&self, owners: &Owners) -> BTreeMap<u64, u64> {
        let mut all = BTreeMap::new();
        let addresses: Vec<_> = owners.mood().placers.iter().filter_map(|p| p.address).collect();
        for address in addresses {
            let Ok(status) = get_json(address, "/v1/status?full") else { continue };
            let counts = status["gauges"]["decide_us"]["counts"].as_array().cloned().unwrap_or_default();
            for pair in counts {
                if let (Some(value), Some(count)) = (pair[0].as_u64(), pair[1].as_u64()) {
                    *all.entry(value).or_default() += count;
                }
            }
        }
        all
    }

    fn stop_placers(&mut self) {
        for number in 0..self.placers.len() {
            let _ = self.signal(number, Signal::TERM);
        }
        for placer in &mut self.placers {
            let Some(mut child) = placer.child.take() else { continue };
            for _ in 0..200 {
                if matches!(child.try_wait(), Ok(Some(_))) {
                    break;
                }
                std::thread::sleep(Duration::from_millis(10));
            }
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Offers to hosts in the second after each of these returns: how many returns, the mean and the most.
fn returns(record: &[Record], returned: &[(u64, Arc<str>)]) -> (usize, f64, usize) {
    let mut offers: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    for r in record {
        if let Seen::FromPlacer { host, frame: Frame::Offer(_), .. } = &r.seen {
            offers.entry(host).or_default().push(r.at);
        }
    }
    let counts: Vec<usize> = returned
        .iter()
        .map(|(at, host)| {
            let all = offers.get(&**host).map(Vec::as_slice).unwrap_or_default();
            all.iter().filter(|&&o| o >= *at && o < at + 1_000_000).count()
        })
        .collect();
    let mean = counts.iter().sum::<usize>() as f64 / counts.len().max(1) as f64;
    (counts.len(), mean, counts.iter().copied().max().unwrap_or(0))
}

/// Replaces a file atomically, as operators are told to do with inventories.
fn replace(path: &Path, text: &str) -> io::Result<()> {
    let mut new = path.as_os_str().to_owned();
    new.push(".new");
    std::fs::write(&new, text)?;
    std::fs::rename(&new, path)
}

fn inventory(
    scenario: &Scenario,
    addresses: &[SocketAddr],
    listed: &[(HostState, Option<u64>)],
) -> Inventory {
    let entry = |number: usize| {
        let (zone, cell) = scenario.place_of(number);
        let (state, started_ms) = listed[number];
        HostEntry {
            name: format!("host-{number:02}"),
            address: addresses[number],
            zone,
            cell,
            kind: scenario.kind_of(number).name.clone(),
            state,
            started_ms,
            unasked_cores: None,
            unasked_memory_gib: None,
        }
    };
    Inventory { host: (0..scenario.fleet.hosts).map(entry).collect() }
}

/// Runs the stand-in hosts of a scenario at these addresses until the process ends, and writes their inventory.
pub fn run_hosts(
    scenario: &Arc<Scenario>,
    addresses: &[SocketAddr],
    seed: u64,
    inventory_file: &Path,
) -> io::Result<()> {
    let world = World::quiet(scenario.class.len());
    let rack = Rack::start(scenario, &world, seed, Some(addresses))?;
    let started = rack.started.lock().unwrap_or_else(std::sync::PoisonError::into_inner).clone();
    let listed: Vec<_> = started.iter().map(|&ms| (HostState::Ready, Some(ms))).collect();
    let text = toml::to_string(&inventory(scenario, &rack.addresses, &listed)).map_err(io::Error::other)?;
    replace(inventory_file, &text)?;
    println!("{} stand-in hosts listening; inventory in {}", listed.len(), inventory_file.display());
    rack.join()
}

pub(crate) fn api() -> Api {
    Api {
        listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        max_clients: 10_000,
        max_asks: 20_000,
        max_actors: 200_000,
        max_body_bytes: 16 << 10,
        max_unread_bytes: 1 << 20,
        max_pipelined: 32,
        max_budget_ms: 600_000,
        request_within_ms: 10_000,
        idle_close_ms: 60_000,
        answers_kept_ms: 30_000,
        answers_kept: 50_000,
        events_kept: 50_000,
        settle_ms: 3_000,
        stop_within_ms: 10_000,
    }
}

pub(crate) fn hosts(inventory: impl AsRef<Path>) -> Hosts {
    Hosts {
        inventory: Some(inventory.as_ref().to_owned()),
        max_hosts: 8192,
        connect_within_ms: 1000,
        reconnect_first_ms: 100,
        reconnect_most_ms: 2000,
        ping_every_ms: 1000,
        silent_after_ms: 3000,
        lost_after_ms: 5000,
        max_unwritten_bytes: 256 << 10,
    }
}

/// Puts what is listed of a host in the catalogue.
pub(crate) fn register(at: SocketAddr, host: &HostEntry) -> io::Result<()> {
    let node = format!("node-{}", host.name);
    if host.state == HostState::Gone {
        let body = json!({"Node": node, "ServiceID": host.name});
        return put_json(at, "/v1/catalog/deregister", &body);
    }
    let status = if host.state == HostState::Ready { "passing" } else { "critical" };
    let body = json!({
        "Node": node, "Address": host.address.ip().to_string(),
        "Service": {
            "ID": host.name, "Service": "maplethread-host", "Port": host.address.port(),
            "Meta": {
                "zone": host.zone, "cell": host.cell, "kind": host.kind,
                "started_ms": host.started_ms.unwrap_or(1).to_string(),
            },
        },
        "Checks": [{
            "CheckID": format!("service:{}", host.name), "Name": "host", "Status": status, "ServiceID": host.name,
        }],
    });
    put_json(at, "/v1/catalog/register", &body)
}

/// Settings of a placer that reads its hosts from these servers.
pub(crate) fn consul(servers: Vec<SocketAddr>, damping: Damping, membership: Option<Membership>) -> Consul {
    Consul {
        servers,
        service: "maplethread-host".to_owned(),
        datacentre: Some("dc1".to_owned()),
        token_file: None,
        reads: Reads::Stale,
        filter: None,
        wait_ms: 2_000,
        members_every_ms: 1_000,
        max_answer_bytes: 32 << 20,
        damping,
        membership,
    }
}

/// One PUT on a connection of its own.
fn put_json(address: SocketAddr, target: &str, body: &Value) -> io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
    stream.set_read_timeout(Some(Duration::from_secs(2)))?;
    let mut out = Vec::new();
    http::write_request(&mut out, "PUT", target, &[("Host", "consul")], body.to_string().as_bytes());
    stream.write_all(&out)?;
    let mut reader = Reader::new(Role::Responses, Limits::default());
    let (mut bytes, mut part) = (Vec::new(), [0; 4096]);
    loop {
        let (found, used) = reader.read(&bytes).map_err(io::Error::other)?;
        bytes.drain(..used);
        if let Found::Message(message) = found {
            // Without a leader nothing is registered; the day goes on, and what is next tells all that differs.
            return if message.head.status() == 200 { Ok(()) } else { Err(io::ErrorKind::WouldBlock.into()) };
        }
        let n = stream.read(&mut part)?;
        if n == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        bytes.extend_from_slice(&part[..n]);
    }
}

/// One GET on a connection of its own.
pub fn get_json(address: SocketAddr, target: &str) -> io::Result<Value> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
    stream.set_read_timeout(Some(Duration::from_secs(2)))?;
    write!(stream, "GET {target} HTTP/1.1\r\nHost: placer\r\nConnection: close\r\n\r\n")?;
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes)?;
    let text = String::from_utf8_lossy(&bytes);
    let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    serde_json::from_str(body).map_err(io::Error::other)
}
