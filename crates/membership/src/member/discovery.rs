//! Finding other members: at the start, and after parts of the fleet were separated.

use std::net::SocketAddr;

use super::{LocalMember, MemberTimer, as_micros};
use crate::identity::NameHash;
use crate::member_table::{MemberState, Micros};
use crate::random::{random_below, with_jitter};

/// How much more often a member that knows no live member tries to find some.
const ISOLATED_DISCOVERY_FACTOR: u32 = 5;

impl LocalMember {
    /// Contacts seeds and former members, and schedules the next attempt.
    pub(super) fn discover_peers(&mut self, now: Micros) {
        let is_isolated = self.table.live_count() == 0;
        let factor = if is_isolated {
            ISOLATED_DISCOVERY_FACTOR
        } else {
            1
        };
        let interval = as_micros(self.settings.timing.discovery_interval / factor);
        let delay = with_jitter(&mut self.rng, interval);
        self.timers.schedule(now, delay, MemberTimer::DiscoverPeers);
        if !self.is_leaving && self.name_conflict.is_none() {
            self.contact_strangers(now, is_isolated);
        }
    }

    /// Sends to addresses where no live member is known: all seeds or a random one, and a random address of a former
    /// member.
    pub(super) fn contact_strangers(&mut self, now: Micros, all_seeds: bool) {
        let own = self.settings.advertised_address;
        let live: Vec<SocketAddr> = self.table.live().map(|member| member.address).collect();
        let is_stranger = |address: &&SocketAddr| **address != own && !live.contains(address);
        let seeds: Vec<SocketAddr> = self
            .settings
            .seeds
            .iter()
            .filter(is_stranger)
            .copied()
            .collect();
        let former: Vec<SocketAddr> = self
            .former_addresses
            .iter()
            .filter(is_stranger)
            .copied()
            .collect();
        let mut receivers = Vec::new();
        if all_seeds {
            receivers.extend(seeds);
        } else if !seeds.is_empty() {
            receivers.push(seeds[random_below(&mut self.rng, seeds.len())]);
        }
        if !former.is_empty() {
            receivers.push(former[random_below(&mut self.rng, former.len())]);
        }
        receivers.dedup();
        for receiver in receivers {
            self.start_digest_exchange(now, receiver);
        }
    }

    /// Keeps the address of a member that is about to be forgotten, unless it left.
    pub(super) fn remember_former_address(&mut self, name: NameHash) {
        let known = self.table.get(name);
        if let Some(known) = known.filter(|known| known.state != MemberState::Left) {
            self.former_addresses
                .remember(known.identity.address, &mut self.rng);
        }
    }
}
