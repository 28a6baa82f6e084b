//! Differences between two lists of hosts.

use std::cmp::Ordering;
use std::sync::Arc;

use maplethread_config::HostState;

use super::{CatalogueEntry, EntriesByHost};

/// How a list differs from the previous one, host by host.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct ListDifferences {
    /// Hosts that were removed, or have changed and are not ready.
    pub degraded: Vec<String>,
    /// Ready hosts that are new or have changed.
    pub other: Vec<String>,
    /// Number of hosts that were removed.
    pub removed_count: usize,
}

impl ListDifferences {
    /// Compares two lists.
    pub fn between(before: &EntriesByHost, after: &EntriesByHost) -> ListDifferences {
        // Unchanged entries are shared between the lists, so most comparisons end at the pointers.
        let is_same =
            |a: &Arc<CatalogueEntry>, b: &Arc<CatalogueEntry>| Arc::ptr_eq(a, b) || a == b;
        let (mut before, mut after) = (before.iter().peekable(), after.iter().peekable());
        let mut differences = ListDifferences::default();
        loop {
            let order = match (before.peek(), after.peek()) {
                (Some((old, _)), Some((new, _))) => old.cmp(new),
                (Some(_), None) => Ordering::Less,
                (None, Some(_)) => Ordering::Greater,
                (None, None) => return differences,
            };
            let old = before.next_if(|_| order != Ordering::Greater);
            let new = after.next_if(|_| order != Ordering::Less);
            match (old, new) {
                (Some((_, old)), Some((_, new))) if is_same(old, new) => {}
                (_, Some((name, new))) if new.host.state == HostState::Ready => {
                    differences.other.push(name.clone());
                }
                (_, Some((name, _))) => differences.degraded.push(name.clone()),
                (Some((name, _)), None) => {
                    differences.degraded.push(name.clone());
                    differences.removed_count += 1;
                }
                (None, None) => {}
            }
        }
    }

    /// Whether the lists are equal.
    pub fn is_empty(&self) -> bool {
        self.degraded.is_empty() && self.other.is_empty()
    }
}
