//! Tasks, as their owners request them.

use super::{Micros, Resources};

/// The service that a task belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct ServiceId(pub u64);

/// One request to place a task. A task that is resubmitted has a new one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct TaskId(pub u64);

/// A task as its owner describes it.
#[derive(Clone, Copy, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Task {
    /// This request for it.
    pub id: TaskId,
    /// Its service.
    pub service: ServiceId,
    /// Its class, an index into [`Settings::classes`](super::Settings::classes).
    pub class: usize,
    /// The cores and memory it requests.
    #[cfg_attr(feature = "serde", serde(rename = "asks"))]
    pub requested: Resources,
    /// Roughly how long it should run.
    #[cfg_attr(feature = "serde", serde(rename = "life"))]
    pub expected_duration: Option<Micros>,
    /// When its owner stops waiting for an answer.
    #[cfg_attr(feature = "serde", serde(rename = "give_up_at"))]
    pub deadline: Micros,
    /// Its owner resubmitted it after a rejection, failure, migration or loss.
    #[cfg_attr(feature = "serde", serde(rename = "again"))]
    pub is_resubmission: bool,
}
