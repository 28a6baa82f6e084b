//! Leased replica indexes: only a placer with one offers to hosts that warm up, no two placers hold one, and how long a
//! free one waits.

mod support;

use maplethread_checker::{Observation, Verdict};

use support::{
    S, Timed, check_timed, host_started, name, offer_sent, parameters_of_warming_host,
    placer_connected, placer_paused, placer_resumed, placer_started, placer_stopped,
};

/// The connections of the two placers.
const P: u64 = 0;
const Q: u64 = 1;

fn index_locked(replica_index: &str, placer: &str) -> Observation {
    Observation::ReplicaIndexLocked {
        replica_index: name(replica_index),
        placer: name(placer),
    }
}

fn index_released(replica_index: &str) -> Observation {
    Observation::ReplicaIndexReleased {
        replica_index: name(replica_index),
        after_us: S,
    }
}

/// Two placers, and a host that warms up for the whole history of 60 s.
fn check_two_placers(happened: Vec<Timed>) -> Verdict {
    let begin = [
        (0, host_started()),
        (1, placer_started("p")),
        (2, placer_connected(P, "p", 1)),
        (1, placer_started("q")),
        (2, placer_connected(Q, "q", 1)),
    ];
    let end = (60 * S, Observation::HostStopped { host: name("h") });
    let all = begin.into_iter().chain(happened).chain([end]);
    check_timed(all, &parameters_of_warming_host())
}

fn violations(happened: Vec<Timed>) -> Vec<String> {
    check_two_placers(happened)
        .violations
        .into_iter()
        .map(|violation| violation.description)
        .collect()
}

#[test]
fn reports_warm_up_offer_without_replica_index() {
    assert!(violations(vec![(S, index_locked("0", "p")), (2 * S, offer_sent(P, 1))]).is_empty());
    let by_other = violations(vec![(S, index_locked("0", "p")), (2 * S, offer_sent(Q, 1))]);
    assert!(by_other[0].contains("holds no number"), "{by_other:?}");
    // Released: until somebody else can have it, what is still on its way does no harm.
    let offered_after_release = |at| {
        violations(vec![
            (S, index_locked("0", "p")),
            (5 * S, index_released("0")),
            (at, offer_sent(P, 1)),
        ])
    };
    assert!(offered_after_release(5 * S + S / 2).is_empty());
    assert!(offered_after_release(7 * S)[0].contains("was let go of"));
    // A new process holds nothing that it did not lock itself.
    let restarted = |more: Vec<Timed>| {
        let mut all = vec![
            (S, index_locked("0", "p")),
            (5 * S, placer_stopped("p")),
            (6 * S, placer_started("p")),
            (7 * S, placer_connected(P, "p", 2)),
        ];
        all.extend(more);
        violations(all)
    };
    assert!(restarted(vec![(8 * S, offer_sent(P, 1))])[0].contains("holds no number"));
    assert!(
        restarted(vec![
            (8 * S, index_locked("1", "p")),
            (9 * S, offer_sent(P, 1))
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
    // From the lock delay on.
    assert_eq!(waits(vec![(8 * S, index_locked("0", "q"))]), [2 * S]);
    // Nobody could lock it while there was no leader, or no placer.
    let no_leader = (7 * S, Observation::CatalogueLeaderLost { for_us: 2 * S });
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
    // Never locked: it has waited until the end.
    assert_eq!(waits(vec![]), [54 * S]);
}
