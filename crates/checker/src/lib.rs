//! Checks the five placement rules against a recorded history of a run, as Jepsen checks a history of operations. The
//! history contains the frames seen at the emulated hosts, the requests and answers seen at the emulated owners, the
//! changes of the inventory, and the faults injected into the placers.
//!
//! The checker shares only the codec of the host protocol with the engine. The rules are deliberately implemented here
//! a second time, so that a mistake in one implementation shows as a disagreement between the two.
//!
//! | module | what it checks |
//! |---|---|
//! | `rule_1_final_answer` | every accepted request gets exactly one final answer before its deadline |
//! | `rule_2_repetition` | a task that may have run is sent again only as its class allows; one attempt at a time |
//! | `rule_3_drain` | no new offers to a host after its placer was notified that the host accepts none |
//! | `rule_4_warm_up` | a host that has just started gets no more offers than its warm-up budget |
//! | `rule_5_spread` | a service stays within the spread limit of its class |

mod availability;
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
mod state;
mod verdict;

pub use checker::check;
pub use history::{HistoryEntry, Location, Observation, Observer, Outcome};
pub use parameters::{
    ClassRule, Deduplication, DeduplicationScope, RuleParameters, SpreadLimit, TopologyLevel,
};
pub use verdict::{Verdict, Violation};
