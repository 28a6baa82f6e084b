//! Idle hosts: heartbeats of all of them within the rate, whatever happens, and a silent one found within the interval.

mod support;

use support::{Answers, Fleet, MS, SECOND, SETTINGS};

/// The rate, a turn that was late, and the window's two ends.
const MOST_IN_A_SECOND: usize = SETTINGS.max_idle_pings_per_s as usize + 2;

#[test]
fn heartbeats_of_idle_hosts_stay_within_the_rate_however_many_greet_at_once() {
    for hosts in [130, 400, 1300, 2600] {
        let mut fleet = Fleet::all_idle(SETTINGS, hosts);
        fleet.run_until(300 * SECOND);
        let most = fleet.most_in_a_second(0);
        assert!(
            most <= MOST_IN_A_SECOND,
            "{hosts} hosts: {most} heartbeats in a second"
        );
        let interval = fleet.liveness.idle_interval();
        for host in 0..hosts {
            let times = fleet.heartbeats_to(host, 0);
            let widest = times
                .windows(2)
                .map(|w| w[1] - w[0])
                .max()
                .expect("several");
            // The answer starts the interval.
            assert!(
                widest <= interval + 5 * MS,
                "{hosts} hosts: {widest} us without a heartbeat"
            );
            let closest = times
                .windows(2)
                .map(|w| w[1] - w[0])
                .min()
                .expect("several");
            assert!(closest >= SETTINGS.ping_every);
        }
        assert_eq!(fleet.cut_off, []);
    }
}

#[test]
fn few_idle_hosts_are_pinged_at_the_fast_period_and_very_many_at_the_longest_interval() {
    let fleet = Fleet::all_idle(SETTINGS, 1);
    assert_eq!(fleet.liveness.idle_interval(), SECOND + 25 * MS);
    let mut many = Fleet::all_idle(SETTINGS, 8192);
    assert!(many.liveness.idle_interval() <= SETTINGS.max_idle_interval);
    many.run_until(200 * SECOND);
    let pinged: std::collections::BTreeSet<u32> = many
        .heartbeats
        .iter()
        .filter(|(at, _)| *at <= SETTINGS.max_idle_interval)
        .map(|(_, host)| *host)
        .collect();
    assert_eq!(pinged.len(), 8192, "all within the longest interval");
    // 8192 hosts in 89 s.
    assert!(
        many.most_in_a_second(0) <= 95,
        "{}",
        many.most_in_a_second(0)
    );
}

#[test]
fn after_a_standstill_beside_1300_workers_idle_hosts_are_not_pinged_in_a_burst() {
    for before in [SECOND / 2, 5 * SECOND, 77 * SECOND] {
        let mut fleet = Fleet::all_idle(SETTINGS, 1300);
        fleet.run_until(before);
        fleet.stands_still(10 * SECOND);
        fleet.run_until(before + 100 * SECOND);
        assert!(
            fleet.most_in_a_second(0) <= MOST_IN_A_SECOND,
            "{} in a second",
            fleet.most_in_a_second(0)
        );
        assert_eq!(fleet.cut_off, []);
    }
}

#[test]
fn a_silent_idle_host_is_found_within_the_interval_and_the_silence_allowed() {
    for hosts in [130, 400, 1300, 2600] {
        for silent_from in [1, 10 * SECOND, 33 * SECOND + 7 * MS] {
            let mut fleet = Fleet::all_idle(SETTINGS, hosts);
            fleet.run_until(silent_from);
            let host = hosts / 2;
            fleet.answers(host..host + 1, Answers::Never);
            let most = fleet.liveness.idle_interval() + SETTINGS.silent_after;
            fleet.run_until(silent_from + most);
            assert!(
                fleet.cut_off_at(host).is_some(),
                "{hosts} hosts: not found {most} us after"
            );
            assert_eq!(fleet.cut_off.len(), 1);
        }
    }
}

