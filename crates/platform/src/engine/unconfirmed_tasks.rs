//! Tasks that were handed over and that no host has confirmed, by the connections on which they were handed over. Any client can
//! hand over tasks that do not exist, so their number is limited, and a connection with few of them displaces one with many.

use std::collections::{BTreeSet, HashMap};

use maplethread::TaskId;

use super::output::OwnerId;
use super::owner_evidence::OwnerLikelihood;

/// The connections that share the limit of unconfirmed tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) enum Holder {
    /// All connections that have ended and were likely to this degree to be owners'.
    Ended(OwnerLikelihood),
    /// An open connection.
    Open(OwnerId),
}

/// The unconfirmed tasks of all connections.
#[derive(Default)]
pub(super) struct UnconfirmedTasks {
    by_holder: HashMap<Holder, BTreeSet<TaskId>>,
    len: usize,
}

impl UnconfirmedTasks {
    /// Adds a task that was handed over on an open connection.
    pub(super) fn insert(&mut self, owner: OwnerId, task: TaskId) {
        let is_new = self
            .by_holder
            .entry(Holder::Open(owner))
            .or_default()
            .insert(task);
        self.len += usize::from(is_new);
    }

    /// Removes a task that was handed over on this connection, which may have ended.
    pub(super) fn remove(&mut self, owner: OwnerId, task: TaskId) {
        let ended = OwnerLikelihood::ALL.map(Holder::Ended);
        let was_removed = std::iter::once(Holder::Open(owner))
            .chain(ended)
            .any(|holder| self.remove_from(holder, task));
        self.len -= usize::from(was_removed);
    }

    fn remove_from(&mut self, holder: Holder, task: TaskId) -> bool {
        let Some(tasks) = self.by_holder.get_mut(&holder) else {
            return false;
        };
        let was_removed = tasks.remove(&task);
        if tasks.is_empty() {
            self.by_holder.remove(&holder);
        }
        was_removed
    }

    /// Records the end of a connection.
    pub(super) fn end_connection(&mut self, owner: OwnerId, likelihood: OwnerLikelihood) {
        if let Some(tasks) = self.by_holder.remove(&Holder::Open(owner)) {
            self.by_holder
                .entry(Holder::Ended(likelihood))
                .or_default()
                .extend(tasks);
        }
    }

    /// The number of tasks of all connections.
    pub(super) fn len(&self) -> usize {
        self.len
    }

    /// The number of tasks that were handed over on an open connection.
    pub(super) fn count_of(&self, owner: OwnerId) -> usize {
        self.by_holder
            .get(&Holder::Open(owner))
            .map_or(0, BTreeSet::len)
    }

    /// The holders, each with the number of its tasks and the latest of them.
    pub(super) fn holders(&self) -> impl Iterator<Item = (Holder, usize, TaskId)> + '_ {
        self.by_holder.iter().filter_map(|(&holder, tasks)| {
            let latest = tasks.last().copied()?;
            Some((holder, tasks.len(), latest))
        })
    }
}
