//! Outlier ejection and backoff: which machines are skipped because of the recent outcomes of offers to them.

use crate::interface::{AttemptOutcome, AttemptResult, FailureReason, Micros, Resources};

/// How long a machine is ejected for a class after the first failure. Each further failure doubles it.
const BASE_EJECTION: Micros = 3_000_000;
/// Maximum number of doublings, so that a machine that has recovered gets offers again within twelve seconds.
const MAX_EJECTION_DOUBLINGS: f64 = 2.0;
/// How long a machine gets no offers of tasks of the same size or larger after a rejection for lack of capacity.
pub(super) const CAPACITY_BACKOFF: Micros = 1_000_000;
/// How long a machine gets no offers at all after a rejection because of its queue or state.
const QUEUE_BACKOFF: Micros = 150_000;
/// Maximum number of doublings of the backoff by consecutive rejections.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;
/// Number of consecutive rejections after which the backoff applies to smaller tasks as well.
const REJECTIONS_UNTIL_ALL_SIZES: u32 = 2;

/// The recent outcomes of one class on a machine.
#[derive(Clone, Copy, Default)]
struct ClassHealth {
    failure_count: f64,
    last_failure: Micros,
    ejected_until: Micros,
    /// The number of offers of the class that have no answer yet.
    unanswered: u32,
    /// When an offer was disconnected or timed out, if none has been accepted since.
    unanswered_since: Option<Micros>,
}

impl ClassHealth {
    fn record_failure(&mut self, now: Micros) {
        let doublings = self.failure_count.min(MAX_EJECTION_DOUBLINGS);
        self.failure_count = doublings + 1.0;
        self.last_failure = now;
        self.ejected_until = now + (BASE_EJECTION as f64 * doublings.exp2()) as Micros;
    }

    /// Records an offer that was disconnected or timed out. The cause may be a broken connection or a lost answer
    /// rather than the machine, so the first such offer counts only until the machine is seen alive. A second one
    /// without an acceptance in between counts as a failure.
    fn record_lost_answer(&mut self, now: Micros) {
        match self.unanswered_since {
            Some(before) if before < now => self.record_failure(now),
            _ => self.unanswered_since = Some(now),
        }
    }

    fn retract_failure(&mut self) {
        self.failure_count = (self.failure_count - 1.0).max(0.0);
        if self.failure_count < 1.0 {
            self.ejected_until = 0;
        }
    }

    fn record_answer(&mut self) {
        self.unanswered = self.unanswered.saturating_sub(1);
    }

    /// Whether the class's own outcomes allow another offer: the class is not ejected, and after a failure only one
    /// offer may be unanswered at a time.
    fn admits_offers(&self, now: Micros) -> bool {
        self.ejected_until <= now && (self.failure_count < 1.0 || self.unanswered == 0)
    }

    /// Whether this class's outcomes suggest that the whole machine is down: an offer failed or stayed unanswered, and
    /// the machine has not been seen alive since.
    fn suggests_machine_is_down(&self, last_seen_alive: Micros, now: Micros) -> bool {
        let failed = self.ejected_until > now && self.last_failure > last_seen_alive;
        let is_unanswered = |since: Micros| since > last_seen_alive && since + BASE_EJECTION > now;
        failed || self.unanswered_since.is_some_and(is_unanswered)
    }
}

/// A backoff after a rejection.
#[derive(Clone, Copy)]
struct Backoff {
    /// Tasks that request at least as many cores or as much memory are not offered.
    requested: Resources,
    until: Micros,
}

/// The health of a machine, by class and as a whole.
pub(super) struct MachineHealth {
    classes: Vec<ClassHealth>,
    last_seen_alive: Micros,
    backoff: Option<Backoff>,
    /// Rejections since it last accepted a task.
    consecutive_rejections: u32,
}

impl MachineHealth {
    pub(super) fn new(class_count: usize) -> MachineHealth {
        MachineHealth {
            classes: vec![ClassHealth::default(); class_count],
            last_seen_alive: 0,
            backoff: None,
            consecutive_rejections: 0,
        }
    }

    /// Discards the recorded failures, since they belong to an earlier process on the machine.
    pub(super) fn reset_for_new_process(&mut self) {
        self.classes.fill(ClassHealth::default());
        self.backoff = None;
    }

    pub(super) fn record_liveness(&mut self, now: Micros) {
        self.last_seen_alive = now;
    }

