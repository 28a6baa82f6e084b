//! The time: Unix time at the start, and the monotonic clock from then on.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A clock that never runs back and starts at Unix time, µs.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    unix: u64,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Clock {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or(Duration::ZERO)
            .as_micros() as u64;
        Clock {
            start: Instant::now(),
            unix,
        }
    }

    /// The time, µs.
    pub fn now(&self) -> u64 {
        self.unix + self.start.elapsed().as_micros() as u64
    }
}
