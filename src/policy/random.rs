//! Random numbers of one placer, and a hash that is equal at all placers.

use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};

/// Hashes a number with a finalizer as in SplitMix64. Every placer gets the same result, so placers agree on
/// pseudo-random choices without exchanging messages.
pub(super) fn mix_bits(x: u64) -> u64 {
    let mixed = x.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (mixed ^ (mixed >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9) ^ (mixed >> 32)
}

/// A seeded generator of uniform random numbers; the same seed gives the same sequence.
pub(super) struct UniformRng {
    generator: Pcg64Mcg,
}

impl UniformRng {
    pub(super) fn new(seed: u64) -> UniformRng {
        UniformRng {
            generator: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// A random number in [0, 1).
    pub(super) fn fraction(&mut self) -> f64 {
        (self.generator.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// A random index into a list of `len` items.
    pub(super) fn index(&mut self, len: usize) -> usize {
        ((self.fraction() * len as f64) as usize).min(len.saturating_sub(1))
    }
}
