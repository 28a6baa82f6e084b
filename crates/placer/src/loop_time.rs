//! Measures the time that the event loop spends in each of its phases, for the status response.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use maplethread::{Action, Event, Micros};
use maplethread_engine::Decide;
use serde_json::{Value, json};

/// The total duration of a phase, and its longest duration in one round.
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

/// A phase that is measured in one place and reported from another on the same thread.
#[derive(Clone, Debug, Default)]
pub(crate) struct SharedPhase(Rc<Cell<Phase>>);

impl SharedPhase {
    /// Runs `work` and adds its duration to the phase.
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

/// Time spent in each phase since startup. The phases overlap: `deciding` is a part of `turn`, and so is `updating`.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoopTime {
    /// Reading input and passing it to the engine.
    pub reading: Phase,
    /// Applying Consul updates. Not counted before clients are served.
    pub updating: Phase,
    /// Applying Consul updates, and the engine's turn.
    pub turn: Phase,
    /// Executing the engine's outputs and writing.
    pub writing: Phase,
    /// Deciding in the placement policy; a part of `turn`.
    pub deciding: SharedPhase,
    /// Queuing records for the trace writer thread; a part of `turn`.
    pub recording: SharedPhase,
}

impl LoopTime {
    /// Total and longest duration of each phase, µs.
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

/// A decider that measures the duration of its turns.
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
