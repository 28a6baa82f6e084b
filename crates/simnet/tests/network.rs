//! Faults of the network: which datagrams are delivered, how often and with which delay.

use maplethread_simnet::{Link, Micros, Network};

/// Number of datagrams sent in each test of a probability.
const DATAGRAM_COUNT: usize = 10_000;

/// Sends many datagrams over one link. Returns the delays of the delivered copies of each.
fn deliveries(network: &mut Network) -> Vec<Vec<Micros>> {
    (0..DATAGRAM_COUNT).map(|_| network.send(0, 1)).collect()
}

fn with_link(link: Link) -> Network {
    let mut network = Network::new(1);
    network.default_link = link;
    network
}

/// Whether a count is within 10% of this share of the datagrams.
fn is_within_ten_percent(count: usize, share: f64) -> bool {
    let expected = DATAGRAM_COUNT as f64 * share;
    (count as f64 - expected).abs() < expected / 10.0
}

#[test]
fn delivers_each_datagram_once_within_latency_without_faults() {
    let link = Link::default();
    for delays in deliveries(&mut Network::new(1)) {
        assert_eq!(delays.len(), 1);
        assert!(
            (link.min_latency..link.max_latency).contains(&delays[0]),
            "{delays:?}"
        );
    }
}

#[test]
fn equal_seeds_give_equal_deliveries() {
    let run = |seed| {
        let mut network = Network::new(seed);
        network.default_link.loss_probability = 0.3;
        deliveries(&mut network)
    };
    assert_eq!(run(7), run(7));
    assert_ne!(run(7), run(8));
}

#[test]
fn loses_and_counts_the_configured_share() {
    let mut network = with_link(Link {
        loss_probability: 0.2,
        ..Link::default()
    });
    let lost = deliveries(&mut network)
        .iter()
        .filter(|delays| delays.is_empty())
        .count();
    assert!(is_within_ten_percent(lost, 0.2), "{lost}");
    assert_eq!(network.lost_datagrams, lost as u64);
}

#[test]
fn delivers_duplicates_with_independent_latencies() {
    let mut network = with_link(Link {
        duplicate_probability: 0.1,
        ..Link::default()
    });
    let duplicated: Vec<Vec<Micros>> = deliveries(&mut network)
        .into_iter()
        .filter(|d| d.len() == 2)
        .collect();
    assert!(
        is_within_ten_percent(duplicated.len(), 0.1),
        "{}",
        duplicated.len()
    );
    assert!(duplicated.iter().any(|delays| delays[0] != delays[1]));
}

#[test]
fn delays_late_datagrams_by_configured_time() {
    let late_delay = 1_000_000;
    let mut network = with_link(Link {
        late_probability: 0.1,
        late_delay,
        ..Link::default()
    });
    let late = deliveries(&mut network)
        .iter()
        .flatten()
        .filter(|&&delay| delay >= late_delay)
        .count();
    assert!(is_within_ten_percent(late, 0.1), "{late}");
}

#[test]
fn equal_min_and_max_latency_gives_fixed_latency() {
    let mut network = with_link(Link {
        min_latency: 500,
        max_latency: 500,
        ..Link::default()
    });
    assert!(
        deliveries(&mut network)
            .iter()
            .all(|delays| *delays == [500])
    );
}

#[test]
fn cut_blocks_one_direction_until_restored() {
    let mut network = Network::new(1);
    network.cut(0, 1);
    assert!(network.send(0, 1).is_empty());
    assert_eq!(network.send(1, 0).len(), 1);
    assert_eq!(network.lost_datagrams, 1);
    network.restore(0, 1);
    assert_eq!(network.send(0, 1).len(), 1);
}

#[test]
fn partitions_are_isolated_and_unlisted_nodes_belong_to_the_first() {
    let mut network = Network::new(1);
    network.partition(&[vec![0, 1], vec![2]]);
    assert_eq!(network.send(0, 1).len(), 1);
    assert!(network.send(0, 2).is_empty());
    assert!(network.send(2, 1).is_empty());
    assert_eq!(network.send(9, 0).len(), 1);
    network.partition(&[]);
    assert_eq!(network.send(0, 2).len(), 1);
}

#[test]
fn heal_removes_cuts_partitions_and_custom_links() {
    let mut network = Network::new(1);
    network.cut(0, 1);
    network.partition(&[vec![0], vec![2]]);
    network.set_link(
        0,
        3,
        Link {
            loss_probability: 1.0,
            ..Link::default()
        },
    );
    assert!([1, 2, 3].iter().all(|&to| network.send(0, to).is_empty()));
    network.heal();
    assert!([1, 2, 3].iter().all(|&to| network.send(0, to).len() == 1));
}
