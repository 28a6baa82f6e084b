//! What owners want first: drawn from the seed ahead of the day, and the same whoever decides. What comes again, and
//! when, depends on the answers; each owner draws that from a generator of its own.

use std::sync::Arc;

use crate::scenario::{FaultKind, Scenario};
use crate::seeded_rng::SeededRng;
use crate::service_accounting::TaskDemand;

#[cfg(test)]
mod tests;

/// An owner, as it comes to the cluster.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// When, µs after the day's start.
    pub at_us: u64,
    /// Its class, by number.
    pub class: usize,
    /// Its service.
    pub service: Arc<str>,
    /// Its actor; no other has this name.
    pub actor: Arc<str>,
    /// Cores and memory (GiB) that it asks for.
    pub resources: [f64; 2],
    /// How long it wants to run from its arrival on, µs.
    pub wanted_for_us: u64,
    /// Its zone, by number.
    pub zone: usize,
    /// Seed of what it draws later.
    pub seed: u64,
}

impl Arrival {
    /// What is to be served, for a day that starts at `start`.
    pub fn demand(&self, scenario: &Scenario, start: u64) -> TaskDemand {
        let c = &scenario.classes[self.class];
        let mean = |i: usize| c.shapes.iter().map(|s| s[i]).sum::<f64>() / c.shapes.len() as f64;
        let size = 0.5 * (self.resources[0] / mean(0) + self.resources[1] / mean(1));
        let rate = c.rules.priority_weight * size;
        let bonus = rate * c.rules.start_bonus_s;
        let from = start + self.at_us;
        TaskDemand {
            class: self.class,
            value_per_s: rate,
            from_us: from,
            until_us: from + self.wanted_for_us,
            objective_us: from + c.rules.latency_objective_ms * 1000,
            start_bonus: bonus,
            deadline_us: from + c.deadline_ms * 1000,
            late_start_bonus: bonus * c.late_start_share,
        }
    }
}

/// All arrivals of a day, in order.
pub fn arrivals(scenario: &Scenario, seed: u64) -> Vec<Arrival> {
    let mut dice = SeededRng::new(seed, 9);
    let total: f64 = scenario.classes.iter().map(|c| c.share).sum();
    let end = scenario.seconds * 1e6;
    let (mut all, mut at) = (Vec::new(), 0.0);
    loop {
        let rate =
            scenario.load_at(at / 1e6) * overload_factor(scenario, at / 1e6) * scenario.cores()
                / scenario.core_seconds();
        at += dice.exp(1e6 / rate.max(0.01));
        if at >= end {
            return all;
        }
        let mut left = dice.fraction() * total;
        let class = scenario.classes.iter().position(|c| {
            left -= c.share;
            left < 0.0
        });
        let class = class.unwrap_or(0);
        let c = &scenario.classes[class];
        all.push(Arrival {
            at_us: at as u64,
            class,
            service: format!("{}-{:02}", c.rules.name, dice.index_below(c.service_count)).into(),
            actor: format!("{}-{}", c.rules.name, all.len()).into(),
            resources: c.shapes[dice.index_below(c.shapes.len())],
            wanted_for_us: ((0.3 + 0.7 * dice.exp(1.0)).min(4.0) * c.mean_duration_s * 1e6) as u64,
            zone: dice.index_below(scenario.fleet.zones.len()),
            seed: dice.seed(),
        });
    }
}

/// How many times as much is wanted at a time, by the faults.
fn overload_factor(scenario: &Scenario, s: f64) -> f64 {
    let on = scenario
        .faults
        .iter()
        .filter(|t| t.kind == FaultKind::Overload);
    on.filter(|t| (t.at_s..t.at_s + t.duration_s).contains(&s))
        .map(|t| t.intensity)
        .fold(1.0, f64::max)
}
