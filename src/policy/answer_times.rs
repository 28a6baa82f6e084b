//! The time that machines take to answer an offer, and the offer timeout derived from it: a smoothed mean and mean
//! deviation, as TCP estimates round-trip times.

use std::collections::BTreeMap;

use super::service_rate::Locality;
use crate::interface::{AcceptancePoint, Class, Micros};

/// The timeout is the mean plus this many mean deviations.
const TIMEOUT_DEVIATIONS: f64 = 5.0;
/// Weight of the newest answer in the mean and the deviation.
const SMOOTHING_FACTOR: f64 = 0.1;
/// Minimum timeout, in latency objectives.
const MIN_TIMEOUT_OBJECTIVES: f64 = 0.5;
/// Factor on the timeout for each further attempt of a task. Where answers are slow on all machines, attempts that time
/// out early may still start, as duplicates of the task.
const TIMEOUT_BACKOFF: f64 = 2.0;
/// Factor on the timeout where a machine answers only once the task runs, since a start may queue behind others.
const QUEUEING_FACTOR: f64 = 4.0;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Key {
    class: usize,
    locality: Locality,
}

/// Smoothed answer time, in microseconds.
#[derive(Clone, Copy)]
struct Estimate {
    mean: f64,
    deviation: f64,
}

/// The answer times observed by one placer, by class and locality where a machine answers once the task runs. Where it
/// answers before that, the answer time does not depend on class and locality, and there is one estimate.
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

    /// Records the answer time of an accepted offer.
    pub(super) fn record(&mut self, class: usize, locality: Locality, answer_time: Micros) {
        let answer_time = answer_time as f64;
        let first = Estimate {
            mean: answer_time,
            deviation: answer_time,
        };
        let estimate = self
            .estimates
            .entry(self.key(class, locality))
            .or_insert(first);
        estimate.deviation +=
            SMOOTHING_FACTOR * ((answer_time - estimate.mean).abs() - estimate.deviation);
        estimate.mean += SMOOTHING_FACTOR * (answer_time - estimate.mean);
    }

    /// The timeout of attempt number `attempt` (from 0) of a task, at most `remaining`. With a short timeout, a machine
    /// that does not answer is detected early, and the owner of a non-idempotent task can find out early whether the
    /// task runs. The drawback: if answers become slower or are lost, tasks that may be retried are started twice.
    pub(super) fn timeout(
        &self,
        classes: &[Class],
        class: usize,
        locality: Locality,
        attempt: u32,
        remaining: Micros,
    ) -> Micros {
        let (objective, queueing_factor) = match self.acceptance_point {
            AcceptancePoint::Running => (classes[class].latency_objective, QUEUEING_FACTOR),
            AcceptancePoint::Accepted => (shortest_objective(classes), 1.0),
        };
        let objective = objective as f64;
        let initial = Estimate {
            mean: 0.0,
            deviation: objective / TIMEOUT_DEVIATIONS,
        };
        let key = self.key(class, locality);
        let Estimate { mean, deviation } = self.estimates.get(&key).copied().unwrap_or(initial);
        let base_timeout =
            (mean + TIMEOUT_DEVIATIONS * deviation).max(objective * MIN_TIMEOUT_OBJECTIVES);
        let timeout = base_timeout * queueing_factor * TIMEOUT_BACKOFF.powf(f64::from(attempt));
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
