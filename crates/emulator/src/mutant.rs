//! The result of a mutant: a placer that violates a rule on purpose. Such a run shows that the checker detects
//! violations of the rule, so it must not pass if none was detected: the mutant had no opportunity, or the checker
//! missed it.

use std::fs::File;
use std::io::{self, BufRead, BufReader, Seek, SeekFrom};
use std::path::Path;

use maplethread_checker::Verdict;

use crate::random_choice::RULE_VIOLATION_LOG;

/// The mutant that violates rule 1 around pauses only.
const PAUSE_MUTANT: u8 = 6;

/// The result of a mutant at the end of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MutantResult {
    /// Its number, as given with `--rogue`.
    pub number: u8,
    /// Number of its actions that the decider's own guard forbids. The rule may allow some of them, such as an offer
    /// within the grace period of a drain.
    pub violations_made: u64,
    /// Number of violations of that rule that the checker found.
    pub violations_found: u64,
}

/// Whether the checker detected a mutant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MutantOutcome {
    /// The checker found the rule violated.
    Detected,
    /// There was nothing to detect: the mutant made no action that its guard forbids.
    NoOpportunity,
    /// The mutant made actions that its guard forbids, and the checker found no violation of the rule.
    Missed,
}

impl MutantResult {
    pub(crate) fn new(number: u8, violations_made: u64, verdict: &Verdict) -> MutantResult {
        let violations_found = verdict
            .violations_by_rule()
            .get(&violated_rule(number))
            .copied()
            .unwrap_or(0);
        MutantResult {
            number,
            violations_made,
            violations_found,
        }
    }

    /// Whether the checker detected the mutant.
    pub fn outcome(&self) -> MutantOutcome {
        match (self.violations_found, self.violations_made) {
            (0, 0) => MutantOutcome::NoOpportunity,
            (0, _) => MutantOutcome::Missed,
            _ => MutantOutcome::Detected,
        }
    }

    /// The outcome as a line of text.
    pub fn text(&self) -> String {
        let MutantResult {
            number,
            violations_made: made,
            violations_found: found,
        } = self;
        let rule = violated_rule(*number);
        match self.outcome() {
            MutantOutcome::Detected => {
                format!(
                    "mutant {number} acted against rule {rule} {made} times; the checker found {found} violations"
                )
            }
            MutantOutcome::NoOpportunity => {
                format!(
                    "mutant {number} had no opportunity to violate rule {rule}: this run does not test the checker"
                )
            }
            MutantOutcome::Missed => {
                format!(
                    "mutant {number} acted against rule {rule} {made} times, and the checker found no violation"
                )
            }
        }
    }
}

/// The rule that a mutant violates.
fn violated_rule(mutant: u8) -> u8 {
    if mutant == PAUSE_MUTANT { 1 } else { mutant }
}

/// The number of violations that a placer has logged from this offset of its log on.
pub(crate) fn count_violations_in_log(log: &Path, from: u64) -> io::Result<u64> {
    let mut file = File::open(log)?;
    file.seek(SeekFrom::Start(from))?;
    let mut violations = 0;
    for line in BufReader::new(file).split(b'\n') {
        violations += u64::from(String::from_utf8_lossy(&line?).contains(RULE_VIOLATION_LOG));
    }
    Ok(violations)
}
