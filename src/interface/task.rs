//! Tasks, as their owners request them.

use super::{Micros, Resources};

/// The service that a task belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct ServiceId(pub u64);

/// One placing of a task. A task that comes again has a new one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct TaskId(pub u64);

/// A task as its owner describes it.
#[derive(Clone, Copy, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Task {
    /// This placing of it.
    pub id: TaskId,
    /// Its service.
    pub service: ServiceId,
    /// Its class, an index into [`Settings::classes`].
    pub class: usize,
    /// What it asks for.
    #[cfg_attr(feature = "serde", serde(rename = "asks"))]
    pub requested: Resources,
    /// How long it should still run, roughly.
    #[cfg_attr(feature = "serde", serde(rename = "life"))]
    pub expected_duration: Option<Micros>,
    /// When its owner gives up.
    #[cfg_attr(feature = "serde", serde(rename = "give_up_at"))]
    pub deadline: Micros,
    /// It came again after a refusal, failure, move or loss.
    #[cfg_attr(feature = "serde", serde(rename = "again"))]
    pub is_resubmission: bool,
}
