//! The deciding thread's side of a recording: turns and notes are put in a bounded queue, and nothing ever waits.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use maplethread::{Action, Event, Micros};
use maplethread_engine::{AuditEntry, Decide};
use maplethread_trace::Turn;

use crate::decision_time::Phase;

/// Something to be kept.
pub(crate) enum TraceItem {
    Turn(Turn),
    AuditEntry(AuditEntry),
}

/// What waits to be written.
#[derive(Default)]
pub(crate) struct TraceBuffer {
    pub items: Vec<(Micros, TraceItem)>,
    /// What the items weigh: events, actions and notes.
    weight: usize,
    /// Turns and records that found no room since the items before.
    pub lost: (u64, u64),
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
        let weight = match &item {
            TraceItem::Turn(turn) => 1 + turn.events.len() + turn.actions.len(),
            TraceItem::AuditEntry(_) => 1,
        };
        let mut waiting = self.lock();
        if waiting.lost.1 > 0 || waiting.weight + weight > self.max_weight {
            waiting.lost.0 += u64::from(matches!(item, TraceItem::Turn(_)));
            waiting.lost.1 += 1;
            return;
        }
        waiting.weight += weight;
        waiting.items.push((at, item));
    }

    /// Takes what waits.
    pub fn take(&self) -> TraceBuffer {
        let mut waiting = self.lock();
        let stop = waiting.is_stopping;
        std::mem::replace(
            &mut *waiting,
            TraceBuffer {
                is_stopping: stop,
                ..TraceBuffer::default()
            },
        )
    }

    pub fn stop(&self) {
        self.lock().is_stopping = true;
    }
}

/// A decider whose turns are kept, if anybody wants them.
pub(crate) struct RecordingDecider<D> {
    pub inner: D,
    pub queue: Option<Arc<TraceQueue>>,
    /// What keeping them takes of the deciding thread.
    pub phase: Rc<Cell<Phase>>,
}

impl<D: Decide> Decide for RecordingDecider<D> {
    fn turn(&mut self, now: Micros, events: &[Event], actions: &mut Vec<Action>) {
        let before = actions.len();
        self.inner.turn(now, events, actions);
        if let Some(queue) = &self.queue {
            let from = Instant::now();
            let turn = Turn {
                now,
                events: events.to_vec(),
                actions: actions[before..].to_vec(),
            };
            queue.push(now, TraceItem::Turn(turn));
            let mut spent = self.phase.get();
            spent.add_nanos(from.elapsed().as_nanos() as u64);
            self.phase.set(spent);
        }
    }

    fn allows_deadline_answers(&self) -> bool {
        self.inner.allows_deadline_answers()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn counts_items_lost_when_the_queue_is_full() {
        let queue = TraceQueue::new(10);
        let turn = || {
            TraceItem::Turn(Turn {
                now: 1,
                events: vec![Event::TimerFired { label: 1 }; 3],
                actions: Vec::new(),
            })
        };
        for at in 0..5 {
            queue.push(at, turn());
        }
        let waiting = queue.take();
        // Two of weight four fit; the rest is one gap, also what would have fitted.
        assert_eq!((waiting.items.len(), waiting.lost), (2, (3, 3)));
        queue.push(9, turn());
        assert_eq!((queue.take().items.len(), queue.take().lost), (1, (0, 0)));
    }
}
