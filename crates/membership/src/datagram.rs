//! The content of datagrams. They are encoded by postcard, which stores fields and variants by position: names may change,
//! the order may not.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::facts::FactsRecord;
use crate::identity::MemberIdentity;

/// The maximum size of a datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// How many bytes of the keyed hash are sent.
pub(crate) const TAG_BYTES: usize = 16;
/// The maximum size of what surrounds the message, in bytes: version, tag, the sender's identity, the time, and lengths.
pub(crate) const MAX_ENVELOPE_BYTES: usize = 1 + TAG_BYTES + 64 + 2 + 20 + 10 + 10 + 6;
/// How many parts of a view are compared separately.
pub(crate) const DIGEST_BUCKETS: usize = 32;

/// The authenticated content of a datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Datagram {
    pub(crate) sender: MemberIdentity,
    /// When it was sent, µs of the sender's active time. It identifies datagrams that were delayed for long.
    pub(crate) sent_at: u64,
    pub(crate) message: Message,
}

/// What one member sends to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Message {
    /// A message of the SWIM library.
    Swim(Vec<u8>),
    /// The digests of the sender's view by bucket. The receiver sends what it knows of members in buckets that differ, and
    /// its own digests unless this is a reply already.
    DigestExchange {
        bucket_digests: Vec<u32>,
        is_reply: bool,
    },
    /// What the sender knows of some members.
    MemberUpdates(Vec<MemberUpdate>),
    /// Asks an unknown sender to prove that it runs now, so that a replayed datagram revives nobody.
    Challenge(u64),
    /// The answer to a challenge, with the digests of the sender's view.
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
    /// The sender claims the receiver's name as its own.
    NameClaim,
}

/// What is known of one member.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct MemberUpdate {
    pub(crate) identity: MemberIdentity,
    pub(crate) incarnation: u16,
    pub(crate) state: WireState,
    pub(crate) facts: Option<FactsRecord>,
}

/// The states of the SWIM protocol, as they are sent.
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
