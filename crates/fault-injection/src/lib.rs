//! Fault injection for the fleet's membership: a model with simulated time, and a run of real processes with a faulty
//! network between every pair of them. The checker that judges such a run shares no state with the processes.
#![allow(
    clippy::too_many_lines,
    reason = "setting up a run and converting a schedule each take many short steps"
)]

pub mod checker;
pub mod model;
pub mod observers;
pub mod proxy;
pub mod random_schedule;
pub mod run;
pub mod schedule;
