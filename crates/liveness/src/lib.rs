//! Adaptive heartbeats: a decision module, free of I/O, clock, threads, globals and random numbers.
//!
//! A caller that keeps one connection to each of many hosts needs to detect soon when a host in use falls silent, and to
//! spend little on the others. [`Liveness`] decides when to send each host a heartbeat, and when a silence is final.
//!
//! - **A host in use** has a tick every [`Settings::ping_interval`]. At a tick it is reported as silent if the last sign
//!   of life is [`Settings::silence_timeout`] ago. Otherwise it gets a heartbeat, unless something other than an answer to
//!   one was received within the interval.
//! - **An idle host** gets a heartbeat in its turn. Turns are given in the order of the last sign of life and spaced
//!   evenly, so that all idle hosts together get no more than [`Settings::max_idle_pings_per_s`], however many connect at
//!   once. The interval of each grows with their number, from `ping_interval` up to [`Settings::max_idle_interval`]; where
//!   the rate does not suffice for that, the interval is kept and the rate is exceeded.
//! - **An idle host that owes an answer** has ticks like one in use until it has answered. Its silence counts from the
//!   first heartbeat that it left unanswered, or from when it was briefly in use.
//!
//! Times are microseconds on any clock that does not go back. There is one entry for each connection of the caller,
//! so their number is bounded by that of the connections.

mod host;
mod liveness;
mod pacer;

pub use liveness::{DueAction, Liveness};

/// A point in time, or a duration, in microseconds.
pub type Micros = u64;

/// How often hosts are pinged, and how long they may be silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The time between two heartbeats to a host in use, µs; no host is pinged more often.
    pub ping_interval: Micros,
    /// The time after which a silence is final, at the next tick, µs.
    pub silence_timeout: Micros,
    /// Heartbeats per second to all idle hosts together, while they answer.
    pub max_idle_pings_per_s: u32,
    /// The longest time from the last sign of life of an idle host to its next heartbeat, µs, whatever the rate is then.
    /// More than `ping_interval`.
    pub max_idle_interval: Micros,
}

/// What was received from a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignOfLife {
    /// The answer to a heartbeat. The next heartbeat is due as if it had not come.
    Answer,
    /// Anything else; it replaces a heartbeat and its answer.
    Traffic,
}
