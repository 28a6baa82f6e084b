//! Service rates as Blind GB-PANDAS estimates them: a running mean of 1/T for each (service, machine, locality), where T
//! is the time from the offer to the start (paper, eq. 6).
//!
//! A placer sees few starts of one pair, so a pair's mean is shrunk towards the mean of its class at the same locality,
//! and that towards a rate that is presumed before anything was measured.

use std::collections::BTreeMap;

use crate::interface::{MachineId, Micros, ServiceId};

/// Weight of the class's mean in a pair's estimate, in samples. One odd start would else decide for long where a pair
/// is used.
const PAIR_PRIOR_SAMPLES: f64 = 2.0;
/// Weight of the presumed rate in a class's estimate, in samples.
const CLASS_PRIOR_SAMPLES: f64 = 4.0;
/// Presumed time of a start that has to load the program first, in latency objectives.
const REMOTE_START_OBJECTIVES: f64 = 2.0;
/// Presumed time of a start at the secondary home, in latency objectives. Between the primary home and any other machine:
/// where all placers see the primary home filling up, some of them go to the secondary one.
const SECONDARY_START_OBJECTIVES: f64 = 0.57;
/// The quickest start that counts, in latency objectives. Being quicker still earns nothing, so it must not outweigh
/// utilization: a class with a long objective would pile up on one machine.
const MIN_START_OBJECTIVES: f64 = 0.25;

/// How near a machine is to a service's program: the locality levels of the paper (2.1). A start on a machine without
/// the program has to load it first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Locality {
    /// This placer has a task of the service there, or had one not long ago.
    Local,
    /// The machine that every placer ranks first for the service: others start it there too, if they can.
    PrimaryHome,
    /// The machine ranked second, used where the primary home is fuller or has no headroom.
    SecondaryHome,
    /// Any other machine.
    Remote,
}

impl Locality {
    /// Presumed time of a start, in latency objectives of the class.
    fn presumed_objectives(self) -> f64 {
        match self {
            Locality::Local | Locality::PrimaryHome => MIN_START_OBJECTIVES,
            Locality::SecondaryHome => SECONDARY_START_OBJECTIVES,
            Locality::Remote => REMOTE_START_OBJECTIVES,
        }
    }
}

/// What a start is an example of.
#[derive(Clone, Copy, Debug)]
pub(super) struct StartKind {
    pub(super) service: ServiceId,
    pub(super) class: usize,
    pub(super) machine: MachineId,
    pub(super) locality: Locality,
}

impl StartKind {
    fn pair(self) -> PairKey {
        PairKey {
            service: self.service,
            machine: self.machine,
            locality: self.locality,
        }
    }

    fn class(self) -> ClassKey {
        ClassKey {
            class: self.class,
            locality: self.locality,
        }
    }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct PairKey {
    service: ServiceId,
    machine: MachineId,
    locality: Locality,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ClassKey {
    class: usize,
    locality: Locality,
}

/// A running mean of 1/T, in starts a second.
#[derive(Clone, Copy, Default)]
struct MeanRate {
    samples: f64,
    mean: f64,
}

impl MeanRate {
    fn record(&mut self, took_us: f64) {
        self.samples += 1.0;
        let rate = 1e6 / took_us;
        self.mean += (rate - self.mean) / self.samples;
    }

    /// The mean, with `prior` counted as so many samples more.
    fn shrunk_towards(&self, prior: f64, prior_samples: f64) -> f64 {
        (self.samples * self.mean + prior_samples * prior) / (self.samples + prior_samples)
    }
}

/// The estimates of one placer.
#[derive(Default)]
pub(super) struct ServiceRates {
    by_pair: BTreeMap<PairKey, MeanRate>,
    by_class: BTreeMap<ClassKey, MeanRate>,
}

impl ServiceRates {
    /// Records a start that took `took` from its offer; `objective` is the latency objective of its class.
    pub(super) fn record_start(&mut self, kind: StartKind, took: Micros, objective: Micros) {
        let shortest = objective as f64 * MIN_START_OBJECTIVES;
        let took_us = (took as f64).max(shortest).max(1.0);
        self.by_pair.entry(kind.pair()).or_default().record(took_us);
        self.by_class
            .entry(kind.class())
            .or_default()
            .record(took_us);
    }

    /// The rate that a start of this kind is expected to have, in starts a second.
    pub(super) fn estimate(&self, kind: StartKind, objective: Micros) -> f64 {
        let presumed_us = objective as f64 * kind.locality.presumed_objectives();
        let presumed = 1e6 / presumed_us.max(1.0);
        let class = self
            .by_class
            .get(&kind.class())
            .copied()
            .unwrap_or_default();
        let class_rate = class.shrunk_towards(presumed, CLASS_PRIOR_SAMPLES);
        let pair = self.by_pair.get(&kind.pair()).copied().unwrap_or_default();
        pair.shrunk_towards(class_rate, PAIR_PRIOR_SAMPLES)
    }

    /// Forgets the pairs of services that are not to be kept.
    pub(super) fn retain_services(&mut self, keep: impl Fn(ServiceId) -> bool) {
        self.by_pair.retain(|pair, _| keep(pair.service));
    }
}

#[cfg(test)]
mod tests;
