//! Cores and memory.

/// Cores and memory: the size of a machine, a request, unallocated resources, or shares of a size.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Resources {
    /// Cores.
    pub cores: f64,
    /// Memory, in any unit that all settings and events share.
    pub memory: f64,
}

impl Resources {
    /// Creates a value from both quantities.
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

    /// Multiplies cores and memory by the factor for each.
    pub fn scaled_by(self, factors: Resources) -> Resources {
        Resources::new(self.cores * factors.cores, self.memory * factors.memory)
    }

    /// Cores and memory as shares of `size`.
    pub fn as_share_of(self, size: Resources) -> Resources {
        Resources::new(self.cores / size.cores, self.memory / size.memory)
    }

    /// The larger of the two shares, and at least 0.
    pub fn dominant_share(self) -> f64 {
        self.cores.max(self.memory).max(0.0)
    }
}
