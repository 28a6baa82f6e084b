//! What this placer knows of one machine.

use std::collections::VecDeque;

use super::outlier::MachineHealth;
use super::slow_start::RecentOffers;
use crate::interface::{MachineEntry, MachineState, Micros, Resources};

/// What endpoint lists say of capacity is taken to be this old when it arrives: own changes of that time are added.
pub(super) const ENDPOINT_LAG: Micros = 800_000;
/// The same for load reports that come with answers.
pub(super) const LOAD_REPORT_LAG: Micros = 700_000;

/// What the tasks of all placers requested on a machine, and when that was so.
#[derive(Clone, Copy)]
struct ReportedAllocation {
    allocated: Resources,
    as_of: Micros,
}

/// A task of this placer that came to a machine (`factor` 1) or left it (-1).
#[derive(Clone, Copy)]
struct OwnChange {
    at: Micros,
    requested: Resources,
    factor: f64,
}

/// A machine, as endpoint lists, load reports and this placer's own attempts show it.
pub(super) struct Machine {
    pub(super) entry: MachineEntry,
    pub(super) size: Resources,
    /// The caller has a connection to it. Without one an offer would fail at once, and use up an attempt.
    pub(super) is_connected: bool,
    pub(super) health: MachineHealth,
    pub(super) recent_offers: RecentOffers,
    /// Until when it is passed over, whatever the contention comes from.
    pub(super) contended_until: Micros,
    pub(super) last_changed: Micros,
    reported: Option<ReportedAllocation>,
    /// What this placer's attempts and tasks request there, and its latest changes.
    own_allocation: Resources,
    recent_changes: VecDeque<OwnChange>,
}

impl Machine {
    pub(super) fn new(
        entry: MachineEntry,
        size: Resources,
        class_count: usize,
        now: Micros,
    ) -> Machine {
        Machine {
            entry,
            size,
            is_connected: true,
            health: MachineHealth::new(class_count),
            recent_offers: RecentOffers::default(),
            contended_until: 0,
            last_changed: now,
            reported: None,
            own_allocation: Resources::default(),
            recent_changes: VecDeque::new(),
        }
    }

    pub(super) fn is_ready(&self) -> bool {
        self.entry.state == MachineState::Ready
    }

    /// A task of this placer came.
    pub(super) fn add_own(&mut self, requested: Resources, now: Micros) {
        self.change_own(requested, 1.0, now);
    }

    /// A task of this placer left.
    pub(super) fn remove_own(&mut self, requested: Resources, now: Micros) {
        self.change_own(requested, -1.0, now);
    }

    fn change_own(&mut self, requested: Resources, factor: f64, now: Micros) {
        self.last_changed = now;
        self.own_allocation = self.own_allocation.add_scaled(requested, factor);
        self.recent_changes
            .retain(|change| change.at + 2 * ENDPOINT_LAG >= now);
        self.recent_changes.push_back(OwnChange {
            at: now,
            requested,
            factor,
        });
    }

    pub(super) fn reset_own(&mut self) {
        self.own_allocation = Resources::default();
    }

    /// Counts a task in that was there before the machine was listed.
    pub(super) fn restore_own(&mut self, requested: Resources) {
        self.own_allocation = self.own_allocation.add_scaled(requested, 1.0);
    }

    /// Takes in what nobody had requested at `as_of`, unless something newer is known.
    pub(super) fn observe_unallocated(&mut self, unallocated: Resources, as_of: Micros) {
        if self.reported.is_none_or(|before| before.as_of <= as_of) {
            let allocated = self.size.add_scaled(unallocated, -1.0);
            self.reported = Some(ReportedAllocation { allocated, as_of });
        }
    }

    pub(super) fn is_reported(&self) -> bool {
        self.reported.is_some()
    }

    /// What is requested there now: as reported, with own changes since. None where nothing was reported.
    pub(super) fn reported_allocation(&self) -> Option<Resources> {
        let ReportedAllocation { allocated, as_of } = self.reported?;
        let since = self
            .recent_changes
            .iter()
            .filter(|change| change.at > as_of);
        Some(since.fold(allocated, |sum, change| {
            sum.add_scaled(change.requested, change.factor)
        }))
    }

    pub(super) fn own_allocation(&self) -> Resources {
        self.own_allocation
    }

    /// What is requested there now, as far as this placer knows.
    pub(super) fn known_allocation(&self) -> Resources {
        self.reported_allocation().unwrap_or(self.own_allocation)
    }
}
