//! Waits that end early when the sweep is interrupted.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::error::ScaleError;

/// A wait checks the flag at this interval.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A flag that ends the sweep when it is set.
#[derive(Clone, Debug, Default)]
pub struct InterruptFlag(pub Arc<AtomicBool>);

impl InterruptFlag {
    /// Returns an error if the flag is set.
    pub(crate) fn check(&self) -> Result<(), ScaleError> {
        if self.0.load(Ordering::Relaxed) {
            Err(ScaleError::Interrupted)
        } else {
            Ok(())
        }
    }

    /// Waits until a time.
    pub(crate) fn sleep_until(&self, until: Instant) -> Result<(), ScaleError> {
        loop {
            self.check()?;
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Ok(());
            }
            std::thread::sleep(left.min(POLL_INTERVAL));
        }
    }

    /// Waits for a time, s.
    pub(crate) fn sleep(&self, seconds: f64) -> Result<(), ScaleError> {
        self.sleep_until(Instant::now() + Duration::from_secs_f64(seconds))
    }
}
