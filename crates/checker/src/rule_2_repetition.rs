//! Rule 2: a task that may have run is sent again only as its class allows, and no request has two attempts in flight.

use maplethread_wire::frame::{DuplicatePolicy, Offer};

use crate::history::Observer;
use crate::parameters::{Deduplication, DeduplicationScope};
use crate::state::{
    AttemptId, Checker, Name, PendingAttemptCheck, PlacerProcess, RequestAttempts, RequestKey,
};

impl Checker<'_> {
    /// Checks the attempts for a request that was rejected. A rejection states that the task did not run, so no attempt
    /// may have run, except where a second copy of the task is harmless.
    pub(crate) fn check_rejection(&mut self, request: &Name) {
        let first_key = RequestKey {
            request: request.clone(),
            process: PlacerProcess {
                placer: "".into(),
                generation: 0,
            },
        };
        let all = self
            .attempts_by_request
            .range(first_key..)
            .take_while(|(key, _)| key.request == *request)
            .map(|(_, attempts)| attempts);
        let mut evidence: Vec<usize> = all
            .filter(|request_attempts| !self.allows_copies(request_attempts))
            .flat_map(|request_attempts| &request_attempts.attempts)
            .filter_map(|id| self.attempts.get(id))
            .filter(|attempt| !attempt.never_ran)
            .map(|attempt| attempt.evidence)
            .collect();
        if !evidence.is_empty() {
            evidence.push(self.entry_index);
            let description =
                format!("request {request} was rejected though an attempt may have run");
            self.report_violation(2, description, evidence);
        }
    }

    /// Whether a second copy of the task is harmless on any host.
    fn allows_copies(&self, request_attempts: &RequestAttempts) -> bool {
        let deduplication = self
            .parameters
            .class(&request_attempts.class)
            .and_then(|class| class.deduplication);
        request_attempts.duplicate_policy == DuplicatePolicy::Idempotent
            || deduplication.is_some_and(|d| d.scope == DeduplicationScope::All)
    }

    /// Checks an offer against the earlier attempts for its request, and records it as a further attempt.
    pub(crate) fn check_offer_repetition(
        &mut self,
        request: &Name,
        process: &PlacerProcess,
        host: &Name,
        offer: &Offer,
    ) {
        let key = RequestKey {
            request: request.clone(),
            process: process.clone(),
        };
        let request_entry = self.requests.get(request).map(|state| state.evidence);
        let request_attempts =
            self.attempts_by_request
                .entry(key)
                .or_insert_with(|| RequestAttempts {
                    attempts: Vec::new(),
                    duplicate_policy: offer.duplicate_policy,
                    class: offer.class.clone(),
                    request_entry,
                });
        let earlier = request_attempts.attempts.clone();
        request_attempts.attempts.push(offer.attempt_id);
        let request_entry = request_attempts.request_entry;
        self.defer_concurrency_check(request, request_entry, &earlier, offer);
        let first_possibly_run = earlier
            .into_iter()
            .find(|id| self.attempts.get(id).is_some_and(|a| !a.never_ran));
        if let Some(first) = first_possibly_run {
            self.check_repetition(request, request_entry, first, host, offer);
        }
    }

    /// Schedules the check that every earlier attempt has ended. It is deferred until everything sent by then has been
    /// read, because frames to two hosts may be read in another order than they were sent.
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
            // The attempt that was sent first must have ended.
            let (first, has_ended) = if attempt.prior_attempts <= offer.prior_attempts {
                (*id, attempt.ended_at.is_some())
            } else {
                (offer.attempt_id, false)
            };
            if !has_ended {
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

    /// Checks that the class of a task allows an offer after an attempt that may have run.
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
        let mut breaches = Vec::new();
        match (offer.duplicate_policy, deduplication) {
            (DuplicatePolicy::Idempotent, _) => {}
            (DuplicatePolicy::IdempotencyKey(_), Some(deduplication)) => {
                if !self.recognise_same_keys(deduplication, &first.host, host) {
                    breaches
                        .push("was sent outside its deduplication scope though it may have run");
                }
                let arrived = self.earliest_arrival(Observer::Hosts);
                if arrived > first.sent_at + deduplication.window_us {
                    breaches.push("was sent after its deduplication window though it may have run");
                }
            }
            _ => breaches.push("was sent again though it may have run"),
        }
        let entries = [first.evidence, self.entry_index];
        for breach in breaches {
            let evidence = request_entry.into_iter().chain(entries).collect();
            self.report_violation(
                2,
                format!("request {request} {breach} (to {host})"),
                evidence,
            );
        }
    }

    /// Whether two hosts share recognised idempotency keys.
    fn recognise_same_keys(&self, deduplication: Deduplication, host: &Name, other: &Name) -> bool {
        let locations = self.locations.get(host).zip(self.locations.get(other));
        match deduplication.scope {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => locations.is_some_and(|(a, b)| a.zone == b.zone),
            DeduplicationScope::Cell => {
                locations.is_some_and(|(a, b)| (&a.zone, &a.cell) == (&b.zone, &b.cell))
            }
        }
    }

    /// Reports two attempts in flight for each due check whose earlier attempt did not end in time. Everything sent to
    /// hosts up to `read_through` has been read.
    pub(crate) fn report_due_concurrent_attempts(&mut self, read_through: u64) {
        while let Some(check) = self
            .pending_attempts
            .pop_front_if(|check| check.due < read_through)
        {
            let was_in_flight = self.attempts.get(&check.attempt).is_some_and(|attempt| {
                attempt.ended_at.is_none_or(|ended_at| ended_at > check.due)
            });
            if was_in_flight {
                let description = format!("request {} has two attempts in flight", check.request);
                self.report_violation(2, description, check.evidence);
            }
        }
    }
}
