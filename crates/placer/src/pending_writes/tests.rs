//! The order of writing.

use super::PendingWrites;

#[test]
fn returns_each_connection_once_in_order_of_first_insertion() {
    let mut dirty = PendingWrites::default();
    for token in [30, 10, 20, 30, 40] {
        dirty.insert(token);
    }
    dirty.remove(20);
    assert_eq!(dirty.take(), vec![30, 10, 40]);
    assert!(dirty.take().is_empty());
    dirty.insert(10);
    assert_eq!(dirty.take(), vec![10]);
}
