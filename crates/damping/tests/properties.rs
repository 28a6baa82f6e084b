//! Properties that hold for any sequence of reports.

use maplethread_damping::{DampingPolicy, FlapDamping};
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, ..ProptestConfig::default() })]

    /// A bad report takes effect at once, a host counts as good only if its last report was good, and no report is
    /// suppressed for longer than nine seconds.
    #[test]
    fn bad_reports_take_effect_at_once_and_suppression_is_bounded(seed in any::<u64>(), reports in proptest::collection::vec((0u8..4, any::<bool>(), 0u64..3_000_000), 1..200)) {
        let mut damping = FlapDamping::new(DampingPolicy::Penalty, 16, seed);
        let mut last = [true; 4];
        let mut now = 0;
        for (host, good, after) in reports {
            now += after;
            for released in damping.release_due(now) {
                prop_assert!(last[usize::from(released)], "a host whose last report was bad was released");
            }
            let counts_as_good = damping.observe(now, &host, good);
            prop_assert!(good || !counts_as_good, "a bad report did not take effect");
            last[usize::from(host)] = good;
            prop_assert!(damping.next_release().is_none_or(|until| until <= now + 9_000_001));
        }
        // After a last good report of every host, all of them count as good within the bound.
        for host in 0..4 {
            damping.observe(now, &host, true);
        }
        damping.release_due(now + 9_000_001);
        prop_assert_eq!(damping.suppressed_count(), 0);
    }
}
