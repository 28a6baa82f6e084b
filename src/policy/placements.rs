//! Where this placer's tasks are: attempts without an outcome, by service and machine.

use std::collections::BTreeMap;

use crate::interface::{MachineId, Micros, ServiceId};

/// A machine keeps a program loaded for about this long after its last task.
const PROGRAM_RETENTION: Micros = 8_000_000;

/// The attempts of one service on one machine.
#[derive(Clone, Copy, Default)]
struct Placement {
    attempts: u32,
    last_changed: Micros,
}

/// The attempts of all services, and for a while those that are over.
#[derive(Default)]
pub(super) struct Placements {
    by_service: BTreeMap<ServiceId, BTreeMap<MachineId, Placement>>,
}

impl Placements {
    fn entry(&mut self, service: ServiceId, machine: MachineId) -> &mut Placement {
        let machines = self.by_service.entry(service).or_default();
        machines.entry(machine).or_default()
    }

    /// An attempt began at `now`.
    pub(super) fn add(&mut self, service: ServiceId, machine: MachineId, now: Micros) {
        let placement = self.entry(service, machine);
        placement.attempts += 1;
        placement.last_changed = now.max(placement.last_changed);
    }

    /// An attempt is over; it was last known to run at `last_seen`.
    pub(super) fn remove(&mut self, service: ServiceId, machine: MachineId, last_seen: Micros) {
        let placement = self.entry(service, machine);
        placement.attempts = placement.attempts.saturating_sub(1);
        placement.last_changed = last_seen.max(placement.last_changed);
    }

    /// The machines on which the service has or lately had attempts, in the order of their ids, with their number.
    pub(super) fn of_service(
        &self,
        service: ServiceId,
    ) -> impl Iterator<Item = (MachineId, u32)> + '_ {
        let machines = self.by_service.get(&service).into_iter().flatten();
        machines.map(|(machine, placement)| (*machine, placement.attempts))
    }

    /// Whether the machine should still have the service's program loaded. A process that was started since
    /// (`machine_started_at`, 0 if that is not known) holds no program of before.
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

    /// Forgets services without attempts for which nothing changed within `retention`.
    pub(super) fn forget_unused(&mut self, now: Micros, retention: Micros) {
        self.by_service.retain(|_, machines| {
            machines
                .values()
                .any(|placement| placement.attempts > 0 || placement.last_changed + retention > now)
        });
    }

    /// Whether anything is known of the service.
    pub(super) fn contains(&self, service: ServiceId) -> bool {
        self.by_service.contains_key(&service)
    }
}
