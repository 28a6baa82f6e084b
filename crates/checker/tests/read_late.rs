//! What a late reader of the record changes: no sender is blamed for it, and nothing else is excused.

use std::sync::Arc;

use maplethread_checker::{
    HistoryEntry, Location, Observation, Observer, Outcome, RuleParameters, check,
};
use maplethread_wire::frame::{DuplicatePolicy, Frame, Offer, ResourceAmounts};

const S: u64 = 1_000_000;
const MS: u64 = 1_000;

fn name(text: &str) -> Arc<str> {
    text.into()
}

fn parameters() -> RuleParameters {
    RuleParameters {
        classes: Vec::new(),
        hosts: vec![Location {
            host: name("h"),
            zone: name("z"),
            cell: name("c"),
        }],
        placer_count: 1,
        drain_grace_us: 2 * S,
        warm_up_us: 1000 * S,
        overload_window_us: 2 * S,
        warm_up_offers: 16.0,
        lost_after_us: 5 * S,
        resume_grace_us: S / 2,
        timing_slack_us: 150 * MS,
    }
}

/// How often a rule is broken by these records.
fn violation_count(rule: u8, mut records: Vec<HistoryEntry>) -> u64 {
    records.sort_by_key(|r| r.at_us);
    check(&records, &parameters())
        .violations_by_rule()
        .get(&rule)
        .copied()
        .unwrap_or(0)
}

fn observer_delayed(reader: Observer, at: u64, since: Option<u64>) -> HistoryEntry {
    HistoryEntry {
        at_us: at,
        observation: Observation::ObserverDelayed { reader, since },
    }
}

