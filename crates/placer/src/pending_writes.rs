//! Connections with something new to write, in the order in which they got it: an attempt that is called off ends at its
//! host before the next one reaches another.

use std::collections::HashSet;

/// Connections by their tokens, each once.
#[derive(Default)]
pub struct PendingWrites {
    order: Vec<u64>,
    marked: HashSet<u64>,
}

impl PendingWrites {
    /// A connection has something to write.
    pub fn insert(&mut self, token: u64) {
        if self.marked.insert(token) {
            self.order.push(token);
        }
    }

    /// A connection is gone.
    pub fn remove(&mut self, token: u64) {
        self.marked.remove(&token);
    }

    /// All of them, to be written in this order.
    pub fn take(&mut self) -> Vec<u64> {
        let marked = std::mem::take(&mut self.marked);
        let mut order = std::mem::take(&mut self.order);
        order.retain(|token| marked.contains(token));
        order
    }
}

#[cfg(test)]
mod tests;
