//! The turns of idle hosts, evenly spaced in time. Turns that were missed during a stall are not made up for by a
//! burst.

use crate::{Micros, Settings};

const SECOND_US: Micros = 1_000_000;

/// Spaces the heartbeats to idle hosts.
#[derive(Debug)]
pub(crate) struct Pacer {
    settings: Settings,
    /// When the last turn was.
    last_turn: Option<Micros>,
}

impl Pacer {
    pub fn new(settings: Settings) -> Pacer {
        Pacer {
            settings,
            last_turn: None,
        }
    }

    /// The time between two turns among `idle` idle hosts. It follows from the rate, unless some hosts would then not
    /// get a turn within the longest interval: then it is shorter.
    fn spacing(&self, idle: usize) -> Micros {
        let by_rate = SECOND_US.div_ceil(u64::from(self.settings.max_idle_pings_per_s.max(1)));
        let cycle = self
            .settings
            .max_idle_interval
            .saturating_sub(self.settings.ping_interval);
        by_rate.min(cycle / idle.max(1) as u64)
    }

    /// The longest time from the last activity of one of `idle` idle hosts to its next turn. In the worst case all of
    /// them were active at the same time: after `ping_interval` the first one gets its turn, and the last one after all
    /// others.
    pub fn max_interval(&self, idle: usize) -> Micros {
        self.settings.ping_interval + self.spacing(idle) * idle as u64
    }

    /// When the next turn is, given the oldest last activity of an idle host.
    pub fn next_turn_at(&self, idle: usize, oldest_activity: Micros) -> Micros {
        let eligible = oldest_activity.saturating_add(self.settings.ping_interval);
        let spaced = self
            .last_turn
            .map_or(0, |last| last.saturating_add(self.spacing(idle)));
        eligible.max(spaced)
    }

    /// Records that the turn that was due at `turn` takes place now. A caller that is late by less than the spacing
    /// does not slow the turns down. One that is later than that has missed turns, which are not made up for.
    pub fn record_turn(&mut self, now: Micros, turn: Micros, idle: usize) {
        let missed = now.saturating_sub(turn) >= self.spacing(idle);
        self.last_turn = Some(if missed { now } else { turn });
    }
}
