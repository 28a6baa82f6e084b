//! Addresses of members that were removed from the table.

use std::net::SocketAddr;

use rand_pcg::Pcg64Mcg;

use crate::random::random_below;

/// Maximum number of addresses that are kept.
const MAX_FORMER_ADDRESSES: usize = 64;

/// Addresses of members that were removed from the table. After a network partition that lasted longer than
/// [`crate::Timing::removal_delay`], contacting them lets the parts of the fleet rejoin.
#[derive(Default)]
pub(crate) struct FormerAddresses(Vec<SocketAddr>);

impl FormerAddresses {
    /// Adds an address. If the table is full, it replaces a random one.
    pub(crate) fn insert(&mut self, address: SocketAddr, rng: &mut Pcg64Mcg) {
        if self.0.contains(&address) {
            return;
        }
        if self.0.len() >= MAX_FORMER_ADDRESSES {
            self.0.swap_remove(random_below(rng, MAX_FORMER_ADDRESSES));
        }
        self.0.push(address);
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &SocketAddr> {
        self.0.iter()
    }

    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }
}
