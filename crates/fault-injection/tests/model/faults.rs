//! Crashes, partitions, loss, pauses and one-way cuts: who is called down, and how soon all agree.

use maplethread_fault_injection::model::{MS, Model, S};
use maplethread_membership::{MemberState, Notice};

use crate::settled;

#[test]
fn fleets_of_one_two_and_fifty_settle_after_a_join() {
    for count in [1, 2, 3, 16, 50] {
        let mut model = Model::new(count as u64);
        model.start_all(count);
        let took = settled(&mut model, 10 * S);
        assert!(took <= 6 * S, "{count}: {took}");
        assert_eq!(model.statistics().false_alarms, 0);
    }
}

#[test]
fn equal_seeds_give_equal_runs() {
    let run = |seed| {
        let mut model = Model::new(seed);
        model.network.default_link.loss = 0.1;
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
fn a_crash_is_seen_by_all_within_the_bound_also_under_loss() {
    for (seed, loss) in [(1, 0.0), (2, 0.05), (3, 0.2), (4, 0.2)] {
        let mut model = Model::new(seed);
        model.network.default_link.loss = loss;
        model.start_all(16);
        settled(&mut model, 30 * S);
        model.kill(5);
        let mut waited = 0;
        while model.places().iter().any(|&p| {
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
                model.differences(&model.places())
            );
        }
    }
}

#[test]
fn half_of_sixteen_killed_at_once_are_down_and_the_rest_agree() {
    let mut model = Model::new(1);
    model.start_all(16);
    settled(&mut model, 10 * S);
    (8..16).for_each(|p| model.kill(p));
    let took = settled(&mut model, 40 * S);
    assert!(took < 30 * S, "{took}");
    assert_eq!(model.statistics().false_alarms, 0);
}

#[test]
fn parts_settle_apart_and_find_each_other_also_after_they_forgot() {
    for (seed, forget) in [(1, 600), (2, 20)] {
        let mut model = Model::new(seed);
        model.pace.forget_after = std::time::Duration::from_secs(forget);
        model.start_all(16);
        settled(&mut model, 10 * S);
        model.watching = false;
        let parts = [(0..13).collect::<Vec<_>>(), vec![13, 14], vec![15]];
        model.network.partition(&parts);
        model.run(60 * S);
        for part in &parts {
            assert!(model.is_settled(part), "{}", model.differences(part));
        }
        model.run(30 * S);
        model.network.heal();
        let took = settled(&mut model, 60 * S);
        assert!(took < 40 * S, "forgotten after {forget} s: {took}");
    }
}

#[test]
fn a_loss_of_a_fifth_calls_next_to_nobody_down() {
    let mut model = Model::new(3);
    model.network.default_link.loss = 0.2;
    model.start_all(16);
    model.run(600 * S);
    assert!(
        model.statistics().false_alarms <= 16,
        "{:?}",
        model.statistics().false_alarms
    );
}

#[test]
fn one_that_stood_still_judges_nobody_and_is_back_everywhere() {
    let mut model = Model::new(4);
    model.start_all(12);
    settled(&mut model, 10 * S);
    for at in 0..4 {
        model.pause(at, 30 * S);
    }
    model.run(29 * S);
    assert!((4..12).all(|p| model.local_member(p).state_of("p-1") == Some(MemberState::Down)));
    let before = model.statistics().false_alarms;
    model.run(2 * S);
    let took = settled(&mut model, 30 * S);
    assert!(took < 15 * S, "{took}");
    assert_eq!(
        model.statistics().false_alarms,
        before,
        "they woke and called running members down"
    );
    let stood = model
        .statistics()
        .notices
        .iter()
        .filter(|(_, n)| matches!(n, Notice::StoodStill { .. }))
        .count();
    assert!(stood >= 4, "{:?}", model.statistics().notices);
}

#[test]
fn a_short_pause_is_not_called_down() {
    let mut model = Model::new(5);
    model.start_all(10);
    settled(&mut model, 10 * S);
    for at in [2, 4, 7] {
        model.pause(at, 3 * S);
        model.run(10 * S);
    }
    assert_eq!(model.statistics().false_alarms, 0);
}

#[test]
fn clocks_that_run_a_tenth_fast_or_slow_alarm_nobody() {
    let mut model = Model::new(8);
    for n in 0..12 {
        model.start_with(n, n, 0, [0.9, 1.0, 1.1][n % 3]);
    }
    settled(&mut model, 10 * S);
    model.run(300 * S);
    assert_eq!(model.statistics().false_alarms, 0);
}

#[test]
fn one_way_cuts_in_a_ring_and_one_that_only_some_can_reach() {
    let mut model = Model::new(11);
    model.start_all(12);
    settled(&mut model, 10 * S);
    for n in 0..12 {
        model.network.cut(n, (n + 1) % 12);
    }
    model.run(60 * S);
    assert_eq!(model.statistics().false_alarms, 0, "others reach them");
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
    settled(&mut model, 30 * S);
}

#[test]
fn one_that_hears_all_and_is_heard_by_none_is_down_and_comes_back() {
    let mut model = Model::new(12);
    model.start_all(8);
    settled(&mut model, 10 * S);
    model.watching = false;
    (0..7).for_each(|to| model.network.cut(7, to));
    let rest: Vec<usize> = (0..7).collect();
    model.run(40 * S);
    assert!(model.is_settled(&rest), "{}", model.differences(&rest));
    model.network.heal();
    settled(&mut model, 40 * S);
}

#[test]
fn a_link_that_flaps_each_second_alarms_nobody_for_long() {
    let mut model = Model::new(13);
    model.start_all(10);
    settled(&mut model, 10 * S);
    for _ in 0..30 {
        model.network.cut(1, 2);
        model.network.cut(2, 1);
        model.run(S);
        model.network.heal();
        model.run(S);
    }
    assert_eq!(model.statistics().false_alarms, 0);
    settled(&mut model, 10 * S);
}

#[test]
fn fifty_join_through_one_seed_that_then_dies_and_seeds_come_back_elsewhere() {
    let mut model = Model::new(14);
    model.start_all(2);
    settled(&mut model, 5 * S);
    (2..52).for_each(|n| model.start(n, n));
    model.run(S);
    model.kill(0);
    settled(&mut model, 30 * S);
    // All seeds are gone for long, and the seed's name comes back at another address.
    model.start(0, 90);
    assert!(
        model.settles(&model.places(), 5 * S).is_none(),
        "nobody is a seed there"
    );
    model.kill(90);
    model.seeds = vec![7];
    model.start(0, 91);
    settled(&mut model, 20 * S);
}
