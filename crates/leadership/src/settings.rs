//! The settings of a voter.

/// Time in µs of a clock with an arbitrary origin, which also advances while the machine is suspended.
pub type Micros = u64;

/// The settings of a voter.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The id of the voter, from 1.
    pub id: u64,
    /// The ids of all voters; the list must be the same at each voter.
    pub voters: Vec<u64>,
    /// The tick interval, µs. It is the unit of `election_ticks` and `heartbeat_ticks`.
    pub tick_interval: Micros,
    /// The election timeout, in ticks: a voter that receives nothing from the leader for this long no longer follows it.
    pub election_ticks: u32,
    /// The interval between heartbeats of a leader, in ticks.
    pub heartbeat_ticks: u32,
    /// The maximum drift rate of a voter's clock: 0.1 means up to 10 % fast or slow.
    pub max_clock_drift: f64,
}

impl Settings {
    /// The election timeout, µs.
    fn election_timeout(&self) -> f64 {
        self.tick_interval as f64 * f64::from(self.election_ticks)
    }

    /// How long a voter does not vote after its start. A voter that follows a leader must not vote for another one
    /// while that leader's lease may be valid; which leader it follows is not durable, so after a restart the voter
    /// waits for more than an election timeout.
    pub(crate) fn vote_delay_after_start(&self) -> Micros {
        let longest_timeout = self.election_timeout() * (1.0 + self.max_clock_drift);
        longest_timeout as Micros + self.tick_interval
    }

    /// How long a lease is valid after the start of its renewal round. It is shorter than the election timeout, because the
    /// clocks of the other voters may be fast while the leader's clock is slow.
    pub(crate) fn lease_duration(&self) -> Micros {
        let shortest_timeout = self.election_timeout() * (1.0 - self.max_clock_drift);
        let duration = shortest_timeout / (1.0 + self.max_clock_drift);
        (duration as Micros).saturating_sub(self.tick_interval)
    }
}
