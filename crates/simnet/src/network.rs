//! The network: its links, one-way cuts and partitions, and the fate of each datagram.

use std::collections::{BTreeMap, BTreeSet};

use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};

use crate::link::{Link, Micros};

/// The network between places `0..`: a default link, links that differ, one-way cuts, and partitions.
#[derive(Clone, Debug)]
pub struct Network {
    rng: Pcg64Mcg,
    /// The link between places for which no other was set.
    pub default_link: Link,
    links: BTreeMap<(usize, usize), Link>,
    cuts: BTreeSet<(usize, usize)>,
    /// The partition of each place; those not named are in partition 0.
    partitions: BTreeMap<usize, usize>,
    /// Datagrams lost, by cuts and partitions too.
    pub lost_datagrams: u64,
}

impl Network {
    /// A network without faults.
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

    /// Sets the link from one place to another.
    pub fn set_link(&mut self, from: usize, to: usize, link: Link) {
        self.links.insert((from, to), link);
    }

    /// Nothing is delivered from one place to the other; the reverse direction stays.
    pub fn cut(&mut self, from: usize, to: usize) {
        self.cuts.insert((from, to));
    }

    /// Ends a one-way cut.
    pub fn restore(&mut self, from: usize, to: usize) {
        self.cuts.remove(&(from, to));
    }

    /// Partitions the places, in place of an earlier partition: nothing is delivered between different ones.
    pub fn partition(&mut self, partitions: &[Vec<usize>]) {
        let numbered = partitions.iter().enumerate();
        self.partitions = numbered
            .flat_map(|(number, places)| places.iter().map(move |&place| (place, number)))
            .collect();
    }

    /// Ends all cuts and partitions, and drops all links but the default one.
    pub fn heal(&mut self) {
        self.cuts.clear();
        self.partitions.clear();
        self.links.clear();
    }

    /// Sends a datagram now: the delay of each copy that is delivered; none where it is lost, two where it is duplicated.
    pub fn send(&mut self, from: usize, to: usize) -> Vec<Micros> {
        let link = self.link(from, to);
        if !self.connected(from, to) || self.sample(link.loss_probability) {
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

    /// Whether neither a cut nor a partition lies between two places.
    fn connected(&self, from: usize, to: usize) -> bool {
        !self.cuts.contains(&(from, to)) && self.partition_of(from) == self.partition_of(to)
    }

    fn partition_of(&self, place: usize) -> usize {
        self.partitions.get(&place).copied().unwrap_or(0)
    }

    /// How long one copy takes.
    fn delay(&mut self, link: Link) -> Micros {
        let late = if self.sample(link.late_probability) {
            link.late_delay
        } else {
            0
        };
        let spread = link.max_latency.saturating_sub(link.min_latency).max(1);
        link.min_latency + self.rng.next_u64() % spread + late
    }

    fn sample(&mut self, probability: f64) -> bool {
        let drawn = (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
        drawn < probability
    }
}
