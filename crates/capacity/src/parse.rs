//! Reading results from text: what is wrong is told with file and place.

use std::collections::BTreeSet;

use serde::Deserialize;
use thiserror::Error;

use crate::result::{Phase, Point, RESULT_FORMAT, SweepResult};

/// The shortest phase, s.
const MIN_SECONDS: f64 = 0.001;

/// No rate, length or processor time is larger.
const MAX_MEASURE: f64 = 1e9;

/// Why a text is no result.
#[derive(Debug, Error)]
pub enum ResultError {
    /// Not JSON, or not of the format.
    #[error("{file}: line {}, column {}: {source}", source.line(), source.column())]
    Json {
        /// The file.
        file: String,
        /// What the parser found, with its place.
        source: serde_json::Error,
    },
    /// Written in a format that this program does not know.
    #[error("{file}: format {found} is unknown; this program reads format {RESULT_FORMAT}")]
    Format {
        /// The file.
        file: String,
        /// The version that the file names.
        found: u32,
    },
    /// The sweep has another name than its file.
    #[error("{file}: holds the sweep `{sweep}`; its file has to be named {sweep}.json")]
    Name {
        /// The file.
        file: String,
        /// The name in the file.
        sweep: String,
    },
    /// A value that cannot be.
    #[error("{file}: points[{point}]: {problem}")]
    Point {
        /// The file.
        file: String,
        /// The position of the point, from 0.
        point: usize,
        /// What is wrong with it.
        problem: PointProblem,
    },
}

/// What is wrong with a point.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PointProblem {
    /// A phase without a length.
    #[error("phase {}: seconds has to be a number from {MIN_SECONDS} to {MAX_MEASURE}", .0.key())]
    Seconds(Phase),
    /// Processor time that cannot be.
    #[error("phase {}: cpu_cores has to be a number from 0 to {MAX_MEASURE}", .0.key())]
    Cpu(Phase),
    /// A phase that is there twice.
    #[error("phase {} is there twice", .0.key())]
    RepeatedPhase(Phase),
    /// A size that cannot be.
    #[error("settings: rates have to be numbers from 0 to {MAX_MEASURE}")]
    Rate,
}

/// Only the version, so that another format is told as such and not as an unknown key.
#[derive(Deserialize)]
struct Versioned {
    format: u32,
}

/// Reads the result of a sweep. `file` names the text in errors; its stem has to be the name of the sweep.
pub fn parse_result(file: &str, text: &str) -> Result<SweepResult, ResultError> {
    let json_error = |source| ResultError::Json {
        file: file.to_owned(),
        source,
    };
    let Versioned { format } = serde_json::from_str(text).map_err(json_error)?;
    if format != RESULT_FORMAT {
        return Err(ResultError::Format {
            file: file.to_owned(),
            found: format,
        });
    }
    let result: SweepResult = serde_json::from_str(text).map_err(json_error)?;
    check_name(file, &result)?;
    for (point, checked) in result.points.iter().enumerate() {
        check_point(checked).map_err(|problem| ResultError::Point {
            file: file.to_owned(),
            point,
            problem,
        })?;
    }
    Ok(result)
}

fn check_name(file: &str, result: &SweepResult) -> Result<(), ResultError> {
    let name = file.rsplit('/').next().unwrap_or(file);
    if name.strip_suffix(".json") == Some(result.sweep.as_str()) {
        return Ok(());
    }
    Err(ResultError::Name {
        file: file.to_owned(),
        sweep: result.sweep.clone(),
    })
}

fn check_point(point: &Point) -> Result<(), PointProblem> {
    let settings = &point.settings;
    let rates = [
        settings.starts_per_second,
        settings.list_changes_per_second,
        settings.config_changes_per_hour,
    ];
    if !rates.into_iter().all(is_measure) {
        return Err(PointProblem::Rate);
    }
    let mut seen = BTreeSet::new();
    for sample in &point.phases {
        if !seen.insert(sample.phase) {
            return Err(PointProblem::RepeatedPhase(sample.phase));
        }
        if !is_measure(sample.seconds) || sample.seconds < MIN_SECONDS {
            return Err(PointProblem::Seconds(sample.phase));
        }
        if !sample
            .placers
            .iter()
            .all(|placer| is_measure(placer.cpu_cores))
        {
            return Err(PointProblem::Cpu(sample.phase));
        }
    }
    Ok(())
}

fn is_measure(value: f64) -> bool {
    (0.0..=MAX_MEASURE).contains(&value)
}
