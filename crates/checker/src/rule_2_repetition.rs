//! Rule 2: what may have run is sent again only as its class allows, and no ask has two attempts out.

use maplethread_wire::frame::{DuplicatePolicy, Offer};

use crate::checker::{Attempt, Checker, Name, RequestAttempts};
use crate::history::Observer;
use crate::parameters::DeduplicationScope;

impl Checker<'_> {
    /// Rule 2: a refusal says that nothing ran, unless a second copy does no harm.
    pub(crate) fn check_rejection(&mut self, request: &Name) {
        let mut shown = Vec::new();
        let wide = |class: &str| {
            let rule = self.parameters.classes.iter().find(|c| c.name == class);
            rule.is_some_and(|c| matches!(c.deduplication, Some((DeduplicationScope::All, _))))
        };
        let first = (request.clone(), Name::from(""), 0);
        let own = self
            .attempts_by_request
            .range(first..)
            .take_while(|((asked, ..), _)| asked == request);
        for (_, placing) in own {
            if placing.copies == DuplicatePolicy::Idempotent || wide(&placing.class) {
                continue;
            }
            for attempt in placing.attempts.iter().filter_map(|w| self.attempts.get(w)) {
                if !attempt.never_ran {
                    shown.push(attempt.evidence);
                }
            }
        }
        if !shown.is_empty() {
            shown.push(self.entry_index);
            self.report_violation(
                2,
                format!("ask {request} was refused though an attempt may have run"),
                shown,
            );
        }
    }

    /// One attempt out at a time; and what may have run is sent again only as its class allows.
    pub(crate) fn check_offer_repetition(
        &mut self,
        request: &Name,
        placer: &Name,
        life: u64,
        host: &Name,
        offer: &Offer,
    ) {
        let (at, slack, number) = (self.now, self.parameters.timing_slack_us, self.entry_index);
        let arrived = self.earliest_arrival(Observer::Hosts);
        let key = (request.clone(), placer.clone(), life);
        let ask = self.requests.get(request).map(|a| a.evidence);
        let placing = self
            .attempts_by_request
            .entry(key)
            .or_insert_with(|| RequestAttempts {
                attempts: Vec::new(),
                copies: offer.duplicate_policy,
                class: offer.class.clone(),
                request_entry: ask,
            });
        let before = placing.attempts.clone();
        placing.attempts.push(offer.attempt_id);
        let asked = placing.request_entry;
        let mut faults = Vec::new();
        let mut first: Option<&Attempt> = None;
        for wire in &before {
            let Some(attempt) = self.attempts.get(wire) else {
                continue;
            };
            // Offers to two hosts may be read in another order than they were sent: the first must be over.
            let (earlier, over) = match attempt.number <= offer.prior_attempts {
                true => (*wire, attempt.over_since.is_some()),
                false => (offer.attempt_id, false),
            };
            if !over {
                let shown = asked
                    .into_iter()
                    .chain([attempt.evidence, number])
                    .collect();
                self.pending_attempt_checks.push_back((
                    at + slack,
                    earlier,
                    request.clone(),
                    shown,
                ));
            }
            if !attempt.never_ran && first.is_none() {
                first = Some(attempt);
            }
        }
        if let Some(first) = first {
            let rule = self
                .parameters
                .classes
                .iter()
                .find(|c| c.name == offer.class);
            let place = |h: &Name| self.locations.get(h);
            match (offer.duplicate_policy, rule.and_then(|r| r.deduplication)) {
                (DuplicatePolicy::Idempotent, _) => {}
                (DuplicatePolicy::IdempotencyKey(_), Some((group, window))) => {
                    let (a, b) = (place(&first.host), place(host));
                    let same = match group {
                        DeduplicationScope::All => true,
                        DeduplicationScope::Zone => a.zip(b).is_some_and(|(a, b)| a.zone == b.zone),
                        DeduplicationScope::Cell => a
                            .zip(b)
                            .is_some_and(|(a, b)| (&a.zone, &a.cell) == (&b.zone, &b.cell)),
                    };
                    if !same {
                        faults.push((
                            "was sent out of its group though it may have run",
                            first.evidence,
                        ));
                    }
                    if arrived > first.sent_at + window {
                        faults.push((
                            "was sent after its window though it may have run",
                            first.evidence,
                        ));
                    }
                }
                _ => faults.push(("was sent again though it may have run", first.evidence)),
            }
        }
        for (what, shown) in faults {
            let shown_by = asked.into_iter().chain([shown, number]).collect();
            self.report_violation(2, format!("ask {request} {what} (to {host})"), shown_by);
        }
    }

    /// Frames to two hosts may be read in another order than they were sent, so whether an earlier attempt was over is
    /// looked at a while later, once all that was sent by then has been read.
    pub(crate) fn settle_concurrent_attempts(&mut self, now: u64) {
        while let Some((by, wire, request, shown)) =
            self.pending_attempt_checks.pop_front_if(|d| d.0 < now)
        {
            if self
                .attempts
                .get(&wire)
                .is_some_and(|a| a.over_since.is_none_or(|over| over > by))
            {
                self.report_violation(2, format!("ask {request} has two attempts out"), shown);
            }
        }
    }
}
