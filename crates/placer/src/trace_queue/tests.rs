//! The queue's limit.

use super::*;

#[test]
fn counts_items_lost_when_the_queue_is_full() {
    let queue = TraceQueue::new(10);
    let turn = || {
        TraceItem::Turn(Turn {
            now: 1,
            events: vec![Event::TimerFired { label: 1 }; 3],
            actions: Vec::new(),
        })
    };
    for at in 0..5 {
        queue.push(at, turn());
    }
    let buffer = queue.take();
    // Two of weight four fit; the rest is one gap, also what would have fitted.
    let lost = Loss {
        turns: 3,
        records: 3,
    };
    assert_eq!((buffer.items.len(), buffer.lost), (2, lost));
    queue.push(9, turn());
    assert_eq!(
        (queue.take().items.len(), queue.take().lost),
        (1, Loss::default())
    );
}
