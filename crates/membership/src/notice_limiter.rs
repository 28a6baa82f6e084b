//! Limits how often a member is notified of the same thing.

use std::collections::BTreeMap;

use crate::identity::NameHash;
use crate::member_table::Micros;

/// The least time between two notices to one member.
const MIN_NOTICE_INTERVAL: Micros = 200_000;
/// How long it is remembered that a member was notified.
const NOTICE_MEMORY: Micros = 60_000_000;
/// How many members may be notified within [`NOTICE_MEMORY`].
const MAX_NOTIFIED: usize = 4096;

/// When members were last sent a notice that they caused by their own messages.
#[derive(Default)]
pub(crate) struct NoticeLimiter {
    last_notified: BTreeMap<NameHash, Micros>,
}

impl NoticeLimiter {
    /// Whether a notice may be sent to a member now; if so, it counts as sent.
    pub(crate) fn may_notify(&mut self, now: Micros, name: NameHash) -> bool {
        let allowed = match self.last_notified.get(&name) {
            Some(at) => at + MIN_NOTICE_INTERVAL <= now,
            None => self.last_notified.len() < MAX_NOTIFIED,
        };
        if allowed {
            self.last_notified.insert(name, now);
        }
        allowed
    }

    /// Forgets notices that were sent long ago.
    pub(crate) fn expire(&mut self, now: Micros) {
        self.last_notified.retain(|_, at| *at + NOTICE_MEMORY > now);
    }

    pub(crate) fn forget(&mut self, name: NameHash) {
        self.last_notified.remove(&name);
    }

    pub(crate) fn len(&self) -> usize {
        self.last_notified.len()
    }
}
