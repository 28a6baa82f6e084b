//! Limit of the queue.

use super::*;

#[test]
fn counts_items_dropped_when_the_queue_is_full() {
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
    // Two items of weight four fit; all later ones belong to one gap.
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
