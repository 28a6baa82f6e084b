//! Order of queued connections.

use super::PendingWrites;

#[test]
fn returns_each_connection_once_in_order_of_first_insertion() {
    let mut pending = PendingWrites::default();
    for token in [30, 10, 20, 30, 40] {
        pending.insert(token);
    }
    pending.remove(20);
    assert_eq!(pending.take(), vec![30, 10, 40]);
    assert!(pending.take().is_empty());
    pending.insert(10);
    assert_eq!(pending.take(), vec![10]);
}
