//! Checks the five rules of placement against a recorded history of traffic, as Jepsen checks a history of operations:
//! frames seen at the emulated hosts, requests and answers seen at the emulated owners, changes of the inventory, and
//! what was done to the placers.
//!
//! The checker shares nothing with the engine but the codec of the host protocol. What the rules mean is implemented
//! here a second time, on purpose: a mistake in one implementation then shows as a disagreement of the two.
//!
//! | module | what it checks |
//! |---|---|
//! | `rule_1_final_answer` | every accepted request gets exactly one final answer before its deadline |
//! | `rule_2_repetition` | what may have run is sent again only as its class allows; one attempt at a time |
//! | `rule_3_drain` | nothing new to a host after its placer was told that the host takes nothing |
//! | `rule_4_warm_up` | a host that has just started gets no more than its warm-up budget |
//! | `rule_5_spread` | a service stays within its spread limit |

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
