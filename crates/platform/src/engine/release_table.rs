//! Tables of releases that may have to be sent, or sent again.

use std::collections::{BTreeMap, HashMap};
use std::net::IpAddr;

use maplethread::Micros;
use maplethread_platform_wire::{Cause, SetupId};

use super::output::OwnerId;

/// The maximum number of releases in a table; beyond it the oldest is dropped. An owner's connection takes the messages for
/// all of them at once.
const MAX_RELEASES: usize = 2048;

/// How long a release is sent to further connections after a verified one has got it. The platform protocol allows this time
/// from the end of a task to its release.
const ORPHAN_LIFETIME: Micros = 8_000_000;

/// The release of a task that was running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Release {
    /// The id of the task's set-up.
    pub(super) id: SetupId,
    /// Why the task has ended.
    pub(super) cause: Cause,
    /// The address from which the task was requested or handed over.
    pub(super) owner_address: IpAddr,
    /// Whether a host had confirmed the task. Any client can hand over tasks that do not exist.
    pub(super) was_confirmed: bool,
}

/// A release of a task whose own connection has ended.
#[derive(Debug)]
pub(super) struct OrphanedRelease {
    pub(super) release: Release,
    /// Connections to which it was sent, including those that have ended since.
    pub(super) recipients: Vec<OwnerId>,
    /// When it was sent to a verified connection.
    pub(super) verified_at: Option<Micros>,
}

impl OrphanedRelease {
    /// A release that was not sent yet.
    pub(super) fn new(release: Release) -> OrphanedRelease {
        OrphanedRelease {
            release,
            recipients: Vec::new(),
            verified_at: None,
        }
    }

    /// Whether a verified connection has got it.
    pub(super) fn is_verified(&self) -> bool {
        self.verified_at.is_some()
    }

    /// Whether it is not sent to further connections.
    pub(super) fn is_expired(&self, now: Micros) -> bool {
        self.verified_at
            .is_some_and(|at| at + ORPHAN_LIFETIME <= now)
    }
}

/// A release that was sent on the connection on which its task was requested.
#[derive(Clone, Copy, Debug)]
pub(super) struct SentRelease {
    pub(super) release: Release,
    pub(super) owner: OwnerId,
    pub(super) sent_at: Micros,
}

/// Releases by the ids of their set-ups, in the order in which they were added.
#[derive(Debug)]
pub(super) struct ReleaseTable<T> {
    entries: BTreeMap<u64, (SetupId, T)>,
    by_id: HashMap<SetupId, u64>,
    last_number: u64,
}

impl<T> Default for ReleaseTable<T> {
    fn default() -> Self {
        ReleaseTable {
            entries: BTreeMap::new(),
            by_id: HashMap::new(),
            last_number: 0,
        }
    }
}

impl<T> ReleaseTable<T> {
    /// Adds an entry, which replaces an earlier one with the same id. Returns the entry that is dropped if the table is full: the
    /// oldest that is expendable, else the oldest.
    pub(super) fn insert(
        &mut self,
        id: SetupId,
        entry: T,
        is_expendable: impl Fn(&T) -> bool,
    ) -> Option<T> {
        self.remove(id);
        let dropped = if self.entries.len() >= MAX_RELEASES {
            let expendable = self
                .entries
                .values()
                .find(|(_, entry)| is_expendable(entry))
                .map(|&(id, _)| id);
            match expendable {
                Some(id) => self.remove(id),
                None => self.pop_oldest(),
            }
        } else {
            None
        };
        self.last_number += 1;
        self.entries.insert(self.last_number, (id, entry));
        self.by_id.insert(id, self.last_number);
        dropped
    }

    /// Removes and returns an entry.
    pub(super) fn remove(&mut self, id: SetupId) -> Option<T> {
        let number = self.by_id.remove(&id)?;
        self.entries.remove(&number).map(|(_, entry)| entry)
    }

    fn pop_oldest(&mut self) -> Option<T> {
        let (_, (id, entry)) = self.entries.pop_first()?;
        self.by_id.remove(&id);
        Some(entry)
    }

    pub(super) fn get(&self, id: SetupId) -> Option<&T> {
        let number = self.by_id.get(&id)?;
        self.entries.get(number).map(|(_, entry)| entry)
    }

    pub(super) fn get_mut(&mut self, id: SetupId) -> Option<&mut T> {
        let number = self.by_id.get(&id)?;
        self.entries.get_mut(number).map(|(_, entry)| entry)
    }

    /// The ids of those entries for which `is_selected` returns true, the oldest first.
    pub(super) fn ids(&self, is_selected: impl Fn(&T) -> bool) -> Vec<SetupId> {
        self.entries
            .values()
            .filter(|(_, entry)| is_selected(entry))
            .map(|&(id, _)| id)
            .collect()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }
}
