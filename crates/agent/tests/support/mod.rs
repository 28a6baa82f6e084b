//! Offers for the agent's tests.

use maplethread_wire::frame::{DuplicatePolicy, Offer, ResourceAmounts};

/// An offer of a task that needs half a core and half a GiB.
pub fn offer(attempt: u64) -> Offer {
    Offer {
        attempt_id: attempt,
        prior_attempts: 0,
        service: "s".into(),
        actor: "a".into(),
        class: "c".into(),
        request_id: "r".into(),
        requested: ResourceAmounts {
            cores: 0.5,
            memory_gib: 0.5,
        },
        priority: 0,
        duplicate_policy: DuplicatePolicy::NonIdempotent,
        expected_duration_ms: 0,
        answer_timeout_ms: 100,
    }
}
