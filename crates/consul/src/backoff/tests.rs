//! The waits between failed calls.

use super::*;
use rand_pcg::rand_core::SeedableRng;

#[test]
fn backoff_doubles_up_to_its_bound_with_jitter() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut off = Backoff::default();
    let waits: Vec<Micros> = (0..10).map(|_| off.next_wait(&mut rng)).collect();
    assert!((50_000..100_000).contains(&waits[0]));
    assert!(
        waits.iter().all(|&w| w < 3_000_000) && waits[9] >= 1_500_000,
        "{waits:?}"
    );
    off.reset();
    assert!(off.next_wait(&mut rng) < 100_000);
}
