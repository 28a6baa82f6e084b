//! Merging: clocks that differ, parts, inputs twice, and merges of merges.

use std::io::Cursor;

use maplethread::*;
use maplethread_trace::merge::{MergeError, MergePlan};
use maplethread_trace::summary::Summary;
use maplethread_trace::{Header, Outcome, Part, Reader, Record, TimedRecord, Turn, Writer};

const S: u64 = 1_000_000;
const START: u64 = 1_700_000_000 * S;

fn header(placer: &str, part: u32) -> Header {
    Header {
        writer: "test".into(),
        module: "m".into(),
        placer: placer.into(),
        started_ms: START / 1000,
        seed: 7,
        settings: None,
        // Each placer has its classes in another order.
        classes: if placer == "p1" {
            vec!["web".into(), "batch".into()]
        } else {
            vec!["batch".into(), "web".into()]
        },
        part,
        changed: Vec::new(),
        sources: Vec::new(),
    }
}

/// A part of the file of a placer whose clock is ahead by `skew`, and that hears of things `lag` late. Hosts have other
/// numbers at each placer.
fn trace_file(placer: &str, part: u32, skew: i64, lag: u64) -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut writer = Writer::new(&mut bytes, &header(placer, part)).expect("a header");
    let hash = placer.bytes().map(u64::from).sum::<u64>();
    let number = |host: u64| ((host + hash) % 10) as u32;
    for host in 0..10 {
        let record = Record::Host {
            machine: number(host),
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
    let begin = START + u64::from(part) * 100 * S;
    for n in 0..50u64 {
        let at = (begin + n * S + lag).wrapping_add(skew as u64);
        let listing = MachineEntry {
            machine: MachineId(number(n % 10)),
            stable_hash: n % 10,
            zone: 0,
            cell: 0,
            kind: 0,
            state: MachineState::Ready,
            started_at: Some(begin + n * S),
            unallocated: None,
        };
        let task = Task {
            id: TaskId(u64::from(part) * 50 + n),
            service: ServiceId(5),
            class: if placer == "p1" { 0 } else { 1 },
            requested: Resources::new(1.0, 1.0),
            expected_duration: None,
            deadline: at + S,
            is_resubmission: false,
        };
        let asked = Record::RequestReceived {
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
                    machines: vec![listing],
                },
                Event::PlacementRequested(task),
            ],
            actions: vec![Action::Offer {
                task: task.id,
                machine: MachineId(number(n % 10)),
                timeout: S,
            }],
        };
        let outcome = Outcome::Placed {
            host: number(n % 10),
        };
        let answered = Record::Answered {
            task: task.id.0,
            outcome,
            attempts: 1,
            elapsed: 500,
        };
        for (later, record) in [(0, asked), (1, Record::Turn(turn)), (500, answered)] {
            writer
                .push(&TimedRecord {
                    at: at + later,
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
    while let Some(part) = reader.next_part().expect("no fault") {
        let Part::Block { records, .. } = part else {
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
        trace_file("p2", 0, 7 * S as i64, 9000),
        trace_file("p3", 0, -3 * S as i64, 5000),
    );
    let merged = merge(&[&a, &b, &c]).expect("a merge");
    let header = Reader::open(Cursor::new(&merged)).expect("a file").header;
    let sources: Vec<(&str, i64)> = header
        .sources
        .iter()
        .map(|s| (&*s.placer, s.offset_us))
        .collect();
    // The middle of the three lags is 5 ms; what a lag does is told from a clock by nothing.
    let [("p1", one), ("p2", two), ("p3", three)] = sources[..] else {
        panic!("{sources:?}")
    };
    assert_eq!(two - one, -7 * S as i64 - 6000);
    assert_eq!(three - one, 3 * S as i64 - 2000);
    assert!(
        header.sources.iter().all(|s| s.error_us == Some(0)),
        "{:?}",
        header.sources
    );
    // Sorted by corrected time, each source in its own order, every record there.
    let all = records(&merged);
    let mut source = 0;
    let mut asked: Vec<Vec<String>> = vec![Vec::new(); 3];
    let mut last = 0;
    for r in &all {
        match &r.record {
            Record::Source(n) => source = *n as usize,
            Record::Host { .. } | Record::Service { .. } => {}
            record => {
                assert!(r.at >= last);
                last = r.at;
                if let Record::RequestReceived {
                    request_id: request,
                    class,
                    ..
                } = record
                {
                    assert_eq!(header.classes[*class as usize], "web");
                    asked[source].push(request.clone());
                }
            }
        }
    }
    for (n, placer) in ["p1", "p2", "p3"].into_iter().enumerate() {
        let own: Vec<String> = (0..50).map(|i| format!("{placer}-0-{i}")).collect();
        assert_eq!(asked[n], own);
    }
    let sum = summary(&[&merged]);
    assert_eq!(
        (
            &sum["classes"]["web"]["asked"],
            &sum["classes"]["batch"]["asked"]
        ),
        (&150.into(), &0.into())
    );
    // Fifteen offers went to each host, whatever number it has where.
    for host in 0..10 {
        assert_eq!(
            sum["hosts"][format!("host-{host}")]["offers"],
            15,
            "{}",
            sum["hosts"]
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
    let whole = merge(&[a, b, c, d]).expect("a merge");
    assert!(
        merge(&[d, b, c, a]).expect("a merge") == whole,
        "the order makes a difference"
    );
    let left = merge(&[a, c]).expect("a merge");
    let right = merge(&[d, b]).expect("a merge");
    assert!(
        merge(&[&left, &right]).expect("a merge") == whole,
        "the grouping makes a difference"
    );
    assert!(merge(&[&merge(&[&left, b]).expect("a merge"), d]).expect("a merge") == whole);
    // The same input twice, or as a part of another, counts once.
    assert!(merge(&[a, a, b, &left, c, d]).expect("a merge") == whole);
    assert!(merge(&[&whole]).expect("a merge") == whole);
    // Parts of one run in a row come to the same counts as the parts.
    let run = merge(&[b, a]).expect("a merge");
    let (of_parts, of_run) = (summary(&[a, b]), summary(&[&run]));
    for key in [
        "classes",
        "hosts",
        "turns",
        "ask_to_placed_ms",
        "by_second",
        "unanswered",
    ] {
        assert_eq!(of_parts[key], of_run[key], "{key}");
    }
    // What overlaps without one holding the other can't be told apart.
    let third = trace_file("p1", 2, 0, 3000);
    let (one, other) = (
        merge(&[a, b]).expect("a merge"),
        merge(&[b, &third]).expect("a merge"),
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
                at: START + at * S,
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
        header.sources[1].error_us, None,
        "nobody shared a sight with it"
    );
}
