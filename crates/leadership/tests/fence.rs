//! Fencing of actions by their epoch.

use maplethread_leadership::{Fence, StaleEpoch};

fn stale(presented_epoch: u64, highest_epoch: u64) -> StaleEpoch {
    StaleEpoch {
        presented_epoch,
        highest_epoch,
    }
}

#[test]
fn rejects_stale_and_unannounced_epochs() {
    let mut fence = Fence::default();
    assert_eq!(fence.advance(3), Ok(true));
    assert_eq!(fence.advance(3), Ok(false));
    assert_eq!(fence.authorize(3), Ok(()));
    assert_eq!(fence.authorize(4), Err(stale(4, 3)));
    assert_eq!(fence.advance(5), Ok(true));
    assert_eq!(fence.authorize(3), Err(stale(3, 5)));
    assert_eq!(fence.advance(4), Err(stale(4, 5)));
    assert_eq!(fence.authorize(5), Ok(()));
}
