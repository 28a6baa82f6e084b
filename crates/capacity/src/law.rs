//! Laws of a cost over a size, as linear models of their coefficients.

/// How a cost grows with the size n.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Law {
    /// a + b·n
    Linear,
    /// a, whatever the size
    Constant,
    /// a + b·n + c·n·ln n
    LinearLogarithmic,
    /// a·n^b, fitted to logarithms
    Power,
}

impl Law {
    /// Every law, the line first.
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

    /// The names of the coefficients, in their order.
    pub fn coefficient_names(self) -> &'static [&'static str] {
        match self {
            Self::Linear => &["a", "b"],
            Self::Constant => &["a"],
            Self::LinearLogarithmic => &["a", "b", "c"],
            Self::Power => &["ln a", "b"],
        }
    }

    /// The fewest different sizes to fit the law to. Two make a line or a constant; a law that bends needs one more than it has
    /// coefficients, or it would pass through any points.
    pub fn min_sizes(self) -> usize {
        match self {
            Self::Linear | Self::Constant => 2,
            Self::LinearLogarithmic => 4,
            Self::Power => 3,
        }
    }

    /// What each coefficient is multiplied by at a size; nothing where the law is not defined.
    pub(crate) fn terms(self, size: f64) -> Option<Vec<f64>> {
        match self {
            Self::Linear => Some(vec![1.0, size]),
            Self::Constant => Some(vec![1.0]),
            Self::LinearLogarithmic if size > 0.0 => Some(vec![1.0, size, size * size.ln()]),
            Self::LinearLogarithmic => (size == 0.0).then(|| vec![1.0, 0.0, 0.0]),
            Self::Power => (size > 0.0).then(|| vec![1.0, size.ln()]),
        }
    }

    /// The scale that a law is fitted on: logarithms for the power law, which has none of a cost of 0.
    pub(crate) fn to_fitted_scale(self, value: f64) -> Option<f64> {
        match self {
            Self::Linear | Self::Constant | Self::LinearLogarithmic => Some(value),
            Self::Power => (value > 0.0).then(|| value.ln()),
        }
    }

    /// Back from [`Law::to_fitted_scale`].
    pub(crate) fn to_measured_scale(self, value: f64) -> f64 {
        match self {
            Self::Linear | Self::Constant | Self::LinearLogarithmic => value,
            Self::Power => value.exp(),
        }
    }
}
