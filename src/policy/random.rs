//! Random draws of one placer, and a hash that all placers compute alike.

use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};

/// Mixes the bits of a number (a finalizer as in SplitMix64). Every placer gets the same result, so placers agree on
/// draws without exchanging messages.
pub(super) fn mix_bits(x: u64) -> u64 {
    let mixed = x.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (mixed ^ (mixed >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9) ^ (mixed >> 32)
}

/// Uniform draws from a seeded generator: the same seed gives the same draws.
pub(super) struct UniformSource {
    generator: Pcg64Mcg,
}

impl UniformSource {
    pub(super) fn new(seed: u64) -> UniformSource {
        UniformSource {
            generator: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// A number from 0 (included) to 1 (excluded).
    pub(super) fn fraction(&mut self) -> f64 {
        (self.generator.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// An index into a list of `len` items.
    pub(super) fn index(&mut self, len: usize) -> usize {
        ((self.fraction() * len as f64) as usize).min(len.saturating_sub(1))
    }
}
