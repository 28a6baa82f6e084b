//! Hosts in use: an unresponsive one is disconnected no later than with heartbeats at a fixed interval, and traffic
//! replaces heartbeats.

mod support;

use maplethread_liveness::Micros;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use support::{AnswerBehaviour, FixedHeartbeats, MS, SECOND, SETTINGS, SimulatedHosts};

const HOST: u32 = 7;

/// When a host in use is disconnected that sends traffic at these times and nothing from `unresponsive_from` on, and
/// the number of heartbeats sent to it.
fn run_adaptive(
    traffic: &[Micros],
    answer_after: Micros,
    unresponsive_from: Micros,
) -> (Micros, usize) {
    let mut fleet = SimulatedHosts::new(SETTINGS);
    fleet.greet(HOST);
    fleet.set_answers(HOST..HOST + 1, AnswerBehaviour::After(answer_after));
    for &at in traffic.iter().filter(|&&at| at < unresponsive_from) {
        fleet.run_until(at);
        fleet.receive_traffic(HOST);
    }
    fleet.run_until(unresponsive_from - 1);
    fleet.set_answers(HOST..HOST + 1, AnswerBehaviour::Never);
    fleet.run_until(unresponsive_from + 20 * SECOND);
    let disconnected_at = fleet
        .disconnected_at(HOST)
        .expect("an unresponsive host is disconnected");
    (disconnected_at, fleet.heartbeats.len())
}

#[test]
fn unresponsive_host_is_disconnected_no_later_than_with_fixed_heartbeats() {
    let (mut saved, mut sooner_count) = (0, 0);
    for seed in 0..500 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut below = |n: u64| rng.next_u64() % n;
        let unresponsive_from = 5 * SECOND + below(10 * SECOND);
        // The mean time between two frames is 50 ms to 12.8 s.
        let mean = (50 * MS) << below(9);
        let mut traffic = Vec::new();
        let mut at = 0;
        while at < unresponsive_from {
            at += 1 + below(2 * mean);
            traffic.push(at);
        }
        let answer_after = 1 + below(300 * MS);
        let mut fixed = FixedHeartbeats::greeted(0);
        let fixed_at = fixed.disconnected_at(&traffic, answer_after, unresponsive_from);
        let (adaptive_at, heartbeats) = run_adaptive(&traffic, answer_after, unresponsive_from);
        assert!(
            adaptive_at <= fixed_at,
            "seed {seed}: disconnected at {adaptive_at}, at {fixed_at} with fixed heartbeats"
        );
        assert!(heartbeats <= fixed.heartbeats, "seed {seed}");
        saved += fixed.heartbeats - heartbeats;
        sooner_count += usize::from(fixed_at > adaptive_at);
    }
    assert!(saved > 1000, "traffic replaced only {saved} heartbeats");
    println!("{saved} heartbeats saved, {sooner_count} of 500 hosts disconnected sooner");
}

#[test]
fn without_traffic_heartbeats_and_disconnect_match_fixed_heartbeats() {
    for unresponsive_from in [
        5 * SECOND,
        5 * SECOND + 1,
        5 * SECOND + 400 * MS,
        6 * SECOND - 1,
    ] {
        let mut fixed = FixedHeartbeats::greeted(0);
        let fixed_at = fixed.disconnected_at(&[], 5 * MS, unresponsive_from);
        assert_eq!(run_adaptive(&[], 5 * MS, unresponsive_from).0, fixed_at);
    }
}

#[test]
fn no_heartbeat_is_sent_after_traffic_within_ping_interval() {
    let mut fleet = SimulatedHosts::new(SETTINGS);
    fleet.greet(HOST);
    for n in 1..40 {
        fleet.run_until(n * 900 * MS);
        fleet.receive_traffic(HOST);
    }
    assert_eq!(fleet.heartbeats, []);
    // After the traffic has ended, a heartbeat is sent at the first tick that is at least a ping interval later.
    let last = fleet.now;
    fleet.run_until(last + 2 * SECOND);
    let first = fleet.heartbeats.first().expect("a heartbeat").0;
    assert!(
        first >= last + SECOND && first < last + 2 * SECOND,
        "heartbeat {} us after the last traffic",
        first - last
    );
}

#[test]
fn unresponsive_idle_host_is_disconnected_after_offer_as_soon_as_host_in_use() {
    for waited in [0, 700 * MS, 5 * SECOND, 30 * SECOND] {
        let mut fleet = SimulatedHosts::with_idle_hosts(SETTINGS, 1300);
        fleet.run_until(SECOND / 2);
        fleet.set_answers(1299..1300, AnswerBehaviour::Never);
        fleet.run_until(fleet.now + waited);
        let offered = fleet.now;
        fleet.liveness.mark_in_use(offered, 1299);
        fleet.run_until(offered + 10 * SECOND);
        let disconnected_at = fleet.disconnected_at(1299).expect("disconnected");
        let after = disconnected_at - offered;
        assert!(
            after <= SETTINGS.silence_timeout + SETTINGS.ping_interval,
            "{after} us after the offer"
        );
        assert!(
            fleet.heartbeats_to(1299, offered).len() >= 2,
            "heartbeats are sent first"
        );
    }
}

#[test]
fn silence_timeout_keeps_running_when_offers_are_abandoned() {
    let mut fleet = SimulatedHosts::with_idle_hosts(SETTINGS, 1300);
    fleet.set_answers(1299..1300, AnswerBehaviour::Never);
    fleet.run_until(2 * SECOND);
    // Three offers of 300 ms each, one after the other.
    for _ in 0..3 {
        fleet.liveness.mark_in_use(fleet.now, 1299);
        fleet.run_until(fleet.now + 300 * MS);
        fleet.liveness.mark_idle(1299);
    }
    fleet.run_until(20 * SECOND);
    assert_eq!(
        fleet.disconnected_at(1299),
        Some(2 * SECOND + SETTINGS.silence_timeout)
    );
}

#[test]
fn host_is_pinged_at_ping_interval_in_use_and_less_often_when_idle_again() {
    let mut fleet = SimulatedHosts::with_idle_hosts(SETTINGS, 1300);
    fleet.run_until(100 * SECOND);
    for round in 0..3 {
        let offered = fleet.now;
        fleet.liveness.mark_in_use(offered, HOST);
        fleet.run_until(offered + 10 * MS);
        fleet.receive_traffic(HOST);
        fleet.run_until(offered + 20 * SECOND);
        let fast = fleet.heartbeats_to(HOST, offered);
        assert!(
            fast.len() >= 18,
            "round {round}: {} heartbeats in 20 s of use",
            fast.len()
        );
        fleet.liveness.mark_idle(HOST);
        let idle_since = fleet.now;
        fleet.run_until(idle_since + 64 * SECOND);
        let slow = fleet.heartbeats_to(HOST, idle_since).len();
        assert!(
            (1..=3).contains(&slow),
            "round {round}: {slow} heartbeats in 64 s without use"
        );
    }
    assert_eq!(fleet.disconnected, []);
}

#[test]
fn stall_of_the_caller_disconnects_no_host() {
    let mut fleet = SimulatedHosts::with_idle_hosts(SETTINGS, 1300);
    for host in 0..650 {
        fleet.liveness.mark_in_use(fleet.now, host);
        fleet.receive_traffic(host);
    }
    fleet.run_until(20 * SECOND + 300 * MS);
    fleet.stall(10 * SECOND);
    fleet.run_until(60 * SECOND);
    assert_eq!(fleet.disconnected, []);
}
