//! The final answer of each task (rule 1), and what a rejection guarantees and advises (rule 2).

use super::Placer;
use super::attempts::PendingTask;
use super::outlier::CAPACITY_BACKOFF;
use super::random::mix_bits;
use crate::interface::{
    Action, AttemptId, BlockReason, DeduplicationScope, Micros, RetrySafety, Task, TaskId,
};

/// Final answers are sent this long before the owner's deadline, so that a late turn still meets it.
pub(super) const ANSWER_MARGIN: Micros = 12_000;

impl Placer {
    pub(super) fn is_past_answer_deadline(&self, task: &Task) -> bool {
        task.deadline <= self.now + ANSWER_MARGIN
    }

    /// Sends the one final answer (rule 1). A rejection guarantees that a resubmission has no second effect (rule 2).
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
        actions.push(if is_safe_to_resubmit(&pending, safety) {
            Action::Reject {
                task: id,
                retry_after: self.retry_after(&pending),
            }
        } else {
            Action::Fail(id)
        });
    }

    /// The retry-after of a rejection: about the time after which the block reason may no longer apply. Jitter derived
    /// from the task's id keeps tasks that are rejected together from being resubmitted together.
    fn retry_after(&self, pending: &PendingTask) -> Option<Micros> {
        let max = self.settings.limits.max_retry_after?;
        let base = match pending.block_reason {
            Some(BlockReason::NoKindFits) => return Some(max),
            Some(BlockReason::WarmUpBudget) => self.settings.rules.overload_window,
            // Blocked for another reason, or out of attempts. Machines that rejected the task are skipped for about
            // this long.
            None | Some(_) => CAPACITY_BACKOFF,
        };
        Some((base / 2 + mix_bits(pending.task.id.0) % base.max(1)).min(max))
    }
}

/// Whether a resubmission by the owner is safe: either a second start has no further effect, or no attempt can have
/// started the task.
fn is_safe_to_resubmit(pending: &PendingTask, safety: RetrySafety) -> bool {
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
