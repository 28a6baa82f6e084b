//! Files of a module's run: what was written is read back, what is damaged or cut off costs itself only, and a replay
//! comes to the same decisions.
#![allow(clippy::too_many_lines, reason = "some cases are told in one piece")]

use std::io::Cursor;

use maplethread::*;
use maplethread_trace::cut::{Filter, SelectedTasks};
use maplethread_trace::replay::Replay;
use maplethread_trace::summary::Summary;
use maplethread_trace::{
    Header, Outcome, Part, Reader, Record, TimedRecord, TraceError, Turn, Writer,
};
use proptest::prelude::*;

const S: u64 = 1_000_000;
const FIXTURES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures");

fn settings() -> Settings {
    Settings {
        replica_count: 1,
        replica_index: 0,
        zone: 0,
        classes: vec![Class {
            retry_safety: RetrySafety::Idempotent,
            latency_objective: S,
            priority_weight: 1.0,
            start_bonus_s: 10.0,
            priority: 0,
            machine_kind: None,
            spread_limit: None,
        }],
        kinds: vec![Resources::new(16.0, 64.0)],
        discovery: DiscoveryMode::Watch,
        acceptance_point: AcceptancePoint::Accepted,
        cpu_overcommit: 1.0,
        memory_overcommit: 1.0,
        endpoints_report_capacity: false,
        load_report: LoadReport::Unallocated,
        limits: Limits {
            max_attempts: 3,
            can_cancel: true,
            can_probe: true,
            can_message_peers: false,
            max_retry_after: Some(60 * S),
        },
        rules: Rules {
            max_poll_interval: 10 * S,
            initial_capacity_share: 0.2,
            warm_up_duration: 5 * S,
            overload_multiple: 3.0,
            overload_window: 2 * S,
            warm_up_offers: 20.0,
        },
        costs: Costs::default(),
    }
}

fn header() -> Header {
    Header {
        writer: "test".into(),
        module: maplethread_trace::module_hash(),
        placer: "p0".into(),
        started_ms: 1_700_000_000_000,
        seed: 7,
        settings: Some(settings()),
        classes: vec!["web".into()],
        part: 0,
        changed: Vec::new(),
        sources: Vec::new(),
    }
}

