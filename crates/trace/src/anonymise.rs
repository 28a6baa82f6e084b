//! Hides who and what a trace is about: names, keys, ids and free text become keyed hashes, alike within a file.
//!
//! Nothing is copied by default. Each record is made anew, field by field, so that a field that is added to the format
//! does not compile here until somebody has decided on it.

use std::collections::BTreeSet;

use maplethread::{
    Action, AttemptId, End, Event, Listing, MachineId, Micros, Note, Room, ServiceId, Task, TaskId,
};

use crate::header::{Header, Source};
use crate::record::{Outcome, Record, Stamped, Turn};

/// Reasons of refusals that say nothing of whom they concern.
const REASONS: [&str; 20] = [
    "cold",
    "connection_lost",
    "cores",
    "error",
    "evicted",
    "key_group",
    "line",
    "memory",
    "no_answer",
    "no_connection",
    "no_host",
    "no_room",
    "not_here",
    "pushed_out",
    "sent_away",
    "spread",
    "too_large",
    "unknown",
    "done",
    "moved",
];
/// Reasons of gaps.
const GAPS: [&str; 3] = [
    "the writer could not keep up",
    "the file could not be written",
    "the file was removed",
];

/// Hides names with one key.
pub struct Anonymiser {
    key: [u8; 32],
    /// Added to each time, µs, wrapping.
    shift: u64,
    /// Asked cores and memory are rounded to multiples of this; as they are with 0.
    grain: f64,
}

impl Anonymiser {
    /// With a key that must not be used for another file; times shifted by so much, asks rounded up to this grain.
    pub fn new(key: [u8; 32], shift: u64, grain: f64) -> Anonymiser {
        Anonymiser {
            key,
            shift,
            grain: if grain.is_finite() && grain > 0.0 {
                grain
            } else {
                0.0
            },
        }
    }

    fn number(&self, kind: &str, bytes: &[u8]) -> u64 {
        let mut hash = blake3::Hasher::new_keyed(&self.key);
        hash.update(kind.as_bytes()).update(&[0]).update(bytes);
        let mut first = [0; 8];
        first.copy_from_slice(&hash.finalize().as_bytes()[..8]);
        u64::from_le_bytes(first)
    }

    fn name(&self, kind: &str, name: &str) -> String {
        format!("{kind}~{:016x}", self.number(kind, name.as_bytes()))
    }

    fn time(&self, at: Micros) -> Micros {
        at.wrapping_add(self.shift)
    }

    fn asks(&self, asks: Room) -> Room {
        let up = |x: f64| {
            if self.grain > 0.0 {
                (x / self.grain).ceil() * self.grain
            } else {
                x
            }
        };
        Room::new(up(asks.cores), up(asks.memory))
    }

    /// The header; a trace whose names are hidden can't be replayed, since hosts are ranked by their names' hashes.
    pub fn header(&self, header: &Header) -> Header {
        let Header {
            writer,
            module,
            placer,
            started_ms,
            seed: _,
            settings: _,
            classes,
            part,
            changed: _,
            sources,
        } = header;
        let plain = |c: char| c.is_ascii_digit() || c == '.';
        let known = writer
            .strip_prefix("maplethread ")
            .is_some_and(|v| v.len() < 20 && v.chars().all(plain));
        let hex = module.len() == 64 && module.bytes().all(|b| b.is_ascii_hexdigit());
        Header {
            writer: if known { writer.clone() } else { String::new() },
            module: if hex { module.clone() } else { String::new() },
            placer: self.name("placer", placer),
            started_ms: self.time(started_ms.wrapping_mul(1000)) / 1000,
            seed: 0,
            settings: None,
            classes: classes.iter().map(|c| self.name("class", c)).collect(),
            part: *part,
            changed: vec!["anonymise".to_owned()],
            sources: sources.iter().map(|s| self.source(s)).collect(),
        }
    }

    fn source(&self, source: &Source) -> Source {
        let Source {
            placer,
            started_ms,
            module: _,
            parts,
            offset_us,
            error_us,
        } = source;
        Source {
            placer: self.name("placer", placer),
            started_ms: self.time(started_ms.wrapping_mul(1000)) / 1000,
            module: String::new(),
            parts: parts.clone(),
            offset_us: *offset_us,
            error_us: *error_us,
        }
    }

