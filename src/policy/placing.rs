//! Placing a pending task: it is offered to a machine, deferred, blocked or answered (rules 1 and 2).

use super::answers::ANSWER_MARGIN;
use super::attempts::{Attempt, PendingTask};
use super::selection::Selection;
use super::{MAX_BLOCKED_PER_TURN, Placer, restart_throttle};
use crate::interface::{Action, AttemptId, BlockReason, Micros, RetrySafety, TaskId};

impl Placer {
    /// Offers a task to the selected machine, defers or blocks it, or sends its final answer.
    pub(super) fn place(&mut self, id: TaskId, actions: &mut Vec<Action>) {
        let Some(pending) = self.pending.get(&id).copied() else {
            return;
        };
        if pending.is_in_flight || self.is_past_answer_deadline(&pending.task) {
            return;
        }
        let deadline = self.offer_deadline(&pending);
        let max_attempts = self.settings.limits.max_attempts;
        if deadline <= self.now + ANSWER_MARGIN || pending.attempts >= max_attempts {
            self.send_final_answer(id, actions);
            return;
        }
        if let Some(until) = pending.deferred_until.filter(|&until| until > self.now)
            && self
                .restart_throttle
                .is_at_limit(self.max_starts_in_progress())
        {
            self.restart_throttle.defer(id, until);
            return;
        }
        match self.select_machine(&pending) {
            Ok(selection) => self.offer(&pending, selection, deadline, actions),
            Err(reason) => self.block(id, reason, actions),
        }
    }

    /// Until when the task may be offered; 0 if it must not be offered again. Rule 2: a task that may have run is sent
    /// again only as its class allows. With an idempotency key, an offer must not be sent after the key's window. As an
    /// offer may wait for a connection, its timeout ends with the window.
    fn offer_deadline(&self, pending: &PendingTask) -> Micros {
        let safety = self.settings.classes[pending.task.class].retry_safety;
        match (pending.possibly_started, safety) {
            (None, _) | (_, RetrySafety::Idempotent) => pending.task.deadline,
            (Some(_), RetrySafety::NonIdempotent) => 0,
            (Some(first), RetrySafety::IdempotencyKey { window, .. }) => {
                (first.sent_at + window).min(pending.task.deadline)
            }
        }
    }

    fn offer(
        &mut self,
        pending: &PendingTask,
        selection: Selection,
        deadline: Micros,
        actions: &mut Vec<Action>,
    ) {
        let task = pending.task;
        let Selection { machine, locality } = selection;
        let timeout = self.answer_times.timeout(
            &self.settings.classes,
            task.class,
            locality,
            pending.attempts,
            deadline - self.now,
        );
        actions.push(Action::Offer {
            task: task.id,
            machine,
            timeout,
        });
        let attempt = AttemptId {
            task: task.id,
            number: pending.attempts,
        };
        self.track_attempt(attempt, Attempt::offered(task, machine, locality, self.now));
        if let Some(pending) = self.pending.get_mut(&task.id) {
            pending.attempts += 1;
            pending.is_in_flight = true;
            pending.block_reason = None;
        }
        if let Some(machine) = self.machines.get_mut(&machine) {
            machine.health.record_offer(task.class);
            let window = self.settings.rules.overload_window;
            machine.recent_offers.record(self.now, window);
        }
    }

    /// Blocks a task until a later turn, and reports its block reason when that changes. A task that fits no kind of
    /// machine is answered at once.
    fn block(&mut self, task: TaskId, reason: BlockReason, actions: &mut Vec<Action>) {
        if let Some(pending) = self.pending.get_mut(&task)
            && pending.block_reason.replace(reason) != Some(reason)
        {
            actions.push(Action::Blocked { task, reason });
        }
        if reason == BlockReason::NoKindFits {
            self.send_final_answer(task, actions);
        } else {
            self.blocked.push_back(task);
        }
    }

    fn max_starts_in_progress(&self) -> u32 {
        let ready = self
            .machines
            .values()
            .filter(|machine| machine.is_ready() && machine.is_connected)
            .count();
        restart_throttle::max_starts_in_progress(ready, self.settings.replica_count)
    }

    /// Places deferred tasks while starts in progress are below the limit, or once their deferral has ended.
    pub(super) fn release_deferred(&mut self, actions: &mut Vec<Action>) {
        if !self.restart_throttle.has_deferred() {
            return;
        }
        let max_starts = self.max_starts_in_progress();
        for _ in 0..MAX_BLOCKED_PER_TURN {
            let Some(task) = self.restart_throttle.take_released(max_starts, self.now) else {
                break;
            };
            self.place(task, actions);
        }
    }
}
