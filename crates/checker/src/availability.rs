//! Times at which placers were down or paused, or the inventory was unreadable. They determine which information cannot
//! have reached a placer, and which requests it cannot have answered.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::history::{HistoryEntry, Observation};

/// A time span, µs; `until` is [`u64::MAX`] if it has no end yet.
#[derive(Clone, Copy)]
struct Span {
    from: u64,
    until: u64,
}

impl Span {
    fn contains(&self, at: u64) -> bool {
        self.from <= at && at < self.until
    }
}

/// Time spans in order; the last one may have no end yet.
#[derive(Default)]
struct Spans(Vec<Span>);

impl Spans {
    fn begin(&mut self, at: u64) {
        if self.0.last().is_none_or(|span| span.until != u64::MAX) {
            self.0.push(Span {
                from: at,
                until: u64::MAX,
            });
        }
    }

    fn end(&mut self, at: u64) {
        if let Some(span) = self.0.last_mut().filter(|span| span.until == u64::MAX) {
            span.until = at;
        }
    }
}

/// Time spans in which one placer was not running.
#[derive(Default)]
struct Downtime {
    /// From the end of a process until the next one serves requests.
    down: Spans,
    /// From a pause of the process until it is resumed.
    paused: Spans,
}

/// The downtimes of all placers and of the inventory over a whole history.
pub(crate) struct Availability {
    placers: BTreeMap<Arc<str>, Downtime>,
    unreadable_inventory: Spans,
}

impl From<&[HistoryEntry]> for Availability {
    fn from(history: &[HistoryEntry]) -> Availability {
        let mut placers: BTreeMap<Arc<str>, Downtime> = BTreeMap::new();
        let mut unreadable_inventory = Spans::default();
        for entry in history {
            let at = entry.at_us;
            match &entry.observation {
                Observation::PlacerStopped { placer } => {
                    placers.entry(placer.clone()).or_default().down.begin(at);
                }
                Observation::PlacerStarted { placer } => {
                    placers.entry(placer.clone()).or_default().down.end(at);
                }
                Observation::PlacerPaused { placer } => {
                    placers.entry(placer.clone()).or_default().paused.begin(at);
                }
                Observation::PlacerResumed { placer } => {
                    placers.entry(placer.clone()).or_default().paused.end(at);
                }
                Observation::InventoryUnreadable => unreadable_inventory.begin(at),
                Observation::InventoryReplaced { .. } => unreadable_inventory.end(at),
                _ => {}
            }
        }
        Availability {
            placers,
            unreadable_inventory,
        }
    }
}

impl Availability {
    /// When information that was sent to a placer at the time `at` reached it: at once, or when its downtime ended.
    pub(crate) fn reached_placer_at(&self, placer: &str, at: u64) -> u64 {
        let Some(downtime) = self.placers.get(placer) else {
            return at;
        };
        let mut spans = downtime.down.0.iter().chain(&downtime.paused.0);
        spans
            .find(|span| span.contains(at))
            .map_or(at, |span| span.until)
    }

    /// When an inventory that was published at the time `at` reached a placer, which may have been down, or may have
    /// had too little time to read the file before it became unreadable.
    pub(crate) fn inventory_reached_placer_at(&self, placer: &str, at: u64, slack: u64) -> u64 {
        let mut published = at;
        loop {
            let reached = self.reached_placer_at(placer, published);
            // A running placer reads the file within the slack.
            let read_by = if reached == published {
                reached + slack
            } else {
                reached
            };
            let unreadable = self
                .unreadable_inventory
                .0
                .iter()
                .find(|span| span.from <= read_by && reached < span.until);
            let next = unreadable.map_or(reached, |span| span.until);
            if next == published || next == u64::MAX {
                return next;
            }
            published = next;
        }
    }

    /// Whether a placer could not have answered a request: the process to which it was sent ended before the deadline,
    /// or was paused at the deadline or resumed less than `resume_grace` before it.
    pub(crate) fn could_not_answer(
        &self,
        placer: &str,
        requested_at: u64,
        deadline: u64,
        slack: u64,
        resume_grace: u64,
    ) -> bool {
        let Some(downtime) = self.placers.get(placer) else {
            return false;
        };
        let was_down =
            downtime.down.0.iter().any(|span| {
                span.from <= deadline && span.until.saturating_add(slack) >= requested_at
            });
        let was_paused_at_deadline = |span: &Span| {
            span.from <= deadline
                && span.until.saturating_add(resume_grace) > deadline
                && span.until >= requested_at
        };
        was_down || downtime.paused.0.iter().any(was_paused_at_deadline)
    }
}
