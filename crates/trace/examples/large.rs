//! Writes a trace of so many records over so many hours and services, for trying the tools on:
//! `cargo run --release -p maplethread-trace --example large -- FILE 10000000`.
#![allow(clippy::too_many_lines, reason = "some cases are told in one piece")]

use std::fs::File;
use std::io::BufWriter;

use maplethread::{Action, AttemptId, Event, MachineId, Resources, ServiceId, Task, TaskId};
use maplethread_trace::{Header, Outcome, Record, TimedRecord, Turn, Writer};

const SERVICES: u64 = 20_000;
/// Asks of a service come in bursts of so many.
const BURST: u64 = 50;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let mut args = std::env::args().skip(1);
    let file = args.next().ok_or("a file to write is needed")?;
    let records: u64 = args
        .next()
        .ok_or("a number of records is needed")?
        .parse()?;
    let header = Header {
        writer: "example".into(),
        module: String::new(),
        placer: "placer-0".into(),
        started_ms: 1_700_000_000_000,
        seed: 0,
        settings: None,
        classes: vec!["web-api".into()],
        part: 0,
        changed: Vec::new(),
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
    for ask in 0..records / 4 {
        at += 2500;
        let (service, machine) = (ask / BURST * 7919 % SERVICES, (ask * 31 % 200) as u32);
        let asked = Record::RequestReceived {
            task: ask,
            service,
            actor: format!("actor-{ask}"),
            class: 0,
            request_id: format!("request-{ask}"),
            idempotency_key: None,
            received_at: at,
        };
        let task = Task {
            id: TaskId(ask),
            service: ServiceId(service),
            class: 0,
            requested: Resources::new(0.5, 1.0),
            expected_duration: None,
            deadline: at + 3_000_000,
            is_resubmission: false,
        };
        let offer = Action::Offer {
            task: TaskId(ask),
            machine: MachineId(machine),
            timeout: 600_000,
        };
        let first = Turn {
            now: at,
            events: vec![Event::PlacementRequested(task)],
            actions: vec![offer],
        };
        let id = AttemptId {
            task: TaskId(ask),
            number: 0,
        };
        let second = Turn {
            now: at + 900,
            events: vec![Event::AttemptAccepted {
                attempt: id,
                elapsed: Some(900),
            }],
            actions: Vec::new(),
        };
        let answered = Record::Answered {
            task: ask,
            outcome: Outcome::Placed { host: machine },
            attempts: 1,
            elapsed: 950,
        };
        writer.push(&TimedRecord { at, record: asked })?;
        writer.push(&TimedRecord {
            at,
            record: Record::Turn(first),
        })?;
        writer.push(&TimedRecord {
            at: at + 900,
            record: Record::Turn(second),
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
