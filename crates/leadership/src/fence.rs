//! Fencing: rejects actions of earlier leaders at the place where they would take effect. A lease makes it unlikely that
//! two leaders act at the same time; the fence guarantees that delayed actions of an earlier leader have no effect.

use serde::{Deserialize, Serialize};

/// The fence at one place where actions take effect: the highest epoch announced there, which is the fencing token of
/// actions. The fence has to be made durable before an action of a new epoch takes effect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fence {
    #[serde(rename = "highest")]
    highest_epoch: u64,
}

/// The error for an action or announcement that is rejected because of its epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("epoch {presented_epoch} rejected: the highest announced epoch is {highest_epoch}")]
pub struct StaleEpoch {
    /// The epoch of the action or announcement.
    pub presented_epoch: u64,
    /// The highest epoch that was announced.
    pub highest_epoch: u64,
}

impl Fence {
    /// The highest epoch that was announced.
    pub fn highest_epoch(&self) -> u64 {
        self.highest_epoch
    }

    /// Announces the epoch of a leader, before the leader plans actions at this place. Returns whether the epoch is new; if
    /// so, the fence has to be made durable.
    ///
    /// # Errors
    ///
    /// Fails if a higher epoch was announced earlier.
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
    /// Fails if a higher epoch was announced, or if this epoch was not announced: its leader has not read the state at this
    /// place before it planned the action.
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
