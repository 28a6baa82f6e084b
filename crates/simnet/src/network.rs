//! The network: its links, one-way cuts and partitions, and the delivery of datagrams.

use std::collections::{BTreeMap, BTreeSet};

use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};

use crate::link::{Link, Micros};

/// A network between nodes, which are numbered from 0: a default link, links with their own settings, one-way cuts and
/// partitions.
#[derive(Clone, Debug)]
pub struct Network {
    rng: Pcg64Mcg,
    /// The link between nodes for which no link was set.
    pub default_link: Link,
    links: BTreeMap<(usize, usize), Link>,
    cuts: BTreeSet<(usize, usize)>,
    /// The partition of each node; nodes without an entry are in partition 0.
    partitions: BTreeMap<usize, usize>,
    /// Number of datagrams lost, including those lost to cuts and partitions.
    pub lost_datagrams: u64,
}

impl Network {
    /// Creates a network without faults.
    pub fn new(seed: u64) -> Network {
        Network {
            rng: Pcg64Mcg::seed_from_u64(seed),
            default_link: Link::default(),
            links: BTreeMap::new(),
            cuts: BTreeSet::new(),
            partitions: BTreeMap::new(),
            lost_datagrams: 0,
        }
    }

    /// Sets the link from one node to another.
    pub fn set_link(&mut self, from: usize, to: usize, link: Link) {
        self.links.insert((from, to), link);
    }

    /// Cuts the link from one node to another; the reverse direction still works.
    pub fn cut(&mut self, from: usize, to: usize) {
        self.cuts.insert((from, to));
    }

    /// Ends a one-way cut.
    pub fn restore(&mut self, from: usize, to: usize) {
        self.cuts.remove(&(from, to));
    }

    /// Partitions the nodes, replacing an earlier partitioning. Nothing is delivered between different partitions.
    pub fn partition(&mut self, partitions: &[Vec<usize>]) {
        let numbered = partitions.iter().enumerate();
        self.partitions = numbered
            .flat_map(|(number, nodes)| nodes.iter().map(move |&node| (node, number)))
            .collect();
    }

    /// Ends all cuts and partitions, and removes all links except the default one.
    pub fn heal(&mut self) {
        self.cuts.clear();
        self.partitions.clear();
        self.links.clear();
    }

    /// Sends a datagram. Returns the delay of each copy that is delivered: none if it is lost, two if it is duplicated.
    pub fn send(&mut self, from: usize, to: usize) -> Vec<Micros> {
        let link = self.link(from, to);
        if !self.is_connected(from, to) || self.sample(link.loss_probability) {
            self.lost_datagrams += 1;
            return Vec::new();
        }
        let copies = if self.sample(link.duplicate_probability) {
            2
        } else {
            1
        };
        (0..copies).map(|_| self.delay(link)).collect()
    }

    fn link(&self, from: usize, to: usize) -> Link {
        self.links
            .get(&(from, to))
            .copied()
            .unwrap_or(self.default_link)
    }

    /// Whether neither a cut nor a partition blocks datagrams from one node to another.
    fn is_connected(&self, from: usize, to: usize) -> bool {
        !self.cuts.contains(&(from, to)) && self.partition_of(from) == self.partition_of(to)
    }

    fn partition_of(&self, node: usize) -> usize {
        self.partitions.get(&node).copied().unwrap_or(0)
    }

    /// Samples the delay of one copy.
    fn delay(&mut self, link: Link) -> Micros {
        let late_delay = if self.sample(link.late_probability) {
            link.late_delay
        } else {
            0
        };
        let latency_range = link.max_latency.saturating_sub(link.min_latency).max(1);
        link.min_latency + self.rng.next_u64() % latency_range + late_delay
    }

    /// Returns `true` with this probability.
    fn sample(&mut self, probability: f64) -> bool {
        let uniform = (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
        uniform < probability
    }
}
