//! Rule 2: a task that may have run is sent again only as its class allows, and no request has two attempts in flight.

use maplethread_wire::frame::{DuplicatePolicy, Offer};

use crate::history::Observer;
use crate::parameters::{Deduplication, DeduplicationScope};
use crate::state::{
    AttemptId, Checker, Incarnation, Name, PendingAttemptCheck, RequestAttempts, RequestKey,
};

impl Checker<'_> {
    /// A rejection says that nothing ran, unless a second copy does no harm.
    pub(crate) fn check_rejection(&mut self, request: &Name) {
        let first_key = RequestKey {
            request: request.clone(),
            incarnation: Incarnation {
                placer: "".into(),
                number: 0,
            },
        };
        let all = self
            .attempts_by_request
            .range(first_key..)
            .take_while(|(key, _)| key.request == *request)
            .map(|(_, attempts)| attempts);
        let mut evidence: Vec<usize> = all
            .filter(|made| !self.allows_copies(made))
            .flat_map(|made| &made.attempts)
            .filter_map(|id| self.attempts.get(id))
            .filter(|attempt| !attempt.never_ran)
            .map(|attempt| attempt.evidence)
            .collect();
        if !evidence.is_empty() {
            evidence.push(self.entry_index);
            let description = format!("ask {request} was refused though an attempt may have run");
            self.report_violation(2, description, evidence);
        }
    }

    /// Whether a second copy of the task does no harm anywhere.
    fn allows_copies(&self, made: &RequestAttempts) -> bool {
        let deduplication = self
            .parameters
            .class(&made.class)
            .and_then(|class| class.deduplication);
        made.duplicate_policy == DuplicatePolicy::Idempotent
            || deduplication.is_some_and(|d| d.scope == DeduplicationScope::All)
    }

    /// Checks an offer against the earlier attempts for its request, and adds it to them.
    pub(crate) fn check_offer_repetition(
        &mut self,
        request: &Name,
        incarnation: &Incarnation,
        host: &Name,
        offer: &Offer,
    ) {
        let key = RequestKey {
            request: request.clone(),
            incarnation: incarnation.clone(),
        };
        let request_entry = self.requests.get(request).map(|state| state.evidence);
        let made = self
            .attempts_by_request
            .entry(key)
            .or_insert_with(|| RequestAttempts {
                attempts: Vec::new(),
                duplicate_policy: offer.duplicate_policy,
                class: offer.class.clone(),
                request_entry,
            });
        let earlier = made.attempts.clone();
        made.attempts.push(offer.attempt_id);
        let request_entry = made.request_entry;
        self.defer_concurrency_check(request, request_entry, &earlier, offer);
        let possibly_run = earlier
            .into_iter()
            .find(|id| self.attempts.get(id).is_some_and(|a| !a.never_ran));
        if let Some(first) = possibly_run {
            self.check_repetition(request, request_entry, first, host, offer);
        }
    }

    /// Whether an earlier attempt was over is checked a while later, once all that was sent by then has been read:
    /// frames to two hosts may be read in another order than they were sent.
    fn defer_concurrency_check(
        &mut self,
        request: &Name,
        request_entry: Option<usize>,
        earlier: &[AttemptId],
        offer: &Offer,
    ) {
        let due = self.now + self.parameters.timing_slack_us;
        for id in earlier {
            let Some(attempt) = self.attempts.get(id) else {
                continue;
            };
            // The first in the order of sending must be over.
            let (first, is_over) = if attempt.prior_attempts <= offer.prior_attempts {
                (*id, attempt.over_since.is_some())
            } else {
                (offer.attempt_id, false)
            };
            if !is_over {
                let entries = [attempt.evidence, self.entry_index];
                self.pending_attempts.push_back(PendingAttemptCheck {
                    due,
                    attempt: first,
                    request: request.clone(),
                    evidence: request_entry.into_iter().chain(entries).collect(),
                });
            }
        }
    }

    /// Checks that an offer after an attempt that may have run is one that its class allows.
    fn check_repetition(
        &mut self,
        request: &Name,
        request_entry: Option<usize>,
        first: AttemptId,
        host: &Name,
        offer: &Offer,
    ) {
        let Some(first) = self.attempts.get(&first) else {
            return;
        };
        let deduplication = self
            .parameters
            .class(&offer.class)
            .and_then(|class| class.deduplication);
        let mut faults = Vec::new();
        match (offer.duplicate_policy, deduplication) {
            (DuplicatePolicy::Idempotent, _) => {}
            (DuplicatePolicy::IdempotencyKey(_), Some(deduplication)) => {
                if !self.recognise_same_keys(deduplication, &first.host, host) {
                    faults.push("was sent out of its group though it may have run");
                }
                let arrived = self.earliest_arrival(Observer::Hosts);
                if arrived > first.sent_at + deduplication.window_us {
                    faults.push("was sent after its window though it may have run");
                }
            }
            _ => faults.push("was sent again though it may have run"),
        }
        let entries = [first.evidence, self.entry_index];
        for fault in faults {
            let evidence = request_entry.into_iter().chain(entries).collect();
            self.report_violation(2, format!("ask {request} {fault} (to {host})"), evidence);
        }
    }

    /// Whether two hosts recognise each other's idempotency keys.
    fn recognise_same_keys(&self, deduplication: Deduplication, one: &Name, other: &Name) -> bool {
        let locations = self.locations.get(one).zip(self.locations.get(other));
        match deduplication.scope {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => locations.is_some_and(|(a, b)| a.zone == b.zone),
            DeduplicationScope::Cell => {
                locations.is_some_and(|(a, b)| (&a.zone, &a.cell) == (&b.zone, &b.cell))
            }
        }
    }

    /// Reports two attempts in flight where the earlier one was not over in time. All that was sent to hosts by
    /// `read_through` has been read.
    pub(crate) fn settle_concurrent_attempts(&mut self, read_through: u64) {
        while let Some(check) = self
            .pending_attempts
            .pop_front_if(|check| check.due < read_through)
        {
            let was_in_flight = self
                .attempts
                .get(&check.attempt)
                .is_some_and(|attempt| attempt.over_since.is_none_or(|over| over > check.due));
            if was_in_flight {
                let description = format!("ask {} has two attempts out", check.request);
                self.report_violation(2, description, check.evidence);
            }
        }
    }
}
