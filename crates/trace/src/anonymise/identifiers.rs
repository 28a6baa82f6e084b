//! The search of an anonymised copy for anything that it should not hold.

use std::collections::BTreeSet;

use maplethread::{Action, Event};

use super::{KNOWN_GAP_REASONS, KNOWN_REJECTION_REASONS};
use crate::header::Header;
use crate::record::{Outcome, Record, TimedRecord};

/// What must not be found in an anonymised file: names, ids and free text, and numbers that anybody can make of names.
#[derive(Clone, Debug, Default)]
pub struct Identifiers {
    texts: BTreeSet<String>,
    numbers: BTreeSet<u64>,
}

/// Words that the anonymiser itself writes, and that are allowed to stand.
fn is_allowed(text: &str) -> bool {
    text.is_empty()
        || KNOWN_REJECTION_REASONS.contains(&text)
        || KNOWN_GAP_REASONS.contains(&text)
        || text == "other"
}

impl Identifiers {
    /// Takes in what a header names.
    pub fn add_header(&mut self, header: &Header) {
        self.add(&header.placer);
        header.sources.iter().for_each(|s| self.add(&s.placer));
        header.classes.iter().for_each(|c| self.add(c));
    }

    /// Takes in what a record names.
    pub fn add_record(&mut self, stamped: &TimedRecord) {
        visit_texts(&stamped.record, &mut |text| self.add(text));
        visit_numbers(&stamped.record, &mut |n| {
            self.numbers.insert(n);
        });
    }

    fn add(&mut self, text: &str) {
        if !is_allowed(text) {
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
    pub fn find_in(&self, stamped: &TimedRecord) -> Option<String> {
        let mut found = None;
        visit_texts(&stamped.record, &mut |text| {
            if self.texts.contains(text) {
                found = Some(text.to_owned());
            }
        });
        visit_numbers(&stamped.record, &mut |n| {
            if self.numbers.contains(&n) {
                found = Some(n.to_string());
            }
        });
        found
    }

    /// Those long enough to be looked for anywhere among octets, where chance does not find them: six octets, or
    /// twelve of hexadecimal digits, as hashes are written.
    pub fn searchable_texts(&self) -> impl Iterator<Item = &str> {
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

fn visit_texts(record: &Record, see: &mut dyn FnMut(&str)) {
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
        Record::RequestReceived {
            actor,
            request_id: request,
            idempotency_key: key,
            ..
        } => {
            see(actor);
            see(request);
            key.iter().for_each(|k| see(k));
        }
        Record::Answered {
            outcome: Outcome::Rejected { reason, .. },
            ..
        } => see(reason),
        Record::Gap { reason: why, .. } => see(why),
        Record::Answered { .. } | Record::Stopped | Record::Source(_) => {}
    }
}

fn visit_numbers(record: &Record, see: &mut dyn FnMut(u64)) {
    match record {
        Record::Turn(turn) => {
            for event in &turn.events {
                match event {
                    Event::EndpointsUpdated { machines, .. } => {
                        machines.iter().for_each(|m| see(m.stable_hash))
                    }
                    Event::PlacementRequested(task) | Event::TaskAdopted { task, .. } => {
                        see(task.service.0)
                    }
                    _ => {}
                }
            }
        }
        Record::Service { service, .. } | Record::RequestReceived { service, .. } => see(*service),
        _ => {}
    }
}
