//! Attempts and pending tasks: the outcomes of offers, and the retry or final answer that follows (rules 1 and 2).

use super::Placer;
use super::outlier::FinishedAttempt;
use super::service_rate::{Locality, StartProfile};
use crate::interface::{
    AcceptancePoint, Action, AttemptId, AttemptOutcome, AttemptResult, BlockReason, MachineId,
    Micros, Task,
};

/// If an answer is applied more than this after its arrival, the placer's process was stalled. Shorter delays result
/// from the interval between turns.
const MIN_STALL: Micros = 50_000;

/// An attempt without an outcome.
#[derive(Clone, Copy)]
pub(super) struct Attempt {
    pub(super) task: Task,
    pub(super) machine: MachineId,
    pub(super) locality: Locality,
    pub(super) sent_at: Micros,
    pub(super) is_accepted: bool,
    pub(super) is_started: bool,
    /// It was accepted, its task has not started yet, and it counts as a start in progress.
    pub(super) is_starting: bool,
    /// Its task was adopted, and its machine has not reported on it.
    pub(super) is_unreported: bool,
    /// Since when its service share has been below the limit for migration.
    pub(super) underserved_since: Option<Micros>,
}

impl Attempt {
    /// An attempt whose offer is sent at `now`.
    pub(super) fn offered(task: Task, machine: MachineId, locality: Locality, now: Micros) -> Self {
        Attempt {
            task,
            machine,
            locality,
            sent_at: now,
            is_accepted: false,
            is_started: false,
            is_starting: false,
            is_unreported: false,
            underserved_since: None,
        }
    }

    /// An attempt whose task is already running.
    pub(super) fn running(task: Task, machine: MachineId, now: Micros) -> Self {
        Attempt {
            is_accepted: true,
            is_started: true,
            is_unreported: true,
            ..Attempt::offered(task, machine, Locality::Local, now)
        }
    }

    fn start_profile(&self) -> StartProfile {
        StartProfile {
            service: self.task.service,
            class: self.task.class,
            machine: self.machine,
            locality: self.locality,
        }
    }
}

/// The first attempt of a task that may have started it.
#[derive(Clone, Copy)]
pub(super) struct PossibleStart {
    pub(super) sent_at: Micros,
    pub(super) machine: MachineId,
}

/// The machine that returned a task's first error, and whether another machine returned one as well.
#[derive(Clone, Copy)]
struct FirstError {
    machine: MachineId,
    is_repeated_elsewhere: bool,
}

/// A task without a final answer.
#[derive(Clone, Copy)]
pub(super) struct PendingTask {
    pub(super) task: Task,
    /// The number of attempts so far.
    pub(super) attempts: u32,
    pub(super) is_in_flight: bool,
    pub(super) possibly_started: Option<PossibleStart>,
    first_error: Option<FirstError>,
    /// Why it is blocked, while it is.
    pub(super) block_reason: Option<BlockReason>,
    /// Until when first submissions take precedence over it.
    pub(super) deferred_until: Option<Micros>,
}

impl PendingTask {
    pub(super) fn new(task: Task, deferred_until: Option<Micros>) -> PendingTask {
        PendingTask {
            task,
            attempts: 0,
            is_in_flight: false,
            possibly_started: None,
            first_error: None,
            block_reason: None,
            deferred_until,
        }
    }
}

impl Placer {
    /// Records a new attempt and adds its request to the machine's allocation.
    pub(super) fn track_attempt(&mut self, id: AttemptId, attempt: Attempt) {
        if self.attempts.insert(id, attempt).is_some() {
            return;
        }
        let task = &attempt.task;
        if let Some(machine) = self.machines.get_mut(&attempt.machine) {
            machine.add_own_allocation(task.requested, self.now);
            if attempt.is_unreported {
                machine.change_unreported_allocation(task.requested, 1.0);
            }
        }
        self.placements.add(task.service, attempt.machine, self.now);
        if self.placements.limit() {
            self.remove_unused_rates();
        }
    }

    /// Removes a finished attempt's request from the machine's allocation. The task was last known to be on the machine
    /// at `last_seen`.
    fn release_attempt(&mut self, attempt: &Attempt, last_seen: Micros) {
        let task = &attempt.task;
        if let Some(machine) = self.machines.get_mut(&attempt.machine) {
            machine.remove_own_allocation(task.requested, self.now);
            if attempt.is_unreported {
                machine.change_unreported_allocation(task.requested, -1.0);
            }
        }
        self.placements
            .remove(task.service, attempt.machine, last_seen);
    }

    /// Handles the first report on an adopted task: it exists.
    pub(super) fn confirm_adopted(&mut self, id: &AttemptId) {
        if let Some(attempt) = self.attempts.get_mut(id)
            && std::mem::take(&mut attempt.is_unreported)
            && let Some(machine) = self.machines.get_mut(&attempt.machine)
        {
            machine.change_unreported_allocation(attempt.task.requested, -1.0);
        }
    }

    /// Stops counting an attempt as a start in progress, since the task runs or the attempt has finished.
    pub(super) fn finish_start(&mut self, id: &AttemptId) {
        if let Some(attempt) = self.attempts.get_mut(id)
            && std::mem::take(&mut attempt.is_starting)
        {
            self.restart_throttle.finish_start();
        }
    }

