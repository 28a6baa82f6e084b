//! The latest changes of the membership view, numbered so that clients can request those after a number.

use std::collections::VecDeque;

use serde_json::{Value, json};

const MAX_KEPT_CHANGES: usize = 4096;
const MAX_CHANGES_PER_ANSWER: usize = 1024;

struct NumberedChange {
    number: u64,
    at_ms: u64,
    change: Value,
}

/// The latest changes. Numbers begin at 1.
#[derive(Default)]
pub(super) struct ChangeLog {
    changes: VecDeque<NumberedChange>,
    last_number: u64,
}

impl ChangeLog {
    /// Appends a change that was observed at `now`, µs, and evicts the oldest one if the log is full.
    pub fn push(&mut self, now: u64, change: Value) {
        self.last_number += 1;
        self.changes.push_back(NumberedChange {
            number: self.last_number,
            at_ms: now / 1000,
            change,
        });
        if self.changes.len() > MAX_KEPT_CHANGES {
            self.changes.pop_front();
        }
    }

    /// The number of the next change.
    pub fn next_number(&self) -> u64 {
        self.last_number + 1
    }

    /// Whether a change after this number has been evicted.
    pub fn has_evicted_after(&self, number: u64) -> bool {
        let oldest = self.changes.front();
        number + 1 < oldest.map_or(self.next_number(), |change| change.number)
    }

    /// The changes after this number, at most `MAX_CHANGES_PER_ANSWER`.
    pub fn after(&self, number: u64) -> Vec<Value> {
        self.changes
            .iter()
            .filter(|change| change.number > number)
            .take(MAX_CHANGES_PER_ANSWER)
            .map(|c| json!({"number": c.number, "at_ms": c.at_ms, "change": c.change}))
            .collect()
    }
}

#[cfg(test)]
mod tests;
