//! What traces of placers become as a scenario.

use std::io::Cursor;

use maplethread::{
    MachineEntry, MachineId, MachineState, Resources, ServiceId, Task, TaskId, UpdateScope,
};
use maplethread_trace::{Header, TimedRecord, Turn, Writer};

use super::*;

const S: u64 = 1_000_000;
const START: u64 = 1_700_000_000 * S;

/// A run of a placer that began so many seconds after the start, with asks at these seconds and hosts that start.
fn run(placer: &str, began: u64, asks: &[(u64, &str, bool)], starts: &[(u64, u32)]) -> Vec<u8> {
    let header = Header {
        writer: "test".into(),
        module: String::new(),
        placer: placer.into(),
        started_ms: (START + began * S) / 1000,
        seed: 1,
        settings: None,
        classes: vec!["statements".into(), "web-api".into()],
        part: 0,
        changed: Vec::new(),
        sources: Vec::new(),
    };
    let mut bytes = Vec::new();
    let mut writer = Writer::new(&mut bytes, &header).expect("a header");
    for n in 0..12u32 {
        let zone = ["hall-a", "hall-b", "hall-c"][n as usize % 3].to_owned();
        let record = Record::Host {
            machine: n,
            name: format!("h{n}"),
            zone,
            cell: "c".into(),
            kind: "k".into(),
        };
        writer
            .push(&TimedRecord {
                at: START + began * S,
                record,
            })
            .expect("a record");
    }
    writer.register_name(&TimedRecord {
        at: 0,
        record: Record::Service {
            service: 3,
            name: "web-api-03".into(),
        },
    });
    for (n, &(at, actor, again)) in asks.iter().enumerate() {
        let (at, task) = (START + at * S, n as u64);
        let asked = Record::RequestReceived {
            task,
            service: 3,
            actor: actor.into(),
            class: 1,
            request_id: format!("r{n}"),
            idempotency_key: None,
            received_at: at,
        };
        let task = Task {
            id: TaskId(task),
            service: ServiceId(3),
            class: 1,
            requested: Resources::new(0.5, 2.0),
            expected_duration: Some(7 * S),
            deadline: at + S,
            is_resubmission: again,
        };
        let turn = Turn {
            now: at,
            events: vec![Event::PlacementRequested(task)],
            actions: Vec::new(),
        };
        writer
            .push(&TimedRecord { at, record: asked })
            .expect("a record");
        writer
            .push(&TimedRecord {
                at,
                record: Record::Turn(turn),
            })
            .expect("a record");
    }
    for &(at, host) in starts {
        let at = START + at * S;
        let listing = MachineEntry {
            machine: MachineId(host),
            stable_hash: 0,
            zone: 0,
            cell: 0,
            kind: 0,
            state: MachineState::Ready,
            started_at: Some(at),
            unallocated: None,
        };
        let listed = Event::EndpointsUpdated {
            scope: UpdateScope::Delta,
            machines: vec![listing],
        };
        let turn = Turn {
            now: at,
            events: vec![listed],
            actions: Vec::new(),
        };
        writer
            .push(&TimedRecord {
                at,
                record: Record::Turn(turn),
            })
            .expect("a record");
    }
    writer.finish().expect("an index");
    bytes
}

fn read_all(files: &[&[u8]], speed: f64) -> Result<RecordedScenario, String> {
    let mut traces: Vec<_> = files
        .iter()
        .map(|f| Reader::open(Cursor::new(*f)).expect("a file"))
        .collect();
    read(&mut traces, &Scenario::standard(), speed, 5)
}

#[test]
fn converts_trace_to_requests_and_faults() {
    // A zone of four comes back together, and a host alone; placer p0 has two runs.
    let zone: Vec<(u64, u32)> = (0..4).map(|n| (10, n * 3 + 1)).chain([(20, 0)]).collect();
    let first = run(
        "p0",
        0,
        &[(1, "a", false), (2, "b", false), (3, "a", true)],
        &zone,
    );
    let second = run("p0", 22, &[(30, "c", false)], &[]);
    let other = run("p1", 0, &[(4, "b", false), (8, "d", false)], &zone);
    let day = read_all(&[&first, &second, &other], 1.0).expect("a day");
    let asks: Vec<(&str, u64)> = day
        .arrivals
        .iter()
        .map(|a| (&*a.actor, a.at_us / S))
        .collect();
    assert_eq!(
        asks,
        [("a", 0), ("b", 1), ("d", 7), ("c", 29)],
        "first asks only, each owner once"
    );
    let one = &day.arrivals[0];
    assert_eq!(
        (&*one.service, one.resources, one.wanted_for_us),
        ("web-api-03", [0.5, 2.0], 7 * S)
    );
    assert_eq!(day.scenario.classes[one.class].rules.name, "web-api");
    let s = &day.scenario;
    assert_eq!((s.fleet.hosts, s.placers, s.seconds), (12, 2, 29.0));
    let troubles: Vec<(FaultKind, f64)> = s.faults.iter().map(|t| (t.kind, t.at_s)).collect();
    let expected = [
        (FaultKind::ZoneLoss, 9.0 - ASSUMED_DOWNTIME_S),
        (FaultKind::HostCrash, 19.0 - ASSUMED_DOWNTIME_S),
        (FaultKind::PlacerKill, 19.0),
    ];
    assert_eq!(troubles, expected);
    assert_eq!(s.faults[0].zone.as_deref(), Some("hall-b"));
    assert_eq!(day.summary["classes"]["web-api"]["asked"], 6);
    // Twice as fast: the same asks in half the time.
    let fast = read_all(&[&first, &second, &other], 2.0).expect("a day");
    assert_eq!(
        fast.arrivals.iter().map(|a| a.at_us).collect::<Vec<_>>(),
        [0, S / 2, 7 * S / 2, 29 * S / 2]
    );
}

#[test]
fn names_what_cannot_be_replayed() {
    assert_eq!(
        read_all(&[&run("p0", 0, &[], &[])], 1.0).err().as_deref(),
        Some("no first ask is recorded")
    );
    let file = run("p0", 0, &[(1, "a", false)], &[]);
    let mut base = Scenario::standard();
    base.classes.retain(|c| c.rules.name != "web-api");
    let mut traces = [Reader::open(Cursor::new(&file)).expect("a file")];
    let error = read(&mut traces, &base, 1.0, 5)
        .err()
        .expect("no such class");
    assert!(error.contains("class \"web-api\" was recorded"), "{error}");
}
