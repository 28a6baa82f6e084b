//! Merging traces: differing clocks, parts of a run, repeated inputs, and merges of merged traces.

use std::io::Cursor;

use maplethread::*;
use maplethread_trace::merge::{MergeError, MergePlan};
use maplethread_trace::summary::Summary;
use maplethread_trace::{FilePart, Header, Outcome, Reader, Record, TimedRecord, Turn, Writer};

const SECOND_US: u64 = 1_000_000;
const START_US: u64 = 1_700_000_000 * SECOND_US;

fn header(placer: &str, part: u32) -> Header {
    Header {
        writer: "test".into(),
        policy_hash: "m".into(),
        placer: placer.into(),
        started_ms: START_US / 1000,
        seed: 7,
        settings: None,
        // Placers number their classes differently.
        classes: if placer == "p1" {
            vec!["web".into(), "batch".into()]
        } else {
            vec!["batch".into(), "web".into()]
        },
        part,
        operations: Vec::new(),
        sources: Vec::new(),
    }
}

/// A part of the trace of a placer whose clock is ahead by `skew_us`, and that receives events `lag_us` late. Each
/// placer numbers the hosts differently.
fn trace_file(placer: &str, part: u32, skew_us: i64, lag_us: u64) -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut writer = Writer::new(&mut bytes, &header(placer, part)).expect("a header");
    let placer_shift = placer.bytes().map(u64::from).sum::<u64>();
    let host_number = |host: u64| ((host + placer_shift) % 10) as u32;
    for host in 0..10 {
        let record = Record::Host {
            machine: host_number(host),
            name: format!("host-{host}"),
            zone: "a".into(),
            cell: "c".into(),
            kind: "std".into(),
        };
        writer.register_name(&TimedRecord { at: 0, record });
    }
    writer.register_name(&TimedRecord {
        at: 0,
        record: Record::Service {
            service: 5,
            name: "ledger".into(),
        },
    });
    let begin = START_US + u64::from(part) * 100 * SECOND_US;
    for n in 0..50u64 {
        let at = (begin + n * SECOND_US + lag_us).wrapping_add(skew_us as u64);
        let entry = MachineEntry {
            machine: MachineId(host_number(n % 10)),
            stable_hash: n % 10,
            zone: 0,
            cell: 0,
            kind: 0,
            state: MachineState::Ready,
            started_at: Some(begin + n * SECOND_US),
            unallocated: None,
        };
        let task = Task {
            id: TaskId(u64::from(part) * 50 + n),
            service: ServiceId(5),
            class: if placer == "p1" { 0 } else { 1 },
            requested: Resources::new(1.0, 1.0),
            expected_duration: None,
            deadline: at + SECOND_US,
            is_resubmission: false,
        };
        let request = Record::RequestReceived {
            task: task.id.0,
            service: 5,
            actor: format!("{placer}-{n}"),
            class: task.class as u32,
            request_id: format!("{placer}-{part}-{n}"),
            idempotency_key: None,
            received_at: at,
        };
        let turn = Turn {
            now: at,
            events: vec![
                Event::EndpointsUpdated {
                    scope: UpdateScope::Delta,
                    machines: vec![entry],
                },
                Event::PlacementRequested(task),
            ],
            actions: vec![Action::Offer {
                task: task.id,
                machine: MachineId(host_number(n % 10)),
                timeout: SECOND_US,
            }],
        };
        let outcome = Outcome::Placed {
            host: host_number(n % 10),
        };
        let answered = Record::Answered {
            task: task.id.0,
            outcome,
            attempts: 1,
            elapsed: 500,
        };
        for (delay_us, record) in [(0, request), (1, Record::Turn(turn)), (500, answered)] {
            writer
                .push(&TimedRecord {
                    at: at + delay_us,
                    record,
                })
                .expect("a record");
        }
        if n % 20 == 19 {
            writer.flush().expect("a block");
        }
    }
    writer.finish().expect("an index");
    bytes
}

fn merge(inputs: &[&[u8]]) -> Result<Vec<u8>, MergeError> {
    let mut readers: Vec<_> = inputs
        .iter()
        .map(|bytes| Reader::open(Cursor::new(*bytes)).expect("a file"))
        .collect();
    let plan = MergePlan::new(&mut readers)?;
    let mut out = Vec::new();
    let mut writer = Writer::new(&mut out, plan.header())?;
    plan.write(|n| Reader::open(Cursor::new(inputs[n])), &mut writer)?;
    writer.finish()?;
    Ok(out)
}

fn records(bytes: &[u8]) -> Vec<TimedRecord> {
    let mut reader = Reader::open(Cursor::new(bytes)).expect("a file");
    let mut all = Vec::new();
    while let Some(part) = reader.next_part().expect("readable") {
        let FilePart::Block { records, .. } = part else {
            panic!("{part:?}")
        };
        all.extend(records);
    }
    all
}

fn summary(files: &[&[u8]]) -> serde_json::Value {
    let mut summary = None;
    for file in files {
        let header = Reader::open(Cursor::new(*file)).expect("a file").header;
        let summary = summary.get_or_insert_with(|| Summary::new(&header));
        records(file).iter().for_each(|r| summary.feed(r));
    }
    summary.expect("a file").to_json()
}

