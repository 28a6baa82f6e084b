//! Fencing: rejects actions of earlier leaders where they would take effect. A lease makes it unlikely that two leaders act
//! at once; the fence guarantees that late actions of an earlier one have no effect.

use serde::{Deserialize, Serialize};

/// The highest epoch that was announced at one place, whose number is the fencing token of actions there. The place has to
/// make the fence durable before an action of a new epoch takes effect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fence {
    #[serde(rename = "highest")]
    highest_epoch: u64,
}

/// An action or an announcement of an epoch that is not the current one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("epoch {presented_epoch} is over; this place has seen {highest_epoch}")]
pub struct StaleEpoch {
    /// The epoch of the action.
    pub presented_epoch: u64,
    /// The highest epoch that was announced.
    pub highest_epoch: u64,
}

impl Fence {
    /// The highest epoch that was announced.
    pub fn highest_epoch(&self) -> u64 {
        self.highest_epoch
    }

    /// Announces a leader's epoch, before the leader plans any action at this place. Returns whether the epoch is new, so
    /// that the fence has to be made durable.
    ///
    /// # Errors
    ///
    /// Fails if a higher epoch was announced before.
    pub fn advance(&mut self, epoch: u64) -> Result<bool, StaleEpoch> {
        if epoch < self.highest_epoch {
            return Err(self.stale(epoch));
        }
        let is_new = epoch > self.highest_epoch;
        self.highest_epoch = epoch;
        Ok(is_new)
    }

    /// Checks whether an action of this epoch may take effect.
    ///
    /// # Errors
    ///
    /// Fails if a higher epoch was announced, or if this one was not: its leader has not seen the state on which it would
    /// act.
    pub fn authorize(&self, epoch: u64) -> Result<(), StaleEpoch> {
        if epoch == self.highest_epoch {
            Ok(())
        } else {
            Err(self.stale(epoch))
        }
    }

    fn stale(&self, presented_epoch: u64) -> StaleEpoch {
        StaleEpoch {
            presented_epoch,
            highest_epoch: self.highest_epoch,
        }
    }
}
