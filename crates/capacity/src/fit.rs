//! Least squares of a law, with 95% intervals of its coefficients and predictions.

use nalgebra::{DMatrix, DVector};
use statrs::distribution::{ContinuousCDF, StudentsT};
use thiserror::Error;

use crate::law::Law;

/// Probability that an interval holds.
pub const CONFIDENCE: f64 = 0.95;

/// Relative size of a diagonal element below which columns count as dependent.
const MIN_RELATIVE_PIVOT: f64 = 1e-10;

/// Part of a value that rounding may move it by: intervals are this much wider.
const ROUNDING: f64 = 1e-9;

/// A cost measured at a size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Observation {
    /// The size.
    pub size: f64,
    /// The cost.
    pub value: f64,
}

/// A range with both ends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Interval {
    /// The lower end.
    pub low: f64,
    /// The upper end.
    pub high: f64,
}

impl Interval {
    fn around(middle: f64, half_width: f64) -> Self {
        Self {
            low: middle - half_width,
            high: middle + half_width,
        }
    }

    /// Whether a value lies in the range, but for rounding.
    pub fn contains(&self, value: f64) -> bool {
        let slack = ROUNDING * self.low.abs().max(self.high.abs()).max(value.abs());
        (self.low - slack..=self.high + slack).contains(&value)
    }
}

/// A coefficient of a law.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Coefficient {
    /// Its estimate.
    pub value: f64,
    /// Its 95% interval; nothing where no observation is left to estimate the error from.
    pub interval: Option<Interval>,
}

/// What a law says of a size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prediction {
    /// The cost.
    pub value: f64,
    /// Where one more measurement would lie with 95%; nothing where no error could be estimated.
    pub interval: Option<Interval>,
}

/// Why a law could not be fitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FitError {
    /// Too few different sizes.
    #[error("{found} sizes, {needed} are needed")]
    TooFewSizes {
        /// The sizes that there are.
        found: usize,
        /// The sizes that the law needs.
        needed: usize,
    },
    /// A size or a cost that the law is not defined for: 0 or less under a power law.
    #[error("the law is not defined for all points")]
    Undefined,
    /// The sizes do not tell the terms of the law apart.
    #[error("the sizes do not tell the terms of the law apart")]
    Degenerate,
}

/// A law fitted to observations.
#[derive(Clone, Debug)]
pub struct Fit {
    law: Law,
    estimates: DVector<f64>,
    /// Inverse of the product of the design matrix with itself.
    inverse_gram: DMatrix<f64>,
    /// Standard deviation of the residuals on the fitted scale, and Student's quantile for it.
    error: Option<ErrorEstimate>,
    residuals: Vec<f64>,
}

#[derive(Clone, Copy, Debug)]
struct ErrorEstimate {
    deviation: f64,
    quantile: f64,
}

impl Fit {
    /// Fits a law by least squares.
    pub fn new(law: Law, observations: &[Observation]) -> Result<Self, FitError> {
        let found = distinct_sizes(observations).len();
        if found < law.min_sizes() {
            return Err(FitError::TooFewSizes {
                found,
                needed: law.min_sizes(),
            });
        }
        let rows = observations
            .iter()
            .map(|o| law.terms(o.size))
            .collect::<Option<Vec<_>>>();
        let targets = observations
            .iter()
            .map(|o| law.to_fitted_scale(o.value))
            .collect::<Option<Vec<_>>>();
        let (rows, targets) = rows.zip(targets).ok_or(FitError::Undefined)?;
        let coefficients = law.coefficient_names().len();
        let design =
            DMatrix::from_row_iterator(rows.len(), coefficients, rows.into_iter().flatten());
        let targets = DVector::from_vec(targets);
        let (estimates, inverse_gram) = solve(&design, &targets).ok_or(FitError::Degenerate)?;
        let fitted_residuals = &targets - &design * &estimates;
        let error = error_estimate(&fitted_residuals, coefficients);
        let mut fit = Self {
            law,
            estimates,
            inverse_gram,
            error,
            residuals: Vec::new(),
        };
        fit.residuals = observations
            .iter()
            .map(|o| o.value - fit.value(o.size))
            .collect();
        Ok(fit)
    }

