//! What the loop's time is spent on, as the status shows it.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use maplethread::{Action, Event, Micros};
use maplethread_engine::Decide;
use serde_json::{Value, json};

/// The time of one kind of work: in all, and the longest time that it took at once.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Phase {
    total: Duration,
    longest: Duration,
}

impl Phase {
    pub fn add(&mut self, duration: Duration) {
        self.total += duration;
        self.longest = self.longest.max(duration);
    }

    pub fn add_micros(&mut self, micros: u64) {
        self.add(Duration::from_micros(micros));
    }

    fn to_json(self) -> Value {
        json!({"all": self.total.as_micros() as u64, "longest": self.longest.as_micros() as u64})
    }
}

/// A phase that is measured in one place and shown in another, on one thread.
#[derive(Clone, Debug, Default)]
pub(crate) struct SharedPhase(Rc<Cell<Phase>>);

impl SharedPhase {
    /// Does some work and counts the time that it takes.
    pub fn measure<T>(&self, work: impl FnOnce() -> T) -> T {
        let started = Instant::now();
        let result = work();
        let mut phase = self.0.get();
        phase.add(started.elapsed());
        self.0.set(phase);
        result
    }

    pub fn get(&self) -> Phase {
        self.0.get()
    }
}

/// What the loop's time was spent on since the start.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoopTime {
    /// Reading what came, and handing it to the engine.
    pub reading: Phase,
    /// Applying Consul's updates, once clients are served.
    pub updating: Phase,
    /// Updates and the engine's turn.
    pub turn: Phase,
    /// Carrying out what the engine wants, and writing.
    pub writing: Phase,
    /// Of the turn, the decider.
    pub deciding: SharedPhase,
    /// Of the turn, handing a recording to the thread that writes it.
    pub recording: SharedPhase,
}

impl LoopTime {
    /// Total and longest time of each phase, µs.
    pub fn to_json(&self) -> Value {
        json!({
            "reading": self.reading.to_json(),
            "lists": self.updating.to_json(),
            "turn": self.turn.to_json(),
            "deciding": self.deciding.get().to_json(),
            "recording": self.recording.get().to_json(),
            "writing": self.writing.to_json(),
        })
    }
}

/// A decider whose time is measured.
pub(crate) struct TimedDecider<D> {
    pub inner: D,
    pub phase: SharedPhase,
}

impl<D: Decide> Decide for TimedDecider<D> {
    fn turn(&mut self, now: Micros, events: &[Event], actions: &mut Vec<Action>) {
        let inner = &mut self.inner;
        self.phase.measure(|| inner.turn(now, events, actions));
    }

    fn allows_deadline_answers(&self) -> bool {
        self.inner.allows_deadline_answers()
    }
}

#[cfg(test)]
mod tests;
