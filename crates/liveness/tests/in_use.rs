//! Hosts in use: silence is final no later than with fixed heartbeats, and traffic stands for them.

mod support;

use maplethread_liveness::Micros;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use support::{Answers, Fixed, Fleet, MS, SECOND, SETTINGS};

const HOST: u32 = 7;

/// A host in use that is heard at these times and says nothing from then on: when it is cut off, and after how many
/// heartbeats.
fn adaptive(traffic: &[Micros], answer_after: Micros, silent_from: Micros) -> (Micros, usize) {
    let mut fleet = Fleet::new(SETTINGS);
    fleet.greet(HOST);
    fleet.answers(HOST..HOST + 1, Answers::After(answer_after));
    for &at in traffic.iter().filter(|&&at| at < silent_from) {
        fleet.run_until(at);
        fleet.traffic(HOST);
    }
    fleet.run_until(silent_from - 1);
    fleet.answers(HOST..HOST + 1, Answers::Never);
    fleet.run_until(silent_from + 20 * SECOND);
    let cut_off = fleet.cut_off_at(HOST).expect("a silent host is cut off");
    (cut_off, fleet.heartbeats.len())
}

#[test]
fn a_silent_host_is_cut_off_no_later_than_with_fixed_heartbeats() {
    let (mut saved, mut later_by_fixed) = (0, 0);
    for seed in 0..500 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut below = |n: u64| rng.next_u64() % n;
        let silent_from = 5 * SECOND + below(10 * SECOND);
        // From a frame every 50 ms to one in twenty seconds.
        let mean = (50 * MS) << below(9);
        let mut traffic = Vec::new();
        let mut at = 0;
        while at < silent_from {
            at += 1 + below(2 * mean);
            traffic.push(at);
        }
        let answer_after = 1 + below(300 * MS);
        let mut fixed = Fixed::greeted(0);
        let before = fixed.cut_off_at(&traffic, answer_after, silent_from);
        let (now, heartbeats) = adaptive(&traffic, answer_after, silent_from);
        assert!(
            now <= before,
            "seed {seed}: cut off at {now}, {before} with fixed heartbeats"
        );
        assert!(heartbeats <= fixed.heartbeats, "seed {seed}");
        saved += fixed.heartbeats - heartbeats;
        later_by_fixed += usize::from(before > now);
    }
    assert!(saved > 1000, "traffic stood for {saved} heartbeats only");
    println!("{saved} heartbeats saved, {later_by_fixed} of 500 cut off sooner");
}

#[test]
fn without_traffic_heartbeats_and_cut_are_those_of_fixed_heartbeats() {
    for silent_from in [
        5 * SECOND,
        5 * SECOND + 1,
        5 * SECOND + 400 * MS,
        6 * SECOND - 1,
    ] {
        let mut fixed = Fixed::greeted(0);
        let before = fixed.cut_off_at(&[], 5 * MS, silent_from);
        assert_eq!(adaptive(&[], 5 * MS, silent_from).0, before);
    }
}

#[test]
fn no_heartbeat_is_sent_where_something_was_heard_within_the_period() {
    let mut fleet = Fleet::new(SETTINGS);
    fleet.greet(HOST);
    for n in 1..40 {
        fleet.run_until(n * 900 * MS);
        fleet.traffic(HOST);
    }
    assert_eq!(fleet.heartbeats, []);
    // Its traffic ends: a heartbeat at the first tick that is a period later.
    let last = fleet.now;
    fleet.run_until(last + 2 * SECOND);
    let first = fleet.heartbeats.first().expect("a heartbeat").0;
    assert!(
        first >= last + SECOND && first < last + 2 * SECOND,
        "{} us after",
        first - last
    );
}

#[test]
fn an_idle_host_that_died_is_found_after_an_offer_as_soon_as_one_in_use() {
    for waited in [0, 700 * MS, 5 * SECOND, 30 * SECOND] {
        let mut fleet = Fleet::all_idle(SETTINGS, 1300);
        fleet.run_until(SECOND / 2);
        fleet.answers(1299..1300, Answers::Never);
        fleet.run_until(fleet.now + waited);
        let offered = fleet.now;
        fleet.liveness.use_begins(offered, 1299);
        fleet.run_until(offered + 10 * SECOND);
        let cut_off = fleet.cut_off_at(1299).expect("cut off");
        let after = cut_off - offered;
        assert!(
            after <= SETTINGS.silent_after + SETTINGS.ping_every,
            "{after} us after the offer"
        );
        assert!(
            fleet.heartbeats_to(1299, offered).len() >= 2,
            "it is pinged before"
        );
    }
}

#[test]
fn an_offer_that_is_given_up_does_not_end_the_wait_for_a_sign_of_life() {
    let mut fleet = Fleet::all_idle(SETTINGS, 1300);
    fleet.answers(1299..1300, Answers::Never);
    fleet.run_until(2 * SECOND);
    // Three offers of 300 ms each, one after the other.
    for _ in 0..3 {
        fleet.liveness.use_begins(fleet.now, 1299);
        fleet.run_until(fleet.now + 300 * MS);
        fleet.liveness.use_ends(1299);
    }
    fleet.run_until(20 * SECOND);
    assert_eq!(
        fleet.cut_off_at(1299),
        Some(2 * SECOND + SETTINGS.silent_after)
    );
}

#[test]
fn a_host_falls_back_to_the_fast_period_in_use_and_slows_down_again() {
    let mut fleet = Fleet::all_idle(SETTINGS, 1300);
    fleet.run_until(100 * SECOND);
    for round in 0..3 {
        let offered = fleet.now;
        fleet.liveness.use_begins(offered, HOST);
        fleet.run_until(offered + 10 * MS);
        fleet.traffic(HOST);
        fleet.run_until(offered + 20 * SECOND);
        let fast = fleet.heartbeats_to(HOST, offered);
        assert!(
            fast.len() >= 18,
            "round {round}: {} heartbeats in 20 s of use",
            fast.len()
        );
        fleet.liveness.use_ends(HOST);
        let idle_since = fleet.now;
        fleet.run_until(idle_since + 64 * SECOND);
        let slow = fleet.heartbeats_to(HOST, idle_since).len();
        assert!(
            (1..=3).contains(&slow),
            "round {round}: {slow} heartbeats in 64 s of rest"
        );
    }
    assert_eq!(fleet.cut_off, []);
}

#[test]
fn a_standstill_of_the_placer_cuts_nobody_off() {
    let mut fleet = Fleet::all_idle(SETTINGS, 1300);
    for host in 0..650 {
        fleet.liveness.use_begins(fleet.now, host);
        fleet.traffic(host);
    }
    fleet.run_until(20 * SECOND + 300 * MS);
    fleet.stands_still(10 * SECOND);
    fleet.run_until(60 * SECOND);
    assert_eq!(fleet.cut_off, []);
}
