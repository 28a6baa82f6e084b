//! Delays between failed calls.

use super::*;
use rand_pcg::rand_core::SeedableRng;

#[test]
fn delay_doubles_up_to_its_maximum_with_jitter() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut backoff = Backoff::default();
    let delays: Vec<Micros> = (0..10).map(|_| backoff.next_delay(&mut rng)).collect();
    assert!((50_000..100_000).contains(&delays[0]));
    assert!(
        delays.iter().all(|&w| w < 3_000_000) && delays[9] >= 1_500_000,
        "{delays:?}"
    );
    backoff.reset();
    assert!(backoff.next_delay(&mut rng) < 100_000);
}
