//! Cores and memory.

/// Cores and memory: a size, what is requested, what is free, or shares of a size.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Resources {
    /// Cores.
    pub cores: f64,
    /// Memory, in any one unit.
    pub memory: f64,
}

impl Resources {
    /// This many cores and this much memory.
    pub const fn new(cores: f64, memory: f64) -> Resources {
        Resources { cores, memory }
    }

    /// Adds `factor` times `other`.
    pub fn add_scaled(self, other: Resources, factor: f64) -> Resources {
        Resources::new(
            self.cores + factor * other.cores,
            self.memory + factor * other.memory,
        )
    }

    /// Multiplies cores by cores and memory by memory.
    pub fn scaled_by(self, factors: Resources) -> Resources {
        Resources::new(self.cores * factors.cores, self.memory * factors.memory)
    }

    /// Both as shares of `size`.
    pub fn as_share_of(self, size: Resources) -> Resources {
        Resources::new(self.cores / size.cores, self.memory / size.memory)
    }

    /// The larger of both, and no less than 0.
    pub fn dominant_share(self) -> f64 {
        self.cores.max(self.memory).max(0.0)
    }
}
