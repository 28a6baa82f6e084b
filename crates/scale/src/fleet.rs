//! The fleet of one point: hollow workers in this process, and real placers as separate processes.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use maplethread_config::{HostState, Inventory};
use maplethread_emulator::clients::Clients;
use maplethread_emulator::hollow_placers::HollowPlacers;
use maplethread_emulator::host_pool::{HostCommand, HostPool};
use maplethread_emulator::placer_processes::Placers;
use maplethread_emulator::run_context::RunContext;
use maplethread_emulator::scenario::Scenario;
use maplethread_emulator::scenario_run::replace_file;
use maplethread_emulator::settings;
use maplethread_emulator::traffic::TrafficCounter;
use rustix::process::Signal;
use tempfile::TempDir;

use crate::error::ScaleError;
use crate::interrupt::InterruptFlag;
use crate::membership::{self, DatagramCounters};
use crate::owners::{ClientPlan, Owners, PlacerStatuses};
use crate::scenario::scenario;

/// The limit for each wait until the fleet has reached a state.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(120);
/// How often the placers' status is polled.
const POLL_INTERVAL_S: f64 = 0.2;
/// Ping interval of hollow placers, µs; the default of real placers.
const HOLLOW_PING_INTERVAL_US: u64 = 1_000_000;
/// The file name of the host list.
const INVENTORY_FILE: &str = "hosts.toml";

/// The size of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    /// Hollow workers.
    pub workers: usize,
    /// Real placers.
    pub placers: usize,
    /// Hollow placers.
    pub hollow_placers: usize,
    /// Whether the real placers run the membership protocol.
    pub has_membership: bool,
    /// Seed of the random numbers.
    pub seed: u64,
}

/// A running fleet; its processes end when it is dropped.
pub struct Fleet {
    size: FleetSize,
    program: PathBuf,
    interrupted: InterruptFlag,
    folder: TempDir,
    scenario: Arc<Scenario>,
    host_pool: HostPool,
    placers: Placers,
    hollow_placers: Option<HollowPlacers>,
    owners: Owners,
    counter: TrafficCounter,
    dead_workers: Vec<usize>,
    unreachable_workers: Vec<usize>,
}

impl Fleet {
    /// Starts a fleet with placers of this program, and waits until every placer is connected to every worker.
    ///
    /// # Errors
    ///
    /// Returns an error if a file, socket or process fails, the placers do not serve and connect in time, or the sweep is
    /// interrupted.
    pub fn start(
        size: FleetSize,
        program: &Path,
        interrupted: &InterruptFlag,
    ) -> Result<Fleet, ScaleError> {
        let scenario = Arc::new(scenario(size.workers, size.placers as u32));
        let run_context = RunContext::without_history(scenario.classes.len());
        let counter = TrafficCounter::default();
        let host_pool = HostPool::start_with_counter(
            &scenario,
            &run_context,
            size.seed,
            None,
            Some(counter.clone()),
        )
        .map_err(ScaleError::io("hollow workers"))?;
        let folder = tempfile::tempdir().map_err(ScaleError::io("a folder for settings"))?;
        let mut fleet = Fleet {
            size,
            program: program.to_owned(),
            interrupted: interrupted.clone(),
            folder,
            scenario,
            host_pool,
            placers: Placers::new(),
            hollow_placers: None,
            owners: Owners::new(size.placers, interrupted),
            counter,
            dead_workers: Vec::new(),
            unreachable_workers: Vec::new(),
        };
        fleet.write_inventory(&fleet.inventory())?;
        fleet.start_placers()?;
        fleet.start_hollow_placers()?;
        fleet.wait_connected()?;
        fleet.wait_membership_complete()?;
        Ok(fleet)
    }

    /// The counter of the messages between the workers and the real placers.
    pub fn counter(&self) -> &TrafficCounter {
        &self.counter
    }

    /// The size of the fleet.
    pub fn size(&self) -> FleetSize {
        self.size
    }

    /// The owners of the fleet's tasks.
    pub(crate) fn owners(&self) -> &Owners {
        &self.owners
    }

    /// Reads the status of all placers.
    pub(crate) fn statuses(&self) -> Result<PlacerStatuses, ScaleError> {
        self.owners.statuses()
    }

    pub(crate) fn interrupted(&self) -> &InterruptFlag {
        &self.interrupted
    }

    /// Process ids of the real placers; `None` for one that is not running.
    pub(crate) fn pids(&self) -> Vec<Option<u32>> {
        self.placers
            .all
            .iter()
            .map(|p| p.child.as_ref().map(std::process::Child::id))
            .collect()
    }

    /// The host list with all workers ready.
    pub(crate) fn inventory(&self) -> Inventory {
        let listed = vec![(HostState::Ready, None); self.size.workers];
        settings::inventory(&self.scenario, &self.host_pool.addresses, &listed)
    }

