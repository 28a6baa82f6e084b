//! Adaptive heartbeats: a decision module, free of I/O, clock, threads, globals and random numbers.
//!
//! A caller that keeps one connection to each of many hosts wants to know soon when one of them falls silent, where
//! it matters, and to spend little on the others. [`Liveness`] tells it when to send each host a heartbeat, and when a
//! silence is final.
//!
//! - **A host in use** has a tick every [`Settings::ping_every`]. At a tick it is told as silent if the last sign of life
//!   is [`Settings::silent_after`] ago, and else it gets a heartbeat, unless something other than an answer to one was
//!   heard within the period.
//! - **An idle host** gets a heartbeat in its turn. Turns are given in the order of the last sign of life and spaced
//!   evenly, so that all idle hosts together get no more than [`Settings::max_idle_pings_per_s`], however many come at
//!   once. The interval of each grows with their number, from `ping_every` up to [`Settings::max_idle_interval`]; where
//!   that does not do for all of them, it counts and the rate does not.
//! - **An idle host that owes an answer** has ticks like one in use until it has answered. Its silence counts from the
//!   first heartbeat that it left unanswered, or from the offer that brought it into use for a moment.
//!
//! Times are microseconds on any clock that does not go back. There is one entry for each connection of the caller,
//! which bounds their number.

mod host;
mod liveness;
mod pacer;

pub use liveness::{DueAction, Liveness};

/// A point in time, or a span, in microseconds.
pub type Micros = u64;

/// How often hosts are pinged, and how long they may be silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Between two heartbeats to a host in use; no host is pinged more often.
    pub ping_interval: Micros,
    /// A silence is final after this, at the next tick.
    pub silence_timeout: Micros,
    /// Heartbeats a second to all idle hosts together, while they answer.
    pub max_idle_pings_per_s: u32,
    /// From the last sign of life of an idle host to its next heartbeat, at most, whatever the rate is then. Above
    /// `ping_every`.
    pub max_idle_interval: Micros,
}

/// What a host was heard to say.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignOfLife {
    /// The answer to a heartbeat. The next heartbeat is due as if it had not come.
    Answer,
    /// Anything else; it stands for a heartbeat and its answer.
    Traffic,
}
