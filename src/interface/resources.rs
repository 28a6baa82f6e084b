//! Cores and memory.

/// Cores and memory: a size, what is asked for, what is free, or shares of a size.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Resources {
    /// Cores.
    pub cores: f64,
    /// Memory, in any one unit.
    pub memory: f64,
}

impl Resources {
    /// So many cores and so much memory.
    pub const fn new(cores: f64, memory: f64) -> Resources {
        Resources { cores, memory }
    }

    /// Both, `times` times `other` added.
    pub fn add_scaled(self, other: Resources, times: f64) -> Resources {
        Resources::new(
            self.cores + times * other.cores,
            self.memory + times * other.memory,
        )
    }

    /// Both, multiplied one by one.
    pub fn scaled_by(self, by: Resources) -> Resources {
        Resources::new(self.cores * by.cores, self.memory * by.memory)
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
