//! Judges the five rules from recorded traffic alone: frames seen at the stand-in hosts, asks and answers seen at
//! the stand-in owners, changes of the inventory, and what was done to the placers. It shares nothing with the
//! engine but the codec; what the rules mean is written here a second time, on purpose.

mod checker;
mod history;
mod observer_delay;
mod parameters;
mod replica_indexes;
mod rule_1_final_answer;
mod rule_2_repetition;
mod rule_3_drain;
mod rule_4_warm_up;
mod rule_5_spread;
mod verdict;

pub use checker::check;
pub use history::{HistoryEntry, Location, Observation, Observer, Outcome};
pub use parameters::{ClassRule, DeduplicationScope, RuleParameters, TopologyLevel};
pub use verdict::{Verdict, Violation};
