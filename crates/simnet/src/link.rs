//! The faults of one link.

/// Time, µs.
pub type Micros = u64;

/// What becomes of datagrams on a link, in one direction.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Link {
    /// Probability that a datagram is lost.
    pub loss_probability: f64,
    /// Probability that a datagram is delivered twice.
    pub duplicate_probability: f64,
    /// Shortest latency.
    pub min_latency: Micros,
    /// Longest latency. It is drawn for each copy, so datagrams are reordered.
    pub max_latency: Micros,
    /// Probability that a copy is delivered late...
    pub late_probability: f64,
    /// ...by this much more than its latency.
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
