//! The names by which reports call what the module decides with. They are part of the printed and JSON reports that
//! scripts and operators read, so they are stated here and do not follow the names of the variants in the code.

use maplethread::{AttemptOutcome, AttemptResult, BlockReason, FailureReason};

/// The name in reports of how an attempt ended.
pub(crate) fn attempt_outcome(ending: AttemptOutcome) -> &'static str {
    match ending {
        AttemptOutcome::Completed => "Done",
        AttemptOutcome::Error => "Error",
        AttemptOutcome::Rejected => "Refused",
        AttemptOutcome::TimedOut => "TimedOut",
        AttemptOutcome::ConnectFailed => "Unreachable",
        AttemptOutcome::Disconnected => "Reset",
        AttemptOutcome::Cancelled => "Cancelled",
        AttemptOutcome::NeverSent => "NotSent",
    }
}

/// The name in reports of why an attempt ended.
pub(crate) fn failure_reason(why: FailureReason) -> &'static str {
    match why {
        FailureReason::Cores => "Cores",
        FailureReason::Memory => "Memory",
        FailureReason::QueueFull => "Line",
        FailureReason::Ineligible => "NotHere",
        FailureReason::Evicted => "Evicted",
        FailureReason::Preempted => "PushedOut",
        FailureReason::Drained => "SentAway",
    }
}

/// The name in reports of what a held task waits for.
pub(crate) fn block_reason(lack: BlockReason) -> &'static str {
    match lack {
        BlockReason::NoKindFits => "Size",
        BlockReason::NoReadyMachine => "Ready",
        BlockReason::NotConnected => "Link",
        BlockReason::OutsideDeduplicationScope => "Group",
        BlockReason::SpreadLimit => "Spread",
        BlockReason::WarmUpBudget => "Cold",
        BlockReason::NoCapacity => "Room",
    }
}

/// How an attempt ended, with the reason in brackets if one is known: `Refused (Cores)`.
pub(crate) fn attempt_result(end: &AttemptResult) -> String {
    match end.reason {
        Some(reason) => format!(
            "{} ({})",
            attempt_outcome(end.outcome),
            failure_reason(reason)
        ),
        None => attempt_outcome(end.outcome).to_owned(),
    }
}
