//! Member names, and the identity of one generation of a member.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::text::{BoundedText, TextError};

/// The hash of a member's name, used as the key of tables.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct NameHash(u64);

impl NameHash {
    pub(crate) fn of(name: &str) -> NameHash {
        NameHash(content_hash(name.as_bytes()))
    }

    pub(crate) fn as_u64(self) -> u64 {
        self.0
    }
}

/// A member's name, at most 64 bytes. It stays the same across restarts.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct MemberName {
    hash: NameHash,
    text: BoundedText<64>,
}

impl MemberName {
    /// The hash of the name, used as the key of tables.
    pub(crate) fn hash(&self) -> NameHash {
        self.hash
    }

    /// The name as a string slice.
    pub fn as_str(&self) -> &str {
        self.text.as_str()
    }
}

impl TryFrom<String> for MemberName {
    type Error = TextError;

    fn try_from(text: String) -> Result<Self, TextError> {
        let text = BoundedText::try_from(text)?;
        Ok(MemberName {
            hash: NameHash::of(text.as_str()),
            text,
        })
    }
}

impl From<MemberName> for String {
    fn from(name: MemberName) -> String {
        name.text.into()
    }
}

impl fmt::Display for MemberName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.text.fmt(f)
    }
}

impl fmt::Debug for MemberName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.text.fmt(f)
    }
}

/// The first eight bytes of the blake3 hash.
pub(crate) fn content_hash(bytes: &[u8]) -> u64 {
    let mut first = [0; 8];
    first.copy_from_slice(&blake3::hash(bytes).as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// One generation of a member. Of two identities with the same name, the one with the higher generation takes precedence;
/// if the generations are equal, the one with the higher address, so that all members decide alike.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct MemberIdentity {
    pub(crate) name: MemberName,
    /// The address that receives the member's datagrams.
    pub(crate) address: SocketAddr,
    /// The start time of the process, ms of Unix time, raised each time the member starts a new generation.
    pub(crate) generation: u64,
}

impl MemberIdentity {
    /// Orders the identities with one name: the higher value takes precedence.
    pub(crate) fn precedence(&self) -> (u64, SocketAddr) {
        (self.generation, self.address)
    }
}

impl foca::Identity for MemberIdentity {
    type Addr = NameHash;

    /// Returns `None`, so that the library never starts a new generation: [`crate::LocalMember`] does, because it has to
    /// consider name conflicts.
    fn renew(&self) -> Option<MemberIdentity> {
        None
    }

    fn addr(&self) -> NameHash {
        self.name.hash
    }

    fn win_addr_conflict(&self, adversary: &MemberIdentity) -> bool {
        self.precedence() > adversary.precedence()
    }
}