/// A run of a real module: asks by turns for each of some services, every hundredth attempt refused.
fn recorded_run(asks: u64, services: u64) -> Vec<TimedRecord> {
    let mut module = Placer::new(settings(), 7).expect("settings");
    let mut now = 1_700_000_000 * S;
    let mut records = Vec::new();
    let listing = |n: u32| MachineEntry {
        machine: MachineId(n),
        stable_hash: u64::from(n) * 77,
        zone: 0,
        cell: n / 2,
        kind: 0,
        state: MachineState::Ready,
        started_at: None,
        unallocated: None,
    };
    for n in 0..4 {
        let (zone, cell) = ("a".to_owned(), format!("c{}", n / 2));
        let record = Record::Host {
            machine: n,
            name: format!("host-{n}"),
            zone,
            cell,
            kind: "std".into(),
        };
        records.push(TimedRecord { at: now, record });
    }
    for n in 0..services {
        records.push(TimedRecord {
            at: now,
            record: Record::Service {
                service: n,
                name: format!("service-{n}"),
            },
        });
    }
    let mut events = vec![Event::EndpointsUpdated {
        scope: UpdateScope::Full,
        machines: (0..4).map(listing).collect(),
    }];
    let mut next = 0;
    for turn in 0..asks * 3 {
        if next < asks {
            let task = Task {
                id: TaskId(next),
                service: ServiceId(next % services),
                class: 0,
                requested: Resources::new(0.01, 0.02),
                expected_duration: None,
                deadline: now + 3 * S,
                is_resubmission: false,
            };
            let asked = Record::RequestReceived {
                task: next,
                service: next % services,
                actor: format!("a{next}"),
                class: 0,
                request_id: format!("r{next}"),
                idempotency_key: None,
                received_at: now,
            };
            records.push(TimedRecord {
                at: now,
                record: asked,
            });
            events.push(Event::PlacementRequested(task));
            next += 1;
        }
        let mut actions = Vec::new();
        module.turn(now, &events, &mut actions);
        let turn_is = Turn {
            now,
            events: std::mem::take(&mut events),
            actions: actions.clone(),
        };
        records.push(TimedRecord {
            at: now,
            record: Record::Turn(turn_is),
        });
        for action in actions {
            if let Action::Offer { task, machine, .. } = action {
                let id = AttemptId { task, number: 0 };
                if task.0 % 100 == 3 {
                    let end = AttemptResult {
                        outcome: AttemptOutcome::Rejected,
                        reason: Some(FailureReason::Cores),
                        closes_task: false,
                        load: None,
                    };
                    events.push(Event::AttemptFinished {
                        attempt: id,
                        result: end,
                    });
                    events.push(Event::ClientDisconnected(task));
                    let outcome = Outcome::Rejected {
                        reason: "cores".into(),
                        retry_after_ms: 500,
                    };
                    let record = Record::Answered {
                        task: task.0,
                        outcome,
                        attempts: 1,
                        elapsed: 900,
                    };
                    records.push(TimedRecord { at: now, record });
                } else {
                    events.push(Event::AttemptAccepted {
                        attempt: id,
                        elapsed: Some(1000),
                    });
                    let outcome = Outcome::Placed { host: machine.0 };
                    let record = Record::Answered {
                        task: task.0,
                        outcome,
                        attempts: 1,
                        elapsed: 1000,
                    };
                    records.push(TimedRecord { at: now, record });
                }
            }
        }
        now += 1000 + turn % 7;
    }
    records
}

fn write_trace(records: &[TimedRecord]) -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut writer = Writer::new(&mut bytes, &header()).expect("a header");
    for (n, record) in records.iter().enumerate() {
        writer.push(record).expect("a record");
        if n % 200 == 199 {
            writer.flush().expect("a block");
        }
    }
    writer.finish().expect("an index");
    bytes
}

/// All records of a file, and the octets that were damaged.
fn read(bytes: &[u8]) -> Result<(Vec<TimedRecord>, u64), TraceError> {
    let mut reader = Reader::open(Cursor::new(bytes))?;
    let (mut all, mut lost) = (Vec::new(), 0);
    while let Some(part) = reader.next_part()? {
        match part {
            Part::Block { records, .. } => all.extend(records),
            Part::Damaged {
                byte_count: octets, ..
            } => lost += octets,
        }
    }
    Ok((all, lost))
}

/// Without the names that are said again.
fn without_names(records: &[TimedRecord]) -> Vec<&TimedRecord> {
    records
        .iter()
        .filter(|r| !matches!(r.record, Record::Host { .. } | Record::Service { .. }))
        .collect()
}

