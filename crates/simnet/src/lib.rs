//! A faulty network without sockets: what becomes of each datagram between two numbered places. A model asks it with
//! simulated time, a proxy between real processes with the clock, so one set of faults serves both.
//!
//! All randomness comes from the seed: equal seeds and equal calls give equal deliveries.

mod link;
mod network;

pub use link::{Link, Micros};
pub use network::Network;
