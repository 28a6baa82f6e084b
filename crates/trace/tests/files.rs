//! Trace files of a policy's run: records are read back as written, damaged or truncated blocks don't affect others, a
//! replay decides the same, and cuts, summaries and anonymised copies contain what they should.
#![allow(
    clippy::too_many_lines,
    reason = "the cases of one run are tested in one function"
)]

use std::io::Cursor;

use maplethread::*;
use maplethread_trace::cut::{Filter, SelectedTasks};
use maplethread_trace::replay::Replay;
use maplethread_trace::summary::Summary;
use maplethread_trace::{
    FilePart, Header, Outcome, Reader, Record, TimedRecord, TraceError, Turn, Writer,
};
use proptest::prelude::*;

const SECOND_US: u64 = 1_000_000;
const FIXTURES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures");

fn settings() -> Settings {
    Settings {
        replica_count: 1,
        replica_index: 0,
        zone: 0,
        classes: vec![Class {
            retry_safety: RetrySafety::Idempotent,
            latency_objective: SECOND_US,
            priority_weight: 1.0,
            start_bonus_s: 10.0,
            priority: 0,
            machine_kind: None,
            spread_limit: None,
        }],
        machine_kinds: vec![Resources::new(16.0, 64.0)],
        discovery: DiscoveryMode::Watch,
        acceptance_point: AcceptancePoint::Accepted,
        cpu_overcommit: 1.0,
        memory_overcommit: 1.0,
        endpoints_report_capacity: false,
        load_report_content: LoadReportContent::UnallocatedResources,
        limits: CallerLimits {
            max_attempts: 3,
            can_cancel: true,
            can_probe: true,
            can_message_peers: false,
            max_retry_after: Some(60 * SECOND_US),
        },
        rules: Rules {
            max_poll_interval: 10 * SECOND_US,
            initial_capacity_share: 0.2,
            warm_up_duration: 5 * SECOND_US,
            overload_multiple: 3.0,
            overload_window: 2 * SECOND_US,
            warm_up_offers_per_window: 20.0,
        },
        costs: Costs::default(),
    }
}

fn header() -> Header {
    Header {
        writer: "test".into(),
        policy_hash: maplethread_trace::policy_hash(),
        placer: "p0".into(),
        started_ms: 1_700_000_000_000,
        seed: 7,
        settings: Some(settings()),
        classes: vec!["web".into()],
        part: 0,
        operations: Vec::new(),
        sources: Vec::new(),
    }
}