#[test]
fn written_trace_is_read_back_and_replays_without_a_difference() {
    let records = recorded_run(300, 5);
    let bytes = write_trace(&records);
    let (got, lost) = read(&bytes).expect("a file");
    assert_eq!((without_names(&got), lost), (without_names(&records), 0));
    let mut replay = Replay::new(&header()).expect("a module");
    got.iter().for_each(|r| replay.feed(r));
    let found = &replay.result;
    assert!(
        found.turns == 900 && found.compared_actions > 300 && found.differing_turns == 0,
        "{found:?}"
    );
    assert!(found.moved_offer_share().abs() < 1e-9, "{found:?}");
    // With another seed, or one event less, it is not the same run.
    let mut replay = Replay::new(&Header {
        seed: 8,
        ..header()
    })
    .expect("a module");
    got.iter().for_each(|r| replay.feed(r));
    assert!(replay.result.differing_turns > 0);
    let first = replay.result.first_difference.expect("a difference");
    assert!(first.recorded != first.replayed && first.time_us >= records[0].at);
    // What if: machines too small for any of it.
    let small = Settings {
        kinds: vec![Resources::new(0.001, 0.001)],
        ..settings()
    };
    let mut replay = Replay::with_settings(&header(), Some(small)).expect("a module");
    got.iter().for_each(|r| replay.feed(r));
    let refused = replay
        .result
        .actions_by_kind
        .get("refuse")
        .copied()
        .unwrap_or_default();
    assert!(
        replay.result.differing_turns > 0 && refused == [0, 300],
        "{:?}",
        replay.result.actions_by_kind
    );
    assert!(
        replay
            .result
            .offers_by_host
            .values()
            .all(|[recorded, replayed]| *recorded > 0 && *replayed == 0)
    );
    assert_eq!(
        replay.result.moved_offer_share(),
        1.0,
        "all of them would go nowhere"
    );
    // A gap ends what can be compared.
    let gap = TimedRecord {
        at: 1,
        record: Record::Gap {
            turns: 1,
            records: 1,
            reason: "slow disk".into(),
        },
    };
    let mut replay = Replay::new(&header()).expect("a module");
    replay.feed(&gap);
    got.iter().for_each(|r| replay.feed(r));
    assert_eq!(
        (replay.result.turns, replay.result.turns_after_gap),
        (0, 900)
    );
}

#[test]
fn truncated_file_opens_up_to_its_last_whole_block() {
    let records = recorded_run(60, 3);
    let bytes = write_trace(&records);
    let whole = read(&bytes).expect("a file").0;
    let mut seen = 0;
    for length in 0..bytes.len() {
        match read(&bytes[..length]) {
            Ok((got, _)) => {
                assert!(whole.starts_with(&got), "cut at {length}");
                assert!(got.len() >= seen, "a longer piece holds no less");
                seen = got.len();
            }
            Err(TraceError::NotATrace(_)) => assert_eq!(seen, 0),
            Err(e) => panic!("cut at {length}: {e}"),
        }
    }
    assert_eq!(seen, whole.len());
}

#[test]
fn flipped_bit_loses_only_its_block() {
    let records = recorded_run(40, 3);
    let bytes = write_trace(&records);
    let whole = read(&bytes).expect("a file").0;
    let header = {
        let mut out = Vec::new();
        header().write(&mut out).expect("a header")
    } as usize;
    for at in 0..bytes.len() {
        let mut bad = bytes.clone();
        bad[at] ^= 1 << (at % 8);
        match read(&bad) {
            Ok((got, _)) => {
                assert!(at >= header, "a damaged header at {at} was taken");
                // Never a wrong record, and never more lost than a block of two hundred and its names.
                let mut rest = whole.iter();
                assert!(
                    got.iter().all(|r| rest.any(|w| w == r)),
                    "a wrong record at {at}"
                );
                assert!(
                    got.len() + 220 >= whole.len(),
                    "{} of {} left at {at}",
                    got.len(),
                    whole.len()
                );
            }
            Err(TraceError::NotATrace(_) | TraceError::UnsupportedVersion(..)) => {
                assert!(at < header, "{at}")
            }
            Err(e) => panic!("flipped at {at}: {e}"),
        }
    }
}

