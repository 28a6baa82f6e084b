//! Scenarios that nobody wrote: demand and overlapping faults drawn from a seed.

use crate::scenario::{FaultKind, Scenario, ScheduledFault};
use crate::seeded_rng::SeededRng;

#[cfg(test)]
mod tests;

/// How many faults of a kind a scenario has, and the ranges of their duration (as a share of the run), reach and
/// intensity.
struct FaultRange {
    kind: FaultKind,
    max_count: usize,
    /// At least so many.
    min_count: usize,
    duration_share: [f64; 2],
    reach: [f64; 2],
    size: [f64; 2],
}

const fn fault_range(
    kind: FaultKind,
    [least, most]: [usize; 2],
    span: [f64; 2],
    reach: [f64; 2],
    size: [f64; 2],
) -> FaultRange {
    FaultRange {
        kind,
        max_count: most,
        min_count: least,
        duration_share: span,
        reach,
        size,
    }
}

/// A restart, a lost zone and a deploy are on each day, since their overlaps have broken rules; the rest may be.
const FAULT_RANGES: [FaultRange; 18] = [
    fault_range(
        FaultKind::PlacerKill,
        [2, 4],
        [0.01, 0.09],
        [0.1, 0.6],
        [0.0, 0.0],
    ),
    fault_range(
        FaultKind::PlacerPause,
        [1, 3],
        [0.005, 0.1],
        [0.1, 0.5],
        [0.0, 0.0],
    ),
    fault_range(
        FaultKind::ZoneLoss,
        [1, 2],
        [0.06, 0.15],
        [0.3, 1.0],
        [0.0, 0.0],
    ),
    fault_range(
        FaultKind::RollingDeploy,
        [1, 2],
        [0.2, 0.5],
        [0.3, 0.9],
        [0.05, 0.25],
    ),
    fault_range(
        FaultKind::AnswersLost,
        [0, 2],
        [0.05, 0.15],
        [0.1, 0.5],
        [0.2, 0.9],
    ),
    fault_range(
        FaultKind::InventoryGarbage,
        [0, 1],
        [0.03, 0.1],
        [0.0, 0.0],
        [0.0, 0.0],
    ),
    fault_range(
        FaultKind::InventoryEmpty,
        [0, 1],
        [0.03, 0.1],
        [0.0, 0.0],
        [0.0, 0.0],
    ),
    fault_range(
        FaultKind::InventoryLate,
        [0, 1],
        [0.1, 0.3],
        [0.0, 0.0],
        [2.0, 6.0],
    ),
    fault_range(
        FaultKind::HostCrash,
        [0, 2],
        [0.03, 0.15],
        [0.05, 0.3],
        [0.0, 0.0],
    ),
    fault_range(
        FaultKind::Silence,
        [0, 1],
        [0.05, 0.15],
        [0.05, 0.2],
        [0.0, 0.0],
    ),
    fault_range(
        FaultKind::ResetMidFrame,
        [0, 2],
        [0.0, 0.0],
        [0.2, 0.9],
        [0.0, 0.0],
    ),
    fault_range(
        FaultKind::FastErrors,
        [0, 1],
        [0.1, 0.2],
        [0.1, 0.3],
        [0.4, 0.9],
    ),
    fault_range(
        FaultKind::ClassErrors,
        [0, 1],
        [0.1, 0.2],
        [0.2, 0.5],
        [0.4, 0.9],
    ),
    fault_range(
        FaultKind::ClassSilence,
        [0, 1],
        [0.1, 0.2],
        [0.2, 0.5],
        [0.4, 0.9],
    ),
    fault_range(
        FaultKind::Neighbour,
        [0, 1],
        [0.1, 0.3],
        [0.1, 0.4],
        [0.3, 0.7],
    ),
    fault_range(
        FaultKind::SlowAnswers,
        [0, 1],
        [0.05, 0.15],
        [0.1, 0.4],
        [3.0, 12.0],
    ),
    fault_range(
        FaultKind::Overload,
        [0, 1],
        [0.05, 0.2],
        [0.0, 0.0],
        [1.3, 2.2],
    ),
    fault_range(
        FaultKind::HangUps,
        [0, 1],
        [0.05, 0.15],
        [0.0, 0.0],
        [0.2, 0.7],
    ),
];

impl Scenario {
    /// A scenario of the standard one's length, hosts and classes, with faults and demand of this seed's own. What was
    /// drawn is the same on every machine, so a day that showed something can be played again.
    pub fn random(seed: u64) -> Scenario {
        let mut scenario = Scenario::standard();
        let mut dice = SeededRng::new(seed, 31);
        scenario.name = format!("drawn {seed}");
        let length = scenario.seconds;
        let round = |x: f64| (x * 1000.0).round() / 1000.0;
        scenario.demand.load = [0.0, 0.3, 0.7, 1.0]
            .into_iter()
            .map(|part| [round(part * length), round(dice.between([0.25, 0.5]))])
            .collect();
        scenario.faults.clear();
        for kind in &FAULT_RANGES {
            let count = kind.min_count + dice.index_below(kind.max_count - kind.min_count + 1);
            for _ in 0..count {
                let span = dice.between(kind.duration_share) * length;
                let at_s = round(dice.between([0.03 * length, 0.93 * length - span]));
                let (reach, size) = (
                    round(dice.between(kind.reach)),
                    round(dice.between(kind.size)),
                );
                let struck_class =
                    matches!(kind.kind, FaultKind::ClassErrors | FaultKind::ClassSilence);
                let class = dice.index_below(scenario.classes.len());
                let zone = dice.index_below(scenario.fleet.zones.len());
                let fault = ScheduledFault {
                    kind: kind.kind,
                    at_s,
                    duration_s: round(span),
                    affected_share: reach,
                    intensity: size,
                    class: struck_class.then(|| scenario.classes[class].rules.name.clone()),
                    zone: (kind.kind == FaultKind::ZoneLoss)
                        .then(|| scenario.fleet.zones[zone].clone()),
                };
                scenario.faults.push(fault);
            }
        }
        scenario.faults.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
        scenario
    }
}
