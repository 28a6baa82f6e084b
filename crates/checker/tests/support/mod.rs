//! What tests of the judge share: figures, names and offers.
#![allow(dead_code, reason = "each test file uses a part")]

use std::sync::Arc;

use maplethread_checker::RuleParameters;
use maplethread_wire::frame::{DuplicatePolicy, Offer, ResourceAmounts};

pub const S: u64 = 1_000_000;

pub fn name(text: &str) -> Arc<str> {
    text.into()
}

/// Figures of one placer, without classes and hosts.
pub fn parameters() -> RuleParameters {
    RuleParameters {
        classes: Vec::new(),
        hosts: Vec::new(),
        placer_count: 1,
        drain_grace_us: 2 * S,
        warm_up_us: 6 * S,
        overload_window_us: 2 * S,
        warm_up_offers: 16.0,
        lost_after_us: 5 * S,
        resume_grace_us: S / 2,
        timing_slack_us: 150_000,
    }
}

/// An offer of a request of its own, of class `c`.
pub fn offer(attempt: u64) -> Offer {
    Offer {
        attempt_id: attempt,
        prior_attempts: 0,
        service: "s".into(),
        actor: "a".into(),
        class: "c".into(),
        request_id: format!("r{attempt}"),
        requested: ResourceAmounts {
            cores: 1.0,
            memory_gib: 1.0,
        },
        priority: 0,
        duplicate_policy: DuplicatePolicy::Idempotent,
        expected_duration_ms: 0,
        answer_timeout_ms: 100,
    }
}
