//! Conversion of placers' traces into scenarios.

use std::io::Cursor;

use maplethread::{
    MachineEntry, MachineId, MachineState, Resources, ServiceId, Task, TaskId, UpdateScope,
};
use maplethread_trace::{Header, TimedRecord, Turn, Writer};

use super::*;

const SECOND_US: u64 = 1_000_000;
const START_US: u64 = 1_700_000_000 * SECOND_US;

/// The trace of a placer process that started this many seconds after [`START_US`], with requests and host starts at these
/// seconds.
fn trace(
    placer: &str,
    started_s: u64,
    requests: &[(u64, &str, bool)],
    starts: &[(u64, u32)],
) -> Vec<u8> {
    let header = Header {
        writer: "test".into(),
        policy_hash: String::new(),
        placer: placer.into(),
        started_ms: (START_US + started_s * SECOND_US) / 1000,
        seed: 1,
        settings: None,
        classes: vec!["statements".into(), "web-api".into()],
        part: 0,
        operations: Vec::new(),
        sources: Vec::new(),
    };
    let mut bytes = Vec::new();
    let mut writer = Writer::new(&mut bytes, &header).expect("header written");
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
                at: START_US + started_s * SECOND_US,
                record,
            })
            .expect("record written");
    }
    writer.register_name(&TimedRecord {
        at: 0,
        record: Record::Service {
            service: 3,
            name: "web-api-03".into(),
        },
    });
    for (n, &(at, actor, is_resubmission)) in requests.iter().enumerate() {
        let (at, task) = (START_US + at * SECOND_US, n as u64);
        let received = Record::RequestReceived {
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
            expected_duration: Some(7 * SECOND_US),
            deadline: at + SECOND_US,
            is_resubmission,
        };
        let turn = Turn {
            now: at,
            events: vec![Event::PlacementRequested(task)],
            actions: Vec::new(),
        };
        writer
            .push(&TimedRecord {
                at,
                record: received,
            })
            .expect("record written");
        writer
            .push(&TimedRecord {
                at,
                record: Record::Turn(turn),
            })
            .expect("record written");
    }
    for &(at, host) in starts {
        let at = START_US + at * SECOND_US;
        let entry = MachineEntry {
            machine: MachineId(host),
            stable_hash: 0,
            zone: 0,
            cell: 0,
            kind: 0,
            state: MachineState::Ready,
            started_at: Some(at),
            unallocated: None,
        };
        let update = Event::EndpointsUpdated {
            scope: UpdateScope::Delta,
            machines: vec![entry],
        };
        let turn = Turn {
            now: at,
            events: vec![update],
            actions: Vec::new(),
        };
        writer
            .push(&TimedRecord {
                at,
                record: Record::Turn(turn),
            })
            .expect("record written");
    }
    writer.finish().expect("index written");
    bytes
}

fn read_all(files: &[&[u8]], speed: f64) -> Result<RecordedScenario, String> {
    let mut traces: Vec<_> = files
        .iter()
        .map(|f| Reader::open(Cursor::new(*f)).expect("a valid trace"))
        .collect();
    read(&mut traces, &Scenario::standard(), speed, 5)
}

#[test]
fn converts_trace_to_requests_and_faults() {
    // The four hosts of a zone restart together, and another host alone; placer p0 has two processes.
    let zone: Vec<(u64, u32)> = (0..4).map(|n| (10, n * 3 + 1)).chain([(20, 0)]).collect();
    let first = trace(
        "p0",
        0,
        &[(1, "a", false), (2, "b", false), (3, "a", true)],
        &zone,
    );
    let second = trace("p0", 22, &[(30, "c", false)], &[]);
    let other = trace("p1", 0, &[(4, "b", false), (8, "d", false)], &zone);
    let recorded = read_all(&[&first, &second, &other], 1.0).expect("a recorded scenario");
    let requests: Vec<(&str, u64)> = recorded
        .arrivals
        .iter()
        .map(|a| (&*a.actor, a.at_us / SECOND_US))
        .collect();
    assert_eq!(
        requests,
        [("a", 0), ("b", 1), ("d", 7), ("c", 29)],
        "only first requests, and each owner once"
    );
    let first_arrival = &recorded.arrivals[0];
    assert_eq!(
        (
            &*first_arrival.service,
            first_arrival.resources,
            first_arrival.wanted_for_us
        ),
        ("web-api-03", [0.5, 2.0], 7 * SECOND_US)
    );
    assert_eq!(
        recorded.scenario.classes[first_arrival.class]
            .placer_class
            .name,
        "web-api"
    );
    let scenario = &recorded.scenario;
    assert_eq!(
        (scenario.fleet.hosts, scenario.placers, scenario.duration_s),
        (12, 2, 29.0)
    );
    let faults: Vec<(FaultKind, f64)> = scenario
        .faults
        .iter()
        .map(|fault| (fault.kind, fault.at_s))
        .collect();
    let expected = [
        (FaultKind::ZoneLoss, 9.0 - ASSUMED_DOWNTIME_S),
        (FaultKind::HostCrash, 19.0 - ASSUMED_DOWNTIME_S),
        (FaultKind::PlacerKill, 19.0),
    ];
    assert_eq!(faults, expected);
    assert_eq!(scenario.faults[0].zone.as_deref(), Some("hall-b"));
    assert_eq!(recorded.summary["classes"]["web-api"]["asked"], 6);
    // At twice the speed: the same requests in half the time.
    let fast = read_all(&[&first, &second, &other], 2.0).expect("a recorded scenario");
    assert_eq!(
        fast.arrivals.iter().map(|a| a.at_us).collect::<Vec<_>>(),
        [0, SECOND_US / 2, 7 * SECOND_US / 2, 29 * SECOND_US / 2]
    );
}

#[test]
fn reports_traces_that_cannot_be_replayed() {
    assert_eq!(
        read_all(&[&trace("p0", 0, &[], &[])], 1.0).err().as_deref(),
        Some("no first request in the traces")
    );
    let file = trace("p0", 0, &[(1, "a", false)], &[]);
    let mut base = Scenario::standard();
    base.classes.retain(|c| c.placer_class.name != "web-api");
    let mut traces = [Reader::open(Cursor::new(&file)).expect("a valid trace")];
    let error = read(&mut traces, &base, 1.0, 5)
        .err()
        .expect("an error for the unknown class");
    assert!(
        error.contains("recorded class \"web-api\" is not in the scenario"),
        "{error}"
    );
}
