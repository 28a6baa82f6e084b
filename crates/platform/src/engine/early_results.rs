//! Early results: results of tasks that are not in the task table yet. The result of a running task may arrive before its
//! owner hands the task over to this placer, since hosts and owners use separate connections.

use maplethread::{MachineId, Micros};
use maplethread_platform_wire::{Cause, SetupId};

use super::recent_table::RecentTable;

/// How long a result is kept. When a placer is restarted, owners hand over their running tasks as soon as the new process
/// has passed its first health check (platform protocol, 'Owners to placers'), and a host repeats a result only on its next
/// connection.
const RETENTION: Micros = 10_000_000;

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
pub(super) struct EarlyResults {
    of_hosts: RecentTable<EarlyResult>,
    of_owners: RecentTable<EarlyResult>,
}

impl Default for EarlyResults {
    fn default() -> Self {
        EarlyResults {
            of_hosts: RecentTable::new(RETENTION),
            of_owners: RecentTable::new(RETENTION),
        }
    }
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
        self.of_hosts.len() + self.of_owners.len()
    }
}
