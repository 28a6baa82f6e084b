//! The names of outcomes, reasons and actions in reports. Scripts and operators read these printed and JSON reports, so
//! the names are stated here and don't follow the names of the variants in the code.

use std::fmt;

use maplethread::{Action, AttemptOutcome, AttemptResult, BlockReason, FailureReason};

/// The name of an attempt's outcome.
pub(crate) fn attempt_outcome(outcome: AttemptOutcome) -> &'static str {
    match outcome {
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

/// The name of the reason for an attempt's failure.
pub(crate) fn failure_reason(reason: FailureReason) -> &'static str {
    match reason {
        FailureReason::InsufficientCores => "Cores",
        FailureReason::InsufficientMemory => "Memory",
        FailureReason::QueueFull => "Line",
        FailureReason::Ineligible => "NotHere",
        FailureReason::Evicted => "Evicted",
        FailureReason::Preempted => "PushedOut",
        FailureReason::Drained => "SentAway",
    }
}

/// The name of the condition that a blocked task waits for.
pub(crate) fn block_reason(reason: BlockReason) -> &'static str {
    match reason {
        BlockReason::NoKindFits => "Size",
        BlockReason::NoReadyMachine => "Ready",
        BlockReason::NotConnected => "Link",
        BlockReason::OutsideDeduplicationScope => "Group",
        BlockReason::SpreadLimit => "Spread",
        BlockReason::WarmUpBudget => "Cold",
        BlockReason::NoCapacity => "Room",
    }
}

/// The name of an attempt's outcome, followed by the reason in parentheses if one is known: `Refused (Cores)`.
pub(crate) fn attempt_result(result: &AttemptResult) -> String {
    let outcome = attempt_outcome(result.outcome);
    match result.reason {
        Some(reason) => format!("{outcome} ({})", failure_reason(reason)),
        None => outcome.to_owned(),
    }
}

/// A list of actions as reports print it: `[Offer(TaskId(1), MachineId(2), 500000), Held(TaskId(3), Room)]`.
pub struct ActionList<'a>(pub &'a [Action]);

impl fmt::Display for ActionList<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_list()
            .entries(self.0.iter().map(ActionText))
            .finish()
    }
}

/// One action as reports print it.
struct ActionText<'a>(&'a Action);

impl fmt::Debug for ActionText<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Action::Offer {
                task,
                machine,
                timeout,
            } => f
                .debug_tuple("Offer")
                .field(task)
                .field(machine)
                .field(timeout)
                .finish(),
            Action::Cancel(attempt) => f.debug_tuple("Cancel").field(attempt).finish(),
            Action::Reject { task, retry_after } => f
                .debug_tuple("Refuse")
                .field(task)
                .field(retry_after)
                .finish(),
            Action::Fail(task) => f.debug_tuple("Fail").field(task).finish(),
            Action::Blocked { task, reason } => f
                .debug_tuple("Held")
                .field(task)
                .field(&format_args!("{}", block_reason(*reason)))
                .finish(),
            Action::Migrate(task) => f.debug_tuple("Move").field(task).finish(),
            Action::SetTimer { after, label } => {
                f.debug_tuple("Wake").field(after).field(label).finish()
            }
            Action::Probe(machine) => f.debug_tuple("Probe").field(machine).finish(),
            Action::CloseIdleConnections(machine) => {
                f.debug_tuple("CloseIdle").field(machine).finish()
            }
            Action::SendToPeer { to, bytes } => f
                .debug_struct("Tell")
                .field("to", to)
                .field("bytes", bytes)
                .finish(),
            Action::WatchEndpoints { enabled } => f.debug_tuple("Listen").field(enabled).finish(),
            Action::FetchEndpoints => f.write_str("Lookup"),
            Action::Log(line) => f.debug_tuple("Log").field(line).finish(),
        }
    }
}
