//! Delayed observers: a delay causes no false violation, and hides no real one.

mod support;

use maplethread_checker::{Observation, Observer, Outcome};
use maplethread_wire::frame::{Frame, Offer};

use support::{
    MS, S, Timed, answered, check_timed, count_of, frame_from_host, frame_from_placer,
    host_started, offer, offer_sent, parameters_of_warming_host, placement_requested,
    placer_connected, placer_started,
};

/// Number of violations of a rule in these observations, with a warming host.
fn violation_count(rule: u8, observations: Vec<Timed>) -> u64 {
    count_of(
        rule,
        &check_timed(observations, &parameters_of_warming_host()),
    )
}

fn observer_delayed(observer: Observer, at: u64, since: Option<u64>) -> Timed {
    (
        at,
        Observation::ObserverDelayed {
            observer,
            delayed_since_us: since,
        },
    )
}

#[test]
fn reports_late_answer_only_if_it_arrived_after_deadline() {
    let deadline = 13 * S;
    let violations_with_answer_after = |delay: u64, observer_delays: Vec<Timed>| {
        let mut all = vec![
            (10 * S, placement_requested()),
            (deadline + delay, answered(Outcome::Failed)),
        ];
        all.extend(observer_delays);
        violation_count(1, all)
    };
    let clients = |since| observer_delayed(Observer::Clients, deadline + 200 * MS, Some(since));
    assert_eq!(
        violations_with_answer_after(150 * MS, vec![]),
        0,
        "within the slack"
    );
    assert_eq!(violations_with_answer_after(151 * MS, vec![]), 1);
    assert_eq!(
        violations_with_answer_after(300 * MS, vec![clients(deadline - MS)]),
        0,
        "the answer may have arrived before the deadline"
    );
    assert_eq!(
        violations_with_answer_after(300 * MS, vec![clients(deadline + MS)]),
        1,
        "the answer arrived after the deadline"
    );
    let on_time_again = observer_delayed(Observer::Clients, deadline + 250 * MS, None);
    assert_eq!(
        violations_with_answer_after(300 * MS, vec![clients(deadline - MS), on_time_again]),
        1
    );
    let hosts = observer_delayed(Observer::Hosts, deadline + 200 * MS, Some(deadline - MS));
    assert_eq!(
        violations_with_answer_after(300 * MS, vec![hosts]),
        1,
        "the other observer was delayed"
    );
}

#[test]
fn counts_delayed_offers_from_earliest_possible_arrival() {
    // The whole budget of a warming host is read at 10 s, and one more offer after `gap`.
    let violations_with_gap = |gap: u64, delays: Vec<Timed>| {
        let mut all = vec![(0, host_started()), (1, placer_connected(1, "p", 1))];
        all.extend((0..16).map(|attempt| (10 * S, offer_sent(1, attempt))));
        all.push((10 * S + gap, offer_sent(1, 16)));
        all.extend(delays);
        violation_count(4, all)
    };
    let hosts = |since| observer_delayed(Observer::Hosts, 10 * S - MS, Some(since));
    assert_eq!(
        violations_with_gap(1_900 * MS, vec![]),
        0,
        "within the slack"
    );
    assert_eq!(violations_with_gap(1_500 * MS, vec![]), 1);
    let on_time_again = || observer_delayed(Observer::Hosts, 10 * S + MS, None);
    assert_eq!(
        violations_with_gap(1_500 * MS, vec![hosts(9_400 * MS), on_time_again()]),
        0,
        "the first offers may have arrived up to 600 ms earlier"
    );
    assert_eq!(
        violations_with_gap(1_500 * MS, vec![hosts(9_600 * MS), on_time_again()]),
        1,
        "a delay of 400 ms is too short to explain the gap"
    );
    let second_is_delayed = observer_delayed(Observer::Hosts, 11 * S, Some(10 * S + MS));
    assert_eq!(
        violations_with_gap(1_500 * MS, vec![second_is_delayed]),
        1,
        "a delayed second offer was sent even earlier"
    );
}

#[test]
fn reports_offer_after_drain_only_if_sent_after_grace_period() {
    let violations_with_offer_at = |at: u64, delays: Vec<Timed>| {
        let mut all = vec![
            (S, placer_connected(1, "p", 1)),
            (10 * S, frame_from_host(1, Frame::Drain)),
            (at, offer_sent(1, 1)),
        ];
        all.extend(delays);
        violation_count(3, all)
    };
    let hosts = |since| observer_delayed(Observer::Hosts, 12 * S, Some(since));
    assert_eq!(
        violations_with_offer_at(12_100 * MS, vec![]),
        0,
        "within the slack"
    );
    assert_eq!(violations_with_offer_at(12_500 * MS, vec![]), 1);
    assert_eq!(
        violations_with_offer_at(12_500 * MS, vec![hosts(11_900 * MS)]),
        0,
        "the offer may have arrived within the grace period"
    );
    assert_eq!(
        violations_with_offer_at(12_500 * MS, vec![hosts(12_001 * MS)]),
        1
    );
}

/// Attempt 2, the second for the request of attempt 1, on connection 2.
fn second_attempt() -> Observation {
    let second = Offer {
        request_id: offer(1).request_id,
        prior_attempts: 1,
        ..offer(2)
    };
    frame_from_placer(2, Frame::Offer(second))
}

/// Two connections from placer `p` to the host.
fn two_connections() -> Vec<Timed> {
    vec![
        (1, placer_connected(1, "p", 1)),
        (2, placer_connected(2, "p", 1)),
    ]
}

#[test]
fn accepts_second_attempt_if_first_was_ended_in_time() {
    // Two offers for one request on two connections; the cancellation of the first attempt is read after `gap`.
    let violations_with_cancellation_after = |gap: u64, delays: Vec<Timed>| {
        let mut all = two_connections();
        all.extend([
            (9 * S, offer_sent(1, 1)),
            (10 * S, second_attempt()),
            (10 * S + gap, frame_from_placer(1, Frame::Cancel(1))),
            // Another observation, by which time passes while the observer is delayed.
            (10 * S + 200 * MS, placer_started("q")),
            (20 * S, offer_sent(1, 3)),
        ]);
        all.extend(delays);
        violation_count(2, all)
    };
    let delayed_since = |since| {
        vec![
            observer_delayed(Observer::Hosts, 10 * S + 300 * MS, Some(since)),
            observer_delayed(Observer::Hosts, 11 * S, None),
        ]
    };
    assert_eq!(
        violations_with_cancellation_after(140 * MS, vec![]),
        0,
        "within the slack"
    );
    assert_eq!(violations_with_cancellation_after(400 * MS, vec![]), 1);
    assert_eq!(
        violations_with_cancellation_after(400 * MS, delayed_since(10 * S + 100 * MS)),
        0,
        "the cancellation may have been sent within the slack"
    );
    assert_eq!(
        violations_with_cancellation_after(400 * MS, delayed_since(10 * S + 200 * MS)),
        1,
        "the cancellation was sent after the slack"
    );
}

#[test]
fn checks_offers_of_one_request_in_order_of_sending() {
    // The second attempt is read first, then the first attempt and possibly its cancellation.
    let violations_if_first_cancelled = |is_cancelled: bool| {
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
        violations_if_first_cancelled(true),
        0,
        "the first attempt had ended when the second was sent"
    );
    assert_eq!(violations_if_first_cancelled(false), 1);
}
