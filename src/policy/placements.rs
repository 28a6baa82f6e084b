//! The placements of this placer: its attempts without an outcome, by service and machine.

use std::collections::{BTreeMap, BTreeSet};

use crate::interface::{MachineId, Micros, ServiceId};

/// How long a machine is assumed to keep a program loaded after the last task of the service.
const PROGRAM_RETENTION: Micros = 8_000_000;
/// The number of placements above which those without attempts are reduced. Owners choose the services of their requests
/// and the machines of tasks that they hand over.
const MAX_PLACEMENTS: usize = 1 << 15;

/// The attempts of one service on one machine.
#[derive(Clone, Copy, Default)]
struct Placement {
    attempts: u32,
    last_changed: Micros,
}

/// The attempts of all services, including those that finished recently.
pub(super) struct Placements {
    by_pair: BTreeMap<(ServiceId, MachineId), Placement>,
    /// The number of placements above which some are removed next.
    max_len: usize,
}

impl Default for Placements {
    fn default() -> Self {
        Placements {
            by_pair: BTreeMap::new(),
            max_len: MAX_PLACEMENTS,
        }
    }
}

impl Placements {
    /// Records an attempt that starts at `now`.
    pub(super) fn add(&mut self, service: ServiceId, machine: MachineId, now: Micros) {
        let placement = self.by_pair.entry((service, machine)).or_default();
        placement.attempts += 1;
        placement.last_changed = now.max(placement.last_changed);
    }

    /// Records the end of an attempt, which was last known to run at `last_seen`.
    pub(super) fn remove(&mut self, service: ServiceId, machine: MachineId, last_seen: Micros) {
        let placement = self.by_pair.entry((service, machine)).or_default();
        placement.attempts = placement.attempts.saturating_sub(1);
        placement.last_changed = last_seen.max(placement.last_changed);
    }

    fn pairs_of(
        &self,
        service: ServiceId,
    ) -> impl Iterator<Item = (&(ServiceId, MachineId), &Placement)> + '_ {
        self.by_pair
            .range((service, MachineId(0))..=(service, MachineId(u32::MAX)))
    }

    /// The machines on which the service has or recently had attempts, ordered by id, with the number of attempts.
    pub(super) fn of_service(
        &self,
        service: ServiceId,
    ) -> impl Iterator<Item = (MachineId, u32)> + '_ {
        self.pairs_of(service)
            .map(|(&(_, machine), placement)| (machine, placement.attempts))
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
        self.by_pair
            .get(&(service, machine))
            .is_some_and(|placement| {
                placement.attempts > 0
                    || placement.last_changed + PROGRAM_RETENTION > now
                        && placement.last_changed >= machine_started_at
            })
    }

    /// Removes services that have no attempts and had no change within `retention`.
    pub(super) fn remove_unused(&mut self, now: Micros, retention: Micros) {
        let used: BTreeSet<ServiceId> = self
            .by_pair
            .iter()
            .filter(|(_, placement)| {
                placement.attempts > 0 || placement.last_changed + retention > now
            })
            .map(|(&(service, _), _)| service)
            .collect();
        self.by_pair
            .retain(|(service, _), _| used.contains(service));
    }

    /// Removes the half of the placements without attempts that changed least recently if there are too many placements.
    /// Returns whether any was removed.
    pub(super) fn limit(&mut self) -> bool {
        if self.by_pair.len() <= self.max_len {
            return false;
        }
        let mut unused: Vec<(Micros, (ServiceId, MachineId))> = self
            .by_pair
            .iter()
            .filter(|(_, placement)| placement.attempts == 0)
            .map(|(&pair, placement)| (placement.last_changed, pair))
            .collect();
        unused.sort_unstable();
        let in_use = self.by_pair.len() - unused.len();
        unused.truncate(unused.len().div_ceil(2));
        for (_, pair) in &unused {
            self.by_pair.remove(pair);
        }
        // With many in use, the next removal waits until there are twice as many.
        self.max_len = MAX_PLACEMENTS.max(2 * in_use);
        !unused.is_empty()
    }

    /// Whether the service has a placement.
    pub(super) fn contains(&self, service: ServiceId) -> bool {
        self.pairs_of(service).next().is_some()
    }
}

#[cfg(test)]
mod tests;
