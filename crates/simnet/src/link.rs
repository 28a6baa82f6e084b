//! The faults and the latency of one link.

/// A time or a time span, µs.
pub type Micros = u64;

/// The faults and the latency of a link in one direction.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Link {
    /// Probability that a datagram is lost.
    pub loss_probability: f64,
    /// Probability that a datagram is delivered twice.
    pub duplicate_probability: f64,
    /// Minimum latency.
    pub min_latency: Micros,
    /// Maximum latency, exclusive unless it equals the minimum. The latency of each copy is random, so datagrams can be
    /// reordered.
    pub max_latency: Micros,
    /// Probability that a copy is delivered late.
    pub late_probability: f64,
    /// Delay of a late copy, in addition to its latency.
    pub late_delay: Micros,
}

impl Default for Link {
    fn default() -> Link {
        Link {
            loss_probability: 0.0,
            duplicate_probability: 0.0,
            min_latency: 200,
            max_latency: 2_000,
            late_probability: 0.0,
            late_delay: 60_000_000,
        }
    }
}
