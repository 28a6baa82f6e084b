//! Selects the pending events that the decider gets in one turn.

use std::collections::BTreeSet;

use maplethread::{Event, TaskId};

/// Takes the events of this turn from the pending ones. Events that would exceed the number of placements left for the
/// turn are postponed to the next one, and so are later events of the same tasks. All other events are delivered at
/// once, even ahead of earlier events: the decider must get a host's drain before it places the next task.
pub(crate) fn take(pending: &mut Vec<Event>, placements_left: &mut usize) -> Vec<Event> {
    let mut postponed: BTreeSet<TaskId> = BTreeSet::new();
    let mut batch = Vec::new();
    let mut remaining = Vec::new();
    for event in std::mem::take(pending) {
        let task = task_of(&event);
        let fits = !causes_placement(&event) || *placements_left > 0;
        if fits && task.is_none_or(|task| !postponed.contains(&task)) {
            *placements_left -= usize::from(causes_placement(&event));
            batch.push(event);
        } else {
            postponed.extend(task);
            remaining.push(event);
        }
    }
    *pending = remaining;
    batch
}

/// Whether the decider places a task because of an event.
fn causes_placement(event: &Event) -> bool {
    match event {
        Event::PlacementRequested(_) => true,
        Event::AttemptFinished { result, .. } => !result.closes_task,
        _ => false,
    }
}

/// The task that an event concerns.
fn task_of(event: &Event) -> Option<TaskId> {
    match event {
        Event::PlacementRequested(task) | Event::TaskAdopted { task, .. } => Some(task.id),
        Event::AttemptAccepted { attempt, .. }
        | Event::TaskReported { attempt, .. }
        | Event::AttemptFinished { attempt, .. } => Some(attempt.task),
        Event::ClientDisconnected(task) => Some(*task),
        Event::EndpointsUpdated { .. }
        | Event::ReplicaIndexChanged(_)
        | Event::ConnectionChanged { .. }
        | Event::DiscoveryUnavailable
        | Event::TimerFired { .. }
        | Event::ProbeFinished { .. }
        | Event::PeerMessage { .. } => None,
    }
}
