//! The owners of tasks: their requests to the placers, and the placers' statuses.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use maplethread_emulator::clients::{Clients, RequestLoad};

use crate::error::ScaleError;
use crate::interrupt::InterruptFlag;

/// Requests per second for the tasks that run before the phases begin.
const PRELOAD_REQUESTS_PER_S: f64 = 2_000.0;
/// The limit for starting these tasks.
const PRELOAD_TIMEOUT: Duration = Duration::from_secs(60);
/// Owners spread their new requests for tasks that were lost together over this time, s...
const RESUBMIT_WITHIN_S: f64 = 1.0;
/// ...and check for lost tasks at this interval, s.
const POLL_INTERVAL_S: f64 = 0.5;
/// Client connections to each placer.
const CONNECTIONS_PER_PLACER: usize = 16;

/// The owners of all tasks of a fleet.
#[derive(Clone, Debug)]
pub(crate) struct Owners {
    /// The API address of each placer.
    pub(crate) placers: Vec<SocketAddr>,
    interrupted: InterruptFlag,
    /// Number of loads, so that each requests actors of its own.
    load_count: Arc<AtomicU64>,
}

/// The load that clients generate.
#[derive(Clone, Copy, Debug)]
pub struct ClientPlan {
    /// Requests per second.
    pub requests_per_second: f64,
    /// Duration of the load, s.
    pub seconds: f64,
    /// Answer times of requests that are due before this are recorded separately, s.
    pub split_s: f64,
    /// Duration of the tasks, ms; `None` for tasks that do not end.
    pub task_duration_ms: Option<u64>,
}

/// The statuses of all placers.
#[derive(Clone, Debug, Default)]
pub(crate) struct PlacerStatuses {
    /// Number of hosts to which each placer is connected.
    pub(crate) connected_hosts: Vec<u32>,
    /// Number of actors of all placers.
    pub(crate) actors: u64,
}

impl Owners {
    /// Makes the owners of a fleet whose placers do not serve yet.
    pub(crate) fn new(placers: usize, interrupted: &InterruptFlag) -> Owners {
        let unset_address = SocketAddr::from(([0, 0, 0, 0], 0));
        Owners {
            placers: vec![unset_address; placers],
            interrupted: interrupted.clone(),
            load_count: Arc::default(),
        }
    }

    /// Reads the status of all placers.
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

    /// Connects clients that send requests by this plan, to all placers in turn.
    pub(crate) fn clients(&self, plan: ClientPlan) -> Result<Clients, ScaleError> {
        let load = RequestLoad {
            requests_per_s: plan.requests_per_second,
            duration_s: plan.seconds,
            split_s: plan.split_s,
            connections: CONNECTIONS_PER_PLACER * self.placers.len(),
            task_duration_ms: plan.task_duration_ms,
            name: format!("actor-{}", self.load_count.fetch_add(1, Ordering::Relaxed)),
        };
        Clients::connect(load, &self.placers).map_err(ScaleError::io("clients"))
    }

    /// Requests tasks without end until this number of them are running.
    pub(crate) fn run_tasks(&self, tasks: u64) -> Result<(), ScaleError> {
        let until = Instant::now() + PRELOAD_TIMEOUT;
        loop {
            let missing = self.missing_tasks(tasks)?;
            if missing == 0 {
                return Ok(());
            }
            if Instant::now() > until {
                let reason = format!(
                    "{missing} of {tasks} tasks are not running after {PRELOAD_TIMEOUT:?} of repeated requests"
                );
                return Err(ScaleError::NotSettled(reason));
            }
            self.submit(missing, PRELOAD_REQUESTS_PER_S)?;
            self.interrupted.sleep(POLL_INTERVAL_S)?;
        }
    }

    /// Requests lost tasks again, until `stop` is set.
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
