//! Which machines there are: endpoint lists, connections and load reports, and the subscription to discovery.

use super::Placer;
use super::machine::{ENDPOINT_LAG, LOAD_REPORT_LAG, Machine};
use crate::interface::{
    Action, DiscoveryMode, LoadReport, MachineEntry, MachineId, MachineState, Micros, Resources,
    UpdateScope,
};

/// A failed call to discovery is repeated after this, well within any `max_poll_interval`.
const DISCOVERY_RETRY_INTERVAL: Micros = 300_000;
/// Machines that are gone and services without tasks are forgotten after this.
const RETENTION: Micros = 600_000_000;

/// The subscription to discovery, where it has to be asked for.
#[derive(Default)]
pub(super) struct DiscoverySubscription {
    is_started: bool,
    pub(super) retry_at: Option<Micros>,
}

impl DiscoverySubscription {
    /// Subscribes in the first turn, and again when a retry is due. Whether this is the first turn.
    pub(super) fn start(&mut self, mode: DiscoveryMode, actions: &mut Vec<Action>) -> bool {
        let is_first_turn = !std::mem::replace(&mut self.is_started, true);
        if is_first_turn && mode == DiscoveryMode::Poll {
            actions.push(Action::WatchEndpoints { enabled: true });
        }
        is_first_turn
    }

    pub(super) fn retry_if_due(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if self.retry_at.is_some_and(|at| at <= now) {
            self.retry_at = None;
            actions.push(Action::WatchEndpoints { enabled: true });
        }
    }

    pub(super) fn schedule_retry(&mut self, now: Micros) {
        self.retry_at = self.retry_at.or(Some(now + DISCOVERY_RETRY_INTERVAL));
    }
}

impl Placer {
    /// Applies a list. Rule 3: a drain or removal acts at once; a machine absent from a full list is gone.
    pub(super) fn apply_endpoints(&mut self, scope: UpdateScope, entries: &[MachineEntry]) {
        if scope != UpdateScope::Delta {
            for machine in self.machines.values_mut() {
                machine.entry.state = MachineState::Gone;
            }
        }
        let mut has_new_machines = scope != UpdateScope::Delta;
        for entry in entries {
            has_new_machines |= self.apply_entry(entry);
        }
        self.forget_unused();
        // Tasks may run where no list had named the machine yet. All attempts are gone through only for a machine
        // that is new: a storm of changes would else cost milliseconds each.
        if has_new_machines {
            self.restore_own_allocations();
        }
    }

    /// Applies one line of a list. Whether the machine was not known before.
    fn apply_entry(&mut self, entry: &MachineEntry) -> bool {
        let Some(&size) = self.settings.kinds.get(entry.kind) else {
            return false;
        };
        let is_new = !self.machines.contains_key(&entry.machine);
        let class_count = self.settings.classes.len();
        let machine = self
            .machines
            .entry(entry.machine)
            .or_insert_with(|| Machine::new(*entry, size, class_count, self.now));
        if machine.entry.started_at != entry.started_at {
            machine.health.forget_process();
        }
        machine.entry = *entry;
        machine.last_changed = self.now;
        if self.settings.endpoints_report_capacity
            && let Some(unallocated) = entry.unallocated
        {
            machine.observe_unallocated(unallocated, self.now.saturating_sub(ENDPOINT_LAG));
        }
        is_new
    }

    fn forget_unused(&mut self) {
        let now = self.now;
        self.machines.retain(|_, machine| {
            machine.entry.state != MachineState::Gone || machine.last_changed + RETENTION > now
        });
        self.placements.forget_unused(now, RETENTION);
        let placements = &self.placements;
        self.service_rates
            .retain_services(|service| placements.contains(service));
    }

    fn restore_own_allocations(&mut self) {
        self.machines.values_mut().for_each(Machine::reset_own);
        for attempt in self.attempts.values() {
            if let Some(machine) = self.machines.get_mut(&attempt.machine) {
                machine.restore_own(attempt.task.requested);
            }
        }
    }

    /// Without a connection a machine gets no offers: attempts would be spent in one instant on machines that are known to
    /// be unreachable. The task is blocked instead, as where no machine has capacity.
    pub(super) fn set_connected(&mut self, machine: MachineId, is_connected: bool) {
        if let Some(machine) = self.machines.get_mut(&machine) {
            machine.is_connected = is_connected;
        }
    }

    /// Takes in the load report that came with an answer or a probe, if it says what is unallocated.
    pub(super) fn record_load_report(&mut self, machine: MachineId, load: Option<Resources>) {
        if let (LoadReport::Unallocated, Some(unallocated)) = (self.settings.load_report, load)
            && let Some(machine) = self.machines.get_mut(&machine)
        {
            machine.observe_unallocated(unallocated, self.now.saturating_sub(LOAD_REPORT_LAG));
        }
    }
}