    /// A record.
    pub fn record(&self, stamped: &Stamped) -> Stamped {
        let Stamped { at, record } = stamped;
        let record = match record {
            Record::Turn(Turn {
                now,
                events,
                actions,
            }) => Record::Turn(Turn {
                now: self.time(*now),
                events: events.iter().map(|e| self.event(e)).collect(),
                actions: actions.iter().map(|a| self.action(a)).collect(),
            }),
            Record::Host {
                machine,
                name,
                zone,
                cell,
                kind,
            } => Record::Host {
                machine: *machine,
                name: self.name("host", name),
                zone: self.name("zone", zone),
                cell: self.name("cell", cell),
                kind: self.name("kind", kind),
            },
            Record::Service { service, name } => Record::Service {
                service: self.service(*service),
                name: self.name("service", name),
            },
            Record::Asked {
                task,
                service,
                actor,
                class,
                request,
                key,
                read,
            } => Record::Asked {
                task: *task,
                service: self.service(*service),
                actor: self.name("actor", actor),
                class: *class,
                request: self.name("request", request),
                key: key.as_ref().map(|k| self.name("key", k)),
                read: self.time(*read),
            },
            Record::Answered {
                task,
                outcome,
                attempts,
                after,
            } => Record::Answered {
                task: *task,
                outcome: match outcome {
                    Outcome::Placed { host } => Outcome::Placed { host: *host },
                    Outcome::Refused {
                        reason,
                        come_back_ms,
                    } => {
                        let known = REASONS.contains(&reason.as_str());
                        let reason = if known {
                            reason.clone()
                        } else {
                            "other".to_owned()
                        };
                        Outcome::Refused {
                            reason,
                            come_back_ms: *come_back_ms,
                        }
                    }
                    Outcome::Failed => Outcome::Failed,
                    Outcome::HungUp => Outcome::HungUp,
                },
                attempts: *attempts,
                after: *after,
            },
            Record::Gap {
                turns,
                records,
                why,
            } => {
                let known = GAPS.contains(&why.as_str());
                let why = if known {
                    why.clone()
                } else {
                    "other".to_owned()
                };
                Record::Gap {
                    turns: *turns,
                    records: *records,
                    why,
                }
            }
            Record::Stopped => Record::Stopped,
            Record::Source(source) => Record::Source(*source),
        };
        Stamped {
            at: self.time(*at),
            record,
        }
    }

    /// A service's number is a hash of its name that anybody can make.
    fn service(&self, number: u64) -> u64 {
        self.number("number", &number.to_le_bytes())
    }

    fn task(&self, task: &Task) -> Task {
        let Task {
            id,
            service,
            class,
            asks,
            life,
            give_up_at,
            again,
        } = *task;
        Task {
            id,
            service: ServiceId(self.service(service.0)),
            class,
            asks: self.asks(asks),
            life,
            give_up_at: self.time(give_up_at),
            again,
        }
    }

    fn listing(&self, listing: &Listing) -> Listing {
        let Listing {
            machine,
            label,
            zone,
            cell,
            kind,
            state,
            started,
            unasked,
        } = *listing;
        Listing {
            machine,
            label: self.number("label", &label.to_le_bytes()),
            zone,
            cell,
            kind,
            state,
            started: started.map(|at| self.time(at)),
            unasked,
        }
    }

    fn event(&self, event: &Event) -> Event {
        match event {
            Event::Listed { scope, machines } => Event::Listed {
                scope: *scope,
                machines: machines.iter().map(|m| self.listing(m)).collect(),
            },
            Event::Numbered(number) => Event::Numbered(*number),
            Event::Linked(MachineId(n), on) => Event::Linked(MachineId(*n), *on),
            Event::ListUnavailable => Event::ListUnavailable,
            Event::Asked(task) => Event::Asked(self.task(task)),
            Event::Running(task, MachineId(n)) => Event::Running(self.task(task), MachineId(*n)),
            Event::Seated(AttemptId { task, number }, took) => Event::Seated(
                AttemptId {
                    task: *task,
                    number: *number,
                },
                *took,
            ),
            Event::Noted(AttemptId { task, number }, note) => {
                let note = match note {
                    Note::Started => Note::Started,
                    Note::CoresUsed(x) => Note::CoresUsed(*x),
                    Note::MemoryUsed(x) => Note::MemoryUsed(*x),
                    Note::Served(x) => Note::Served(*x),
                    Note::MachineMemory(x) => Note::MachineMemory(*x),
                };
                Event::Noted(
                    AttemptId {
                        task: *task,
                        number: *number,
                    },
                    note,
                )
            }
            Event::Ended(
                AttemptId { task, number },
                End {
                    ending,
                    why,
                    closed,
                    load,
                },
            ) => {
                let end = End {
                    ending: *ending,
                    why: *why,
                    closed: *closed,
                    load: *load,
                };
                Event::Ended(
                    AttemptId {
                        task: *task,
                        number: *number,
                    },
                    end,
                )
            }
            Event::HungUp(TaskId(task)) => Event::HungUp(TaskId(*task)),
            Event::Woken(label) => Event::Woken(*label),
            Event::Probed { machine, ok, load } => Event::Probed {
                machine: *machine,
                ok: *ok,
                load: *load,
            },
            Event::Told { from, bytes: _ } => Event::Told {
                from: *from,
                bytes: Vec::new(),
            },
        }
    }

