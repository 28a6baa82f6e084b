//! A day: hosts and owners in this process, placers as processes of their own, troubles on time, and the verdict.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use maplethread_checker::{Observation, Verdict, check};
use maplethread_config::{HostState, Inventory};
use maplethread_consul_emulator::{
    EmulatorSettings as ServerSettings, Faults as CatalogueFaults, LockEvent, Servers,
};
use rustix::process::Signal;

use crate::catalogue_registration::register_host;
use crate::demand::arrivals;
use crate::fault_plan::{HostFault, ScheduledAction, plan};
use crate::host::HostFaults;
use crate::mutant::{MutantResult, count_violations_in_log};
use crate::owners::{LoadBalancerEntry, Owners};
use crate::placer_processes::Placers;
use crate::rack::{HostCommand, HostPool};
use crate::report::{FirstRequests, Report, offers_after_health_return};
pub use crate::run_options::RunOptions;
use crate::run_options::{PlacerFault, RunEvent};
use crate::scenario::Scenario;
use crate::settings::{self, inventory};
use crate::world::{RunContext, SeededRng};

struct ScenarioRun<'a> {
    options: &'a RunOptions,
    scenario: Arc<Scenario>,
    world: RunContext,
    rng: SeededRng,
    host_pool: HostPool,
    folder: PathBuf,
    placers: Placers,
    actions: Vec<(u64, ScheduledAction)>,
    /// Host states that the inventory will tell, and when.
    pending_listings: Vec<(u64, usize, HostState)>,
    listed: Vec<(HostState, Option<u64>)>,
    faults: Vec<HostFaults>,
    /// The hosts that the last sound inventory told as ready.
    listed_ready: Vec<(Arc<str>, Option<u64>)>,
    notice_us: u64,
    is_inventory_unreadable: bool,
    /// When a host's health came back after a flap.
    health_returns: Vec<(u64, Arc<str>)>,
    /// Hosts that said that they drain.
    draining_hosts: BTreeSet<usize>,
    servers: Option<Servers>,
    /// The hosts as they stand in the catalogue, and whether it lacks something.
    in_catalogue: Inventory,
    has_unregistered_hosts: bool,
}

/// Plays a day and judges it.
pub fn run_scenario(options: &RunOptions) -> io::Result<Report> {
    let scenario = Arc::new(options.scenario.clone());
    let temporary = tempfile::tempdir()?;
    let folder = options
        .kept_folder
        .clone()
        .unwrap_or_else(|| temporary.path().to_owned());
    std::fs::create_dir_all(&folder)?;
    let world = RunContext::new(scenario.classes.len());
    let rack = HostPool::start(&scenario, &world, options.seed, None)?;
    let hosts = scenario.fleet.hosts;
    let servers = match options.consul {
        None => None,
        Some(_) => {
            // Placers name themselves `maplethread (placer-3)`.
            let placer =
                |who: &str| -> Arc<str> { who.split(['(', ')']).nth(1).unwrap_or("").into() };
            let seen = world.clone();
            let watch = move |who: &str, index: u64, consistent: bool, body: &[u8]| {
                seen.record(Observation::CatalogueAnswered {
                    placer: placer(who),
                    index,
                    consistent,
                    body: body.into(),
                });
            };
            let seen = world.clone();
            let locks = move |news: LockEvent<'_>| {
                let number =
                    |key: &str| -> Arc<str> { key.rsplit('/').next().unwrap_or("").into() };
                seen.record(match news {
                    LockEvent::Locked(key, who) => Observation::ReplicaIndexLocked {
                        replica_index: number(key),
                        placer: placer(who),
                    },
                    LockEvent::Released(key, after_us) => Observation::ReplicaIndexReleased {
                        replica_index: number(key),
                        after_us,
                    },
                });
            };
            let settings = ServerSettings {
                seed: options.seed,
                answer_observer: Some(Arc::new(watch)),
                lock_observer: Some(Arc::new(locks)),
                ..ServerSettings::new(3)
            };
            Some(Servers::start(settings)?)
        }
    };
    let mut day = ScenarioRun {
        options,
        rng: SeededRng::new(options.seed, 1),
        host_pool: rack,
        folder,
        placers: Placers::new(),
        actions: Vec::new(),
        pending_listings: Vec::new(),
        listed: vec![(HostState::Ready, None); hosts],
        faults: vec![HostFaults::default(); hosts],
        listed_ready: Vec::new(),
        notice_us: scenario.fleet.inventory_delay_ms * 1000,
        is_inventory_unreadable: false,
        health_returns: Vec::new(),
        draining_hosts: BTreeSet::new(),
        servers,
        in_catalogue: Inventory::default(),
        has_unregistered_hosts: false,
        world,
        scenario,
    };
    day.run()
}

