//! The owners of tasks: what they ask of the placers, and what the placers tell them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use maplethread_emulator::clients::{Clients, RequestLoad};

use crate::error::ScaleError;
use crate::interrupt::InterruptFlag;

/// Tasks that are to run before the phases begin are asked for at this rate.
const PRELOAD_RATE: f64 = 2_000.0;
/// Tasks that do not run after this are not there to be had.
const PRELOAD_TIMEOUT: Duration = Duration::from_secs(60);
/// Owners of tasks that were lost together ask again within this time, s...
const RESUBMIT_WITHIN_S: f64 = 1.0;
/// ...and look this often whether theirs still run, s.
const POLL_INTERVAL_S: f64 = 0.5;
/// Client connections to each placer.
const CONNECTIONS_PER_PLACER: usize = 16;

/// The owners of all tasks of a fleet.
#[derive(Clone, Debug)]
pub(crate) struct Owners {
    /// Where each placer serves.
    pub(crate) placers: Vec<SocketAddr>,
    interrupted: InterruptFlag,
    /// Loads so far, so that each asks for actors of its own.
    load_count: Arc<AtomicU64>,
}

/// What clients ask for.
#[derive(Clone, Copy, Debug)]
pub struct ClientPlan {
    /// Asks a second.
    pub requests_per_second: f64,
    /// For so long, s.
    pub seconds: f64,
    /// Times of asks due before this are kept apart, s.
    pub split_s: f64,
    /// The life of their tasks; without end where missing.
    pub task_duration_ms: Option<u64>,
}

/// What the placers tell of themselves.
#[derive(Clone, Debug, Default)]
pub(crate) struct PlacerStatuses {
    /// Hosts that each is connected to.
    pub(crate) connected_hosts: Vec<u32>,
    /// Actors over all of them.
    pub(crate) actors: u64,
}

impl Owners {
    /// Owners of a fleet of so many placers, none of which serves yet.
    pub(crate) fn new(placers: usize, interrupted: &InterruptFlag) -> Owners {
        let nowhere = SocketAddr::from(([0, 0, 0, 0], 0));
        Owners {
            placers: vec![nowhere; placers],
            interrupted: interrupted.clone(),
            load_count: Arc::default(),
        }
    }

    /// What the placers tell of themselves.
    pub(crate) fn statuses(&self) -> Result<PlacerStatuses, ScaleError> {
        let mut statuses = PlacerStatuses::default();
        for &address in &self.placers {
            let (_, status) = maplethread_placer::get_json(address, "/v1/status")
                .map_err(ScaleError::io(format!("status of the placer at {address}")))?;
            statuses
                .connected_hosts
                .push(status["hosts_connected"].as_u64().unwrap_or(0) as u32);
            statuses.actors += status["actors"].as_u64().unwrap_or(0);
        }
        Ok(statuses)
    }

    /// Clients that will ask at this rate for so long, over all placers in turn.
    pub(crate) fn clients(&self, plan: ClientPlan) -> Result<Clients, ScaleError> {
        let load = RequestLoad {
            requests_per_s: plan.requests_per_second,
            seconds: plan.seconds,
            split_s: plan.split_s,
            connections: CONNECTIONS_PER_PLACER * self.placers.len(),
            task_duration_ms: plan.task_duration_ms,
            name: format!("actor-{}", self.load_count.fetch_add(1, Ordering::Relaxed)),
        };
        Clients::connect(load, &self.placers).map_err(ScaleError::io("clients"))
    }

    /// Asks for tasks that never end until so many run.
    pub(crate) fn run_tasks(&self, tasks: u64) -> Result<(), ScaleError> {
        let until = Instant::now() + PRELOAD_TIMEOUT;
        loop {
            let missing = self.missing_tasks(tasks)?;
            if missing == 0 {
                return Ok(());
            }
            if Instant::now() > until {
                let why = format!(
                    "{missing} of {tasks} tasks do not run, though asked for again and again"
                );
                return Err(ScaleError::NotSettled(why));
            }
            self.submit(missing, PRELOAD_RATE)?;
            self.interrupted.sleep(POLL_INTERVAL_S)?;
        }
    }

    /// Asks again for tasks that were lost, whenever some were, until told to stop.
    pub(crate) fn resubmit_lost(&self, tasks: u64, stop: &AtomicBool) -> Result<(), ScaleError> {
        while !stop.load(Ordering::Relaxed) {
            let missing = self.missing_tasks(tasks)?;
            if missing > 0 {
                self.submit(missing, missing as f64 / RESUBMIT_WITHIN_S)?;
            } else {
                self.interrupted.sleep(POLL_INTERVAL_S)?;
            }
        }
        Ok(())
    }

    fn missing_tasks(&self, tasks: u64) -> Result<u64, ScaleError> {
        Ok(tasks.saturating_sub(self.statuses()?.actors))
    }

    fn submit(&self, tasks: u64, rate: f64) -> Result<(), ScaleError> {
        let plan = ClientPlan {
            requests_per_second: rate,
            seconds: tasks as f64 / rate,
            split_s: 0.0,
            task_duration_ms: None,
        };
        self.clients(plan)?
            .run()
            .map_err(ScaleError::io("clients"))?;
        self.interrupted.check()
    }
}
