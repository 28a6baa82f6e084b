//! The order of writing.

use super::Dirty;

#[test]
fn connections_are_written_once_and_in_the_order_in_which_they_got_something() {
    let mut dirty = Dirty::default();
    for token in [30, 10, 20, 30, 40] {
        dirty.insert(token);
    }
    dirty.remove(20);
    assert_eq!(dirty.take(), vec![30, 10, 40]);
    assert!(dirty.take().is_empty());
    dirty.insert(10);
    assert_eq!(dirty.take(), vec![10]);
}
