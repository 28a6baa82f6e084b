//! Rule 1: every ask that a running placer took gets exactly one final answer before its deadline.

use std::collections::BTreeMap;

use crate::judge::{Judge, Name};
use crate::record::{HistoryEntry, Observation, Observer, Outcome};

/// Times in which a placer was away.
#[derive(Default)]
pub(crate) struct Absences {
    /// Down: from its death until its next life serves.
    down: Vec<(u64, u64)>,
    /// Standing still.
    paused: Vec<(u64, u64)>,
}

/// When each placer was away.
pub(crate) fn absences(records: &[HistoryEntry]) -> BTreeMap<Name, Absences> {
    let mut all: BTreeMap<Name, Absences> = BTreeMap::new();
    let open = |spans: &mut Vec<(u64, u64)>, at| {
        if spans.last().is_none_or(|s| s.1 != u64::MAX) {
            spans.push((at, u64::MAX));
        }
    };
    let shut = |spans: &mut Vec<(u64, u64)>, at| {
        if let Some(span) = spans.last_mut().filter(|s| s.1 == u64::MAX) {
            span.1 = at;
        }
    };
    for record in records {
        match &record.observation {
            Observation::PlacerDown { placer } => open(
                &mut all.entry(placer.clone()).or_default().down,
                record.at_us,
            ),
            Observation::PlacerUp { placer } => shut(
                &mut all.entry(placer.clone()).or_default().down,
                record.at_us,
            ),
            Observation::PlacerPaused { placer } => {
                open(
                    &mut all.entry(placer.clone()).or_default().paused,
                    record.at_us,
                );
            }
            Observation::PlacerGoesOn { placer } => {
                shut(
                    &mut all.entry(placer.clone()).or_default().paused,
                    record.at_us,
                );
            }
            _ => {}
        }
    }
    all
}

/// Times in which the inventory could not be read.
pub(crate) fn unreadable(records: &[HistoryEntry]) -> Vec<(u64, u64)> {
    let mut spans: Vec<(u64, u64)> = Vec::new();
    for record in records {
        let open = spans.last_mut().filter(|s| s.1 == u64::MAX);
        match (&record.observation, open) {
            (Observation::InventoryUnreadable, None) => spans.push((record.at_us, u64::MAX)),
            (Observation::Inventory { .. }, Some(span)) => span.1 = record.at_us,
            _ => {}
        }
    }
    spans
}

impl Judge<'_> {
    /// When news of the inventory can have reached a placer that was away, or that had no time to read it before the
    /// file became unreadable.
    pub(crate) fn inventory_reached(&self, placer: &Name, at: u64) -> u64 {
        let mut told = at;
        loop {
            let here = self.reached(placer, told);
            // One that is there reads it within the slack.
            let late = if here == told {
                here + self.figures.slack
            } else {
                here
            };
            let span = self
                .unreadable
                .iter()
                .find(|&&(a, b)| a <= late && here < b);
            let next = span.map_or(here, |s| s.1);
            if next == told || next == u64::MAX {
                return next;
            }
            told = next;
        }
    }

    /// Whether an ask could not be answered: the life that it was asked of was dead, or died, before the deadline; or
    /// it stood still at the deadline, or went on too short a time before it.
    fn could_not(&self, placer: &Name, asked: u64, deadline: u64) -> bool {
        let (slack, reprieve) = (self.figures.slack, self.figures.reprieve);
        let Some(away) = self.absences.get(placer) else {
            return false;
        };
        let died = away
            .down
            .iter()
            .any(|&(a, b)| a <= deadline && b.saturating_add(slack) >= asked);
        let still = |&(a, b): &(u64, u64)| {
            a <= deadline && b.saturating_add(reprieve) > deadline && b >= asked
        };
        died || away.paused.iter().any(still)
    }

    /// When news of time `at` can have reached a placer that was away.
    pub(crate) fn reached(&self, placer: &Name, at: u64) -> u64 {
        let Some(away) = self.absences.get(placer) else {
            return at;
        };
        let mut spans = away.down.iter().chain(&away.paused);
        spans
            .find(|&&(a, b)| a <= at && at < b)
            .map_or(at, |&(_, b)| b)
    }

    pub(crate) fn answered(&mut self, request: &Name, outcome: &Outcome) {
        let (at, number) = (self.at, self.number);
        let arrived = self.earliest_arrival(Observer::Clients);
        let Some(ask) = self.asks.get_mut(request) else {
            return;
        };
        match outcome {
            Outcome::Placed(_) => self.verdict.placed += 1,
            Outcome::Rejected(reason) => {
                self.verdict.rejected += 1;
                *self.verdict.refused_by.entry(reason.clone()).or_default() += 1;
            }
            Outcome::Failed => self.verdict.failed += 1,
            Outcome::Turned(_) => self.verdict.not_accepted += 1,
        }
        let (shown, deadline, asked, placer) =
            (ask.shown, ask.deadline, ask.at, ask.placer.clone());
        match &ask.answer {
            None => ask.answer = Some((at, outcome.clone(), number)),
            Some((_, _, first)) => {
                let shown_by = vec![shown, *first, number];
                self.broken(1, format!("ask {request} was answered twice"), shown_by);
                return;
            }
        }
        // Turned away after a time in which it could not be answered: it was never taken, and its client is told so.
        let never_taken =
            matches!(outcome, Outcome::Turned(_)) && self.could_not(&placer, asked, deadline);
        if arrived > deadline && !never_taken {
            let late = (at - deadline) / 1000;
            self.broken(
                1,
                format!("ask {request} was answered {late} ms after its deadline"),
                vec![shown, number],
            );
        }
        if let Outcome::Rejected(_) = outcome {
            self.refused(request);
        }
    }

    pub(crate) fn close(&mut self, end: u64) {
        let slack = self.figures.slack;
        for (request, ask) in std::mem::take(&mut self.asks) {
            if ask.answer.is_some() {
                continue;
            }
            let until = ask.hung_up.unwrap_or(ask.deadline).min(ask.deadline);
            let could_not = self.could_not(&ask.placer, ask.at, ask.deadline);
            let gave_up = ask.hung_up.is_some_and(|h| h + slack < ask.deadline);
            if could_not || (gave_up && ask.cut.is_none_or(|c| c >= until)) || end < ask.deadline {
                self.verdict.excused += 1;
                continue;
            }
            self.verdict.unanswered += 1;
            self.at = ask.deadline;
            let what = format!("ask {request} to {} has no answer", ask.placer);
            self.broken(1, what, vec![ask.shown]);
        }
    }
}
