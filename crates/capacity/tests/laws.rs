//! Laws, their intervals, and what is believed of them.

mod support;

use maplethread_capacity::{Fit, FitError, FitVerdict, Interval, Law, Observation, Study};
use support::{SIZES, observations};

const LIMIT: f64 = 800.0;

fn is_close(found: f64, expected: f64) -> bool {
    (found - expected).abs() <= 1e-6 * expected.abs().max(1.0)
}

#[test]
fn predicts_held_out_sizes_of_a_perfect_line() {
    let study = Study::new(LIMIT, &observations(&SIZES, |n| 7.0 + 0.25 * n)).expect("enough sizes");
    let trial = study.chosen();
    assert_eq!(trial.fit.law(), Law::Linear);
    assert_eq!(trial.verdict(), FitVerdict::Predicted);
    let coefficients = trial.fit.coefficients();
    assert!(
        is_close(coefficients[0].value, 7.0) && is_close(coefficients[1].value, 0.25),
        "{coefficients:?}"
    );
    assert!(trial.fit.residual_root_mean_square() < 1e-9);
    assert_eq!(trial.held_out.len(), 2);
    for held_out in &trial.held_out {
        assert!(is_close(held_out.predicted.value, held_out.measured.value));
        assert_eq!(held_out.is_in_interval(), Some(true));
        assert!(held_out.relative_error().abs() < 1e-9);
    }
}

#[test]
fn chooses_n_log_n_law_when_the_line_misses() {
    let cost = |n: f64| 5.0 - 2.0 * n + 0.9 * n * n.ln();
    let study = Study::new(LIMIT, &observations(&SIZES, cost)).expect("enough sizes");
    assert_eq!(study.line().expect("a line").verdict(), FitVerdict::Missed);
    let trial = study.chosen();
    assert_eq!(trial.fit.law(), Law::LinearLogarithmic);
    assert_eq!(trial.verdict(), FitVerdict::Predicted);
    let found: Vec<f64> = trial.fit.coefficients().iter().map(|c| c.value).collect();
    assert!(
        is_close(found[0], 5.0) && is_close(found[1], -2.0) && is_close(found[2], 0.9),
        "{found:?}"
    );
}

#[test]
fn chooses_power_law_for_quadratic_cost() {
    let study = Study::new(LIMIT, &observations(&SIZES, |n| 0.01 * n * n)).expect("enough sizes");
    let trial = study.chosen();
    assert_eq!(trial.fit.law(), Law::Power);
    let coefficients = trial.fit.coefficients();
    assert!(is_close(coefficients[0].value, 0.01_f64.ln()) && is_close(coefficients[1].value, 2.0));
}

#[test]
fn chooses_constant_law_when_noise_tilts_the_line() {
    let costs = [100.0, 101.0, 102.0, 104.0, 104.0, 101.0, 102.0];
    let measure = |(&size, value): (&u32, f64)| Observation {
        size: f64::from(size),
        value,
    };
    let measured: Vec<Observation> = SIZES.iter().zip(costs).map(measure).collect();
    let study = Study::new(LIMIT, &measured).expect("enough sizes");
    assert_eq!(study.line().expect("a line").verdict(), FitVerdict::Missed);
    let trial = study.chosen();
    assert_eq!(
        (trial.fit.law(), trial.verdict()),
        (Law::Constant, FitVerdict::Predicted)
    );
    assert!(is_close(trial.fit.value(5_000.0), 102.2));
}

#[test]
fn no_law_predicts_a_step_above_the_fitted_sizes() {
    let step = |n: f64| if n > 1_000.0 { 5_000.0 + n } else { 100.0 + n };
    let study = Study::new(LIMIT, &observations(&SIZES, step)).expect("enough sizes");
    assert!(
        study
            .trials()
            .iter()
            .all(|trial| trial.verdict() == FitVerdict::Missed)
    );
    let trial = study.chosen();
    assert!(
        trial
            .held_out
            .iter()
            .all(|h| h.is_in_interval() == Some(false))
    );
    let error = trial.worst_error().expect("held out");
    assert!(
        study
            .trials()
            .iter()
            .all(|other| other.worst_error() >= Some(error))
    );
}

