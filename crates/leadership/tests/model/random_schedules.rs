//! Random fault schedules: partitions, one-way cuts, lost, late and duplicated messages, crashes, and pauses. After the last
//! fault a voter must become the acting leader.

use maplethread_simnet::Link;

use crate::cluster::{Cluster, MS, SECOND};

fn run_random_schedule(seed: u64) {
    let voter_count = [3, 5][seed as usize % 2];
    let mut cluster = Cluster::new(seed, voter_count);
    cluster.crash_between_outputs = seed.is_multiple_of(3);
    for _ in 0..25 {
        inject_random_fault(&mut cluster, voter_count);
        let duration = 100 * MS + cluster.random_below(4 * SECOND);
        cluster.run(duration);
    }
    cluster.crash_between_outputs = false;
    cluster.network.heal();
    cluster.network.default_link = Link::default();
    cluster.run(15 * SECOND);
    cluster.run_until_acting(40 * SECOND);
}

fn inject_random_fault(cluster: &mut Cluster, voter_count: u64) {
    let id = 1 + cluster.random_below(voter_count);
    match cluster.random_below(8) {
        0 => {
            let mut partitions = vec![Vec::new(), Vec::new()];
            for voter in 1..=voter_count as usize {
                partitions[cluster.random_below(2) as usize].push(voter);
            }
            cluster.network.partition(&partitions);
        }
        1 => {
            let other = 1 + cluster.random_below(voter_count);
            cluster.network.cut(id as usize, other as usize);
        }
        2 => cluster.network.default_link = random_link(cluster),
        3 | 4 => {
            let restart_after = 10 * MS + cluster.random_below(4 * SECOND);
            cluster.crash(id, restart_after);
        }
        5 => {
            let duration = 200 * MS + cluster.random_below(10 * SECOND);
            cluster.pause(id, duration);
        }
        6 => {
            for id in 1..=voter_count {
                let restart_after = 10 * MS + cluster.random_below(SECOND);
                cluster.crash(id, restart_after);
            }
        }
        _ => cluster.network.heal(),
    }
}

fn random_link(cluster: &mut Cluster) -> Link {
    let loss_probability = cluster.random_below(30) as f64 / 100.0;
    let late_probability = cluster.random_below(10) as f64 / 100.0;
    let late_delay = 500 * MS + cluster.random_below(20 * SECOND);
    Link {
        loss_probability,
        duplicate_probability: 0.1,
        min_latency: 200,
        max_latency: 300 * MS,
        late_probability,
        late_delay,
    }
}

#[test]
fn at_most_one_voter_acts_in_random_schedules() {
    (0..150).for_each(run_random_schedule);
}

#[test]
fn at_most_one_voter_acts_in_more_random_schedules() {
    (10_000..10_150).for_each(run_random_schedule);
}

/// Run with `cargo test --release -p maplethread-leadership --test model -- --ignored`.
#[test]
#[ignore = "runs 5000 schedules; run separately in a release build"]
fn at_most_one_voter_acts_in_thousands_of_random_schedules() {
    (20_000..25_000).for_each(run_random_schedule);
}
