//! The latest changes of the view, numbered for those who follow it.

use std::collections::VecDeque;

use serde_json::{Value, json};

/// Changes that are kept.
const MAX_KEPT_CHANGES: usize = 4096;
/// Changes in one answer.
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
    /// Adds a change that was seen at this time, µs. The oldest one goes if there are too many.
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

    /// The number that the next change gets.
    pub fn next_number(&self) -> u64 {
        self.last_number + 1
    }

    /// Whether a change that came after this number is not kept any more.
    pub fn has_lost_after(&self, number: u64) -> bool {
        let oldest = self.changes.front();
        number + 1 < oldest.map_or(self.next_number(), |change| change.number)
    }

    /// The changes after this number, as many as one answer holds.
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
