//! The settings of a voter.

/// Time in µs of a clock that also runs while the machine sleeps; its origin is chosen by the caller.
pub type Micros = u64;

/// The settings of a voter.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The voter's number, from 1.
    pub id: u64,
    /// The numbers of all voters; the same list at each of them.
    pub voters: Vec<u64>,
    /// The interval of the timer, µs. The periods below are multiples of it.
    pub tick_interval: Micros,
    /// The election timeout: after this many silent intervals a leader is no longer followed.
    pub election_ticks: u32,
    /// A leader sends a heartbeat every so many intervals.
    pub heartbeat_ticks: u32,
    /// By what share of the time a voter's clock may be fast or slow, at most.
    pub max_clock_error: f64,
}

impl Settings {
    /// The election timeout, µs.
    fn election_timeout(&self) -> f64 {
        self.tick_interval as f64 * f64::from(self.election_ticks)
    }

    /// How long a voter gives no vote after its start. The promise not to vote against a live leader is not durable, and the
    /// lease of that leader counts on it.
    pub(crate) fn vote_delay_after_start(&self) -> Micros {
        let slow = self.election_timeout() * (1.0 + self.max_clock_error);
        slow as Micros + self.tick_interval
    }

    /// How long a lease is valid after the leader has asked for its renewal: the clocks of the voters may be fast while that
    /// of the leader is slow.
    pub(crate) fn lease_duration(&self) -> Micros {
        let ratio = self.election_timeout() * (1.0 - self.max_clock_error);
        let duration = ratio / (1.0 + self.max_clock_error);
        (duration as Micros).saturating_sub(self.tick_interval)
    }
}
