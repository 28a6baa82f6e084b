//! The names of dimensions, and up to which size a law is fitted.

use crate::result::Dimension;

/// Workers up to which laws are fitted; larger fleets are foretold.
pub const MAX_FITTED_WORKERS: f64 = 800.0;

/// The fewest sizes that leave a line an error to be estimated from.
const MIN_FITTED_SIZES: usize = 3;

impl Dimension {
    /// What the sizes count, for readers.
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

    /// The size up to which laws are fitted, of sizes in rising order without repeats: 800 workers, otherwise and in
    /// smaller fleets half of the largest. Where that leaves fewer than three sizes, all but the largest are fitted.
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
