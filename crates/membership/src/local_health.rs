//! The local member's own health, which slows down its judgement of others (local health multiplier of Lifeguard).

/// The worst score.
const MAX_HEALTH_SCORE: u32 = 8;
/// A pause of the process counts for as much as two suspicions.
const PAUSE_PENALTY: u32 = 2;

/// How much the local member doubts itself: 0 is healthy, higher is worse.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LocalHealth {
    score: u32,
}

impl LocalHealth {
    pub(crate) fn score(self) -> u32 {
        self.score
    }

    /// Another member was probed: the score falls by one.
    pub(crate) fn record_probe(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// Somebody suspects the local member.
    pub(crate) fn record_suspicion(&mut self) {
        self.score = (self.score + 1).min(MAX_HEALTH_SCORE);
    }

    /// The process was paused.
    pub(crate) fn record_pause(&mut self) {
        self.score = (self.score + PAUSE_PENALTY).min(MAX_HEALTH_SCORE);
    }

    /// By what factor probes and suspicions of others take longer.
    pub(crate) fn delay_factor(self) -> u32 {
        1 + self.score
    }
}
