//! What a member is started with.

use std::net::SocketAddr;
use std::time::Duration;

use crate::id::{Facts, MemberName};
use crate::packet::KeyRing;

/// A member's settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Its name.
    pub name: MemberName,
    /// Where others send to it.
    pub advertised_address: SocketAddr,
    /// Its life: when its process started, ms of Unix time.
    pub generation: u64,
    /// What it says of itself at first.
    pub facts: Facts,
    /// Where it looks for others at first, and for parts of the fleet that went apart.
    pub seeds: Vec<SocketAddr>,
    /// The fleet's keys.
    pub keys: KeyRing,
    /// How it goes about it.
    pub timing: Timing,
}

/// Periods and bounds.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// A member is tested this often.
    pub probe_interval: Duration,
    /// It has so long to answer before others are asked to test it.
    pub probe_timeout: Duration,
    /// So many others are asked.
    pub indirect_probes: usize,
    /// A suspect has so many periods to refute, times the decimal logarithm of the fleet, and at least so many.
    pub suspicion_multiplier: u32,
    /// News are passed on this often, each to as many as are asked to help.
    pub gossip_interval: Duration,
    /// A member is asked this often whether it sees the same fleet.
    pub anti_entropy_interval: Duration,
    /// Seeds and members thought down are tried again this often.
    pub discovery_interval: Duration,
    /// Members that are gone are forgotten after this.
    pub forget_after: Duration,
    /// Members at a time, those that are gone included; further ones are not taken in.
    pub max_members: usize,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            probe_interval: Duration::from_secs(1),
            probe_timeout: Duration::from_millis(300),
            indirect_probes: 3,
            suspicion_multiplier: 5,
            gossip_interval: Duration::from_millis(200),
            anti_entropy_interval: Duration::from_secs(2),
            discovery_interval: Duration::from_secs(5),
            forget_after: Duration::from_secs(600),
            max_members: 4096,
        }
    }
}

impl Timing {
    /// All periods so many times as short, but for the memory of the gone.
    pub fn faster(self, times: u32) -> Timing {
        Timing {
            probe_interval: self.probe_interval / times,
            probe_timeout: self.probe_timeout / times,
            gossip_interval: self.gossip_interval / times,
            anti_entropy_interval: self.anti_entropy_interval / times,
            discovery_interval: self.discovery_interval / times,
            ..self
        }
    }

    /// How long a suspect has to refute in a fleet of so many.
    pub fn suspect_for(&self, members: usize) -> Duration {
        self.probe_interval
            .mul_f64(f64::from(self.suspicion_multiplier) * ((members + 1) as f64).log10().max(1.0))
    }

    /// How often each piece of news is passed on in a fleet of so many.
    pub(crate) fn transmissions(&self, members: usize) -> u8 {
        (4.0 * ((members + 1) as f64).log10().ceil().max(1.0)) as u8
    }
}
