//! Random schedules of faults in the model: after the faults all live members have the same view, without departed
//! members.
//! `cargo run --release -p maplethread-fault-injection --example random_schedules -- 0 1000` runs more of them.

use maplethread_fault_injection::random_schedule::run_random_schedule;

fn assert_all_settle(seeds: impl Iterator<Item = u64>) {
    for seed in seeds {
        let result = run_random_schedule(seed);
        assert!(
            result.failure.is_none(),
            "{}",
            result.failure.unwrap_or_default()
        );
        // Up to four table entries for each member that ever existed, and the addresses of departed ones.
        assert!(
            result.max_entries < 200,
            "seed {seed}: {} table entries",
            result.max_entries
        );
    }
}

#[test]
fn regression_seeds_settle() {
    // With these seeds a suspicion that never reached the suspect itself stayed forever, and facts of a generation with
    // a later clock outlived it.
    assert_all_settle([55, 313, 12_437].into_iter());
}

#[test]
fn random_schedules_from_1000_settle() {
    assert_all_settle(1000..1050);
}

#[test]
fn random_schedules_from_2000_settle() {
    assert_all_settle(2000..2050);
}

#[test]
fn random_schedules_from_3000_settle() {
    assert_all_settle(3000..3050);
}

#[test]
fn random_schedules_from_4000_settle() {
    assert_all_settle(4000..4050);
}
