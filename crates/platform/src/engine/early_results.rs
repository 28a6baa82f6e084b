//! Early results: results of tasks that are not in the task table yet. The result of a running task may arrive before its
//! owner hands the task over to this placer, since hosts and owners use separate connections.

use std::collections::VecDeque;
use std::collections::hash_map::{Entry, HashMap};

use maplethread::{MachineId, Micros};
use maplethread_platform_wire::{Cause, SetupId};

/// How long a result is kept. When a placer is restarted, owners hand over their running tasks as soon as the new process
/// has passed its first health check (platform protocol, 'Owners to placers'), and a host repeats a result only on its next
/// connection.
const RETENTION: Micros = 10_000_000;
/// The maximum number of results kept of each side; beyond it the oldest are dropped.
const MAX_RETAINED: usize = 1 << 13;

/// The result of a task that is not in the task table yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EarlyResult {
    /// This host reported the end of the task, with this cause.
    ReportedByHost(MachineId, Cause),
    /// The owner closed the task, with this cause.
    ClosedByOwner(Cause),
}

/// Results of tasks that are not in the task table yet. Those of hosts and of owners are kept apart, so that a client that
/// closes unknown tasks does not displace what hosts have reported.
#[derive(Default)]
pub(super) struct EarlyResults {
    of_hosts: ResultTable,
    of_owners: ResultTable,
}

impl EarlyResults {
    /// Keeps a result, unless there is already one from the same side for the task.
    pub(super) fn insert(&mut self, now: Micros, id: SetupId, result: EarlyResult) {
        match result {
            EarlyResult::ReportedByHost(..) => self.of_hosts.insert(now, id, result),
            EarlyResult::ClosedByOwner(_) => self.of_owners.insert(now, id, result),
        }
    }

    /// Removes the results of a task, and returns the earlier one.
    pub(super) fn take(&mut self, now: Micros, id: SetupId) -> Option<EarlyResult> {
        let of_host = self.of_hosts.take(now, id);
        let of_owner = self.of_owners.take(now, id);
        of_host
            .into_iter()
            .chain(of_owner)
            .min_by_key(|&(received_at, _)| received_at)
            .map(|(_, result)| result)
    }

    pub(super) fn len(&self) -> usize {
        self.of_hosts.order.len() + self.of_owners.order.len()
    }
}

/// Results by set-up id.
#[derive(Default)]
struct ResultTable {
    by_setup_id: HashMap<SetupId, (Micros, EarlyResult)>,
    /// Arrival times, the oldest first. Includes results that have been taken since.
    order: VecDeque<(Micros, SetupId)>,
}

impl ResultTable {
    /// Keeps a result, unless there is already one for the task.
    fn insert(&mut self, now: Micros, id: SetupId, result: EarlyResult) {
        self.remove_expired(now);
        if let Entry::Vacant(entry) = self.by_setup_id.entry(id) {
            entry.insert((now, result));
            self.order.push_back((now, id));
        }
    }

    /// Removes and returns the result of a task, with the time at which it was received.
    fn take(&mut self, now: Micros, id: SetupId) -> Option<(Micros, EarlyResult)> {
        self.remove_expired(now);
        self.by_setup_id.remove(&id)
    }

    fn remove_expired(&mut self, now: Micros) {
        while let Some(&(received_at, id)) = self.order.front()
            && (received_at + RETENTION < now || self.order.len() >= MAX_RETAINED)
        {
            self.order.pop_front();
            if self
                .by_setup_id
                .get(&id)
                .is_some_and(|&(kept_at, _)| kept_at <= received_at)
            {
                self.by_setup_id.remove(&id);
            }
        }
    }
}
