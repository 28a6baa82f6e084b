//! Leased replica indexes: only a placer that holds one may send offers to warming hosts, no two placers hold the same
//! one, and the waiting time of a free one is measured.

mod support;

use maplethread_checker::{Observation, Verdict};

use support::{
    S, Timed, check_timed, host_started, name, offer_sent, parameters_of_warming_host,
    placer_connected, placer_paused, placer_resumed, placer_started, placer_stopped,
};

/// The numbers of the two placers' connections.
const P_CONNECTION: u64 = 0;
const Q_CONNECTION: u64 = 1;

fn index_locked(replica_index: &str, placer: &str) -> Observation {
    Observation::ReplicaIndexLocked {
        replica_index: name(replica_index),
        placer: name(placer),
    }
}

fn index_released(replica_index: &str) -> Observation {
    Observation::ReplicaIndexReleased {
        replica_index: name(replica_index),
        lock_delay_us: S,
    }
}

/// Checks these observations of two placers and a host that warms up for the whole history of 60 s.
fn check_two_placers(further: Vec<Timed>) -> Verdict {
    let initial = [
        (0, host_started()),
        (1, placer_started("p")),
        (2, placer_connected(P_CONNECTION, "p", 1)),
        (1, placer_started("q")),
        (2, placer_connected(Q_CONNECTION, "q", 1)),
    ];
    let end = (60 * S, Observation::HostStopped { host: name("h") });
    let all = initial.into_iter().chain(further).chain([end]);
    check_timed(all, &parameters_of_warming_host())
}

fn violations(further: Vec<Timed>) -> Vec<String> {
    check_two_placers(further)
        .violations
        .into_iter()
        .map(|violation| violation.description)
        .collect()
}

#[test]
fn reports_warm_up_offer_without_replica_index() {
    assert!(
        violations(vec![
            (S, index_locked("0", "p")),
            (2 * S, offer_sent(P_CONNECTION, 1))
        ])
        .is_empty()
    );
    let by_other_placer = violations(vec![
        (S, index_locked("0", "p")),
        (2 * S, offer_sent(Q_CONNECTION, 1)),
    ]);
    assert!(
        by_other_placer[0].contains("holds no replica index"),
        "{by_other_placer:?}"
    );
    // Until the lock delay has passed, offers that were sent before the release may still arrive.
    let offered_after_release = |at| {
        violations(vec![
            (S, index_locked("0", "p")),
            (5 * S, index_released("0")),
            (at, offer_sent(P_CONNECTION, 1)),
        ])
    };
    assert!(offered_after_release(5 * S + S / 2).is_empty());
    assert!(offered_after_release(7 * S)[0].contains("replica index 0 was released"));
    // A new process does not inherit the replica index of the previous one.
    let restarted = |more: Vec<Timed>| {
        let mut all = vec![
            (S, index_locked("0", "p")),
            (5 * S, placer_stopped("p")),
            (6 * S, placer_started("p")),
            (7 * S, placer_connected(P_CONNECTION, "p", 2)),
        ];
        all.extend(more);
        violations(all)
    };
    assert!(
        restarted(vec![(8 * S, offer_sent(P_CONNECTION, 1))])[0].contains("holds no replica index")
    );
    assert!(
        restarted(vec![
            (8 * S, index_locked("1", "p")),
            (9 * S, offer_sent(P_CONNECTION, 1))
        ])
        .is_empty()
    );
}

#[test]
fn reports_replica_index_held_twice() {
    assert!(
        violations(vec![
            (S, index_locked("0", "p")),
            (2 * S, index_locked("1", "q"))
        ])
        .is_empty()
    );
    assert!(
        violations(vec![
            (S, index_locked("0", "p")),
            (2 * S, index_locked("0", "q"))
        ])[0]
            .contains("p still held")
    );
    let locked_after_release = |at| {
        violations(vec![
            (S, index_locked("0", "p")),
            (5 * S, index_released("0")),
            (at, index_locked("0", "q")),
        ])
    };
    assert_eq!(
        locked_after_release(5 * S + S / 2).len(),
        1,
        "within the lock delay"
    );
    assert!(locked_after_release(6 * S).is_empty());
}

#[test]
fn counts_wait_only_while_replica_index_could_be_locked() {
    let waits = |more: Vec<Timed>| {
        let mut all = vec![(S, index_locked("0", "p")), (5 * S, index_released("0"))];
        all.extend(more);
        check_two_placers(all).replica_index_waits_us
    };
    // The wait begins when the lock delay has passed.
    assert_eq!(waits(vec![(8 * S, index_locked("0", "q"))]), [2 * S]);
    // Time without a leader, or without a running placer that needs an index, does not count.
    let no_leader = (
        7 * S,
        Observation::CatalogueLeaderLost { duration_us: 2 * S },
    );
    assert_eq!(
        waits(vec![no_leader, (10 * S, index_locked("0", "q"))]),
        [2 * S]
    );
    let no_placer = vec![
        (7 * S, placer_stopped("p")),
        (7 * S, placer_paused("q")),
        (9 * S, placer_resumed("q")),
        (10 * S, index_locked("0", "q")),
    ];
    assert_eq!(waits(no_placer), [2 * S]);
    // Never locked again: it waited until the end of the history.
    assert_eq!(waits(vec![]), [54 * S]);
}
