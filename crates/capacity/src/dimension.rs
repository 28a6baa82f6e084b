//! The names of dimensions, and the size up to which laws are fitted.

use crate::result::Dimension;

/// The number of workers up to which laws are fitted; costs of larger fleets are predicted.
pub const MAX_FITTED_WORKERS: f64 = 800.0;

/// The minimum number of sizes to fit: a line through fewer leaves no residual to estimate its error from.
const MIN_FITTED_SIZES: usize = 3;

impl Dimension {
    /// The name on the page.
    pub fn title(self) -> &'static str {
        match self {
            Self::Workers => "workers",
            Self::Placers => "placers",
            Self::Tasks => "tasks running",
            Self::StartsPerSecond => "starts/s",
            Self::ListChangesPerSecond => "list changes/s",
            Self::ConfigChangesPerHour => "configuration changes/h",
            Self::Members => "members",
        }
    }

    /// The size up to which laws are fitted, given the distinct sizes in ascending order: [`MAX_FITTED_WORKERS`] if
    /// the largest fleet exceeds it, half of the largest size otherwise. If fewer than three sizes are within that
    /// limit, it is the second largest size.
    pub fn fit_limit(self, sizes: &[f64]) -> Option<f64> {
        let (&largest, smaller) = sizes.split_last()?;
        let limit = match self {
            Self::Workers if largest > MAX_FITTED_WORKERS => MAX_FITTED_WORKERS,
            _ => largest / 2.0,
        };
        let fitted = sizes.iter().filter(|&&size| size <= limit).count();
        if fitted >= MIN_FITTED_SIZES {
            Some(limit)
        } else {
            smaller.last().copied()
        }
    }
}
