//! The keys of a fleet, and the authentication of datagrams by a keyed hash.

use crate::datagram::{Datagram, MAX_DATAGRAM_BYTES, TAG_BYTES};

/// The version of the datagram format, in its first byte.
const VERSION: u8 = 1;
/// Separates these keys from other uses of the same key file. It is part of every key in use and must not change.
const KEY_DERIVATION_CONTEXT: &str = "maplethread 2026-12-02 fleet datagrams v1";

/// Why a datagram was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum DatagramError {
    #[error("longer than 1,200 bytes")]
    TooLong,
    /// It is too short for a datagram, or of another version.
    #[error("no datagram of this version")]
    UnknownVersion,
    /// Its keyed hash belongs to none of the keys.
    #[error("not of this fleet")]
    Unauthenticated,
    /// Its keyed hash is right, but it cannot be decoded.
    #[error("can't be read")]
    Malformed,
}

/// The keys of a fleet: the first one signs, all of them verify. Two keys are valid at once during a key rotation.
#[derive(Clone)]
pub struct KeyRing(Vec<[u8; 32]>);

/// Why a key file was rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyRingError {
    /// The number of keys is neither one nor two.
    #[error("one key, or two while it is changed, a line each; there are {0}")]
    WrongCount(usize),
    /// The line with this number, counted from 1, is not a key.
    #[error("line {0}: a key has 64 hex digits")]
    InvalidKey(usize),
}

impl KeyRing {
    /// Reads keys from the text of a key file: one or two lines of 64 hex digits, of which the first one signs. Empty lines
    /// and lines that begin with `#` are ignored. The name of the fleet becomes part of each key, so that two fleets with
    /// the same key file stay apart.
    ///
    /// # Errors
    ///
    /// Fails if a line is not a key, or if there is no key or more than two.
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

    /// A number for this text that only a holder of the signing key can compute.
    pub(crate) fn nonce(&self, text: &[u8]) -> u64 {
        let mut first = [0; 8];
        first.copy_from_slice(&blake3::keyed_hash(&self.0[0], text).as_bytes()[8..16]);
        u64::from_le_bytes(first)
    }

    /// Encodes and signs a datagram; `None` if it would be too long.
    pub(crate) fn seal(&self, datagram: &Datagram) -> Option<Vec<u8>> {
        let body = postcard::to_allocvec(datagram).ok()?;
        let mut bytes = Vec::with_capacity(1 + TAG_BYTES + body.len());
        bytes.push(VERSION);
        bytes.extend_from_slice(&Self::tag(&self.0[0], &body));
        bytes.extend_from_slice(&body);
        (bytes.len() <= MAX_DATAGRAM_BYTES).then_some(bytes)
    }

    /// Verifies and decodes a datagram.
    pub(crate) fn open(&self, bytes: &[u8]) -> Result<Datagram, DatagramError> {
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(DatagramError::TooLong);
        }
        let (Some((&VERSION, rest)), true) = (bytes.split_first(), bytes.len() > 1 + TAG_BYTES)
        else {
            return Err(DatagramError::UnknownVersion);
        };
        let (tag, body) = rest.split_at(TAG_BYTES);
        // Padded to whole hashes, because blake3 compares hashes in constant time.
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
