//! Conflicts between two running processes that use one name.

use std::net::SocketAddr;

use crate::identity::MemberIdentity;
use crate::member_table::Micros;

/// How long a claim counts after the last message that made it.
const NAME_CLAIM_LIFETIME: Micros = 10_000_000;

/// Another process holds the local member's name. The local member is displaced: it takes no part in the protocol until the
/// other one is gone.
pub(crate) struct NameConflict {
    /// The process that holds the name.
    pub(crate) holder: MemberIdentity,
    /// When it last showed that it runs.
    pub(crate) last_seen_at: Micros,
}

/// Another process claims the name that the local member holds.
pub(crate) struct NameClaim {
    pub(crate) claimant: SocketAddr,
    /// When it last claimed the name.
    pub(crate) last_seen_at: Micros,
}

impl NameClaim {
    /// Whether the claim still counts.
    pub(crate) fn is_current(&self, now: Micros) -> bool {
        now < self.last_seen_at + NAME_CLAIM_LIFETIME
    }
}
