//! Exponential backoff with jitter between failed calls.

use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::Rng;

use crate::Micros;

/// Waits between failed calls: each doubles the one before, and is drawn between half of that and the whole.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    const FIRST_WAIT: Micros = 100_000;
    const MAX_WAIT: Micros = 3_000_000;

    /// Counts a failure and returns how long to wait after it.
    pub fn next_wait(&mut self, rng: &mut Pcg64Mcg) -> Micros {
        let whole = (Self::FIRST_WAIT << self.failures.min(10)).min(Self::MAX_WAIT);
        self.failures = self.failures.saturating_add(1);
        whole / 2 + rng.next_u64() % (whole / 2)
    }

    /// Begins anew after a successful call.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Failures since the last successful call.
    pub fn failures(&self) -> u32 {
        self.failures
    }
}

#[cfg(test)]
mod tests;
