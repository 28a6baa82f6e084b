//! What became of a placer that breaks a rule on purpose. Such a day shows that the judge can catch a broken rule, so it
//! must not pass for a good one where the rule was not caught: the rogue had no occasion, or the judge missed it.

use std::fs::File;
use std::io::{self, BufRead, BufReader, Seek, SeekFrom};
use std::path::Path;

use maplethread_checker::Verdict;

use crate::random_choice::RULE_VIOLATION_LOG;

/// The rogue that breaks rule 1 around pauses only.
const PAUSE_MUTANT: u8 = 6;

/// A placer that breaks a rule on purpose, at the end of its day.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MutantResult {
    /// Its number, as told with `--rogue`.
    pub number: u8,
    /// Its moves that its own guard forbids. The rule itself may allow some of them, such as an offer within the grace of
    /// a drain.
    pub violations_made: u64,
    /// How often the judge found that rule broken.
    pub violations_found: u64,
}

/// Whether the judge caught a rogue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MutantOutcome {
    /// The judge found the rule broken.
    Detected,
    /// There was nothing to catch: the rogue made no move against the rule.
    NoOpportunity,
    /// The rogue moved against the rule, and the judge found the rule kept.
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

    /// Whether the judge caught it.
    pub fn outcome(&self) -> MutantOutcome {
        match (self.violations_found, self.violations_made) {
            (0, 0) => MutantOutcome::NoOpportunity,
            (0, _) => MutantOutcome::Missed,
            _ => MutantOutcome::Detected,
        }
    }

    /// The outcome in a line.
    pub fn text(&self) -> String {
        let MutantResult {
            number,
            violations_made: moves,
            violations_found: caught,
        } = self;
        let rule = violated_rule(*number);
        match self.outcome() {
            MutantOutcome::Detected => {
                format!(
                    "rogue {number} moved against rule {rule} {moves} times; the judge found it broken {caught} times"
                )
            }
            MutantOutcome::NoOpportunity => {
                format!(
                    "rogue {number} had no occasion to break rule {rule}: this day tells nothing of the judge"
                )
            }
            MutantOutcome::Missed => {
                format!(
                    "rogue {number} moved against rule {rule} {moves} times, and the judge found the rule kept"
                )
            }
        }
    }
}

/// The rule that a rogue breaks.
fn violated_rule(rogue: u8) -> u8 {
    if rogue == PAUSE_MUTANT { 1 } else { rogue }
}

/// The moves against its rule that a placer told its log from this offset on.
pub(crate) fn count_violations_in_log(log: &Path, from: u64) -> io::Result<u64> {
    let mut file = File::open(log)?;
    file.seek(SeekFrom::Start(from))?;
    let mut moves = 0;
    for line in BufReader::new(file).split(b'\n') {
        moves += u64::from(String::from_utf8_lossy(&line?).contains(RULE_VIOLATION_LOG));
    }
    Ok(moves)
}
