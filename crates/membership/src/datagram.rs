//! The content of datagrams. They are encoded with postcard, which encodes fields and variants by position: names may
//! change, the order must not.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::facts::FactsRecord;
use crate::identity::MemberIdentity;

/// The maximum size of a datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// The size of the truncated keyed hash in a datagram, in bytes.
pub(crate) const TAG_BYTES: usize = 16;
/// The maximum overhead of a datagram around its message, in bytes: version, tag, the sender's identity, the send time, and
/// lengths.
pub(crate) const MAX_ENVELOPE_BYTES: usize = 1 + TAG_BYTES + 64 + 2 + 20 + 10 + 10 + 6;
/// The number of buckets into which members are divided by name hash; each bucket of a view has its own digest.
pub(crate) const DIGEST_BUCKETS: usize = 32;

/// The authenticated content of a datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Datagram {
    pub(crate) sender: MemberIdentity,
    /// The send time, µs of the sender's active time. It is used to reject datagrams that were delayed for long.
    pub(crate) sent_at: u64,
    pub(crate) message: Message,
}

/// A message from one member to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Message {
    /// A message of the SWIM library.
    Swim(Vec<u8>),
    /// The digests of the sender's view, by bucket. The receiver sends updates of the members in buckets that differ, and
    /// its own digests unless this message is a reply.
    DigestExchange {
        bucket_digests: Vec<u32>,
        is_reply: bool,
    },
    /// Updates of some members from the sender's view.
    MemberUpdates(Vec<MemberUpdate>),
    /// Requests proof from an unknown sender that it is running, so that a replayed datagram cannot add a stopped member.
    Challenge(u64),
    /// The response to a challenge, with the digests of the sender's view.
    ChallengeResponse {
        nonce: u64,
        bucket_digests: Vec<u32>,
    },
    /// Another generation holds the receiver's name, or the receiver's generation was declared down.
    Superseded {
        generation: u64,
        address: SocketAddr,
        is_down: bool,
    },
    /// The sender claims the receiver's name.
    NameClaim,
}

/// The state of one member in the sender's view.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct MemberUpdate {
    pub(crate) identity: MemberIdentity,
    pub(crate) incarnation: u16,
    pub(crate) state: WireState,
    pub(crate) facts: Option<FactsRecord>,
}

/// The states of the SWIM protocol, as encoded in messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum WireState {
    Alive,
    Suspect,
    Down,
}

impl From<foca::State> for WireState {
    fn from(state: foca::State) -> WireState {
        match state {
            foca::State::Alive => WireState::Alive,
            foca::State::Suspect => WireState::Suspect,
            foca::State::Down => WireState::Down,
        }
    }
}

impl From<WireState> for foca::State {
    fn from(state: WireState) -> foca::State {
        match state {
            WireState::Alive => foca::State::Alive,
            WireState::Suspect => foca::State::Suspect,
            WireState::Down => foca::State::Down,
        }
    }
}