#[test]
fn rejects_newer_major_version_and_counts_unknown_records_of_newer_minor_version() {
    let mut bytes = write_trace(&recorded_run(1, 1));
    bytes[8] = 2;
    let error = Reader::open(Cursor::new(&bytes)).err().expect("too new");
    assert_eq!(
        error.to_string(),
        "format version 2.1, this program reads 1.x"
    );
    assert!(Reader::open(Cursor::new(b"GIF89a".as_slice())).is_err());
    // A newer minor version, with a kind of record that nobody here knows: it is passed over and counted.
    let mut bytes = Vec::new();
    header().write(&mut bytes).expect("a header");
    bytes[10] = 9;
    let check = bytes.len() - 16;
    let hash = blake3::hash(&bytes[..check]);
    bytes[check..].copy_from_slice(&hash.as_bytes()[..16]);
    let stopped = postcard::to_stdvec(&Record::Stopped).expect("a record");
    let mut raw = vec![0];
    for record in [&stopped[..], &[99, 1, 2, 3], &stopped] {
        raw.extend([record.len() as u8, 0]);
        raw.extend_from_slice(record);
    }
    let payload = zstd::bulk::compress(&raw, 3).expect("zstd");
    let mut head = b"MTB1".to_vec();
    [payload.len() as u32, raw.len() as u32, 3]
        .iter()
        .for_each(|n| head.extend(n.to_le_bytes()));
    [5u64, 5].iter().for_each(|n| head.extend(n.to_le_bytes()));
    let check = blake3::hash(&[&head[..], &payload].concat());
    bytes.extend([&head[..], &check.as_bytes()[..16], &payload].concat());
    let mut reader = Reader::open(Cursor::new(&bytes)).expect("a file of a newer minor version");
    assert!(reader.is_newer_minor_version());
    match reader.next_part().expect("no fault") {
        Some(Part::Block {
            records,
            unknown_records: unknown,
            ..
        }) => assert_eq!((records.len(), unknown), (2, 1)),
        part => panic!("{part:?}"),
    }
}

#[test]
fn reads_fixture_of_every_format_version() {
    let mut versions = 0;
    for entry in std::fs::read_dir(FIXTURES).expect("a folder") {
        let path = entry.expect("an entry").path();
        let bytes = std::fs::read(&path).expect("a file");
        let (got, lost) = read(&bytes).expect("a trace");
        assert_eq!(
            (without_names(&got).len(), lost),
            (without_names(&recorded_run(20, 2)).len(), 0),
            "{}",
            path.display()
        );
        let index = Reader::open(Cursor::new(&bytes))
            .expect("a trace")
            .read_index()
            .expect("no fault");
        assert!(index.is_some(), "{}", path.display());
        versions += 1;
    }
    assert!(versions >= 2);
}

#[test]
fn cuts_one_service_by_reading_only_its_blocks() {
    let records = recorded_run(2000, 400);
    let bytes = write_trace(&records);
    let mut reader = Reader::open(Cursor::new(&bytes)).expect("a file");
    let index = reader.read_index().expect("no fault").expect("an index");
    let wanted = Filter {
        service: Some(17),
        ..Filter::default()
    };
    let at: Vec<u64> = index
        .iter()
        .filter(|e| wanted.may_match_block(e))
        .map(|e| e.offset)
        .collect();
    assert!(
        at.len() * 4 < index.len(),
        "{} of {} blocks",
        at.len(),
        index.len()
    );
    let mut found = Vec::new();
    for &at in &at {
        if let Part::Block { records, .. } = reader.read_block(at).expect("a block") {
            found.extend(records);
        }
    }
    let mut chosen = SelectedTasks::default();
    found.iter().for_each(|r| chosen.scan(&wanted, r));
    let kept: Vec<TimedRecord> = found
        .iter()
        .filter_map(|r| chosen.filter_record(&wanted, r))
        .collect();
    let asked = kept
        .iter()
        .filter(|r| matches!(r.record, Record::RequestReceived { service: 17, .. }))
        .count();
    let others = kept
        .iter()
        .filter(|r| matches!(r.record, Record::RequestReceived { service, .. } if service != 17));
    assert_eq!((asked, others.count()), (5, 0));
    // The same from the whole file, without the index.
    let mut all = SelectedTasks::default();
    records.iter().for_each(|r| all.scan(&wanted, r));
    let slow: Vec<TimedRecord> = records
        .iter()
        .filter_map(|r| all.filter_record(&wanted, r))
        .collect();
    assert_eq!(without_names(&kept), without_names(&slow));
}