    /// The path of the placers' host list.
    pub(crate) fn inventory_path(&self) -> PathBuf {
        self.folder.path().join(INVENTORY_FILE)
    }

    fn write_inventory(&self, inventory: &Inventory) -> Result<(), ScaleError> {
        write_inventory(&self.inventory_path(), inventory)
    }

    fn start_placers(&mut self) -> Result<(), ScaleError> {
        let members = if self.size.has_membership {
            self.size.placers
        } else {
            0
        };
        let mut sections =
            membership::membership_sections(members, self.folder.path())?.into_iter();
        for number in 0..self.size.placers {
            let mut config = settings::placer(&self.scenario, number, self.size.seed, None);
            config.fleet = sections.next();
            let path = self.folder.path().join(format!("placer-{number}.toml"));
            let log = self.folder.path().join(format!("placer-{number}.log"));
            let text = config
                .to_toml()
                .map_err(std::io::Error::other)
                .map_err(ScaleError::io("settings"))?;
            std::fs::write(&path, text).map_err(ScaleError::io(path.display().to_string()))?;
            self.placers.add(path, log);
            self.spawn_placer(number)?;
        }
        self.wait_serving(self.size.placers)
    }

    /// Starts the process of a placer that is not running.
    pub(crate) fn spawn_placer(&mut self, number: usize) -> Result<(), ScaleError> {
        let arguments = ["--log", "warn"].map(str::to_owned);
        self.placers
            .spawn(number, &self.program, &arguments)
            .map_err(ScaleError::io("a placer process"))
    }

    /// Waits until `count` more placers serve.
    fn wait_serving(&mut self, count: usize) -> Result<(), ScaleError> {
        let until = Instant::now() + SETTLE_TIMEOUT;
        let mut serving = 0;
        while serving < count {
            self.interrupted.check()?;
            let serving_placer = self.placers.next_serving(Duration::from_millis(100));
            if let Some((number, address)) =
                serving_placer.map_err(ScaleError::io("a placer process"))?
            {
                self.owners.placers[number] = address;
                serving += 1;
            }
            if Instant::now() > until {
                let reason =
                    format!("only {serving} of {count} placers serve after {SETTLE_TIMEOUT:?}");
                return Err(ScaleError::NotSettled(reason));
            }
        }
        Ok(())
    }

    fn start_hollow_placers(&mut self) -> Result<(), ScaleError> {
        if self.size.hollow_placers > 0 {
            let started = HollowPlacers::start(
                self.size.hollow_placers,
                &self.host_pool.addresses,
                HOLLOW_PING_INTERVAL_US,
            );
            self.hollow_placers = Some(started.map_err(ScaleError::io("hollow placers"))?);
        }
        Ok(())
    }

    /// The number of workers to which placers can connect.
    pub(crate) fn reachable_workers(&self) -> usize {
        self.size.workers - self.dead_workers.len() - self.unreachable_workers.len()
    }

    /// Whether each placer is connected to exactly the reachable workers.
    pub(crate) fn is_fully_connected(&self) -> Result<bool, ScaleError> {
        Ok(self.is_fully_connected_in(&self.statuses()?))
    }

    /// Like [`Fleet::is_fully_connected`], with statuses that have been read before.
    pub(crate) fn is_fully_connected_in(&self, statuses: &PlacerStatuses) -> bool {
        let reachable = self.reachable_workers();
        let hollow = self
            .hollow_placers
            .as_ref()
            .map_or(0, HollowPlacers::connected);
        let real = statuses
            .connected_hosts
            .iter()
            .all(|&n| n as usize == reachable);
        real && hollow >= reachable * self.size.hollow_placers
    }

    /// Waits until each placer is connected to exactly the reachable workers.
    ///
    /// # Errors
    ///
    /// Returns an error if a placer's status can't be read, if the placers are not connected in time, or if the sweep is
    /// interrupted.
    pub fn wait_connected(&self) -> Result<(), ScaleError> {
        let until = Instant::now() + SETTLE_TIMEOUT;
        while !self.is_fully_connected()? {
            if Instant::now() > until {
                let connected = self.statuses()?.connected_hosts;
                let reachable = self.reachable_workers();
                let reason = format!(
                    "placers are connected to {connected:?} of {reachable} workers after {SETTLE_TIMEOUT:?}"
                );
                return Err(ScaleError::NotSettled(reason));
            }
            self.interrupted.sleep(POLL_INTERVAL_S)?;
        }
        Ok(())
    }

    /// Waits until each placer with membership has all others as live members.
    fn wait_membership_complete(&self) -> Result<(), ScaleError> {
        let until = Instant::now() + SETTLE_TIMEOUT;
        loop {
            let views: Result<Vec<membership::MembershipStatus>, ScaleError> = self
                .members()
                .iter()
                .map(|&address| membership::fetch_membership(address))
                .collect();
            if views?
                .iter()
                .all(|status| status.live_members == self.size.placers)
            {
                return Ok(());
            }
            if Instant::now() > until {
                let reason =
                    format!("the placers' membership is incomplete after {SETTLE_TIMEOUT:?}");
                return Err(ScaleError::NotSettled(reason));
            }
            self.interrupted.sleep(POLL_INTERVAL_S)?;
        }
    }

