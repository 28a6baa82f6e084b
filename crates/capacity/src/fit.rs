//! Fits laws by least squares, with 95% intervals of coefficients and predictions.

use nalgebra::{DMatrix, DVector};
use statrs::distribution::{ContinuousCDF, StudentsT};
use thiserror::Error;

use crate::law::Law;

/// The confidence level of all intervals.
pub const CONFIDENCE: f64 = 0.95;

/// Columns are treated as linearly dependent if a diagonal element of the triangular factor is smaller than this; the
/// columns are normalised.
const MIN_RELATIVE_PIVOT: f64 = 1e-10;

/// The relative rounding error by which intervals are widened.
const RELATIVE_ROUNDING_ERROR: f64 = 1e-9;

/// The measured cost at a size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Observation {
    /// The size.
    pub size: f64,
    /// The cost.
    pub value: f64,
}

/// A closed interval.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Interval {
    /// The lower end.
    pub low: f64,
    /// The upper end.
    pub high: f64,
}

impl Interval {
    fn around(centre: f64, half_width: f64) -> Self {
        Self {
            low: centre - half_width,
            high: centre + half_width,
        }
    }

    /// Whether the interval contains a value, with allowance for rounding errors.
    pub fn contains(&self, value: f64) -> bool {
        let tolerance =
            RELATIVE_ROUNDING_ERROR * self.low.abs().max(self.high.abs()).max(value.abs());
        (self.low - tolerance..=self.high + tolerance).contains(&value)
    }
}

/// A coefficient of a law.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Coefficient {
    /// The estimate.
    pub value: f64,
    /// The 95% confidence interval; none without degrees of freedom to estimate the error from.
    pub interval: Option<Interval>,
}

/// The cost that a law predicts at a size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prediction {
    /// The cost.
    pub value: f64,
    /// The 95% prediction interval of one more measurement; none if the error can't be estimated.
    pub interval: Option<Interval>,
}

/// Why a law can't be fitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FitError {
    /// There are too few distinct sizes.
    #[error("{found} distinct sizes; the law needs at least {needed}")]
    TooFewSizes {
        /// The number of distinct sizes.
        found: usize,
        /// The minimum number for the law.
        needed: usize,
    },
    /// The law is undefined for a size or cost, as a power law is for values of 0 or less.
    #[error("the law is undefined for some size or cost")]
    Undefined,
    /// The terms of the law are linearly dependent at these sizes.
    #[error("the terms of the law are linearly dependent at these sizes")]
    Degenerate,
}

/// A law fitted to observations.
#[derive(Clone, Debug)]
pub struct Fit {
    law: Law,
    estimates: DVector<f64>,
    /// The inverse of XᵀX for the design matrix X.
    inverse_gram: DMatrix<f64>,
    /// None without degrees of freedom.
    error: Option<ErrorEstimate>,
    residuals: Vec<f64>,
}

#[derive(Clone, Copy, Debug)]
struct ErrorEstimate {
    /// The standard deviation of the residuals on the fitted scale.
    deviation: f64,
    /// Student's t quantile for [`CONFIDENCE`].
    quantile: f64,
}

