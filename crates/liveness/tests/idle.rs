//! Idle hosts: the heartbeat rate over all of them is bounded, and an unresponsive one is disconnected within a bounded
//! time.

mod support;

use support::{AnswerBehaviour, MS, SECOND, SETTINGS, SimulatedHosts};

/// The configured rate, plus one for a late turn and one because both ends of the window count.
const MAX_HEARTBEATS_PER_SECOND: usize = SETTINGS.max_idle_pings_per_s as usize + 2;

#[test]
fn idle_heartbeat_rate_is_bounded_when_many_hosts_greet_at_once() {
    for hosts in [130, 400, 1300, 2600] {
        let mut fleet = SimulatedHosts::with_idle_hosts(SETTINGS, hosts);
        fleet.run_until(300 * SECOND);
        let most = fleet.max_heartbeats_per_second(0);
        assert!(
            most <= MAX_HEARTBEATS_PER_SECOND,
            "{hosts} hosts: {most} heartbeats in a second"
        );
        let interval = fleet.liveness.max_idle_interval();
        for host in 0..hosts {
            let times = fleet.heartbeats_to(host, 0);
            let longest = times
                .windows(2)
                .map(|w| w[1] - w[0])
                .max()
                .expect("several heartbeats");
            // The interval starts with the answer, which takes 5 ms.
            assert!(
                longest <= interval + 5 * MS,
                "{hosts} hosts: {longest} us without a heartbeat"
            );
            let shortest = times
                .windows(2)
                .map(|w| w[1] - w[0])
                .min()
                .expect("several heartbeats");
            assert!(shortest >= SETTINGS.ping_interval);
        }
        assert_eq!(fleet.disconnected, []);
    }
}

#[test]
fn idle_interval_grows_from_ping_interval_to_maximum_with_host_count() {
    let fleet = SimulatedHosts::with_idle_hosts(SETTINGS, 1);
    assert_eq!(fleet.liveness.max_idle_interval(), SECOND + 25 * MS);
    let mut many = SimulatedHosts::with_idle_hosts(SETTINGS, 8192);
    assert!(many.liveness.max_idle_interval() <= SETTINGS.max_idle_interval);
    many.run_until(200 * SECOND);
    let pinged: std::collections::BTreeSet<u32> = many
        .heartbeats
        .iter()
        .filter(|(at, _)| *at <= SETTINGS.max_idle_interval)
        .map(|(_, host)| *host)
        .collect();
    assert_eq!(
        pinged.len(),
        8192,
        "every host is sent a heartbeat within the longest interval"
    );
    // The rate has to exceed its limit: 8192 hosts in 89 s.
    assert!(
        many.max_heartbeats_per_second(0) <= 95,
        "{} heartbeats in a second",
        many.max_heartbeats_per_second(0)
    );
}

#[test]
fn stall_with_1300_idle_hosts_is_followed_by_no_burst_of_heartbeats() {
    for before in [SECOND / 2, 5 * SECOND, 77 * SECOND] {
        let mut fleet = SimulatedHosts::with_idle_hosts(SETTINGS, 1300);
        fleet.run_until(before);
        fleet.stall(10 * SECOND);
        fleet.run_until(before + 100 * SECOND);
        assert!(
            fleet.max_heartbeats_per_second(0) <= MAX_HEARTBEATS_PER_SECOND,
            "{} heartbeats in a second",
            fleet.max_heartbeats_per_second(0)
        );
        assert_eq!(fleet.disconnected, []);
    }
}

#[test]
fn unresponsive_idle_host_is_disconnected_within_idle_interval_plus_silence_timeout() {
    for hosts in [130, 400, 1300, 2600] {
        for unresponsive_from in [1, 10 * SECOND, 33 * SECOND + 7 * MS] {
            let mut fleet = SimulatedHosts::with_idle_hosts(SETTINGS, hosts);
            fleet.run_until(unresponsive_from);
            let host = hosts / 2;
            fleet.set_answers(host..host + 1, AnswerBehaviour::Never);
            let most = fleet.liveness.max_idle_interval() + SETTINGS.silence_timeout;
            fleet.run_until(unresponsive_from + most);
            assert!(
                fleet.disconnected_at(host).is_some(),
                "{hosts} hosts: not disconnected within {most} us"
            );
            assert_eq!(fleet.disconnected.len(), 1);
        }
    }
}

