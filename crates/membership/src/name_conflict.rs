//! Conflicts between two running processes that use the same name.

use std::net::SocketAddr;

use crate::identity::MemberIdentity;
use crate::member_table::Micros;

/// How long a claim is valid after the last message that repeated it.
const NAME_CLAIM_LIFETIME: Micros = 10_000_000;

/// Another process holds the local member's name. The local member is displaced: it does not participate in the protocol
/// until the other process has stopped.
pub(crate) struct NameConflict {
    /// The process that holds the name.
    pub(crate) holder: MemberIdentity,
    /// When the last message that names the holder was received, from the holder itself or from another member.
    pub(crate) last_seen_at: Micros,
}

/// Another process claims the name that the local member holds.
pub(crate) struct NameClaim {
    pub(crate) claimant: SocketAddr,
    /// When the last claim was received.
    pub(crate) last_seen_at: Micros,
}

impl NameClaim {
    /// Whether the claim is still valid.
    pub(crate) fn is_current(&self, now: Micros) -> bool {
        now < self.last_seen_at + NAME_CLAIM_LIFETIME
    }
}
