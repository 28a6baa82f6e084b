//! Converts queued items to trace records.

use std::collections::{BTreeMap, BTreeSet};

use maplethread::{Micros, ServiceId};
use maplethread_engine::{AuditEntry, RequestOutcome};
use maplethread_trace::{Outcome, Record, TimedRecord};

use crate::trace_queue::TraceItem;

/// The machine number of a host whose name was never recorded.
const UNKNOWN_MACHINE: u32 = u32::MAX;

/// Names of hosts and services that were recorded in earlier files. They are repeated in each file, so that it can be
/// read without the earlier ones.
#[derive(Default)]
pub(super) struct RecordedNames {
    /// Machine numbers by host name.
    machines: BTreeMap<String, u32>,
    /// Records that name hosts, repeated at the start of each file.
    host_records: Vec<Record>,
    /// Services that were named in the current file.
    services: BTreeSet<u64>,
}

impl RecordedNames {
    /// The records at the start of a new file, with this time. Services are named again with the next request for them.
    pub fn begin_file(&mut self, at: Micros) -> impl Iterator<Item = TimedRecord> + '_ {
        self.services.clear();
        self.host_records.iter().map(move |record| TimedRecord {
            at,
            record: record.clone(),
        })
    }

    /// Converts an item to its records.
    pub fn take_records(&mut self, at: Micros, item: TraceItem) -> Vec<Record> {
        match item {
            TraceItem::Turn(turn) => vec![Record::Turn(turn)],
            TraceItem::AuditEntry(entry) => self.audit_records(at, entry),
        }
    }

    fn audit_records(&mut self, at: Micros, entry: AuditEntry) -> Vec<Record> {
        match entry {
            AuditEntry::Host {
                machine,
                name,
                topology: [zone, cell, kind],
            } => {
                self.machines.insert(name.to_string(), machine);
                let record = Record::Host {
                    machine,
                    name: name.to_string(),
                    zone: zone.to_string(),
                    cell: cell.to_string(),
                    kind: kind.to_string(),
                };
                self.host_records.push(record.clone());
                vec![record]
            }
            AuditEntry::Service(service, name) => {
                self.service_record(service, &name).into_iter().collect()
            }
            AuditEntry::RequestAccepted {
                task,
                service,
                key,
                class,
                request_id,
                idempotency_key,
            } => {
                let request = Record::RequestReceived {
                    task: task.0,
                    service: service.0,
                    actor: key.actor.to_string(),
                    class: class as u32,
                    request_id: request_id.to_string(),
                    idempotency_key: idempotency_key.map(|key| key.to_string()),
                    received_at: at,
                };
                let service = self.service_record(service, &key.service);
                service.into_iter().chain([request]).collect()
            }
            AuditEntry::RequestFinished {
                task,
                outcome,
                attempts,
                elapsed,
            } => vec![Record::Answered {
                task: task.0,
                outcome: self.outcome(outcome),
                attempts,
                elapsed,
            }],
        }
    }

    /// The record that names a service, unless the current file already has it.
    fn service_record(&mut self, service: ServiceId, name: &str) -> Option<Record> {
        self.services.insert(service.0).then(|| Record::Service {
            service: service.0,
            name: name.to_owned(),
        })
    }

    fn outcome(&self, outcome: RequestOutcome) -> Outcome {
        match outcome {
            RequestOutcome::Placed(host) => Outcome::Placed {
                host: self
                    .machines
                    .get(&*host)
                    .copied()
                    .unwrap_or(UNKNOWN_MACHINE),
            },
            RequestOutcome::Rejected(reason, retry_after_ms) => Outcome::Rejected {
                reason: reason.to_owned(),
                retry_after_ms,
            },
            RequestOutcome::Failed => Outcome::Failed,
            RequestOutcome::ClientDisconnected => Outcome::ClientDisconnected,
        }
    }
}
