//! How full machines are: requested and likely used shares, headroom, and the working set.

use std::collections::BTreeSet;

use super::Placer;
use super::machine::Machine;
use crate::interface::{LoadReport, MachineId, Resources, Task};

/// A machine has headroom while what its tasks are likely to use stays under this share of it.
const HEADROOM_LIMIT: f64 = 0.85;
/// Weight of the newest report in the mean share that own tasks use.
const USAGE_SMOOTHING_FACTOR: f64 = 0.02;
/// Where machines in use are priced, as many are used as are needed to fill them to this share.
const TARGET_UTILIZATION: f64 = 0.7;

/// The share of what they requested that this placer's tasks use, a smoothed mean of their reports.
pub(super) struct UsageShare {
    share: Resources,
}

impl UsageShare {
    /// Before any report, tasks are taken to use all that they requested.
    pub(super) fn new() -> UsageShare {
        UsageShare {
            share: Resources::new(1.0, 1.0),
        }
    }

    pub(super) fn observe_cores(&mut self, used: f64, requested: f64) {
        if requested > 0.0 {
            self.share.cores += USAGE_SMOOTHING_FACTOR * (used / requested - self.share.cores);
        }
    }

    pub(super) fn observe_memory(&mut self, used: f64, requested: f64) {
        if requested > 0.0 {
            self.share.memory += USAGE_SMOOTHING_FACTOR * (used / requested - self.share.memory);
        }
    }

    /// The larger of the core and memory shares that are likely in use where these shares are requested.
    fn of_requested(&self, requested: Resources) -> f64 {
        requested.scaled_by(self.share).dominant_share()
    }
}

impl Placer {
    fn ready_machines(&self) -> impl Iterator<Item = &Machine> {
        self.machines.values().filter(|machine| machine.is_ready())
    }

    /// The mean share that is requested of the ready machines that are reported, or of own tasks where none is.
    pub(super) fn mean_allocation(&self) -> Resources {
        let mut shares: Vec<Resources> = self
            .ready_machines()
            .filter_map(|machine| Some(machine.reported_allocation()?.as_share_of(machine.size)))
            .collect();
        if shares.is_empty() {
            shares = self
                .ready_machines()
                .map(|machine| machine.own_allocation().as_share_of(machine.size))
                .collect();
        }
        let weight = 1.0 / shares.len().max(1) as f64;
        shares.iter().fold(Resources::default(), |mean, &share| {
            mean.add_scaled(share, weight)
        })
    }

    /// The share of the machine that is likely in use with the task: the workload that a score weighs.
    pub(super) fn likely_utilization(
        &self,
        machine: &Machine,
        task: &Task,
        mean: Resources,
    ) -> f64 {
        self.usage_share
            .of_requested(self.allocation_with(machine, task, mean))
    }

    /// Shares requested, with the task: as reported, with own changes since. A machine that is not reported counts with
    /// the `mean` besides; where nothing ever is reported, with the mean of own tasks for each other placer.
    fn allocation_with(&self, machine: &Machine, task: &Task, mean: Resources) -> Resources {
        let is_ever_reported = self.settings.endpoints_report_capacity
            || self.settings.load_report == LoadReport::Unallocated;
        let times_mean = match (machine.is_reported(), is_ever_reported) {
            (true, _) => 0.0,
            (false, true) => 1.0,
            (false, false) => f64::from(self.settings.replica_count - 1),
        };
        machine
            .known_allocation()
            .add_scaled(task.requested, 1.0)
            .as_share_of(machine.size)
            .add_scaled(mean, times_mean)
    }

    /// Whether the machine would serve the task well: it is not contended, and would not be nearly full.
    pub(super) fn has_headroom(&self, machine: &Machine, task: &Task, mean: Resources) -> bool {
        machine.contended_until <= self.now
            && self.likely_utilization(machine, task, mean) <= HEADROOM_LIMIT
    }

    /// Whether some ready machine has headroom for the task.
    pub(super) fn has_machine_with_headroom(&self, task: &Task) -> bool {
        let mean = self.mean_allocation();
        self.ready_machines()
            .any(|machine| self.has_headroom(machine, task, mean))
    }

    /// The fullest ready machines that together hold what is likely used, filled up to [`TARGET_UTILIZATION`].
    pub(super) fn working_set(&self) -> BTreeSet<MachineId> {
        let utilization = |machine: &Machine| {
            self.usage_share
                .of_requested(machine.known_allocation().as_share_of(machine.size))
        };
        let mut ready: Vec<(f64, &Machine)> = self
            .ready_machines()
            .map(|machine| (utilization(machine), machine))
            .collect();
        ready.sort_by(|a, b| b.0.total_cmp(&a.0));
        let used_cores: f64 = ready
            .iter()
            .map(|(utilization, machine)| utilization * machine.size.cores)
            .sum();
        let mut cores = 0.0;
        let needed = ready.iter().take_while(|(_, machine)| {
            cores += machine.size.cores;
            cores - machine.size.cores < used_cores / TARGET_UTILIZATION
        });
        needed.map(|(_, machine)| machine.entry.machine).collect()
    }
}
