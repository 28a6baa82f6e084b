//! Leased numbers: only holders send to cold hosts, no two hold one, and how long free ones wait.

mod support;

use maplethread_checker::{HistoryEntry, Location, Observation, RuleParameters, Verdict, check};
use maplethread_wire::frame::Frame;

use support::{S, name, offer, parameters};

fn index_locked(number: &str, placer: &str) -> Observation {
    Observation::ReplicaIndexLocked {
        number: name(number),
        placer: name(placer),
    }
}

fn index_released(number: &str) -> Observation {
    Observation::ReplicaIndexReleased {
        number: name(number),
        after_us: S,
    }
}

/// Two placers and a host that is cold for all of the day.
fn check_two_placers(happened: Vec<(u64, Observation)>) -> Verdict {
    let hosts = vec![Location {
        host: name("h"),
        zone: name("z"),
        cell: name("c"),
    }];
    let figures = RuleParameters {
        hosts,
        warm_up_us: 1000 * S,
        ..parameters()
    };
    let mut records = vec![HistoryEntry {
        at_us: 0,
        observation: Observation::HostStarted {
            host: name("h"),
            started_ms: 0,
        },
    }];
    for (link, placer) in ["p", "q"].into_iter().enumerate() {
        let placer = name(placer);
        records.push(HistoryEntry {
            at_us: 1,
            observation: Observation::PlacerStarted {
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
        observation: Observation::HostStopped { host: name("h") },
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

fn violations(happened: Vec<(u64, Observation)>) -> Vec<String> {
    check_two_placers(happened)
        .violations
        .into_iter()
        .map(|b| b.description)
        .collect()
}

#[test]
fn reports_warm_up_offer_without_replica_index() {
    assert!(violations(vec![(S, index_locked("0", "p")), (2 * S, offered(0, 1))]).is_empty());
    let why = violations(vec![(S, index_locked("0", "p")), (2 * S, offered(1, 1))]);
    assert!(why[0].contains("holds no number"), "{why:?}");
    // Let go of: until somebody else could have it, what is still on its way does no harm.
    let ended = |at| {
        violations(vec![
            (S, index_locked("0", "p")),
            (5 * S, index_released("0")),
            (at, offered(0, 1)),
        ])
    };
    assert!(ended(5 * S + S / 2).is_empty());
    assert!(ended(7 * S)[0].contains("was let go of"));
    // A new life holds nothing that it did not lock itself.
    let again = |more: Vec<(u64, Observation)>| {
        let mut all = vec![
            (S, index_locked("0", "p")),
            (5 * S, Observation::PlacerStopped { placer: name("p") }),
            (6 * S, Observation::PlacerStarted { placer: name("p") }),
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
        violations(all)
    };
    assert!(again(vec![(8 * S, offered(0, 1))])[0].contains("holds no number"));
    assert!(
        again(vec![
            (8 * S, index_locked("1", "p")),
            (9 * S, offered(0, 1))
        ])
        .is_empty()
    );
}

#[test]
fn reports_replica_index_held_twice() {
    assert!(
        violations(vec![
            (S, index_locked("0", "p")),
            (2 * S, index_locked("1", "q"))
        ])
        .is_empty()
    );
    assert!(
        violations(vec![
            (S, index_locked("0", "p")),
            (2 * S, index_locked("0", "q"))
        ])[0]
            .contains("p still held")
    );
    let after = |at| {
        violations(vec![
            (S, index_locked("0", "p")),
            (5 * S, index_released("0")),
            (at, index_locked("0", "q")),
        ])
    };
    assert_eq!(after(5 * S + S / 2).len(), 1, "within the lock delay");
    assert!(after(6 * S).is_empty());
}

#[test]
fn counts_wait_only_while_replica_index_could_be_locked() {
    let waits = |more: Vec<(u64, Observation)>| {
        let mut all = vec![(S, index_locked("0", "p")), (5 * S, index_released("0"))];
        all.extend(more);
        check_two_placers(all).replica_index_waits_us
    };
    // From the lock delay on.
    assert_eq!(waits(vec![(8 * S, index_locked("0", "q"))]), [2 * S]);
    // Nobody could take it while there was no leader, or nobody was there.
    let no_leader = (7 * S, Observation::CatalogueLeaderLost { for_us: 2 * S });
    assert_eq!(
        waits(vec![no_leader, (10 * S, index_locked("0", "q"))]),
        [2 * S]
    );
    let down = |placer| Observation::PlacerStopped {
        placer: name(placer),
    };
    let paused = |placer| Observation::PlacerPaused {
        placer: name(placer),
    };
    let away = vec![
        (7 * S, down("p")),
        (7 * S, paused("q")),
        (9 * S, Observation::PlacerResumed { placer: name("q") }),
        (10 * S, index_locked("0", "q")),
    ];
    assert_eq!(waits(away), [2 * S]);
    // Never taken: it has waited until the end.
    assert_eq!(waits(vec![]), [54 * S]);
}
