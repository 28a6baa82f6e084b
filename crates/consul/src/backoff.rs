//! Exponential backoff with jitter between failed calls.

use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::Rng;

use crate::Micros;

/// Delays between failed calls. Their upper bound doubles with each failure, up to a maximum; each delay is drawn
/// between half the bound and the bound.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    const INITIAL_DELAY: Micros = 100_000;
    const MAX_DELAY: Micros = 3_000_000;

    /// Records a failure and returns the delay after it.
    pub fn next_delay(&mut self, rng: &mut Pcg64Mcg) -> Micros {
        let upper_bound = (Self::INITIAL_DELAY << self.failures.min(10)).min(Self::MAX_DELAY);
        self.failures = self.failures.saturating_add(1);
        upper_bound / 2 + rng.next_u64() % (upper_bound / 2)
    }

    /// Starts again from the shortest delay after a successful call.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Number of failures since the last successful call.
    pub fn failures(&self) -> u32 {
        self.failures
    }
}

#[cfg(test)]
mod tests;
