//! The arrivals of owners, drawn from the seed before the run and the same for every decider. Repeated requests depend
//! on the answers; each owner draws their times from its own generator.

use std::sync::Arc;

use crate::scenario::{FaultKind, Scenario};
use crate::seeded_rng::SeededRng;
use crate::service_accounting::TaskDemand;

#[cfg(test)]
mod tests;

/// The arrival of an owner, with the task that it wants.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Time of the arrival, µs after the start of the run.
    pub at_us: u64,
    /// The class of its task, by number.
    pub class: usize,
    /// The service of its task.
    pub service: Arc<str>,
    /// The actor of its task, unique in the run.
    pub actor: Arc<str>,
    /// Requested cores and memory (GiB).
    pub resources: [f64; 2],
    /// How long the task is wanted from the arrival on, µs.
    pub wanted_for_us: u64,
    /// The zone of the owner, by number.
    pub zone: usize,
    /// Seed of the owner's own generator.
    pub seed: u64,
}

impl Arrival {
    /// The demand of this arrival, for a run that starts at `start`.
    pub fn demand(&self, scenario: &Scenario, start: u64) -> TaskDemand {
        let c = &scenario.classes[self.class];
        let mean = |i: usize| c.shapes.iter().map(|s| s[i]).sum::<f64>() / c.shapes.len() as f64;
        let size = 0.5 * (self.resources[0] / mean(0) + self.resources[1] / mean(1));
        let rate = c.placer_class.priority_weight * size;
        let bonus = rate * c.placer_class.start_bonus_s;
        let from = start + self.at_us;
        TaskDemand {
            class: self.class,
            value_per_s: rate,
            from_us: from,
            until_us: from + self.wanted_for_us,
            objective_us: from + c.placer_class.latency_objective_ms * 1000,
            start_bonus: bonus,
            deadline_us: from + c.deadline_ms * 1000,
            late_start_bonus: bonus * c.late_start_share,
        }
    }
}

/// All arrivals of a run, in order of time.
pub fn arrivals(scenario: &Scenario, seed: u64) -> Vec<Arrival> {
    let mut rng = SeededRng::new(seed, 9);
    let total_share: f64 = scenario.classes.iter().map(|c| c.share).sum();
    let end_us = scenario.duration_s * 1e6;
    let (mut arrivals, mut at_us) = (Vec::new(), 0.0);
    loop {
        let rate = scenario.load_at(at_us / 1e6)
            * overload_factor(scenario, at_us / 1e6)
            * scenario.total_cores()
            / scenario.mean_core_seconds();
        at_us += rng.exp(1e6 / rate.max(0.01));
        if at_us >= end_us {
            return arrivals;
        }
        let mut remaining_share = rng.fraction() * total_share;
        let class = scenario.classes.iter().position(|c| {
            remaining_share -= c.share;
            remaining_share < 0.0
        });
        let class = class.unwrap_or(0);
        let c = &scenario.classes[class];
        arrivals.push(Arrival {
            at_us: at_us as u64,
            class,
            service: format!(
                "{}-{:02}",
                c.placer_class.name,
                rng.index_below(c.service_count)
            )
            .into(),
            actor: format!("{}-{}", c.placer_class.name, arrivals.len()).into(),
            resources: c.shapes[rng.index_below(c.shapes.len())],
            wanted_for_us: ((0.3 + 0.7 * rng.exp(1.0)).min(4.0) * c.mean_duration_s * 1e6) as u64,
            zone: rng.index_below(scenario.fleet.zones.len()),
            seed: rng.seed(),
        });
    }
}

/// The factor by which overload faults raise the demand at a time.
fn overload_factor(scenario: &Scenario, s: f64) -> f64 {
    let overloads = scenario
        .faults
        .iter()
        .filter(|fault| fault.kind == FaultKind::Overload);
    overloads
        .filter(|fault| (fault.at_s..fault.at_s + fault.duration_s).contains(&s))
        .map(|fault| fault.intensity)
        .fold(1.0, f64::max)
}
