//! Laws held to sizes that they were not fitted to: one is believed once it has foretold them.

use crate::fit::{Fit, Observation, Prediction, distinct_sizes};
use crate::law::Law;
use crate::result::Dimension;

/// The largest relative error at which a size counts as foretold.
pub const MAX_RELATIVE_ERROR: f64 = 0.10;

/// Costs below this are 0 but for rounding.
const ZERO_TOLERANCE: f64 = 1e-9;

/// A size that a law was not fitted to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HeldOut {
    /// What was measured there.
    pub measured: Observation,
    /// What the law said.
    pub predicted: Prediction,
}

impl HeldOut {
    /// Foretold less measured, as a part of the measured; infinite where something was foretold of a cost of 0.
    pub fn relative_error(&self) -> f64 {
        let error = self.predicted.value - self.measured.value;
        if error.abs() < ZERO_TOLERANCE {
            0.0
        } else {
            error / self.measured.value.abs()
        }
    }

    /// Whether the measured cost lies in the interval of the prediction; nothing without an interval.
    pub fn is_in_interval(&self) -> Option<bool> {
        self.predicted
            .interval
            .map(|interval| interval.contains(self.measured.value))
    }
}

/// Whether a law is believed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FitVerdict {
    /// It foretold every size held out, within [`MAX_RELATIVE_ERROR`].
    Predicted,
    /// It missed one.
    Missed,
    /// No size was held out.
    NotTested,
}

/// A law and how it did.
#[derive(Clone, Debug)]
pub struct Trial {
    /// The law, fitted to the sizes up to the limit.
    pub fit: Fit,
    /// The sizes above the limit.
    pub held_out: Vec<HeldOut>,
}

impl Trial {
    fn new(law: Law, fitted: &[Observation], held_out: &[Observation]) -> Option<Self> {
        let fit = Fit::new(law, fitted).ok()?;
        let foretell = |&measured: &Observation| {
            Some(HeldOut {
                measured,
                predicted: fit.predict(measured.size)?,
            })
        };
        let held_out = held_out.iter().map(foretell).collect::<Option<Vec<_>>>()?;
        Some(Self { fit, held_out })
    }

    /// The largest relative error of the sizes held out, without its sign.
    pub fn worst_error(&self) -> Option<f64> {
        self.held_out
            .iter()
            .map(|h| h.relative_error().abs())
            .reduce(f64::max)
    }

    /// Whether the law is believed.
    pub fn verdict(&self) -> FitVerdict {
        match self.worst_error() {
            None => FitVerdict::NotTested,
            Some(error) if error <= MAX_RELATIVE_ERROR => FitVerdict::Predicted,
            Some(_) => FitVerdict::Missed,
        }
    }
}

/// The laws tried on one quantity of one phase over a sweep.
#[derive(Clone, Debug)]
pub struct Study {
    limit: f64,
    trials: Vec<Trial>,
    chosen: usize,
}

impl Study {
    /// Fits each law to the sizes up to the dimension's limit, and lets it foretell the larger ones. Nothing with fewer
    /// than two sizes to fit to.
    pub fn of_dimension(dimension: Dimension, observations: &[Observation]) -> Option<Self> {
        let limit = dimension.fit_limit(&distinct_sizes(observations))?;
        Self::new(limit, observations)
    }

    /// Fits each law to the sizes up to the limit, and lets it foretell the larger ones.
    pub fn new(limit: f64, observations: &[Observation]) -> Option<Self> {
        let (fitted, held_out): (Vec<Observation>, Vec<Observation>) =
            observations.iter().partition(|o| o.size <= limit);
        let trials: Vec<Trial> = Law::ALL
            .into_iter()
            .filter_map(|law| Trial::new(law, &fitted, &held_out))
            .collect();
        let chosen = choose(&trials)?;
        Some(Self {
            limit,
            trials,
            chosen,
        })
    }

    /// The size up to which laws were fitted.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Each law that could be fitted.
    pub fn trials(&self) -> &[Trial] {
        &self.trials
    }

    /// The line where it foretold the sizes held out, otherwise the law with the smallest error there.
    pub fn chosen(&self) -> &Trial {
        &self.trials[self.chosen]
    }

    /// How the line did.
    pub fn line(&self) -> Option<&Trial> {
        self.trials
            .iter()
            .find(|trial| trial.fit.law() == Law::Linear)
    }
}

/// The position of the line unless it missed, otherwise of the law with the smallest error at the sizes held out.
fn choose(trials: &[Trial]) -> Option<usize> {
    if trials.first()?.verdict() != FitVerdict::Missed {
        return Some(0);
    }
    let error = |trial: &Trial| trial.worst_error().unwrap_or(f64::INFINITY);
    (0..trials.len()).min_by(|&a, &b| error(&trials[a]).total_cmp(&error(&trials[b])))
}
