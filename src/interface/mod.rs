//! The inputs and outputs of a [`Placer`](crate::Placer): settings, events and actions.
//!
//! Times are microseconds on the caller's clock, which may start at any value and never goes backwards. Where a field
//! or variant was renamed, `serde(rename)` keeps the name under which it is stored.

mod action;
mod attempt;
mod event;
mod machine;
mod resources;
mod settings;
mod task;
#[cfg(feature = "serde")]
mod tuple_variants;

pub use action::{Action, BlockReason};
pub use attempt::{AttemptId, AttemptOutcome, AttemptResult, FailureReason, TaskReport};
pub use event::Event;
pub use machine::{MachineEntry, MachineId, MachineState, UpdateScope};
pub use resources::Resources;
pub use settings::{
    AcceptancePoint, CallerLimits, Class, Costs, DeduplicationScope, DiscoveryMode,
    LoadReportContent, RetrySafety, Rules, Settings, SettingsError, SpreadLimit, TopologyLevel,
};
pub use task::{ServiceId, TICK_TIMER_LABEL, Task, TaskId};

/// A point in time or a duration, in microseconds.
pub type Micros = u64;
