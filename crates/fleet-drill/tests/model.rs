//! The fleet's hard cases in the model.

use maplethread_fleet::{Notice, State};
use maplethread_fleet_drill::model::{MS, Model, S};

fn settled(model: &mut Model, within: u64) -> u64 {
    let places = model.places();
    let took = model.settles(&places, within);
    took.unwrap_or_else(|| panic!("not settled within {within} us:\n{}", model.differences(&places)))
}

#[test]
fn fleets_of_one_two_and_fifty_settle_after_a_join() {
    for count in [1, 2, 3, 16, 50] {
        let mut model = Model::new(count as u64);
        model.start_all(count);
        let took = settled(&mut model, 10 * S);
        assert!(took <= 6 * S, "{count}: {took}");
        assert_eq!(model.seen().false_alarms, 0);
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
        model.seen().clone()
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
        while model.places().iter().any(|&p| model.fleet(p).state_of("p-5").is_some_and(State::live)) {
            model.run(50 * MS);
            waited += 50 * MS;
            assert!(waited < 25 * S, "loss {loss}: {}", model.differences(&model.places()));
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
    assert_eq!(model.seen().false_alarms, 0);
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
            assert!(model.settled(part), "{}", model.differences(part));
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
    assert!(model.seen().false_alarms <= 16, "{:?}", model.seen().false_alarms);
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
    assert!((4..12).all(|p| model.fleet(p).state_of("p-1") == Some(State::Down)));
    let before = model.seen().false_alarms;
    model.run(2 * S);
    let took = settled(&mut model, 30 * S);
    assert!(took < 15 * S, "{took}");
    assert_eq!(model.seen().false_alarms, before, "they woke and called running members down");
    let stood = model.seen().notices.iter().filter(|(_, n)| matches!(n, Notice::StoodStill { .. })).count();
    assert!(stood >= 4, "{:?}", model.seen().notices);
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
    assert_eq!(model.seen().false_alarms, 0);
}

#[test]
fn a_restart_replaces_the_earlier_life_at_the_same_and_at_another_address() {
    let mut model = Model::new(6);
    model.start_all(8);
    settled(&mut model, 10 * S);
    model.kill(3);
    model.run(500 * MS);
    model.start(3, 3);
    assert!(settled(&mut model, 10 * S) <= 5 * S);
    model.kill(4);
    model.start(4, 20);
    assert!(settled(&mut model, 10 * S) <= 5 * S);
    // Its old address is another member's now.
    model.start(9, 4);
    assert!(settled(&mut model, 10 * S) <= 5 * S);
    assert_eq!(model.seen().false_alarms, 0);
}

#[test]
fn a_wall_clock_an_hour_back_keeps_nobody_out() {
    let mut model = Model::new(7);
    model.start_all(8);
    settled(&mut model, 10 * S);
    model.kill(3);
    model.start_with(3, 3, -3_600_000, 1.0);
    settled(&mut model, 20 * S);
    // At another address it can't know whether the later life still runs, and waits until that is shown.
    model.kill(5);
    model.start_with(5, 30, -3_600_000, 1.0);
    settled(&mut model, 40 * S);
    model.kill(6);
    model.start_with(6, 6, 3_600_000, 1.0);
    settled(&mut model, 20 * S);
}

#[test]
fn clocks_that_run_a_tenth_fast_or_slow_alarm_nobody() {
    let mut model = Model::new(8);
    for n in 0..12 {
        model.start_with(n, n, 0, [0.9, 1.0, 1.1][n % 3]);
    }
    settled(&mut model, 10 * S);
    model.run(300 * S);
    assert_eq!(model.seen().false_alarms, 0);
}

#[test]
fn two_live_processes_of_one_name_are_both_told_and_no_view_flaps() {
    let mut model = Model::new(9);
    model.start_all(8);
    settled(&mut model, 10 * S);
    // A second one of p-3, elsewhere.
    model.start(3, 40);
    model.run(10 * S);
    let told = |model: &Model, what: fn(&Notice) -> bool| {
        model.seen().notices.iter().filter(|(n, notice)| n == "p-3" && what(notice)).count()
    };
    assert_eq!(told(&model, |n| matches!(n, Notice::Displaced { .. })), 1, "{:?}", model.seen().notices);
    assert_eq!(told(&model, |n| matches!(n, Notice::Claimed { .. })), 1, "{:?}", model.seen().notices);
    let views = |model: &Model| -> Vec<u64> {
        model.places().iter().filter(|&&p| p != 3).map(|&p| model.fleet(p).view(0).version).collect()
    };
    let before = views(&model);
    model.run(60 * S);
    assert_eq!(views(&model), before, "views go on changing");
    let others: Vec<usize> = model.places().into_iter().filter(|&p| p != 3).collect();
    assert!(model.settled(&others), "{}", model.differences(&model.places()));
    assert!(model.view(40).claimed_by.is_some() && model.view(3).displaced_by.is_some());
    model.kill(3);
    model.run(15 * S);
    assert_eq!(model.view(40).claimed_by, None, "the one that claimed it is gone");
    model.start_with(3, 3, -600_000, 1.0);
    model.run(5 * S);
    assert!(model.view(40).claimed_by.is_some() && model.view(3).displaced_by.is_some());
    // The later one ends: the earlier one has its name back.
    model.watching = false;
    model.kill(40);
    settled(&mut model, 40 * S);
    assert_eq!(told(&model, |n| matches!(n, Notice::Reinstated)), 1);
}

#[test]
fn one_that_leaves_has_left_and_old_news_do_not_bring_it_back() {
    let mut model = Model::new(10);
    model.network.default_link.late = 0.05;
    model.start_all(10);
    settled(&mut model, 10 * S);
    model.leave(4);
    assert!(settled(&mut model, 10 * S) <= 5 * S);
    assert!(model.places().iter().all(|&p| model.fleet(p).state_of("p-4") == Some(State::Left)));
    for _ in 0..90 {
        model.run(S);
        let back = model.places().iter().any(|&p| model.fleet(p).state_of("p-4").is_some_and(State::live));
        assert!(!back, "datagrams a minute late brought it back");
    }
}

#[test]
fn datagrams_of_lives_that_are_over_renew_nobody() {
    let mut model = Model::new(21);
    model.start_all(8);
    settled(&mut model, 10 * S);
    model.watching = false;
    model.network.partition(&[(0..4).collect(), (4..8).collect()]);
    model.run(20 * S);
    // Both halves renew as they meet; a tenth of what they say then comes much later.
    model.network.heal();
    (model.network.default_link.late, model.network.default_link.late_by) = (0.1, 15 * S);
    model.run(6 * S);
    model.network.default_link.late = 0.0;
    settled(&mut model, 10 * S);
    let renewed = |model: &Model| {
        model.seen().notices.iter().filter(|(_, n)| matches!(n, Notice::Renewed { .. })).count()
    };
    let before = renewed(&model);
    assert!((4..=24).contains(&before), "{before}");
    model.run(30 * S);
    assert_eq!(renewed(&model), before, "late datagrams had members renewed");
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
    assert_eq!(model.seen().false_alarms, 0, "others reach them");
    model.network.heal();
    for n in 3..12 {
        model.network.cut(n, 0);
        model.network.cut(0, n);
    }
    model.run(60 * S);
    assert!(model.seen().false_alarms <= 12, "{}", model.seen().false_alarms);
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
    assert!(model.settled(&rest), "{}", model.differences(&rest));
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
    assert_eq!(model.seen().false_alarms, 0);
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
    assert!(model.settles(&model.places(), 5 * S).is_none(), "nobody is a seed there");
    model.kill(90);
    model.seeds = vec![7];
    model.start(0, 91);
    settled(&mut model, 20 * S);
}

#[test]
fn keys_are_changed_under_way_and_strangers_change_nothing() {
    let other = "ffeeddccbbaa99887766554433221100ffeeddccbbaa99887766554433221100";
    let both = |first: &str, second: &str| {
        maplethread_fleet_drill::model::keys(&format!("{first}\n# the one before or after\n{second}\n"))
    };
    let old = maplethread_fleet_drill::model::KEY;
    let mut model = Model::new(15);
    model.record = true;
    model.start_all(8);
    settled(&mut model, 10 * S);
    model.record = false;
    let recorded = model.recorded.clone();
    for step in [both(old, other), both(other, old), maplethread_fleet_drill::model::keys(other)] {
        for place in model.places() {
            model.rekey(place, step.clone());
            model.run(2 * S);
        }
    }
    assert_eq!(model.seen().false_alarms, 0);
    settled(&mut model, S);
    // What was sealed with the old key, garbage of all lengths, and a cut or longer datagram.
    let version = model.fleet(0).view(0).version;
    for (to, bytes) in recorded.iter().take(200) {
        model.inject(*to, bytes.clone());
    }
    for length in [0, 1, 16, 17, 18, 40, 600, 1200, 1201, 9000] {
        let bytes = model.garbage(length);
        model.inject(0, bytes);
    }
    model.run(S);
    let counters = model.fleet(0).view(0).counters;
    assert!(counters.unauthenticated >= 5 && counters.foreign >= 3 && counters.oversize == 2, "{counters:?}");
    assert_eq!(model.fleet(0).view(0).version, version);
}

#[test]
fn a_datagram_that_is_changed_anywhere_or_cut_is_not_taken() {
    let mut model = Model::new(20);
    model.record = true;
    model.start_all(4);
    settled(&mut model, 10 * S);
    model.run(5 * S);
    model.record = false;
    let last = model.recorded.iter().rev().find(|(to, bytes)| *to == 1 && bytes.len() > 60);
    let sound = last.expect("something came").1.clone();
    let taken = |model: &Model| model.fleet(1).view(0).counters.unauthenticated;
    let before = taken(&model);
    for at in 1..sound.len() {
        let mut forged = sound.clone();
        forged[at] ^= 1 << (at % 8);
        model.inject(1, forged);
        model.inject(1, sound[..at].to_vec());
    }
    model.run(MS);
    let lengths = sound.len() as u64;
    // Those cut to less than a tag are no datagrams at all.
    assert!(taken(&model) - before >= 2 * (lengths - 1) - 17, "{} of {lengths}", taken(&model) - before);
    assert!(model.settled(&model.places()), "{}", model.differences(&model.places()));
}

#[test]
fn recorded_datagrams_of_an_earlier_life_bring_nothing_back() {
    let mut model = Model::new(16);
    model.pace.forget_after = std::time::Duration::from_secs(20);
    model.record = true;
    model.start_all(8);
    settled(&mut model, 10 * S);
    model.run(5 * S);
    let recorded = std::mem::take(&mut model.recorded);
    model.record = false;
    model.kill(5);
    settled(&mut model, 30 * S);
    model.run(30 * S);
    assert!(model.places().iter().all(|&p| model.fleet(p).state_of("p-5").is_none()), "forgotten");
    for (to, bytes) in recorded.iter().filter(|(to, _)| *to != 5) {
        model.inject(*to, bytes.clone());
    }
    for _ in 0..20 {
        model.run(500 * MS);
        let back = model.places().iter().any(|&p| model.fleet(p).state_of("p-5").is_some());
        assert!(!back, "a recorded datagram brought it back: {}", model.differences(&model.places()));
    }
    assert_eq!(model.seen().false_alarms, 0);
}

#[test]
fn a_full_table_takes_in_no_more_and_says_so() {
    let mut model = Model::new(17);
    model.pace.most = 8;
    model.start_all(14);
    model.run(30 * S);
    for place in model.places() {
        let view = model.fleet(place).view(0);
        assert!(view.members.len() <= 8, "{}", view.members.len());
    }
    assert!(model.fleet(0).view(0).counters.full > 0);
}

#[test]
fn what_members_say_of_themselves_is_seen_by_all() {
    let mut model = Model::new(18);
    model.network.default_link.loss = 0.1;
    model.start_all(10);
    settled(&mut model, 20 * S);
    let mut facts = maplethread_fleet_drill::model::facts(1);
    facts.version = "v".repeat(32).try_into().expect("it fits");
    facts.zone = "z".repeat(32).try_into().expect("it fits");
    (facts.draining, facts.number, facts.load) = (true, Some(u32::MAX), 255);
    model.tell(4, facts.clone());
    settled(&mut model, 20 * S);
    for place in model.places().into_iter().filter(|&p| p != 4) {
        let view = model.fleet(place).view(0);
        let seen = view.members.iter().find(|m| m.name == "p-4").and_then(|m| m.facts.clone());
        assert_eq!(seen.as_ref(), Some(&facts));
    }
}

#[test]
fn nothing_grows_with_what_is_gone() {
    let mut model = Model::new(19);
    model.pace.forget_after = std::time::Duration::from_secs(10);
    model.start_all(4);
    settled(&mut model, 10 * S);
    for n in 0..60 {
        model.start(100 + n, 100 + n);
        model.run(2 * S);
        model.kill(100 + n);
        model.run(2 * S);
    }
    model.run(60 * S);
    let held = model.fleet(0).held();
    assert!(held <= 4 * 4 + 64, "{held}");
    settled(&mut model, S);
}
