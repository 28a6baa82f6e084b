//! Tasks, as requested by their owners.

use super::{Micros, Resources};

/// The id of the service that a task belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct ServiceId(pub u64);

/// The id of one request to place a task. A resubmission has a new id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct TaskId(pub u64);

/// The label of the timer at which blocked tasks, deferred tasks and failed discovery calls are tried again.
pub const TICK_TIMER_LABEL: u64 = 0;

impl TaskId {
    /// The label of the task's own timer, at which the request gets its final answer.
    pub fn timer_label(self) -> u64 {
        self.0 + 1
    }

    /// The task whose own timer has this label; none for [`TICK_TIMER_LABEL`]. The timer has no effect once the task needs
    /// no final answer, so the caller may drop it then.
    pub fn from_timer_label(label: u64) -> Option<TaskId> {
        label.checked_sub(1).map(TaskId)
    }
}

/// A task and its requirements.
#[derive(Clone, Copy, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Task {
    /// The id of this request.
    pub id: TaskId,
    /// Its service.
    pub service: ServiceId,
    /// Its class, an index into [`Settings::classes`](super::Settings::classes).
    pub class: usize,
    /// The requested cores and memory.
    #[cfg_attr(feature = "serde", serde(rename = "asks"))]
    pub requested: Resources,
    /// How long it is expected to run, in microseconds.
    #[cfg_attr(feature = "serde", serde(rename = "life"))]
    pub expected_duration: Option<Micros>,
    /// When its owner stops waiting for an answer, on the caller's clock.
    #[cfg_attr(feature = "serde", serde(rename = "give_up_at"))]
    pub deadline: Micros,
    /// Whether its owner resubmitted it after a rejection, failure, migration or loss.
    #[cfg_attr(feature = "serde", serde(rename = "again"))]
    pub is_resubmission: bool,
}