#[test]
fn differing_clocks_are_aligned_and_residual_error_is_reported() {
    let (a, b, c) = (
        trace_file("p1", 0, 0, 3000),
        trace_file("p2", 0, 7 * SECOND_US as i64, 9000),
        trace_file("p3", 0, -3 * SECOND_US as i64, 5000),
    );
    let merged = merge(&[&a, &b, &c]).expect("a merge");
    let header = Reader::open(Cursor::new(&merged)).expect("a file").header;
    let sources: Vec<(&str, i64)> = header
        .sources
        .iter()
        .map(|s| (&*s.placer, s.offset_us))
        .collect();
    // The median of the three lags is 5 ms; a lag can't be distinguished from a clock offset.
    let [("p1", one), ("p2", two), ("p3", three)] = sources[..] else {
        panic!("{sources:?}")
    };
    assert_eq!(two - one, -7 * SECOND_US as i64 - 6000);
    assert_eq!(three - one, 3 * SECOND_US as i64 - 2000);
    assert!(
        header
            .sources
            .iter()
            .all(|s| s.residual_error_us == Some(0)),
        "{:?}",
        header.sources
    );
    // Records are sorted by corrected time, each source keeps its order, and none is missing.
    let all = records(&merged);
    let mut source = 0;
    let mut request_ids: Vec<Vec<String>> = vec![Vec::new(); 3];
    let mut last = 0;
    for r in &all {
        match &r.record {
            Record::Source(n) => source = *n as usize,
            Record::Host { .. } | Record::Service { .. } => {}
            record => {
                assert!(r.at >= last);
                last = r.at;
                if let Record::RequestReceived {
                    request_id, class, ..
                } = record
                {
                    assert_eq!(header.classes[*class as usize], "web");
                    request_ids[source].push(request_id.clone());
                }
            }
        }
    }
    for (n, placer) in ["p1", "p2", "p3"].into_iter().enumerate() {
        let expected: Vec<String> = (0..50).map(|i| format!("{placer}-0-{i}")).collect();
        assert_eq!(request_ids[n], expected);
    }
    let merged_summary = summary(&[&merged]);
    assert_eq!(
        (
            &merged_summary["classes"]["web"]["asked"],
            &merged_summary["classes"]["batch"]["asked"]
        ),
        (&150.into(), &0.into())
    );
    // Each host received fifteen offers, though each placer numbers it differently.
    for host in 0..10 {
        assert_eq!(
            merged_summary["hosts"][format!("host-{host}")]["offers"],
            15,
            "{}",
            merged_summary["hosts"]
        );
    }
}

#[test]
fn merge_result_is_independent_of_order_and_grouping_of_inputs() {
    let files = [
        trace_file("p1", 0, 0, 3000),
        trace_file("p1", 1, 0, 3000),
        trace_file("p2", 0, 70_000, 900),
        trace_file("p3", 0, -50_000, 5000),
    ];
    let [a, b, c, d] = files.each_ref().map(Vec::as_slice);
    let merged_all = merge(&[a, b, c, d]).expect("a merge");
    assert!(
        merge(&[d, b, c, a]).expect("a merge") == merged_all,
        "the result depends on the order of inputs"
    );
    let left = merge(&[a, c]).expect("a merge");
    let right = merge(&[d, b]).expect("a merge");
    assert!(
        merge(&[&left, &right]).expect("a merge") == merged_all,
        "the result depends on the grouping of inputs"
    );
    assert!(merge(&[&merge(&[&left, b]).expect("a merge"), d]).expect("a merge") == merged_all);
    // An input given twice, or contained in another one, is merged once.
    assert!(merge(&[a, a, b, &left, c, d]).expect("a merge") == merged_all);
    assert!(merge(&[&merged_all]).expect("a merge") == merged_all);
    // The merged parts of a run have the same counts as the parts one after the other.
    let merged_run = merge(&[b, a]).expect("a merge");
    let (summary_of_parts, summary_of_run) = (summary(&[a, b]), summary(&[&merged_run]));
    for key in [
        "classes",
        "hosts",
        "turns",
        "ask_to_placed_ms",
        "by_second",
        "unanswered",
    ] {
        assert_eq!(summary_of_parts[key], summary_of_run[key], "{key}");
    }
    // Inputs that overlap without one containing the other are rejected.
    let third_part = trace_file("p1", 2, 0, 3000);
    let (one, other) = (
        merge(&[a, b]).expect("a merge"),
        merge(&[b, &third_part]).expect("a merge"),
    );
    assert!(matches!(
        merge(&[&one, &other]),
        Err(MergeError::OverlappingInputs(_))
    ));
}

#[test]
fn source_with_clock_stepping_back_keeps_its_record_order() {
    let mut bytes = Vec::new();
    let mut writer = Writer::new(&mut bytes, &header("p9", 0)).expect("a header");
    for (n, at) in [10, 20, 5, 6, 30].into_iter().enumerate() {
        let record = Record::Gap {
            turns: 0,
            records: n as u64,
            reason: String::new(),
        };
        writer
            .push(&TimedRecord {
                at: START_US + at * SECOND_US,
                record,
            })
            .expect("a record");
    }
    writer.finish().expect("an index");
    let other = trace_file("p1", 0, 0, 0);
    let merged = merge(&[&bytes, &other]).expect("a merge");
    let gaps: Vec<u64> = records(&merged)
        .iter()
        .filter_map(|r| {
            if let Record::Gap { records, .. } = r.record {
                Some(records)
            } else {
                None
            }
        })
        .collect();
    assert_eq!(gaps, [0, 1, 2, 3, 4]);
    let header = Reader::open(Cursor::new(&merged)).expect("a file").header;
    assert_eq!(
        header.sources[1].residual_error_us, None,
        "no shared observations"
    );
}