    /// The placers with membership.
    fn members(&self) -> &[SocketAddr] {
        if self.size.has_membership {
            &self.owners.placers
        } else {
            &[]
        }
    }

    /// The datagrams that each placer with membership has sent; zero for a placer that is being restarted.
    pub(crate) fn sent_datagrams(&self) -> Vec<DatagramCounters> {
        self.members()
            .iter()
            .map(|&address| {
                membership::fetch_membership(address)
                    .map_or_else(|_| DatagramCounters::default(), |s| s.sent)
            })
            .collect()
    }

    /// Waits until the placers hold at most this number of actors.
    ///
    /// # Errors
    ///
    /// Returns an error if a placer's status can't be read, if the placers hold more after the time-out, or if the sweep is
    /// interrupted.
    pub fn wait_actors_at_most(&self, max_actors: u64) -> Result<(), ScaleError> {
        let until = Instant::now() + SETTLE_TIMEOUT;
        loop {
            let actors = self.statuses()?.actors;
            if actors <= max_actors {
                return Ok(());
            }
            if Instant::now() > until {
                return Err(ScaleError::NotSettled(format!(
                    "placers hold {actors} actors after {SETTLE_TIMEOUT:?}, expected at most {max_actors}"
                )));
            }
            self.interrupted.sleep(POLL_INTERVAL_S)?;
        }
    }

    /// Connects clients that send requests by this plan, to all placers in turn.
    ///
    /// # Errors
    ///
    /// Returns an error if a client can't connect.
    pub fn clients(&self, plan: ClientPlan) -> Result<Clients, ScaleError> {
        self.owners.clients(plan)
    }

    /// Stops workers: their connections are reset and their tasks are lost.
    pub(crate) fn kill_workers(&mut self, workers: impl IntoIterator<Item = usize>) {
        for worker in workers {
            self.host_pool.command(HostCommand::Crash(worker));
            self.dead_workers.push(worker);
        }
    }

    /// Restarts the stopped workers, as cold hosts.
    pub(crate) fn start_dead_workers(&mut self) {
        self.dead_workers
            .drain(..)
            .for_each(|worker| self.host_pool.command(HostCommand::Start(worker)));
    }

    /// Replaces a worker by a new process, as a cold host.
    pub(crate) fn restart_worker(&self, worker: usize) {
        self.host_pool.command(HostCommand::Crash(worker));
        self.host_pool.command(HostCommand::Start(worker));
    }

    /// Cuts off the network of these workers in both directions.
    pub(crate) fn isolate_workers(&mut self, workers: impl IntoIterator<Item = usize>) {
        for worker in workers {
            self.host_pool
                .command(HostCommand::SetReachable(worker, false));
            self.unreachable_workers.push(worker);
        }
    }

    /// Restores the network of all workers.
    pub(crate) fn reconnect_workers(&mut self) {
        self.unreachable_workers.drain(..).for_each(|worker| {
            self.host_pool
                .command(HostCommand::SetReachable(worker, true))
        });
    }

    /// Sends SIGTERM to a placer.
    pub(crate) fn end_placer(&self, number: usize) -> Result<(), ScaleError> {
        self.placers
            .signal(number, Signal::TERM)
            .map_err(ScaleError::io("ending a placer"))
    }

    /// Whether a placer's process has exited.
    pub(crate) fn has_placer_ended(&mut self, number: usize) -> Result<bool, ScaleError> {
        let Some(child) = &mut self.placers.all[number].child else {
            return Ok(true);
        };
        let ended = child
            .try_wait()
            .map_err(ScaleError::io("ending a placer"))?
            .is_some();
        if ended {
            self.placers.all[number].child = None;
        }
        Ok(ended)
    }

    /// Whether a started placer has begun to serve since the last call.
    pub(crate) fn poll_serving_placer(&mut self) -> Result<bool, ScaleError> {
        let serving_placer = self
            .placers
            .next_serving(Duration::ZERO)
            .map_err(ScaleError::io("a placer process"))?;
        if let Some((number, address)) = serving_placer {
            self.owners.placers[number] = address;
        }
        Ok(serving_placer.is_some())
    }
}

/// Replaces a host list atomically.
pub(crate) fn write_inventory(path: &Path, inventory: &Inventory) -> Result<(), ScaleError> {
    let text = toml::to_string(inventory).map_err(std::io::Error::other);
    text.and_then(|text| replace_file(path, &text))
        .map_err(ScaleError::io(path.display().to_string()))
}
