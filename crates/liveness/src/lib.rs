//! Adaptive heartbeats: a decision module, free of I/O, clock, threads, globals and random numbers.
//!
//! A caller that keeps one connection to each of many hosts needs to detect quickly when a host in use becomes
//! unresponsive, and to send few heartbeats to the others. [`Liveness`] decides when to send each host a heartbeat, and
//! when to disconnect an unresponsive host.
//!
//! - **A host in use** has a tick every [`Settings::ping_interval`]. At a tick it is disconnected if nothing has been
//!   received from it for [`Settings::silence_timeout`]. Otherwise it is sent a heartbeat, unless something other than an
//!   answer to a heartbeat was received within the interval.
//! - **An idle host** is sent a heartbeat in its turn. Turns are in the order of the last activity and evenly spaced, so
//!   that all idle hosts together get no more than [`Settings::max_idle_pings_per_s`], however many connect at once. The
//!   interval of each host grows with their number, from `ping_interval` up to [`Settings::max_idle_interval`]; if the
//!   rate does not suffice for that, the interval is kept and the rate is exceeded.
//! - **An idle host with an outstanding answer** has ticks like a host in use until it has answered. The time-out runs
//!   from its first unanswered heartbeat, or from its first use since its last activity.
//!
//! Times are microseconds on a monotonic clock. There is one entry for each connection of the caller, so the number of
//! entries is bounded by that of the connections.

mod host;
mod liveness;
mod pacer;

pub use liveness::{DueAction, Liveness};

/// A point in time, or a duration, in microseconds.
pub type Micros = u64;

/// How often hosts are sent heartbeats, and after how long without activity they are disconnected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The time between two heartbeats to a host in use, µs. No host is sent heartbeats more often.
    pub ping_interval: Micros,
    /// The time without any activity after which a host is disconnected at its next tick, µs.
    pub silence_timeout: Micros,
    /// The maximum number of heartbeats per second to all idle hosts together, while they answer.
    pub max_idle_pings_per_s: u32,
    /// The longest time from the last activity of an idle host to its next heartbeat, µs. It takes precedence over the
    /// rate, and is more than `ping_interval`.
    pub max_idle_interval: Micros,
}

/// The kind of input that was received from a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Activity {
    /// The answer to a heartbeat. It does not postpone the next heartbeat to a host in use.
    Answer,
    /// Anything else. It replaces a heartbeat and its answer.
    Traffic,
}
