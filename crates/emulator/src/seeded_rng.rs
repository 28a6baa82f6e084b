//! Seeded random numbers. What is drawn from a seed is the same on every machine, so that a run can be repeated; the order
//! of draws is part of what a seed means.

use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};

/// A seeded generator with the distributions that the emulator needs.
pub struct SeededRng(Pcg64Mcg);

impl SeededRng {
    /// A generator of this seed, one of several independent streams.
    pub fn new(seed: u64, stream: u64) -> SeededRng {
        SeededRng(Pcg64Mcg::seed_from_u64(
            seed ^ stream.wrapping_mul(0x9e37_79b9_7f4a_7c15),
        ))
    }

    /// A number from 0 up to, but without, 1.
    pub fn fraction(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// True with this probability.
    pub fn random_bool(&mut self, probability: f64) -> bool {
        self.fraction() < probability
    }

    /// A number below `count`; 0 if that is 0.
    pub fn index_below(&mut self, count: usize) -> usize {
        ((self.fraction() * count as f64) as usize).min(count.saturating_sub(1))
    }

    /// A number in a range, uniformly.
    pub fn between(&mut self, range: [f64; 2]) -> f64 {
        range[0] + (range[1] - range[0]) * self.fraction()
    }

    /// An exponentially distributed number of this mean.
    pub fn exp(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.fraction()).ln()
    }

    /// Puts items in a random order.
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
