//! Feasibility: which machines may take a task, and what blocks it on the others (rules 2 to 5, and capacity).

use std::collections::BTreeMap;

use super::Placer;
use super::attempts::PendingTask;
use super::machine::Machine;
use crate::interface::{BlockReason, DeduplicationScope, MachineEntry, RetrySafety, Task};

impl Placer {
    /// The machines that may take the task. If there are none, the reason that blocks it on the machine that passed the
    /// most checks, which is the largest reason.
    pub(super) fn feasible_machines(
        &self,
        pending: &PendingTask,
    ) -> Result<Vec<&Machine>, BlockReason> {
        let saturated = self.saturated_domains(&pending.task);
        let mut feasible = Vec::new();
        let mut max_reason = BlockReason::NoReadyMachine;
        for machine in self.machines.values() {
            match self.block_reason(machine, pending, &saturated) {
                None => feasible.push(machine),
                Some(reason) => max_reason = max_reason.max(reason),
            }
        }
        if !feasible.is_empty() {
            return Ok(feasible);
        }
        Err(if self.fits_any_kind(&pending.task) {
            max_reason
        } else {
            BlockReason::NoKindFits
        })
    }

    /// Why the machine cannot take the task, if it cannot. Reasons are checked in the order of [`BlockReason`], so the
    /// largest reason over all machines is that of the machine which passed the most checks.
    fn block_reason(
        &self,
        machine: &Machine,
        pending: &PendingTask,
        saturated: &[u32],
    ) -> Option<BlockReason> {
        let class = &self.settings.classes[pending.task.class];
        if !machine.is_ready()
            || class
                .machine_kind
                .is_some_and(|kind| kind != machine.entry.kind)
        {
            return Some(BlockReason::NoReadyMachine);
        }
        if !machine.is_connected {
            return Some(BlockReason::NotConnected);
        }
        if !self.is_in_deduplication_scope(&machine.entry, pending) {
            return Some(BlockReason::OutsideDeduplicationScope);
        }
        // Rule 5: both attempts and running tasks of the service count.
        if class.spread_limit.is_some_and(|limit| {
            limit.max_tasks == 0 || saturated.contains(&machine.entry.domain(limit.level))
        }) {
            return Some(BlockReason::SpreadLimit);
        }
        if !self.slow_start.allows_offer(
            &machine.entry,
            &machine.recent_offers,
            &self.settings.rules,
            self.settings.replica_count,
            self.now,
        ) {
            return Some(BlockReason::WarmUpBudget);
        }
        (!self.has_capacity(machine, &pending.task)).then_some(BlockReason::NoCapacity)
    }

    /// Rule 2: once an attempt with an idempotency key may have run, retries go only to machines that deduplicate by
    /// the same keys.
    fn is_in_deduplication_scope(&self, entry: &MachineEntry, pending: &PendingTask) -> bool {
        let safety = self.settings.classes[pending.task.class].retry_safety;
        let (Some(first), RetrySafety::IdempotencyKey { scope, .. }) =
            (pending.possibly_started, safety)
        else {
            return true;
        };
        let first = self.machines.get(&first.machine).map(|m| &m.entry);
        match scope {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => first.is_some_and(|first| first.zone == entry.zone),
            DeduplicationScope::Cell => first.is_some_and(|first| first.cell == entry.cell),
        }
    }

    /// Whether an empty machine of some kind could take the task.
    fn fits_any_kind(&self, task: &Task) -> bool {
        let required = self.settings.classes[task.class].machine_kind;
        self.settings
            .machine_kinds
            .iter()
            .enumerate()
            .any(|(kind, &size)| {
                let share = task.requested.as_share_of(size);
                required.is_none_or(|required| required == kind)
                    && share.cores <= self.settings.cpu_overcommit
                    && share.memory <= self.settings.memory_overcommit
            })
    }

    /// The domains in which attempts and running tasks of the service have reached the spread limit of its class.
    fn saturated_domains(&self, task: &Task) -> Vec<u32> {
        let Some(limit) = self.settings.classes[task.class].spread_limit else {
            return Vec::new();
        };
        let mut by_domain = BTreeMap::new();
        for (machine, attempts) in self.placements.of_service(task.service) {
            if let Some(machine) = self.machines.get(&machine) {
                *by_domain
                    .entry(machine.entry.domain(limit.level))
                    .or_insert(0) += attempts;
            }
        }
        by_domain.retain(|_, attempts| *attempts >= limit.max_tasks);
        by_domain.into_keys().collect()
    }

    fn has_capacity(&self, machine: &Machine, task: &Task) -> bool {
        let with_task = machine
            .known_allocation()
            .add_scaled(task.requested, 1.0)
            .as_share_of(machine.size);
        !machine.health.is_backing_off(task.requested, self.now)
            && with_task.cores <= self.settings.cpu_overcommit
            && with_task.memory <= self.settings.memory_overcommit
    }
}
