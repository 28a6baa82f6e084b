//! Elections after crashes, partitions, pauses and restarts, and the bounded length of the log.

use crate::cluster::{Cluster, MS, SECOND};

#[test]
fn elects_one_stable_leader_in_clusters_of_one_to_seven() {
    for (seed, voter_count) in [(1, 1), (2, 3), (3, 5), (4, 7)] {
        let mut cluster = Cluster::new(seed, voter_count);
        cluster.run_until_acting(8 * SECOND);
        let leader = cluster.acting_voter();
        cluster.run(60 * SECOND);
        assert_eq!(
            (cluster.acting_voter(), cluster.leader_by_epoch.len()),
            (leader, 1),
            "the leader changed without a fault"
        );
    }
}

#[test]
fn elects_new_leader_after_crash_partition_and_pause() {
    for seed in 0..10 {
        let mut cluster = Cluster::new(seed, 3);
        cluster.run_until_acting(8 * SECOND);
        let first = cluster.acting_voter().expect("a voter acts as leader");
        cluster.crash(first, 30 * SECOND);
        cluster.run(SECOND);
        cluster.run_until_acting(8 * SECOND);
        let second = cluster.acting_voter().expect("a voter acts as leader");
        assert_ne!(first, second);
        cluster.run(40 * SECOND);
        let isolated = cluster.acting_voter().expect("a voter acts as leader");
        let others: Vec<usize> = (1..=3).filter(|&id| id != isolated as usize).collect();
        cluster
            .network
            .partition(&[others, vec![isolated as usize]]);
        cluster.run(SECOND);
        cluster.run_until_acting(8 * SECOND);
        assert_ne!(cluster.acting_voter(), Some(isolated));
        cluster.network.heal();
        cluster.run(10 * SECOND);
        // After a long pause the lease of the paused leader has expired, so it must not act.
        let paused = cluster.acting_voter().expect("a voter acts as leader");
        cluster.pause(paused, 20 * SECOND);
        cluster.run(SECOND);
        cluster.run_until_acting(8 * SECOND);
        assert_ne!(cluster.acting_voter(), Some(paused));
        cluster.run(30 * SECOND);
        assert!(
            cluster.leader_by_epoch.len() >= 4,
            "{:?}",
            cluster.leader_by_epoch
        );
    }
}

#[test]
fn restarted_voter_does_not_vote_while_lease_may_be_valid() {
    for offset in 0..300 {
        let mut cluster = Cluster::new(100 + offset, 3);
        cluster.run_until_acting(8 * SECOND);
        cluster.run(5 * SECOND);
        let leader = cluster.acting_voter().expect("a voter acts as leader");
        let (isolated, follower) = match leader {
            1 => (2, 3),
            2 => (1, 3),
            _ => (1, 2),
        };
        // The isolated voter receives nothing from the leader and requests votes. The follower rejects them.
        cluster.network.cut(leader as usize, isolated);
        cluster.network.cut(isolated, leader as usize);
        cluster.run(4 * SECOND + offset * 7 * MS);
        assert_eq!(cluster.acting_voter(), Some(leader));
        // After a quick restart the follower has lost its record of the leader, whose lease still depends on its vote.
        cluster.crash(follower, MS);
        cluster.run(3 * SECOND);
        assert_eq!(
            (cluster.acting_voter(), cluster.leader_by_epoch.len()),
            (Some(leader), 1),
            "offset {offset}"
        );
    }
}

#[test]
fn no_voter_acts_without_majority_and_epoch_increases_after_all_voters_crash() {
    let mut cluster = Cluster::new(5, 3);
    cluster.run_until_acting(8 * SECOND);
    let epoch = cluster
        .last_acting
        .expect("a voter has acted as leader")
        .epoch;
    cluster.network.partition(&[vec![1], vec![2], vec![3]]);
    cluster.run(3 * SECOND);
    let before = cluster.acting_checks;
    cluster.run(3_600 * SECOND);
    assert_eq!(
        cluster.acting_checks, before,
        "a voter acted as leader without a majority"
    );
    cluster.network.heal();
    (1..=3).for_each(|id| cluster.crash(id, SECOND));
    cluster.run(2 * SECOND);
    cluster.run_until_acting(10 * SECOND);
    assert!(cluster.last_acting.expect("a voter acts as leader").epoch > epoch);
}

#[test]
fn voter_with_lost_store_is_not_counted_under_its_old_id() {
    let mut cluster = Cluster::new(6, 3);
    cluster.run_until_acting(8 * SECOND);
    cluster.run(5 * SECOND);
    let leader = cluster.acting_voter().expect("a voter acts as leader");
    let other = (1..=3).find(|&id| id != leader).expect("another voter");
    cluster.crash(other, SECOND);
    let process = cluster.processes.get_mut(&other).expect("a voter");
    process.durable = Default::default();
    cluster.run(5 * SECOND);
    assert!(
        cluster.store_mismatch_reports > 0,
        "the new store was accepted in place of the registered one"
    );
    // The other two voters are a majority without it; one of them alone is not.
    cluster.run_until_acting(8 * SECOND);
    let third = (1..=3)
        .find(|&id| id != leader && id != other)
        .expect("a third voter");
    cluster.crash(third, 60 * SECOND);
    cluster.run(4 * SECOND);
    let before = cluster.acting_checks;
    cluster.run(20 * SECOND);
    assert_eq!(
        cluster.acting_checks, before,
        "a voter that may have lost the record of a vote was counted for a majority"
    );
}

#[test]
fn log_stays_bounded_and_voter_catches_up_by_snapshot_after_long_absence() {
    let mut cluster = Cluster::new(7, 3);
    cluster.run_until_acting(8 * SECOND);
    cluster.crash(3, 4_000 * SECOND);
    // Each crash of the leader adds a lease to the log.
    for round in 0..700 {
        cluster.run(3 * SECOND);
        if let Some(leader) = cluster.acting_voter()
            && round % 2 == 0
        {
            cluster.crash(leader, 100 * MS);
        }
    }
    cluster.run(2_000 * SECOND);
    cluster.run_until_acting(10 * SECOND);
    cluster.run(10 * SECOND);
    let latest = cluster
        .last_acting
        .expect("a voter has acted as leader")
        .epoch;
    assert!(latest > 200, "the latest epoch is only {latest}");
    for (id, process) in &cluster.processes {
        let voter = process.voter().expect("the voter runs");
        assert!(
            voter.log_length() <= 600,
            "the log of voter {id} has {} entries",
            voter.log_length()
        );
        assert_eq!(
            voter.state().latest_lease.map(|lease| lease.epoch),
            Some(latest),
            "voter {id}"
        );
    }
}
