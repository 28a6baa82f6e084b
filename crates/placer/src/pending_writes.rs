//! Connections with something new to write, in the order in which they got it: an attempt that is cancelled ends at its
//! host before the next one reaches another.

use std::collections::HashSet;

/// Connections by their tokens, each once.
#[derive(Debug, Default)]
pub(crate) struct PendingWrites {
    order: Vec<u64>,
    queued: HashSet<u64>,
}

impl PendingWrites {
    /// A connection has something to write.
    pub fn insert(&mut self, token: u64) {
        if self.queued.insert(token) {
            self.order.push(token);
        }
    }

    /// A connection is gone.
    pub fn remove(&mut self, token: u64) {
        self.queued.remove(&token);
    }

    /// All of them, to be written in this order.
    pub fn take(&mut self) -> Vec<u64> {
        let queued = std::mem::take(&mut self.queued);
        let mut order = std::mem::take(&mut self.order);
        order.retain(|token| queued.contains(token));
        order
    }
}

#[cfg(test)]
mod tests;
