//! Service rates as Blind GB-PANDAS estimates them: a running mean of 1/T for each service-machine pair and locality,
//! where T is the time from the offer to the start (paper, eq. 6).
//!
//! A placer observes few starts of one pair, so a pair's mean is shrunk towards the mean of its class at the same
//! locality, and that mean towards a constant prior rate.

use std::collections::BTreeMap;

use crate::interface::{MachineId, Micros, ServiceId};

/// Weight of the class's mean in a pair's estimate, in samples. Without it a single outlier would determine for a long
/// time whether the pair is selected.
const PAIR_PRIOR_SAMPLES: f64 = 2.0;
/// Weight of the prior rate in a class's estimate, in samples.
const CLASS_PRIOR_SAMPLES: f64 = 4.0;
/// Prior duration of a start that has to load the program first, in latency objectives.
const REMOTE_START_OBJECTIVES: f64 = 2.0;
/// Prior duration of a start at the secondary home, in latency objectives. It lies between those at the primary home
/// and at any other machine, so that some placers select the secondary home as the primary one fills up.
const SECONDARY_START_OBJECTIVES: f64 = 0.57;
/// Minimum duration of a start in the estimate, in latency objectives. A shorter start counts as this long, because it
/// earns no larger bonus: its rate must not outweigh utilization, or the tasks of a class with a long objective would
/// concentrate on one machine.
const MIN_START_OBJECTIVES: f64 = 0.25;

/// The locality of a machine for a service's program: the locality levels of the paper (section 2.1). A start on a
/// machine without the program has to load it first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Locality {
    /// This placer has a task of the service there, or had one recently.
    Local,
    /// The machine that ranks first for the service at every placer, so other placers probably start the service there.
    PrimaryHome,
    /// The machine that ranks second, used when the primary home is fuller or has no headroom.
    SecondaryHome,
    /// Any other machine.
    Remote,
}

impl Locality {
    /// Prior duration of a start, in latency objectives of the class.
    fn prior_objectives(self) -> f64 {
        match self {
            Locality::Local | Locality::PrimaryHome => MIN_START_OBJECTIVES,
            Locality::SecondaryHome => SECONDARY_START_OBJECTIVES,
            Locality::Remote => REMOTE_START_OBJECTIVES,
        }
    }
}

/// The properties of a start that its expected rate depends on.
#[derive(Clone, Copy, Debug)]
pub(super) struct StartProfile {
    pub(super) service: ServiceId,
    pub(super) class: usize,
    pub(super) machine: MachineId,
    pub(super) locality: Locality,
}

impl StartProfile {
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

/// A running mean of 1/T, in starts per second.
#[derive(Clone, Copy, Default)]
struct MeanRate {
    samples: f64,
    mean: f64,
}

impl MeanRate {
    fn record(&mut self, duration_us: f64) {
        self.samples += 1.0;
        let rate = 1e6 / duration_us;
        self.mean += (rate - self.mean) / self.samples;
    }

    /// The mean, with `prior` weighted as `prior_samples` further samples.
    fn shrunk_towards(&self, prior: f64, prior_samples: f64) -> f64 {
        (self.samples * self.mean + prior_samples * prior) / (self.samples + prior_samples)
    }
}

/// The service rates estimated by one placer.
#[derive(Default)]
pub(super) struct ServiceRates {
    by_pair: BTreeMap<PairKey, MeanRate>,
    by_class: BTreeMap<ClassKey, MeanRate>,
}

impl ServiceRates {
    /// Records a start. `duration` is the time since its offer, `objective` the latency objective of its class.
    pub(super) fn record_start(
        &mut self,
        profile: StartProfile,
        duration: Micros,
        objective: Micros,
    ) {
        let min_us = objective as f64 * MIN_START_OBJECTIVES;
        let duration_us = (duration as f64).max(min_us).max(1.0);
        self.by_pair
            .entry(profile.pair())
            .or_default()
            .record(duration_us);
        self.by_class
            .entry(profile.class())
            .or_default()
            .record(duration_us);
    }

    /// The expected rate of such a start, in starts per second.
    pub(super) fn estimate(&self, profile: StartProfile, objective: Micros) -> f64 {
        let prior_us = objective as f64 * profile.locality.prior_objectives();
        let prior_rate = 1e6 / prior_us.max(1.0);
        let class = self
            .by_class
            .get(&profile.class())
            .copied()
            .unwrap_or_default();
        let class_rate = class.shrunk_towards(prior_rate, CLASS_PRIOR_SAMPLES);
        let pair = self
            .by_pair
            .get(&profile.pair())
            .copied()
            .unwrap_or_default();
        pair.shrunk_towards(class_rate, PAIR_PRIOR_SAMPLES)
    }

    /// Removes the pairs of services for which `keep` is false.
    pub(super) fn retain_services(&mut self, keep: impl Fn(ServiceId) -> bool) {
        self.by_pair.retain(|pair, _| keep(pair.service));
    }
}

#[cfg(test)]
mod tests;