#[test]
fn summary_counts_requests_outcomes_and_offers() {
    let mut summary = Summary::new(&header());
    recorded_run(300, 5).iter().for_each(|r| summary.feed(r));
    let json = summary.to_json();
    let web = &json["classes"]["web"];
    let outcomes = &web["outcomes"];
    assert_eq!(
        (&web["asked"], &outcomes["placed"], &outcomes["refused"]),
        (&300.into(), &297.into(), &3.into())
    );
    assert_eq!(web["refused_for"]["cores"], 3);
    assert_eq!(json["turns"], 900);
    let offers: u64 = (0..4)
        .filter_map(|n| json["hosts"][format!("host-{n}")]["offers"].as_u64())
        .sum();
    assert_eq!(offers, 300);
    assert!(
        summary.to_text().contains("refused for cores 3"),
        "{}",
        summary.to_text()
    );
}

#[test]
fn summary_shows_rejections_over_time_warm_up_offers_and_placement_times() {
    let begin = 1_700_000_000 * S;
    let mut summary = Summary::new(&header());
    let mut turn = |at: u64, events: Vec<Event>, actions: Vec<Action>| {
        let turn = Record::Turn(Turn {
            now: begin + at,
            events,
            actions,
        });
        summary.feed(&TimedRecord {
            at: begin + at,
            record: turn,
        });
    };
    let listing = MachineEntry {
        machine: MachineId(1),
        stable_hash: 1,
        zone: 0,
        cell: 0,
        kind: 0,
        state: MachineState::Ready,
        started_at: Some(begin),
        unallocated: None,
    };
    turn(
        0,
        vec![Event::EndpointsUpdated {
            scope: UpdateScope::Full,
            machines: vec![listing],
        }],
        vec![],
    );
    // Cold for 5 s; windows of 2 s: two offers in one, then one more, then one when it is warm.
    for (task, at) in [(1, S), (2, 2 * S), (3, 4 * S), (4, 12 * S), (5, 25 * S)] {
        turn(
            at,
            vec![],
            vec![Action::Offer {
                task: TaskId(task),
                machine: MachineId(1),
                timeout: S,
            }],
        );
        let why = if task == 5 {
            FailureReason::QueueFull
        } else {
            FailureReason::Cores
        };
        let end = AttemptResult {
            outcome: AttemptOutcome::Rejected,
            reason: Some(why),
            closes_task: false,
            load: None,
        };
        turn(
            at + 1000,
            vec![Event::AttemptFinished {
                attempt: AttemptId {
                    task: TaskId(task),
                    number: 0,
                },
                result: end,
            }],
            vec![],
        );
    }
    for (task, after) in [(6, 900), (7, 3000)] {
        let answered = Record::Answered {
            task,
            outcome: Outcome::Placed { host: 1 },
            attempts: 1,
            elapsed: after,
        };
        summary.feed(&TimedRecord {
            at: begin + 26 * S,
            record: answered,
        });
    }
    let json = summary.to_json();
    let host = &json["hosts"]["#1"];
    assert_eq!(
        host["refused_from_s"]["Cores"],
        serde_json::json!({"0": 3, "10": 1})
    );
    assert_eq!(host["refused_from_s"]["Line"], serde_json::json!({"20": 1}));
    assert_eq!(
        (&host["cold_offers"], &host["cold_most_in_window"]),
        (&3.into(), &2.into())
    );
    assert_eq!(json["cold_budget"]["window_ms"], 2000);
    let rows = json["ask_to_placed_histogram"]["rows"]
        .as_array()
        .expect("rows");
    let asks: Vec<u64> = rows.iter().filter_map(|row| row[1].as_u64()).collect();
    assert_eq!(asks, [1, 0, 1], "up to 1, 2 and 4 ms: {rows:?}");
    assert!(
        summary
            .to_text()
            .contains("cold hosts: 3 offers, at most 2 to one in 2.0 s"),
        "{}",
        summary.to_text()
    );
}