    fn action(&self, action: &Action) -> Action {
        match action {
            Action::Offer(TaskId(task), MachineId(machine), wait) => {
                Action::Offer(TaskId(*task), MachineId(*machine), *wait)
            }
            Action::Cancel(AttemptId { task, number }) => Action::Cancel(AttemptId {
                task: *task,
                number: *number,
            }),
            Action::Refuse(TaskId(task), advice) => Action::Refuse(TaskId(*task), *advice),
            Action::Fail(TaskId(task)) => Action::Fail(TaskId(*task)),
            Action::Held(TaskId(task), lack) => Action::Held(TaskId(*task), *lack),
            Action::Move(TaskId(task)) => Action::Move(TaskId(*task)),
            Action::Wake(after, label) => Action::Wake(*after, *label),
            Action::Probe(MachineId(n)) => Action::Probe(MachineId(*n)),
            Action::CloseIdle(MachineId(n)) => Action::CloseIdle(MachineId(*n)),
            Action::Tell { to, bytes: _ } => Action::Tell {
                to: *to,
                bytes: Vec::new(),
            },
            Action::Listen(on) => Action::Listen(*on),
            Action::Lookup => Action::Lookup,
            Action::Log(_) => Action::Log(String::new()),
        }
    }
}

/// What must not be found in an anonymised file: names, ids and free text, and numbers that anybody can make of names.
#[derive(Clone, Debug, Default)]
pub struct Identifiers {
    texts: BTreeSet<String>,
    numbers: BTreeSet<u64>,
}

/// Words that the anonymiser itself writes, and that are allowed to stand.
fn allowed(text: &str) -> bool {
    text.is_empty() || REASONS.contains(&text) || GAPS.contains(&text) || text == "other"
}

impl Identifiers {
    /// Takes in what a header names.
    pub fn of_header(&mut self, header: &Header) {
        self.add(&header.placer);
        header.sources.iter().for_each(|s| self.add(&s.placer));
        header.classes.iter().for_each(|c| self.add(c));
    }

    /// Takes in what a record names.
    pub fn of_record(&mut self, stamped: &Stamped) {
        texts(&stamped.record, &mut |text| self.add(text));
        numbers(&stamped.record, &mut |n| {
            self.numbers.insert(n);
        });
    }

    fn add(&mut self, text: &str) {
        if !allowed(text) {
            self.texts.insert(text.to_owned());
        }
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.texts.len() + self.numbers.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The first of them that stands as a text or a number of its own in a record.
    pub fn found_in(&self, stamped: &Stamped) -> Option<String> {
        let mut found = None;
        texts(&stamped.record, &mut |text| {
            if self.texts.contains(text) {
                found = Some(text.to_owned());
            }
        });
        numbers(&stamped.record, &mut |n| {
            if self.numbers.contains(&n) {
                found = Some(n.to_string());
            }
        });
        found
    }

    /// Those long enough to be looked for anywhere among octets, where chance does not find them: six octets, or
    /// twelve of hexadecimal digits, as hashes are written.
    pub fn long(&self) -> impl Iterator<Item = &str> {
        self.texts.iter().map(String::as_str).filter(|text| {
            let hex = text.bytes().all(|b| b.is_ascii_hexdigit());
            // The hashes' own prefixes stand in each of them.
            let prefix = ["placer~", "service~", "request~"]
                .iter()
                .any(|p| p.contains(text));
            text.len() >= if hex { 12 } else { 6 } && !prefix
        })
    }
}

fn texts(record: &Record, see: &mut dyn FnMut(&str)) {
    match record {
        Record::Turn(turn) => {
            for action in &turn.actions {
                if let Action::Log(line) = action {
                    see(line);
                }
            }
        }
        Record::Host {
            name,
            zone,
            cell,
            kind,
            ..
        } => [name, zone, cell, kind].into_iter().for_each(|t| see(t)),
        Record::Service { name, .. } => see(name),
        Record::Asked {
            actor,
            request,
            key,
            ..
        } => {
            see(actor);
            see(request);
            key.iter().for_each(|k| see(k));
        }
        Record::Answered {
            outcome: Outcome::Refused { reason, .. },
            ..
        } => see(reason),
        Record::Gap { why, .. } => see(why),
        Record::Answered { .. } | Record::Stopped | Record::Source(_) => {}
    }
}

fn numbers(record: &Record, see: &mut dyn FnMut(u64)) {
    match record {
        Record::Turn(turn) => {
            for event in &turn.events {
                match event {
                    Event::Listed { machines, .. } => machines.iter().for_each(|m| see(m.label)),
                    Event::Asked(task) | Event::Running(task, _) => see(task.service.0),
                    _ => {}
                }
            }
        }
        Record::Service { service, .. } | Record::Asked { service, .. } => see(*service),
        _ => {}
    }
}
