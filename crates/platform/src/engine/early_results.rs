//! Results of unknown tasks: the result of a running task may arrive before the task is handed over, since hosts and
//! owners send on separate connections.

use std::collections::VecDeque;
use std::collections::hash_map::{Entry, HashMap};

use maplethread::{MachineId, Micros};
use maplethread_platform_wire::{Cause, SetupId};

/// How long a result is kept, in microseconds. Tasks that ran when a placer ended are handed over as soon as the next
/// process has passed its first health check (PROTOCOL, 'Owners to placers'), and a host repeats a result only on the next
/// connection.
const RETENTION: Micros = 10_000_000;
/// How many results are kept; beyond it the oldest are dropped.
const MAX_RETAINED: usize = 1 << 13;

/// The result of a task that is not known yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EarlyResult {
    /// This host reports that the task ended, with this cause.
    HostReported(MachineId, Cause),
    /// The owner wants the task to end, with this cause.
    OwnerRequested(Cause),
}

/// Results of tasks that are not known yet.
#[derive(Default)]
pub(super) struct EarlyResults {
    by_setup_id: HashMap<SetupId, (Micros, EarlyResult)>,
    /// When results came, the oldest first, including those that were taken since.
    order: VecDeque<(Micros, SetupId)>,
}

impl EarlyResults {
    /// Keeps a result; the first one of a task counts.
    pub(super) fn insert(&mut self, now: Micros, id: SetupId, result: EarlyResult) {
        self.remove_expired(now);
        if let Entry::Vacant(entry) = self.by_setup_id.entry(id) {
            entry.insert((now, result));
            self.order.push_back((now, id));
        }
    }

    /// Takes the result of this task, if it has arrived.
    pub(super) fn take(&mut self, now: Micros, id: SetupId) -> Option<EarlyResult> {
        self.remove_expired(now);
        self.by_setup_id.remove(&id).map(|(_, result)| result)
    }

    pub(super) fn len(&self) -> usize {
        self.order.len()
    }

    fn remove_expired(&mut self, now: Micros) {
        while let Some(&(inserted_at, id)) = self.order.front()
            && (inserted_at + RETENTION < now || self.order.len() >= MAX_RETAINED)
        {
            self.order.pop_front();
            if self
                .by_setup_id
                .get(&id)
                .is_some_and(|&(kept_since, _)| kept_since <= inserted_at)
            {
                self.by_setup_id.remove(&id);
            }
        }
    }
}
