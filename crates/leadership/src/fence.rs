//! The fence at a place where acts land: it keeps the highest epoch it was shown and refuses lower ones. A lease narrows the
//! time in which two could act; this proves that an old owner's late acts have no effect.

use serde::{Deserialize, Serialize};

/// The highest epoch that a place was shown. The place keeps it durably before it lets an act of that epoch take effect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fence {
    highest: u64,
}

/// An act or a raise of an epoch that is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("epoch {given} is over; this place has seen {highest}")]
pub struct Refused {
    /// The epoch of the act.
    pub given: u64,
    /// The highest that was seen.
    pub highest: u64,
}

impl Fence {
    /// The highest epoch seen.
    pub fn highest(&self) -> u64 {
        self.highest
    }

    /// A new owner shows its epoch before it plans anything for this place; whether it is new here and has to be kept.
    pub fn raise(&mut self, epoch: u64) -> Result<bool, Refused> {
        self.admits(epoch)?;
        let new = epoch > self.highest;
        self.highest = epoch;
        Ok(new)
    }

    /// Whether an act of this epoch may take effect. One that was never raised here is refused as well: its owner has not
    /// seen the state that it would act on.
    pub fn act(&self, epoch: u64) -> Result<(), Refused> {
        self.admits(epoch)?;
        if epoch > self.highest {
            return Err(Refused {
                given: epoch,
                highest: self.highest,
            });
        }
        Ok(())
    }

    fn admits(&self, epoch: u64) -> Result<(), Refused> {
        if epoch < self.highest {
            Err(Refused {
                given: epoch,
                highest: self.highest,
            })
        } else {
            Ok(())
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn acts_of_an_earlier_epoch_and_of_one_never_raised_have_no_effect() {
        let mut fence = Fence::default();
        assert_eq!(fence.raise(3), Ok(true));
        assert_eq!(fence.raise(3), Ok(false));
        assert_eq!(fence.act(3), Ok(()));
        assert_eq!(
            fence.act(4),
            Err(Refused {
                given: 4,
                highest: 3
            })
        );
        assert_eq!(fence.raise(5), Ok(true));
        assert_eq!(
            fence.act(3),
            Err(Refused {
                given: 3,
                highest: 5
            })
        );
        assert_eq!(
            fence.raise(4),
            Err(Refused {
                given: 4,
                highest: 5
            })
        );
        assert_eq!(fence.act(5), Ok(()));
    }
}
