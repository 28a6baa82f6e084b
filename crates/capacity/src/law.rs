//! Laws for a cost as a function of a size, as models that are linear in their coefficients.

/// A law for the cost at size n.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Law {
    /// a + b·n.
    Linear,
    /// a, independent of the size.
    Constant,
    /// a + b·n + c·n·ln n.
    LinearLogarithmic,
    /// a·n^b, fitted to logarithms.
    Power,
}

impl Law {
    /// All laws; the line is first, as it is preferred.
    pub const ALL: [Self; 4] = [
        Self::Linear,
        Self::Constant,
        Self::LinearLogarithmic,
        Self::Power,
    ];

    /// The law as a formula.
    pub fn formula(self) -> &'static str {
        match self {
            Self::Linear => "a + b·n",
            Self::Constant => "a",
            Self::LinearLogarithmic => "a + b·n + c·n·ln n",
            Self::Power => "a·n^b",
        }
    }

    /// The names of the coefficients in their order.
    pub fn coefficient_names(self) -> &'static [&'static str] {
        match self {
            Self::Linear => &["a", "b"],
            Self::Constant => &["a"],
            Self::LinearLogarithmic => &["a", "b", "c"],
            Self::Power => &["ln a", "b"],
        }
    }

    /// The minimum number of distinct sizes to fit the law to: two for a line or a constant. A curved law needs one
    /// more than its number of coefficients, as it would fit any fewer points exactly.
    pub fn min_sizes(self) -> usize {
        match self {
            Self::Linear | Self::Constant => 2,
            Self::LinearLogarithmic => 4,
            Self::Power => 3,
        }
    }

    /// The factors of the coefficients at a size; none if the law is undefined there.
    pub(crate) fn terms(self, size: f64) -> Option<Vec<f64>> {
        match self {
            Self::Linear => Some(vec![1.0, size]),
            Self::Constant => Some(vec![1.0]),
            Self::LinearLogarithmic if size > 0.0 => Some(vec![1.0, size, size * size.ln()]),
            Self::LinearLogarithmic => (size == 0.0).then(|| vec![1.0, 0.0, 0.0]),
            Self::Power => (size > 0.0).then(|| vec![1.0, size.ln()]),
        }
    }

    /// Converts a cost to the scale that the law is fitted on, which is logarithmic for the power law; none if the
    /// cost has no logarithm.
    pub(crate) fn to_fitted_scale(self, value: f64) -> Option<f64> {
        match self {
            Self::Linear | Self::Constant | Self::LinearLogarithmic => Some(value),
            Self::Power => (value > 0.0).then(|| value.ln()),
        }
    }

    /// Inverts [`Law::to_fitted_scale`].
    pub(crate) fn to_measured_scale(self, value: f64) -> f64 {
        match self {
            Self::Linear | Self::Constant | Self::LinearLogarithmic => value,
            Self::Power => value.exp(),
        }
    }
}
