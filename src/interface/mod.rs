//! What goes into a [`Placer`](crate::Placer) and what comes out: settings, events, actions.
//!
//! Times are microseconds on the caller's clock, which may start anywhere and never runs back. What is serialized keeps
//! the names under which it has always been written, by `serde(rename)`; the names in the code are those of the field.

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
    AcceptancePoint, Class, Costs, DeduplicationScope, DiscoveryMode, Limits, LoadReport,
    RetrySafety, Rules, Settings, SettingsError, SpreadLimit, TopologyLevel,
};
pub use task::{ServiceId, Task, TaskId};

/// A point in time, or a span, in microseconds.
pub type Micros = u64;
