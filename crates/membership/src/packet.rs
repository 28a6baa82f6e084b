//! Datagrams: what they hold, and the keyed hash without which none is read.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

use crate::id::{Id, Record};

/// The longest datagram, bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// The version of the datagrams.
const VERSION: u8 = 1;
/// Bytes of the keyed hash that are sent.
const TAG: usize = 16;
/// What a datagram holds beside its body at most: version, tag, the sender's id, its time, and lengths.
pub(crate) const FRAME: usize = 1 + TAG + 64 + 2 + 20 + 10 + 10 + 6;
/// Parts of a view that are compared.
pub(crate) const BUCKETS: usize = 32;

/// Why a datagram was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unusable {
    /// It is longer than any may be.
    #[error("longer than 1,200 bytes")]
    Oversize,
    /// It is too short to be one, or of another version.
    #[error("no datagram of this version")]
    Foreign,
    /// Its keyed hash is not one of this fleet's.
    #[error("not of this fleet")]
    Unauthenticated,
    /// It is of this fleet and can't be read.
    #[error("can't be read")]
    Unreadable,
}

/// The keys of a fleet: the first seals, all open. Two are valid at once while the key is changed.
#[derive(Clone)]
pub struct KeyRing(Vec<[u8; 32]>);

/// Why a text holds no keys.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadKeys {
    /// There is none, or more than two.
    #[error("one key, or two while it is changed, a line each; there are {0}")]
    Count(usize),
    /// One is not a key.
    #[error("line {0}: a key has 64 hex digits")]
    Digits(usize),
}

impl KeyRing {
    /// Keys from a file's text: one or two lines of 64 hex digits, the first one seals. Empty lines and lines that begin
    /// with `#` don't count. The fleet's name is part of each key, so that two fleets with one key stay apart.
    pub fn parse(text: &str, fleet: &str) -> Result<KeyRing, BadKeys> {
        let mut keys = Vec::new();
        for (n, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let key = blake3::Hash::from_hex(line).map_err(|_| BadKeys::Digits(n + 1))?;
            let material = [key.as_bytes().as_slice(), fleet.as_bytes()].concat();
            keys.push(blake3::derive_key(
                "maplethread 2026-12-02 fleet datagrams v1",
                &material,
            ));
        }
        if keys.is_empty() || keys.len() > 2 {
            Err(BadKeys::Count(keys.len()))
        } else {
            Ok(KeyRing(keys))
        }
    }

    fn tag(key: &[u8; 32], body: &[u8]) -> [u8; TAG] {
        let mut tag = [0; TAG];
        tag.copy_from_slice(&blake3::keyed_hash(key, body).as_bytes()[..TAG]);
        tag
    }

    /// A number that only who knows the key can make, for this text.
    pub(crate) fn nonce(&self, text: &[u8]) -> u64 {
        let mut first = [0; 8];
        first.copy_from_slice(&blake3::keyed_hash(&self.0[0], text).as_bytes()[8..16]);
        u64::from_le_bytes(first)
    }

    pub(crate) fn seal(&self, packet: &Packet) -> Option<Vec<u8>> {
        let body = postcard::to_allocvec(packet).ok()?;
        let mut bytes = Vec::with_capacity(1 + TAG + body.len());
        bytes.push(VERSION);
        bytes.extend_from_slice(&Self::tag(&self.0[0], &body));
        bytes.extend_from_slice(&body);
        (bytes.len() <= MAX_DATAGRAM_BYTES).then_some(bytes)
    }

    pub(crate) fn open(&self, bytes: &[u8]) -> Result<Packet, Unusable> {
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(Unusable::Oversize);
        }
        let (Some((&VERSION, rest)), true) = (bytes.split_first(), bytes.len() > 1 + TAG) else {
            return Err(Unusable::Foreign);
        };
        let (tag, body) = rest.split_at(TAG);
        // Compared as hashes are, in constant time.
        let same = |key: &[u8; 32]| {
            let (mut ours, mut theirs) = ([0; 32], [0; 32]);
            ours[..TAG].copy_from_slice(&Self::tag(key, body));
            theirs[..TAG].copy_from_slice(tag);
            blake3::Hash::from_bytes(ours) == blake3::Hash::from_bytes(theirs)
        };
        if !self.0.iter().any(same) {
            return Err(Unusable::Unauthenticated);
        }
        match postcard::take_from_bytes(body) {
            Ok((packet, [])) => Ok(packet),
            _ => Err(Unusable::Unreadable),
        }
    }
}

impl std::fmt::Debug for KeyRing {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} keys", self.0.len())
    }
}

/// A datagram's content.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Packet {
    pub(crate) from: Id,
    /// When it was sent, µs of the sender's awake time: a much earlier one than another that came is out of date.
    pub(crate) sent: u64,
    pub(crate) body: Body,
}

/// What one says to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Body {
    /// A message of SWIM's.
    Swim(Vec<u8>),
    /// What the sender's view comes to, part by part; where it differs the other sends what it knows. An answer to
    /// another one is not answered by one.
    Pull { buckets: Vec<u32>, answer: bool },
    /// What the sender knows of some members.
    Members(Vec<Entry>),
    /// Who are you? Asked of a sender that nobody has told of, so that a recorded datagram brings nobody back.
    Challenge(u64),
    /// The answer to it, and what the sender's view comes to.
    Proof { nonce: u64, buckets: Vec<u32> },
    /// Another life holds the receiver's name, or it was taken for down in this one.
    Superseded {
        generation: u64,
        address: SocketAddr,
        is_down: bool,
    },
    /// The sender's name is the receiver's too.
    Claim,
}

/// What is known of a member.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Entry {
    pub(crate) id: Id,
    pub(crate) incarnation: u16,
    pub(crate) state: Liveness,
    pub(crate) record: Option<Record>,
}

/// SWIM's states, as they are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Liveness {
    Alive,
    Suspect,
    Down,
}
