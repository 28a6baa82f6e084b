//! A day: hosts and owners in this process, placers as processes of their own, troubles on time, and the verdict.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use maplethread_config::{HostState, Inventory};
use maplethread_consul_standin::{
    Faults as CatalogueFaults, LockNews, Servers, Settings as ServerSettings,
};
use maplethread_judge::{Seen, Verdict, judge};
use rustix::process::Signal;

use crate::calls::register;
use crate::demand::arrivals;
use crate::host::Faults;
pub use crate::options::Options;
use crate::options::{DayNews, PlacerAct};
use crate::owners::{Front, Owners};
use crate::plan::{Act, Fault, plan};
use crate::processes::Placers;
use crate::rack::{Command, Rack};
use crate::report::{FirstAsks, Report, returns};
use crate::rogue::{Rogue, moves_told};
use crate::scenario::Scenario;
use crate::settings::{self, inventory};
use crate::world::{Dice, World};

struct Day<'a> {
    options: &'a Options,
    scenario: Arc<Scenario>,
    world: World,
    dice: Dice,
    rack: Rack,
    folder: PathBuf,
    placers: Placers,
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
    let folder = options
        .keep
        .clone()
        .unwrap_or_else(|| temporary.path().to_owned());
    std::fs::create_dir_all(&folder)?;
    let world = World::new(scenario.class.len());
    let rack = Rack::start(&scenario, &world, options.seed, None)?;
    let hosts = scenario.fleet.hosts;
    let servers = match options.consul {
        None => None,
        Some(_) => {
            // Placers name themselves `maplethread (placer-3)`.
            let placer =
                |who: &str| -> Arc<str> { who.split(['(', ')']).nth(1).unwrap_or("").into() };
            let seen = world.clone();
            let watch = move |who: &str, index: u64, consistent: bool, body: &[u8]| {
                seen.see(Seen::Catalogue {
                    placer: placer(who),
                    index,
                    consistent,
                    body: body.into(),
                });
            };
            let seen = world.clone();
            let locks = move |news: LockNews<'_>| {
                let number =
                    |key: &str| -> Arc<str> { key.rsplit('/').next().unwrap_or("").into() };
                seen.see(match news {
                    LockNews::Locked(key, who) => Seen::NumberLocked {
                        number: number(key),
                        placer: placer(who),
                    },
                    LockNews::Free(key, after_us) => Seen::NumberFree {
                        number: number(key),
                        after_us,
                    },
                });
            };
            let settings = ServerSettings {
                seed: options.seed,
                watch: Some(Arc::new(watch)),
                locks: Some(Arc::new(locks)),
                ..ServerSettings::new(3)
            };
            Some(Servers::start(settings)?)
        }
    };
    let mut day = Day {
        options,
        dice: Dice::new(options.seed, 1),
        rack,
        folder,
        placers: Placers::new(),
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
    day.run()
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
            self.placers.add(config, log);
            self.placers.spawn(
                number,
                &self.options.program,
                &self.options.placer_arguments(),
            )?;
            let zone = self.scenario.fleet.zones[number % self.scenario.fleet.zones.len()].clone();
            fronts.push(Front {
                name,
                zone,
                address: None,
                life: 1,
                down: false,
            });
        }
        for _ in 0..fronts.len() {
            let (number, address) = self.first_serves()?;
            fronts[number].address = Some(address);
            self.tell_serves(number, address);
            self.world.see(Seen::PlacerUp {
                placer: format!("placer-{number}").into(),
            });
        }
        self.acts = plan(&self.scenario, &mut self.dice);
        if let Some(fleet) = &self.options.fleet {
            self.acts
                .extend(fleet.acts.iter().map(|&(at, act)| (at, Act::Placer(act))));
            let _ = fleet.news.send(DayNews::Begins(self.world.clock.now()));
        }
        let arrivals = self
            .options
            .arrivals
            .clone()
            .unwrap_or_else(|| arrivals(&self.scenario, self.options.seed));
        let owners = Owners::start(self.scenario.clone(), self.world.clone(), arrivals, fronts)?;
        let start = self.world.clock.now();
        let end = start + (self.scenario.seconds * 1e6) as u64;
        let mut told = 0;
        let mut closing = None;
        loop {
            self.go_on()?;
            let now = self.world.clock.now();
            self.acts.sort_by_key(|a| a.0);
            while self.acts.first().is_some_and(|a| start + a.0 <= now) {
                let (_, act) = self.acts.remove(0);
                self.act(act, &owners)?;
            }
            while let Some((number, address)) = self.placers.serves(Duration::ZERO)? {
                self.world.see(Seen::PlacerUp {
                    placer: format!("placer-{number}").into(),
                });
                self.tell_serves(number, address);
                let mut mood = owners.mood();
                let front = &mut mood.placers[number];
                (front.address, front.down) = (Some(address), false);
                front.life += 1;
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
        let (service, lost, double_s, by_class) = {
            let ledger = self.world.ledger();
            let names = self.scenario.class.iter().map(|c| c.rules.name.clone());
            let by_class = names.zip(ledger.by_class(end)).collect();
            (
                ledger.service(end),
                ledger.lost(end),
                ledger.double_s,
                by_class,
            )
        };
        let (decide_us, held) = statuses(&owners);
        let mut place_us = owners.end()?;
        place_us.sort_unstable();
        self.placers.stop();
        let record = self.world.take_record();
        let verdict = judge(&record, &settings::figures(&self.scenario));
        let returns = returns(&record, &self.returned);
        let first = FirstAsks::of(&record);
        let rogue = self.rogue(&verdict)?;
        Ok(Report {
            verdict,
            first,
            service,
            by_class,
            lost,
            double_s,
            place_us,
            decide_us,
            held,
            returns,
            rogue,
            record,
        })
    }

    /// What became of placers that broke a rule on purpose, once they have ended.
    fn rogue(&self, verdict: &Verdict) -> io::Result<Option<Rogue>> {
        if self.options.rogue == 0 {
            return Ok(None);
        }
        let mut moves = 0;
        for (log, from) in self.placers.logs() {
            moves += moves_told(log, from)?;
        }
        Ok(Some(Rogue::new(self.options.rogue, moves, verdict)))
    }

    /// An error once the day is interrupted; its processes end with it.
    fn go_on(&self) -> io::Result<()> {
        if self.options.interrupted.load(Ordering::Relaxed) {
            return Err(io::Error::new(
                io::ErrorKind::Interrupted,
                "interrupted; all processes are ended",
            ));
        }
        Ok(())
    }

    /// The next placer of the first start that serves.
    fn first_serves(&mut self) -> io::Result<(usize, SocketAddr)> {
        for _ in 0..300 {
            self.go_on()?;
            if let Some(serves) = self.placers.serves(Duration::from_millis(100))? {
                return Ok(serves);
            }
        }
        Err(io::Error::other("a placer did not start in 30 s"))
    }

    fn tell_serves(&self, number: usize, address: SocketAddr) {
        if let Some(fleet) = &self.options.fleet {
            let _ = fleet
                .news
                .send(DayNews::Serves(self.world.clock.now(), number, address));
        }
    }

    fn started(&self, host: usize) -> u64 {
        self.rack
            .started
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)[host]
    }

    fn write_config(&self, number: usize) -> io::Result<PathBuf> {
        let servers = self.servers.as_ref().map(|s| s.addresses.as_slice());
        let servers = servers.zip(self.options.consul);
        let mut config = settings::placer(&self.scenario, number, self.options.seed, servers);
        config.fleet = self
            .options
            .fleet
            .as_ref()
            .and_then(|f| f.sections.get(number).cloned());
        config.trace = self.options.trace.clone().map(settings::trace);
        let path = self.folder.join(format!("placer-{number}.toml"));
        let text = config.to_toml().map_err(io::Error::other)?;
        std::fs::write(&path, text)?;
        Ok(path)
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
        let ready = inventory
            .host
            .iter()
            .filter(|h| h.state == HostState::Ready);
        let ready: Vec<_> = ready
            .map(|h| (Arc::from(h.name.as_str()), h.started_ms))
            .collect();
        let text = toml::to_string(&inventory).map_err(io::Error::other)?;
        // A placer may act on good news before the record has it, so that stands there first; bad news counts from
        // when the file was surely in place.
        let mut either = ready.clone();
        either.extend(
            self.told_ready
                .iter()
                .filter(|(host, _)| !ready.iter().any(|(h, _)| h == host))
                .cloned(),
        );
        let gone = inventory.host.iter().filter(|h| h.state == HostState::Gone);
        let gone: Vec<Arc<str>> = gone.map(|h| h.name.as_str().into()).collect();
        self.world.see(Seen::Inventory {
            ready: either,
            gone: gone.clone(),
        });
        self.replace_inventory(&text)?;
        self.world.see(Seen::Inventory {
            ready: ready.clone(),
            gone,
        });
        self.told_ready = ready;
        Ok(())
    }

    /// The inventory tells what it has noticed.
    fn tell_news(&mut self, now: u64) -> io::Result<()> {
        if self.garbled || !(self.unregistered || self.news.iter().any(|n| n.0 <= now)) {
            return Ok(());
        }
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.news)
            .into_iter()
            .partition(|n| n.0 <= now);
        self.news = later;
        for (_, host, state) in due {
            let started = self.started(host);
            self.listed[host] = (
                state,
                (started > 0).then_some(started).or(self.listed[host].1),
            );
        }
        self.write_inventory()
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
                self.news
                    .push((self.world.clock.now() + self.notice, host, state));
            }
            Act::Fault(host, fault, on) => {
                let faults = &mut self.faults[host];
                match fault {
                    Fault::Silent => faults.silent = on,
                    Fault::Errors(share) => faults.errors = if on { share } else { 0.0 },
                    Fault::Class(class, share, errors) => {
                        faults.class = on.then_some((class, share, errors))
                    }
                    Fault::AnswersLost(share) => faults.answers_lost = if on { share } else { 0.0 },
                    Fault::Neighbour(share) => faults.neighbour = if on { share } else { 0.0 },
                    Fault::Slow(times) => faults.slow = if on { times } else { 0.0 },
                    Fault::HeavyTail(class, share) => faults.heavy = on.then_some((class, share)),
                    Fault::HotServices(share) => faults.hot = if on { share } else { 0.0 },
                    Fault::ProgramsLost => faults.programs_lost = on,
                }
                self.rack.command(Command::Faults(host, faults.clone()));
            }
            Act::Placer(act) => {
                self.befall(act, owners)?;
                if let Some(fleet) = &self.options.fleet {
                    let _ = fleet
                        .news
                        .send(DayNews::Befell(self.world.clock.now(), act));
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
                        self.returned
                            .push((self.world.clock.now(), format!("host-{host:02}").into()));
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
                    self.world.see(Seen::NoLeader { for_us: span });
                    servers.lose_leader(span);
                }
            }
            Act::Garbage(text) if self.servers.is_some() => {
                // An empty or a garbled file is an empty or a cut answer here.
                let faults = match text {
                    "" => CatalogueFaults {
                        empty: true,
                        ..CatalogueFaults::default()
                    },
                    "sound" => CatalogueFaults::default(),
                    _ => CatalogueFaults {
                        cut: 1.0,
                        ..CatalogueFaults::default()
                    },
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
                self.world.see(Seen::InventoryUnreadable);
                self.replace_inventory(text)?;
            }
            Act::HangUps(share) => owners.mood().hang_ups = share,
            Act::Late(times) => {
                self.notice = (self.scenario.fleet.notice_ms as f64 * 1000.0 * times) as u64;
            }
        }
        Ok(())
    }

    fn befall(&mut self, act: PlacerAct, owners: &Owners) -> io::Result<()> {
        match act {
            PlacerAct::Kill(number) => {
                let placer: Arc<str> = format!("placer-{number}").into();
                if self.placers.all[number].paused {
                    return Ok(());
                }
                self.world.see(Seen::PlacerDown { placer });
                if let Some(mut child) = self.placers.all[number].child.take() {
                    child.kill()?;
                    child.wait()?;
                }
            }
            PlacerAct::Noticed(number) => {
                if self.placers.all[number].child.is_none() {
                    owners.mood().placers[number].down = true;
                }
            }
            PlacerAct::Respawn(number) => {
                if self.placers.all[number].child.is_none() {
                    self.placers.spawn(
                        number,
                        &self.options.program,
                        &self.options.placer_arguments(),
                    )?;
                }
            }
            PlacerAct::Pause(number) => {
                if self.placers.all[number].child.is_some() {
                    self.world.see(Seen::PlacerPaused {
                        placer: format!("placer-{number}").into(),
                    });
                    self.placers.signal(number, Signal::STOP)?;
                    self.placers.all[number].paused = true;
                }
            }
            PlacerAct::GoOn(number) => {
                if std::mem::take(&mut self.placers.all[number].paused) {
                    self.placers.signal(number, Signal::CONT)?;
                    self.world.see(Seen::PlacerGoesOn {
                        placer: format!("placer-{number}").into(),
                    });
                }
            }
            PlacerAct::End(number) => {
                if self.placers.all[number].child.is_some() && !self.placers.all[number].paused {
                    // What it does not answer while it ends is its end's matter; the front layer is told at once.
                    self.world.see(Seen::PlacerDown {
                        placer: format!("placer-{number}").into(),
                    });
                    owners.mood().placers[number].down = true;
                    self.placers.signal(number, Signal::TERM)?;
                }
            }
            PlacerAct::Reap(number) => {
                if let Some(mut child) = self.placers.all[number].child.take() {
                    child.kill()?;
                    child.wait()?;
                }
            }
        }
        Ok(())
    }
}

