//! Rule 3: an inventory update applies to a placer from when the placer could have read it.

mod support;

use maplethread_checker::{Observation, RuleParameters};

use support::{
    S, Timed, check_timed, count_of, location, name, offer_sent, parameters, placer_connected,
    placer_paused, placer_resumed,
};

fn inventory_lists_host() -> Observation {
    Observation::InventoryReplaced {
        ready: vec![(name("h"), None)],
        gone: vec![],
    }
}

fn inventory_without_host() -> Observation {
    Observation::InventoryReplaced {
        ready: vec![],
        gone: vec![name("h")],
    }
}

/// Whether an offer at 14 s violates rule 3, if the inventory has listed its host as gone since 10 s, the grace period
/// is 2 s, and these further observations are made.
fn is_violated(further: &[Timed]) -> bool {
    let offered = [
        (S, placer_connected(1, "p", 1)),
        (2 * S, inventory_lists_host()),
        (10 * S, inventory_without_host()),
        (14 * S, offer_sent(1, 1)),
    ];
    let rules = RuleParameters {
        hosts: vec![location()],
        ..parameters()
    };
    let all = offered.into_iter().chain(further.iter().cloned());
    count_of(3, &check_timed(all, &rules)) > 0
}

#[test]
fn counts_inventory_update_from_when_placer_could_read_it() {
    let paused = |at| (at, placer_paused("p"));
    let resumed = |at| (at, placer_resumed("p"));
    let unreadable = |at| (at, Observation::InventoryUnreadable);
    let valid = |at| (at, inventory_without_host());
    assert!(is_violated(&[]));
    assert!(
        !is_violated(&[paused(9 * S), resumed(13 * S)]),
        "the placer was paused until 1 s before the offer"
    );
    assert!(
        is_violated(&[paused(9 * S), resumed(11 * S)]),
        "the grace period after the resume has passed"
    );
    assert!(
        !is_violated(&[paused(9 * S), unreadable(10 * S + S / 2), resumed(11 * S)]),
        "the file was unreadable when the placer was resumed"
    );
    assert!(!is_violated(&[
        paused(9 * S),
        unreadable(10 * S + S / 2),
        resumed(11 * S),
        valid(13 * S)
    ]));
    assert!(is_violated(&[
        paused(9 * S),
        unreadable(10 * S + S / 5),
        resumed(10 * S + S / 2),
        valid(11 * S)
    ]));
    assert!(
        is_violated(&[unreadable(11 * S)]),
        "the placer had read the file before"
    );
    assert!(
        !is_violated(&[unreadable(10 * S + 1000)]),
        "a placer cannot read the file within 1 ms"
    );
}