fn arbitrary_record() -> impl Strategy<Value = Record> {
    let event = prop_oneof![
        any::<Option<u32>>().prop_map(Event::ReplicaIndexChanged),
        (any::<u32>(), any::<bool>()).prop_map(|(m, on)| Event::ConnectionChanged {
            machine: MachineId(m),
            is_connected: on
        }),
        (
            any::<u64>(),
            any::<u32>(),
            any::<f64>().prop_filter("equal to itself", |x| !x.is_nan())
        )
            .prop_map(|(task, number, x)| Event::TaskReported {
                attempt: AttemptId {
                    task: TaskId(task),
                    number
                },
                report: TaskReport::ServiceShare(x)
            }),
        (any::<u32>(), prop::collection::vec(any::<u8>(), 0..9))
            .prop_map(|(from, bytes)| Event::PeerMessage { from, bytes }),
    ];
    let action = prop_oneof![
        (any::<u64>(), any::<u32>(), any::<u64>()).prop_map(|(t, m, w)| Action::Offer {
            task: TaskId(t),
            machine: MachineId(m),
            timeout: w
        }),
        (any::<u64>(), any::<Option<u64>>()).prop_map(|(t, w)| Action::Reject {
            task: TaskId(t),
            retry_after: w
        }),
        any::<String>().prop_map(Action::Log),
    ];
    prop_oneof![
        (
            any::<u64>(),
            prop::collection::vec(event, 0..4),
            prop::collection::vec(action, 0..4)
        )
            .prop_map(|(now, events, actions)| Record::Turn(Turn {
                now,
                events,
                actions
            })),
        (any::<u32>(), any::<String>()).prop_map(|(machine, name)| Record::Host {
            machine,
            zone: name.clone(),
            cell: String::new(),
            kind: String::new(),
            name
        }),
        (
            any::<u64>(),
            any::<u64>(),
            any::<String>(),
            any::<Option<String>>()
        )
            .prop_map(
                |(task, service, actor, idempotency_key)| Record::RequestReceived {
                    task,
                    service,
                    request_id: actor.clone(),
                    actor,
                    class: 0,
                    idempotency_key,
                    received_at: task
                }
            ),
        (any::<u64>(), any::<u64>(), any::<String>()).prop_map(|(turns, records, reason)| {
            Record::Gap {
                turns,
                records,
                reason,
            }
        }),
    ]
}

proptest! {
    #[test]
    fn any_records_come_back(all in prop::collection::vec((any::<u64>(), arbitrary_record()), 0..40)) {
        let all: Vec<TimedRecord> = all.into_iter().map(|(at, record)| TimedRecord { at, record }).collect();
        let (got, lost) = read(&write_trace(&all)).expect("a file");
        prop_assert_eq!(lost, 0);
        prop_assert_eq!(without_names(&got), without_names(&all));
    }

    #[test]
    fn any_octets_after_a_header_are_survived(octets in prop::collection::vec(any::<u8>(), 0..400)) {
        let mut bytes = Vec::new();
        header().write(&mut bytes).expect("a header");
        bytes.extend_from_slice(&octets);
        let (got, _) = read(&bytes).expect("the header is sound");
        prop_assert!(got.is_empty());
    }
}

/// Writes the fixture; run by hand once for each version of the format.
#[test]
#[ignore = "writes the fixture of a new version"]
fn writes_fixture_of_current_format_version() {
    use maplethread_trace::header::{MAJOR, MINOR};
    let path = format!("{FIXTURES}/v{MAJOR}.{MINOR}.mtrace");
    let mut file = std::fs::File::create_new(path).expect("a version without a fixture");
    std::io::Write::write_all(&mut file, &write_trace(&recorded_run(20, 2))).expect("a file");
}

