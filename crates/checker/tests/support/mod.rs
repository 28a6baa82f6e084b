//! Shared helpers of the checker's tests: parameters, and observations of a host `h`, a placer `p` and a class `c`.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::sync::Arc;

use maplethread_checker::{
    HistoryEntry, Location, Observation, Outcome, RuleParameters, Verdict, check,
};
use maplethread_wire::frame::{DuplicatePolicy, Frame, Offer, ResourceAmounts};

/// One second, µs.
pub const S: u64 = 1_000_000;
/// One millisecond, µs.
pub const MS: u64 = 1_000;

/// An observation with its time, µs.
pub type Timed = (u64, Observation);

pub fn name(text: &str) -> Arc<str> {
    text.into()
}

pub fn location() -> Location {
    Location {
        host: name("h"),
        zone: name("z"),
        cell: name("k"),
    }
}

/// Parameters for one placer, without classes and hosts.
pub fn parameters() -> RuleParameters {
    RuleParameters {
        classes: Vec::new(),
        hosts: Vec::new(),
        placer_count: 1,
        drain_grace_us: 2 * S,
        warm_up_us: 6 * S,
        overload_window_us: 2 * S,
        max_warm_up_offers: 16.0,
        connection_loss_timeout_us: 5 * S,
        resume_grace_us: S / 2,
        timing_slack_us: 150 * MS,
    }
}

/// Parameters for one placer and the host `h`, which warms up for the whole history.
pub fn parameters_of_warming_host() -> RuleParameters {
    RuleParameters {
        hosts: vec![location()],
        warm_up_us: 1000 * S,
        ..parameters()
    }
}

/// Sorts these observations by time and checks them.
pub fn check_timed(
    observations: impl IntoIterator<Item = Timed>,
    rules: &RuleParameters,
) -> Verdict {
    let mut history: Vec<HistoryEntry> = observations
        .into_iter()
        .map(|(at_us, observation)| HistoryEntry { at_us, observation })
        .collect();
    history.sort_by_key(|entry| entry.at_us);
    check(&history, rules)
}

/// Number of violations of a rule.
pub fn count_of(rule: u8, verdict: &Verdict) -> u64 {
    verdict
        .violations_by_rule()
        .get(&rule)
        .copied()
        .unwrap_or(0)
}

/// An offer for the request `r{attempt}`.
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

/// Host `h` started at time 0.
pub fn host_started() -> Observation {
    Observation::HostStarted {
        host: name("h"),
        started_ms: 0,
    }
}

pub fn placer_connected(connection: u64, placer: &str, incarnation: u64) -> Observation {
    Observation::PlacerConnected {
        host: name("h"),
        connection,
        placer: name(placer),
        generation: incarnation,
    }
}

pub fn connection_lost(connection: u64) -> Observation {
    Observation::ConnectionLost {
        host: name("h"),
        connection,
    }
}

pub fn frame_from_placer(connection: u64, frame: Frame) -> Observation {
    Observation::FrameFromPlacer {
        host: name("h"),
        connection,
        frame,
    }
}

pub fn frame_from_host(connection: u64, frame: Frame) -> Observation {
    Observation::FrameFromHost {
        host: name("h"),
        connection,
        frame,
    }
}

/// Host `h` has read an offer for the request `r{attempt}`.
pub fn offer_sent(connection: u64, attempt: u64) -> Observation {
    frame_from_placer(connection, Frame::Offer(offer(attempt)))
}

/// Request `r` to placer `p`, with a budget of 3 s.
pub fn placement_requested() -> Observation {
    Observation::PlacementRequested {
        request: name("r"),
        placer: name("p"),
        class: name("c"),
        budget_us: 3 * S,
    }
}

/// An answer to request `r`.
pub fn answered(outcome: Outcome) -> Observation {
    Observation::Answered {
        request: name("r"),
        outcome,
    }
}

pub fn placer_started(placer: &str) -> Observation {
    Observation::PlacerStarted {
        placer: name(placer),
    }
}

pub fn placer_stopped(placer: &str) -> Observation {
    Observation::PlacerStopped {
        placer: name(placer),
    }
}

pub fn placer_paused(placer: &str) -> Observation {
    Observation::PlacerPaused {
        placer: name(placer),
    }
}

pub fn placer_resumed(placer: &str) -> Observation {
    Observation::PlacerResumed {
        placer: name(placer),
    }
}
