//! Which records of a trace belong to a part of it.

use std::collections::BTreeSet;

use maplethread::{Action, Event};

use crate::record::{Record, TimedRecord, Turn};
use crate::writer::IndexEntry;

/// What is wanted; all of what is set must hold.
#[derive(Clone, Debug, Default)]
pub struct Filter {
    /// From this time on, µs.
    pub from: Option<u64>,
    /// Before this time, µs.
    pub until: Option<u64>,
    /// Of this service.
    pub service: Option<u64>,
    /// Of this host.
    pub machine: Option<u32>,
    /// Of the ask with this client's id.
    pub request: Option<String>,
    /// Of asks with this outcome, by its name in the API.
    pub outcome: Option<String>,
}

impl Filter {
    /// Whether single asks are chosen, so that turns keep only what concerns them.
    pub fn selects_tasks(&self) -> bool {
        self.service.is_some()
            || self.machine.is_some()
            || self.request.is_some()
            || self.outcome.is_some()
    }

    /// Whether a block may hold something of it.
    pub fn may_match_block(&self, entry: &IndexEntry) -> bool {
        // An ask and its answer may lie in different blocks, so an outcome rules out none.
        self.from.is_none_or(|from| entry.last_us >= from)
            && self.until.is_none_or(|until| entry.first_us < until)
            && self.service.is_none_or(|s| {
                entry.may_name_any_service || entry.services.binary_search(&s).is_ok()
            })
            && self
                .machine
                .is_none_or(|m| entry.machines.binary_search(&m).is_ok())
    }

    fn contains_time(&self, at: u64) -> bool {
        self.from.is_none_or(|from| at >= from) && self.until.is_none_or(|until| at < until)
    }
}

/// The asks that are wanted, found in a first pass.
#[derive(Clone, Debug, Default)]
pub struct SelectedTasks {
    by_service: BTreeSet<u64>,
    by_machine: BTreeSet<u64>,
    by_request: BTreeSet<u64>,
    by_outcome: BTreeSet<u64>,
}

impl SelectedTasks {
    /// First pass: takes in a record.
    pub fn scan(&mut self, wanted: &Filter, stamped: &TimedRecord) {
        if !wanted.contains_time(stamped.at) {
            return;
        }
        match &stamped.record {
            Record::RequestReceived {
                task,
                service,
                request_id: request,
                ..
            } => {
                if wanted.service == Some(*service) {
                    self.by_service.insert(*task);
                }
                if wanted.request.as_deref() == Some(request) {
                    self.by_request.insert(*task);
                }
            }
            Record::Answered { task, outcome, .. }
                if wanted.outcome.as_deref() == Some(outcome.api_name()) =>
            {
                self.by_outcome.insert(*task);
            }
            Record::Turn(turn) => {
                for event in &turn.events {
                    if let Event::TaskAdopted { task, machine } = event {
                        if wanted.machine == Some(machine.0) {
                            self.by_machine.insert(task.id.0);
                        }
                        if wanted.service == Some(task.service.0) {
                            self.by_service.insert(task.id.0);
                        }
                    }
                }
                for action in &turn.actions {
                    if let Action::Offer { task, machine, .. } = action
                        && wanted.machine == Some(machine.0)
                    {
                        self.by_machine.insert(task.0);
                    }
                }
            }
            _ => {}
        }
    }

    fn contains(&self, wanted: &Filter, task: u64) -> bool {
        (wanted.service.is_none() || self.by_service.contains(&task))
            && (wanted.machine.is_none() || self.by_machine.contains(&task))
            && (wanted.request.is_none() || self.by_request.contains(&task))
            && (wanted.outcome.is_none() || self.by_outcome.contains(&task))
    }

    /// Second pass: the record as it belongs to the part, if it does.
    pub fn filter_record(&self, wanted: &Filter, stamped: &TimedRecord) -> Option<TimedRecord> {
        if !wanted.contains_time(stamped.at) {
            return None;
        }
        if !wanted.selects_tasks() {
            return Some(stamped.clone());
        }
        let record = match &stamped.record {
            Record::Turn(turn) => {
                let events: Vec<Event> = turn
                    .events
                    .iter()
                    .filter_map(|e| self.filter_event(wanted, e))
                    .collect();
                let actions: Vec<Action> = turn
                    .actions
                    .iter()
                    .filter(|a| self.matches_action(wanted, a))
                    .cloned()
                    .collect();
                if events.is_empty() && actions.is_empty() {
                    return None;
                }
                Record::Turn(Turn {
                    now: turn.now,
                    events,
                    actions,
                })
            }
            Record::RequestReceived { task, .. } | Record::Answered { task, .. } => {
                return self.contains(wanted, *task).then(|| stamped.clone());
            }
            // Names come again with what names them; gaps concern all.
            Record::Host { .. }
            | Record::Service { .. }
            | Record::Gap { .. }
            | Record::Stopped
            | Record::Source(_) => stamped.record.clone(),
        };
        Some(TimedRecord {
            at: stamped.at,
            record,
        })
    }

    fn filter_event(&self, wanted: &Filter, event: &Event) -> Option<Event> {
        let task = match event {
            Event::EndpointsUpdated { scope, machines } => {
                let machines: Vec<_> = machines
                    .iter()
                    .filter(|m| wanted.machine == Some(m.machine.0))
                    .copied()
                    .collect();
                return (!machines.is_empty()).then_some(Event::EndpointsUpdated {
                    scope: *scope,
                    machines,
                });
            }
            Event::ConnectionChanged { machine, .. } | Event::Probed { machine, .. } => {
                return (wanted.machine == Some(machine.0)).then(|| event.clone());
            }
            Event::PlacementRequested(task) | Event::TaskAdopted { task, .. } => task.id.0,
            Event::AttemptAccepted { attempt: id, .. }
            | Event::TaskReported { attempt: id, .. }
            | Event::AttemptFinished { attempt: id, .. } => id.task.0,
            Event::ClientDisconnected(task) => task.0,
            Event::ReplicaIndexChanged(_) | Event::DiscoveryUnavailable => {
                return Some(event.clone());
            }
            Event::TimerFired { .. } | Event::PeerMessage { .. } => return None,
        };
        self.contains(wanted, task).then(|| event.clone())
    }

    fn matches_action(&self, wanted: &Filter, action: &Action) -> bool {
        match action {
            Action::Offer { task, .. }
            | Action::Reject { task, .. }
            | Action::Fail(task)
            | Action::Blocked { task, .. }
            | Action::Migrate(task) => self.contains(wanted, task.0),
            Action::Cancel(id) => self.contains(wanted, id.task.0),
            Action::Probe(machine) | Action::CloseIdle(machine) => {
                wanted.machine == Some(machine.0)
            }
            Action::SetTimer { .. }
            | Action::SendToPeer { .. }
            | Action::WatchEndpoints { .. }
            | Action::FetchEndpoints
            | Action::Log(_) => false,
        }
    }
}
