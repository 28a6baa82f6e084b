//! Rule 5: attempts out and running tasks count, also those that a placer learned of from a host which named what it
//! holds.

mod support;

use maplethread_checker::{
    ClassRule, HistoryEntry, Location, Observation, RuleParameters, TopologyLevel, check,
};
use maplethread_wire::frame::{Frame, Reason};

use support::{S, name, offer, parameters};

/// Two may be on one host.
const SPREAD_LIMIT: u32 = 2;

/// One host, and a class whose services may have `MOST` tasks on it.
fn parameters_with_spread_limit() -> RuleParameters {
    RuleParameters {
        classes: vec![ClassRule {
            name: "c".into(),
            deduplication: None,
            spread_limit: Some((TopologyLevel::Host, SPREAD_LIMIT)),
        }],
        hosts: vec![Location {
            host: name("h"),
            zone: name("z"),
            cell: name("k"),
        }],
        ..parameters()
    }
}

fn placer_connected(link: u64, life: u64) -> Observation {
    Observation::PlacerConnected {
        host: name("h"),
        link,
        placer: name("p"),
        incarnation: life,
    }
}

fn offer_sent(link: u64, attempt: u64) -> Observation {
    Observation::FrameFromPlacer {
        host: name("h"),
        link,
        frame: Frame::Offer(offer(attempt)),
    }
}

fn frame_from_host(link: u64, frame: Frame) -> Observation {
    Observation::FrameFromHost {
        host: name("h"),
        link,
        frame,
    }
}

/// How often rule 5 was broken.
fn spread_violations(seen: &[(u64, Observation)]) -> u64 {
    let records: Vec<HistoryEntry> = seen
        .iter()
        .map(|(at, seen)| HistoryEntry {
            at_us: *at,
            observation: seen.clone(),
        })
        .collect();
    check(&records, &parameters_with_spread_limit())
        .violations_by_rule()
        .get(&5)
        .copied()
        .unwrap_or(0)
}

/// A placer places two tasks on a host and is killed; its next life is told of both, and offers a third so long after.
fn violations_of_third_task_after_restart(after: u64) -> u64 {
    let started = |attempt| frame_from_host(1, Frame::Accepted(attempt, 1));
    spread_violations(&[
        (S, placer_connected(1, 1)),
        (S + 1, offer_sent(1, 1)),
        (S + 2, started(1)),
        (S + 3, offer_sent(1, 2)),
        (S + 4, started(2)),
        (
            2 * S,
            Observation::ConnectionLost {
                host: name("h"),
                link: 1,
            },
        ),
        (3 * S, placer_connected(2, 2)),
        (3 * S + 1, frame_from_host(2, Frame::Held(offer(1), true))),
        (3 * S + 2, frame_from_host(2, Frame::Held(offer(2), true))),
        (3 * S + 3, frame_from_host(2, Frame::HeldEnd)),
        (3 * S + 4 + after, offer_sent(2, 3)),
        (
            9 * S,
            Observation::PlacerStarted {
                placer: name("other"),
            },
        ),
    ])
}

#[test]
fn counts_tasks_of_earlier_incarnation_once_reported() {
    assert_eq!(violations_of_third_task_after_restart(S), 1);
    assert_eq!(
        violations_of_third_task_after_restart(0),
        0,
        "it may have been sent before that was read"
    );
}

/// Two tasks are out on a host, a third is offered at 2 s, and this happens besides.
fn violations_of_third_task(happened: &[(u64, Observation)]) -> u64 {
    let mut seen = vec![
        (S, placer_connected(1, 1)),
        (S + 1, offer_sent(1, 1)),
        (S + 2, offer_sent(1, 2)),
        (2 * S, offer_sent(1, 3)),
    ];
    seen.extend(happened.iter().cloned());
    seen.push((
        9 * S,
        Observation::PlacerStarted {
            placer: name("other"),
        },
    ));
    seen.sort_by_key(|(at, _)| *at);
    spread_violations(&seen)
}

#[test]
fn reports_third_task_unless_another_ended_before() {
    let ended = |at| {
        (
            at,
            frame_from_host(1, Frame::Ended(1, Reason::Unknown, true, None)),
        )
    };
    let refused = |at, wire| {
        (
            at,
            frame_from_host(1, Frame::Refused(wire, Reason::Cores, None)),
        )
    };
    assert_eq!(violations_of_third_task(&[]), 1);
    assert_eq!(violations_of_third_task(&[ended(S + 10)]), 0);
    assert_eq!(violations_of_third_task(&[refused(S + 10, 1)]), 0);
    // The host's word came after the offer, so the offer was not made for it.
    assert_eq!(violations_of_third_task(&[ended(2 * S + 1000)]), 1);
    assert_eq!(violations_of_third_task(&[refused(2 * S + 1000, 3)]), 1);
}

#[test]
fn accepts_cancellation_read_after_the_offer() {
    let cancels = |at| {
        (
            at,
            Observation::FrameFromPlacer {
                host: name("h"),
                link: 1,
                frame: Frame::Cancel(1),
            },
        )
    };
    let ended = |at| {
        (
            at,
            frame_from_host(1, Frame::Ended(1, Reason::Unknown, true, None)),
        )
    };
    let lost = |at| {
        (
            at,
            Observation::ConnectionLost {
                host: name("h"),
                link: 1,
            },
        )
    };
    assert_eq!(violations_of_third_task(&[cancels(2 * S + 100_000)]), 0);
    assert_eq!(violations_of_third_task(&[lost(2 * S + 100_000)]), 0);
    assert_eq!(
        violations_of_third_task(&[cancels(2 * S + 200_000)]),
        1,
        "it is read sooner than that"
    );
    // The attempt ends at its host while the word that gives it up is on its way.
    assert_eq!(
        violations_of_third_task(&[ended(2 * S + 50_000), cancels(2 * S + 100_000)]),
        0
    );
    assert_eq!(
        violations_of_third_task(&[ended(2 * S + 50_000), lost(2 * S + 100_000)]),
        0
    );
}
