//! A sweep as it is looked up: sizes, measured quantities and the laws of them.

use crate::fit::{Observation, distinct_sizes};
use crate::quantity::{Aggregation, Quantity};
use crate::result::{Phase, PhaseSample, Point, SweepResult};
use crate::study::Study;

/// A measured phase with the size of its point.
#[derive(Clone, Copy, Debug)]
pub struct SizedSample<'a> {
    /// The size in the dimension of the sweep.
    pub size: f64,
    /// What was measured.
    pub sample: &'a PhaseSample,
}

impl SweepResult {
    /// The size of a point in the dimension of the sweep.
    pub fn size_of(&self, point: &Point) -> f64 {
        point.settings.value(self.dimension)
    }

    /// The phases that were measured at any size, in the order of the page.
    pub fn measured_phases(&self) -> Vec<Phase> {
        Phase::all()
            .filter(|&phase| !self.samples(phase).is_empty())
            .collect()
    }

    /// The samples of a phase, in the order of the sweep.
    pub fn samples(&self, phase: Phase) -> Vec<SizedSample<'_>> {
        let sized = |point| {
            let sample = find_sample(point, phase)?;
            Some(SizedSample {
                size: self.size_of(point),
                sample,
            })
        };
        self.points.iter().filter_map(sized).collect()
    }

    /// A quantity of a phase at each size, the mean of the placers.
    pub fn observations(&self, phase: Phase, quantity: Quantity) -> Vec<Observation> {
        let observed = |sized: SizedSample<'_>| {
            let value = quantity.measured(sized.sample, Aggregation::Mean)?;
            Some(Observation {
                size: sized.size,
                value,
            })
        };
        self.samples(phase)
            .into_iter()
            .filter_map(observed)
            .collect()
    }

    /// A quantity of a phase at a size, the mean of its points and of the placers.
    pub fn measured(&self, phase: Phase, quantity: Quantity, size: f64) -> Option<f64> {
        let mut values: Vec<f64> = Vec::new();
        for observation in self.observations(phase, quantity) {
            if observation.size == size {
                values.push(observation.value);
            }
        }
        (!values.is_empty()).then(|| values.iter().sum::<f64>() / values.len() as f64)
    }

    /// The laws of a quantity in a phase; nothing with too few sizes.
    pub fn study(&self, phase: Phase, quantity: Quantity) -> Option<Study> {
        Study::of_dimension(self.dimension, &self.observations(phase, quantity))
    }

    /// The sizes of the sweep, rising and without repeats.
    pub fn sizes(&self) -> Vec<f64> {
        let sized = |point| Observation {
            size: self.size_of(point),
            value: 0.0,
        };
        distinct_sizes(&self.points.iter().map(sized).collect::<Vec<_>>())
    }
}

/// What was measured of a phase at a point.
pub fn find_sample(point: &Point, phase: Phase) -> Option<&PhaseSample> {
    point.phases.iter().find(|sample| sample.phase == phase)
}