impl ScenarioRun<'_> {
    fn run(&mut self) -> io::Result<Report> {
        for number in 0..self.scenario.fleet.hosts {
            self.listed[number] = (HostState::Ready, Some(self.host_started_ms(number)));
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
            fronts.push(LoadBalancerEntry {
                name,
                zone,
                address: None,
                incarnation: 1,
                is_down: false,
            });
        }
        for _ in 0..fronts.len() {
            let (number, address) = self.wait_for_placer()?;
            fronts[number].address = Some(address);
            self.notify_serving(number, address);
            self.world.record(Observation::PlacerStarted {
                placer: format!("placer-{number}").into(),
            });
        }
        self.actions = plan(&self.scenario, &mut self.rng);
        if let Some(fleet) = &self.options.membership {
            self.actions.extend(
                fleet
                    .faults
                    .iter()
                    .map(|&(at, act)| (at, ScheduledAction::PlacerFault(act))),
            );
            let _ = fleet.events.send(RunEvent::Started(self.world.clock.now()));
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
            self.check_interrupted()?;
            let now = self.world.clock.now();
            self.actions.sort_by_key(|a| a.0);
            while self.actions.first().is_some_and(|a| start + a.0 <= now) {
                let (_, act) = self.actions.remove(0);
                self.apply_action(act, &owners)?;
            }
            while let Some((number, address)) = self.placers.next_serving(Duration::ZERO)? {
                self.world.record(Observation::PlacerStarted {
                    placer: format!("placer-{number}").into(),
                });
                self.notify_serving(number, address);
                let mut mood = owners.behaviour();
                let front = &mut mood.placers[number];
                (front.address, front.is_down) = (Some(address), false);
                front.incarnation += 1;
            }
            self.publish_due_listings(now)?;
            if now >= end && closing.is_none() {
                owners.behaviour().is_closing = true;
                closing = Some(now);
            }
            let over =
                owners.behaviour().is_closed || closing.is_some_and(|at| now > at + 30_000_000);
            if over && self.actions.is_empty() {
                break;
            }
            let second = (now - start) / 1_000_000;
            if self.options.show_progress && second > told {
                told = second;
                let (asked, placed) = {
                    let mood = owners.behaviour();
                    (mood.request_count, mood.placed_count)
                };
                eprint!("\r{second:3} s: {asked} asks, {placed} placed ");
                let _ = io::stderr().flush();
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        if self.options.show_progress {
            eprintln!();
        }
        let (service, lost, double_s, by_class) = {
            let ledger = self.world.service_accounting();
            let names = self.scenario.classes.iter().map(|c| c.rules.name.clone());
            let by_class = names.zip(ledger.service_by_class(end)).collect();
            (
                ledger.service_shares(end),
                ledger.loss(end),
                ledger.duplicate_run_s,
                by_class,
            )
        };
        let (decide_us, held) = collect_statuses(&owners);
        let mut place_us = owners.end()?;
        place_us.sort_unstable();
        self.placers.stop();
        let record = self.world.take_history();
        let verdict = check(&record, &settings::rule_parameters(&self.scenario));
        let returns = offers_after_health_return(&record, &self.health_returns);
        let first = FirstRequests::of(&record);
        let rogue = self.mutant_result(&verdict)?;
        Ok(Report {
            verdict,
            first_requests: first,
            service,
            by_class,
            service_loss: lost,
            duplicate_run_s: double_s,
            place_us,
            decide_us,
            blocked_by_reason: held,
            health_returns: returns,
            mutant: rogue,
            history: record,
        })
    }

    /// What became of placers that broke a rule on purpose, once they have ended.
    fn mutant_result(&self, verdict: &Verdict) -> io::Result<Option<MutantResult>> {
        if self.options.mutant == 0 {
            return Ok(None);
        }
        let mut moves = 0;
        for (log, from) in self.placers.logs() {
            moves += count_violations_in_log(log, from)?;
        }
        Ok(Some(MutantResult::new(self.options.mutant, moves, verdict)))
    }

    /// An error once the day is interrupted; its processes end with it.
    fn check_interrupted(&self) -> io::Result<()> {
        if self.options.interrupted.load(Ordering::Relaxed) {
            return Err(io::Error::new(
                io::ErrorKind::Interrupted,
                "interrupted; all processes are ended",
            ));
        }
        Ok(())
    }

    /// The next placer of the first start that serves.
    fn wait_for_placer(&mut self) -> io::Result<(usize, SocketAddr)> {
        for _ in 0..300 {
            self.check_interrupted()?;
            if let Some(serves) = self.placers.next_serving(Duration::from_millis(100))? {
                return Ok(serves);
            }
        }
        Err(io::Error::other("a placer did not start in 30 s"))
    }

    fn notify_serving(&self, number: usize, address: SocketAddr) {
        if let Some(fleet) = &self.options.membership {
            let _ = fleet.events.send(RunEvent::PlacerServing(
                self.world.clock.now(),
                number,
                address,
            ));
        }
    }

    fn host_started_ms(&self, host: usize) -> u64 {
        self.host_pool
            .started_ms
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)[host]
    }

    fn write_config(&self, number: usize) -> io::Result<PathBuf> {
        let servers = self.servers.as_ref().map(|s| s.addresses.as_slice());
        let servers = servers.zip(self.options.consul);
        let mut config = settings::placer(&self.scenario, number, self.options.seed, servers);
        config.fleet = self
            .options
            .membership
            .as_ref()
            .and_then(|f| f.sections.get(number).cloned());
        config.trace = self.options.trace_folder.clone().map(settings::trace);
        let path = self.folder.join(format!("placer-{number}.toml"));
        let text = config.to_toml().map_err(io::Error::other)?;
        std::fs::write(&path, text)?;
        Ok(path)
    }

    fn replace_inventory(&self, text: &str) -> io::Result<()> {
        replace_file(&self.folder.join("hosts.toml"), text)
    }

    fn write_inventory(&mut self) -> io::Result<()> {
        if let Some(servers) = &self.servers {
            let now = inventory(&self.scenario, &self.host_pool.addresses, &self.listed);
            let mut told = Vec::new();
            for host in &now.hosts {
                let known = self.in_catalogue.hosts.iter().find(|h| h.name == host.name);
                match known {
                    Some(known) if known == host => told.push(host.clone()),
                    _ if register_host(servers.addresses[0], host).is_ok() => {
                        told.push(host.clone())
                    }
                    // The catalogue has no leader: told with the next news.
                    _ => told.extend(known.cloned()),
                }
            }
            self.has_unregistered_hosts = told != now.hosts;
            self.in_catalogue.hosts = told;
            return Ok(());
        }
        let inventory = inventory(&self.scenario, &self.host_pool.addresses, &self.listed);
        let ready = inventory
            .hosts
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
            self.listed_ready
                .iter()
                .filter(|(host, _)| !ready.iter().any(|(h, _)| h == host))
                .cloned(),
        );
        let gone = inventory
            .hosts
            .iter()
            .filter(|h| h.state == HostState::Gone);
        let gone: Vec<Arc<str>> = gone.map(|h| h.name.as_str().into()).collect();
        self.world.record(Observation::InventoryReplaced {
            ready: either,
            gone: gone.clone(),
        });
        self.replace_inventory(&text)?;
        self.world.record(Observation::InventoryReplaced {
            ready: ready.clone(),
            gone,
        });
        self.listed_ready = ready;
        Ok(())
    }

    /// The inventory tells what it has noticed.
    fn publish_due_listings(&mut self, now: u64) -> io::Result<()> {
        if self.is_inventory_unreadable
            || !(self.has_unregistered_hosts || self.pending_listings.iter().any(|n| n.0 <= now))
        {
            return Ok(());
        }
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.pending_listings)
            .into_iter()
            .partition(|n| n.0 <= now);
        self.pending_listings = later;
        for (_, host, state) in due {
            let started = self.host_started_ms(host);
            self.listed[host] = (
                state,
                (started > 0).then_some(started).or(self.listed[host].1),
            );
        }
        self.write_inventory()
    }

    fn apply_action(&mut self, act: ScheduledAction, owners: &Owners) -> io::Result<()> {
        tracing::debug!(?act, "trouble");
        match act {
            ScheduledAction::Host(command) => {
                match command {
                    HostCommand::Drain(host) => drop(self.draining_hosts.insert(host)),
                    HostCommand::Start(host) => drop(self.draining_hosts.remove(&host)),
                    _ => {}
                }
                self.host_pool.command(command);
            }
            ScheduledAction::ListHost(host, state) => {
                self.pending_listings
                    .push((self.world.clock.now() + self.notice_us, host, state));
            }
            ScheduledAction::SetHostFault(host, fault, on) => {
                let faults = &mut self.faults[host];
                match fault {
                    HostFault::Silent => faults.is_silent = on,
                    HostFault::Errors(share) => faults.error_share = if on { share } else { 0.0 },
                    HostFault::Class(class, share, errors) => {
                        faults.class_fault = on.then_some((class, share, errors))
                    }
                    HostFault::AnswersLost(share) => {
                        faults.lost_answer_share = if on { share } else { 0.0 }
                    }
                    HostFault::Neighbour(share) => {
                        faults.neighbour_core_share = if on { share } else { 0.0 }
                    }
                    HostFault::Slow(times) => {
                        faults.admission_slowdown = if on { times } else { 0.0 }
                    }
                    HostFault::HeavyTail(class, share) => {
                        faults.heavy_tail = on.then_some((class, share))
                    }
                    HostFault::HotServices(share) => {
                        faults.hot_service_share = if on { share } else { 0.0 }
                    }
                    HostFault::ProgramsLost => faults.has_lost_programs = on,
                }
                self.host_pool
                    .command(HostCommand::SetFaults(host, faults.clone()));
            }
            ScheduledAction::PlacerFault(act) => {
                self.apply_placer_fault(act, owners)?;
                if let Some(fleet) = &self.options.membership {
                    let _ = fleet
                        .events
                        .send(RunEvent::FaultInjected(self.world.clock.now(), act));
                }
            }
            ScheduledAction::SetHealth(host, good) => {
                // Only a host that is listed as up flaps; what other troubles did to it stands.
                let (from, to) = if good {
                    (HostState::Draining, HostState::Ready)
                } else {
                    (HostState::Ready, HostState::Draining)
                };
                let up = self.host_started_ms(host) > 0 && !self.draining_hosts.contains(&host);
                if up
                    && self.listed[host].0 == from
                    && !self.pending_listings.iter().any(|n| n.1 == host)
                {
                    self.listed[host].0 = to;
                    if good {
                        self.health_returns
                            .push((self.world.clock.now(), format!("host-{host:02}").into()));
                    }
                    if !self.is_inventory_unreadable {
                        self.write_inventory()?;
                    }
                }
            }
            ScheduledAction::SetCatalogueFaults(faults) => {
                if let Some(servers) = &self.servers {
                    // Stale indexes are those of one server; the rest strikes all.
                    let server = (faults.index_offset > 0).then_some(1);
                    servers.set_faults(server, faults);
                }
            }
            ScheduledAction::LoseCatalogueLeader(span) => {
                if let Some(servers) = &self.servers {
                    self.world
                        .record(Observation::CatalogueLeaderLost { for_us: span });
                    servers.lose_leader(span);
                }
            }
            ScheduledAction::ReplaceInventory(text) if self.servers.is_some() => {
                // An empty or a garbled file is an empty or a cut answer here.
                let faults = match text {
                    "" => CatalogueFaults {
                        empty_lists: true,
                        ..CatalogueFaults::default()
                    },
                    "sound" => CatalogueFaults::default(),
                    _ => CatalogueFaults {
                        truncated_share: 1.0,
                        ..CatalogueFaults::default()
                    },
                };
                if let Some(servers) = &self.servers {
                    servers.set_faults(None, faults);
                }
            }
            ScheduledAction::ReplaceInventory("sound") => {
                self.is_inventory_unreadable = false;
                self.write_inventory()?;
            }
            ScheduledAction::ReplaceInventory(text) => {
                self.is_inventory_unreadable = true;
                self.world.record(Observation::InventoryUnreadable);
                self.replace_inventory(text)?;
            }
            ScheduledAction::SetDisconnectShare(share) => {
                owners.behaviour().disconnect_share = share
            }
            ScheduledAction::SetInventoryDelay(times) => {
                self.notice_us =
                    (self.scenario.fleet.inventory_delay_ms as f64 * 1000.0 * times) as u64;
            }
        }
        Ok(())
    }

    fn apply_placer_fault(&mut self, act: PlacerFault, owners: &Owners) -> io::Result<()> {
        match act {
            PlacerFault::Kill(number) => {
                let placer: Arc<str> = format!("placer-{number}").into();
                if self.placers.all[number].is_paused {
                    return Ok(());
                }
                self.world.record(Observation::PlacerStopped { placer });
                if let Some(mut child) = self.placers.all[number].child.take() {
                    child.kill()?;
                    child.wait()?;
                }
            }
            PlacerFault::MarkDown(number) => {
                if self.placers.all[number].child.is_none() {
                    owners.behaviour().placers[number].is_down = true;
                }
            }
            PlacerFault::Restart(number) => {
                if self.placers.all[number].child.is_none() {
                    self.placers.spawn(
                        number,
                        &self.options.program,
                        &self.options.placer_arguments(),
                    )?;
                }
            }
            PlacerFault::Pause(number) => {
                if self.placers.all[number].child.is_some() {
                    self.world.record(Observation::PlacerPaused {
                        placer: format!("placer-{number}").into(),
                    });
                    self.placers.signal(number, Signal::STOP)?;
                    self.placers.all[number].is_paused = true;
                }
            }
            PlacerFault::Resume(number) => {
                if std::mem::take(&mut self.placers.all[number].is_paused) {
                    self.placers.signal(number, Signal::CONT)?;
                    self.world.record(Observation::PlacerResumed {
                        placer: format!("placer-{number}").into(),
                    });
                }
            }
            PlacerFault::Terminate(number) => {
                if self.placers.all[number].child.is_some() && !self.placers.all[number].is_paused {
                    // What it does not answer while it ends is its end's matter; the front layer is told at once.
                    self.world.record(Observation::PlacerStopped {
                        placer: format!("placer-{number}").into(),
                    });
                    owners.behaviour().placers[number].is_down = true;
                    self.placers.signal(number, Signal::TERM)?;
                }
            }
            PlacerFault::KillIfRunning(number) => {
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
fn collect_statuses(owners: &Owners) -> (BTreeMap<u64, u64>, BTreeMap<String, u64>) {
    let (mut times, mut held) = (BTreeMap::new(), BTreeMap::new());
    let addresses: Vec<_> = owners
        .behaviour()
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
pub fn replace_file(path: &Path, text: &str) -> io::Result<()> {
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
    let world = RunContext::without_history(scenario.classes.len());
    let rack = HostPool::start(scenario, &world, seed, Some(addresses))?;
    let started = rack
        .started_ms
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
        .clone();
    let listed: Vec<_> = started
        .iter()
        .map(|&ms| (HostState::Ready, Some(ms)))
        .collect();
    let text = toml::to_string(&inventory(scenario, &rack.addresses, &listed))
        .map_err(io::Error::other)?;
    replace_file(inventory_file, &text)?;
    println!(
        "{} stand-in hosts listening; inventory in {}",
        listed.len(),
        inventory_file.display()
    );
    rack.join()
}
