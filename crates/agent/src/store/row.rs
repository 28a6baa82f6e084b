//! The stored format of a task: postcard, with the offer encoded as a frame of the host protocol.
//!
//! Postcard encodes fields and variants by position: their order and types are part of the format, their names are not.

use maplethread_wire::frame::{self, Frame, Reason};
use serde::{Deserialize, Serialize};

use super::{Damage, StoreError};
use crate::agent::{ProcessIdentity, StoredTask, TaskState};

#[derive(Serialize, Deserialize)]
enum StateRow {
    Accepted,
    Starting,
    Running { pid: u32, start_ticks: u64 },
    Finished { reason: u8, possibly_started: bool },
}

#[derive(Serialize, Deserialize)]
struct TaskRow<'a> {
    placer: &'a str,
    state: StateRow,
    /// The offer, encoded as a [`Frame::Held`].
    offer: Vec<u8>,
}

impl From<TaskState> for StateRow {
    fn from(state: TaskState) -> StateRow {
        match state {
            TaskState::Accepted => StateRow::Accepted,
            TaskState::Starting => StateRow::Starting,
            TaskState::Running(ProcessIdentity { pid, start_ticks }) => {
                StateRow::Running { pid, start_ticks }
            }
            TaskState::Finished {
                reason,
                possibly_started,
            } => StateRow::Finished {
                reason: reason as u8,
                possibly_started,
            },
        }
    }
}

impl From<StateRow> for TaskState {
    fn from(row: StateRow) -> TaskState {
        match row {
            StateRow::Accepted => TaskState::Accepted,
            StateRow::Starting => TaskState::Starting,
            StateRow::Running { pid, start_ticks } => {
                TaskState::Running(ProcessIdentity { pid, start_ticks })
            }
            StateRow::Finished {
                reason,
                possibly_started,
            } => TaskState::Finished {
                reason: Reason::from_byte(reason),
                possibly_started,
            },
        }
    }
}

pub(super) fn encode_task(task: &StoredTask) -> Result<Vec<u8>, StoreError> {
    let mut offer = Vec::new();
    frame::encode(&Frame::Held(task.offer.clone(), false), &mut offer);
    let row = TaskRow {
        placer: &task.placer,
        state: task.state.into(),
        offer,
    };
    postcard::to_stdvec(&row).map_err(StoreError::Encode)
}

pub(super) fn decode_task(attempt: u64, bytes: &[u8]) -> Result<StoredTask, Damage> {
    let row: TaskRow<'_> =
        postcard::from_bytes(bytes).map_err(|source| Damage::Task { attempt, source })?;
    let Ok((Some(Frame::Held(offer, _)), _)) = frame::decode(&row.offer) else {
        return Err(Damage::Offer { attempt });
    };
    if offer.attempt_id != attempt {
        return Err(Damage::AttemptMismatch {
            attempt,
            offered: offer.attempt_id,
        });
    }
    Ok(StoredTask {
        placer: row.placer.into(),
        offer,
        state: row.state.into(),
    })
}
