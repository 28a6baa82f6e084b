//! Crashes, partitions, loss, pauses and one-way cuts: which members are declared down, and how soon all views agree.

use maplethread_fault_injection::model::{MS, Model, S};
use maplethread_membership::{MemberState, Notice};

use crate::settle_time;

#[test]
fn one_two_and_fifty_members_settle_after_join() {
    for count in [1, 2, 3, 16, 50] {
        let mut model = Model::new(count as u64);
        model.start_all(count);
        let settle_us = settle_time(&mut model, 10 * S);
        assert!(settle_us <= 6 * S, "{count}: {settle_us}");
        assert_eq!(model.statistics().false_alarms, 0);
    }
}

#[test]
fn equal_seeds_give_equal_runs() {
    let run = |seed| {
        let mut model = Model::new(seed);
        model.network.default_link.loss_probability = 0.1;
        model.start_all(20);
        model.run(20 * S);
        model.kill(3);
        model.run(20 * S);
        model.statistics().clone()
    };
    assert_eq!(run(7), run(7));
    assert_ne!(run(7), run(8));
}

#[test]
fn crash_is_detected_by_all_within_bound_also_under_loss() {
    for (seed, loss) in [(1, 0.0), (2, 0.05), (3, 0.2), (4, 0.2)] {
        let mut model = Model::new(seed);
        model.network.default_link.loss_probability = loss;
        model.start_all(16);
        settle_time(&mut model, 30 * S);
        model.kill(5);
        let mut waited = 0;
        while model.nodes().iter().any(|&p| {
            model
                .local_member(p)
                .state_of("p-5")
                .is_some_and(MemberState::is_live)
        }) {
            model.run(50 * MS);
            waited += 50 * MS;
            assert!(
                waited < 25 * S,
                "loss {loss}: {}",
                model.describe_differences(&model.nodes())
            );
        }
    }
}

#[test]
fn survivors_agree_after_half_of_sixteen_are_killed() {
    let mut model = Model::new(1);
    model.start_all(16);
    settle_time(&mut model, 10 * S);
    (8..16).for_each(|p| model.kill(p));
    let settle_us = settle_time(&mut model, 40 * S);
    assert!(settle_us < 30 * S, "{settle_us}");
    assert_eq!(model.statistics().false_alarms, 0);
}

#[test]
fn partitions_settle_separately_and_merge_even_after_forgetting() {
    for (seed, forget_after_s) in [(1, 600), (2, 20)] {
        let mut model = Model::new(seed);
        model.timing.removal_delay = std::time::Duration::from_secs(forget_after_s);
        model.start_all(16);
        settle_time(&mut model, 10 * S);
        model.counts_false_alarms = false;
        let parts = [(0..13).collect::<Vec<_>>(), vec![13, 14], vec![15]];
        model.network.partition(&parts);
        model.run(60 * S);
        for part in &parts {
            assert!(
                model.is_settled(part),
                "{}",
                model.describe_differences(part)
            );
        }
        model.run(30 * S);
        model.network.heal();
        let settle_us = settle_time(&mut model, 60 * S);
        assert!(
            settle_us < 40 * S,
            "forgotten after {forget_after_s} s: {settle_us}"
        );
    }
}

#[test]
fn twenty_percent_loss_causes_few_false_alarms() {
    let mut model = Model::new(3);
    model.network.default_link.loss_probability = 0.2;
    model.start_all(16);
    model.run(600 * S);
    assert!(
        model.statistics().false_alarms <= 16,
        "{:?}",
        model.statistics().false_alarms
    );
}

#[test]
fn paused_member_suspects_nobody_on_resume_and_rejoins() {
    let mut model = Model::new(4);
    model.start_all(12);
    settle_time(&mut model, 10 * S);
    for at in 0..4 {
        model.pause(at, 30 * S);
    }
    model.run(29 * S);
    assert!((4..12).all(|p| model.local_member(p).state_of("p-1") == Some(MemberState::Down)));
    let before = model.statistics().false_alarms;
    model.run(2 * S);
    let settle_us = settle_time(&mut model, 30 * S);
    assert!(settle_us < 15 * S, "{settle_us}");
    assert_eq!(
        model.statistics().false_alarms,
        before,
        "resumed members declared running members down"
    );
    let pause_notices = model
        .statistics()
        .notices
        .iter()
        .filter(|(_, n)| matches!(n, Notice::ProcessPaused { .. }))
        .count();
    assert!(pause_notices >= 4, "{:?}", model.statistics().notices);
}

#[test]
fn short_pause_is_not_declared_down() {
    let mut model = Model::new(5);
    model.start_all(10);
    settle_time(&mut model, 10 * S);
    for at in [2, 4, 7] {
        model.pause(at, 3 * S);
        model.run(10 * S);
    }
    assert_eq!(model.statistics().false_alarms, 0);
}

#[test]
fn ten_percent_clock_drift_causes_no_false_alarm() {
    let mut model = Model::new(8);
    for n in 0..12 {
        model.start_with(n, n, 0, [0.9, 1.0, 1.1][n % 3]);
    }
    settle_time(&mut model, 10 * S);
    model.run(300 * S);
    assert_eq!(model.statistics().false_alarms, 0);
}

#[test]
fn one_way_cuts_and_partial_reachability_cause_no_flapping() {
    let mut model = Model::new(11);
    model.start_all(12);
    settle_time(&mut model, 10 * S);
    for n in 0..12 {
        model.network.cut(n, (n + 1) % 12);
    }
    model.run(60 * S);
    assert_eq!(
        model.statistics().false_alarms,
        0,
        "other members reach them"
    );
    model.network.heal();
    for n in 3..12 {
        model.network.cut(n, 0);
        model.network.cut(0, n);
    }
    model.run(60 * S);
    assert!(
        model.statistics().false_alarms <= 12,
        "{}",
        model.statistics().false_alarms
    );
    model.network.heal();
    settle_time(&mut model, 30 * S);
}

#[test]
fn member_that_cannot_send_is_down_and_returns() {
    let mut model = Model::new(12);
    model.start_all(8);
    settle_time(&mut model, 10 * S);
    model.counts_false_alarms = false;
    (0..7).for_each(|to| model.network.cut(7, to));
    let others: Vec<usize> = (0..7).collect();
    model.run(40 * S);
    assert!(
        model.is_settled(&others),
        "{}",
        model.describe_differences(&others)
    );
    model.network.heal();
    settle_time(&mut model, 40 * S);
}

#[test]
fn flapping_link_causes_no_lasting_false_alarm() {
    let mut model = Model::new(13);
    model.start_all(10);
    settle_time(&mut model, 10 * S);
    for _ in 0..30 {
        model.network.cut(1, 2);
        model.network.cut(2, 1);
        model.run(S);
        model.network.heal();
        model.run(S);
    }
    assert_eq!(model.statistics().false_alarms, 0);
    settle_time(&mut model, 10 * S);
}

#[test]
fn fifty_members_survive_loss_and_return_of_their_only_seed() {
    let mut model = Model::new(14);
    model.start_all(2);
    settle_time(&mut model, 5 * S);
    (2..52).for_each(|n| model.start(n, n));
    model.run(S);
    model.kill(0);
    settle_time(&mut model, 30 * S);
    // The only seed has been gone for a while, and its name comes back at another address.
    model.start(0, 90);
    assert!(
        model.run_until_settled(&model.nodes(), 5 * S).is_none(),
        "it has no running seed and cannot join"
    );
    model.kill(90);
    model.seeds = vec![7];
    model.start(0, 91);
    settle_time(&mut model, 20 * S);
}
