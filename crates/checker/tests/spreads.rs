//! Rule 5: attempts out and running tasks count, also those that a placer learned of from a host which named what it
//! holds.

mod support;

use maplethread_checker::{
    ClassRule, HistoryEntry, Location, Observation, Place, RuleParameters, check,
};
use maplethread_wire::frame::{Frame, Reason};

use support::{S, figures, name, offer};

/// Two may be on one host.
const MOST: u32 = 2;

/// One host, and a class whose services may have `MOST` tasks on it.
fn spread() -> RuleParameters {
    RuleParameters {
        classes: vec![ClassRule {
            name: "c".into(),
            deduplication: None,
            spread_limit: Some((Place::Host, MOST)),
        }],
        hosts: vec![Location {
            host: name("h"),
            zone: name("z"),
            cell: name("k"),
        }],
        ..figures()
    }
}

fn link(link: u64, life: u64) -> Observation {
    Observation::PlacerConnected {
        host: name("h"),
        link,
        placer: name("p"),
        incarnation: life,
    }
}

fn sends(link: u64, attempt: u64) -> Observation {
    Observation::FrameFromPlacer {
        host: name("h"),
        link,
        frame: Frame::Offer(offer(attempt)),
    }
}

fn host_says(link: u64, frame: Frame) -> Observation {
    Observation::FromHost {
        host: name("h"),
        link,
        frame,
    }
}

/// How often rule 5 was broken.
fn broken(seen: &[(u64, Observation)]) -> u64 {
    let records: Vec<HistoryEntry> = seen
        .iter()
        .map(|(at, seen)| HistoryEntry {
            at_us: *at,
            observation: seen.clone(),
        })
        .collect();
    check(&records, &spread())
        .violations_by_rule()
        .get(&5)
        .copied()
        .unwrap_or(0)
}

/// A placer places two tasks on a host and is killed; its next life is told of both, and offers a third so long after.
fn third_after_a_restart(after: u64) -> u64 {
    let started = |attempt| host_says(1, Frame::Accepted(attempt, 1));
    broken(&[
        (S, link(1, 1)),
        (S + 1, sends(1, 1)),
        (S + 2, started(1)),
        (S + 3, sends(1, 2)),
        (S + 4, started(2)),
        (
            2 * S,
            Observation::LinkLost {
                host: name("h"),
                link: 1,
            },
        ),
        (3 * S, link(2, 2)),
        (3 * S + 1, host_says(2, Frame::Held(offer(1), true))),
        (3 * S + 2, host_says(2, Frame::Held(offer(2), true))),
        (3 * S + 3, host_says(2, Frame::HeldEnd)),
        (3 * S + 4 + after, sends(2, 3)),
        (
            9 * S,
            Observation::PlacerUp {
                placer: name("other"),
            },
        ),
    ])
}

#[test]
fn tasks_of_an_earlier_life_count_once_the_next_one_must_have_read_of_them() {
    assert_eq!(third_after_a_restart(S), 1);
    assert_eq!(
        third_after_a_restart(0),
        0,
        "it may have been sent before that was read"
    );
}

/// Two tasks are out on a host, a third is offered at 2 s, and this happens besides.
fn third_beside(happened: &[(u64, Observation)]) -> u64 {
    let mut seen = vec![
        (S, link(1, 1)),
        (S + 1, sends(1, 1)),
        (S + 2, sends(1, 2)),
        (2 * S, sends(1, 3)),
    ];
    seen.extend(happened.iter().cloned());
    seen.push((
        9 * S,
        Observation::PlacerUp {
            placer: name("other"),
        },
    ));
    seen.sort_by_key(|(at, _)| *at);
    broken(&seen)
}

#[test]
fn a_third_task_counts_unless_one_of_the_others_was_over_before() {
    let ended = |at| {
        (
            at,
            host_says(1, Frame::Ended(1, Reason::Unknown, true, None)),
        )
    };
    let refused = |at, wire| (at, host_says(1, Frame::Refused(wire, Reason::Cores, None)));
    assert_eq!(third_beside(&[]), 1);
    assert_eq!(third_beside(&[ended(S + 10)]), 0);
    assert_eq!(third_beside(&[refused(S + 10, 1)]), 0);
    // The host's word came after the offer, so the offer was not made for it.
    assert_eq!(third_beside(&[ended(2 * S + 1000)]), 1);
    assert_eq!(third_beside(&[refused(2 * S + 1000, 3)]), 1);
}

#[test]
fn what_a_placer_gave_up_before_may_be_read_after_the_offer() {
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
            host_says(1, Frame::Ended(1, Reason::Unknown, true, None)),
        )
    };
    let lost = |at| {
        (
            at,
            Observation::LinkLost {
                host: name("h"),
                link: 1,
            },
        )
    };
    assert_eq!(third_beside(&[cancels(2 * S + 100_000)]), 0);
    assert_eq!(third_beside(&[lost(2 * S + 100_000)]), 0);
    assert_eq!(
        third_beside(&[cancels(2 * S + 200_000)]),
        1,
        "it is read sooner than that"
    );
    // The attempt ends at its host while the word that gives it up is on its way.
    assert_eq!(
        third_beside(&[ended(2 * S + 50_000), cancels(2 * S + 100_000)]),
        0
    );
    assert_eq!(
        third_beside(&[ended(2 * S + 50_000), lost(2 * S + 100_000)]),
        0
    );
}
