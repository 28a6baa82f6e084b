//! The one final answer of each task (rule 1), and what a rejection promises and advises (rule 2).

use super::Placer;
use super::attempts::PendingTask;
use super::outlier::CAPACITY_BACKOFF;
use super::random::mix_bits;
use crate::interface::{
    Action, AttemptId, BlockReason, DeduplicationScope, Micros, RetrySafety, Task, TaskId,
};

/// Answers are given this long before the owner's deadline, so that a late turn still meets it.
pub(super) const ANSWER_MARGIN: Micros = 12_000;

impl Placer {
    pub(super) fn is_past_answer_deadline(&self, task: &Task) -> bool {
        task.deadline <= self.now + ANSWER_MARGIN
    }

    /// Rule 1: the one final answer. Rule 2: a rejection promises that nothing ran, or will.
    pub(super) fn send_final_answer(&mut self, id: TaskId, actions: &mut Vec<Action>) {
        let Some(pending) = self.pending.remove(&id) else {
            return;
        };
        let safety = self.settings.classes[pending.task.class].retry_safety;
        let is_idempotent = safety == RetrySafety::Idempotent;
        if pending.is_in_flight && is_idempotent && self.settings.limits.can_cancel {
            actions.push(Action::Cancel(AttemptId {
                task: id,
                number: pending.attempts - 1,
            }));
        }
        actions.push(if is_safe_to_repeat(&pending, safety) {
            Action::Reject {
                task: id,
                retry_after: self.retry_after(&pending),
            }
        } else {
            Action::Fail(id)
        });
    }

    /// When to ask again: what the task waited for takes about so long to change. Spread by the task's number, so that
    /// those rejected together do not return together.
    fn retry_after(&self, pending: &PendingTask) -> Option<Micros> {
        let max = self.settings.limits.max_retry_after?;
        let about = match pending.block_reason {
            Some(BlockReason::NoKindFits) => return Some(max),
            Some(BlockReason::WarmUpBudget) => self.settings.rules.overload_window,
            // Not blocked, but its attempts are used up: machines that were full stay so for about as long.
            None | Some(_) => CAPACITY_BACKOFF,
        };
        Some((about / 2 + mix_bits(pending.task.id.0) % about.max(1)).min(max))
    }
}

/// Whether the owner may ask again without a second effect, whatever became of earlier attempts.
fn is_safe_to_repeat(pending: &PendingTask, safety: RetrySafety) -> bool {
    match safety {
        RetrySafety::Idempotent
        | RetrySafety::IdempotencyKey {
            scope: DeduplicationScope::All,
            ..
        } => true,
        RetrySafety::IdempotencyKey { .. } | RetrySafety::NonIdempotent => {
            !pending.is_in_flight && pending.possibly_started.is_none()
        }
    }
}
