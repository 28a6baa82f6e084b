//! The table of machines: endpoint lists, connection changes and load reports, and the subscription to discovery.

use super::Placer;
use super::machine::{ENDPOINT_LAG, LOAD_REPORT_LAG, Machine};
use crate::interface::{
    Action, DiscoveryMode, LoadReportContent, MachineEntry, MachineId, MachineState, Micros,
    Resources, UpdateScope,
};

/// After this time a failed discovery call is retried. It is much shorter than any `max_poll_interval`.
const DISCOVERY_RETRY_INTERVAL: Micros = 300_000;
/// How long machines that are gone and services without tasks are kept.
const RETENTION: Micros = 600_000_000;

/// The subscription to discovery in [`DiscoveryMode::Poll`].
#[derive(Default)]
pub(super) struct DiscoverySubscription {
    is_started: bool,
    pub(super) retry_at: Option<Micros>,
}

impl DiscoverySubscription {
    /// Subscribes in the first turn. Returns whether this is the first turn.
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
    /// Applies an endpoint list. Rule 3: a drain or removal takes effect at once, and a machine that is absent from a
    /// full list is gone.
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
        self.remove_unused();
        // A machine that is new in the list may already run attempts of this placer. All attempts are scanned only then,
        // since a scan takes milliseconds and lists may change often.
        if has_new_machines {
            self.restore_own_allocations();
        }
    }

    /// Applies one entry of a list. Returns whether the machine is new.
    fn apply_entry(&mut self, entry: &MachineEntry) -> bool {
        let Some(&size) = self.settings.machine_kinds.get(entry.kind) else {
            return false;
        };
        let is_new = !self.machines.contains_key(&entry.machine);
        let machine = self
            .machines
            .entry(entry.machine)
            .or_insert_with(|| Machine::new(*entry, size, &self.settings, self.now));
        if machine.entry.started_at != entry.started_at {
            machine.health.reset_for_new_process();
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

    fn remove_unused(&mut self) {
        let now = self.now;
        self.machines.retain(|_, machine| {
            machine.entry.state != MachineState::Gone || machine.last_changed + RETENTION > now
        });
        self.placements.remove_unused(now, RETENTION);
        self.remove_unused_rates();
    }

    /// Removes the rates of services without placements.
    pub(super) fn remove_unused_rates(&mut self) {
        let placements = &self.placements;
        self.service_rates
            .retain_services(|service| placements.contains(service));
    }

    fn restore_own_allocations(&mut self) {
        self.machines
            .values_mut()
            .for_each(Machine::reset_own_allocation);
        for attempt in self.attempts.values() {
            if let Some(machine) = self.machines.get_mut(&attempt.machine) {
                machine.restore_own_allocation(attempt.task.requested);
                if attempt.is_unreported {
                    machine.change_unreported_allocation(attempt.task.requested, 1.0);
                }
            }
        }
    }

    /// Records whether the caller has a connection to the machine. Without one the machine gets no offers, since each
    /// would fail at once and use up an attempt. A task that no connected machine can take is blocked.
    pub(super) fn set_connected(&mut self, machine: MachineId, is_connected: bool) {
        if let Some(machine) = self.machines.get_mut(&machine) {
            machine.is_connected = is_connected;
        }
    }

    /// Applies the load report of an answer or a probe, if load reports contain the unallocated resources.
    pub(super) fn record_load_report(&mut self, machine: MachineId, load: Option<Resources>) {
        if let (LoadReportContent::UnallocatedResources, Some(unallocated)) =
            (self.settings.load_report_content, load)
            && let Some(machine) = self.machines.get_mut(&machine)
        {
            machine.observe_unallocated(unallocated, self.now.saturating_sub(LOAD_REPORT_LAG));
        }
    }
}
