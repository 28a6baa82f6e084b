//! Fitting of laws, their intervals, and the selection of a law by its predictions.

mod support;

use maplethread_capacity::{Fit, FitError, FitVerdict, Interval, Law, LawSelection, Observation};
use support::{SIZES, observations};

const FITTED_SIZE_LIMIT: f64 = 800.0;

fn is_close(found: f64, expected: f64) -> bool {
    (found - expected).abs() <= 1e-6 * expected.abs().max(1.0)
}

#[test]
fn predicts_held_out_sizes_of_a_perfect_line() {
    let selection = LawSelection::new(FITTED_SIZE_LIMIT, &observations(&SIZES, |n| 7.0 + 0.25 * n))
        .expect("enough sizes");
    let evaluation = selection.selected();
    assert_eq!(evaluation.fit.law(), Law::Linear);
    assert_eq!(evaluation.verdict(), FitVerdict::Predicted);
    let coefficients = evaluation.fit.coefficients();
    assert!(
        is_close(coefficients[0].value, 7.0) && is_close(coefficients[1].value, 0.25),
        "{coefficients:?}"
    );
    assert!(evaluation.fit.residual_root_mean_square() < 1e-9);
    assert_eq!(evaluation.held_out.len(), 2);
    for held_out in &evaluation.held_out {
        assert!(is_close(held_out.predicted.value, held_out.measured.value));
        assert_eq!(held_out.is_in_interval(), Some(true));
        assert!(held_out.relative_error().abs() < 1e-9);
    }
}

#[test]
fn chooses_n_log_n_law_when_the_line_misses() {
    let cost = |n: f64| 5.0 - 2.0 * n + 0.9 * n * n.ln();
    let selection =
        LawSelection::new(FITTED_SIZE_LIMIT, &observations(&SIZES, cost)).expect("enough sizes");
    assert_eq!(
        selection.line().expect("a line").verdict(),
        FitVerdict::Missed
    );
    let evaluation = selection.selected();
    assert_eq!(evaluation.fit.law(), Law::LinearLogarithmic);
    assert_eq!(evaluation.verdict(), FitVerdict::Predicted);
    let found: Vec<f64> = evaluation
        .fit
        .coefficients()
        .iter()
        .map(|c| c.value)
        .collect();
    assert!(
        is_close(found[0], 5.0) && is_close(found[1], -2.0) && is_close(found[2], 0.9),
        "{found:?}"
    );
}

#[test]
fn chooses_power_law_for_quadratic_cost() {
    let selection = LawSelection::new(FITTED_SIZE_LIMIT, &observations(&SIZES, |n| 0.01 * n * n))
        .expect("enough sizes");
    let evaluation = selection.selected();
    assert_eq!(evaluation.fit.law(), Law::Power);
    let coefficients = evaluation.fit.coefficients();
    assert!(is_close(coefficients[0].value, 0.01_f64.ln()) && is_close(coefficients[1].value, 2.0));
}

#[test]
fn chooses_constant_law_when_noise_tilts_the_line() {
    let costs = [100.0, 101.0, 102.0, 104.0, 104.0, 101.0, 102.0];
    let to_observation = |(&size, value): (&u32, f64)| Observation {
        size: f64::from(size),
        value,
    };
    let measured: Vec<Observation> = SIZES.iter().zip(costs).map(to_observation).collect();
    let selection = LawSelection::new(FITTED_SIZE_LIMIT, &measured).expect("enough sizes");
    assert_eq!(
        selection.line().expect("a line").verdict(),
        FitVerdict::Missed
    );
    let evaluation = selection.selected();
    assert_eq!(
        (evaluation.fit.law(), evaluation.verdict()),
        (Law::Constant, FitVerdict::Predicted)
    );
    assert!(is_close(evaluation.fit.value(5_000.0), 102.2));
}

#[test]
fn all_laws_miss_a_step_above_the_fitted_sizes() {
    let step_cost = |n: f64| if n > 1_000.0 { 5_000.0 + n } else { 100.0 + n };
    let selection = LawSelection::new(FITTED_SIZE_LIMIT, &observations(&SIZES, step_cost))
        .expect("enough sizes");
    assert!(
        selection
            .evaluations()
            .iter()
            .all(|evaluation| evaluation.verdict() == FitVerdict::Missed)
    );
    let evaluation = selection.selected();
    assert!(
        evaluation
            .held_out
            .iter()
            .all(|held_out| held_out.is_in_interval() == Some(false))
    );
    let error = evaluation.worst_error().expect("held-out sizes");
    assert!(
        selection
            .evaluations()
            .iter()
            .all(|other| other.worst_error() >= Some(error))
    );
}

