//! Ends of tasks that are not known: a running task's end may be told before the task is handed over, since hosts and
//! owners speak on connections of their own.

use std::collections::VecDeque;
use std::collections::hash_map::{Entry, HashMap};

use maplethread::{MachineId, Micros};
use maplethread_platform_wire::Sid;

/// An end is kept for so long: what ran when a placer ended is handed over as soon as the next one has passed its first
/// test (PROTOCOL, 'Owners to placers'), and a host repeats an end on the next connection alone.
const KEPT: Micros = 10_000_000;
/// So many are kept; beyond it the oldest are dropped.
const MAX_KEPT: usize = 1 << 13;

/// An end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EarlyResult {
    /// This host says that the task is over, with this cause.
    Told(MachineId, u8),
    /// The owner wants it to end, with this cause.
    OwnerRequested(u8),
}

/// Ends of tasks that are not known.
#[derive(Default)]
pub(super) struct EarlyResults {
    by_setup_id: HashMap<Sid, (Micros, EarlyResult)>,
    order: VecDeque<(Micros, Sid)>,
}

impl EarlyResults {
    pub(super) fn put(&mut self, now: Micros, sid: Sid, end: EarlyResult) {
        self.forget(now);
        if let Entry::Vacant(place) = self.by_setup_id.entry(sid) {
            place.insert((now, end));
            self.order.push_back((now, sid));
        }
    }

    /// The end of this task, if it came.
    pub(super) fn take(&mut self, now: Micros, sid: Sid) -> Option<EarlyResult> {
        self.forget(now);
        self.by_setup_id.remove(&sid).map(|(_, end)| end)
    }

    pub(super) fn len(&self) -> usize {
        self.order.len()
    }

    fn forget(&mut self, now: Micros) {
        while let Some(&(at, sid)) = self.order.front()
            && (at + KEPT < now || self.order.len() >= MAX_KEPT)
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