#[test]
fn a_host_that_answers_late_is_pinged_at_the_fast_period_until_it_has_answered_all() {
    let mut fleet = Fleet::all_idle(SETTINGS, 1300);
    fleet.answers(0..1, Answers::After(2_500 * MS));
    fleet.run_until(10 * SECOND);
    let late = fleet.heartbeats_to(0, 0);
    assert!(late.len() >= 5, "{late:?}");
    assert!(
        late.windows(2).all(|w| w[1] - w[0] == SETTINGS.ping_every),
        "{late:?}"
    );
    fleet.answers(0..1, Answers::After(5 * MS));
    fleet.run_until(15 * SECOND);
    let since = fleet.now;
    fleet.run_until(since + 64 * SECOND);
    let slow = fleet.heartbeats_to(0, since).len();
    assert!(
        (1..=3).contains(&slow),
        "{slow} heartbeats in 64 s once it answers in time"
    );
    assert_eq!(fleet.cut_off, [], "late answers are signs of life");
}

#[test]
fn a_quarter_of_the_hosts_silent_in_one_instant_and_back_together() {
    let mut fleet = Fleet::all_idle(SETTINGS, 1300);
    fleet.run_until(50 * SECOND);
    fleet.answers(0..325, Answers::Never);
    let most = fleet.liveness.idle_interval() + SETTINGS.silent_after;
    fleet.run_until(50 * SECOND + most);
    assert_eq!(fleet.cut_off.len(), 325, "all of them and nobody else");
    // Each unanswered one is repeated at two ticks before the cut.
    let repeats = (SETTINGS.silent_after / SETTINGS.ping_every) as usize;
    assert!(fleet.most_in_a_second(0) <= MOST_IN_A_SECOND * repeats);
    fleet.greet_idle(0..325);
    let back = fleet.now;
    fleet.run_until(back + 100 * SECOND);
    assert!(
        fleet.most_in_a_second(back) <= MOST_IN_A_SECOND,
        "{}",
        fleet.most_in_a_second(back)
    );
    assert_eq!(fleet.cut_off.len(), 325);
}

#[test]
fn the_rate_holds_while_the_list_of_hosts_halves_and_doubles() {
    let mut fleet = Fleet::all_idle(SETTINGS, 1300);
    fleet.run_until(40 * SECOND);
    (0..650).for_each(|host| fleet.leaves(host));
    assert_eq!(fleet.liveness.idle_hosts(), 650);
    fleet.run_until(80 * SECOND);
    fleet.greet_idle(0..650);
    fleet.greet_idle(1300..2600);
    fleet.run_until(300 * SECOND);
    assert!(
        fleet.most_in_a_second(0) <= MOST_IN_A_SECOND,
        "{}",
        fleet.most_in_a_second(0)
    );
    let interval = fleet.liveness.idle_interval();
    for host in 0..2600 {
        let times = fleet.heartbeats_to(host, 150 * SECOND);
        assert!(
            times.windows(2).all(|w| w[1] - w[0] <= interval + 5 * MS),
            "host {host}"
        );
    }
}

#[test]
fn traffic_of_an_idle_host_stands_for_its_heartbeats() {
    let mut fleet = Fleet::all_idle(SETTINGS, 130);
    for n in 1..60 {
        fleet.run_until(n * SECOND);
        fleet.traffic(5);
    }
    assert_eq!(fleet.heartbeats_to(5, 0), []);
}

#[test]
fn silence_counts_for_a_heartbeat_that_could_not_be_sent() {
    let mut fleet = Fleet::new(SETTINGS);
    fleet.greet_idle(0..1);
    let turn = fleet.liveness.next().expect("a turn");
    assert_eq!(
        fleet.liveness.due(turn, false),
        [maplethread_liveness::Due::Heartbeat(0)]
    );
    fleet.liveness.heartbeat_not_sent(0);
    fleet.answers(0..1, Answers::Never);
    fleet.run_until(20 * SECOND);
    assert_eq!(fleet.cut_off_at(0), Some(turn + SETTINGS.silent_after));
}
