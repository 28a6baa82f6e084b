//! Outlier ejection and backoff: which machines are passed over for what lately became of offers there.

use crate::interface::{AttemptOutcome, AttemptResult, FailureReason, Micros, Resources};

/// A machine is ejected for a class this long after its first failure, twice that after the next and so on.
const BASE_EJECTION: Micros = 3_000_000;
/// At most this many doublings: a machine that has recovered is found within twelve seconds.
const MAX_EJECTION_DOUBLINGS: f64 = 2.0;
/// After a rejection for lack of capacity, tasks as large are not offered there for this long.
pub(super) const CAPACITY_BACKOFF: Micros = 1_000_000;
/// After a rejection for its queue or state, nothing is offered to a machine for this long.
const QUEUE_BACKOFF: Micros = 150_000;
/// Consecutive rejections double those times, at most this often.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;
/// From this many consecutive rejections on, smaller tasks are kept away as well.
const REJECTIONS_UNTIL_ALL_SIZES: u32 = 2;

/// How a machine has lately served one class.
#[derive(Clone, Copy, Default)]
struct ClassHealth {
    failure_count: f64,
    last_failure: Micros,
    ejected_until: Micros,
    /// Offers there that have no answer yet.
    unanswered: u32,
    /// When an offer was cut off or timed out, with none accepted since.
    unanswered_since: Option<Micros>,
}

impl ClassHealth {
    fn record_failure(&mut self, now: Micros) {
        let doublings = self.failure_count.min(MAX_EJECTION_DOUBLINGS);
        self.failure_count = doublings + 1.0;
        self.last_failure = now;
        self.ejected_until = now + (BASE_EJECTION as f64 * doublings.exp2()) as Micros;
    }

    /// An offer was cut off or timed out. The cause may be a broken connection or a spoilt answer rather than the
    /// machine: the first such offer counts until the machine shows a sign of life, a second one in a row as any failure.
    fn record_lost_answer(&mut self, now: Micros) {
        match self.unanswered_since {
            Some(before) if before < now => self.record_failure(now),
            _ => self.unanswered_since = Some(now),
        }
    }

    fn forgive_failure(&mut self) {
        self.failure_count = (self.failure_count - 1.0).max(0.0);
        if self.failure_count < 1.0 {
            self.ejected_until = 0;
        }
    }

    fn record_answer(&mut self) {
        self.unanswered = self.unanswered.saturating_sub(1);
    }

    /// Whether the class itself may be offered there: not ejected, and after a failure one offer at a time.
    fn admits_offers(&self, now: Micros) -> bool {
        self.ejected_until <= now && (self.failure_count < 1.0 || self.unanswered == 0)
    }

    /// Whether this class's offers suggest that the whole machine is down: it failed or left offers unanswered, and
    /// showed no sign of life since.
    fn suggests_machine_is_down(&self, last_seen_alive: Micros, now: Micros) -> bool {
        let failed = self.ejected_until > now && self.last_failure > last_seen_alive;
        let is_silent = |since: Micros| since > last_seen_alive && since + BASE_EJECTION > now;
        failed || self.unanswered_since.is_some_and(is_silent)
    }
}

/// Capacity that was refused, and until when that counts.
#[derive(Clone, Copy)]
struct Backoff {
    /// Tasks that ask for as much, in cores or in memory, are kept away.
    requested: Resources,
    until: Micros,
}

/// How a machine has lately answered, by class and as a whole.
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

    /// A new process runs there: what was learned of the old one says nothing of it.
    pub(super) fn forget_process(&mut self) {
        self.classes.fill(ClassHealth::default());
        self.backoff = None;
    }

    pub(super) fn record_sign_of_life(&mut self, now: Micros) {
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

    /// A failure turned out to be the task's.
    pub(super) fn forgive_failure(&mut self, class: usize) {
        self.classes[class].forgive_failure();
    }

    /// Records how an attempt ended. A task that fails on every machine (`is_task_at_fault`) says nothing of this one.
    pub(super) fn record_outcome(
        &mut self,
        attempt: &EndedAttempt,
        result: &AttemptResult,
        is_task_at_fault: bool,
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
            // Failing fast gives no rate sample, so the rate would stay good and draw ever more offers: the
            // machine is ejected, and then tried with one offer at a time.
            (AttemptOutcome::Error, _) if is_task_at_fault => {}
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

    /// Lists are late, and all placers see the same capacity: each rejection in a row doubles the time, and after some
    /// smaller tasks are kept away as well.
    fn back_off(&mut self, requested: Resources, reason: Option<FailureReason>, now: Micros) {
        let lacks_capacity = matches!(reason, Some(FailureReason::Cores | FailureReason::Memory));
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

    /// Whether tasks that ask for this are kept away for now after rejections.
    pub(super) fn is_backing_off(&self, requested: Resources, now: Micros) -> bool {
        self.backoff.is_some_and(|backoff| {
            let is_as_large = requested.cores >= backoff.requested.cores
                || requested.memory >= backoff.requested.memory;
            backoff.until > now && is_as_large
        })
    }

    /// Whether a class may be offered there. Its own failures count until its own starts make up for them, those of other
    /// classes only while the machine shows no sign of life: it may fail one class and serve the rest.
    pub(super) fn is_healthy(&self, class: usize, now: Micros) -> bool {
        let is_down =
            |health: &ClassHealth| health.suggests_machine_is_down(self.last_seen_alive, now);
        self.classes[class].admits_offers(now) && !self.classes.iter().any(is_down)
    }
}

/// What an outcome has to be told with.
#[derive(Clone, Copy)]
pub(super) struct EndedAttempt {
    pub(super) class: usize,
    pub(super) requested: Resources,
    /// The machine had accepted it before it ended.
    pub(super) was_accepted: bool,
}

#[cfg(test)]
mod tests;
