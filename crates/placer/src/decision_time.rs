//! How long decisions take: from the last byte of an ask read to the first byte of its offer written.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

use hdrhistogram::Histogram;
use maplethread::{Action, Event, Micros};
use maplethread_engine::Decide;
use serde_json::{Value, json};

/// A histogram of decision times, µs, with three figures of precision.
pub struct DecisionTimes(Histogram<u64>);

impl DecisionTimes {
    pub fn new() -> DecisionTimes {
        // Bounds in range by construction; the fallback has the same precision.
        let wide = Histogram::new_with_bounds(1, 60_000_000, 3);
        DecisionTimes(
            wide.unwrap_or_else(|_| Histogram::new(3).expect("three figures are supported")),
        )
    }

    pub fn record(&mut self, micros: u64) {
        self.0.saturating_record(micros);
    }

    /// The measurements, with what the loop's time was spent on.
    pub fn to_json(&self, spent: &LoopTime) -> Value {
        let mut json = self.quantiles_json();
        json["spent_us"] = spent.to_json();
        json
    }

    /// Quantiles, and the counts themselves, so that those of several placers can be added up.
    fn quantiles_json(&self) -> Value {
        let counts: Vec<(u64, u64)> = self
            .0
            .iter_recorded()
            .map(|v| (v.value_iterated_to(), v.count_at_value()))
            .collect();
        json!({
            "decide_us": {
                "count": self.0.len(),
                "p50": self.0.value_at_quantile(0.5),
                "p99": self.0.value_at_quantile(0.99),
                "max": self.0.max(),
                "counts": counts,
            }
        })
    }
}

/// What the loop's time was spent on, µs in all and in the longest single turn.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoopTime {
    pub read: Phase,
    /// Of reading, the catalogue's news once clients are served.
    pub discovery: Phase,
    pub turn: Phase,
    pub write: Phase,
    pub decide: Phase,
    pub record: Phase,
}

/// One kind of work, ns.
#[derive(Clone, Copy, Debug, Default)]
pub struct Phase {
    total_ns: u64,
    max_ns: u64,
}

impl Phase {
    pub fn add_micros(&mut self, micros: u64) {
        self.add_nanos(micros * 1000);
    }

    pub fn add_nanos(&mut self, nanos: u64) {
        self.total_ns += nanos;
        self.max_ns = self.max_ns.max(nanos);
    }
}

impl LoopTime {
    fn to_json(&self) -> Value {
        let span = |s: Phase| json!({"all": s.total_ns / 1000, "longest": s.max_ns / 1000});
        json!({
        "reading": span(self.read), "lists": span(self.discovery), "turn": span(self.turn), "deciding": span(self.decide),
            "recording": span(self.record), "writing": span(self.write),
        })
    }
}

/// A decider whose time is measured.
pub struct TimedDecider<D> {
    pub inner: D,
    pub phase: Rc<Cell<Phase>>,
}

impl<D: Decide> Decide for TimedDecider<D> {
    fn turn(&mut self, now: Micros, events: &[Event], actions: &mut Vec<Action>) {
        let from = Instant::now();
        self.inner.turn(now, events, actions);
        let mut spent = self.phase.get();
        spent.add_nanos(from.elapsed().as_nanos() as u64);
        self.phase.set(spent);
    }

    fn allows_deadline_answers(&self) -> bool {
        self.inner.allows_deadline_answers()
    }
}
