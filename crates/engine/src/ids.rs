//! Identifiers of the engine, and hashes of names that are the same at every placer.

use std::collections::BTreeMap;
use std::sync::Arc;

/// A connection of a client, numbered by the caller and never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientId(pub u64);

/// A request on a client's connection. Responses are sent in the order of these numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestSlot(pub u64);

/// A host, numbered by the engine; no other host gets its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HostId(pub u32);

/// The name of an actor.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ActorKey {
    /// The service that the actor belongs to.
    pub service: Arc<str>,
    /// Its name within the service.
    pub actor: Arc<str>,
}

impl ActorKey {
    /// The key of an actor of a service.
    pub fn new(service: &str, actor: &str) -> ActorKey {
        ActorKey {
            service: service.into(),
            actor: actor.into(),
        }
    }
}

/// An attempt as frames name it: the upper bits tell incarnations of placers apart, the lower ones count attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct AttemptKey(pub u64);

impl AttemptKey {
    /// Bits that count the attempts of one incarnation.
    const COUNTER_BITS: u32 = 40;
    const COUNTER_MASK: u64 = (1 << Self::COUNTER_BITS) - 1;

    /// The upper bits of all attempts of the incarnation of `placer` that started at this Unix time in ms.
    pub fn prefix_of(placer: &str, started_ms: u64) -> u64 {
        stable_hash(&format!("{placer}/{started_ms}")) & !Self::COUNTER_MASK
    }

    /// The attempt of this number of an incarnation.
    pub fn new(prefix: u64, number: u64) -> AttemptKey {
        AttemptKey(prefix | (number & Self::COUNTER_MASK))
    }

    /// Whether it is an attempt of the incarnation with this prefix.
    pub fn has_prefix(self, prefix: u64) -> bool {
        self.0 & !Self::COUNTER_MASK == prefix
    }

    /// The prefix without the bits of the counter, for generated request ids.
    pub fn short_prefix(prefix: u64) -> u64 {
        prefix >> Self::COUNTER_BITS
    }
}

/// A hash of a name, the same at every placer and in every build: the first 8 bytes of its BLAKE3 hash.
pub fn stable_hash(name: &str) -> u64 {
    let bytes = blake3::hash(name.as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&bytes.as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// Numbers names in the order in which they first appear.
#[derive(Default)]
pub(crate) struct IdTable {
    ids: BTreeMap<String, u32>,
}

impl IdTable {
    /// The number of a name.
    pub fn id_of(&mut self, name: &str) -> u32 {
        if let Some(&id) = self.ids.get(name) {
            return id;
        }
        let id = self.ids.len() as u32;
        self.ids.insert(name.to_owned(), id);
        id
    }
}
