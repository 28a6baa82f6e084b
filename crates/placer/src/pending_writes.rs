//! Connections with pending output, in the order in which output was first queued for them. They are written in this
//! order, so that the cancellation of an attempt is sent before the next attempt is offered to another host.

use std::collections::HashSet;

/// Tokens of connections, each once.
#[derive(Debug, Default)]
pub(crate) struct PendingWrites {
    order: Vec<u64>,
    queued: HashSet<u64>,
}

impl PendingWrites {
    /// Queues a connection, unless it is queued already.
    pub fn insert(&mut self, token: u64) {
        if self.queued.insert(token) {
            self.order.push(token);
        }
    }

    /// Removes a closed connection.
    pub fn remove(&mut self, token: u64) {
        self.queued.remove(&token);
    }

    /// Takes all queued connections, in the order in which they are to be written.
    pub fn take(&mut self) -> Vec<u64> {
        let queued = std::mem::take(&mut self.queued);
        let mut order = std::mem::take(&mut self.order);
        order.retain(|token| queued.contains(token));
        order
    }
}

#[cfg(test)]
mod tests;
