//! Identifiers, and hashes of names that are the same on every placer.

use std::collections::BTreeMap;
use std::sync::Arc;

/// A client connection. The caller assigns the numbers and never reuses one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientId(pub u64);

/// The position of a request on a client's connection. Responses are sent in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestSlot(pub u64);

/// A host. The engine assigns the numbers and never reuses one for another host.
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

/// The id of an attempt in frames. The upper bits identify an incarnation of a placer, the lower bits count its
/// attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct AttemptKey(pub u64);

impl AttemptKey {
    /// Width of the attempt counter within one incarnation.
    const COUNTER_BITS: u32 = 40;
    const COUNTER_MASK: u64 = (1 << Self::COUNTER_BITS) - 1;

    /// The upper bits of all attempt ids of the incarnation of `placer` that started at this Unix time in ms.
    pub fn prefix_of(placer: &str, started_ms: u64) -> u64 {
        stable_hash(&format!("{placer}/{started_ms}")) & !Self::COUNTER_MASK
    }

    /// The id of attempt `number` of the incarnation with this prefix.
    pub fn new(prefix: u64, number: u64) -> AttemptKey {
        AttemptKey(prefix | (number & Self::COUNTER_MASK))
    }

    /// Whether the attempt belongs to the incarnation with this prefix.
    pub fn has_prefix(self, prefix: u64) -> bool {
        self.0 & !Self::COUNTER_MASK == prefix
    }

    /// The prefix without the counter bits, for generated request ids.
    pub fn short_prefix(prefix: u64) -> u64 {
        prefix >> Self::COUNTER_BITS
    }
}

/// A hash of a name that is the same on every placer and in every build: the first 8 bytes of its BLAKE3 hash.
pub fn stable_hash(name: &str) -> u64 {
    let bytes = blake3::hash(name.as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&bytes.as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// Assigns numbers to names in the order in which they first appear.
#[derive(Default)]
pub(crate) struct IdTable {
    ids: BTreeMap<String, u32>,
}

impl IdTable {
    /// Returns the number of a name, and assigns the next one to a new name.
    pub fn id_of(&mut self, name: &str) -> u32 {
        if let Some(&id) = self.ids.get(name) {
            return id;
        }
        let id = self.ids.len() as u32;
        self.ids.insert(name.to_owned(), id);
        id
    }
}
