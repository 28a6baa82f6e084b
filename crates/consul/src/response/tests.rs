//! The index of blocking queries.

use super::*;

#[test]
fn blocking_index_is_zero_if_the_index_went_back_and_otherwise_at_least_one() {
    assert_eq!(next_blocking_index(5, 9), 9);
    assert_eq!(
        next_blocking_index(9, 5),
        0,
        "the index went back: restart from 0"
    );
    assert_eq!(
        next_blocking_index(0, 0),
        1,
        "the query blocks even if the index is missing or zero"
    );
}
