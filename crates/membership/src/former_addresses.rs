//! The addresses of members that are gone.

use std::net::SocketAddr;

use rand_pcg::Pcg64Mcg;

use crate::random::random_below;

/// How many addresses are kept.
const MAX_FORMER_ADDRESSES: usize = 64;

/// The addresses of members that are gone, where a part of the fleet may be found after its members were forgotten.
#[derive(Default)]
pub(crate) struct FormerAddresses(Vec<SocketAddr>);

impl FormerAddresses {
    /// Adds an address; if there is no room, it replaces a random one.
    pub(crate) fn remember(&mut self, address: SocketAddr, rng: &mut Pcg64Mcg) {
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
