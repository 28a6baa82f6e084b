//! Rule 1: every request that a running placer has accepted gets exactly one final answer before its deadline.

use crate::history::{Observer, Outcome};
use crate::state::{Checker, Name, RequestState};

impl Checker<'_> {
    pub(crate) fn record_request(&mut self, request: &Name, placer: &Name, budget_us: u64) {
        let state = RequestState {
            requested_at: self.now,
            deadline: self.now + budget_us,
            placer: placer.clone(),
            evidence: self.entry_index,
            answer_entry: None,
            disconnected_at: None,
            connection_lost_at: None,
        };
        self.verdict.requests += 1;
        self.requests.insert(request.clone(), state);
    }

    pub(crate) fn record_answer(&mut self, request: &Name, outcome: &Outcome) {
        if !self.requests.contains_key(request) {
            return;
        }
        self.count_outcome(outcome);
        if self.check_answer(request, outcome) && matches!(outcome, Outcome::Rejected(_)) {
            self.check_rejection(request);
        }
    }

    fn count_outcome(&mut self, outcome: &Outcome) {
        let verdict = &mut self.verdict;
        match outcome {
            Outcome::Placed(_) => verdict.placed += 1,
            Outcome::Rejected(reason) => {
                verdict.rejected += 1;
                *verdict
                    .rejected_by_reason
                    .entry(reason.clone())
                    .or_default() += 1;
            }
            Outcome::Failed => verdict.failed += 1,
            Outcome::NotAccepted(_) => verdict.not_accepted += 1,
        }
    }

    /// Checks that an answer is the first one and on time. Returns whether it is the first.
    fn check_answer(&mut self, request: &Name, outcome: &Outcome) -> bool {
        let (now, entry) = (self.now, self.entry_index);
        let arrived = self.earliest_arrival(Observer::Clients);
        let Some(state) = self.requests.get_mut(request) else {
            return false;
        };
        let (evidence, deadline) = (state.evidence, state.deadline);
        if let Some(first) = state.answer_entry {
            let description = format!("request {request} was answered twice");
            self.report_violation(1, description, vec![evidence, first, entry]);
            return false;
        }
        state.answer_entry = Some(entry);
        // If the placer could not have answered in time, a late response is allowed that says that the request was not
        // accepted.
        let never_accepted =
            matches!(outcome, Outcome::NotAccepted(_)) && self.could_not_answer(request);
        if arrived > deadline && !never_accepted {
            let late_ms = (now - deadline) / 1000;
            let description =
                format!("request {request} was answered {late_ms} ms after its deadline");
            self.report_violation(1, description, vec![evidence, entry]);
        }
        true
    }

    fn could_not_answer(&self, request: &Name) -> bool {
        self.requests
            .get(request)
            .is_some_and(|state| self.could_not_answer_in_time(state))
    }

    fn could_not_answer_in_time(&self, state: &RequestState) -> bool {
        self.availability.could_not_answer(
            &state.placer,
            state.requested_at,
            state.deadline,
            self.parameters.timing_slack_us,
            self.parameters.resume_grace_us,
        )
    }

    /// Checks the requests that have no answer at the end of the history.
    pub(crate) fn check_unanswered_requests(&mut self, end: u64) {
        let slack = self.parameters.timing_slack_us;
        for (request, state) in std::mem::take(&mut self.requests) {
            if state.answer_entry.is_some() {
                continue;
            }
            let waited_until = state
                .disconnected_at
                .unwrap_or(state.deadline)
                .min(state.deadline);
            let disconnected_early = state
                .disconnected_at
                .is_some_and(|at| at + slack < state.deadline);
            let was_connected_until_then =
                state.connection_lost_at.is_none_or(|at| at >= waited_until);
            if self.could_not_answer_in_time(&state)
                || (disconnected_early && was_connected_until_then)
                || end < state.deadline
            {
                self.verdict.excused += 1;
                continue;
            }
            self.verdict.unanswered += 1;
            self.now = state.deadline;
            let description = format!("request {request} to {} has no answer", state.placer);
            self.report_violation(1, description, vec![state.evidence]);
        }
    }
}
