//! Rule 1 around absences: what could have been answered is owed, what could not is excused.

mod support;

use maplethread_checker::{HistoryEntry, Location, Observation, Outcome, RuleParameters, check};
use maplethread_wire::frame::Frame;

use support::{S, name, offer, parameters};

/// An ask at 10 s with 3 s to answer, and what happened to its placer; unanswered and excused.
fn unanswered_and_excused(happened: &[(u64, Observation)]) -> (u64, u64) {
    let asked = Observation::PlacementRequested {
        request: name("r"),
        placer: name("p"),
        class: name("c"),
        budget_us: 3 * S,
    };
    let mut records = vec![HistoryEntry {
        at_us: 10 * S,
        observation: asked,
    }];
    records.extend(happened.iter().map(|(at, seen)| HistoryEntry {
        at_us: *at,
        observation: seen.clone(),
    }));
    records.push(HistoryEntry {
        at_us: 30 * S,
        observation: Observation::PlacerStarted {
            placer: name("other"),
        },
    });
    records.sort_by_key(|r| r.at_us);
    let verdict = check(&records, &parameters());
    assert_eq!(verdict.violations.len() as u64, verdict.unanswered);
    (verdict.unanswered, verdict.excused)
}

#[test]
fn excuses_missing_answer_only_when_placer_could_not_answer() {
    let paused = || Observation::PlacerPaused { placer: name("p") };
    let goes_on = || Observation::PlacerResumed { placer: name("p") };
    let down = || Observation::PlacerStopped { placer: name("p") };
    let up = || Observation::PlacerStarted { placer: name("p") };
    assert_eq!(unanswered_and_excused(&[]), (1, 0), "it ran all the time");
    // Half a second of three: the answer is owed.
    assert_eq!(
        unanswered_and_excused(&[
            (10 * S + S / 10, paused()),
            (10 * S + 6 * S / 10, goes_on())
        ]),
        (1, 0)
    );
    assert_eq!(
        unanswered_and_excused(&[(9 * S, paused()), (11 * S, goes_on())]),
        (1, 0)
    );
    // Up to the deadline, or to less than the reprieve before it: excused.
    assert_eq!(
        unanswered_and_excused(&[(12 * S, paused()), (14 * S, goes_on())]),
        (0, 1)
    );
    assert_eq!(
        unanswered_and_excused(&[(11 * S, paused()), (12 * S + 6 * S / 10, goes_on())]),
        (0, 1)
    );
    assert_eq!(
        unanswered_and_excused(&[(11 * S, paused()), (12 * S + 4 * S / 10, goes_on())]),
        (1, 0)
    );
    // The life that took it died: excused, even if the next one was up in time. One that died before owes nothing
    // of this, one that died after owed it.
    assert_eq!(
        unanswered_and_excused(&[(11 * S, down()), (11 * S + S / 2, up())]),
        (0, 1)
    );
    assert_eq!(
        unanswered_and_excused(&[(5 * S, down()), (6 * S, up())]),
        (1, 0)
    );
    assert_eq!(
        unanswered_and_excused(&[(14 * S, down()), (15 * S, up())]),
        (1, 0)
    );
    // A process that was stopped and continued while it was still starting had not come back by that.
    let starting = [
        (9 * S, down()),
        (11 * S, paused()),
        (11 * S + S / 10, goes_on()),
        (14 * S, up()),
    ];
    assert_eq!(unanswered_and_excused(&starting), (0, 1));
}

#[test]
fn reports_second_or_late_answer() {
    let placed = || Observation::Answered {
        request: name("r"),
        outcome: Outcome::Placed("h".to_owned()),
    };
    assert_eq!(unanswered_and_excused(&[(12 * S, placed())]), (0, 0));
    let ask = Observation::PlacementRequested {
        request: name("r"),
        placer: name("p"),
        class: name("c"),
        budget_us: 3 * S,
    };
    for times in [vec![12 * S, 12 * S + 1], vec![13 * S + 200_000]] {
        let mut records = vec![HistoryEntry {
            at_us: 10 * S,
            observation: ask.clone(),
        }];
        records.extend(times.iter().map(|&at| HistoryEntry {
            at_us: at,
            observation: placed(),
        }));
        let verdict = check(&records, &parameters());
        assert_eq!(verdict.violations_by_rule().get(&1), Some(&1), "{times:?}");
    }
}

