//! Judges the five rules from recorded traffic alone: frames seen at the stand-in hosts, asks and answers seen at
//! the stand-in owners, changes of the inventory, and what was done to the placers. It shares nothing with the
//! engine but the codec; what the rules mean is written here a second time, on purpose.

mod figures;
mod judge;
mod numbers;
mod read_late;
mod record;
mod rule_1;
mod rule_2;
mod rule_3;
mod rule_4;
mod rule_5;
mod verdict;

pub use figures::{ClassRule, Group, Place, RuleParameters};
pub use judge::check;
pub use record::{HistoryEntry, Location, Observation, Observer, Outcome};
pub use verdict::{Verdict, Violation};
