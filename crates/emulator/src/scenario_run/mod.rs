//! A run of a scenario: emulated hosts and owners in this process, placers as separate processes, faults at their
//! scheduled times, and the check of the history at the end.

mod catalogue;
mod faults;
mod inventory;

use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use maplethread_checker::{Observation, Verdict, check};
use maplethread_config::HostState;
use maplethread_consul_emulator::Servers;

pub use crate::run_options::RunOptions;
pub use inventory::replace_file;

use crate::demand::arrivals;
use crate::fault_plan::{FaultAction, ScheduledAction, plan};
use crate::host::HostFaults;
use crate::host_pool::HostPool;
use crate::mutant::{MutantResult, count_violations_in_log};
use crate::owners::{LoadBalancerEntry, Owners};
use crate::placer_processes::Placers;
use crate::report::{FirstRequests, Report, offers_after_health_return};
use crate::run_context::{RunContext, lock};
use crate::run_options::RunEvent;
use crate::scenario::Scenario;
use crate::seeded_rng::SeededRng;
use crate::settings::{self, placer_name};
use inventory::ListedHosts;

/// The stream of random numbers that the fault plan draws from.
const FAULT_STREAM: u64 = 1;
/// Interval at which the run checks for actions that are due.
const TURN_INTERVAL: Duration = Duration::from_millis(5);
/// Number of waits of [`START_WAIT`] for each placer to serve at the beginning of the run.
const MAX_START_WAITS: usize = 300;
/// See [`MAX_START_WAITS`].
const START_WAIT: Duration = Duration::from_millis(100);
/// Maximum time after the end of the run for requests in flight to be answered, µs.
const CLOSING_LIMIT_US: u64 = 30_000_000;

struct ScenarioRun<'a> {
    options: &'a RunOptions,
    scenario: Arc<Scenario>,
    context: RunContext,
    rng: SeededRng,
    host_pool: HostPool,
    folder: PathBuf,
    placers: Placers,
    /// Actions of the fault plan that are not applied yet.
    actions: Vec<ScheduledAction>,
    listed: ListedHosts,
    /// The present faults of each host.
    host_faults: Vec<HostFaults>,
    /// Times at which the health of hosts came back after a flap.
    health_returns: Vec<(u64, Arc<str>)>,
    /// Hosts that were drained and have not restarted.
    draining_hosts: BTreeSet<usize>,
    /// The catalogue, in runs that have one.
    servers: Option<Servers>,
}

/// Runs a scenario and checks its history.
///
/// # Errors
///
/// Files, sockets or processes of the run fail, a placer does not start, or the run is interrupted.
pub fn run_scenario(options: &RunOptions) -> io::Result<Report> {
    let scenario = Arc::new(options.scenario.clone());
    let temporary = tempfile::tempdir()?;
    let folder = options
        .log_folder
        .clone()
        .unwrap_or_else(|| temporary.path().to_owned());
    std::fs::create_dir_all(&folder)?;
    let context = RunContext::new(scenario.classes.len());
    let host_pool = HostPool::start(&scenario, &context, options.seed, None)?;
    let servers = options
        .consul
        .map(|_| catalogue::start_catalogue(&context, options.seed))
        .transpose()?;
    let host_count = scenario.fleet.hosts;
    let mut run = ScenarioRun {
        options,
        rng: SeededRng::new(options.seed, FAULT_STREAM),
        host_pool,
        folder,
        placers: Placers::new(),
        actions: Vec::new(),
        listed: ListedHosts::new(host_count, scenario.fleet.inventory_delay_ms * 1000),
        host_faults: vec![HostFaults::default(); host_count],
        health_returns: Vec::new(),
        draining_hosts: BTreeSet::new(),
        servers,
        context,
        scenario,
    };
    run.run()
}

