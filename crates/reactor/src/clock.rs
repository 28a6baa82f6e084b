//! A clock that starts at Unix time and then follows the monotonic clock.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock in microseconds that starts at the Unix time of its creation.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    started_unix_us: u64,
}

impl Clock {
    /// Creates a clock that starts at the current Unix time.
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

    /// The time in microseconds since the Unix epoch.
    pub fn now(&self) -> u64 {
        self.started_unix_us + self.started.elapsed().as_micros() as u64
    }
}
