//! What a trace keeps.

use std::collections::BTreeSet;

use maplethread::{Action, Event, Micros};
use serde::{Deserialize, Serialize};

/// One turn of the module: all that it was given, and all that it wanted done.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Turn {
    /// The module's time, µs on the placer's clock. Equal to the record's, unless the clock was read again.
    pub now: Micros,
    /// What it was given.
    pub events: Vec<Event>,
    /// What it wanted done.
    pub actions: Vec<Action>,
}

/// A final answer, as the client has it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Placed on this host.
    Placed {
        /// The host's number.
        host: u32,
    },
    /// Refused.
    #[serde(rename = "Refused")]
    Rejected {
        /// Why.
        reason: String,
        /// When to come back, ms.
        #[serde(rename = "come_back_ms")]
        retry_after_ms: u64,
    },
    /// Failed.
    Failed,
    /// The client hung up before it had one.
    #[serde(rename = "HungUp")]
    ClientDisconnected,
}

impl Outcome {
    /// Its name in the API.
    pub fn api_name(&self) -> &'static str {
        match self {
            Outcome::Placed { .. } => "placed",
            Outcome::Rejected { .. } => "refused",
            Outcome::Failed => "failed",
            Outcome::ClientDisconnected => "hung_up",
        }
    }
}

/// A record. New kinds are added at the end only; a reader passes over those it does not know.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// A turn of the module.
    Turn(Turn),
    /// A host's number, name and place. Said again in each block that names the number.
    Host {
        /// The number.
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
    /// A service's number and name. Said again in each block that names the number.
    Service {
        /// The number.
        service: u64,
        /// The name.
        name: String,
    },
    /// An ask was taken.
    #[serde(rename = "Asked")]
    RequestReceived {
        /// The module's number of it.
        task: u64,
        /// The service's number.
        service: u64,
        /// The actor.
        actor: String,
        /// The class's place in the settings.
        class: u32,
        /// The client's id of the request.
        #[serde(rename = "request")]
        request_id: String,
        /// The client's key, if it gave one.
        #[serde(rename = "key")]
        idempotency_key: Option<String>,
        /// When it was read, µs; its budget counts from there.
        #[serde(rename = "read")]
        received_at: Micros,
    },
    /// An ask has its answer.
    Answered {
        /// The module's number of it.
        task: u64,
        /// The answer.
        outcome: Outcome,
        /// Attempts made.
        attempts: u32,
        /// From when it was read to its answer, µs.
        #[serde(rename = "after")]
        elapsed: Micros,
    },
    /// Records were lost here: the writer could not keep up, or could not write.
    Gap {
        /// Turns among them.
        turns: u64,
        /// Records in all.
        records: u64,
        /// Why.
        #[serde(rename = "why")]
        reason: String,
    },
    /// The placer was told to stop.
    Stopped,
    /// In a merged trace: what follows is of this one of the header's sources. Said again in each block. Since 1.1.
    Source(u32),
}

/// A record with its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TimedRecord {
    /// When, µs on the placer's clock (Unix time that never steps back).
    pub at: Micros,
    /// What.
    pub record: Record,
}

/// Hosts, services and tasks that a record names.
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
    /// What it names.
    pub fn referenced_ids(&self) -> ReferencedIds {
        let mut names = ReferencedIds::default();
        match self {
            Record::Turn(turn) => {
                turn.events.iter().for_each(|e| names.add_event(e));
                turn.actions.iter().for_each(|a| names.add_action(a));
            }
            Record::Host { machine, .. } => drop(names.machines.insert(*machine)),
            Record::Service { service, .. } => drop(names.services.insert(*service)),
            Record::RequestReceived { task, service, .. } => {
                names.tasks.insert(*task);
                names.services.insert(*service);
            }
            Record::Answered { task, outcome, .. } => {
                names.tasks.insert(*task);
                if let Outcome::Placed { host } = outcome {
                    names.machines.insert(*host);
                }
            }
            Record::Gap { .. } | Record::Stopped | Record::Source(_) => {}
        }
        names
    }
}

impl ReferencedIds {
    fn add_event(&mut self, event: &Event) {
        match event {
            Event::EndpointsUpdated { machines, .. } => {
                self.machines.extend(machines.iter().map(|m| m.machine.0))
            }
            Event::ConnectionChanged { machine, .. } | Event::Probed { machine, .. } => {
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
            Action::Probe(machine) | Action::CloseIdle(machine) => {
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
