//! How long machines take to answer an offer, and the timeout that follows from it: a smoothed mean and mean deviation,
//! as TCP keeps them of round-trip times.

use std::collections::BTreeMap;

use super::service_rate::Locality;
use crate::interface::{AcceptancePoint, Class, Micros};

/// The timeout is the mean and this many mean deviations more.
const TIMEOUT_DEVIATIONS: f64 = 5.0;
/// Weight of the newest answer in mean and deviation.
const SMOOTHING_FACTOR: f64 = 0.1;
/// The shortest timeout, in latency objectives.
const MIN_TIMEOUT_OBJECTIVES: f64 = 0.5;
/// Each further attempt of a task waits this many times as long: where answers are slow everywhere, giving up makes
/// copies that nobody counts.
const TIMEOUT_BACKOFF: f64 = 2.0;
/// Where the answer comes with the start, a start may queue behind others: waits are this many times as long.
const QUEUEING_FACTOR: f64 = 4.0;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Key {
    class: usize,
    locality: Locality,
}

/// Smoothed time to an answer, in microseconds.
#[derive(Clone, Copy)]
struct Estimate {
    mean: f64,
    deviation: f64,
}

/// The answer times that one placer has seen, by class and locality where answers come with the start. Where they come
/// before it, class and locality make no difference, and there is one estimate.
pub(super) struct AnswerTimes {
    acceptance_point: AcceptancePoint,
    estimates: BTreeMap<Key, Estimate>,
}

impl AnswerTimes {
    pub(super) fn new(acceptance_point: AcceptancePoint) -> AnswerTimes {
        AnswerTimes {
            acceptance_point,
            estimates: BTreeMap::new(),
        }
    }

    fn key(&self, class: usize, locality: Locality) -> Key {
        match self.acceptance_point {
            AcceptancePoint::Running => Key { class, locality },
            AcceptancePoint::Accepted => Key {
                class: 0,
                locality: Locality::Local,
            },
        }
    }

    /// Records an answer that took `took`.
    pub(super) fn record(&mut self, class: usize, locality: Locality, took: Micros) {
        let took = took as f64;
        let first = Estimate {
            mean: took,
            deviation: took,
        };
        let estimate = self
            .estimates
            .entry(self.key(class, locality))
            .or_insert(first);
        estimate.deviation +=
            SMOOTHING_FACTOR * ((took - estimate.mean).abs() - estimate.deviation);
        estimate.mean += SMOOTHING_FACTOR * (took - estimate.mean);
    }

    /// How long attempt number `attempt` (from 0) of a task may stay unanswered, at most `remaining`. Silence is noticed
    /// soon, and what must not run twice is given back to its owner, who learns whether it runs. The price: where
    /// answers grow slow or are lost, copies.
    pub(super) fn timeout(
        &self,
        classes: &[Class],
        class: usize,
        locality: Locality,
        attempt: u32,
        remaining: Micros,
    ) -> Micros {
        let (objective, queueing) = match self.acceptance_point {
            AcceptancePoint::Running => (classes[class].latency_objective, QUEUEING_FACTOR),
            AcceptancePoint::Accepted => (shortest_objective(classes), 1.0),
        };
        let objective = objective as f64;
        let unmeasured = Estimate {
            mean: 0.0,
            deviation: objective / TIMEOUT_DEVIATIONS,
        };
        let key = self.key(class, locality);
        let Estimate { mean, deviation } = self.estimates.get(&key).copied().unwrap_or(unmeasured);
        let usual = (mean + TIMEOUT_DEVIATIONS * deviation).max(objective * MIN_TIMEOUT_OBJECTIVES);
        let timeout = usual * queueing * TIMEOUT_BACKOFF.powf(f64::from(attempt));
        (timeout as Micros).clamp(1, remaining)
    }
}

fn shortest_objective(classes: &[Class]) -> Micros {
    classes
        .iter()
        .map(|class| class.latency_objective)
        .min()
        .unwrap_or(1)
}

#[cfg(test)]
mod tests;
