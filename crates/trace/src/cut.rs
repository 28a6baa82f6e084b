//! Selects the records of an excerpt of a trace.

use std::collections::BTreeSet;

use maplethread::{Action, Event};

use crate::record::{Record, TimedRecord, Turn};
use crate::writer::IndexEntry;

/// The criteria of an excerpt; all that are set must match.
#[derive(Clone, Debug, Default)]
pub struct Filter {
    /// Not before this time, µs.
    pub from: Option<u64>,
    /// Before this time, µs.
    pub until: Option<u64>,
    /// Tasks of this service.
    pub service: Option<u64>,
    /// This host and tasks that were offered to it or adopted on it.
    pub machine: Option<u32>,
    /// The request with this id, as given by the client.
    pub request: Option<String>,
    /// Requests with this outcome, by its name in the API.
    pub outcome: Option<String>,
}

impl Filter {
    /// Whether tasks are selected, so that turns are reduced to the events and actions that concern them.
    pub fn selects_tasks(&self) -> bool {
        self.service.is_some()
            || self.machine.is_some()
            || self.request.is_some()
            || self.outcome.is_some()
    }

    /// Whether a block may contain matching records.
    pub fn may_match_block(&self, entry: &IndexEntry) -> bool {
        // A request and its answer may be in different blocks, so an outcome excludes no block.
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

/// The tasks that match a filter, found in a first pass over the trace.
#[derive(Clone, Debug, Default)]
pub struct SelectedTasks {
    by_service: BTreeSet<u64>,
    by_machine: BTreeSet<u64>,
    by_request: BTreeSet<u64>,
    by_outcome: BTreeSet<u64>,
}

impl SelectedTasks {
    /// First pass: processes a record.
    pub fn scan(&mut self, filter: &Filter, timed_record: &TimedRecord) {
        if !filter.contains_time(timed_record.at) {
            return;
        }
        match &timed_record.record {
            Record::RequestReceived {
                task,
                service,
                request_id: request,
                ..
            } => {
                if filter.service == Some(*service) {
                    self.by_service.insert(*task);
                }
                if filter.request.as_deref() == Some(request) {
                    self.by_request.insert(*task);
                }
            }
            Record::Answered { task, outcome, .. }
                if filter.outcome.as_deref() == Some(outcome.api_name()) =>
            {
                self.by_outcome.insert(*task);
            }
            Record::Turn(turn) => {
                for event in &turn.events {
                    if let Event::TaskAdopted { task, machine } = event {
                        if filter.machine == Some(machine.0) {
                            self.by_machine.insert(task.id.0);
                        }
                        if filter.service == Some(task.service.0) {
                            self.by_service.insert(task.id.0);
                        }
                    }
                }
                for action in &turn.actions {
                    if let Action::Offer { task, machine, .. } = action
                        && filter.machine == Some(machine.0)
                    {
                        self.by_machine.insert(task.0);
                    }
                }
            }
            _ => {}
        }
    }

    fn contains(&self, filter: &Filter, task: u64) -> bool {
        (filter.service.is_none() || self.by_service.contains(&task))
            && (filter.machine.is_none() || self.by_machine.contains(&task))
            && (filter.request.is_none() || self.by_request.contains(&task))
            && (filter.outcome.is_none() || self.by_outcome.contains(&task))
    }

    /// Second pass: the record, reduced to what matches; none if nothing does.
    pub fn filter_record(
        &self,
        filter: &Filter,
        timed_record: &TimedRecord,
    ) -> Option<TimedRecord> {
        if !filter.contains_time(timed_record.at) {
            return None;
        }
        if !filter.selects_tasks() {
            return Some(timed_record.clone());
        }
        let record = match &timed_record.record {
            Record::Turn(turn) => {
                let events: Vec<Event> = turn
                    .events
                    .iter()
                    .filter_map(|e| self.filter_event(filter, e))
                    .collect();
                let actions: Vec<Action> = turn
                    .actions
                    .iter()
                    .filter(|a| self.matches_action(filter, a))
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
                return self.contains(filter, *task).then(|| timed_record.clone());
            }
            // The writer adds names where they are referred to; gaps concern all tasks.
            Record::Host { .. }
            | Record::Service { .. }
            | Record::Gap { .. }
            | Record::Stopped
            | Record::Source(_) => timed_record.record.clone(),
        };
        Some(TimedRecord {
            at: timed_record.at,
            record,
        })
    }

    fn filter_event(&self, filter: &Filter, event: &Event) -> Option<Event> {
        let task = match event {
            Event::EndpointsUpdated { scope, machines } => {
                let machines: Vec<_> = machines
                    .iter()
                    .filter(|m| filter.machine == Some(m.machine.0))
                    .copied()
                    .collect();
                return (!machines.is_empty()).then_some(Event::EndpointsUpdated {
                    scope: *scope,
                    machines,
                });
            }
            Event::ConnectionChanged { machine, .. } | Event::ProbeFinished { machine, .. } => {
                return (filter.machine == Some(machine.0)).then(|| event.clone());
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
        self.contains(filter, task).then(|| event.clone())
    }

    fn matches_action(&self, filter: &Filter, action: &Action) -> bool {
        match action {
            Action::Offer { task, .. }
            | Action::Reject { task, .. }
            | Action::Fail(task)
            | Action::Blocked { task, .. }
            | Action::Migrate(task) => self.contains(filter, task.0),
            Action::Cancel(id) => self.contains(filter, id.task.0),
            Action::Probe(machine) | Action::CloseIdleConnections(machine) => {
                filter.machine == Some(machine.0)
            }
            Action::SetTimer { .. }
            | Action::SendToPeer { .. }
            | Action::WatchEndpoints { .. }
            | Action::FetchEndpoints
            | Action::Log(_) => false,
        }
    }
}
