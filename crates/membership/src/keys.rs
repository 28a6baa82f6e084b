//! The keys of a fleet, and the authentication of datagrams with a keyed hash.

use crate::datagram::{Datagram, MAX_DATAGRAM_BYTES, TAG_BYTES};

/// The version of the datagram format, sent as the first byte.
const VERSION: u8 = 1;
/// Makes the derived keys differ from those of other uses of the same key file. Changing it would change all keys.
const KEY_DERIVATION_CONTEXT: &str = "maplethread 2026-12-02 fleet datagrams v1";

/// Why a datagram was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum DatagramError {
    #[error("the datagram is longer than 1200 bytes")]
    TooLong,
    /// The datagram is too short, or has another format version.
    #[error("the datagram is too short or has an unknown format version")]
    UnknownVersion,
    /// The keyed hash matches none of the keys.
    #[error("the datagram is not signed with a key of this fleet")]
    Unauthenticated,
    /// The datagram is authenticated, but cannot be decoded.
    #[error("the datagram cannot be decoded")]
    Malformed,
}

/// The keys of a fleet. Datagrams are signed with the first key and verified with all. There are two keys during a key
/// rotation.
#[derive(Clone)]
pub struct KeyRing(Vec<[u8; 32]>);

/// Why a key file was rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyRingError {
    /// The number of keys is neither one nor two.
    #[error("expected one key, or two during a key rotation, each on its own line; found {0}")]
    WrongCount(usize),
    /// The line with this number, counted from 1, is not a key.
    #[error("line {0}: expected a key of 64 hex digits")]
    InvalidKey(usize),
}

impl KeyRing {
    /// Parses the text of a key file. It contains one or two keys, each on its own line and of 64 hex digits; datagrams
    /// are signed with the first one. Empty lines and lines that begin with `#` are ignored. The keys in use are
    /// derived from these keys and the name of the fleet, so that two fleets with the same key file reject each other's
    /// datagrams.
    ///
    /// # Errors
    ///
    /// If a line that is neither empty nor a comment is not a key, or if there is no key or more than two.
    pub fn parse(text: &str, fleet_name: &str) -> Result<KeyRing, KeyRingError> {
        let mut keys = Vec::new();
        for (index, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let key =
                blake3::Hash::from_hex(line).map_err(|_| KeyRingError::InvalidKey(index + 1))?;
            let material = [key.as_bytes().as_slice(), fleet_name.as_bytes()].concat();
            keys.push(blake3::derive_key(KEY_DERIVATION_CONTEXT, &material));
        }
        if keys.is_empty() || keys.len() > 2 {
            Err(KeyRingError::WrongCount(keys.len()))
        } else {
            Ok(KeyRing(keys))
        }
    }

    fn tag(key: &[u8; 32], body: &[u8]) -> [u8; TAG_BYTES] {
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&blake3::keyed_hash(key, body).as_bytes()[..TAG_BYTES]);
        tag
    }

    /// A keyed hash of a text, which only a holder of the signing key can compute.
    pub(crate) fn nonce(&self, text: &[u8]) -> u64 {
        let mut first = [0; 8];
        first.copy_from_slice(&blake3::keyed_hash(&self.0[0], text).as_bytes()[8..16]);
        u64::from_le_bytes(first)
    }

    /// Encodes and signs a datagram; `None` if it cannot be encoded or would be too long.
    pub(crate) fn encode_signed(&self, datagram: &Datagram) -> Option<Vec<u8>> {
        let body = postcard::to_allocvec(datagram).ok()?;
        let mut bytes = Vec::with_capacity(1 + TAG_BYTES + body.len());
        bytes.push(VERSION);
        bytes.extend_from_slice(&Self::tag(&self.0[0], &body));
        bytes.extend_from_slice(&body);
        (bytes.len() <= MAX_DATAGRAM_BYTES).then_some(bytes)
    }

    /// Verifies and decodes a datagram.
    pub(crate) fn decode_verified(&self, bytes: &[u8]) -> Result<Datagram, DatagramError> {
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(DatagramError::TooLong);
        }
        let (Some((&VERSION, rest)), true) = (bytes.split_first(), bytes.len() > 1 + TAG_BYTES)
        else {
            return Err(DatagramError::UnknownVersion);
        };
        let (tag, body) = rest.split_at(TAG_BYTES);
        // The tags are padded to full hashes, because `blake3::Hash` compares in constant time.
        let is_signed_by = |key: &[u8; 32]| {
            let (mut expected, mut received) = ([0; 32], [0; 32]);
            expected[..TAG_BYTES].copy_from_slice(&Self::tag(key, body));
            received[..TAG_BYTES].copy_from_slice(tag);
            blake3::Hash::from_bytes(expected) == blake3::Hash::from_bytes(received)
        };
        if !self.0.iter().any(is_signed_by) {
            return Err(DatagramError::Unauthenticated);
        }
        match postcard::take_from_bytes(body) {
            Ok((datagram, [])) => Ok(datagram),
            _ => Err(DatagramError::Malformed),
        }
    }
}

impl std::fmt::Debug for KeyRing {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} keys", self.0.len())
    }
}
