//! The turns of idle hosts: evenly spaced in time; missed turns are not made up for by a burst.

use crate::{Micros, Settings};

const SECOND: Micros = 1_000_000;

/// Spaces the heartbeats to idle hosts.
#[derive(Debug)]
pub(crate) struct Pacer {
    settings: Settings,
    /// The last turn that was given.
    last_turn: Option<Micros>,
}

impl Pacer {
    pub fn new(settings: Settings) -> Pacer {
        Pacer {
            settings,
            last_turn: None,
        }
    }

    /// The time between two turns among `idle` idle hosts: as the rate allows, or less where all of them could not have
    /// one within the longest interval otherwise.
    fn gap(&self, idle: usize) -> Micros {
        let by_rate = SECOND.div_ceil(u64::from(self.settings.max_idle_pings_per_s.max(1)));
        let round = self
            .settings
            .max_idle_interval
            .saturating_sub(self.settings.ping_interval);
        by_rate.min(round / idle.max(1) as u64)
    }

    /// The longest time from the last sign of life of one of `idle` idle hosts to its next turn. All of them may have
    /// given one at once: after `ping_interval` the first one has its turn, and after all others the last one.
    pub fn max_interval(&self, idle: usize) -> Micros {
        self.settings.ping_interval + self.gap(idle) * idle as u64
    }

    /// When the next turn comes, given the oldest last sign of life of an idle host.
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
