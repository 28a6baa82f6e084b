//! Anonymises traces: names, keys, ids and free text are replaced by keyed hashes, which are consistent within a file.
//!
//! No record is copied as a whole. Each is rebuilt field by field from an exhaustive pattern, so that a field added to
//! the format fails to compile here until its treatment is decided.

mod identifiers;

use maplethread::{
    Action, AttemptId, AttemptResult, Event, MachineEntry, MachineId, Micros, Resources, ServiceId,
    Task, TaskId, TaskReport,
};

pub use identifiers::Identifiers;

use crate::header::{Header, Source};
use crate::record::{Outcome, Record, TimedRecord, Turn};

/// Reasons for rejections that identify nobody and are kept; all others become `other`.
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
/// Reasons for gaps that are kept; all others become `other`.
const KNOWN_GAP_REASONS: [&str; 3] = [
    "the writer could not keep up",
    "the file could not be written",
    "the file was removed",
];

/// Replaces names by hashes with one key.
pub struct Anonymiser {
    key: [u8; 32],
    /// Added to each time, µs, wrapping.
    time_shift: u64,
    /// Requested cores and memory are rounded up to multiples of this; 0 disables rounding.
    resource_step: f64,
}

impl Anonymiser {
    /// Creates an anonymiser that adds `time_shift` (µs, wrapping) to all times and rounds requested resources up to
    /// multiples of `resource_step`; a step that is not positive and finite disables rounding. The key must not be used
    /// for another file, since the hashes of both could then be matched.
    pub fn new(key: [u8; 32], time_shift: u64, resource_step: f64) -> Anonymiser {
        Anonymiser {
            key,
            time_shift,
            resource_step: if resource_step.is_finite() && resource_step > 0.0 {
                resource_step
            } else {
                0.0
            },
        }
    }

    fn hash_number(&self, kind: &str, bytes: &[u8]) -> u64 {
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        hasher.update(kind.as_bytes()).update(&[0]).update(bytes);
        let mut prefix = [0; 8];
        prefix.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        u64::from_le_bytes(prefix)
    }

    fn hash_name(&self, kind: &str, name: &str) -> String {
        format!("{kind}~{:016x}", self.hash_number(kind, name.as_bytes()))
    }

    fn shift_time(&self, at: Micros) -> Micros {
        at.wrapping_add(self.time_shift)
    }

    fn round_resources(&self, requested: Resources) -> Resources {
        let round_up = |x: f64| {
            if self.resource_step > 0.0 {
                (x / self.resource_step).ceil() * self.resource_step
            } else {
                x
            }
        };
        Resources::new(round_up(requested.cores), round_up(requested.memory))
    }

    /// Anonymises a header. The settings are removed: an anonymised trace can't be replayed, since the policy ranks
    /// hosts by the hashes of their names.
    pub fn anonymise_header(&self, header: &Header) -> Header {
        let Header {
            writer,
            policy_hash: module,
            placer,
            started_ms,
            seed: _,
            settings: _,
            classes,
            part,
            operations: _,
            sources,
        } = header;
        let is_version_char = |c: char| c.is_ascii_digit() || c == '.';
        let is_known = writer
            .strip_prefix("maplethread ")
            .is_some_and(|v| v.len() < 20 && v.chars().all(is_version_char));
        let is_hash = module.len() == 64 && module.bytes().all(|b| b.is_ascii_hexdigit());
        Header {
            writer: if is_known {
                writer.clone()
            } else {
                String::new()
            },
            policy_hash: if is_hash {
                module.clone()
            } else {
                String::new()
            },
            placer: self.hash_name("placer", placer),
            started_ms: self.shift_time(started_ms.wrapping_mul(1000)) / 1000,
            seed: 0,
            settings: None,
            classes: classes.iter().map(|c| self.hash_name("class", c)).collect(),
            part: *part,
            operations: vec!["anonymise".to_owned()],
            sources: sources.iter().map(|s| self.anonymise_source(s)).collect(),
        }
    }

    fn anonymise_source(&self, source: &Source) -> Source {
        let Source {
            placer,
            started_ms,
            policy_hash: _,
            parts,
            offset_us,
            residual_error_us: error_us,
        } = source;
        Source {
            placer: self.hash_name("placer", placer),
            started_ms: self.shift_time(started_ms.wrapping_mul(1000)) / 1000,
            policy_hash: String::new(),
            parts: parts.clone(),
            offset_us: *offset_us,
            residual_error_us: *error_us,
        }
    }

