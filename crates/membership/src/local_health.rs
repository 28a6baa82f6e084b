//! The local health of a member (Lifeguard's local health multiplier), which delays probes and suspicions.

/// The maximum score, which is the worst.
const MAX_HEALTH_SCORE: u32 = 8;
/// How much a pause of the process adds to the score: as much as two suspicions by other members.
const PAUSE_PENALTY: u32 = 2;

/// The local health score: 0 is healthy, higher is worse.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LocalHealth {
    score: u32,
}

impl LocalHealth {
    pub(crate) fn score(self) -> u32 {
        self.score
    }

    /// Records a probe of another member, which decreases the score.
    pub(crate) fn record_probe(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// Records that another member suspects the local one.
    pub(crate) fn record_suspicion(&mut self) {
        self.score = (self.score + 1).min(MAX_HEALTH_SCORE);
    }

    /// Records a pause of the process.
    pub(crate) fn record_pause(&mut self) {
        self.score = (self.score + PAUSE_PENALTY).min(MAX_HEALTH_SCORE);
    }

    /// The factor by which timers for probes and suspicions are multiplied.
    pub(crate) fn delay_factor(self) -> u32 {
        1 + self.score
    }
}
