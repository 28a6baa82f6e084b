//! Queries on a sweep's result: its sizes, measured quantities and laws.

use crate::fit::{Observation, distinct_sizes};
use crate::law_selection::LawSelection;
use crate::quantity::{Aggregation, Quantity};
use crate::result::{Phase, PhaseSample, SweepPoint, SweepResult};

/// The sample of a phase with the size of its point.
#[derive(Clone, Copy, Debug)]
pub struct SizedSample<'a> {
    /// The size in the sweep's dimension.
    pub size: f64,
    /// The sample.
    pub sample: &'a PhaseSample,
}

impl SweepResult {
    /// The size of a point in the sweep's dimension.
    pub fn size_of(&self, point: &SweepPoint) -> f64 {
        point.settings.value(self.dimension)
    }

    /// The phases that were measured at some size, in the order of the page.
    pub fn measured_phases(&self) -> Vec<Phase> {
        Phase::all()
            .filter(|&phase| !self.samples(phase).is_empty())
            .collect()
    }

    /// The samples of a phase, in the order of the sweep.
    pub fn samples(&self, phase: Phase) -> Vec<SizedSample<'_>> {
        let to_sized_sample = |point| {
            let sample = find_sample(point, phase)?;
            Some(SizedSample {
                size: self.size_of(point),
                sample,
            })
        };
        self.points.iter().filter_map(to_sized_sample).collect()
    }

    /// The values of a quantity in a phase at each size, as the mean of the placers.
    pub fn observations(&self, phase: Phase, quantity: Quantity) -> Vec<Observation> {
        let to_observation = |sized_sample: SizedSample<'_>| {
            let value = quantity.measured(sized_sample.sample, Aggregation::Mean)?;
            Some(Observation {
                size: sized_sample.size,
                value,
            })
        };
        self.samples(phase)
            .into_iter()
            .filter_map(to_observation)
            .collect()
    }

    /// The value of a quantity in a phase at a size, as the mean of its points and the placers; none if it was not
    /// measured.
    pub fn measured(&self, phase: Phase, quantity: Quantity, size: f64) -> Option<f64> {
        let mut values: Vec<f64> = Vec::new();
        for observation in self.observations(phase, quantity) {
            if observation.size == size {
                values.push(observation.value);
            }
        }
        (!values.is_empty()).then(|| values.iter().sum::<f64>() / values.len() as f64)
    }

    /// Selects a law for a quantity in a phase; none with too few sizes.
    pub fn select_law(&self, phase: Phase, quantity: Quantity) -> Option<LawSelection> {
        LawSelection::of_dimension(self.dimension, &self.observations(phase, quantity))
    }

    /// The distinct sizes of the sweep in ascending order.
    pub fn sizes(&self) -> Vec<f64> {
        let to_observation = |point| Observation {
            size: self.size_of(point),
            value: 0.0,
        };
        distinct_sizes(&self.points.iter().map(to_observation).collect::<Vec<_>>())
    }
}

/// The sample of a phase at a point.
pub fn find_sample(point: &SweepPoint, phase: Phase) -> Option<&PhaseSample> {
    point.phases.iter().find(|sample| sample.phase == phase)
}
