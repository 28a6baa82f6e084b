//! What a member is started with.

use std::net::SocketAddr;
use std::time::Duration;

use crate::id::{Facts, Name};
use crate::packet::Keys;

/// A member's settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Its name.
    pub name: Name,
    /// Where others send to it.
    pub advertise: SocketAddr,
    /// Its life: when its process started, ms of Unix time.
    pub life: u64,
    /// What it says of itself at first.
    pub facts: Facts,
    /// Where it looks for others at first, and for parts of the fleet that went apart.
    pub seeds: Vec<SocketAddr>,
    /// The fleet's keys.
    pub keys: Keys,
    /// How it goes about it.
    pub pace: Pace,
}

/// Periods and bounds.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// A member is tested this often.
    pub probe_every: Duration,
    /// It has so long to answer before others are asked to test it.
    pub probe_within: Duration,
    /// So many others are asked.
    pub helpers: usize,
    /// A suspect has so many periods to refute, times the decimal logarithm of the fleet, and at least so many.
    pub suspicion: u32,
    /// News are passed on this often, each to as many as are asked to help.
    pub gossip_every: Duration,
    /// A member is asked this often whether it sees the same fleet.
    pub sync_every: Duration,
    /// Seeds and members thought down are tried again this often.
    pub seek_every: Duration,
    /// Members that are gone are forgotten after this.
    pub forget_after: Duration,
    /// Members at a time, those that are gone included; further ones are not taken in.
    pub most: usize,
}

impl Default for Pace {
    fn default() -> Pace {
        Pace {
            probe_every: Duration::from_secs(1),
            probe_within: Duration::from_millis(300),
            helpers: 3,
            suspicion: 5,
            gossip_every: Duration::from_millis(200),
            sync_every: Duration::from_secs(2),
            seek_every: Duration::from_secs(5),
            forget_after: Duration::from_secs(600),
            most: 4096,
        }
    }
}

impl Pace {
    /// All periods so many times as short, but for the memory of the gone.
    pub fn faster(self, times: u32) -> Pace {
        Pace {
            probe_every: self.probe_every / times,
            probe_within: self.probe_within / times,
            gossip_every: self.gossip_every / times,
            sync_every: self.sync_every / times,
            seek_every: self.seek_every / times,
            ..self
        }
    }

    /// How long a suspect has to refute in a fleet of so many.
    pub fn suspect_for(&self, members: usize) -> Duration {
        self.probe_every
            .mul_f64(f64::from(self.suspicion) * ((members + 1) as f64).log10().max(1.0))
    }

    /// How often each piece of news is passed on in a fleet of so many.
    pub(crate) fn transmissions(&self, members: usize) -> u8 {
        (4.0 * ((members + 1) as f64).log10().ceil().max(1.0)) as u8
    }
}
