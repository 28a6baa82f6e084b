//! Deduplication keys: a group of hosts holds at most one task with the same key.

use std::collections::BTreeMap;

/// A deduplication key within a group of hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct DeduplicationKey {
    /// The group of hosts within which the key is unique.
    pub group: u64,
    /// The key.
    pub key: u64,
}

/// The attempts that hold a deduplication key. Hosts of one group share a table.
#[derive(Clone, Debug, Default)]
pub struct DeduplicationTable {
    holders: BTreeMap<DeduplicationKey, u64>,
}

impl DeduplicationTable {
    /// The attempt that holds a key.
    pub fn holder(&self, key: DeduplicationKey) -> Option<u64> {
        self.holders.get(&key).copied()
    }

    pub(crate) fn claim(&mut self, key: DeduplicationKey, attempt_id: u64) {
        self.holders.insert(key, attempt_id);
    }

    /// Releases a key, unless another attempt has claimed it since.
    pub(crate) fn release(&mut self, key: DeduplicationKey, attempt_id: u64) {
        if self.holder(key) == Some(attempt_id) {
            self.holders.remove(&key);
        }
    }
}