#[test]
fn accepts_refusal_of_request_unread_until_deadline() {
    let ask = Observation::PlacementRequested {
        request: name("r"),
        placer: name("p"),
        class: name("c"),
        budget_us: 3 * S,
    };
    let late = |stood_still: bool, outcome: Outcome| {
        let mut records = vec![HistoryEntry {
            at_us: 10 * S,
            observation: ask.clone(),
        }];
        if stood_still {
            records.insert(
                0,
                HistoryEntry {
                    at_us: 9 * S,
                    observation: Observation::PlacerPaused { placer: name("p") },
                },
            );
            records.push(HistoryEntry {
                at_us: 13 * S,
                observation: Observation::PlacerResumed { placer: name("p") },
            });
        }
        records.push(HistoryEntry {
            at_us: 13 * S + 152_000,
            observation: Observation::Answered {
                request: name("r"),
                outcome,
            },
        });
        check(&records, &parameters())
            .violations_by_rule()
            .contains_key(&1)
    };
    assert!(!late(true, Outcome::NotAccepted(503)), "it never took it");
    assert!(late(true, Outcome::Failed), "an answer after the deadline");
    assert!(
        late(false, Outcome::NotAccepted(503)),
        "it was there all the time"
    );
}

#[test]
fn counts_inventory_update_from_when_placer_could_read_it() {
    let (host, placer) = (name("h"), name("p"));
    // Removed at 10 s, offered to at 14 s, with a grace of 2 s.
    let broken = |happened: &[(u64, Observation)]| {
        let link = Observation::PlacerConnected {
            host: host.clone(),
            link: 1,
            placer: placer.clone(),
            incarnation: 1,
        };
        let frame = Frame::Offer(offer(1));
        let mut records = vec![
            HistoryEntry {
                at_us: S,
                observation: link,
            },
            HistoryEntry {
                at_us: 2 * S,
                observation: Observation::InventoryReplaced {
                    ready: vec![(host.clone(), None)],
                    gone: vec![],
                },
            },
            HistoryEntry {
                at_us: 10 * S,
                observation: Observation::InventoryReplaced {
                    ready: vec![],
                    gone: vec![host.clone()],
                },
            },
            HistoryEntry {
                at_us: 14 * S,
                observation: Observation::FrameFromPlacer {
                    host: host.clone(),
                    link: 1,
                    frame,
                },
            },
        ];
        records.extend(happened.iter().map(|(at, seen)| HistoryEntry {
            at_us: *at,
            observation: seen.clone(),
        }));
        records.sort_by_key(|r| r.at_us);
        let there = Location {
            host: host.clone(),
            zone: name("z"),
            cell: name("c"),
        };
        let verdict = check(
            &records,
            &RuleParameters {
                hosts: vec![there],
                ..parameters()
            },
        );
        verdict.violations_by_rule().contains_key(&3)
    };
    let paused = |at| {
        (
            at,
            Observation::PlacerPaused {
                placer: placer.clone(),
            },
        )
    };
    let goes_on = |at| {
        (
            at,
            Observation::PlacerResumed {
                placer: placer.clone(),
            },
        )
    };
    let garbled = |at| (at, Observation::InventoryUnreadable);
    let sound = |at| {
        (
            at,
            Observation::InventoryReplaced {
                ready: vec![],
                gone: vec![host.clone()],
            },
        )
    };
    assert!(broken(&[]));
    assert!(
        !broken(&[paused(9 * S), goes_on(13 * S)]),
        "it stood still until then"
    );
    assert!(
        broken(&[paused(9 * S), goes_on(11 * S)]),
        "the grace is over since it went on"
    );
    assert!(
        !broken(&[paused(9 * S), garbled(10 * S + S / 2), goes_on(11 * S)]),
        "it could not read it then"
    );
    assert!(!broken(&[
        paused(9 * S),
        garbled(10 * S + S / 2),
        goes_on(11 * S),
        sound(13 * S)
    ]));
    assert!(broken(&[
        paused(9 * S),
        garbled(10 * S + S / 5),
        goes_on(10 * S + S / 2),
        sound(11 * S)
    ]));
    assert!(broken(&[garbled(11 * S)]), "it had read it by then");
    assert!(!broken(&[garbled(10 * S + 1000)]), "nobody reads that fast");
}
