//! The event loop's side of trace recording: turns and audit entries go into a bounded queue, which drops records
//! when it is full instead of blocking.

use std::ops::AddAssign;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use maplethread::{Action, Event, Micros};
use maplethread_engine::{AuditEntry, Decide};
use maplethread_trace::Turn;

use crate::loop_time::SharedPhase;

/// An item to be recorded.
pub(crate) enum TraceItem {
    /// The events that the decider received and the actions that it returned.
    Turn(Turn),
    /// Information that turns do not contain.
    AuditEntry(AuditEntry),
}

impl TraceItem {
    /// The item's share of the queue's limit, counted in events, actions and entries.
    fn weight(&self) -> usize {
        match self {
            TraceItem::Turn(turn) => 1 + turn.events.len() + turn.actions.len(),
            TraceItem::AuditEntry(_) => 1,
        }
    }

    /// The loss if the item is dropped.
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
    /// Lost turns.
    pub turns: u64,
    /// Lost records, including turns.
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

/// An item and its time.
pub(crate) struct TimedItem {
    pub at: Micros,
    pub item: TraceItem,
}

/// Items waiting to be written.
#[derive(Default)]
pub(crate) struct TraceBuffer {
    pub items: Vec<TimedItem>,
    /// Total weight of the items.
    weight: usize,
    /// The loss from items that were dropped after these.
    pub lost: Loss,
    /// Whether this is the last buffer.
    pub is_stopping: bool,
}

/// The queue between the thread of the event loop and the writer thread.
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

    /// Both threads hold the lock only for a few instructions, so that the event loop is not blocked by the writing of
    /// files.
    fn lock(&self) -> MutexGuard<'_, TraceBuffer> {
        self.buffer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds an item. Once one was dropped, all are until the writer empties the queue, so that there is a single gap.
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

    /// Takes all waiting items.
    pub fn take(&self) -> TraceBuffer {
        let mut buffer = self.lock();
        let empty = TraceBuffer {
            is_stopping: buffer.is_stopping,
            ..TraceBuffer::default()
        };
        std::mem::replace(&mut *buffer, empty)
    }

    /// Marks the end of the recording.
    pub fn stop(&self) {
        self.lock().is_stopping = true;
    }
}

/// A decider that records its turns if there is a queue.
pub(crate) struct RecordingDecider<D> {
    pub inner: D,
    pub queue: Option<Arc<TraceQueue>>,
    /// Time that the event loop's thread spends on copying and queuing turns.
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