    /// Anonymises a record.
    pub fn anonymise_record(&self, timed_record: &TimedRecord) -> TimedRecord {
        let TimedRecord { at, record } = timed_record;
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
                service: self.anonymise_service_number(*service),
                name: self.hash_name("service", name),
            },
            Record::RequestReceived {
                task,
                service,
                actor,
                class,
                request_id,
                idempotency_key,
                received_at,
            } => Record::RequestReceived {
                task: *task,
                service: self.anonymise_service_number(*service),
                actor: self.hash_name("actor", actor),
                class: *class,
                request_id: self.hash_name("request", request_id),
                idempotency_key: idempotency_key.as_ref().map(|k| self.hash_name("key", k)),
                received_at: self.shift_time(*received_at),
            },
            Record::Answered {
                task,
                outcome,
                attempts,
                elapsed,
            } => Record::Answered {
                task: *task,
                outcome: match outcome {
                    Outcome::Placed { host } => Outcome::Placed { host: *host },
                    Outcome::Rejected {
                        reason,
                        retry_after_ms,
                    } => {
                        let is_known = KNOWN_REJECTION_REASONS.contains(&reason.as_str());
                        let reason = if is_known {
                            reason.clone()
                        } else {
                            "other".to_owned()
                        };
                        Outcome::Rejected {
                            reason,
                            retry_after_ms: *retry_after_ms,
                        }
                    }
                    Outcome::Failed => Outcome::Failed,
                    Outcome::ClientDisconnected => Outcome::ClientDisconnected,
                },
                attempts: *attempts,
                elapsed: *elapsed,
            },
            Record::Gap {
                turns,
                records,
                reason,
            } => {
                let is_known = KNOWN_GAP_REASONS.contains(&reason.as_str());
                let reason = if is_known {
                    reason.clone()
                } else {
                    "other".to_owned()
                };
                Record::Gap {
                    turns: *turns,
                    records: *records,
                    reason,
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

    /// Replaces a service's number, which is a hash of its name without a key and can be computed by anybody.
    fn anonymise_service_number(&self, number: u64) -> u64 {
        self.hash_number("number", &number.to_le_bytes())
    }

    fn anonymise_task(&self, task: &Task) -> Task {
        let Task {
            id,
            service,
            class,
            requested,
            expected_duration,
            deadline,
            is_resubmission,
        } = *task;
        Task {
            id,
            service: ServiceId(self.anonymise_service_number(service.0)),
            class,
            requested: self.round_resources(requested),
            expected_duration,
            deadline: self.shift_time(deadline),
            is_resubmission,
        }
    }

    fn anonymise_machine(&self, entry: &MachineEntry) -> MachineEntry {
        let MachineEntry {
            machine,
            stable_hash,
            zone,
            cell,
            kind,
            state,
            started_at,
            unallocated,
        } = *entry;
        MachineEntry {
            machine,
            stable_hash: self.hash_number("label", &stable_hash.to_le_bytes()),
            zone,
            cell,
            kind,
            state,
            started_at: started_at.map(|at| self.shift_time(at)),
            unallocated,
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
                machine: MachineId(machine),
                is_connected,
            } => Event::ConnectionChanged {
                machine: MachineId(*machine),
                is_connected: *is_connected,
            },
            Event::DiscoveryUnavailable => Event::DiscoveryUnavailable,
            Event::PlacementRequested(task) => Event::PlacementRequested(self.anonymise_task(task)),
            Event::TaskAdopted {
                task,
                machine: MachineId(machine),
            } => Event::TaskAdopted {
                task: self.anonymise_task(task),
                machine: MachineId(*machine),
            },
            Event::AttemptAccepted {
                attempt: AttemptId { task, number },
                elapsed,
            } => Event::AttemptAccepted {
                attempt: AttemptId {
                    task: *task,
                    number: *number,
                },
                elapsed: *elapsed,
            },
            Event::TaskReported {
                attempt: AttemptId { task, number },
                report,
            } => {
                let report = match report {
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
                    report,
                }
            }
            Event::AttemptFinished {
                attempt: AttemptId { task, number },
                result:
                    AttemptResult {
                        outcome,
                        reason,
                        closes_task,
                        load,
                    },
            } => {
                let result = AttemptResult {
                    outcome: *outcome,
                    reason: *reason,
                    closes_task: *closes_task,
                    load: *load,
                };
                Event::AttemptFinished {
                    attempt: AttemptId {
                        task: *task,
                        number: *number,
                    },
                    result,
                }
            }
            Event::ClientDisconnected(TaskId(task)) => Event::ClientDisconnected(TaskId(*task)),
            Event::TimerFired { label } => Event::TimerFired { label: *label },
            Event::ProbeFinished {
                machine,
                answered,
                load,
            } => Event::ProbeFinished {
                machine: *machine,
                answered: *answered,
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
                timeout,
            } => Action::Offer {
                task: TaskId(*task),
                machine: MachineId(*machine),
                timeout: *timeout,
            },
            Action::Cancel(AttemptId { task, number }) => Action::Cancel(AttemptId {
                task: *task,
                number: *number,
            }),
            Action::Reject {
                task: TaskId(task),
                retry_after,
            } => Action::Reject {
                task: TaskId(*task),
                retry_after: *retry_after,
            },
            Action::Fail(TaskId(task)) => Action::Fail(TaskId(*task)),
            Action::Blocked {
                task: TaskId(task),
                reason,
            } => Action::Blocked {
                task: TaskId(*task),
                reason: *reason,
            },
            Action::Migrate(TaskId(task)) => Action::Migrate(TaskId(*task)),
            Action::SetTimer { after, label } => Action::SetTimer {
                after: *after,
                label: *label,
            },
            Action::Probe(MachineId(machine)) => Action::Probe(MachineId(*machine)),
            Action::CloseIdleConnections(MachineId(machine)) => {
                Action::CloseIdleConnections(MachineId(*machine))
            }
            Action::SendToPeer { to, bytes: _ } => Action::SendToPeer {
                to: *to,
                bytes: Vec::new(),
            },
            Action::WatchEndpoints { enabled } => Action::WatchEndpoints { enabled: *enabled },
            Action::FetchEndpoints => Action::FetchEndpoints,
            Action::Log(_) => Action::Log(String::new()),
        }
    }
}