    /// Handles an accepted offer: records its answer time and that the machine is alive.
    pub(super) fn handle_accepted(&mut self, id: &AttemptId, elapsed: Option<Micros>) {
        self.pending.remove(&id.task);
        if let Some(attempt) = self.attempts.get_mut(id) {
            if !attempt.is_started && !attempt.is_starting {
                attempt.is_starting = true;
                self.restart_throttle.begin_start();
            }
            attempt.is_accepted = true;
            // If this placer's process was stalled, only the time that the machine took to answer counts.
            let since_sent = self.now - attempt.sent_at;
            let stall = elapsed
                .map(|elapsed| since_sent.saturating_sub(elapsed))
                .filter(|&stall| stall > MIN_STALL)
                .unwrap_or(0);
            attempt.sent_at += stall;
            let class = attempt.task.class;
            let duration = since_sent - stall;
            self.answer_times.record(class, attempt.locality, duration);
            if let Some(machine) = self.machines.get_mut(&attempt.machine) {
                machine.health.record_acceptance(class, self.now);
            }
        }
        if self.settings.acceptance_point == AcceptancePoint::Running {
            self.handle_started(id);
        }
    }

    /// Handles the start of a task. Service rates are sampled only here, so failed attempts give no sample.
    pub(super) fn handle_started(&mut self, id: &AttemptId) {
        self.finish_start(id);
        let Some(attempt) = self.attempts.get_mut(id).filter(|a| !a.is_started) else {
            return;
        };
        attempt.is_started = true;
        let class = attempt.task.class;
        let objective = self.settings.classes[class].latency_objective;
        let duration = self.now - attempt.sent_at;
        self.service_rates
            .record_start(attempt.start_profile(), duration, objective);
        if let Some(machine) = self.machines.get_mut(&attempt.machine) {
            machine.health.record_start(class, self.now);
        }
    }

    /// Handles the end of an attempt: the task is finished, retried or answered.
    pub(super) fn handle_finished(
        &mut self,
        id: AttemptId,
        result: AttemptResult,
        actions: &mut Vec<Action>,
    ) {
        self.finish_start(&id);
        let Some(attempt) = self.attempts.remove(&id) else {
            return;
        };
        self.release_attempt(&attempt, self.last_seen(&attempt, &result));
        self.record_load_report(attempt.machine, result.load);
        let is_caused_by_task =
            result.outcome == AttemptOutcome::Error && self.is_error_caused_by_task(&attempt);
        if let Some(machine) = self.machines.get_mut(&attempt.machine) {
            let finished = FinishedAttempt {
                class: attempt.task.class,
                requested: attempt.task.requested,
                was_accepted: attempt.is_accepted,
            };
            machine
                .health
                .record_outcome(&finished, &result, is_caused_by_task, self.now);
        }
        if result.closes_task || attempt.is_accepted {
            self.pending.remove(&id.task);
        }
        self.retry_or_answer(id, &attempt, result.outcome, actions);
    }

    /// When a finished attempt's task was last known to be on its machine. After a lost connection that is the time of
    /// the offer, since the machine's process may have ended at any time after it.
    fn last_seen(&self, attempt: &Attempt, result: &AttemptResult) -> Micros {
        let is_connection_lost = attempt.is_accepted
            && result.outcome == AttemptOutcome::Disconnected
            && result.reason.is_none();
        if is_connection_lost {
            attempt.sent_at
        } else {
            self.now
        }
    }

    /// Retries a pending task after a failed attempt, or sends its final answer.
    fn retry_or_answer(
        &mut self,
        id: AttemptId,
        attempt: &Attempt,
        outcome: AttemptOutcome,
        actions: &mut Vec<Action>,
    ) {
        let Some(pending) = self.pending.get_mut(&id.task) else {
            return;
        };
        pending.is_in_flight = false;
        let never_ran = matches!(
            outcome,
            AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed | AttemptOutcome::NeverSent
        );
        if !never_ran {
            pending.possibly_started.get_or_insert(PossibleStart {
                sent_at: attempt.sent_at,
                machine: attempt.machine,
            });
        }
        if outcome == AttemptOutcome::NeverSent || self.is_past_answer_deadline(&attempt.task) {
            self.send_final_answer(id.task, actions);
        } else if outcome == AttemptOutcome::Rejected && id.number > 0 {
            self.blocked.push_back(id.task);
        } else {
            self.offer_queue.push_back(id.task);
        }
    }

    /// Whether an error is attributed to the task and not to the machine. Otherwise a task that fails on every machine
    /// would have one machine after the other ejected. So an error on a second machine is attributed to the task, and
    /// the failure recorded for the first machine is retracted.
    fn is_error_caused_by_task(&mut self, attempt: &Attempt) -> bool {
        let Some(pending) = self.pending.get_mut(&attempt.task.id) else {
            return false;
        };
        let first = pending.first_error.get_or_insert(FirstError {
            machine: attempt.machine,
            is_repeated_elsewhere: false,
        });
        if first.machine == attempt.machine {
            return first.is_repeated_elsewhere;
        }
        let is_first_repeat = !std::mem::replace(&mut first.is_repeated_elsewhere, true);
        let first_machine = first.machine;
        if is_first_repeat && let Some(machine) = self.machines.get_mut(&first_machine) {
            machine.health.retract_failure(attempt.task.class);
        }
        true
    }
}
