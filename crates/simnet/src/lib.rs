//! A faulty network and its time, without sockets: what becomes of each datagram between two numbered places. The model
//! of the fleet asks it with simulated time, the rig with the clock, so one set of faults serves both.

use std::collections::{BTreeMap, BTreeSet};

use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};

/// Time, µs.
pub type Micros = u64;

/// What becomes of datagrams on a way, in one direction.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Way {
    /// This share is lost.
    pub loss: f64,
    /// This share comes twice.
    pub double: f64,
    /// Each takes between these times, so that they overtake each other...
    pub least: Micros,
    /// ...up to this.
    pub most: Micros,
    /// This share comes much later...
    pub late: f64,
    /// ...by this much.
    pub late_by: Micros,
}

impl Default for Way {
    fn default() -> Way {
        Way { loss: 0.0, double: 0.0, least: 200, most: 2_000, late: 0.0, late_by: 60_000_000 }
    }
}

/// The network between places `0..`: a usual way, ways that differ, cuts in one direction, and parts.
#[derive(Clone, Debug)]
pub struct Net {
    rng: Pcg64Mcg,
    /// The way where nothing else is said.
    pub usual: Way,
    ways: BTreeMap<(usize, usize), Way>,
    cuts: BTreeSet<(usize, usize)>,
    /// Which part each place is in; those not named are in part 0.
    parts: BTreeMap<usize, usize>,
    /// Datagrams lost on the way, cuts and parts included.
    pub lost: u64,
}

impl Net {
    /// A network without faults.
    pub fn new(seed: u64) -> Net {
        Net {
            rng: Pcg64Mcg::seed_from_u64(seed),
            usual: Way::default(),
            ways: BTreeMap::new(),
            cuts: BTreeSet::new(),
            parts: BTreeMap::new(),
            lost: 0,
        }
    }

    /// A way that differs from the usual one.
    pub fn way(&mut self, from: usize, to: usize, way: Way) {
        self.ways.insert((from, to), way);
    }

    /// Nothing comes through from one to the other; the way back stays.
    pub fn cut(&mut self, from: usize, to: usize) {
        self.cuts.insert((from, to));
    }

    /// The end of such a cut.
    pub fn mend(&mut self, from: usize, to: usize) {
        self.cuts.remove(&(from, to));
    }

    /// Parts the places: nothing comes through between different parts.
    pub fn part(&mut self, parts: &[Vec<usize>]) {
        self.parts =
            parts.iter().enumerate().flat_map(|(n, part)| part.iter().map(move |&p| (p, n))).collect();
    }

    /// Ends all cuts and parts, and ways that differ.
    pub fn heal(&mut self) {
        self.cuts.clear();
        self.parts.clear();
        self.ways.clear();
    }

    fn chance(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// How long a datagram takes that is sent now: nothing where it is lost, two times where it comes twice.
    pub fn send(&mut self, from: usize, to: usize) -> Vec<Micros> {
        let part = |p: usize| self.parts.get(&p).copied().unwrap_or(0);
        if self.cuts.contains(&(from, to)) || part(from) != part(to) {
            self.lost += 1;
            return Vec::new();
        }
        let way = self.ways.get(&(from, to)).copied().unwrap_or(self.usual);
        if self.chance() < way.loss {
            self.lost += 1;
            return Vec::new();
        }
        let copies = if self.chance() < way.double { 2 } else { 1 };
        let mut takes = Vec::with_capacity(copies);
        for _ in 0..copies {
            let late = if self.chance() < way.late { way.late_by } else { 0 };
            let spread = way.most.saturating_sub(way.least).max(1);
            takes.push(way.least + self.rng.next_u64() % spread + late);
        }
        takes
    }
}
