//! The records of a trace.

use std::collections::BTreeSet;

use maplethread::{Action, Event, Micros};
use serde::{Deserialize, Serialize};

/// One turn of the policy: its input events and the actions that it returned.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Turn {
    /// The time passed to the policy, µs on the placer's clock. Equal to the record's time, unless the clock was read
    /// again in between.
    pub now: Micros,
    /// The input events.
    pub events: Vec<Event>,
    /// The actions that the policy returned.
    pub actions: Vec<Action>,
}

/// The final answer that the client received.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The task was placed.
    Placed {
        /// The number of the host that accepted it.
        host: u32,
    },
    /// The request was rejected.
    #[serde(rename = "Refused")]
    Rejected {
        /// The reason that was sent to the client.
        reason: String,
        /// The delay after which the client may retry, ms.
        #[serde(rename = "come_back_ms")]
        retry_after_ms: u64,
    },
    /// The request failed.
    Failed,
    /// The client disconnected before it was answered.
    #[serde(rename = "HungUp")]
    ClientDisconnected,
}

impl Outcome {
    /// The outcome's name in the API.
    pub fn api_name(&self) -> &'static str {
        match self {
            Outcome::Placed { .. } => "placed",
            Outcome::Rejected { .. } => "refused",
            Outcome::Failed => "failed",
            Outcome::ClientDisconnected => "hung_up",
        }
    }
}

/// A record. New kinds are only appended, since records are stored by their position here; a reader skips unknown
/// kinds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// A turn of the policy.
    Turn(Turn),
    /// A host's number, name and location. Repeated in each block that refers to the number.
    Host {
        /// The host's number.
        machine: u32,
        /// The name.
        name: String,
        /// Its zone.
        zone: String,
        /// Its cell.
        cell: String,
        /// Its kind.
        kind: String,
    },
    /// A service's number and name. Repeated in each block that refers to the number.
    Service {
        /// The service's number.
        service: u64,
        /// The name.
        name: String,
    },
    /// A request for a placement was received.
    #[serde(rename = "Asked")]
    RequestReceived {
        /// The policy's number of the task.
        task: u64,
        /// The service's number.
        service: u64,
        /// The actor that the task is for.
        actor: String,
        /// The index of the class in the settings.
        class: u32,
        /// The request's id, as given by the client.
        #[serde(rename = "request")]
        request_id: String,
        /// The idempotency key, if the client gave one.
        #[serde(rename = "key")]
        idempotency_key: Option<String>,
        /// The time at which it was received, µs; its budget starts then.
        #[serde(rename = "read")]
        received_at: Micros,
    },
    /// A request was answered.
    Answered {
        /// The policy's number of the task.
        task: u64,
        /// The answer.
        outcome: Outcome,
        /// The number of attempts made.
        attempts: u32,
        /// The time from receiving the request to its answer, µs.
        #[serde(rename = "after")]
        elapsed: Micros,
    },
    /// Records were lost at this point: the writer could not keep up or could not write.
    Gap {
        /// The number of turns among them.
        turns: u64,
        /// The number of records lost in all.
        records: u64,
        /// The reason.
        #[serde(rename = "why")]
        reason: String,
    },
    /// The placer began to shut down.
    Stopped,
    /// In a merged trace: the records that follow come from the header's source with this index. Repeated in each
    /// block. Since format version 1.1.
    Source(u32),
}

/// A record with its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TimedRecord {
    /// The time, µs on the placer's clock (Unix time, made monotonic).
    pub at: Micros,
    /// The record.
    pub record: Record,
}

/// The numbers of the hosts, services and tasks that a record refers to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReferencedIds {
    /// Hosts.
    pub machines: BTreeSet<u32>,
    /// Services.
    pub services: BTreeSet<u64>,
    /// Tasks.
    pub tasks: BTreeSet<u64>,
}

impl Record {
    /// The numbers that the record refers to.
    pub fn referenced_ids(&self) -> ReferencedIds {
        let mut ids = ReferencedIds::default();
        match self {
            Record::Turn(turn) => {
                turn.events.iter().for_each(|e| ids.add_event(e));
                turn.actions.iter().for_each(|a| ids.add_action(a));
            }
            Record::Host { machine, .. } => drop(ids.machines.insert(*machine)),
            Record::Service { service, .. } => drop(ids.services.insert(*service)),
            Record::RequestReceived { task, service, .. } => {
                ids.tasks.insert(*task);
                ids.services.insert(*service);
            }
            Record::Answered { task, outcome, .. } => {
                ids.tasks.insert(*task);
                if let Outcome::Placed { host } = outcome {
                    ids.machines.insert(*host);
                }
            }
            Record::Gap { .. } | Record::Stopped | Record::Source(_) => {}
        }
        ids
    }
}

impl ReferencedIds {
    fn add_event(&mut self, event: &Event) {
        match event {
            Event::EndpointsUpdated { machines, .. } => {
                self.machines.extend(machines.iter().map(|m| m.machine.0))
            }
            Event::ConnectionChanged { machine, .. } | Event::ProbeFinished { machine, .. } => {
                self.machines.insert(machine.0);
            }
            Event::PlacementRequested(task) => {
                self.tasks.insert(task.id.0);
                self.services.insert(task.service.0);
            }
            Event::TaskAdopted { task, machine } => {
                self.tasks.insert(task.id.0);
                self.services.insert(task.service.0);
                self.machines.insert(machine.0);
            }
            Event::AttemptAccepted { attempt: id, .. }
            | Event::TaskReported { attempt: id, .. }
            | Event::AttemptFinished { attempt: id, .. } => {
                self.tasks.insert(id.task.0);
            }
            Event::ClientDisconnected(task) => drop(self.tasks.insert(task.0)),
            Event::ReplicaIndexChanged(_)
            | Event::DiscoveryUnavailable
            | Event::TimerFired { .. }
            | Event::PeerMessage { .. } => {}
        }
    }

    fn add_action(&mut self, action: &Action) {
        match action {
            Action::Offer { task, machine, .. } => {
                self.tasks.insert(task.0);
                self.machines.insert(machine.0);
            }
            Action::Cancel(id) => drop(self.tasks.insert(id.task.0)),
            Action::Reject { task, .. }
            | Action::Fail(task)
            | Action::Blocked { task, .. }
            | Action::Migrate(task) => {
                self.tasks.insert(task.0);
            }
            Action::Probe(machine) | Action::CloseIdleConnections(machine) => {
                self.machines.insert(machine.0);
            }
            Action::SetTimer { .. }
            | Action::SendToPeer { .. }
            | Action::WatchEndpoints { .. }
            | Action::FetchEndpoints
            | Action::Log(_) => {}
        }
    }
}