#[test]
fn reports_relative_error_of_a_missed_size() {
    let mut measured = observations(&SIZES, |n| 10.0 + n);
    measured[5].value *= 0.5;
    let study = Study::new(LIMIT, &measured).expect("enough sizes");
    let line = study.line().expect("a line");
    assert_eq!(line.verdict(), FitVerdict::Missed);
    assert!(
        is_close(line.held_out[0].relative_error(), 1.0),
        "twice the measured cost was foretold"
    );
    assert_eq!(line.held_out[0].is_in_interval(), Some(false));
    assert_eq!(line.held_out[1].is_in_interval(), Some(true));
}

#[test]
fn intervals_match_the_textbook_formula() {
    // y = 1 + 2x with residuals 0.1, -0.2, 0.1 of orthogonal shape: the slope stays 2.
    let points = [(1.0, 3.1), (2.0, 4.8), (3.0, 7.1)];
    let measured = points.map(|(size, value)| Observation { size, value });
    let fit = Fit::new(Law::Linear, &measured).expect("a fit");
    let slope = fit.coefficients()[1];
    // s² = 0.06 / 1, Sxx = 2, Student's t for one degree of freedom at 97.5%.
    let t = 12.706_204_736_432_1;
    let deviation = 0.06_f64.sqrt();
    let Interval { low, high } = slope.interval.expect("an error");
    let half = t * deviation / 2.0_f64.sqrt();
    assert!(
        is_close(slope.value, 2.0) && is_close(low, 2.0 - half) && is_close(high, 2.0 + half),
        "{low} {high}"
    );
    let prediction = fit.predict(5.0).expect("defined");
    let Interval { low, high } = prediction.interval.expect("an error");
    let half = t * deviation * (1.0 + 1.0 / 3.0 + 9.0 / 2.0_f64).sqrt();
    assert!(
        is_close(prediction.value, 11.0)
            && is_close(low, 11.0 - half)
            && is_close(high, 11.0 + half)
    );
}

#[test]
fn fits_a_line_without_interval_to_two_sizes() {
    let fit = Fit::new(Law::Linear, &observations(&[1, 3], |n| n)).expect("a fit");
    assert!(fit.coefficients().iter().all(|c| c.interval.is_none()));
    assert_eq!(fit.predict(5.0).expect("defined").interval, None);
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
    assert!(Study::new(LIMIT, &one_size).is_none());
    let zero = observations(&[1, 2, 3], |n| n - 1.0);
    assert_eq!(
        Fit::new(Law::Power, &zero).expect_err("a cost of 0"),
        FitError::Undefined
    );
    let huge = observations(&[1, 2], |_| 1.0).map_sizes(|size| 1e15 + size);
    assert_eq!(
        Fit::new(Law::Linear, &huge).expect_err("no difference"),
        FitError::Degenerate
    );
}

/// Observations at other sizes.
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
    let study = Study::new(LIMIT, &observations(&SIZES, |_| 0.0)).expect("enough sizes");
    assert_eq!(study.chosen().worst_error(), Some(0.0));
    let appears = |n: f64| if n > LIMIT { 0.0 } else { 1.0 };
    let study = Study::new(LIMIT, &observations(&SIZES, appears)).expect("enough sizes");
    assert_eq!(study.chosen().worst_error(), Some(f64::INFINITY));
}

#[test]
fn interval_covers_the_noise() {
    // Alternating errors of 1% of the largest fitted cost.
    let noisy = |n: f64| {
        50.0 + n
            + if (n / 100.0) as u32 % 4 == 2 {
                8.0
            } else {
                -8.0
            }
    };
    let study = Study::new(LIMIT, &observations(&SIZES, noisy)).expect("enough sizes");
    let trial = study.chosen();
    assert_eq!(
        (trial.fit.law(), trial.verdict()),
        (Law::Linear, FitVerdict::Predicted)
    );
    assert!(
        trial
            .held_out
            .iter()
            .all(|h| h.is_in_interval() == Some(true))
    );
}
