//! The state of one machine, as this placer has recorded it.

use std::collections::VecDeque;

use super::outlier::MachineHealth;
use super::slow_start::RecentOffers;
use crate::interface::{MachineEntry, MachineState, Micros, Resources, Settings};

/// Assumed age of the capacity in an endpoint list when the list arrives. Changes of this placer's own allocation within
/// that time are added to it.
pub(super) const ENDPOINT_LAG: Micros = 800_000;
/// Assumed age of the capacity in a load report when the report arrives.
pub(super) const LOAD_REPORT_LAG: Micros = 700_000;

/// What the tasks of all placers together had requested on a machine at one time.
#[derive(Clone, Copy)]
struct ReportedAllocation {
    allocated: Resources,
    as_of: Micros,
}

/// The start (`factor` 1) or end (`factor` -1) of one of this placer's attempts on a machine.
#[derive(Clone, Copy)]
struct AllocationChange {
    at: Micros,
    requested: Resources,
    factor: f64,
}

/// A machine, with the state derived from endpoint lists, load reports and this placer's own attempts.
pub(super) struct Machine {
    pub(super) entry: MachineEntry,
    pub(super) size: Resources,
    /// The share of its size that tasks may request in total.
    max_utilization: Resources,
    /// Whether the caller has a connection to it. Without one an offer would fail at once and use up an attempt.
    pub(super) is_connected: bool,
    pub(super) health: MachineHealth,
    pub(super) recent_offers: RecentOffers,
    /// Until when the machine is skipped because a report of a task showed contention on it.
    pub(super) contended_until: Micros,
    pub(super) last_changed: Micros,
    reported: Option<ReportedAllocation>,
    /// The resources that this placer's attempts and running tasks request there. The latest changes are in
    /// `recent_changes`.
    own_allocation: Resources,
    /// The part of `own_allocation` that belongs to adopted tasks which the machine has not reported on.
    unreported_allocation: Resources,
    recent_changes: VecDeque<AllocationChange>,
}

impl Machine {
    pub(super) fn new(
        entry: MachineEntry,
        size: Resources,
        settings: &Settings,
        now: Micros,
    ) -> Machine {
        Machine {
            entry,
            size,
            max_utilization: Resources::new(settings.cpu_overcommit, settings.memory_overcommit),
            is_connected: true,
            health: MachineHealth::new(settings.classes.len()),
            recent_offers: RecentOffers::default(),
            contended_until: 0,
            last_changed: now,
            reported: None,
            own_allocation: Resources::default(),
            unreported_allocation: Resources::default(),
            recent_changes: VecDeque::new(),
        }
    }

    pub(super) fn is_ready(&self) -> bool {
        self.entry.state == MachineState::Ready
    }

    /// Records the start of an own attempt.
    pub(super) fn add_own_allocation(&mut self, requested: Resources, now: Micros) {
        self.change_own_allocation(requested, 1.0, now);
    }

    /// Records the end of an own attempt.
    pub(super) fn remove_own_allocation(&mut self, requested: Resources, now: Micros) {
        self.change_own_allocation(requested, -1.0, now);
    }

    fn change_own_allocation(&mut self, requested: Resources, factor: f64, now: Micros) {
        self.last_changed = now;
        self.own_allocation = self.own_allocation.add_scaled(requested, factor);
        self.recent_changes
            .retain(|change| change.at + 2 * ENDPOINT_LAG >= now);
        self.recent_changes.push_back(AllocationChange {
            at: now,
            requested,
            factor,
        });
    }

    /// Records the adoption of a task that the machine has not reported on (`factor` 1), or its first report or its end
    /// (`factor` -1).
    pub(super) fn change_unreported_allocation(&mut self, requested: Resources, factor: f64) {
        self.unreported_allocation = self.unreported_allocation.add_scaled(requested, factor);
    }

    pub(super) fn reset_own_allocation(&mut self) {
        self.own_allocation = Resources::default();
        self.unreported_allocation = Resources::default();
    }

    /// Adds the allocation of an own attempt that started before the machine was listed.
    pub(super) fn restore_own_allocation(&mut self, requested: Resources) {
        self.own_allocation = self.own_allocation.add_scaled(requested, 1.0);
    }

    /// Applies the reported unallocated resources as of `as_of`, unless a newer report was applied.
    pub(super) fn observe_unallocated(&mut self, unallocated: Resources, as_of: Micros) {
        if self.reported.is_none_or(|before| before.as_of <= as_of) {
            let allocated = self.size.add_scaled(unallocated, -1.0);
            self.reported = Some(ReportedAllocation { allocated, as_of });
        }
    }

    pub(super) fn is_reported(&self) -> bool {
        self.reported.is_some()
    }

    /// The current allocation: the reported one plus own changes since. None without a report.
    pub(super) fn reported_allocation(&self) -> Option<Resources> {
        let ReportedAllocation { allocated, as_of } = self.reported?;
        let later_changes = self
            .recent_changes
            .iter()
            .filter(|change| change.at > as_of);
        Some(later_changes.fold(allocated, |sum, change| {
            sum.add_scaled(change.requested, change.factor)
        }))
    }

    /// What this placer's attempts and running tasks request. Any client can hand over tasks that do not exist, so adopted
    /// tasks that the machine has not reported on count only while it could hold them all.
    pub(super) fn own_allocation(&self) -> Resources {
        let unreported = self.unreported_allocation.as_share_of(self.size);
        let is_credible = unreported.cores <= self.max_utilization.cores
            && unreported.memory <= self.max_utilization.memory;
        if is_credible {
            self.own_allocation
        } else {
            self.own_allocation
                .add_scaled(self.unreported_allocation, -1.0)
        }
    }

    /// The reported allocation plus own changes since; without a report, the allocation of this placer's attempts alone.
    pub(super) fn known_allocation(&self) -> Resources {
        self.reported_allocation()
            .unwrap_or_else(|| self.own_allocation())
    }
}
