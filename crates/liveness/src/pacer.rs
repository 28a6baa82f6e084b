//! The turns of idle hosts: evenly spaced in time, never made up for in a burst.

use crate::{Micros, Settings};

const SECOND: Micros = 1_000_000;

/// Spaces the heartbeats to idle hosts.
#[derive(Debug)]
pub(crate) struct Pacer {
    settings: Settings,
    /// The turn that was given last.
    last_turn: Option<Micros>,
}

impl Pacer {
    pub fn new(settings: Settings) -> Pacer {
        Pacer {
            settings,
            last_turn: None,
        }
    }

    /// Between two turns, of whichever of so many idle hosts: as the rate allows, or less where it takes less for all
    /// of them to have one within the longest interval.
    fn gap(&self, idle: usize) -> Micros {
        let by_rate = SECOND.div_ceil(u64::from(self.settings.max_idle_pings_per_s.max(1)));
        let round = self
            .settings
            .max_idle_interval
            .saturating_sub(self.settings.ping_interval);
        by_rate.min(round / idle.max(1) as u64)
    }

    /// From the last sign of life of one of so many idle hosts to its next turn, at most. All of them may have been
    /// heard in one instant: after `ping_every` the first one has its turn, and after all others the last one.
    pub fn max_interval(&self, idle: usize) -> Micros {
        self.settings.ping_interval + self.gap(idle) * idle as u64
    }

    /// When the next turn comes, with the last sign of life of the idle host that was heard longest ago.
    pub fn next_turn_at(&self, idle: usize, oldest_sign: Micros) -> Micros {
        let eligible = oldest_sign.saturating_add(self.settings.ping_interval);
        let spaced = self
            .last_turn
            .map_or(0, |last| last.saturating_add(self.gap(idle)));
        eligible.max(spaced)
    }

    /// The turn that was due at `turn` is given now. A caller that is late by less than a gap does not slow the turns
    /// down; one that is later has missed some, and they are not made up for.
    pub fn record_turn(&mut self, now: Micros, turn: Micros, idle: usize) {
        let missed = now.saturating_sub(turn) >= self.gap(idle);
        self.last_turn = Some(if missed { now } else { turn });
    }
}
