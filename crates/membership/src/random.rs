//! Helpers for the seeded random number generator.

use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::Rng;

use crate::member_table::Micros;

/// Returns a random number below `bound`, or 0 if `bound` is 0.
pub(crate) fn random_below(rng: &mut Pcg64Mcg, bound: usize) -> usize {
    (rng.next_u64() % bound.max(1) as u64) as usize
}

/// Returns a random duration between 75 % and 125 % of an interval, so that members do not synchronise.
pub(crate) fn with_jitter(rng: &mut Pcg64Mcg, interval: Micros) -> Micros {
    let interval = interval.max(4);
    interval * 3 / 4 + rng.next_u64() % (interval / 2)
}
