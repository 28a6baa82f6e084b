//! The deciding thread's side of a recording: turns and notes are put in a bounded queue, and nothing ever waits.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use maplethread::{Action, Event, Micros};
use maplethread_engine::{AuditEntry, Decide};
use maplethread_trace::Turn;

use crate::decide_time::Span;

/// Something to be kept.
pub(crate) enum Item {
    Turn(Turn),
    AuditEntry(AuditEntry),
}

/// What waits to be written.
#[derive(Default)]
pub(crate) struct Waiting {
    pub items: Vec<(Micros, Item)>,
    /// What the items weigh: events, actions and notes.
    weight: usize,
    /// Turns and records that found no room since the items before.
    pub lost: (u64, u64),
    pub is_stopping: bool,
}

/// The queue between the deciding thread and the writer.
pub(crate) struct Queue {
    buffer: Mutex<Waiting>,
    max_weight: usize,
}

impl Queue {
    pub fn new(max_weight: usize) -> Queue {
        Queue {
            buffer: Mutex::default(),
            max_weight,
        }
    }

    /// The lock is held for a few instructions on either side.
    fn lock(&self) -> MutexGuard<'_, Waiting> {
        self.buffer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds an item; once one was lost, all are until the writer has taken what waits, so that there is one gap.
    pub fn push(&self, at: Micros, item: Item) {
        let weight = match &item {
            Item::Turn(turn) => 1 + turn.events.len() + turn.actions.len(),
            Item::AuditEntry(_) => 1,
        };
        let mut waiting = self.lock();
        if waiting.lost.1 > 0 || waiting.weight + weight > self.max_weight {
            waiting.lost.0 += u64::from(matches!(item, Item::Turn(_)));
            waiting.lost.1 += 1;
            return;
        }
        waiting.weight += weight;
        waiting.items.push((at, item));
    }

    /// Takes what waits.
    pub fn take(&self) -> Waiting {
        let mut waiting = self.lock();
        let stop = waiting.is_stopping;
        std::mem::replace(
            &mut *waiting,
            Waiting {
                is_stopping: stop,
                ..Waiting::default()
            },
        )
    }

    pub fn stop(&self) {
        self.lock().is_stopping = true;
    }
}

/// A decider whose turns are kept, if anybody wants them.
pub(crate) struct Recorded<D> {
    pub inner: D,
    pub queue: Option<Arc<Queue>>,
    /// What keeping them takes of the deciding thread.
    pub phase: Rc<Cell<Span>>,
}

impl<D: Decide> Decide for Recorded<D> {
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
            queue.push(now, Item::Turn(turn));
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
    fn what_finds_no_room_is_counted_and_nothing_waits() {
        let queue = Queue::new(10);
        let turn = || {
            Item::Turn(Turn {
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