#[test]
fn reports_relative_error_of_a_missed_size() {
    let mut measured = observations(&SIZES, |n| 10.0 + n);
    measured[5].value *= 0.5;
    let selection = LawSelection::new(FITTED_SIZE_LIMIT, &measured).expect("enough sizes");
    let line = selection.line().expect("a line");
    assert_eq!(line.verdict(), FitVerdict::Missed);
    assert!(
        is_close(line.held_out[0].relative_error(), 1.0),
        "the prediction is not twice the measured cost"
    );
    assert_eq!(line.held_out[0].is_in_interval(), Some(false));
    assert_eq!(line.held_out[1].is_in_interval(), Some(true));
}

#[test]
fn intervals_match_the_textbook_formula() {
    // y = 1 + 2x with residuals 0.1, -0.2, 0.1, which are orthogonal to the terms, so the slope is exactly 2.
    let points = [(1.0, 3.1), (2.0, 4.8), (3.0, 7.1)];
    let measured = points.map(|(size, value)| Observation { size, value });
    let fit = Fit::new(Law::Linear, &measured).expect("a fit");
    let slope = fit.coefficients()[1];
    // s² = 0.06 / 1, Sxx = 2, and Student's t quantile for one degree of freedom at 97.5%.
    let t_quantile = 12.706_204_736_432_1;
    let deviation = 0.06_f64.sqrt();
    let Interval { low, high } = slope.interval.expect("an interval");
    let half_width = t_quantile * deviation / 2.0_f64.sqrt();
    assert!(
        is_close(slope.value, 2.0)
            && is_close(low, 2.0 - half_width)
            && is_close(high, 2.0 + half_width),
        "{low} {high}"
    );
    let prediction = fit.predict(5.0).expect("a law defined at this size");
    let Interval { low, high } = prediction.interval.expect("an interval");
    let half_width = t_quantile * deviation * (1.0 + 1.0 / 3.0 + 9.0 / 2.0_f64).sqrt();
    assert!(
        is_close(prediction.value, 11.0)
            && is_close(low, 11.0 - half_width)
            && is_close(high, 11.0 + half_width)
    );
}

#[test]
fn fits_a_line_without_interval_to_two_sizes() {
    let fit = Fit::new(Law::Linear, &observations(&[1, 3], |n| n)).expect("a fit");
    assert!(fit.coefficients().iter().all(|c| c.interval.is_none()));
    assert_eq!(
        fit.predict(5.0)
            .expect("a law defined at this size")
            .interval,
        None
    );
}

#[test]
fn rejects_observations_that_cannot_be_fitted() {
    let one_size = observations(&[5, 5], |n| n);
    let error = Fit::new(Law::Linear, &one_size).expect_err("one size");
    assert_eq!(
        error,
        FitError::TooFewSizes {
            found: 1,
            needed: 2
        }
    );
    assert!(LawSelection::new(FITTED_SIZE_LIMIT, &one_size).is_none());
    let zero_cost = observations(&[1, 2, 3], |n| n - 1.0);
    assert_eq!(
        Fit::new(Law::Power, &zero_cost).expect_err("a cost of 0"),
        FitError::Undefined
    );
    let huge_sizes = observations(&[1, 2], |_| 1.0).map_sizes(|size| 1e15 + size);
    assert_eq!(
        Fit::new(Law::Linear, &huge_sizes).expect_err("linearly dependent terms"),
        FitError::Degenerate
    );
}

/// Maps the sizes of observations.
trait MapSizes {
    fn map_sizes(self, to: impl Fn(f64) -> f64) -> Self;
}

impl MapSizes for Vec<Observation> {
    fn map_sizes(mut self, to: impl Fn(f64) -> f64) -> Self {
        for observation in &mut self {
            observation.size = to(observation.size);
        }
        self
    }
}

#[test]
fn predicted_cost_of_zero_has_no_error() {
    let selection =
        LawSelection::new(FITTED_SIZE_LIMIT, &observations(&SIZES, |_| 0.0)).expect("enough sizes");
    assert_eq!(selection.selected().worst_error(), Some(0.0));
    let zero_above_limit = |n: f64| if n > FITTED_SIZE_LIMIT { 0.0 } else { 1.0 };
    let selection = LawSelection::new(FITTED_SIZE_LIMIT, &observations(&SIZES, zero_above_limit))
        .expect("enough sizes");
    assert_eq!(selection.selected().worst_error(), Some(f64::INFINITY));
}

#[test]
fn prediction_intervals_contain_noisy_measurements() {
    // Alternating errors of about 1% of the largest fitted cost.
    let noisy_cost = |n: f64| {
        50.0 + n
            + if (n / 100.0) as u32 % 4 == 2 {
                8.0
            } else {
                -8.0
            }
    };
    let selection = LawSelection::new(FITTED_SIZE_LIMIT, &observations(&SIZES, noisy_cost))
        .expect("enough sizes");
    let evaluation = selection.selected();
    assert_eq!(
        (evaluation.fit.law(), evaluation.verdict()),
        (Law::Linear, FitVerdict::Predicted)
    );
    assert!(
        evaluation
            .held_out
            .iter()
            .all(|held_out| held_out.is_in_interval() == Some(true))
    );
}
