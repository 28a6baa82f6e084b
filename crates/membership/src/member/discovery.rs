//! Discovery of other members, at the start and after a network partition.

use std::net::SocketAddr;

use super::{LocalMember, MemberTimer, as_micros};
use crate::identity::NameHash;
use crate::member_table::{MemberState, Micros};
use crate::random::{random_below, with_jitter};

/// By how much discovery is more frequent while no other live member is known.
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
            self.contact_unknown_addresses(now, is_isolated);
        }
    }

    /// Starts a digest exchange with addresses of which no live member is known: all seeds or a random one, and a random
    /// former address.
    pub(super) fn contact_unknown_addresses(&mut self, now: Micros, all_seeds: bool) {
        let own = self.settings.advertised_address;
        let live: Vec<SocketAddr> = self.table.live().map(|member| member.address).collect();
        let is_unknown = |address: &&SocketAddr| **address != own && !live.contains(address);
        let seeds: Vec<SocketAddr> = self
            .settings
            .seeds
            .iter()
            .filter(is_unknown)
            .copied()
            .collect();
        let former: Vec<SocketAddr> = self
            .former_addresses
            .iter()
            .filter(is_unknown)
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

    /// Records the address of a member that is about to be removed, unless the member has left.
    pub(super) fn record_former_address(&mut self, name: NameHash) {
        let known = self.table.get(name);
        if let Some(known) = known.filter(|known| known.state != MemberState::Left) {
            self.former_addresses
                .insert(known.identity.address, &mut self.rng);
        }
    }
}
