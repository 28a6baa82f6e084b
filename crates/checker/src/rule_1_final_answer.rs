//! Rule 1: every ask that a running placer took gets exactly one final answer before its deadline.

use std::collections::BTreeMap;

use crate::checker::{Checker, Name};
use crate::history::{HistoryEntry, Observation, Observer, Outcome};

/// Times in which a placer was away.
#[derive(Default)]
pub(crate) struct Downtime {
    /// Down: from its death until its next life serves.
    down: Vec<(u64, u64)>,
    /// Standing still.
    paused: Vec<(u64, u64)>,
}

/// When each placer was away.
pub(crate) fn downtimes(records: &[HistoryEntry]) -> BTreeMap<Name, Downtime> {
    let mut all: BTreeMap<Name, Downtime> = BTreeMap::new();
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
            Observation::PlacerStopped { placer } => open(
                &mut all.entry(placer.clone()).or_default().down,
                record.at_us,
            ),
            Observation::PlacerStarted { placer } => shut(
                &mut all.entry(placer.clone()).or_default().down,
                record.at_us,
            ),
            Observation::PlacerPaused { placer } => {
                open(
                    &mut all.entry(placer.clone()).or_default().paused,
                    record.at_us,
                );
            }
            Observation::PlacerResumed { placer } => {
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
pub(crate) fn unreadable_inventory_spans(records: &[HistoryEntry]) -> Vec<(u64, u64)> {
    let mut spans: Vec<(u64, u64)> = Vec::new();
    for record in records {
        let open = spans.last_mut().filter(|s| s.1 == u64::MAX);
        match (&record.observation, open) {
            (Observation::InventoryUnreadable, None) => spans.push((record.at_us, u64::MAX)),
            (Observation::InventoryReplaced { .. }, Some(span)) => span.1 = record.at_us,
            _ => {}
        }
    }
    spans
}

impl Checker<'_> {
    /// When news of the inventory can have reached a placer that was away, or that had no time to read it before the
    /// file became unreadable.
    pub(crate) fn inventory_reached_placer_at(&self, placer: &Name, at: u64) -> u64 {
        let mut told = at;
        loop {
            let here = self.reached_placer_at(placer, told);
            // One that is there reads it within the slack.
            let late = if here == told {
                here + self.parameters.timing_slack_us
            } else {
                here
            };
            let span = self
                .unreadable_inventory
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
    fn could_not_answer(&self, placer: &Name, asked: u64, deadline: u64) -> bool {
        let (slack, reprieve) = (
            self.parameters.timing_slack_us,
            self.parameters.resume_grace_us,
        );
        let Some(away) = self.downtimes.get(placer) else {
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
    pub(crate) fn reached_placer_at(&self, placer: &Name, at: u64) -> u64 {
        let Some(away) = self.downtimes.get(placer) else {
            return at;
        };
        let mut spans = away.down.iter().chain(&away.paused);
        spans
            .find(|&&(a, b)| a <= at && at < b)
            .map_or(at, |&(_, b)| b)
    }

    pub(crate) fn record_answer(&mut self, request: &Name, outcome: &Outcome) {
        let (at, number) = (self.now, self.entry_index);
        let arrived = self.earliest_arrival(Observer::Clients);
        let Some(ask) = self.requests.get_mut(request) else {
            return;
        };
        match outcome {
            Outcome::Placed(_) => self.verdict.placed += 1,
            Outcome::Rejected(reason) => {
                self.verdict.rejected += 1;
                *self
                    .verdict
                    .rejected_by_reason
                    .entry(reason.clone())
                    .or_default() += 1;
            }
            Outcome::Failed => self.verdict.failed += 1,
            Outcome::NotAccepted(_) => self.verdict.not_accepted += 1,
        }
        let (shown, deadline, asked, placer) = (
            ask.evidence,
            ask.deadline,
            ask.requested_at,
            ask.placer.clone(),
        );
        match &ask.answer {
            None => ask.answer = Some((at, outcome.clone(), number)),
            Some((_, _, first)) => {
                let shown_by = vec![shown, *first, number];
                self.report_violation(1, format!("ask {request} was answered twice"), shown_by);
                return;
            }
        }
        // Turned away after a time in which it could not be answered: it was never taken, and its client is told so.
        let never_taken = matches!(outcome, Outcome::NotAccepted(_))
            && self.could_not_answer(&placer, asked, deadline);
        if arrived > deadline && !never_taken {
            let late = (at - deadline) / 1000;
            self.report_violation(
                1,
                format!("ask {request} was answered {late} ms after its deadline"),
                vec![shown, number],
            );
        }
        if let Outcome::Rejected(_) = outcome {
            self.check_rejection(request);
        }
    }

    pub(crate) fn finish_requests(&mut self, end: u64) {
        let slack = self.parameters.timing_slack_us;
        for (request, ask) in std::mem::take(&mut self.requests) {
            if ask.answer.is_some() {
                continue;
            }
            let until = ask
                .disconnected_at
                .unwrap_or(ask.deadline)
                .min(ask.deadline);
            let could_not = self.could_not_answer(&ask.placer, ask.requested_at, ask.deadline);
            let gave_up = ask
                .disconnected_at
                .is_some_and(|h| h + slack < ask.deadline);
            if could_not
                || (gave_up && ask.connection_lost_at.is_none_or(|c| c >= until))
                || end < ask.deadline
            {
                self.verdict.excused += 1;
                continue;
            }
            self.verdict.unanswered += 1;
            self.now = ask.deadline;
            let what = format!("ask {request} to {} has no answer", ask.placer);
            self.report_violation(1, what, vec![ask.evidence]);
        }
    }
}
