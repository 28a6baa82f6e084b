//! The settings of a member.

use std::net::SocketAddr;
use std::time::Duration;

use crate::facts::Facts;
use crate::identity::MemberName;
use crate::keys::KeyRing;

/// The settings with which a member starts.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name of the member, unique in the fleet.
    pub name: MemberName,
    /// The address to which other members send.
    pub advertised_address: SocketAddr,
    /// The first generation: the start time of the process, ms of Unix time.
    pub generation: u64,
    /// The facts that the member publishes initially.
    pub facts: Facts,
    /// Addresses to contact at the start and after a network partition.
    pub seeds: Vec<SocketAddr>,
    /// The keys of the fleet.
    pub keys: KeyRing,
    /// Intervals and limits of the protocol.
    pub timing: Timing,
}

/// Intervals and limits of the protocol.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Interval between probes of random members.
    pub probe_interval: Duration,
    /// Timeout of a direct probe, after which other members are requested to probe the member.
    pub probe_timeout: Duration,
    /// The number of members that are requested to probe a member that did not answer.
    pub indirect_probes: usize,
    /// The suspicion timeout in probe intervals, which is multiplied by the decimal logarithm of the fleet's size if that is
    /// greater than 1.
    pub suspicion_multiplier: u32,
    /// Interval between rounds of gossip; each round is sent to [`Timing::indirect_probes`] members.
    pub gossip_interval: Duration,
    /// Interval between comparisons of views with a random member.
    pub anti_entropy_interval: Duration,
    /// Interval between attempts to contact seeds and members that are considered down.
    pub discovery_interval: Duration,
    /// How long members that are down or have left are kept.
    pub removal_delay: Duration,
    /// Maximum number of members that are kept, including those that are down or have left. Further ones are rejected.
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
            removal_delay: Duration::from_secs(600),
            max_members: 4096,
        }
    }
}

impl Timing {
    /// Returns this timing with all intervals and timeouts divided by `factor`, except for [`Timing::removal_delay`].
    pub fn sped_up_by(self, factor: u32) -> Timing {
        Timing {
            probe_interval: self.probe_interval / factor,
            probe_timeout: self.probe_timeout / factor,
            gossip_interval: self.gossip_interval / factor,
            anti_entropy_interval: self.anti_entropy_interval / factor,
            discovery_interval: self.discovery_interval / factor,
            ..self
        }
    }

    /// The time in which a suspected member has to refute the suspicion, in a fleet of this size.
    pub fn suspicion_timeout(&self, member_count: usize) -> Duration {
        self.probe_interval.mul_f64(
            f64::from(self.suspicion_multiplier) * ((member_count + 1) as f64).log10().max(1.0),
        )
    }

    /// How many times each update is transmitted in a fleet of this size.
    pub(crate) fn max_transmissions(&self, member_count: usize) -> u8 {
        (4.0 * ((member_count + 1) as f64).log10().ceil().max(1.0)) as u8
    }
}
