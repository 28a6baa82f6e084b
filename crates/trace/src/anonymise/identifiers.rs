//! Searches an anonymised copy for identifiers of the original.

use std::collections::BTreeSet;

use maplethread::{Action, Event};

use super::{KNOWN_GAP_REASONS, KNOWN_REJECTION_REASONS};
use crate::header::Header;
use crate::record::{Outcome, Record, TimedRecord};

/// The identifiers of a trace, which must not appear in its anonymised copy: names, ids, free text, and numbers that
/// can be computed from names without a key.
#[derive(Clone, Debug, Default)]
pub struct Identifiers {
    texts: BTreeSet<String>,
    numbers: BTreeSet<u64>,
}

/// Whether the anonymiser writes this text itself.
fn is_allowed(text: &str) -> bool {
    text.is_empty()
        || KNOWN_REJECTION_REASONS.contains(&text)
        || KNOWN_GAP_REASONS.contains(&text)
        || text == "other"
}

impl Identifiers {
    /// Adds the names in a header.
    pub fn add_header(&mut self, header: &Header) {
        self.add(&header.placer);
        header.sources.iter().for_each(|s| self.add(&s.placer));
        header.classes.iter().for_each(|c| self.add(c));
    }

    /// Adds the identifiers in a record.
    pub fn add_record(&mut self, timed_record: &TimedRecord) {
        visit_texts(&timed_record.record, &mut |text| self.add(text));
        visit_numbers(&timed_record.record, &mut |n| {
            self.numbers.insert(n);
        });
    }

    fn add(&mut self, text: &str) {
        if !is_allowed(text) {
            self.texts.insert(text.to_owned());
        }
    }

    /// The number of identifiers.
    pub fn len(&self) -> usize {
        self.texts.len() + self.numbers.len()
    }

    /// Whether there are no identifiers.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns an identifier that a record contains as a whole text or number; none if there is none.
    pub fn find_in(&self, timed_record: &TimedRecord) -> Option<String> {
        let mut found = None;
        visit_texts(&timed_record.record, &mut |text| {
            if self.texts.contains(text) {
                found = Some(text.to_owned());
            }
        });
        visit_numbers(&timed_record.record, &mut |n| {
            if self.numbers.contains(&n) {
                found = Some(n.to_string());
            }
        });
        found
    }

    /// The texts that are long enough to be searched for in raw bytes without matches by chance: at least 6 bytes, or
    /// 12 if all are hexadecimal digits, as in hashes.
    pub fn searchable_texts(&self) -> impl Iterator<Item = &str> {
        self.texts.iter().map(String::as_str).filter(|text| {
            let is_hex = text.bytes().all(|b| b.is_ascii_hexdigit());
            // A text that is part of a prefix that the anonymiser writes would be found in the hashes.
            let is_in_hash_prefix = ["placer~", "service~", "request~"]
                .iter()
                .any(|prefix| prefix.contains(text));
            text.len() >= if is_hex { 12 } else { 6 } && !is_in_hash_prefix
        })
    }
}

fn visit_texts(record: &Record, visit: &mut dyn FnMut(&str)) {
    match record {
        Record::Turn(turn) => {
            for action in &turn.actions {
                if let Action::Log(line) = action {
                    visit(line);
                }
            }
        }
        Record::Host {
            name,
            zone,
            cell,
            kind,
            ..
        } => [name, zone, cell, kind]
            .into_iter()
            .for_each(|text| visit(text)),
        Record::Service { name, .. } => visit(name),
        Record::RequestReceived {
            actor,
            request_id,
            idempotency_key,
            ..
        } => {
            visit(actor);
            visit(request_id);
            idempotency_key.iter().for_each(|key| visit(key));
        }
        Record::Answered {
            outcome: Outcome::Rejected { reason, .. },
            ..
        } => visit(reason),
        Record::Gap { reason, .. } => visit(reason),
        Record::Answered { .. } | Record::Stopped | Record::Source(_) => {}
    }
}

fn visit_numbers(record: &Record, visit: &mut dyn FnMut(u64)) {
    match record {
        Record::Turn(turn) => {
            for event in &turn.events {
                match event {
                    Event::EndpointsUpdated { machines, .. } => {
                        machines.iter().for_each(|m| visit(m.stable_hash))
                    }
                    Event::PlacementRequested(task) | Event::TaskAdopted { task, .. } => {
                        visit(task.service.0)
                    }
                    _ => {}
                }
            }
        }
        Record::Service { service, .. } | Record::RequestReceived { service, .. } => {
            visit(*service)
        }
        _ => {}
    }
}
