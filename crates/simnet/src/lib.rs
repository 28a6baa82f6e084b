//! A simulated faulty network without sockets. It determines for each datagram between two numbered nodes whether, how
//! often and when it is delivered. Models use it with simulated time, and a proxy between real processes uses it with
//! the real clock, so both have the same faults.
//!
//! All randomness comes from the seed: with equal seeds, equal calls give equal deliveries.

mod link;
mod network;

pub use link::{Link, Micros};
pub use network::Network;
