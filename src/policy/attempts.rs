//! Attempts and the tasks that are owed an answer: what becomes of offers, and what follows from that (rules 1 and 2).

use super::Placer;
use super::outlier::EndedAttempt;
use super::service_rate::{Locality, StartKind};
use crate::interface::{
    AcceptancePoint, Action, AttemptId, AttemptOutcome, AttemptResult, BlockReason, MachineId,
    Micros, Task,
};

/// A placer that applies an answer at least this late was stalled; less is the pace of its turns.
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
    /// It is accepted, and counts among the starts in progress.
    pub(super) is_starting: bool,
    /// Since when it has been served too little.
    pub(super) underserved_since: Option<Micros>,
}

impl Attempt {
    /// An offer that is sent now.
    pub(super) fn offered(task: Task, machine: MachineId, locality: Locality, now: Micros) -> Self {
        Attempt {
            task,
            machine,
            locality,
            sent_at: now,
            is_accepted: false,
            is_started: false,
            is_starting: false,
            underserved_since: None,
        }
    }

    /// A task that runs already.
    pub(super) fn running(task: Task, machine: MachineId, now: Micros) -> Self {
        Attempt {
            is_accepted: true,
            is_started: true,
            ..Attempt::offered(task, machine, Locality::Local, now)
        }
    }

    fn start_kind(&self) -> StartKind {
        StartKind {
            service: self.task.service,
            class: self.task.class,
            machine: self.machine,
            locality: self.locality,
        }
    }
}

/// The first attempt of a task that may have run.
#[derive(Clone, Copy)]
pub(super) struct PossibleStart {
    pub(super) sent_at: Micros,
    pub(super) machine: MachineId,
}

/// The machine that answered a task's first error, and whether another one did as well.
#[derive(Clone, Copy)]
struct FirstError {
    machine: MachineId,
    is_repeated_elsewhere: bool,
}

/// A task that is owed its final answer.
#[derive(Clone, Copy)]
pub(super) struct PendingTask {
    pub(super) task: Task,
    /// Attempts made so far.
    pub(super) attempts: u32,
    pub(super) is_in_flight: bool,
    pub(super) possibly_started: Option<PossibleStart>,
    first_error: Option<FirstError>,
    /// What it waits for, while it is blocked.
    pub(super) block_reason: Option<BlockReason>,
    /// Until when tasks that come for the first time go before it.
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
    /// Counts an attempt in: an offer, or a task that runs already.
    pub(super) fn track_attempt(&mut self, id: AttemptId, attempt: Attempt) {
        if self.attempts.insert(id, attempt).is_some() {
            return;
        }
        let task = &attempt.task;
        if let Some(machine) = self.machines.get_mut(&attempt.machine) {
            machine.add_own(task.requested, self.now);
        }
        self.placements.add(task.service, attempt.machine, self.now);
    }

    /// Counts an attempt out; the task was last known to be on the machine at `last_seen`.
    fn release_attempt(&mut self, attempt: &Attempt, last_seen: Micros) {
        let task = &attempt.task;
        if let Some(machine) = self.machines.get_mut(&attempt.machine) {
            machine.remove_own(task.requested, self.now);
        }
        self.placements
            .remove(task.service, attempt.machine, last_seen);
    }

    /// An attempt is no start in progress any more: it runs, or is over.
    pub(super) fn finish_start(&mut self, id: &AttemptId) {
        if let Some(attempt) = self.attempts.get_mut(id)
            && std::mem::take(&mut attempt.is_starting)
        {
            self.restart_throttle.finish_start();
        }
    }

    /// The machine accepted: how long that took, and that the machine lives.
    pub(super) fn handle_accepted(&mut self, id: &AttemptId, elapsed: Option<Micros>) {
        self.pending.remove(&id.task);
        if let Some(attempt) = self.attempts.get_mut(id) {
            if !attempt.is_started && !attempt.is_starting {
                attempt.is_starting = true;
                self.restart_throttle.begin_start();
            }
            attempt.is_accepted = true;
            // After a stall the machine's time counts, not this placer's own silence.
            let since_sent = self.now - attempt.sent_at;
            let stall = elapsed
                .map(|elapsed| since_sent.saturating_sub(elapsed))
                .filter(|&stall| stall > MIN_STALL)
                .unwrap_or(0);
            attempt.sent_at += stall;
            let class = attempt.task.class;
            let took = since_sent - stall;
            self.answer_times.record(class, attempt.locality, took);
            if let Some(machine) = self.machines.get_mut(&attempt.machine) {
                machine.health.record_acceptance(class, self.now);
            }
        }
        if self.settings.acceptance_point == AcceptancePoint::Running {
            self.handle_started(id);
        }
    }

    /// The task runs. Only here a service rate is sampled, so failed attempts give no sample.
    pub(super) fn handle_started(&mut self, id: &AttemptId) {
        self.finish_start(id);
        let Some(attempt) = self.attempts.get_mut(id).filter(|a| !a.is_started) else {
            return;
        };
        attempt.is_started = true;
        let class = attempt.task.class;
        let objective = self.settings.classes[class].latency_objective;
        let took = self.now - attempt.sent_at;
        self.service_rates
            .record_start(attempt.start_kind(), took, objective);
        if let Some(machine) = self.machines.get_mut(&attempt.machine) {
            machine.health.record_start(class, self.now);
        }
    }

    /// An attempt ended: the task is done, retried or answered.
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
        let is_task_at_fault =
            result.outcome == AttemptOutcome::Error && self.fails_on_every_machine(&attempt);
        if let Some(machine) = self.machines.get_mut(&attempt.machine) {
            let ended = EndedAttempt {
                class: attempt.task.class,
                requested: attempt.task.requested,
                was_accepted: attempt.is_accepted,
            };
            machine
                .health
                .record_outcome(&ended, &result, is_task_at_fault, self.now);
        }
        if result.closes_task || attempt.is_accepted {
            self.pending.remove(&id.task);
        }
        self.retry_or_answer(id, &attempt, result.outcome, actions);
    }

    /// When a task whose attempt ended was last on its machine. What was cut off may have been so long ago, with its
    /// process.
    fn last_seen(&self, attempt: &Attempt, result: &AttemptResult) -> Micros {
        let is_cut_off = attempt.is_accepted
            && result.outcome == AttemptOutcome::Disconnected
            && result.reason.is_none();
        if is_cut_off {
            attempt.sent_at
        } else {
            self.now
        }
    }

    /// What follows for a task that is still owed its answer.
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
            self.waiting.push_back(id.task);
        }
    }

    /// Whether an error is the task's. A task that no machine can run would else make every machine look unhealthy in
    /// turn: an error of a second machine tells of the task, and what the first one cost its machine is taken back.
    fn fails_on_every_machine(&mut self, attempt: &Attempt) -> bool {
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
            machine.health.forgive_failure(attempt.task.class);
        }
        true
    }
}