/// What all placers that are up tell of themselves: times of decisions with their counts, and asks held, by what for.
fn statuses(owners: &Owners) -> (BTreeMap<u64, u64>, BTreeMap<String, u64>) {
    let (mut times, mut held) = (BTreeMap::new(), BTreeMap::new());
    let addresses: Vec<_> = owners
        .mood()
        .placers
        .iter()
        .filter_map(|p| p.address)
        .collect();
    for address in addresses {
        let Ok((_, status)) = maplethread_placer::get_json(address, "/v1/status?full") else {
            continue;
        };
        let counts = status["gauges"]["decide_us"]["counts"]
            .as_array()
            .cloned()
            .unwrap_or_default();
        for pair in counts {
            if let (Some(value), Some(count)) = (pair[0].as_u64(), pair[1].as_u64()) {
                *times.entry(value).or_default() += count;
            }
        }
        for (lack, count) in status["counters"]["held_for"]
            .as_object()
            .into_iter()
            .flatten()
        {
            *held.entry(lack.clone()).or_default() += count.as_u64().unwrap_or(0);
        }
    }
    (times, held)
}

/// Replaces a file atomically, as operators are told to do with inventories.
pub fn replace(path: &Path, text: &str) -> io::Result<()> {
    let mut new = path.as_os_str().to_owned();
    new.push(".new");
    std::fs::write(&new, text)?;
    std::fs::rename(&new, path)
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
    let started = rack
        .started
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
        .clone();
    let listed: Vec<_> = started
        .iter()
        .map(|&ms| (HostState::Ready, Some(ms)))
        .collect();
    let text = toml::to_string(&inventory(scenario, &rack.addresses, &listed))
        .map_err(io::Error::other)?;
    replace(inventory_file, &text)?;
    println!(
        "{} stand-in hosts listening; inventory in {}",
        listed.len(),
        inventory_file.display()
    );
    rack.join()
}
