//! Seeded random numbers: the same sequence for a seed on every machine, so that a run can be repeated. The order of
//! the draws is part of the meaning of a seed.

use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};

/// A seeded generator with the distributions that the emulator needs.
pub struct SeededRng(Pcg64Mcg);

impl SeededRng {
    /// A generator for one of the independent streams of a seed.
    pub fn new(seed: u64, stream: u64) -> SeededRng {
        SeededRng(Pcg64Mcg::seed_from_u64(
            seed ^ stream.wrapping_mul(0x9e37_79b9_7f4a_7c15),
        ))
    }

    /// A number from 0 (inclusive) to 1 (exclusive).
    pub fn fraction(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// True with this probability.
    pub fn random_bool(&mut self, probability: f64) -> bool {
        self.fraction() < probability
    }

    /// An index below `count`; 0 if `count` is 0.
    pub fn index_below(&mut self, count: usize) -> usize {
        ((self.fraction() * count as f64) as usize).min(count.saturating_sub(1))
    }

    /// A uniformly distributed number in a range.
    pub fn between(&mut self, range: [f64; 2]) -> f64 {
        range[0] + (range[1] - range[0]) * self.fraction()
    }

    /// An exponentially distributed number with this mean.
    pub fn exp(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.fraction()).ln()
    }

    /// Shuffles items.
    pub fn shuffle<T>(&mut self, items: &mut [T]) {
        for i in (1..items.len()).rev() {
            let j = self.index_below(i + 1);
            items.swap(i, j);
        }
    }

    /// A seed for another generator.
    pub fn seed(&mut self) -> u64 {
        self.0.next_u64()
    }
}