/// Records a run of a real policy: one request a turn, for each service in turn; every hundredth attempt is rejected.
fn recorded_run(request_count: u64, services: u64) -> Vec<TimedRecord> {
    let mut policy = Placer::new(settings(), 7).expect("valid settings");
    let mut now = 1_700_000_000 * SECOND_US;
    let mut records = Vec::new();
    let entry = |n: u32| MachineEntry {
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
        machines: (0..4).map(entry).collect(),
    }];
    let mut next = 0;
    for turn in 0..request_count * 3 {
        if next < request_count {
            let task = Task {
                id: TaskId(next),
                service: ServiceId(next % services),
                class: 0,
                requested: Resources::new(0.01, 0.02),
                expected_duration: None,
                deadline: now + 3 * SECOND_US,
                is_resubmission: false,
            };
            let request = Record::RequestReceived {
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
                record: request,
            });
            events.push(Event::PlacementRequested(task));
            next += 1;
        }
        let mut actions = Vec::new();
        policy.turn(now, &events, &mut actions);
        let recorded_turn = Turn {
            now,
            events: std::mem::take(&mut events),
            actions: actions.clone(),
        };
        records.push(TimedRecord {
            at: now,
            record: Record::Turn(recorded_turn),
        });
        for action in actions {
            if let Action::Offer { task, machine, .. } = action {
                let id = AttemptId { task, number: 0 };
                if task.0 % 100 == 3 {
                    let result = AttemptResult {
                        outcome: AttemptOutcome::Rejected,
                        reason: Some(FailureReason::InsufficientCores),
                        closes_task: false,
                        load: None,
                    };
                    events.push(Event::AttemptFinished {
                        attempt: id,
                        result,
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

/// Returns all records of a file, and the number of damaged bytes.
fn read(bytes: &[u8]) -> Result<(Vec<TimedRecord>, u64), TraceError> {
    let mut reader = Reader::open(Cursor::new(bytes))?;
    let (mut all, mut damaged_bytes) = (Vec::new(), 0);
    while let Some(part) = reader.next_part()? {
        match part {
            FilePart::Block { records, .. } => all.extend(records),
            FilePart::Damaged { byte_count, .. } => damaged_bytes += byte_count,
        }
    }
    Ok((all, damaged_bytes))
}

/// The records without those of names, which the writer repeats.
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
    let (read_records, damaged_bytes) = read(&bytes).expect("a file");
    assert_eq!(
        (without_names(&read_records), damaged_bytes),
        (without_names(&records), 0)
    );
    let mut replay = Replay::new(&header()).expect("valid trace settings");
    read_records.iter().for_each(|r| replay.feed(r));
    let result = &replay.result;
    assert!(
        result.turns == 900 && result.compared_actions > 300 && result.differing_turns == 0,
        "{result:?}"
    );
    assert!(result.moved_offer_share().abs() < 1e-9, "{result:?}");
    // Another seed leads to other decisions.
    let mut replay = Replay::new(&Header {
        seed: 8,
        ..header()
    })
    .expect("valid trace settings");
    read_records.iter().for_each(|r| replay.feed(r));
    assert!(replay.result.differing_turns > 0);
    let first = replay.result.first_difference.expect("a difference");
    assert!(first.recorded != first.replayed && first.time_us >= records[0].at);
    // With other settings, in which machines are too small for any task, all requests are rejected.
    let small_machines = Settings {
        machine_kinds: vec![Resources::new(0.001, 0.001)],
        ..settings()
    };
    let mut replay =
        Replay::with_settings(&header(), Some(small_machines)).expect("valid trace settings");
    read_records.iter().for_each(|r| replay.feed(r));
    let rejected = replay
        .result
        .actions_by_kind
        .get("refuse")
        .copied()
        .unwrap_or_default();
    assert!(
        replay.result.differing_turns > 0 && rejected == [0, 300],
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
        "every recorded offer is gone"
    );
    // Turns after a gap are not compared.
    let gap = TimedRecord {
        at: 1,
        record: Record::Gap {
            turns: 1,
            records: 1,
            reason: "slow disk".into(),
        },
    };
    let mut replay = Replay::new(&header()).expect("valid trace settings");
    replay.feed(&gap);
    read_records.iter().for_each(|r| replay.feed(r));
    assert_eq!(
        (replay.result.turns, replay.result.turns_after_gap),
        (0, 900)
    );
}

#[test]
fn truncated_file_opens_up_to_its_last_whole_block() {
    let records = recorded_run(60, 3);
    let bytes = write_trace(&records);
    let all_records = read(&bytes).expect("a file").0;
    let mut previous_count = 0;
    for length in 0..bytes.len() {
        match read(&bytes[..length]) {
            Ok((read_records, _)) => {
                assert!(all_records.starts_with(&read_records), "cut at {length}");
                assert!(
                    read_records.len() >= previous_count,
                    "a longer prefix of the file has fewer records"
                );
                previous_count = read_records.len();
            }
            Err(TraceError::NotATrace(_)) => assert_eq!(previous_count, 0),
            Err(e) => panic!("cut at {length}: {e}"),
        }
    }
    assert_eq!(previous_count, all_records.len());
}

#[test]
fn flipped_bit_loses_only_its_block() {
    let records = recorded_run(40, 3);
    let bytes = write_trace(&records);
    let all_records = read(&bytes).expect("a file").0;
    let header_bytes = {
        let mut out = Vec::new();
        header().write(&mut out).expect("a header")
    } as usize;
    for at in 0..bytes.len() {
        let mut damaged = bytes.clone();
        damaged[at] ^= 1 << (at % 8);
        match read(&damaged) {
            Ok((read_records, _)) => {
                assert!(at >= header_bytes, "a header damaged at {at} was accepted");
                // No wrong record is read, and at most one block is lost: 200 records and its names.
                let mut rest = all_records.iter();
                assert!(
                    read_records.iter().all(|r| rest.any(|w| w == r)),
                    "a wrong record at {at}"
                );
                assert!(
                    read_records.len() + 220 >= all_records.len(),
                    "{} of {} left at {at}",
                    read_records.len(),
                    all_records.len()
                );
            }
            Err(TraceError::NotATrace(_) | TraceError::UnsupportedVersion(..)) => {
                assert!(at < header_bytes, "{at}")
            }
            Err(e) => panic!("flipped at {at}: {e}"),
        }
    }
}

#[test]
fn rejects_newer_major_version_and_counts_unknown_records_of_newer_minor_version() {
    let mut bytes = write_trace(&recorded_run(1, 1));
    bytes[8] = 2;
    let error = Reader::open(Cursor::new(&bytes))
        .err()
        .expect("an unsupported version");
    assert_eq!(
        error.to_string(),
        "format version 2.1, this program reads 1.x"
    );
    assert!(Reader::open(Cursor::new(b"GIF89a".as_slice())).is_err());
    // A newer minor version with an unknown kind of record, which is skipped and counted.
    let mut bytes = Vec::new();
    header().write(&mut bytes).expect("a header");
    bytes[10] = 9;
    let checksum_at = bytes.len() - 16;
    let hash = blake3::hash(&bytes[..checksum_at]);
    bytes[checksum_at..].copy_from_slice(&hash.as_bytes()[..16]);
    let stopped = postcard::to_stdvec(&Record::Stopped).expect("a record");
    let mut uncompressed = vec![0];
    for record in [&stopped[..], &[99, 1, 2, 3], &stopped] {
        uncompressed.extend([record.len() as u8, 0]);
        uncompressed.extend_from_slice(record);
    }
    let payload = zstd::bulk::compress(&uncompressed, 3).expect("zstd");
    let mut block_header = b"MTB1".to_vec();
    [payload.len() as u32, uncompressed.len() as u32, 3]
        .iter()
        .for_each(|n| block_header.extend(n.to_le_bytes()));
    [5u64, 5]
        .iter()
        .for_each(|n| block_header.extend(n.to_le_bytes()));
    let checksum = blake3::hash(&[&block_header[..], &payload].concat());
    bytes.extend([&block_header[..], &checksum.as_bytes()[..16], &payload].concat());
    let mut reader = Reader::open(Cursor::new(&bytes)).expect("a file of a newer minor version");
    assert!(reader.is_newer_minor_version());
    match reader.next_part().expect("readable") {
        Some(FilePart::Block {
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
        let (read_records, damaged_bytes) = read(&bytes).expect("a trace");
        assert_eq!(
            (without_names(&read_records).len(), damaged_bytes),
            (without_names(&recorded_run(20, 2)).len(), 0),
            "{}",
            path.display()
        );
        let index = Reader::open(Cursor::new(&bytes))
            .expect("a trace")
            .read_index()
            .expect("readable");
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
    let index = reader.read_index().expect("readable").expect("an index");
    let filter = Filter {
        service: Some(17),
        ..Filter::default()
    };
    let offsets: Vec<u64> = index
        .iter()
        .filter(|e| filter.may_match_block(e))
        .map(|e| e.offset)
        .collect();
    assert!(
        offsets.len() * 4 < index.len(),
        "{} of {} blocks",
        offsets.len(),
        index.len()
    );
    let mut found = Vec::new();
    for &offset in &offsets {
        if let FilePart::Block { records, .. } = reader.read_block(offset).expect("a block") {
            found.extend(records);
        }
    }
    let mut selected = SelectedTasks::default();
    found.iter().for_each(|r| selected.scan(&filter, r));
    let kept: Vec<TimedRecord> = found
        .iter()
        .filter_map(|r| selected.filter_record(&filter, r))
        .collect();
    let request_count = kept
        .iter()
        .filter(|r| matches!(r.record, Record::RequestReceived { service: 17, .. }))
        .count();
    let others = kept
        .iter()
        .filter(|r| matches!(r.record, Record::RequestReceived { service, .. } if service != 17));
    assert_eq!((request_count, others.count()), (5, 0));
    // Reading the whole file without the index gives the same records.
    let mut all = SelectedTasks::default();
    records.iter().for_each(|r| all.scan(&filter, r));
    let kept_without_index: Vec<TimedRecord> = records
        .iter()
        .filter_map(|r| all.filter_record(&filter, r))
        .collect();
    assert_eq!(without_names(&kept), without_names(&kept_without_index));
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
    let begin = 1_700_000_000 * SECOND_US;
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
    let entry = MachineEntry {
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
            machines: vec![entry],
        }],
        vec![],
    );
    // The host is cold for 5 s: three offers in that time, at most two of them within a window of 2 s; two offers
    // later.
    for (task, at) in [
        (1, SECOND_US),
        (2, 2 * SECOND_US),
        (3, 4 * SECOND_US),
        (4, 12 * SECOND_US),
        (5, 25 * SECOND_US),
    ] {
        turn(
            at,
            vec![],
            vec![Action::Offer {
                task: TaskId(task),
                machine: MachineId(1),
                timeout: SECOND_US,
            }],
        );
        let reason = if task == 5 {
            FailureReason::QueueFull
        } else {
            FailureReason::InsufficientCores
        };
        let result = AttemptResult {
            outcome: AttemptOutcome::Rejected,
            reason: Some(reason),
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
                result,
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
            at: begin + 26 * SECOND_US,
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
    let requests_by_bin: Vec<u64> = rows.iter().filter_map(|row| row[1].as_u64()).collect();
    assert_eq!(requests_by_bin, [1, 0, 1], "up to 1, 2 and 4 ms: {rows:?}");
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
            any::<f64>().prop_filter("not NaN", |x| !x.is_nan())
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
    fn arbitrary_records_are_read_back_unchanged(all in prop::collection::vec((any::<u64>(), arbitrary_record()), 0..40)) {
        let all: Vec<TimedRecord> = all.into_iter().map(|(at, record)| TimedRecord { at, record }).collect();
        let (read_records, damaged_bytes) = read(&write_trace(&all)).expect("a file");
        prop_assert_eq!(damaged_bytes, 0);
        prop_assert_eq!(without_names(&read_records), without_names(&all));
    }

    #[test]
    fn arbitrary_bytes_after_a_valid_header_yield_no_records(trailing in prop::collection::vec(any::<u8>(), 0..400)) {
        let mut bytes = Vec::new();
        header().write(&mut bytes).expect("a header");
        bytes.extend_from_slice(&trailing);
        let (read_records, _) = read(&bytes).expect("a valid header");
        prop_assert!(read_records.is_empty());
    }
}

/// Writes a fixture file; run by hand once for each format version.
#[test]
#[ignore = "writes the fixture file of a new format version"]
fn writes_fixture_of_current_format_version() {
    use maplethread_trace::header::{MAJOR, MINOR};
    let path = format!("{FIXTURES}/v{MAJOR}.{MINOR}.mtrace");
    let mut file = std::fs::File::create_new(path).expect("no fixture of this format version yet");
    std::io::Write::write_all(&mut file, &write_trace(&recorded_run(20, 2))).expect("a file");
}

#[test]
fn anonymised_names_are_equal_within_a_file_and_differ_between_files() {
    use maplethread_trace::anonymise::{Anonymiser, Identifiers};
    let long_name = "n".repeat(5000);
    let names = [
        "",
        "a",
        "ledger",
        "ledger-1",
        "edge",
        &long_name,
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
        let request = Record::RequestReceived {
            task: 1000 + n,
            service: 1000 + n,
            actor: (*name).to_owned(),
            class: 0,
            request_id: (*name).to_owned(),
            idempotency_key: Some((*name).to_owned()),
            received_at: at,
        };
        records.push(TimedRecord {
            at,
            record: request,
        });
        let reason = (*name).to_owned();
        records.push(TimedRecord {
            at,
            record: Record::Gap {
                turns: 0,
                records: 1,
                reason,
            },
        });
        let message = Event::PeerMessage {
            from: 1,
            bytes: name.as_bytes().to_vec(),
        };
        let log = Action::Log((*name).to_owned());
        let turn = Turn {
            now: at,
            events: vec![message],
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
        let anonymiser = Anonymiser::new(key, 7 * SECOND_US, 0.5);
        let anonymised_header = anonymiser.anonymise_header(&header());
        assert!(
            anonymised_header.settings.is_none()
                && anonymised_header.seed == 0
                && !anonymised_header.placer.contains("p0")
        );
        records
            .iter()
            .map(|r| anonymiser.anonymise_record(r))
            .collect::<Vec<_>>()
    });
    for copy in &copies {
        for (old, new) in records.iter().zip(copy) {
            assert_eq!(identifiers.find_in(new), None, "{new:?}");
            assert_eq!(new.at, old.at + 7 * SECOND_US);
        }
        let payloads = {
            let bytes = write_trace(copy);
            let mut reader = Reader::open(Cursor::new(bytes)).expect("a file");
            let index = reader.read_index().expect("readable").expect("an index");
            index
                .iter()
                .flat_map(|e| reader.read_block_bytes(e.offset).expect("a block"))
                .collect::<Vec<u8>>()
        };
        for text in identifiers.searchable_texts() {
            let found = payloads.windows(text.len()).any(|w| w == text.as_bytes());
            assert!(!found, "identifier {text} found in the copy");
        }
        // Equal names have equal hashes everywhere, and different names have different ones.
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
        let mut summaries = [Summary::new(&header()), Summary::new(&header())];
        records.iter().for_each(|r| summaries[0].feed(r));
        copy.iter().for_each(|r| summaries[1].feed(r));
        let [old, new] = summaries.map(|s| s.to_json());
        assert_eq!(
            (&old["classes"], &old["held_for"]),
            (&new["classes"], &new["held_for"])
        );
    }
    assert!(
        copies[0].iter().zip(&copies[1]).any(|(a, b)| a != b),
        "copies with different keys are equal"
    );
    // The search finds the identifiers in the original.
    assert!(records.iter().any(|r| identifiers.find_in(r).is_some()));
}
