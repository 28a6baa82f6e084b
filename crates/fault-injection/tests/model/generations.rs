//! Generations of one member name: restarts, wrong clocks, name conflicts, departures and datagrams of ended
//! generations.

use maplethread_fault_injection::model::{MS, Model, S};
use maplethread_membership::{MemberState, Notice};

use crate::settle_time;

#[test]
fn restart_replaces_earlier_generation_at_same_or_other_address() {
    let mut model = Model::new(6);
    model.start_all(8);
    settle_time(&mut model, 10 * S);
    model.kill(3);
    model.run(500 * MS);
    model.start(3, 3);
    assert!(settle_time(&mut model, 10 * S) <= 5 * S);
    model.kill(4);
    model.start(4, 20);
    assert!(settle_time(&mut model, 10 * S) <= 5 * S);
    // Its previous address now belongs to another member.
    model.start(9, 4);
    assert!(settle_time(&mut model, 10 * S) <= 5 * S);
    assert_eq!(model.statistics().false_alarms, 0);
}

#[test]
fn member_with_clock_one_hour_behind_still_joins() {
    let mut model = Model::new(7);
    model.start_all(8);
    settle_time(&mut model, 10 * S);
    model.kill(3);
    model.start_with(3, 3, -3_600_000, 1.0);
    settle_time(&mut model, 20 * S);
    // At another address it cannot determine whether the later generation still runs, and waits until that is declared
    // down.
    model.kill(5);
    model.start_with(5, 30, -3_600_000, 1.0);
    settle_time(&mut model, 40 * S);
    model.kill(6);
    model.start_with(6, 6, 3_600_000, 1.0);
    settle_time(&mut model, 20 * S);
}

#[test]
fn name_conflict_is_reported_to_both_and_views_stay_stable() {
    let mut model = Model::new(9);
    model.start_all(8);
    settle_time(&mut model, 10 * S);
    // A second member named p-3, at another address.
    model.start(3, 40);
    model.run(10 * S);
    let notice_count = |model: &Model, what: fn(&Notice) -> bool| {
        model
            .statistics()
            .notices
            .iter()
            .filter(|(n, notice)| n == "p-3" && what(notice))
            .count()
    };
    assert_eq!(
        notice_count(&model, |n| matches!(n, Notice::Displaced { .. })),
        1,
        "{:?}",
        model.statistics().notices
    );
    assert_eq!(
        notice_count(&model, |n| matches!(n, Notice::Claimed { .. })),
        1,
        "{:?}",
        model.statistics().notices
    );
    let views = |model: &Model| -> Vec<u64> {
        model
            .nodes()
            .iter()
            .filter(|&&p| p != 3)
            .map(|&p| model.local_member(p).view(0).version)
            .collect()
    };
    let before = views(&model);
    model.run(60 * S);
    assert_eq!(views(&model), before, "views keep changing");
    let others: Vec<usize> = model.nodes().into_iter().filter(|&p| p != 3).collect();
    assert!(
        model.is_settled(&others),
        "{}",
        model.describe_differences(&model.nodes())
    );
    assert!(model.view(40).claimed_by.is_some() && model.view(3).displaced_by.is_some());
    model.kill(3);
    model.run(15 * S);
    assert_eq!(
        model.view(40).claimed_by,
        None,
        "the member that claimed the name is gone"
    );
    model.start_with(3, 3, -600_000, 1.0);
    model.run(5 * S);
    assert!(model.view(40).claimed_by.is_some() && model.view(3).displaced_by.is_some());
    // The later generation ends, and the earlier one gets its name back.
    model.counts_false_alarms = false;
    model.kill(40);
    settle_time(&mut model, 40 * S);
    assert_eq!(notice_count(&model, |n| matches!(n, Notice::Reinstated)), 1);
}

#[test]
fn left_member_is_not_revived_by_old_updates() {
    let mut model = Model::new(10);
    model.network.default_link.late_probability = 0.05;
    model.start_all(10);
    settle_time(&mut model, 10 * S);
    model.leave(4);
    assert!(settle_time(&mut model, 10 * S) <= 5 * S);
    assert!(
        model
            .nodes()
            .iter()
            .all(|&p| model.local_member(p).state_of("p-4") == Some(MemberState::Left))
    );
    for _ in 0..90 {
        model.run(S);
        let is_known_again = model.nodes().iter().any(|&p| {
            model
                .local_member(p)
                .state_of("p-4")
                .is_some_and(MemberState::is_live)
        });
        assert!(
            !is_known_again,
            "a datagram that was a minute late revived the member"
        );
    }
}

#[test]
fn datagrams_of_ended_generations_revive_nobody() {
    let mut model = Model::new(21);
    model.start_all(8);
    settle_time(&mut model, 10 * S);
    model.counts_false_alarms = false;
    model
        .network
        .partition(&[(0..4).collect(), (4..8).collect()]);
    model.run(20 * S);
    // Members of both halves renew as the partition heals; a tenth of the datagrams then arrives 15 s late.
    model.network.heal();
    (
        model.network.default_link.late_probability,
        model.network.default_link.late_delay,
    ) = (0.1, 15 * S);
    model.run(6 * S);
    model.network.default_link.late_probability = 0.0;
    settle_time(&mut model, 10 * S);
    let renewed = |model: &Model| {
        model
            .statistics()
            .notices
            .iter()
            .filter(|(_, n)| matches!(n, Notice::Renewed { .. }))
            .count()
    };
    let before = renewed(&model);
    assert!((4..=24).contains(&before), "{before}");
    model.run(30 * S);
    assert_eq!(renewed(&model), before, "late datagrams caused renewals");
}

#[test]
fn replayed_datagrams_of_earlier_generation_revive_nothing() {
    let mut model = Model::new(16);
    model.timing.removal_delay = std::time::Duration::from_secs(20);
    model.is_recording = true;
    model.start_all(8);
    settle_time(&mut model, 10 * S);
    model.run(5 * S);
    let recorded = std::mem::take(&mut model.recorded_datagrams);
    model.is_recording = false;
    model.kill(5);
    settle_time(&mut model, 30 * S);
    model.run(30 * S);
    assert!(
        model
            .nodes()
            .iter()
            .all(|&p| model.local_member(p).state_of("p-5").is_none()),
        "the member is removed from memory"
    );
    for (to, bytes) in recorded.iter().filter(|(to, _)| *to != 5) {
        model.inject(*to, bytes.clone());
    }
    for _ in 0..20 {
        model.run(500 * MS);
        let is_known_again = model
            .nodes()
            .iter()
            .any(|&p| model.local_member(p).state_of("p-5").is_some());
        assert!(
            !is_known_again,
            "a replayed datagram revived the member: {}",
            model.describe_differences(&model.nodes())
        );
    }
    assert_eq!(model.statistics().false_alarms, 0);
}
