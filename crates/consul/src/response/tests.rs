//! The index of blocking queries.

use super::*;

#[test]
fn blocking_index_restarts_when_it_goes_back_and_is_never_zero_twice() {
    assert_eq!(next_blocking_index(5, 9), 9);
    assert_eq!(
        next_blocking_index(9, 5),
        0,
        "it went back: from the beginning"
    );
    assert_eq!(
        next_blocking_index(0, 0),
        1,
        "missing or zero: still one that blocks"
    );
}
