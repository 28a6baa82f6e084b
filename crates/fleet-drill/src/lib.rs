//! The fleet's view under faults: a model with simulated time, and a rig of real processes with a faulty network between
//! every pair of them and a judge that shares no state with them.

pub mod drawn;
pub mod drill;
pub mod judge;
pub mod model;
pub mod proxy;
pub mod schedule;
pub mod watch;
