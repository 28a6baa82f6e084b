//! The time: Unix time at the start, and the monotonic clock from then on.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A clock that never runs back and starts at Unix time, µs.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    started_unix_us: u64,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Clock {
        let started_unix_us = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or(Duration::ZERO)
            .as_micros() as u64;
        Clock {
            started: Instant::now(),
            started_unix_us,
        }
    }

    /// The time since the Unix epoch, µs.
    pub fn now(&self) -> u64 {
        self.started_unix_us + self.started.elapsed().as_micros() as u64
    }
}
