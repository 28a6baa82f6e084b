//! Rate limit of notices to each member.

use std::collections::BTreeMap;

use crate::identity::NameHash;
use crate::member_table::Micros;

/// Minimum interval between notices to one member.
const MIN_NOTICE_INTERVAL: Micros = 200_000;
/// How long the time of a notice is kept.
const NOTICE_RETENTION: Micros = 60_000_000;
/// Maximum number of members that are notified within [`NOTICE_RETENTION`].
const MAX_TRACKED_MEMBERS: usize = 4096;

/// The times of the last notices to members. A notice is triggered by a received message, so without a limit any sender
/// could cause any number of them.
#[derive(Default)]
pub(crate) struct NoticeLimiter {
    last_notified: BTreeMap<NameHash, Micros>,
}

impl NoticeLimiter {
    /// Returns whether a notice may be sent to a member now, and if so records it as sent.
    pub(crate) fn try_notify(&mut self, now: Micros, name: NameHash) -> bool {
        let allowed = match self.last_notified.get(&name) {
            Some(at) => at + MIN_NOTICE_INTERVAL <= now,
            None => self.last_notified.len() < MAX_TRACKED_MEMBERS,
        };
        if allowed {
            self.last_notified.insert(name, now);
        }
        allowed
    }

    /// Removes the times of notices older than [`NOTICE_RETENTION`].
    pub(crate) fn expire(&mut self, now: Micros) {
        self.last_notified
            .retain(|_, at| *at + NOTICE_RETENTION > now);
    }

    pub(crate) fn remove(&mut self, name: NameHash) {
        self.last_notified.remove(&name);
    }

    pub(crate) fn len(&self) -> usize {
        self.last_notified.len()
    }
}
