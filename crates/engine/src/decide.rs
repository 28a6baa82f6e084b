//! The interface through which the engine obtains placement decisions.

use maplethread::{Action, Event, Micros, Placer};

/// Makes placement decisions: the placement policy, or a baseline to compare it with.
pub trait Decide {
    /// Processes the events up to `now`, and appends the resulting actions to `actions`.
    fn turn(&mut self, now: Micros, events: &[Event], actions: &mut Vec<Action>);

    /// Whether the engine answers requests that the decider has not answered shortly before their deadlines. Only
    /// deciders that violate rule 1 on purpose, to test the checker, return false.
    fn allows_deadline_answers(&self) -> bool {
        true
    }

    /// Whether the decider is the placement policy itself, so that a recorded trace of its turns can be replayed.
    fn is_replayable(&self) -> bool {
        false
    }
}

impl Decide for Placer {
    fn turn(&mut self, now: Micros, events: &[Event], actions: &mut Vec<Action>) {
        Placer::turn(self, now, events, actions);
    }

    fn is_replayable(&self) -> bool {
        true
    }
}

impl<D: Decide + ?Sized> Decide for Box<D> {
    fn turn(&mut self, now: Micros, events: &[Event], actions: &mut Vec<Action>) {
        (**self).turn(now, events, actions);
    }

    fn allows_deadline_answers(&self) -> bool {
        (**self).allows_deadline_answers()
    }

    fn is_replayable(&self) -> bool {
        (**self).is_replayable()
    }
}