impl ScenarioRun<'_> {
    fn run(&mut self) -> io::Result<Report> {
        for number in 0..self.scenario.fleet.hosts {
            let started_ms = Some(self.host_started_ms(number));
            self.listed.entries[number] = (HostState::Ready, started_ms);
        }
        self.write_inventory()?;
        let targets = self.start_placers()?;
        self.actions = plan(&self.scenario, &mut self.rng);
        if let Some(membership) = &self.options.membership {
            let faults = membership.faults.iter();
            self.actions
                .extend(faults.map(|&(at_us, fault)| ScheduledAction {
                    at_us,
                    action: FaultAction::Placer(fault),
                }));
        }
        self.notify(RunEvent::Started(self.context.clock.now()));
        let arrivals = self
            .options
            .arrivals
            .clone()
            .unwrap_or_else(|| arrivals(&self.scenario, self.options.seed));
        let (scenario, context) = (self.scenario.clone(), self.context.clone());
        let owners = Owners::start(scenario, context, arrivals, targets)?;
        let end = self.play(&owners)?;
        self.report(owners, end)
    }

    /// Starts all placers and waits until they serve.
    fn start_placers(&mut self) -> io::Result<Vec<LoadBalancerEntry>> {
        let mut targets = Vec::new();
        let zones = self.scenario.fleet.zones.clone();
        for number in 0..self.scenario.placers as usize {
            let config = self.write_config(number)?;
            let name = placer_name(number);
            let log = self.folder.join(format!("{name}.log"));
            self.placers.add(config, log);
            self.spawn_placer(number)?;
            targets.push(LoadBalancerEntry {
                name,
                zone: zones[number % zones.len()].clone(),
                address: None,
                generation: 1,
                is_down: false,
            });
        }
        for _ in 0..targets.len() {
            let (number, address) = self.wait_for_placer()?;
            targets[number].address = Some(address);
            self.notify(RunEvent::PlacerServing(
                self.context.clock.now(),
                number,
                address,
            ));
            self.record_placer_started(number);
        }
        Ok(targets)
    }

    /// Runs the scenario until all requests are finished; returns the time up to which service counts.
    fn play(&mut self, owners: &Owners) -> io::Result<u64> {
        let start = self.context.clock.now();
        let end = start + (self.scenario.duration_s * 1e6) as u64;
        let mut closing_since = None;
        let mut shown_second = 0;
        loop {
            self.check_interrupted()?;
            let now = self.context.clock.now();
            self.actions.sort_by_key(|action| action.at_us);
            while self
                .actions
                .first()
                .is_some_and(|action| start + action.at_us <= now)
            {
                let ScheduledAction { action, .. } = self.actions.remove(0);
                self.apply_action(action, owners)?;
            }
            self.register_started_placers(owners)?;
            self.publish_due_listings(now)?;
            if now >= end && closing_since.is_none() {
                owners.behaviour().is_closing = true;
                closing_since = Some(now);
            }
            let is_late = closing_since.is_some_and(|since| now > since + CLOSING_LIMIT_US);
            if (owners.behaviour().is_closed || is_late) && self.actions.is_empty() {
                break;
            }
            let second = (now - start) / 1_000_000;
            if self.options.show_progress && second > shown_second {
                shown_second = second;
                show_progress(second, owners);
            }
            std::thread::sleep(TURN_INTERVAL);
        }
        if self.options.show_progress {
            eprintln!();
        }
        Ok(end)
    }

    /// Updates the load balancer with restarted placers that have begun to serve.
    fn register_started_placers(&mut self, owners: &Owners) -> io::Result<()> {
        while let Some((number, address)) = self.placers.next_serving(Duration::ZERO)? {
            self.record_placer_started(number);
            self.notify(RunEvent::PlacerServing(
                self.context.clock.now(),
                number,
                address,
            ));
            let mut behaviour = owners.behaviour();
            let target = &mut behaviour.placers[number];
            (target.address, target.is_down) = (Some(address), false);
            target.generation += 1;
        }
        Ok(())
    }

    /// Ends the run and checks its history; service counts up to `end`.
    fn report(&mut self, owners: Owners, end: u64) -> io::Result<Report> {
        let (service, service_loss, duplicate_run_s, by_class) = {
            let accounting = self.context.service_accounting();
            let names = self
                .scenario
                .classes
                .iter()
                .map(|c| c.placer_class.name.clone());
            let by_class = names.zip(accounting.service_by_class(end)).collect();
            (
                accounting.service_shares(end),
                accounting.loss(end),
                accounting.duplicate_run_s,
                by_class,
            )
        };
        let statuses = PlacerStatuses::collect(&owners);
        let mut placement_times_us = owners.end()?;
        placement_times_us.sort_unstable();
        self.placers.stop();
        let history = self.context.take_history();
        let verdict = check(&history, &settings::rule_parameters(&self.scenario));
        Ok(Report {
            first_requests: FirstRequests::count(&history),
            service,
            by_class,
            service_loss,
            duplicate_run_s,
            placement_times_us,
            decision_times_us: statuses.decision_times_us,
            blocked_by_reason: statuses.blocked_by_reason,
            health_returns: offers_after_health_return(&history, &self.health_returns),
            mutant: self.mutant_result(&verdict)?,
            verdict,
            history,
        })
    }

    /// The result of the mutant, if placers ran one; called after the placers have exited.
    fn mutant_result(&self, verdict: &Verdict) -> io::Result<Option<MutantResult>> {
        if self.options.mutant == 0 {
            return Ok(None);
        }
        let mut violations = 0;
        for (log, from) in self.placers.logs() {
            violations += count_violations_in_log(log, from)?;
        }
        let result = MutantResult::new(self.options.mutant, violations, verdict);
        Ok(Some(result))
    }

    /// Returns an error once the run is interrupted, which ends the run and its processes.
    fn check_interrupted(&self) -> io::Result<()> {
        if self.options.interrupted.load(Ordering::Relaxed) {
            return Err(io::Error::new(
                io::ErrorKind::Interrupted,
                "run interrupted; its processes were stopped",
            ));
        }
        Ok(())
    }

    fn spawn_placer(&mut self, number: usize) -> io::Result<()> {
        let arguments = self.options.placer_arguments();
        self.placers
            .spawn(number, &self.options.program, &arguments)
    }

    /// Waits for the next placer to serve at the beginning of the run.
    fn wait_for_placer(&mut self) -> io::Result<(usize, SocketAddr)> {
        for _ in 0..MAX_START_WAITS {
            self.check_interrupted()?;
            if let Some(serving) = self.placers.next_serving(START_WAIT)? {
                return Ok(serving);
            }
        }
        Err(io::Error::other(
            "no further placer began to serve within 30 s",
        ))
    }

    fn record_placer_started(&self, number: usize) {
        self.context.record(Observation::PlacerStarted {
            placer: placer_name(number).into(),
        });
    }

    /// Sends an event to the membership test, if there is one.
    fn notify(&self, event: RunEvent) {
        if let Some(membership) = &self.options.membership {
            let _ = membership.events.send(event);
        }
    }

    /// When a host last started, Unix time in ms; 0 while it is down.
    fn host_started_ms(&self, host: usize) -> u64 {
        lock(&self.host_pool.started_ms)[host]
    }

    fn write_config(&self, number: usize) -> io::Result<PathBuf> {
        let servers = self.servers.as_ref().map(|s| s.addresses.as_slice());
        let servers = servers.zip(self.options.consul);
        let mut config = settings::placer(&self.scenario, number, self.options.seed, servers);
        config.fleet = self
            .options
            .membership
            .as_ref()
            .and_then(|membership| membership.sections.get(number).cloned());
        config.trace = self.options.trace_folder.clone().map(settings::trace);
        let path = self.folder.join(format!("{}.toml", placer_name(number)));
        let text = config.to_toml().map_err(io::Error::other)?;
        std::fs::write(&path, text)?;
        Ok(path)
    }
}

