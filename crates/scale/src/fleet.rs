//! The fleet of one point: hollow workers in this process, and real placers as processes of their own.

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

/// A fleet that has not come to its state after this has failed.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(120);
/// How often the placers are asked for their state.
const POLL_INTERVAL_S: f64 = 0.2;
/// Hollow placers ping as placers do unless told otherwise, µs.
const HOLLOW_PING_INTERVAL_US: u64 = 1_000_000;
/// The host list's file.
const INVENTORY_FILE: &str = "hosts.toml";

/// How large a fleet is.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    /// Hollow workers.
    pub workers: usize,
    /// Real placers.
    pub placers: usize,
    /// Hollow placers.
    pub hollow_placers: usize,
    /// Whether the real placers keep a view of each other.
    pub has_membership: bool,
    /// Seed of all that is drawn.
    pub seed: u64,
}

/// A fleet that runs; its processes end when it is dropped.
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
    /// Starts a fleet with the placers of this program, and waits until every placer is connected to every worker.
    pub fn start(
        size: FleetSize,
        program: &Path,
        interrupted: &InterruptFlag,
    ) -> Result<Fleet, ScaleError> {
        let scenario = Arc::new(scenario(size.workers, size.placers as u32));
        let world = RunContext::without_history(scenario.classes.len());
        let counter = TrafficCounter::default();
        let rack =
            HostPool::start_with_counter(&scenario, &world, size.seed, None, Some(counter.clone()))
                .map_err(ScaleError::io("hollow workers"))?;
        let folder = tempfile::tempdir().map_err(ScaleError::io("a folder for settings"))?;
        let mut fleet = Fleet {
            size,
            program: program.to_owned(),
            interrupted: interrupted.clone(),
            folder,
            scenario,
            host_pool: rack,
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

    /// What the fleet's workers and real placers send each other.
    pub fn counter(&self) -> &TrafficCounter {
        &self.counter
    }

    /// Its size.
    pub fn size(&self) -> FleetSize {
        self.size
    }

    /// The owners of its tasks.
    pub(crate) fn owners(&self) -> &Owners {
        &self.owners
    }

    /// What the placers tell of themselves.
    pub(crate) fn statuses(&self) -> Result<PlacerStatuses, ScaleError> {
        self.owners.statuses()
    }

    pub(crate) fn interrupted(&self) -> &InterruptFlag {
        &self.interrupted
    }

    /// Process ids of the real placers that run.
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

    /// Where the placers read their host list.
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

    /// Starts a placer that does not run.
    pub(crate) fn spawn_placer(&mut self, number: usize) -> Result<(), ScaleError> {
        let arguments = ["--log", "warn"].map(str::to_owned);
        self.placers
            .spawn(number, &self.program, &arguments)
            .map_err(ScaleError::io("a placer process"))
    }

    /// Waits until so many more placers serve.
    fn wait_serving(&mut self, count: usize) -> Result<(), ScaleError> {
        let until = Instant::now() + SETTLE_TIMEOUT;
        let mut serving = 0;
        while serving < count {
            self.interrupted.check()?;
            let serves = self.placers.next_serving(Duration::from_millis(100));
            if let Some((number, address)) = serves.map_err(ScaleError::io("a placer process"))? {
                self.owners.placers[number] = address;
                serving += 1;
            }
            if Instant::now() > until {
                let why = format!("{serving} of {count} placers serve after {SETTLE_TIMEOUT:?}");
                return Err(ScaleError::NotSettled(why));
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

    /// Workers that placers can be connected to.
    pub(crate) fn reachable_workers(&self) -> usize {
        self.size.workers - self.dead_workers.len() - self.unreachable_workers.len()
    }

    /// Whether each placer is connected to just the workers that are there.
    pub(crate) fn is_fully_connected(&self) -> Result<bool, ScaleError> {
        Ok(self.is_fully_connected_in(&self.statuses()?))
    }

    /// The same, by what the placers told.
    pub(crate) fn is_fully_connected_in(&self, statuses: &PlacerStatuses) -> bool {
        let there = self.reachable_workers();
        let hollow = self
            .hollow_placers
            .as_ref()
            .map_or(0, HollowPlacers::connected);
        let real = statuses
            .connected_hosts
            .iter()
            .all(|&n| n as usize == there);
        real && hollow >= there * self.size.hollow_placers
    }

    /// Waits until each placer is connected to all workers that are there.
    pub fn wait_connected(&self) -> Result<(), ScaleError> {
        let until = Instant::now() + SETTLE_TIMEOUT;
        while !self.is_fully_connected()? {
            if Instant::now() > until {
                let connected = self.statuses()?.connected_hosts;
                let there = self.reachable_workers();
                let why = format!("placers are connected to {connected:?} of {there} workers");
                return Err(ScaleError::NotSettled(why));
            }
            self.interrupted.sleep(POLL_INTERVAL_S)?;
        }
        Ok(())
    }

    /// Waits until all placers that keep a view see each other.
    fn wait_membership_complete(&self) -> Result<(), ScaleError> {
        let until = Instant::now() + SETTLE_TIMEOUT;
        loop {
            let views: Result<Vec<membership::MembershipStatus>, ScaleError> = self
                .members()
                .iter()
                .map(|&at| membership::fetch_membership(at))
                .collect();
            if views?
                .iter()
                .all(|seen| seen.live_members == self.size.placers)
            {
                return Ok(());
            }
            if Instant::now() > until {
                let why = format!("placers do not see each other after {SETTLE_TIMEOUT:?}");
                return Err(ScaleError::NotSettled(why));
            }
            self.interrupted.sleep(POLL_INTERVAL_S)?;
        }
    }

    /// Placers that keep a view of each other.
    fn members(&self) -> &[SocketAddr] {
        if self.size.has_membership {
            &self.owners.placers
        } else {
            &[]
        }
    }

    /// Datagrams that each placer with a view has sent; none for one that is just being restarted.
    pub(crate) fn sent_datagrams(&self) -> Vec<DatagramCounters> {
        self.members()
            .iter()
            .map(|&at| {
                membership::fetch_membership(at)
                    .map_or_else(|_| DatagramCounters::default(), |s| s.sent)
            })
            .collect()
    }

    /// Waits until the placers hold no more than so many actors.
    pub fn wait_actors_at_most(&self, most: u64) -> Result<(), ScaleError> {
        let until = Instant::now() + SETTLE_TIMEOUT;
        loop {
            let actors = self.statuses()?.actors;
            if actors <= most {
                return Ok(());
            }
            if Instant::now() > until {
                return Err(ScaleError::NotSettled(format!(
                    "{actors} actors are held, {most} were awaited"
                )));
            }
            self.interrupted.sleep(POLL_INTERVAL_S)?;
        }
    }

    /// Clients that will ask at this rate for so long, over all placers in turn.
    pub fn clients(&self, plan: ClientPlan) -> Result<Clients, ScaleError> {
        self.owners.clients(plan)
    }

    /// Workers die: their connections are reset and their tasks are lost.
    pub(crate) fn kill_workers(&mut self, workers: impl IntoIterator<Item = usize>) {
        for worker in workers {
            self.host_pool.command(HostCommand::Crash(worker));
            self.dead_workers.push(worker);
        }
    }

    /// Dead workers come back, cold.
    pub(crate) fn start_dead_workers(&mut self) {
        self.dead_workers
            .drain(..)
            .for_each(|worker| self.host_pool.command(HostCommand::Start(worker)));
    }

    /// A worker's process is replaced by a new one, cold.
    pub(crate) fn restart_worker(&self, worker: usize) {
        self.host_pool.command(HostCommand::Crash(worker));
        self.host_pool.command(HostCommand::Start(worker));
    }

    /// Nothing gets to these workers or from them any more.
    pub(crate) fn isolate_workers(&mut self, workers: impl IntoIterator<Item = usize>) {
        for worker in workers {
            self.host_pool
                .command(HostCommand::SetReachable(worker, false));
            self.unreachable_workers.push(worker);
        }
    }

    /// All workers can be reached again.
    pub(crate) fn reconnect_workers(&mut self) {
        self.unreachable_workers.drain(..).for_each(|worker| {
            self.host_pool
                .command(HostCommand::SetReachable(worker, true))
        });
    }

    /// Tells a placer to end in order.
    pub(crate) fn end_placer(&self, number: usize) -> Result<(), ScaleError> {
        self.placers
            .signal(number, Signal::TERM)
            .map_err(ScaleError::io("ending a placer"))
    }

    /// Whether a placer that was told to end has ended.
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

    /// Whether a placer that was started has begun to serve since the last call.
    pub(crate) fn poll_serving_placer(&mut self) -> Result<bool, ScaleError> {
        let serves = self
            .placers
            .next_serving(Duration::ZERO)
            .map_err(ScaleError::io("a placer process"))?;
        if let Some((number, address)) = serves {
            self.owners.placers[number] = address;
        }
        Ok(serves.is_some())
    }
}

/// Replaces a host list as a whole.
pub(crate) fn write_inventory(path: &Path, inventory: &Inventory) -> Result<(), ScaleError> {
    let text = toml::to_string(inventory).map_err(std::io::Error::other);
    text.and_then(|text| replace_file(path, &text))
        .map_err(ScaleError::io(path.display().to_string()))
}
