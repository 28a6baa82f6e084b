//! Ends of tasks that are not known: a running task's end may be told before the task is handed over, since hosts and
//! owners speak on connections of their own.

use std::collections::VecDeque;
use std::collections::hash_map::{Entry, HashMap};

use maplethread::{MachineId, Micros};
use maplethread_platform_wire::SetupId;

/// An end is kept for so long: what ran when a placer ended is handed over as soon as the next one has passed its first
/// test (PROTOCOL, 'Owners to placers'), and a host repeats an end on the next connection alone.
const RETENTION: Micros = 10_000_000;
/// So many are kept; beyond it the oldest are dropped.
const MAX_RETAINED: usize = 1 << 13;

/// An end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EarlyResult {
    /// This host says that the task is over, with this cause.
    HostReported(MachineId, u8),
    /// The owner wants it to end, with this cause.
    OwnerRequested(u8),
}

/// Ends of tasks that are not known.
#[derive(Default)]
pub(super) struct EarlyResults {
    by_setup_id: HashMap<SetupId, (Micros, EarlyResult)>,
    order: VecDeque<(Micros, SetupId)>,
}

impl EarlyResults {
    pub(super) fn insert(&mut self, now: Micros, sid: SetupId, end: EarlyResult) {
        self.remove_expired(now);
        if let Entry::Vacant(place) = self.by_setup_id.entry(sid) {
            place.insert((now, end));
            self.order.push_back((now, sid));
        }
    }

    /// The end of this task, if it came.
    pub(super) fn take(&mut self, now: Micros, sid: SetupId) -> Option<EarlyResult> {
        self.remove_expired(now);
        self.by_setup_id.remove(&sid).map(|(_, end)| end)
    }

    pub(super) fn len(&self) -> usize {
        self.order.len()
    }

    fn remove_expired(&mut self, now: Micros) {
        while let Some(&(at, sid)) = self.order.front()
            && (at + RETENTION < now || self.order.len() >= MAX_RETAINED)
        {
            self.order.pop_front();
            if self
                .by_setup_id
                .get(&sid)
                .is_some_and(|&(put, _)| put <= at)
            {
                self.by_setup_id.remove(&sid);
            }
        }
    }
}
