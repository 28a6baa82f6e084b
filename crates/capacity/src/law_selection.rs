//! Selects a law for a quantity by testing its predictions at held-out sizes, which it was not fitted to.

use crate::fit::{Fit, Observation, Prediction, distinct_sizes};
use crate::law::Law;
use crate::result::Dimension;

/// The maximum relative error of an accepted prediction.
pub const MAX_RELATIVE_ERROR: f64 = 0.10;

/// Smaller errors are treated as rounding errors, so that a cost of 0 can be predicted.
const ZERO_TOLERANCE: f64 = 1e-9;

/// A held-out size: the measured and the predicted cost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HeldOut {
    /// The measured cost.
    pub measured: Observation,
    /// The predicted cost.
    pub predicted: Prediction,
}

impl HeldOut {
    /// The prediction error (predicted minus measured) divided by the measured cost; infinite if the measured cost is
    /// 0 and the predicted one is not.
    pub fn relative_error(&self) -> f64 {
        let error = self.predicted.value - self.measured.value;
        if error.abs() < ZERO_TOLERANCE {
            0.0
        } else {
            error / self.measured.value.abs()
        }
    }

    /// Whether the prediction interval contains the measured cost; none without an interval.
    pub fn is_in_interval(&self) -> Option<bool> {
        self.predicted
            .interval
            .map(|interval| interval.contains(self.measured.value))
    }
}

/// The result of testing a law at the held-out sizes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FitVerdict {
    /// It predicted the cost at every held-out size within [`MAX_RELATIVE_ERROR`].
    Predicted,
    /// Some prediction exceeds that error.
    Missed,
    /// There are no held-out sizes.
    NotTested,
}

/// A fitted law with its predictions at the held-out sizes.
#[derive(Clone, Debug)]
pub struct LawEvaluation {
    /// The law, fitted to the sizes up to the limit.
    pub fit: Fit,
    /// The predictions at the sizes above the limit.
    pub held_out: Vec<HeldOut>,
}

impl LawEvaluation {
    fn new(law: Law, fitted: &[Observation], held_out: &[Observation]) -> Option<Self> {
        let fit = Fit::new(law, fitted).ok()?;
        let predict = |&measured: &Observation| {
            Some(HeldOut {
                measured,
                predicted: fit.predict(measured.size)?,
            })
        };
        let held_out = held_out.iter().map(predict).collect::<Option<Vec<_>>>()?;
        Some(Self { fit, held_out })
    }

    /// The largest absolute relative error at the held-out sizes; none without such sizes.
    pub fn worst_error(&self) -> Option<f64> {
        self.held_out
            .iter()
            .map(|held_out| held_out.relative_error().abs())
            .reduce(f64::max)
    }

    /// The result of the test.
    pub fn verdict(&self) -> FitVerdict {
        match self.worst_error() {
            None => FitVerdict::NotTested,
            Some(error) if error <= MAX_RELATIVE_ERROR => FitVerdict::Predicted,
            Some(_) => FitVerdict::Missed,
        }
    }
}

/// The evaluated laws of one quantity in one phase of a sweep, and the selected one.
#[derive(Clone, Debug)]
pub struct LawSelection {
    limit: f64,
    evaluations: Vec<LawEvaluation>,
    selected: usize,
}

impl LawSelection {
    /// Fits each law to the sizes up to the dimension's limit and tests it on the larger ones; none with fewer than two
    /// sizes to fit to.
    pub fn of_dimension(dimension: Dimension, observations: &[Observation]) -> Option<Self> {
        let limit = dimension.fit_limit(&distinct_sizes(observations))?;
        Self::new(limit, observations)
    }

    /// Fits each law to the sizes up to the limit and tests it on the larger ones; none if no law can be fitted.
    pub fn new(limit: f64, observations: &[Observation]) -> Option<Self> {
        let (fitted, held_out): (Vec<Observation>, Vec<Observation>) = observations
            .iter()
            .partition(|observation| observation.size <= limit);
        let evaluations: Vec<LawEvaluation> = Law::ALL
            .into_iter()
            .filter_map(|law| LawEvaluation::new(law, &fitted, &held_out))
            .collect();
        let selected = select(&evaluations)?;
        Some(Self {
            limit,
            evaluations,
            selected,
        })
    }

    /// The size up to which the laws are fitted.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// The laws that could be fitted.
    pub fn evaluations(&self) -> &[LawEvaluation] {
        &self.evaluations
    }

    /// The selected law: the line unless a prediction of it missed, otherwise the law with the smallest error at the
    /// held-out sizes.
    pub fn selected(&self) -> &LawEvaluation {
        &self.evaluations[self.selected]
    }

    /// The evaluation of the line, if it could be fitted.
    pub fn line(&self) -> Option<&LawEvaluation> {
        self.evaluations
            .iter()
            .find(|evaluation| evaluation.fit.law() == Law::Linear)
    }
}

/// The index of the first law, which is the line, unless a prediction of it missed; otherwise the index of the law
/// with the smallest error at the held-out sizes.
fn select(evaluations: &[LawEvaluation]) -> Option<usize> {
    if evaluations.first()?.verdict() != FitVerdict::Missed {
        return Some(0);
    }
    let error = |evaluation: &LawEvaluation| evaluation.worst_error().unwrap_or(f64::INFINITY);
    (0..evaluations.len())
        .min_by(|&a, &b| error(&evaluations[a]).total_cmp(&error(&evaluations[b])))
}
