//! What holds for every course of news.

use maplethread_damping::{DampingPolicy, FlapDamping};
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, ..ProptestConfig::default() })]

    /// Bad news counts at once, a host counts as good only if the last news was good, and no wait is longer than
    /// nine seconds.
    #[test]
    fn losses_count_at_once_and_holds_are_bounded(seed in any::<u64>(), news in proptest::collection::vec((0u8..4, any::<bool>(), 0u64..3_000_000), 1..200)) {
        let mut damping = FlapDamping::new(DampingPolicy::Penalty, 16, seed);
        let mut last = [true; 4];
        let mut now = 0;
        for (host, good, after) in news {
            now += after;
            for released in damping.release_due(now) {
                prop_assert!(last[usize::from(released)], "released while bad");
            }
            let counts = damping.observe(now, &host, good);
            prop_assert!(good || !counts, "bad news was held back");
            last[usize::from(host)] = good;
            prop_assert!(damping.next_release().is_none_or(|until| until <= now + 9_000_001));
        }
        // All settled and good: within the bound all count.
        for host in 0..4 {
            damping.observe(now, &host, true);
        }
        damping.release_due(now + 9_000_001);
        prop_assert_eq!(damping.suppressed_count(), 0);
    }
}