#[test]
fn reports_late_answer_only_if_observer_read_after_deadline() {
    let deadline = 13 * S;
    let answered_after = |span: u64, notes: Vec<HistoryEntry>| {
        let asked = Observation::PlacementRequested {
            request: name("r"),
            placer: name("p"),
            class: name("c"),
            budget_us: 3 * S,
        };
        let answered = Observation::Answered {
            request: name("r"),
            outcome: Outcome::Failed,
        };
        let mut records = vec![
            HistoryEntry {
                at_us: 10 * S,
                observation: asked,
            },
            HistoryEntry {
                at_us: deadline + span,
                observation: answered,
            },
        ];
        records.extend(notes);
        violation_count(1, records)
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
    assert_eq!(answered_after(300 * MS, vec![hosts]), 1, "another reader");
}

fn offer(at: u64, attempt: u64) -> HistoryEntry {
    let offer = Offer {
        attempt_id: attempt,
        prior_attempts: 0,
        service: "s".into(),
        actor: "a".into(),
        class: "c".into(),
        request_id: attempt.to_string(),
        requested: ResourceAmounts {
            cores: 1.0,
            memory_gib: 1.0,
        },
        priority: 0,
        duplicate_policy: DuplicatePolicy::Idempotent,
        expected_duration_ms: 0,
        answer_timeout_ms: 100,
    };
    HistoryEntry {
        at_us: at,
        observation: Observation::FrameFromPlacer {
            host: name("h"),
            link: 1,
            frame: Frame::Offer(offer),
        },
    }
}

#[test]
fn counts_delayed_offers_from_earliest_possible_arrival() {
    // As many as a cold host bears, read at 10 s, and one more after `gap`.
    let offered = |gap: u64, notes: Vec<HistoryEntry>| {
        let link = Observation::PlacerConnected {
            host: name("h"),
            link: 1,
            placer: name("p"),
            incarnation: 1,
        };
        let mut records = vec![
            HistoryEntry {
                at_us: 0,
                observation: Observation::HostStarted {
                    host: name("h"),
                    started_ms: 0,
                },
            },
            HistoryEntry {
                at_us: 1,
                observation: link,
            },
        ];
        records.extend((0..16).map(|n| offer(10 * S, n)));
        records.push(offer(10 * S + gap, 16));
        records.extend(notes);
        violation_count(4, records)
    };
    let hosts = |since| observer_delayed(Observer::Hosts, 10 * S - MS, Some(since));
    assert_eq!(offered(1_900 * MS, vec![]), 0, "within the slack");
    assert_eq!(offered(1_500 * MS, vec![]), 1);
    let again = || observer_delayed(Observer::Hosts, 10 * S + MS, None);
    assert_eq!(
        offered(1_500 * MS, vec![hosts(9_400 * MS), again()]),
        0,
        "the first came up to 600 ms before"
    );
    assert_eq!(
        offered(1_500 * MS, vec![hosts(9_600 * MS), again()]),
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
    let offered = |at: u64, notes: Vec<HistoryEntry>| {
        let link = Observation::PlacerConnected {
            host: name("h"),
            link: 1,
            placer: name("p"),
            incarnation: 1,
        };
        let drain = Observation::FrameFromHost {
            host: name("h"),
            link: 1,
            frame: Frame::Drain,
        };
        let mut records = vec![
            HistoryEntry {
                at_us: S,
                observation: link,
            },
            HistoryEntry {
                at_us: 10 * S,
                observation: drain,
            },
            offer(at, 1),
        ];
        records.extend(notes);
        violation_count(3, records)
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

/// A connection of the placer to the host.
fn link(link: u64) -> HistoryEntry {
    HistoryEntry {
        at_us: link,
        observation: Observation::PlacerConnected {
            host: name("h"),
            link,
            placer: name("p"),
            incarnation: 1,
        },
    }
}

/// The second attempt of the ask whose first is attempt 1, on a connection of its own.
fn second_attempt() -> HistoryEntry {
    let mut second = offer(10 * S, 2);
    if let Observation::FrameFromPlacer {
        link,
        frame: Frame::Offer(offer),
        ..
    } = &mut second.observation
    {
        (*link, offer.request_id, offer.prior_attempts) = (2, "1".to_owned(), 1);
    }
    second
}

#[test]
fn accepts_second_attempt_if_first_was_ended_in_time() {
    // Two offers for one ask to two hosts, and the first called off: read after `gap`.
    let doubled = |gap: u64, notes: Vec<HistoryEntry>| {
        let second = second_attempt();
        let cancel = Observation::FrameFromPlacer {
            host: name("h"),
            link: 1,
            frame: Frame::Cancel(1),
        };
        let mut records = vec![link(1), link(2), offer(9 * S, 1), second];
        records.push(HistoryEntry {
            at_us: 10 * S + gap,
            observation: cancel,
        });
        // Time goes on at others while the reader is away.
        records.push(HistoryEntry {
            at_us: 10 * S + 200 * MS,
            observation: Observation::PlacerStarted { placer: name("q") },
        });
        records.push(offer(20 * S, 3));
        records.extend(notes);
        violation_count(2, records)
    };
    let late_since = |since| {
        vec![
            observer_delayed(Observer::Hosts, 10 * S + 300 * MS, Some(since)),
            observer_delayed(Observer::Hosts, 11 * S, None),
        ]
    };
    assert_eq!(doubled(140 * MS, vec![]), 0, "within the slack");
    assert_eq!(doubled(400 * MS, vec![]), 1);
    assert_eq!(
        doubled(400 * MS, late_since(10 * S + 100 * MS)),
        0,
        "it may have been sent within the slack"
    );
    assert_eq!(
        doubled(400 * MS, late_since(10 * S + 200 * MS)),
        1,
        "there was nothing of it by then"
    );
}

#[test]
fn checks_offers_of_one_request_in_order_of_sending() {
    // The second attempt is read first; the first, with its call-off, only then.
    let read_first = |cancelled: bool| {
        let second = second_attempt();
        let mut records = vec![
            link(1),
            link(2),
            second,
            offer(10 * S + 2 * MS, 1),
            offer(20 * S, 3),
        ];
        if cancelled {
            let cancel = Observation::FrameFromPlacer {
                host: name("h"),
                link: 1,
                frame: Frame::Cancel(1),
            };
            records.push(HistoryEntry {
                at_us: 10 * S + 3 * MS,
                observation: cancel,
            });
        }
        violation_count(2, records)
    };
    assert_eq!(
        read_first(true),
        0,
        "the first was over when the second was sent"
    );
    assert_eq!(read_first(false), 1);
}
