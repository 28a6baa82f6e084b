//! The deciding thread's side of a recording: turns and audit entries are put in a bounded queue, and nothing ever waits.

use std::ops::AddAssign;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use maplethread::{Action, Event, Micros};
use maplethread_engine::{AuditEntry, Decide};
use maplethread_trace::Turn;

use crate::loop_time::SharedPhase;

/// Something to be recorded.
pub(crate) enum TraceItem {
    /// What a decider was told, and what it decided.
    Turn(Turn),
    /// What turns do not tell.
    AuditEntry(AuditEntry),
}

impl TraceItem {
    /// What the item counts against the queue's limit: events, actions and entries.
    fn weight(&self) -> usize {
        match self {
            TraceItem::Turn(turn) => 1 + turn.events.len() + turn.actions.len(),
            TraceItem::AuditEntry(_) => 1,
        }
    }

    /// What is lost with the item.
    fn loss(&self) -> Loss {
        Loss {
            turns: u64::from(matches!(self, TraceItem::Turn(_))),
            records: 1,
        }
    }
}

/// How much of a recording was lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Loss {
    /// Turns.
    pub turns: u64,
    /// Records, turns among them.
    pub records: u64,
}

impl Loss {
    pub fn is_empty(&self) -> bool {
        self.records == 0
    }
}

impl AddAssign for Loss {
    fn add_assign(&mut self, other: Loss) {
        self.turns += other.turns;
        self.records += other.records;
    }
}

/// An item, and when it happened.
pub(crate) struct TimedItem {
    pub at: Micros,
    pub item: TraceItem,
}

/// What waits to be written.
#[derive(Default)]
pub(crate) struct TraceBuffer {
    pub items: Vec<TimedItem>,
    /// What the items weigh.
    weight: usize,
    /// What found no room after these items.
    pub lost: Loss,
    /// Nothing comes after this.
    pub is_stopping: bool,
}

/// The queue between the deciding thread and the writer.
pub(crate) struct TraceQueue {
    buffer: Mutex<TraceBuffer>,
    max_weight: usize,
}

impl TraceQueue {
    pub fn new(max_weight: usize) -> TraceQueue {
        TraceQueue {
            buffer: Mutex::default(),
            max_weight,
        }
    }

    /// The lock is held for a few instructions on either side.
    fn lock(&self) -> MutexGuard<'_, TraceBuffer> {
        self.buffer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds an item; once one was lost, all are until the writer has taken what waits, so that there is one gap.
    pub fn push(&self, at: Micros, item: TraceItem) {
        let weight = item.weight();
        let mut buffer = self.lock();
        if !buffer.lost.is_empty() || buffer.weight + weight > self.max_weight {
            buffer.lost += item.loss();
            return;
        }
        buffer.weight += weight;
        buffer.items.push(TimedItem { at, item });
    }

    /// Takes what waits.
    pub fn take(&self) -> TraceBuffer {
        let mut buffer = self.lock();
        let empty = TraceBuffer {
            is_stopping: buffer.is_stopping,
            ..TraceBuffer::default()
        };
        std::mem::replace(&mut *buffer, empty)
    }

    /// Nothing is pushed any more.
    pub fn stop(&self) {
        self.lock().is_stopping = true;
    }
}

/// A decider whose turns are recorded, if there is a queue for them.
pub(crate) struct RecordingDecider<D> {
    pub inner: D,
    pub queue: Option<Arc<TraceQueue>>,
    /// What recording takes of the deciding thread.
    pub phase: SharedPhase,
}

impl<D: Decide> Decide for RecordingDecider<D> {
    fn turn(&mut self, now: Micros, events: &[Event], actions: &mut Vec<Action>) {
        let first_action = actions.len();
        self.inner.turn(now, events, actions);
        if let Some(queue) = &self.queue {
            self.phase.measure(|| {
                let turn = Turn {
                    now,
                    events: events.to_vec(),
                    actions: actions[first_action..].to_vec(),
                };
                queue.push(now, TraceItem::Turn(turn));
            });
        }
    }

    fn allows_deadline_answers(&self) -> bool {
        self.inner.allows_deadline_answers()
    }
}

#[cfg(test)]
mod tests;