#[test]
fn slow_host_is_pinged_at_ping_interval_until_all_heartbeats_are_answered() {
    let mut fleet = SimulatedHosts::with_idle_hosts(SETTINGS, 1300);
    fleet.set_answers(0..1, AnswerBehaviour::After(2_500 * MS));
    fleet.run_until(10 * SECOND);
    let late = fleet.heartbeats_to(0, 0);
    assert!(late.len() >= 5, "{late:?}");
    assert!(
        late.windows(2)
            .all(|w| w[1] - w[0] == SETTINGS.ping_interval),
        "{late:?}"
    );
    fleet.set_answers(0..1, AnswerBehaviour::After(5 * MS));
    fleet.run_until(15 * SECOND);
    let since = fleet.now;
    fleet.run_until(since + 64 * SECOND);
    let slow = fleet.heartbeats_to(0, since).len();
    assert!(
        (1..=3).contains(&slow),
        "{slow} heartbeats in 64 s once it answers in time"
    );
    assert_eq!(fleet.disconnected, [], "late answers count as activity");
}

#[test]
fn hosts_that_become_unresponsive_at_once_are_disconnected_and_may_return_together() {
    let mut fleet = SimulatedHosts::with_idle_hosts(SETTINGS, 1300);
    fleet.run_until(50 * SECOND);
    fleet.set_answers(0..325, AnswerBehaviour::Never);
    let most = fleet.liveness.max_idle_interval() + SETTINGS.silence_timeout;
    fleet.run_until(50 * SECOND + most);
    assert_eq!(
        fleet.disconnected.len(),
        325,
        "exactly the unresponsive hosts"
    );
    // Each unanswered heartbeat is repeated at two ticks before the host is disconnected.
    let repeats = (SETTINGS.silence_timeout / SETTINGS.ping_interval) as usize;
    assert!(fleet.max_heartbeats_per_second(0) <= MAX_HEARTBEATS_PER_SECOND * repeats);
    fleet.greet_idle(0..325);
    let reconnected_at = fleet.now;
    fleet.run_until(reconnected_at + 100 * SECOND);
    assert!(
        fleet.max_heartbeats_per_second(reconnected_at) <= MAX_HEARTBEATS_PER_SECOND,
        "{} heartbeats in a second",
        fleet.max_heartbeats_per_second(reconnected_at)
    );
    assert_eq!(fleet.disconnected.len(), 325);
}

#[test]
fn idle_heartbeat_rate_is_bounded_while_host_count_halves_and_doubles() {
    let mut fleet = SimulatedHosts::with_idle_hosts(SETTINGS, 1300);
    fleet.run_until(40 * SECOND);
    (0..650).for_each(|host| fleet.remove(host));
    assert_eq!(fleet.liveness.idle_host_count(), 650);
    fleet.run_until(80 * SECOND);
    fleet.greet_idle(0..650);
    fleet.greet_idle(1300..2600);
    fleet.run_until(300 * SECOND);
    assert!(
        fleet.max_heartbeats_per_second(0) <= MAX_HEARTBEATS_PER_SECOND,
        "{} heartbeats in a second",
        fleet.max_heartbeats_per_second(0)
    );
    let interval = fleet.liveness.max_idle_interval();
    for host in 0..2600 {
        let times = fleet.heartbeats_to(host, 150 * SECOND);
        assert!(
            times.windows(2).all(|w| w[1] - w[0] <= interval + 5 * MS),
            "host {host}"
        );
    }
}

#[test]
fn traffic_from_idle_host_postpones_its_heartbeat() {
    let mut fleet = SimulatedHosts::with_idle_hosts(SETTINGS, 130);
    for n in 1..60 {
        fleet.run_until(n * SECOND);
        fleet.receive_traffic(5);
    }
    assert_eq!(fleet.heartbeats_to(5, 0), []);
}

#[test]
fn silence_timeout_runs_when_heartbeat_could_not_be_sent() {
    let mut fleet = SimulatedHosts::new(SETTINGS);
    fleet.greet_idle(0..1);
    let turn = fleet.liveness.next_due_at().expect("a heartbeat is due");
    assert_eq!(
        fleet.liveness.take_due(turn, false),
        [maplethread_liveness::DueAction::SendHeartbeat(0)]
    );
    fleet.liveness.record_unsent_heartbeat(0);
    fleet.set_answers(0..1, AnswerBehaviour::Never);
    fleet.run_until(20 * SECOND);
    assert_eq!(
        fleet.disconnected_at(0),
        Some(turn + SETTINGS.silence_timeout)
    );
}
