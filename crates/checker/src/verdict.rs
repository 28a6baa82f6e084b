//! The result of a check.

use std::collections::BTreeMap;

/// A violation of a rule.
#[derive(Clone, Debug)]
pub struct Violation {
    /// Number of the rule, 1 to 5.
    pub rule: u8,
    /// Time of the violation, µs on the clock of the history.
    pub at_us: u64,
    /// What happened, in one line.
    pub description: String,
    /// Indexes of the history entries that show the violation.
    pub evidence: Vec<usize>,
}

/// The result of a check: violations of the rules and traffic counts.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// Number of placement requests.
    pub requests: u64,
    /// Number of requests that were answered `placed`.
    pub placed: u64,
    /// Number of requests that were answered `refused`.
    pub rejected: u64,
    /// Number of rejected requests by the reason in the answer.
    pub rejected_by_reason: BTreeMap<String, u64>,
    /// Number of requests that were answered `failed`.
    pub failed: u64,
    /// Number of requests that were not accepted, for example with status 503.
    pub not_accepted: u64,
    /// Number of requests without an answer although the placer was running and the client waited until the deadline.
    pub unanswered: u64,
    /// Number of requests without an answer that the placer could not have answered: it was killed, or paused until or
    /// shortly before the deadline, or the client disconnected before the deadline.
    pub excused: u64,
    /// Number of offers that placers sent to hosts.
    pub offers: u64,
    /// How long each released replica index waited for a new holder, µs, sorted. Only time counts in which the index
    /// could be locked, the catalogue had a leader, and at least as many placers needed an index as there were free
    /// indexes.
    pub replica_index_waits_us: Vec<u64>,
    /// Violations of the rules.
    pub violations: Vec<Violation>,
}

impl Verdict {
    /// Number of violations of each rule; rules without a violation are left out.
    pub fn violations_by_rule(&self) -> BTreeMap<u8, u64> {
        let mut counts = BTreeMap::new();
        for violation in &self.violations {
            *counts.entry(violation.rule).or_default() += 1;
        }
        counts
    }
}
