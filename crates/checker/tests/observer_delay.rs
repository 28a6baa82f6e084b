//! What a late observer changes: no sender is blamed for it, and nothing else is excused.

mod support;

use maplethread_checker::{Observation, Observer, Outcome};
use maplethread_wire::frame::{Frame, Offer};

use support::{
    MS, S, Timed, answered, check_timed, count_of, frame_from_host, frame_from_placer,
    host_started, offer, offer_sent, parameters_of_warming_host, placement_requested,
    placer_connected, placer_started,
};

/// How often a rule is violated by these observations.
fn violation_count(rule: u8, observations: Vec<Timed>) -> u64 {
    count_of(
        rule,
        &check_timed(observations, &parameters_of_warming_host()),
    )
}

fn observer_delayed(observer: Observer, at: u64, since: Option<u64>) -> Timed {
    (at, Observation::ObserverDelayed { observer, since })
}

#[test]
fn reports_late_answer_only_if_observer_read_after_deadline() {
    let deadline = 13 * S;
    let answered_after = |span: u64, delays: Vec<Timed>| {
        let mut all = vec![
            (10 * S, placement_requested()),
            (deadline + span, answered(Outcome::Failed)),
        ];
        all.extend(delays);
        violation_count(1, all)
    };
    let clients = |since| observer_delayed(Observer::Clients, deadline + 200 * MS, Some(since));
    assert_eq!(answered_after(150 * MS, vec![]), 0, "within the slack");
    assert_eq!(answered_after(151 * MS, vec![]), 1);
    assert_eq!(
        answered_after(300 * MS, vec![clients(deadline - MS)]),
        0,
        "it may have come before"
    );
    assert_eq!(
        answered_after(300 * MS, vec![clients(deadline + MS)]),
        1,
        "there was nothing after the deadline"
    );
    let in_time_again = observer_delayed(Observer::Clients, deadline + 250 * MS, None);
    assert_eq!(
        answered_after(300 * MS, vec![clients(deadline - MS), in_time_again]),
        1
    );
    let hosts = observer_delayed(Observer::Hosts, deadline + 200 * MS, Some(deadline - MS));
    assert_eq!(answered_after(300 * MS, vec![hosts]), 1, "another observer");
}

#[test]
fn counts_delayed_offers_from_earliest_possible_arrival() {
    // As many as a host bears that warms up, read at 10 s, and one more after `gap`.
    let offered = |gap: u64, delays: Vec<Timed>| {
        let mut all = vec![(0, host_started()), (1, placer_connected(1, "p", 1))];
        all.extend((0..16).map(|attempt| (10 * S, offer_sent(1, attempt))));
        all.push((10 * S + gap, offer_sent(1, 16)));
        all.extend(delays);
        violation_count(4, all)
    };
    let hosts = |since| observer_delayed(Observer::Hosts, 10 * S - MS, Some(since));
    assert_eq!(offered(1_900 * MS, vec![]), 0, "within the slack");
    assert_eq!(offered(1_500 * MS, vec![]), 1);
    let in_time_again = || observer_delayed(Observer::Hosts, 10 * S + MS, None);
    assert_eq!(
        offered(1_500 * MS, vec![hosts(9_400 * MS), in_time_again()]),
        0,
        "the first came up to 600 ms before"
    );
    assert_eq!(
        offered(1_500 * MS, vec![hosts(9_600 * MS), in_time_again()]),
        1,
        "400 ms explain nothing"
    );
    let second = observer_delayed(Observer::Hosts, 11 * S, Some(10 * S + MS));
    assert_eq!(
        offered(1_500 * MS, vec![second]),
        1,
        "a late second offer was sent even sooner"
    );
}

#[test]
fn reports_offer_after_drain_whenever_it_is_read() {
    let offered = |at: u64, delays: Vec<Timed>| {
        let mut all = vec![
            (S, placer_connected(1, "p", 1)),
            (10 * S, frame_from_host(1, Frame::Drain)),
            (at, offer_sent(1, 1)),
        ];
        all.extend(delays);
        violation_count(3, all)
    };
    let hosts = |since| observer_delayed(Observer::Hosts, 12 * S, Some(since));
    assert_eq!(offered(12_100 * MS, vec![]), 0, "within the slack");
    assert_eq!(offered(12_500 * MS, vec![]), 1);
    assert_eq!(
        offered(12_500 * MS, vec![hosts(11_900 * MS)]),
        0,
        "it may have come within the grace"
    );
    assert_eq!(offered(12_500 * MS, vec![hosts(12_001 * MS)]), 1);
}

/// The second attempt of the request whose first is attempt 1, on a connection of its own.
fn second_attempt() -> Observation {
    let second = Offer {
        request_id: offer(1).request_id,
        prior_attempts: 1,
        ..offer(2)
    };
    frame_from_placer(2, Frame::Offer(second))
}

/// The placer's two connections to the host.
fn two_connections() -> Vec<Timed> {
    vec![
        (1, placer_connected(1, "p", 1)),
        (2, placer_connected(2, "p", 1)),
    ]
}

#[test]
fn accepts_second_attempt_if_first_was_ended_in_time() {
    // Two offers for one request on two connections, and the first cancelled: read after `gap`.
    let cancelled_after = |gap: u64, delays: Vec<Timed>| {
        let mut all = two_connections();
        all.extend([
            (9 * S, offer_sent(1, 1)),
            (10 * S, second_attempt()),
            (10 * S + gap, frame_from_placer(1, Frame::Cancel(1))),
            // Time passes for others while the observer is late.
            (10 * S + 200 * MS, placer_started("q")),
            (20 * S, offer_sent(1, 3)),
        ]);
        all.extend(delays);
        violation_count(2, all)
    };
    let late_since = |since| {
        vec![
            observer_delayed(Observer::Hosts, 10 * S + 300 * MS, Some(since)),
            observer_delayed(Observer::Hosts, 11 * S, None),
        ]
    };
    assert_eq!(cancelled_after(140 * MS, vec![]), 0, "within the slack");
    assert_eq!(cancelled_after(400 * MS, vec![]), 1);
    assert_eq!(
        cancelled_after(400 * MS, late_since(10 * S + 100 * MS)),
        0,
        "it may have been sent within the slack"
    );
    assert_eq!(
        cancelled_after(400 * MS, late_since(10 * S + 200 * MS)),
        1,
        "there was nothing of it by then"
    );
}

#[test]
fn checks_offers_of_one_request_in_order_of_sending() {
    // The second attempt is read first; the first, with its cancellation, only then.
    let read_first = |is_cancelled: bool| {
        let mut all = two_connections();
        all.extend([
            (10 * S, second_attempt()),
            (10 * S + 2 * MS, offer_sent(1, 1)),
            (20 * S, offer_sent(1, 3)),
        ]);
        if is_cancelled {
            all.push((10 * S + 3 * MS, frame_from_placer(1, Frame::Cancel(1))));
        }
        violation_count(2, all)
    };
    assert_eq!(
        read_first(true),
        0,
        "the first was over when the second was sent"
    );
    assert_eq!(read_first(false), 1);
}
