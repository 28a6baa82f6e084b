//! Which of the waiting events the decider gets in one turn.

use std::collections::BTreeSet;

use maplethread::{Event, TaskId};

/// Takes the events of this turn from all that wait. Those that would place more tasks than are left for the turn wait
/// for the next one, and so do later events of the same tasks. All other events are given at once, even before events
/// that came first: a host that drains must be known before the next task is placed.
pub(crate) fn take(waiting: &mut Vec<Event>, placements_left: &mut usize) -> Vec<Event> {
    let mut postponed: BTreeSet<TaskId> = BTreeSet::new();
    let mut given = Vec::new();
    let mut later = Vec::new();
    for event in std::mem::take(waiting) {
        let task = task_of(&event);
        let fits = !causes_placement(&event) || *placements_left > 0;
        if fits && task.is_none_or(|task| !postponed.contains(&task)) {
            *placements_left -= usize::from(causes_placement(&event));
            given.push(event);
        } else {
            postponed.extend(task);
            later.push(event);
        }
    }
    *waiting = later;
    given
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
        | Event::Probed { .. }
        | Event::PeerMessage { .. } => None,
    }
}
