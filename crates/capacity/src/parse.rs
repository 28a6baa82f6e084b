//! Parses results from text; errors name the file and the position.

use std::collections::BTreeSet;

use serde::Deserialize;
use thiserror::Error;

use crate::result::{Phase, RESULT_FORMAT, SweepPoint, SweepResult};

/// The minimum length of a phase.
const MIN_SECONDS: f64 = 0.001;

/// The maximum of rates, lengths and processor times.
const MAX_VALUE: f64 = 1e9;

/// Why a text is not a valid result.
#[derive(Debug, Error)]
pub enum ResultError {
    /// The text is not valid JSON, or does not have the structure of a result.
    #[error("{file}: line {}, column {}: {source}", source.line(), source.column())]
    Json {
        /// The file.
        file: String,
        /// The parser's error, with its position.
        source: serde_json::Error,
    },
    /// The result has an unsupported format version.
    #[error(
        "{file}: unsupported format version {found}; this program reads version {RESULT_FORMAT}"
    )]
    Format {
        /// The file.
        file: String,
        /// The version in the file.
        found: u32,
    },
    /// The name of the sweep differs from the name of the file.
    #[error("{file}: contains the sweep `{sweep}`; the file must be named {sweep}.json")]
    Name {
        /// The file.
        file: String,
        /// The name of the sweep in the file.
        sweep: String,
    },
    /// A point contains an invalid value.
    #[error("{file}: points[{point}]: {problem}")]
    Point {
        /// The file.
        file: String,
        /// The index of the point, from 0.
        point: usize,
        /// Why the point is invalid.
        problem: PointProblem,
    },
}

/// Why a point is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PointProblem {
    /// The length of a phase is out of range.
    #[error("phase {}: seconds must be a number from {MIN_SECONDS} to {MAX_VALUE}", .0.key())]
    Seconds(Phase),
    /// A processor time is out of range.
    #[error("phase {}: cpu_cores must be a number from 0 to {MAX_VALUE}", .0.key())]
    Cpu(Phase),
    /// A phase occurs twice.
    #[error("phase {} occurs twice", .0.key())]
    RepeatedPhase(Phase),
    /// A rate in the settings is out of range.
    #[error("settings: rates must be numbers from 0 to {MAX_VALUE}")]
    Rate,
}

/// The version only. It is parsed first, so that another version is reported as such and not as an unknown key.
#[derive(Deserialize)]
struct FormatVersion {
    format: u32,
}

/// Parses the result of a sweep. `file` names the text in errors; its stem must be the name of the sweep.
///
/// # Errors
///
/// The text is not a valid result, has an unsupported format version, or belongs to a file of another name.
pub fn parse_result(file: &str, text: &str) -> Result<SweepResult, ResultError> {
    let json_error = |source| ResultError::Json {
        file: file.to_owned(),
        source,
    };
    let FormatVersion { format } = serde_json::from_str(text).map_err(json_error)?;
    if format != RESULT_FORMAT {
        return Err(ResultError::Format {
            file: file.to_owned(),
            found: format,
        });
    }
    let result: SweepResult = serde_json::from_str(text).map_err(json_error)?;
    check_name(file, &result)?;
    for (point, point_value) in result.points.iter().enumerate() {
        check_point(point_value).map_err(|problem| ResultError::Point {
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

fn check_point(point: &SweepPoint) -> Result<(), PointProblem> {
    let settings = &point.settings;
    let rates = [
        settings.starts_per_second,
        settings.list_changes_per_second,
        settings.config_changes_per_hour,
    ];
    if !rates.into_iter().all(is_valid_value) {
        return Err(PointProblem::Rate);
    }
    let mut seen_phases = BTreeSet::new();
    for sample in &point.phases {
        if !seen_phases.insert(sample.phase) {
            return Err(PointProblem::RepeatedPhase(sample.phase));
        }
        if !is_valid_value(sample.seconds) || sample.seconds < MIN_SECONDS {
            return Err(PointProblem::Seconds(sample.phase));
        }
        if !sample
            .placers
            .iter()
            .all(|placer| is_valid_value(placer.cpu_cores))
        {
            return Err(PointProblem::Cpu(sample.phase));
        }
    }
    Ok(())
}

fn is_valid_value(value: f64) -> bool {
    (0.0..=MAX_VALUE).contains(&value)
}
