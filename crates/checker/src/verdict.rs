//! What a record shows.

use std::collections::BTreeMap;

/// A broken rule.
#[derive(Clone, Debug)]
pub struct Violation {
    /// Which, 1 to 5.
    pub rule: u8,
    /// When, µs on the record's clock.
    pub at_us: u64,
    /// What, in a line.
    pub description: String,
    /// The records that show it, by number.
    pub evidence: Vec<usize>,
}

/// What the traffic shows.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// Asks.
    pub requests: u64,
    /// Answered `placed`.
    pub placed: u64,
    /// Answered `refused`.
    pub rejected: u64,
    /// Those refused, by the reason told.
    pub rejected_by_reason: BTreeMap<String, u64>,
    /// Answered `failed`.
    pub failed: u64,
    /// Not taken: 503 and the like.
    pub not_accepted: u64,
    /// Without an answer, though the placer was running and the client waited until the deadline.
    pub unanswered: u64,
    /// Without an answer that could not be given: the placer was killed, stood still up to the deadline or nearly so, or
    /// the client hung up before it.
    pub excused: u64,
    /// Offers.
    pub offers: u64,
    /// How long each leased number that fell free waited for a holder, µs, in order: the time in which it could be
    /// locked, the catalogue had a leader, and as many placers wanted a number as were free.
    pub replica_index_waits_us: Vec<u64>,
    /// Broken rules.
    pub violations: Vec<Violation>,
}

impl Verdict {
    /// How often each rule was broken.
    pub fn violations_by_rule(&self) -> BTreeMap<u8, u64> {
        let mut counts = BTreeMap::new();
        for broken in &self.violations {
            *counts.entry(broken.rule).or_default() += 1;
        }
        counts
    }
}
