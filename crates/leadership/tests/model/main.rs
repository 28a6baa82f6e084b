//! Voters in simulated time. At most one voter may act as leader at any time, and epochs must increase.

mod cluster;
mod elections;
mod random_schedules;
mod stores;
