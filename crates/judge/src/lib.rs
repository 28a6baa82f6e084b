//! Judges the five rules from recorded traffic alone: frames seen at the stand-in hosts, asks and answers seen at
//! the stand-in owners, changes of the inventory, and what was done to the placers. It shares nothing with the
//! engine but the codec; what the rules mean is written here a second time, on purpose.

mod judge;
mod record;

pub use judge::{Broken, ClassRule, Figures, Group, Place, Verdict, judge};
pub use record::{Outcome, Record, Seen, Where};