    pub(super) fn record_offer(&mut self, class: usize) {
        self.classes[class].unanswered += 1;
    }

    pub(super) fn record_acceptance(&mut self, class: usize, now: Micros) {
        self.consecutive_rejections = 0;
        let health = &mut self.classes[class];
        health.record_answer();
        health.unanswered_since = None;
        self.last_seen_alive = now;
    }

    pub(super) fn record_start(&mut self, class: usize, now: Micros) {
        let health = &mut self.classes[class];
        health.failure_count = (health.failure_count / 2.0).floor();
        self.last_seen_alive = now;
    }

    /// Retracts a failure that was caused by the task rather than the machine.
    pub(super) fn retract_failure(&mut self, class: usize) {
        self.classes[class].retract_failure();
    }

    /// Records the outcome of an attempt. An error that is attributed to the task (`is_caused_by_task`) does not count
    /// against the machine.
    pub(super) fn record_outcome(
        &mut self,
        attempt: &FinishedAttempt,
        result: &AttemptResult,
        is_caused_by_task: bool,
        now: Micros,
    ) {
        let health = &mut self.classes[attempt.class];
        if !attempt.was_accepted {
            health.record_answer();
        }
        if matches!(
            result.outcome,
            AttemptOutcome::Completed | AttemptOutcome::Rejected
        ) {
            self.last_seen_alive = now;
        }
        match (result.outcome, result.reason) {
            (AttemptOutcome::Rejected, reason) => self.back_off(attempt.requested, reason, now),
            // A failure gives no service-rate sample, so a machine that fails fast would keep its rate and receive most
            // offers. It is therefore ejected, and afterwards gets one offer at a time.
            (AttemptOutcome::Error, _) if is_caused_by_task => {}
            (AttemptOutcome::Disconnected, None) => health.record_lost_answer(now),
            (AttemptOutcome::Error | AttemptOutcome::ConnectFailed, _) => {
                health.record_failure(now);
            }
            (AttemptOutcome::TimedOut, _) if !attempt.was_accepted => {
                health.record_lost_answer(now);
            }
            (AttemptOutcome::Completed, _) => self.backoff = None,
            _ => {}
        }
    }

    /// Starts a backoff after a rejection. Endpoint lists are late and all placers act on the same capacity, so
    /// each consecutive rejection doubles the time, and after [`REJECTIONS_UNTIL_ALL_SIZES`] it applies to smaller tasks
    /// as well.
    fn back_off(&mut self, requested: Resources, reason: Option<FailureReason>, now: Micros) {
        let lacks_capacity = matches!(
            reason,
            Some(FailureReason::InsufficientCores | FailureReason::InsufficientMemory)
        );
        let base = if lacks_capacity {
            CAPACITY_BACKOFF
        } else {
            QUEUE_BACKOFF
        };
        let by_size = lacks_capacity && self.consecutive_rejections < REJECTIONS_UNTIL_ALL_SIZES;
        self.backoff = Some(Backoff {
            requested: if by_size {
                requested
            } else {
                Resources::default()
            },
            until: now + (base << self.consecutive_rejections),
        });
        self.consecutive_rejections = (self.consecutive_rejections + 1).min(MAX_BACKOFF_DOUBLINGS);
    }

    /// Whether a backoff applies to tasks that request these resources.
    pub(super) fn is_backing_off(&self, requested: Resources, now: Micros) -> bool {
        self.backoff.is_some_and(|backoff| {
            let is_as_large = requested.cores >= backoff.requested.cores
                || requested.memory >= backoff.requested.memory;
            backoff.until > now && is_as_large
        })
    }

    /// Whether tasks of a class may be offered to the machine. Failures of the class itself count until starts of the
    /// class reduce them. Failures of other classes count only until the machine is seen alive, since a machine may
    /// fail one class and serve the others.
    pub(super) fn is_healthy(&self, class: usize, now: Micros) -> bool {
        let is_down =
            |health: &ClassHealth| health.suggests_machine_is_down(self.last_seen_alive, now);
        self.classes[class].admits_offers(now) && !self.classes.iter().any(is_down)
    }
}

/// The attempt that an outcome belongs to.
#[derive(Clone, Copy)]
pub(super) struct FinishedAttempt {
    pub(super) class: usize,
    pub(super) requested: Resources,
    /// The machine had accepted it before it ended.
    pub(super) was_accepted: bool,
}

#[cfg(test)]
mod tests;
