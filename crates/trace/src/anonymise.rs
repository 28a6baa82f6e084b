//! Hides who and what a trace is about: names, keys, ids and free text become keyed hashes, alike within a file.
//!
//! Nothing is copied by default. Each record is made anew, field by field, so that a field that is added to the format
//! does not compile here until somebody has decided on it.

mod identifiers;

use maplethread::{
    Action, AttemptId, AttemptResult, Event, MachineEntry, MachineId, Micros, Resources, ServiceId,
    Task, TaskId, TaskReport,
};

pub use identifiers::Identifiers;

use crate::header::{Header, Source};
use crate::record::{Outcome, Record, TimedRecord, Turn};

/// Reasons of refusals that say nothing of whom they concern.
const KNOWN_REJECTION_REASONS: [&str; 20] = [
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
const KNOWN_GAP_REASONS: [&str; 3] = [
    "the writer could not keep up",
    "the file could not be written",
    "the file was removed",
];

/// Hides names with one key.
pub struct Anonymiser {
    key: [u8; 32],
    /// Added to each time, µs, wrapping.
    time_shift: u64,
    /// Asked cores and memory are rounded to multiples of this; as they are with 0.
    resource_step: f64,
}

impl Anonymiser {
    /// With a key that must not be used for another file; times shifted by so much, asks rounded up to this grain.
    pub fn new(key: [u8; 32], time_shift: u64, grain: f64) -> Anonymiser {
        Anonymiser {
            key,
            time_shift,
            resource_step: if grain.is_finite() && grain > 0.0 {
                grain
            } else {
                0.0
            },
        }
    }

    fn hash_number(&self, kind: &str, bytes: &[u8]) -> u64 {
        let mut hash = blake3::Hasher::new_keyed(&self.key);
        hash.update(kind.as_bytes()).update(&[0]).update(bytes);
        let mut first = [0; 8];
        first.copy_from_slice(&hash.finalize().as_bytes()[..8]);
        u64::from_le_bytes(first)
    }

    fn hash_name(&self, kind: &str, name: &str) -> String {
        format!("{kind}~{:016x}", self.hash_number(kind, name.as_bytes()))
    }

    fn shift_time(&self, at: Micros) -> Micros {
        at.wrapping_add(self.time_shift)
    }

    fn round_resources(&self, asks: Resources) -> Resources {
        let up = |x: f64| {
            if self.resource_step > 0.0 {
                (x / self.resource_step).ceil() * self.resource_step
            } else {
                x
            }
        };
        Resources::new(up(asks.cores), up(asks.memory))
    }

    /// The header; a trace whose names are hidden can't be replayed, since hosts are ranked by their names' hashes.
    pub fn anonymise_header(&self, header: &Header) -> Header {
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
            placer: self.hash_name("placer", placer),
            started_ms: self.shift_time(started_ms.wrapping_mul(1000)) / 1000,
            seed: 0,
            settings: None,
            classes: classes.iter().map(|c| self.hash_name("class", c)).collect(),
            part: *part,
            changed: vec!["anonymise".to_owned()],
            sources: sources.iter().map(|s| self.anonymise_source(s)).collect(),
        }
    }

    fn anonymise_source(&self, source: &Source) -> Source {
        let Source {
            placer,
            started_ms,
            module: _,
            parts,
            offset_us,
            error_us,
        } = source;
        Source {
            placer: self.hash_name("placer", placer),
            started_ms: self.shift_time(started_ms.wrapping_mul(1000)) / 1000,
            module: String::new(),
            parts: parts.clone(),
            offset_us: *offset_us,
            error_us: *error_us,
        }
    }

    /// A record.
    pub fn anonymise_record(&self, stamped: &TimedRecord) -> TimedRecord {
        let TimedRecord { at, record } = stamped;
        let record = match record {
            Record::Turn(Turn {
                now,
                events,
                actions,
            }) => Record::Turn(Turn {
                now: self.shift_time(*now),
                events: events.iter().map(|e| self.anonymise_event(e)).collect(),
                actions: actions.iter().map(|a| self.anonymise_action(a)).collect(),
            }),
            Record::Host {
                machine,
                name,
                zone,
                cell,
                kind,
            } => Record::Host {
                machine: *machine,
                name: self.hash_name("host", name),
                zone: self.hash_name("zone", zone),
                cell: self.hash_name("cell", cell),
                kind: self.hash_name("kind", kind),
            },
            Record::Service { service, name } => Record::Service {
                service: self.service(*service),
                name: self.hash_name("service", name),
            },
            Record::RequestReceived {
                task,
                service,
                actor,
                class,
                request_id: request,
                idempotency_key: key,
                received_at: read,
            } => Record::RequestReceived {
                task: *task,
                service: self.service(*service),
                actor: self.hash_name("actor", actor),
                class: *class,
                request_id: self.hash_name("request", request),
                idempotency_key: key.as_ref().map(|k| self.hash_name("key", k)),
                received_at: self.shift_time(*read),
            },
            Record::Answered {
                task,
                outcome,
                attempts,
                elapsed: after,
            } => Record::Answered {
                task: *task,
                outcome: match outcome {
                    Outcome::Placed { host } => Outcome::Placed { host: *host },
                    Outcome::Rejected {
                        reason,
                        retry_after_ms: come_back_ms,
                    } => {
                        let known = KNOWN_REJECTION_REASONS.contains(&reason.as_str());
                        let reason = if known {
                            reason.clone()
                        } else {
                            "other".to_owned()
                        };
                        Outcome::Rejected {
                            reason,
                            retry_after_ms: *come_back_ms,
                        }
                    }
                    Outcome::Failed => Outcome::Failed,
                    Outcome::ClientDisconnected => Outcome::ClientDisconnected,
                },
                attempts: *attempts,
                elapsed: *after,
            },
            Record::Gap {
                turns,
                records,
                reason: why,
            } => {
                let known = KNOWN_GAP_REASONS.contains(&why.as_str());
                let why = if known {
                    why.clone()
                } else {
                    "other".to_owned()
                };
                Record::Gap {
                    turns: *turns,
                    records: *records,
                    reason: why,
                }
            }
            Record::Stopped => Record::Stopped,
            Record::Source(source) => Record::Source(*source),
        };
        TimedRecord {
            at: self.shift_time(*at),
            record,
        }
    }

    /// A service's number is a hash of its name that anybody can make.
    fn service(&self, number: u64) -> u64 {
        self.hash_number("number", &number.to_le_bytes())
    }

    fn task(&self, task: &Task) -> Task {
        let Task {
            id,
            service,
            class,
            requested: asks,
            expected_duration: life,
            deadline: give_up_at,
            is_resubmission: again,
        } = *task;
        Task {
            id,
            service: ServiceId(self.service(service.0)),
            class,
            requested: self.round_resources(asks),
            expected_duration: life,
            deadline: self.shift_time(give_up_at),
            is_resubmission: again,
        }
    }

    fn anonymise_machine(&self, listing: &MachineEntry) -> MachineEntry {
        let MachineEntry {
            machine,
            stable_hash: label,
            zone,
            cell,
            kind,
            state,
            started_at: started,
            unallocated: unasked,
        } = *listing;
        MachineEntry {
            machine,
            stable_hash: self.hash_number("label", &label.to_le_bytes()),
            zone,
            cell,
            kind,
            state,
            started_at: started.map(|at| self.shift_time(at)),
            unallocated: unasked,
        }
    }

    fn anonymise_event(&self, event: &Event) -> Event {
        match event {
            Event::EndpointsUpdated { scope, machines } => Event::EndpointsUpdated {
                scope: *scope,
                machines: machines.iter().map(|m| self.anonymise_machine(m)).collect(),
            },
            Event::ReplicaIndexChanged(number) => Event::ReplicaIndexChanged(*number),
            Event::ConnectionChanged {
                machine: MachineId(n),
                is_connected: on,
            } => Event::ConnectionChanged {
                machine: MachineId(*n),
                is_connected: *on,
            },
            Event::DiscoveryUnavailable => Event::DiscoveryUnavailable,
            Event::PlacementRequested(task) => Event::PlacementRequested(self.task(task)),
            Event::TaskAdopted {
                task,
                machine: MachineId(n),
            } => Event::TaskAdopted {
                task: self.task(task),
                machine: MachineId(*n),
            },
            Event::AttemptAccepted {
                attempt: AttemptId { task, number },
                elapsed: took,
            } => Event::AttemptAccepted {
                attempt: AttemptId {
                    task: *task,
                    number: *number,
                },
                elapsed: *took,
            },
            Event::TaskReported {
                attempt: AttemptId { task, number },
                report: note,
            } => {
                let note = match note {
                    TaskReport::Started => TaskReport::Started,
                    TaskReport::CoresUsed(x) => TaskReport::CoresUsed(*x),
                    TaskReport::MemoryUsed(x) => TaskReport::MemoryUsed(*x),
                    TaskReport::ServiceShare(x) => TaskReport::ServiceShare(*x),
                    TaskReport::MachineMemoryShare(x) => TaskReport::MachineMemoryShare(*x),
                };
                Event::TaskReported {
                    attempt: AttemptId {
                        task: *task,
                        number: *number,
                    },
                    report: note,
                }
            }
            Event::AttemptFinished {
                attempt: AttemptId { task, number },
                result:
                    AttemptResult {
                        outcome: ending,
                        reason: why,
                        closes_task: closed,
                        load,
                    },
            } => {
                let end = AttemptResult {
                    outcome: *ending,
                    reason: *why,
                    closes_task: *closed,
                    load: *load,
                };
                Event::AttemptFinished {
                    attempt: AttemptId {
                        task: *task,
                        number: *number,
                    },
                    result: end,
                }
            }
            Event::ClientDisconnected(TaskId(task)) => Event::ClientDisconnected(TaskId(*task)),
            Event::TimerFired { label } => Event::TimerFired { label: *label },
            Event::Probed {
                machine,
                answered: ok,
                load,
            } => Event::Probed {
                machine: *machine,
                answered: *ok,
                load: *load,
            },
            Event::PeerMessage { from, bytes: _ } => Event::PeerMessage {
                from: *from,
                bytes: Vec::new(),
            },
        }
    }

    fn anonymise_action(&self, action: &Action) -> Action {
        match action {
            Action::Offer {
                task: TaskId(task),
                machine: MachineId(machine),
                timeout: wait,
            } => Action::Offer {
                task: TaskId(*task),
                machine: MachineId(*machine),
                timeout: *wait,
            },
            Action::Cancel(AttemptId { task, number }) => Action::Cancel(AttemptId {
                task: *task,
                number: *number,
            }),
            Action::Reject {
                task: TaskId(task),
                retry_after: advice,
            } => Action::Reject {
                task: TaskId(*task),
                retry_after: *advice,
            },
            Action::Fail(TaskId(task)) => Action::Fail(TaskId(*task)),
            Action::Blocked {
                task: TaskId(task),
                reason: lack,
            } => Action::Blocked {
                task: TaskId(*task),
                reason: *lack,
            },
            Action::Migrate(TaskId(task)) => Action::Migrate(TaskId(*task)),
            Action::SetTimer { after, label } => Action::SetTimer {
                after: *after,
                label: *label,
            },
            Action::Probe(MachineId(n)) => Action::Probe(MachineId(*n)),
            Action::CloseIdle(MachineId(n)) => Action::CloseIdle(MachineId(*n)),
            Action::SendToPeer { to, bytes: _ } => Action::SendToPeer {
                to: *to,
                bytes: Vec::new(),
            },
            Action::WatchEndpoints { enabled: on } => Action::WatchEndpoints { enabled: *on },
            Action::FetchEndpoints => Action::FetchEndpoints,
            Action::Log(_) => Action::Log(String::new()),
        }
    }
}
