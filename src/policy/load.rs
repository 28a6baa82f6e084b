//! The load of machines: allocation, estimated utilization, headroom, and the working set.

use std::collections::BTreeSet;

use super::Placer;
use super::machine::Machine;
use crate::interface::{LoadReportContent, MachineId, Resources, Task};

/// A machine has headroom while its estimated utilization is at most this share.
const HEADROOM_LIMIT: f64 = 0.85;
/// Weight of the newest report in the smoothed usage share.
const USAGE_SMOOTHING_FACTOR: f64 = 0.02;
/// Utilization up to which machines are filled where each machine in use has a cost.
const TARGET_UTILIZATION: f64 = 0.7;

/// The share of their requested resources that this placer's tasks use: a smoothed mean of their reports.
pub(super) struct UsageShare {
    share: Resources,
}

impl UsageShare {
    /// Before the first report, tasks are assumed to use all that they requested.
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

    /// The larger of the estimated core and memory utilization where these shares are requested.
    fn utilization_of(&self, requested: Resources) -> f64 {
        requested.scaled_by(self.share).dominant_share()
    }
}

impl Placer {
    fn ready_machines(&self) -> impl Iterator<Item = &Machine> {
        self.machines.values().filter(|machine| machine.is_ready())
    }

    /// The mean allocation of the ready machines with reported capacity, as shares of their size. If no machine has
    /// reported capacity, the mean allocation of this placer's own tasks.
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

    /// The estimated utilization of the machine with the task on it: the workload term of its score.
    pub(super) fn estimated_utilization(
        &self,
        machine: &Machine,
        task: &Task,
        mean: Resources,
    ) -> f64 {
        self.usage_share
            .utilization_of(self.allocation_with(machine, task, mean))
    }

    /// The machine's allocation with the task on it, as shares of its size. For a machine without reported capacity the
    /// tasks of other placers are estimated by the `mean` allocation. Where capacity is never reported, `mean` covers
    /// only own tasks, so it is added once for each other placer.
    fn allocation_with(&self, machine: &Machine, task: &Task, mean: Resources) -> Resources {
        let is_ever_reported = self.settings.endpoints_report_capacity
            || self.settings.load_report_content == LoadReportContent::UnallocatedResources;
        let mean_weight = match (machine.is_reported(), is_ever_reported) {
            (true, _) => 0.0,
            (false, true) => 1.0,
            (false, false) => f64::from(self.settings.replica_count - 1),
        };
        machine
            .known_allocation()
            .add_scaled(task.requested, 1.0)
            .as_share_of(machine.size)
            .add_scaled(mean, mean_weight)
    }

    /// Whether the machine is not contended and stays within [`HEADROOM_LIMIT`] with the task on it.
    pub(super) fn has_headroom(&self, machine: &Machine, task: &Task, mean: Resources) -> bool {
        machine.contended_until <= self.now
            && self.estimated_utilization(machine, task, mean) <= HEADROOM_LIMIT
    }

    /// Whether some ready machine has headroom for the task.
    pub(super) fn has_machine_with_headroom(&self, task: &Task) -> bool {
        let mean = self.mean_allocation();
        self.ready_machines()
            .any(|machine| self.has_headroom(machine, task, mean))
    }

    /// The fullest ready machines whose cores suffice for all estimated usage at [`TARGET_UTILIZATION`].
    pub(super) fn working_set(&self) -> BTreeSet<MachineId> {
        let utilization = |machine: &Machine| {
            self.usage_share
                .utilization_of(machine.known_allocation().as_share_of(machine.size))
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
