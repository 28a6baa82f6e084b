//! The placements of this placer: its attempts without an outcome, by service and machine.

use std::collections::BTreeMap;

use crate::interface::{MachineId, Micros, ServiceId};

/// How long a machine is assumed to keep a program loaded after the last task of the service.
const PROGRAM_RETENTION: Micros = 8_000_000;

/// The attempts of one service on one machine.
#[derive(Clone, Copy, Default)]
struct Placement {
    attempts: u32,
    last_changed: Micros,
}

/// The attempts of all services, including those that finished recently.
#[derive(Default)]
pub(super) struct Placements {
    by_service: BTreeMap<ServiceId, BTreeMap<MachineId, Placement>>,
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

    /// Whether the service has an entry.
    pub(super) fn contains(&self, service: ServiceId) -> bool {
        self.by_service.contains_key(&service)
    }
}