    /// The law.
    pub fn law(&self) -> Law {
        self.law
    }

    /// The coefficients, in the order of [`Law::coefficient_names`].
    pub fn coefficients(&self) -> Vec<Coefficient> {
        let coefficient = |at: usize| {
            let value = self.estimates[at];
            let spread = self.inverse_gram[(at, at)].max(0.0).sqrt();
            let interval = self
                .error
                .map(|error| Interval::around(value, error.quantile * error.deviation * spread));
            Coefficient { value, interval }
        };
        (0..self.estimates.len()).map(coefficient).collect()
    }

    /// Measured less fitted, of each observation in its order.
    pub fn residuals(&self) -> &[f64] {
        &self.residuals
    }

    /// Root of the mean squared residual.
    pub fn residual_root_mean_square(&self) -> f64 {
        let squares: f64 = self.residuals.iter().map(|r| r * r).sum();
        (squares / self.residuals.len() as f64).sqrt()
    }

    /// The cost at a size; not a number where the law is not defined.
    pub fn value(&self, size: f64) -> f64 {
        self.predict(size)
            .map_or(f64::NAN, |prediction| prediction.value)
    }

    /// The cost of one more measurement at a size; nothing where the law is not defined.
    pub fn predict(&self, size: f64) -> Option<Prediction> {
        let terms = DVector::from_vec(self.law.terms(size)?);
        let middle = terms.dot(&self.estimates);
        let back = |value: f64| self.law.to_measured_scale(value);
        let interval = self.error.map(|error| {
            let leverage = terms.dot(&(&self.inverse_gram * &terms)).max(0.0);
            let half_width = error.quantile * error.deviation * (1.0 + leverage).sqrt();
            let Interval { low, high } = Interval::around(middle, half_width);
            Interval {
                low: back(low),
                high: back(high),
            }
        });
        Some(Prediction {
            value: back(middle),
            interval,
        })
    }
}

/// The sizes, rising and without repeats.
pub fn distinct_sizes(observations: &[Observation]) -> Vec<f64> {
    let mut sizes: Vec<f64> = observations.iter().map(|o| o.size).collect();
    sizes.sort_by(f64::total_cmp);
    sizes.dedup();
    sizes
}

/// Estimates, and the inverse of the product of the design with itself. Columns are scaled first, since sizes are
/// thousands and constants are 1.
fn solve(design: &DMatrix<f64>, targets: &DVector<f64>) -> Option<(DVector<f64>, DMatrix<f64>)> {
    let norms: Vec<f64> = design.column_iter().map(|column| column.norm()).collect();
    if norms.iter().any(|&norm| !(norm > 0.0 && norm.is_finite())) {
        return None;
    }
    let unscale = DMatrix::from_diagonal(&DVector::from_iterator(
        norms.len(),
        norms.iter().map(|norm| 1.0 / norm),
    ));
    let decomposition = (design * &unscale).qr();
    let upper = decomposition.r();
    if upper
        .diagonal()
        .iter()
        .any(|pivot| pivot.abs() < MIN_RELATIVE_PIVOT)
    {
        return None;
    }
    let scaled = upper.solve_upper_triangular(&(decomposition.q().transpose() * targets))?;
    let inverse = upper.solve_upper_triangular(&DMatrix::identity(norms.len(), norms.len()))?;
    let inverse_gram = &unscale * (&inverse * inverse.transpose()) * &unscale;
    Some((&unscale * scaled, inverse_gram))
}

fn error_estimate(residuals: &DVector<f64>, coefficients: usize) -> Option<ErrorEstimate> {
    let freedom = residuals
        .len()
        .checked_sub(coefficients)
        .filter(|&freedom| freedom > 0)? as f64;
    let student = StudentsT::new(0.0, 1.0, freedom).ok()?;
    let quantile = student.inverse_cdf((1.0 + CONFIDENCE) / 2.0);
    Some(ErrorEstimate {
        deviation: (residuals.norm_squared() / freedom).sqrt(),
        quantile,
    })
}