impl Fit {
    /// Fits a law by least squares.
    ///
    /// # Errors
    ///
    /// There are too few distinct sizes, the law is undefined for a size or cost, or its terms are linearly dependent.
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
            .map(|observation| law.terms(observation.size))
            .collect::<Option<Vec<_>>>();
        let targets = observations
            .iter()
            .map(|observation| law.to_fitted_scale(observation.value))
            .collect::<Option<Vec<_>>>();
        let (rows, targets) = rows.zip(targets).ok_or(FitError::Undefined)?;
        let coefficient_count = law.coefficient_names().len();
        let design =
            DMatrix::from_row_iterator(rows.len(), coefficient_count, rows.into_iter().flatten());
        let targets = DVector::from_vec(targets);
        let (estimates, inverse_gram) = solve(&design, &targets).ok_or(FitError::Degenerate)?;
        let fitted_residuals = &targets - &design * &estimates;
        let error = error_estimate(&fitted_residuals, coefficient_count);
        let mut fit = Self {
            law,
            estimates,
            inverse_gram,
            error,
            residuals: Vec::new(),
        };
        fit.residuals = observations
            .iter()
            .map(|observation| observation.value - fit.value(observation.size))
            .collect();
        Ok(fit)
    }

    /// The law.
    pub fn law(&self) -> Law {
        self.law
    }

    /// The coefficients, in the order of [`Law::coefficient_names`].
    pub fn coefficients(&self) -> Vec<Coefficient> {
        let coefficient = |index: usize| {
            let value = self.estimates[index];
            let standard_error_factor = self.inverse_gram[(index, index)].max(0.0).sqrt();
            let interval = self.error.map(|error| {
                Interval::around(
                    value,
                    error.quantile * error.deviation * standard_error_factor,
                )
            });
            Coefficient { value, interval }
        };
        (0..self.estimates.len()).map(coefficient).collect()
    }

    /// The residuals (measured minus fitted) in the order of the observations.
    pub fn residuals(&self) -> &[f64] {
        &self.residuals
    }

    /// The root mean square of the residuals.
    pub fn residual_root_mean_square(&self) -> f64 {
        let squares: f64 = self
            .residuals
            .iter()
            .map(|residual| residual * residual)
            .sum();
        (squares / self.residuals.len() as f64).sqrt()
    }

    /// The cost at a size; NaN if the law is undefined there.
    pub fn value(&self, size: f64) -> f64 {
        self.predict(size)
            .map_or(f64::NAN, |prediction| prediction.value)
    }

    /// Predicts the cost of one more measurement at a size; none if the law is undefined there.
    pub fn predict(&self, size: f64) -> Option<Prediction> {
        let terms = DVector::from_vec(self.law.terms(size)?);
        let centre = terms.dot(&self.estimates);
        let to_measured_scale = |value: f64| self.law.to_measured_scale(value);
        let interval = self.error.map(|error| {
            let leverage = terms.dot(&(&self.inverse_gram * &terms)).max(0.0);
            let half_width = error.quantile * error.deviation * (1.0 + leverage).sqrt();
            let Interval { low, high } = Interval::around(centre, half_width);
            Interval {
                low: to_measured_scale(low),
                high: to_measured_scale(high),
            }
        });
        Some(Prediction {
            value: to_measured_scale(centre),
            interval,
        })
    }
}

/// The distinct sizes in ascending order.
pub fn distinct_sizes(observations: &[Observation]) -> Vec<f64> {
    let mut sizes: Vec<f64> = observations
        .iter()
        .map(|observation| observation.size)
        .collect();
    sizes.sort_by(f64::total_cmp);
    sizes.dedup();
    sizes
}

/// Returns the least squares estimates and the inverse of XᵀX for the design matrix X; none if the columns of X are
/// linearly dependent. Columns are normalised first, as their magnitudes differ by orders: the constant term is 1,
/// sizes are thousands.
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
    let upper_triangle = decomposition.r();
    if upper_triangle
        .diagonal()
        .iter()
        .any(|pivot| pivot.abs() < MIN_RELATIVE_PIVOT)
    {
        return None;
    }
    let scaled_estimates =
        upper_triangle.solve_upper_triangular(&(decomposition.q().transpose() * targets))?;
    let upper_inverse =
        upper_triangle.solve_upper_triangular(&DMatrix::identity(norms.len(), norms.len()))?;
    let inverse_gram = &unscale * (&upper_inverse * upper_inverse.transpose()) * &unscale;
    Some((&unscale * scaled_estimates, inverse_gram))
}

fn error_estimate(residuals: &DVector<f64>, coefficient_count: usize) -> Option<ErrorEstimate> {
    let degrees_of_freedom = residuals
        .len()
        .checked_sub(coefficient_count)
        .filter(|&degrees_of_freedom| degrees_of_freedom > 0)? as f64;
    let distribution = StudentsT::new(0.0, 1.0, degrees_of_freedom).ok()?;
    let quantile = distribution.inverse_cdf((1.0 + CONFIDENCE) / 2.0);
    Some(ErrorEstimate {
        deviation: (residuals.norm_squared() / degrees_of_freedom).sqrt(),
        quantile,
    })
}
