//! Runs maplethread placers on the drill simulator's wire: one JSON array per line, a batch of
//! events on standard input, one reply a batch on standard output. It translates and decides nothing.

#![forbid(unsafe_code)]

mod wire;

use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::ExitCode;

use maplethread::{Event, Micros, Placer, Settings};
use maplethread_platform_settings::{CapacityReporting, FieldError, HostNames};
use serde_json::Value;
use wire::{Incoming, Row};

/// One placer, the host names it has heard, and its events of the batch at hand.
struct Instance {
    placer: Option<Placer>,
    hosts: HostNames,
    reports: CapacityReporting,
    events: Vec<Event>,
    fault: Option<String>,
}

type Rosters = BTreeMap<u64, Vec<Row>>;

#[derive(Default)]
struct Adapter {
    instances: BTreeMap<u32, Instance>,
    rosters: Rosters,
    batch: Option<(Micros, u64)>,
}

fn not_up(who: u32) -> FieldError {
    FieldError::new("-", "who", format!("an instance that is up, not {who}"))
}

impl Adapter {
    /// Takes in one line; returns the reply when the line ends a batch.
    fn line(&mut self, text: &str) -> Result<Option<String>, FieldError> {
        let value: Value = serde_json::from_str(text)
            .map_err(|e| FieldError::new("-", "-", format!("JSON ({e})")))?;
        match (wire::decode(&value, self)?, self.batch) {
            (Incoming::Turn { now, batch }, None) => self.batch = Some((now, batch)),
            (Incoming::Turn { .. }, Some(_)) => {
                return Err(FieldError::new(
                    "TURN",
                    "-",
                    "EOB before the next batch".into(),
                ));
            }
            (_, None) => {
                return Err(FieldError::new(
                    "-",
                    "-",
                    "TURN ahead of any other line".into(),
                ));
            }
            (Incoming::EndOfBatch, Some((now, batch))) => {
                self.batch = None;
                return Ok(Some(self.reply(now, batch)));
            }
            (
                Incoming::Launch {
                    who,
                    seed,
                    settings,
                    reports,
                },
                Some(_),
            ) => self.launch(who, seed, *settings, reports),
            (Incoming::Killed { who }, Some(_)) => {
                self.instances.remove(&who);
            }
            (Incoming::Roster { id, rows }, Some(_)) => {
                self.rosters.insert(id, rows);
            }
            (Incoming::Event { who, event }, Some(_)) => self.instance(who)?.events.push(event),
        }
        Ok(None)
    }

    fn launch(&mut self, who: u32, seed: u64, settings: Settings, reports: CapacityReporting) {
        let (placer, fault) = match Placer::new(settings, seed) {
            Ok(placer) => (Some(placer), None),
            Err(error) => (None, Some(format!("settings: {error}"))),
        };
        let instance = Instance {
            placer,
            hosts: HostNames::default(),
            reports,
            events: Vec::new(),
            fault,
        };
        self.instances.insert(who, instance);
    }

    fn instance(&mut self, who: u32) -> Result<&mut Instance, FieldError> {
        self.instances.get_mut(&who).ok_or_else(|| not_up(who))
    }

    fn rosters_and_instance(&mut self, who: u32) -> Result<(&Rosters, &mut Instance), FieldError> {
        let instance = self.instances.get_mut(&who).ok_or_else(|| not_up(who))?;
        Ok((&self.rosters, instance))
    }

    fn reports(&self, who: u32) -> Result<CapacityReporting, FieldError> {
        self.instances
            .get(&who)
            .map(|i| i.reports)
            .ok_or_else(|| not_up(who))
    }

    fn reply(&mut self, now: Micros, batch: u64) -> String {
        let mut out = String::new();
        let mut actions = Vec::new();
        for (&who, instance) in &mut self.instances {
            if let Some(fault) = instance.fault.take() {
                wire::encode_fault(&mut out, who, &fault);
            }
            let events = std::mem::take(&mut instance.events);
            let Some(placer) = instance.placer.as_mut().filter(|_| !events.is_empty()) else {
                continue;
            };
            actions.clear();
            let turn = AssertUnwindSafe(|| placer.turn(now, &events, &mut actions));
            if let Err(panic) = catch_unwind(turn) {
                let text = panic.downcast_ref::<String>().map(String::as_str);
                let text = text
                    .or(panic.downcast_ref::<&str>().copied())
                    .unwrap_or("panic");
                instance.placer = None;
                wire::encode_fault(&mut out, who, text);
                continue;
            }
            for action in &actions {
                wire::encode(&mut out, who, action, &instance.hosts);
            }
        }
        wire::encode_done(&mut out, batch);
        out
    }
}

fn run(input: impl BufRead, mut output: impl Write) -> Result<(), String> {
    let mut adapter = Adapter::default();
    let mut number = 0;
    for line in input.lines() {
        number += 1;
        let line = line.map_err(|e| format!("line {number}: {e}"))?;
        match adapter.line(&line) {
            Ok(None) => {}
            Ok(Some(reply)) => {
                output
                    .write_all(reply.as_bytes())
                    .map_err(|e| format!("standard output: {e}"))?;
                output
                    .flush()
                    .map_err(|e| format!("standard output: {e}"))?;
            }
            Err(error) => return Err(format!("line {number}: {error}")),
        }
    }
    match adapter.batch {
        Some(_) => Err(format!(
            "line {}: input ended within a batch, expected EOB",
            number + 1
        )),
        None => Ok(()),
    }
}

fn main() -> ExitCode {
    match run(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("maplethread-drill: {message}");
            ExitCode::FAILURE
        }
    }
}
