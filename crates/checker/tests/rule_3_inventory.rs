//! Rule 3: what an inventory says binds a placer once it could read it.

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

/// Whether an offer at 14 s to a host that the inventory lists as gone since 10 s is a violation, with a grace of 2 s.
fn is_violated(happened: &[Timed]) -> bool {
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
    let all = offered.into_iter().chain(happened.iter().cloned());
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
        "it was paused until then"
    );
    assert!(
        is_violated(&[paused(9 * S), resumed(11 * S)]),
        "the grace is over since it was resumed"
    );
    assert!(
        !is_violated(&[paused(9 * S), unreadable(10 * S + S / 2), resumed(11 * S)]),
        "it could not read it then"
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
    assert!(is_violated(&[unreadable(11 * S)]), "it had read it by then");
    assert!(
        !is_violated(&[unreadable(10 * S + 1000)]),
        "nobody reads that fast"
    );
}
