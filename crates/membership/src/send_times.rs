//! When the datagrams of each sender were sent, to recognise those that were delayed for long.

use std::collections::BTreeMap;

use crate::identity::{MemberIdentity, NameHash};
use crate::member_table::Micros;

/// A datagram that was sent this much earlier than another one of its sender is stale.
const MAX_DATAGRAM_AGE: Micros = 10_000_000;

/// The newest datagram of a sender.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
struct SendTime {
    generation: u64,
    /// µs of the sender's active time.
    sent_at: u64,
}

/// The newest datagram of each sender.
#[derive(Default)]
pub(crate) struct SendTimes {
    newest: BTreeMap<NameHash, SendTime>,
}

impl SendTimes {
    /// Whether a datagram was sent long before another one of the same generation.
    pub(crate) fn is_stale(&self, sender: &MemberIdentity, sent_at: u64) -> bool {
        let newest = self.newest(sender);
        newest.generation == sender.generation && sent_at + MAX_DATAGRAM_AGE < newest.sent_at
    }

    /// Records a datagram of a known sender.
    pub(crate) fn record(&mut self, sender: &MemberIdentity, sent_at: u64) {
        let sent = SendTime {
            generation: sender.generation,
            sent_at,
        };
        if self.newest(sender) < sent {
            self.newest.insert(sender.name.hash(), sent);
        }
    }

    pub(crate) fn forget(&mut self, name: NameHash) {
        self.newest.remove(&name);
    }

    pub(crate) fn len(&self) -> usize {
        self.newest.len()
    }

    fn newest(&self, sender: &MemberIdentity) -> SendTime {
        self.newest
            .get(&sender.name.hash())
            .copied()
            .unwrap_or_default()
    }
}
