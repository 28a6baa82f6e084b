//! Send times of the datagrams of each sender, to reject datagrams that were delayed for long.

use std::collections::BTreeMap;

use crate::identity::{MemberIdentity, NameHash};
use crate::member_table::Micros;

/// A datagram is stale if it was sent this much earlier than the newest received one of the same sender.
const MAX_DATAGRAM_AGE: Micros = 10_000_000;

/// The send time of a sender's newest datagram.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
struct SendTime {
    generation: u64,
    /// The send time, µs of the sender's active time.
    sent_at: u64,
}

/// The send time of the newest datagram of each sender.
#[derive(Default)]
pub(crate) struct SendTimes {
    newest: BTreeMap<NameHash, SendTime>,
}

impl SendTimes {
    /// Whether a datagram was sent more than [`MAX_DATAGRAM_AGE`] before the newest one of the same generation.
    pub(crate) fn is_stale(&self, sender: &MemberIdentity, sent_at: u64) -> bool {
        let newest = self.newest(sender);
        newest.generation == sender.generation && sent_at + MAX_DATAGRAM_AGE < newest.sent_at
    }

    /// Records the send time of a datagram.
    pub(crate) fn record(&mut self, sender: &MemberIdentity, sent_at: u64) {
        let sent = SendTime {
            generation: sender.generation,
            sent_at,
        };
        if self.newest(sender) < sent {
            self.newest.insert(sender.name.hash(), sent);
        }
    }

    pub(crate) fn remove(&mut self, name: NameHash) {
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
