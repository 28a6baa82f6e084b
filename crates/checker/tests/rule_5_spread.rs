//! Rule 5: attempts in flight and running tasks count, including those that a host reported to a restarted placer.

mod support;

use maplethread_checker::{ClassRule, RuleParameters, SpreadLimit, TopologyLevel};
use maplethread_wire::frame::{Frame, Reason};

use support::{
    S, Timed, check_timed, connection_lost, count_of, frame_from_host, frame_from_placer, location,
    offer, offer_sent, parameters, placer_connected, placer_started,
};

/// Number of violations of rule 5 if a host may hold at most two tasks of a service.
fn spread_violations(observations: impl IntoIterator<Item = Timed>) -> u64 {
    let limit = SpreadLimit {
        level: TopologyLevel::Host,
        max_tasks: 2,
    };
    let rules = RuleParameters {
        classes: vec![ClassRule {
            name: "c".into(),
            deduplication: None,
            spread_limit: Some(limit),
        }],
        hosts: vec![location()],
        ..parameters()
    };
    count_of(5, &check_timed(observations, &rules))
}

/// A placer places two tasks on a host and is killed. The host reports both to its next process, which offers a third
/// task
/// `after` later. Returns the number of violations.
fn violations_of_third_task_after_restart(after: u64) -> u64 {
    let accepted = |attempt| frame_from_host(1, Frame::Accepted(attempt, 1));
    let held = |attempt| frame_from_host(2, Frame::Held(offer(attempt), true));
    spread_violations([
        (S, placer_connected(1, "p", 1)),
        (S + 1, offer_sent(1, 1)),
        (S + 2, accepted(1)),
        (S + 3, offer_sent(1, 2)),
        (S + 4, accepted(2)),
        (2 * S, connection_lost(1)),
        (3 * S, placer_connected(2, "p", 2)),
        (3 * S + 1, held(1)),
        (3 * S + 2, held(2)),
        (3 * S + 3, frame_from_host(2, Frame::HeldEnd)),
        (3 * S + 4 + after, offer_sent(2, 3)),
        (9 * S, placer_started("other")),
    ])
}

#[test]
fn counts_tasks_of_earlier_process_once_reported() {
    assert_eq!(violations_of_third_task_after_restart(S), 1);
    assert_eq!(
        violations_of_third_task_after_restart(0),
        0,
        "the offer may have been sent before the report was read"
    );
}

/// Two attempts are in flight to a host, and a third is offered at 2 s, with these further observations. Returns the
/// number of violations.
fn violations_of_third_task(further: &[Timed]) -> u64 {
    let offered = [
        (S, placer_connected(1, "p", 1)),
        (S + 1, offer_sent(1, 1)),
        (S + 2, offer_sent(1, 2)),
        (2 * S, offer_sent(1, 3)),
    ];
    let end = (9 * S, placer_started("other"));
    let all = offered.into_iter().chain(further.iter().cloned());
    spread_violations(all.chain([end]))
}

/// The host reports that attempt 1 has ended.
fn ended(at: u64) -> Timed {
    let frame = Frame::Ended(1, Reason::Unknown, true, None);
    (at, frame_from_host(1, frame))
}

#[test]
fn reports_third_task_unless_another_ended_before() {
    let refused = |at, attempt| {
        let frame = Frame::Refused(attempt, Reason::Cores, None);
        (at, frame_from_host(1, frame))
    };
    assert_eq!(violations_of_third_task(&[]), 1);
    assert_eq!(violations_of_third_task(&[ended(S + 10)]), 0);
    assert_eq!(violations_of_third_task(&[refused(S + 10, 1)]), 0);
    // The host's report came after the offer, so the placer cannot have relied on it.
    assert_eq!(violations_of_third_task(&[ended(2 * S + 1000)]), 1);
    assert_eq!(violations_of_third_task(&[refused(2 * S + 1000, 3)]), 1);
}

#[test]
fn accepts_cancellation_read_after_the_offer() {
    let cancelled = |at| (at, frame_from_placer(1, Frame::Cancel(1)));
    let lost = |at| (at, connection_lost(1));
    assert_eq!(violations_of_third_task(&[cancelled(2 * S + 100_000)]), 0);
    assert_eq!(violations_of_third_task(&[lost(2 * S + 100_000)]), 0);
    assert_eq!(
        violations_of_third_task(&[cancelled(2 * S + 200_000)]),
        1,
        "a cancellation sent before the offer would have been read within the slack"
    );
    // The attempt ends at its host while the placer's cancellation is in transit.
    assert_eq!(
        violations_of_third_task(&[ended(2 * S + 50_000), cancelled(2 * S + 100_000)]),
        0
    );
    assert_eq!(
        violations_of_third_task(&[ended(2 * S + 50_000), lost(2 * S + 100_000)]),
        0
    );
}
