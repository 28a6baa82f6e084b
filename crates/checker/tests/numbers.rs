//! Leased numbers: only holders send to cold hosts, no two hold one, and how long free ones wait.

mod support;

use maplethread_checker::{HistoryEntry, Location, Observation, RuleParameters, Verdict, check};
use maplethread_wire::frame::Frame;

use support::{S, figures, name, offer};

fn locked(number: &str, placer: &str) -> Observation {
    Observation::NumberLocked {
        number: name(number),
        placer: name(placer),
    }
}

fn free(number: &str) -> Observation {
    Observation::NumberFree {
        number: name(number),
        after_us: S,
    }
}

/// Two placers and a host that is cold for all of the day.
fn verdict(happened: Vec<(u64, Observation)>) -> Verdict {
    let hosts = vec![Location {
        host: name("h"),
        zone: name("z"),
        cell: name("c"),
    }];
    let figures = RuleParameters {
        hosts,
        cold_for: 1000 * S,
        ..figures()
    };
    let mut records = vec![HistoryEntry {
        at_us: 0,
        observation: Observation::HostUp {
            host: name("h"),
            started_ms: 0,
        },
    }];
    for (link, placer) in ["p", "q"].into_iter().enumerate() {
        let placer = name(placer);
        records.push(HistoryEntry {
            at_us: 1,
            observation: Observation::PlacerUp {
                placer: placer.clone(),
            },
        });
        let link = Observation::PlacerConnected {
            host: name("h"),
            link: link as u64,
            placer,
            incarnation: 1,
        };
        records.push(HistoryEntry {
            at_us: 2,
            observation: link,
        });
    }
    records.extend(happened.into_iter().map(|(at, seen)| HistoryEntry {
        at_us: at,
        observation: seen,
    }));
    records.push(HistoryEntry {
        at_us: 60 * S,
        observation: Observation::HostDown { host: name("h") },
    });
    check(&records, &figures)
}

/// An offer by the first or the second placer.
fn offered(placer: u64, attempt: u64) -> Observation {
    Observation::FrameFromPlacer {
        host: name("h"),
        link: placer,
        frame: Frame::Offer(offer(attempt)),
    }
}

fn broken(happened: Vec<(u64, Observation)>) -> Vec<String> {
    verdict(happened)
        .violations
        .into_iter()
        .map(|b| b.description)
        .collect()
}

#[test]
fn only_who_holds_a_number_sends_to_cold_hosts() {
    assert!(broken(vec![(S, locked("0", "p")), (2 * S, offered(0, 1))]).is_empty());
    let why = broken(vec![(S, locked("0", "p")), (2 * S, offered(1, 1))]);
    assert!(why[0].contains("holds no number"), "{why:?}");
    // Let go of: until somebody else could have it, what is still on its way does no harm.
    let ended = |at| {
        broken(vec![
            (S, locked("0", "p")),
            (5 * S, free("0")),
            (at, offered(0, 1)),
        ])
    };
    assert!(ended(5 * S + S / 2).is_empty());
    assert!(ended(7 * S)[0].contains("was let go of"));
    // A new life holds nothing that it did not lock itself.
    let again = |more: Vec<(u64, Observation)>| {
        let mut all = vec![
            (S, locked("0", "p")),
            (5 * S, Observation::PlacerDown { placer: name("p") }),
            (6 * S, Observation::PlacerUp { placer: name("p") }),
            (
                7 * S,
                Observation::PlacerConnected {
                    host: name("h"),
                    link: 0,
                    placer: name("p"),
                    incarnation: 2,
                },
            ),
        ];
        all.extend(more);
        broken(all)
    };
    assert!(again(vec![(8 * S, offered(0, 1))])[0].contains("holds no number"));
    assert!(again(vec![(8 * S, locked("1", "p")), (9 * S, offered(0, 1))]).is_empty());
}

#[test]
fn no_two_hold_one_number() {
    assert!(broken(vec![(S, locked("0", "p")), (2 * S, locked("1", "q"))]).is_empty());
    assert!(
        broken(vec![(S, locked("0", "p")), (2 * S, locked("0", "q"))])[0].contains("p still held")
    );
    let after = |at| {
        broken(vec![
            (S, locked("0", "p")),
            (5 * S, free("0")),
            (at, locked("0", "q")),
        ])
    };
    assert_eq!(after(5 * S + S / 2).len(), 1, "within the lock delay");
    assert!(after(6 * S).is_empty());
}

#[test]
fn a_free_number_waits_while_it_could_be_taken() {
    let waits = |more: Vec<(u64, Observation)>| {
        let mut all = vec![(S, locked("0", "p")), (5 * S, free("0"))];
        all.extend(more);
        verdict(all).number_waits
    };
    // From the lock delay on.
    assert_eq!(waits(vec![(8 * S, locked("0", "q"))]), [2 * S]);
    // Nobody could take it while there was no leader, or nobody was there.
    let no_leader = (7 * S, Observation::NoLeader { for_us: 2 * S });
    assert_eq!(waits(vec![no_leader, (10 * S, locked("0", "q"))]), [2 * S]);
    let down = |placer| Observation::PlacerDown {
        placer: name(placer),
    };
    let paused = |placer| Observation::PlacerPaused {
        placer: name(placer),
    };
    let away = vec![
        (7 * S, down("p")),
        (7 * S, paused("q")),
        (9 * S, Observation::PlacerGoesOn { placer: name("q") }),
        (10 * S, locked("0", "q")),
    ];
    assert_eq!(waits(away), [2 * S]);
    // Never taken: it has waited until the end.
    assert_eq!(waits(vec![]), [54 * S]);
}