fn show_progress(second: u64, owners: &Owners) {
    let (requests, placed) = {
        let behaviour = owners.behaviour();
        (behaviour.request_count, behaviour.placed_count)
    };
    eprint!("\r{second:3} s: {requests} requests, {placed} placed ");
    let _ = io::stderr().flush();
}

/// Statistics from the status of all placers that are up.
#[derive(Default)]
struct PlacerStatuses {
    /// Times of decisions, µs, with their counts.
    decision_times_us: BTreeMap<u64, u64>,
    /// Number of blocked requests, by reason.
    blocked_by_reason: BTreeMap<String, u64>,
}

impl PlacerStatuses {
    fn collect(owners: &Owners) -> PlacerStatuses {
        let mut statuses = PlacerStatuses::default();
        let addresses: Vec<SocketAddr> = owners
            .behaviour()
            .placers
            .iter()
            .filter_map(|placer| placer.address)
            .collect();
        for address in addresses {
            if let Ok((_, status)) = maplethread_placer::get_json(address, "/v1/status?full") {
                statuses.add(&status);
            }
        }
        statuses
    }

    fn add(&mut self, status: &serde_json::Value) {
        let counts = status["gauges"]["decide_us"]["counts"].as_array();
        for pair in counts.into_iter().flatten() {
            if let (Some(value), Some(count)) = (pair[0].as_u64(), pair[1].as_u64()) {
                *self.decision_times_us.entry(value).or_default() += count;
            }
        }
        let blocked = status["counters"]["held_for"].as_object();
        for (reason, count) in blocked.into_iter().flatten() {
            *self.blocked_by_reason.entry(reason.clone()).or_default() +=
                count.as_u64().unwrap_or(0);
        }
    }
}

/// Runs the emulated hosts of a scenario at these addresses, and writes their inventory. Returns only on failure.
///
/// # Errors
///
/// Listening on an address fails, the inventory cannot be written, or the hosts' thread fails.
pub fn run_hosts(
    scenario: &Arc<Scenario>,
    addresses: &[SocketAddr],
    seed: u64,
    inventory_file: &Path,
) -> io::Result<()> {
    let context = RunContext::without_history(scenario.classes.len());
    let host_pool = HostPool::start(scenario, &context, seed, Some(addresses))?;
    let listed: Vec<_> = lock(&host_pool.started_ms)
        .iter()
        .map(|&ms| (HostState::Ready, Some(ms)))
        .collect();
    let inventory = settings::inventory(scenario, &host_pool.addresses, &listed);
    let text = toml::to_string(&inventory).map_err(io::Error::other)?;
    replace_file(inventory_file, &text)?;
    println!(
        "{} emulated hosts listening; inventory in {}",
        listed.len(),
        inventory_file.display()
    );
    host_pool.join()
}
