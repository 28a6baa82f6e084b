//! Writes a large trace with the given number of records, to try the tools on:
//! `cargo run --release -p maplethread-trace --example large -- FILE 10000000`.
#![allow(
    clippy::too_many_lines,
    reason = "all records of a request are built in one place"
)]

use std::fs::File;
use std::io::BufWriter;

use maplethread::{Action, AttemptId, Event, MachineId, Resources, ServiceId, Task, TaskId};
use maplethread_trace::{Header, Outcome, Record, TimedRecord, Turn, Writer};

const SERVICES: u64 = 20_000;
/// The number of consecutive requests for the same service.
const BURST_REQUESTS: u64 = 50;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let mut args = std::env::args().skip(1);
    let file = args
        .next()
        .ok_or("the path of the file to write is missing")?;
    let records: u64 = args
        .next()
        .ok_or("the number of records is missing")?
        .parse()?;
    let header = Header {
        writer: "example".into(),
        policy_hash: String::new(),
        placer: "placer-0".into(),
        started_ms: 1_700_000_000_000,
        seed: 0,
        settings: None,
        classes: vec!["web-api".into()],
        part: 0,
        operations: Vec::new(),
        sources: Vec::new(),
    };
    let mut writer = Writer::new(BufWriter::new(File::create_new(file)?), &header)?;
    let mut at = header.started_ms * 1000;
    for n in 0..200 {
        let (zone, cell, kind) = ("a".to_owned(), (n / 8).to_string(), "std".to_owned());
        let record = Record::Host {
            machine: n,
            name: format!("host-{n}"),
            zone,
            cell,
            kind,
        };
        writer.register_name(&TimedRecord { at, record });
    }
    for n in 0..SERVICES {
        let record = Record::Service {
            service: n,
            name: format!("service-{n}"),
        };
        writer.register_name(&TimedRecord { at, record });
    }
    for task_id in 0..records / 4 {
        at += 2500;
        let (service, machine) = (
            task_id / BURST_REQUESTS * 7919 % SERVICES,
            (task_id * 31 % 200) as u32,
        );
        let request = Record::RequestReceived {
            task: task_id,
            service,
            actor: format!("actor-{task_id}"),
            class: 0,
            request_id: format!("request-{task_id}"),
            idempotency_key: None,
            received_at: at,
        };
        let task = Task {
            id: TaskId(task_id),
            service: ServiceId(service),
            class: 0,
            requested: Resources::new(0.5, 1.0),
            expected_duration: None,
            deadline: at + 3_000_000,
            is_resubmission: false,
        };
        let offer = Action::Offer {
            task: TaskId(task_id),
            machine: MachineId(machine),
            timeout: 600_000,
        };
        let request_turn = Turn {
            now: at,
            events: vec![Event::PlacementRequested(task)],
            actions: vec![offer],
        };
        let attempt = AttemptId {
            task: TaskId(task_id),
            number: 0,
        };
        let acceptance_turn = Turn {
            now: at + 900,
            events: vec![Event::AttemptAccepted {
                attempt,
                elapsed: Some(900),
            }],
            actions: Vec::new(),
        };
        let answered = Record::Answered {
            task: task_id,
            outcome: Outcome::Placed { host: machine },
            attempts: 1,
            elapsed: 950,
        };
        writer.push(&TimedRecord {
            at,
            record: request,
        })?;
        writer.push(&TimedRecord {
            at,
            record: Record::Turn(request_turn),
        })?;
        writer.push(&TimedRecord {
            at: at + 900,
            record: Record::Turn(acceptance_turn),
        })?;
        writer.push(&TimedRecord {
            at: at + 950,
            record: answered,
        })?;
    }
    let totals = writer.finish()?;
    println!("{totals:?}");
    Ok(())
}
