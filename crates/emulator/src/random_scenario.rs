//! Random scenarios: demand and overlapping faults drawn from a seed.

use crate::scenario::{FaultKind, Scenario, ScheduledFault};
use crate::seeded_rng::SeededRng;

#[cfg(test)]
mod tests;

/// The number of faults of a kind in a random scenario, and the ranges of their duration (as a share of the run),
/// affected share and intensity.
struct FaultRange {
    kind: FaultKind,
    max_count: usize,
    min_count: usize,
    duration_share: [f64; 2],
    affected_share: [f64; 2],
    intensity: [f64; 2],
}

const fn fault_range(
    kind: FaultKind,
    [min, max]: [usize; 2],
    share_of_run: [f64; 2],
    affected_share: [f64; 2],
    intensity: [f64; 2],
) -> FaultRange {
    FaultRange {
        kind,
        max_count: max,
        min_count: min,
        duration_share: share_of_run,
        affected_share,
        intensity,
    }
}

/// Every scenario has a placer kill, a pause, a zone loss and a deploy, since their overlaps have broken rules; the
/// others may be absent.
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
        FaultKind::InventoryInvalid,
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
        FaultKind::InventoryDelay,
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
        FaultKind::NoisyNeighbour,
        [0, 1],
        [0.1, 0.3],
        [0.1, 0.4],
        [0.3, 0.7],
    ),
    fault_range(
        FaultKind::SlowAdmission,
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
        FaultKind::EarlyDisconnects,
        [0, 1],
        [0.05, 0.15],
        [0.0, 0.0],
        [0.2, 0.7],
    ),
];

impl Scenario {
    /// A scenario with the length, hosts and classes of the standard one, and with faults and demand drawn from this
    /// seed. A seed gives the same scenario on every machine, so that a run that found a fault can be repeated.
    pub fn random(seed: u64) -> Scenario {
        let mut scenario = Scenario::standard();
        let mut rng = SeededRng::new(seed, 31);
        scenario.name = format!("drawn {seed}");
        let length_s = scenario.duration_s;
        let round = |x: f64| (x * 1000.0).round() / 1000.0;
        scenario.demand.load = [0.0, 0.3, 0.7, 1.0]
            .into_iter()
            .map(|part| [round(part * length_s), round(rng.between([0.25, 0.5]))])
            .collect();
        scenario.faults.clear();
        for range in &FAULT_RANGES {
            let count = range.min_count + rng.index_below(range.max_count - range.min_count + 1);
            for _ in 0..count {
                let duration_s = rng.between(range.duration_share) * length_s;
                let at_s = round(rng.between([0.03 * length_s, 0.93 * length_s - duration_s]));
                let (affected_share, intensity) = (
                    round(rng.between(range.affected_share)),
                    round(rng.between(range.intensity)),
                );
                let has_class =
                    matches!(range.kind, FaultKind::ClassErrors | FaultKind::ClassSilence);
                let class = rng.index_below(scenario.classes.len());
                let zone = rng.index_below(scenario.fleet.zones.len());
                let fault = ScheduledFault {
                    kind: range.kind,
                    at_s,
                    duration_s: round(duration_s),
                    affected_share,
                    intensity,
                    class: has_class.then(|| scenario.classes[class].placer_class.name.clone()),
                    zone: (range.kind == FaultKind::ZoneLoss)
                        .then(|| scenario.fleet.zones[zone].clone()),
                };
                scenario.faults.push(fault);
            }
        }
        scenario.faults.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
        scenario
    }
}
