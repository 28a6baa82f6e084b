//! Voters in simulated time. At no instant may two of them act, and epochs only grow.

mod cluster;
mod elections;
mod random_schedules;
mod stores;
