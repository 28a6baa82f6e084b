//! The placements of this placer: its attempts without an outcome, by service and machine.

use std::collections::BTreeMap;

use crate::interface::{MachineId, Micros, ServiceId};

/// How long a machine is assumed to keep a program loaded after the last task of the service.
const PROGRAM_RETENTION: Micros = 8_000_000;

/// The number of services above which those without attempts are reduced, the least recently used first. Owners choose the
/// services of their requests, and a request that is cancelled at once adds one too.
const MAX_SERVICES: usize = 4096;

/// The attempts of one service on one machine.
#[derive(Clone, Copy, Default)]
struct Placement {
    attempts: u32,
    last_changed: Micros,
}

/// The attempts of all services, including those that finished recently.
pub(super) struct Placements {
    by_service: BTreeMap<ServiceId, BTreeMap<MachineId, Placement>>,
    /// The number of services above which services are removed next.
    max_services: usize,
}

impl Default for Placements {
    fn default() -> Self {
        Placements {
            by_service: BTreeMap::new(),
            max_services: MAX_SERVICES,
        }
    }
}

impl Placements {
    fn entry(&mut self, service: ServiceId, machine: MachineId) -> &mut Placement {
        let machines = self.by_service.entry(service).or_default();
        machines.entry(machine).or_default()
    }

    /// Records an attempt that starts at `now`.
    pub(super) fn add(&mut self, service: ServiceId, machine: MachineId, now: Micros) {
        let placement = self.entry(service, machine);
        placement.attempts += 1;
        placement.last_changed = now.max(placement.last_changed);
    }

    /// Records the end of an attempt, which was last known to run at `last_seen`.
    pub(super) fn remove(&mut self, service: ServiceId, machine: MachineId, last_seen: Micros) {
        let placement = self.entry(service, machine);
        placement.attempts = placement.attempts.saturating_sub(1);
        placement.last_changed = last_seen.max(placement.last_changed);
    }

    /// The machines on which the service has or recently had attempts, ordered by id, with the number of attempts.
    pub(super) fn of_service(
        &self,
        service: ServiceId,
    ) -> impl Iterator<Item = (MachineId, u32)> + '_ {
        let machines = self.by_service.get(&service).into_iter().flatten();
        machines.map(|(machine, placement)| (*machine, placement.attempts))
    }

    /// Whether the machine is expected to have the service's program loaded. A restart of the machine's process unloads
    /// it; `machine_started_at` is 0 if the time of the last start is unknown.
    pub(super) fn holds_program(
        &self,
        service: ServiceId,
        machine: MachineId,
        machine_started_at: Micros,
        now: Micros,
    ) -> bool {
        let machines = self.by_service.get(&service);
        machines
            .and_then(|machines| machines.get(&machine))
            .is_some_and(|placement| {
                placement.attempts > 0
                    || placement.last_changed + PROGRAM_RETENTION > now
                        && placement.last_changed >= machine_started_at
            })
    }

    /// Removes services that have no attempts and had no change within `retention`.
    pub(super) fn remove_unused(&mut self, now: Micros, retention: Micros) {
        self.by_service.retain(|_, machines| {
            machines
                .values()
                .any(|placement| placement.attempts > 0 || placement.last_changed + retention > now)
        });
    }

    /// Removes the less recently used half of the services without attempts if there are too many services. Returns whether
    /// any was removed.
    pub(super) fn limit_services(&mut self) -> bool {
        if self.by_service.len() <= self.max_services {
            return false;
        }
        let mut unused: Vec<(Micros, ServiceId)> = self
            .by_service
            .iter()
            .filter(|(_, machines)| machines.values().all(|placement| placement.attempts == 0))
            .map(|(&service, machines)| {
                let last_changed = machines.values().map(|placement| placement.last_changed);
                (last_changed.max().unwrap_or(0), service)
            })
            .collect();
        unused.sort_unstable();
        unused.truncate(unused.len().div_ceil(2));
        for (_, service) in &unused {
            self.by_service.remove(service);
        }
        // With many services in use, the next removal waits until there are twice as many.
        let used = self.by_service.len().saturating_sub(unused.len());
        self.max_services = MAX_SERVICES.max(2 * used);
        !unused.is_empty()
    }

    /// Whether the service has an entry.
    pub(super) fn contains(&self, service: ServiceId) -> bool {
        self.by_service.contains_key(&service)
    }
}

#[cfg(test)]
mod tests;
