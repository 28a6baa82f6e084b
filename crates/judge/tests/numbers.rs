//! Leased numbers: only holders send to cold hosts, no two hold one, and how long free ones wait.

mod support;

use maplethread_judge::{Figures, Record, Seen, Verdict, Where, judge};
use maplethread_wire::frame::Frame;

use support::{S, figures, name, offer};

fn locked(number: &str, placer: &str) -> Seen {
    Seen::NumberLocked {
        number: name(number),
        placer: name(placer),
    }
}

fn free(number: &str) -> Seen {
    Seen::NumberFree {
        number: name(number),
        after_us: S,
    }
}

/// Two placers and a host that is cold for all of the day.
fn verdict(happened: Vec<(u64, Seen)>) -> Verdict {
    let hosts = vec![Where {
        host: name("h"),
        zone: name("z"),
        cell: name("c"),
    }];
    let figures = Figures {
        hosts,
        cold_for: 1000 * S,
        ..figures()
    };
    let mut records = vec![Record {
        at: 0,
        seen: Seen::HostUp {
            host: name("h"),
            started_ms: 0,
        },
    }];
    for (link, placer) in ["p", "q"].into_iter().enumerate() {
        let placer = name(placer);
        records.push(Record {
            at: 1,
            seen: Seen::PlacerUp {
                placer: placer.clone(),
            },
        });
        let link = Seen::Link {
            host: name("h"),
            link: link as u64,
            placer,
            life: 1,
        };
        records.push(Record { at: 2, seen: link });
    }
    records.extend(happened.into_iter().map(|(at, seen)| Record { at, seen }));
    records.push(Record {
        at: 60 * S,
        seen: Seen::HostDown { host: name("h") },
    });
    judge(&records, &figures)
}

/// An offer by the first or the second placer.
fn offered(placer: u64, attempt: u64) -> Seen {
    Seen::FromPlacer {
        host: name("h"),
        link: placer,
        frame: Frame::Offer(offer(attempt)),
    }
}

fn broken(happened: Vec<(u64, Seen)>) -> Vec<String> {
    verdict(happened)
        .broken
        .into_iter()
        .map(|b| b.what)
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
    let again = |more: Vec<(u64, Seen)>| {
        let mut all = vec![
            (S, locked("0", "p")),
            (5 * S, Seen::PlacerDown { placer: name("p") }),
            (6 * S, Seen::PlacerUp { placer: name("p") }),
            (
                7 * S,
                Seen::Link {
                    host: name("h"),
                    link: 0,
                    placer: name("p"),
                    life: 2,
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
    let waits = |more: Vec<(u64, Seen)>| {
        let mut all = vec![(S, locked("0", "p")), (5 * S, free("0"))];
        all.extend(more);
        verdict(all).number_waits
    };
    // From the lock delay on.
    assert_eq!(waits(vec![(8 * S, locked("0", "q"))]), [2 * S]);
    // Nobody could take it while there was no leader, or nobody was there.
    let no_leader = (7 * S, Seen::NoLeader { for_us: 2 * S });
    assert_eq!(waits(vec![no_leader, (10 * S, locked("0", "q"))]), [2 * S]);
    let down = |placer| Seen::PlacerDown {
        placer: name(placer),
    };
    let paused = |placer| Seen::PlacerPaused {
        placer: name(placer),
    };
    let away = vec![
        (7 * S, down("p")),
        (7 * S, paused("q")),
        (9 * S, Seen::PlacerGoesOn { placer: name("q") }),
        (10 * S, locked("0", "q")),
    ];
    assert_eq!(waits(away), [2 * S]);
    // Never taken: it has waited until the end.
    assert_eq!(waits(vec![]), [54 * S]);
}