#[test]
fn anonymised_names_are_equal_within_a_file_and_differ_between_files() {
    use maplethread_trace::anonymise::{Anonymiser, Identifiers};
    let long = "n".repeat(5000);
    let names = [
        "",
        "a",
        "ledger",
        "ledger-1",
        "edge",
        &long,
        "../../etc",
        "\u{0}\u{7f}",
        "Überweisung",
        "host~",
    ];
    let mut records = recorded_run(20, 3);
    let at = records[0].at;
    for (n, name) in names.iter().enumerate() {
        let n = n as u64;
        records.push(TimedRecord {
            at,
            record: Record::Service {
                service: 1000 + n,
                name: (*name).to_owned(),
            },
        });
        let asked = Record::RequestReceived {
            task: 1000 + n,
            service: 1000 + n,
            actor: (*name).to_owned(),
            class: 0,
            request_id: (*name).to_owned(),
            idempotency_key: Some((*name).to_owned()),
            received_at: at,
        };
        records.push(TimedRecord { at, record: asked });
        let why = (*name).to_owned();
        records.push(TimedRecord {
            at,
            record: Record::Gap {
                turns: 0,
                records: 1,
                reason: why,
            },
        });
        let told = Event::PeerMessage {
            from: 1,
            bytes: name.as_bytes().to_vec(),
        };
        let log = Action::Log((*name).to_owned());
        let turn = Turn {
            now: at,
            events: vec![told],
            actions: vec![log],
        };
        records.push(TimedRecord {
            at,
            record: Record::Turn(turn),
        });
    }
    let mut identifiers = Identifiers::default();
    identifiers.add_header(&header());
    records.iter().for_each(|r| identifiers.add_record(r));
    let copies = [[1; 32], [2; 32]].map(|key| {
        let hide = Anonymiser::new(key, 7 * S, 0.5);
        let head = hide.anonymise_header(&header());
        assert!(head.settings.is_none() && head.seed == 0 && !head.placer.contains("p0"));
        records
            .iter()
            .map(|r| hide.anonymise_record(r))
            .collect::<Vec<_>>()
    });
    for copy in &copies {
        for (old, new) in records.iter().zip(copy) {
            assert_eq!(identifiers.find_in(new), None, "{new:?}");
            assert_eq!(new.at, old.at + 7 * S);
        }
        let octets = {
            let bytes = write_trace(copy);
            let mut reader = Reader::open(Cursor::new(bytes)).expect("a file");
            let index = reader.read_index().expect("no fault").expect("an index");
            index
                .iter()
                .flat_map(|e| reader.read_block_bytes(e.offset).expect("a block"))
                .collect::<Vec<u8>>()
        };
        for text in identifiers.searchable_texts() {
            let found = octets.windows(text.len()).any(|w| w == text.as_bytes());
            assert!(!found, "{text} stands in the copy");
        }
        // The same name is the same hash wherever it stands, and other names are others.
        let services: std::collections::BTreeSet<u64> = copy
            .iter()
            .filter_map(|r| {
                if let Record::Service { service, .. } = r.record {
                    Some(service)
                } else {
                    None
                }
            })
            .collect();
        assert_eq!(services.len(), 3 + names.len());
        let mut sums = [Summary::new(&header()), Summary::new(&header())];
        records.iter().for_each(|r| sums[0].feed(r));
        copy.iter().for_each(|r| sums[1].feed(r));
        let [old, new] = sums.map(|s| s.to_json());
        assert_eq!(
            (&old["classes"], &old["held_for"]),
            (&new["classes"], &new["held_for"])
        );
    }
    assert!(
        copies[0].iter().zip(&copies[1]).any(|(a, b)| a != b),
        "each file has a key of its own"
    );
    // The search finds what was not hidden.
    assert!(records.iter().any(|r| identifiers.find_in(r).is_some()));
}
