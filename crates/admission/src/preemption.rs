//! Selects tasks to preempt for a task of higher priority, and tasks to evict because the host runs out of memory.

use maplethread_wire::frame::ResourceAmounts;

use crate::admission::{Admission, AdmittedTask};
use crate::request::{RejectionReason, TaskRequest};

/// How far a sum of requests may exceed the limit, in cores or GiB, to allow for rounding errors.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// The resource that is insufficient for a request, if tasks have requested `requested` already.
fn insufficient_resource(
    request: &TaskRequest,
    requested: ResourceAmounts,
    limit: ResourceAmounts,
) -> Option<RejectionReason> {
    if requested.cores + request.cores > limit.cores + ROUNDING_TOLERANCE {
        Some(RejectionReason::InsufficientCores)
    } else if requested.memory_gib + request.memory_gib > limit.memory_gib + ROUNDING_TOLERANCE {
        Some(RejectionReason::InsufficientMemory)
    } else {
        None
    }
}

impl Admission {
    /// Selects the attempts to preempt so that a request fits: the first ones of the candidates, and no more than
    /// necessary.
    ///
    /// # Errors
    /// The resource that is insufficient even if all candidates were preempted.
    pub(crate) fn select_preemptions(
        &self,
        request: &TaskRequest,
    ) -> Result<Vec<u64>, RejectionReason> {
        let limit = self.policy().requestable();
        let mut requested = self.requested();
        let mut preempted = Vec::new();
        let Some(mut reason) = insufficient_resource(request, requested, limit) else {
            return Ok(preempted);
        };
        if !self.policy().allows_preemption {
            return Err(reason);
        }
        for candidate in self.preemption_candidates(request.priority, limit) {
            requested.cores -= candidate.request.cores;
            requested.memory_gib -= candidate.request.memory_gib;
            preempted.push(candidate.request.attempt_id);
            match insufficient_resource(request, requested, limit) {
                Some(new_reason) => reason = new_reason,
                None => return Ok(preempted),
            }
        }
        Err(reason)
    }

    /// Tasks of lower priority, with the lowest priority first. Within a priority the largest come first, so that few
    /// tasks are preempted.
    fn preemption_candidates(&self, priority: u32, limit: ResourceAmounts) -> Vec<&AdmittedTask> {
        let size = |task: &AdmittedTask| {
            task.request.cores / limit.cores + task.request.memory_gib / limit.memory_gib
        };
        let mut lower: Vec<&AdmittedTask> = self
            .admitted()
            .filter(|task| task.request.priority < priority)
            .collect();
        lower.sort_by(|a, b| {
            (a.request.priority.cmp(&b.request.priority)).then(size(b).total_cmp(&size(a)))
        });
        lower
    }

    /// Selects the attempts to evict so that the memory in use falls below `limit_gib`: the lowest priority first, and
    /// within a priority those that exceed their request most. `used_gib` returns the memory that an attempt uses.
    pub fn select_evictions(&self, limit_gib: f64, used_gib: impl Fn(u64) -> f64) -> Vec<u64> {
        let mut candidates: Vec<(&TaskRequest, f64)> = self
            .admitted()
            .map(|task| (&task.request, used_gib(task.request.attempt_id)))
            .collect();
        let mut in_use: f64 = candidates.iter().map(|(_, used)| used).sum();
        let excess = |(request, used): &(&TaskRequest, f64)| used - request.memory_gib;
        candidates.sort_by(|a, b| {
            (a.0.priority.cmp(&b.0.priority)).then(excess(b).total_cmp(&excess(a)))
        });
        let mut evicted = Vec::new();
        for (request, used) in candidates {
            if in_use < limit_gib {
                break;
            }
            if used > 0.0 {
                in_use -= used;
                evicted.push(request.attempt_id);
            }
        }
        evicted
    }
}
