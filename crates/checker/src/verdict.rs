//! The result of a check.

use std::collections::BTreeMap;

/// A violation of a rule.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The rule, 1 to 5.
    pub rule: u8,
    /// When, µs on the clock of the history.
    pub at_us: u64,
    /// What happened, in one line.
    pub description: String,
    /// The entries of the history that show it, by index.
    pub evidence: Vec<usize>,
}

/// The result of a check: the violations, and counts of the traffic.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// Requests for a placement.
    pub requests: u64,
    /// Requests that were answered `placed`.
    pub placed: u64,
    /// Requests that were answered `refused`.
    pub rejected: u64,
    /// The rejected ones, by the reason in the answer.
    pub rejected_by_reason: BTreeMap<String, u64>,
    /// Requests that were answered `failed`.
    pub failed: u64,
    /// Requests that were not accepted: status 503 and the like.
    pub not_accepted: u64,
    /// Requests without an answer although the placer was running and the client waited until the deadline.
    pub unanswered: u64,
    /// Requests without an answer that the placer could not give: it was killed, or paused up to the deadline or nearly
    /// so, or the client disconnected before it.
    pub excused: u64,
    /// Offers that placers sent to hosts.
    pub offers: u64,
    /// How long each replica index that was released waited for a new holder, µs, sorted: the time in which it could be
    /// locked, the catalogue had a leader, and as many placers wanted an index as were free.
    pub replica_index_waits_us: Vec<u64>,
    /// Violations of the rules.
    pub violations: Vec<Violation>,
}

impl Verdict {
    /// How often each rule was violated; rules without a violation are left out.
    pub fn violations_by_rule(&self) -> BTreeMap<u8, u64> {
        let mut counts = BTreeMap::new();
        for violation in &self.violations {
            *counts.entry(violation.rule).or_default() += 1;
        }
        counts
    }
}
