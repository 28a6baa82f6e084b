//! The table of other members, with the digest of its content.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Serialize;

use crate::datagram::DIGEST_BUCKETS;
use crate::facts::{Facts, FactsRecord};
use crate::identity::{MemberIdentity, NameHash, content_hash};

/// Time in µs of a monotonic clock; its origin is chosen by the caller.
pub type Micros = u64;

/// The state of a member as another one sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// It answers probes.
    Alive,
    /// It failed a probe, and has limited time to refute that it is down.
    Suspect,
    /// It announced that it leaves.
    Left,
    /// It did not refute in time that it is down.
    Down,
}

impl MemberState {
    /// Whether the member counts as part of the fleet.
    pub fn is_live(self) -> bool {
        matches!(self, MemberState::Alive | MemberState::Suspect)
    }
}

/// A change of the view.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct MembershipChange {
    /// The name of the member.
    pub name: String,
    /// Its address.
    pub address: SocketAddr,
    /// Its generation.
    #[serde(rename = "life")]
    pub generation: u64,
    /// Its state before; `None` if it was unknown.
    #[serde(rename = "from")]
    pub previous_state: Option<MemberState>,
    /// Its state now; `None` if it was forgotten.
    #[serde(rename = "to")]
    pub new_state: Option<MemberState>,
    /// Who reported it: the name of a member, or [`crate::OWN_PROBE`] and the like if this member found it out itself.
    #[serde(rename = "by")]
    pub reported_by: String,
}

/// Another member in a [`crate::MembershipView`].
#[derive(Clone, Debug, Serialize)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Its address.
    pub address: SocketAddr,
    /// Its generation.
    #[serde(rename = "life")]
    pub generation: u64,
    /// Its incarnation within the generation: how often it refuted a suspicion.
    pub incarnation: u16,
    /// Its state.
    pub state: MemberState,
    /// How long it has been in this state, in ms.
    #[serde(rename = "for_ms")]
    pub state_age_ms: u64,
    /// What it publishes about itself, once received.
    pub facts: Option<Facts>,
}

/// What is known of another member.
pub(crate) struct KnownMember {
    pub(crate) identity: MemberIdentity,
    pub(crate) incarnation: u16,
    pub(crate) state: MemberState,
    pub(crate) state_since: Micros,
    /// What it adds to the sum of its bucket.
    digest_share: u64,
}

/// A change of a member's identity or state in the table.
pub(crate) struct StateChange {
    /// The state before; `None` for a member that was unknown.
    pub(crate) previous_state: Option<MemberState>,
}

/// All other members that are known, by the hash of their names.
#[derive(Default)]
pub(crate) struct MemberTable {
    members: BTreeMap<NameHash, KnownMember>,
    live_count: usize,
    bucket_sums: [u64; DIGEST_BUCKETS],
}

/// What a member adds to the sum of its bucket: 0 unless it is live.
fn digest_share(
    identity: &MemberIdentity,
    state: MemberState,
    record: Option<&FactsRecord>,
) -> u64 {
    if !state.is_live() {
        return 0;
    }
    let facts = record
        .filter(|record| record.generation == identity.generation)
        .map(FactsRecord::version)
        .unwrap_or_default();
    let mut bytes = Vec::with_capacity(64);
    for number in [
        identity.name.hash().as_u64(),
        identity.generation,
        u64::from(state == MemberState::Suspect),
        facts.generation,
        u64::from(facts.sequence),
    ] {
        bytes.extend_from_slice(&number.to_le_bytes());
    }
    bytes.extend_from_slice(identity.address.to_string().as_bytes());
    content_hash(&bytes)
}

impl MemberTable {
    pub(crate) fn get(&self, name: NameHash) -> Option<&KnownMember> {
        self.members.get(&name)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &KnownMember> {
        self.members.values()
    }

    /// All other members that are live, in the order of their hashes.
    pub(crate) fn live(&self) -> impl Iterator<Item = &MemberIdentity> {
        self.iter()
            .filter(|known| known.state.is_live())
            .map(|known| &known.identity)
    }

    /// The number of other members that are live.
    pub(crate) fn live_count(&self) -> usize {
        self.live_count
    }

    pub(crate) fn len(&self) -> usize {
        self.members.len()
    }

    /// Stores what is known of a member now; returns the change if its identity or state is another than before.
    pub(crate) fn update(
        &mut self,
        now: Micros,
        identity: &MemberIdentity,
        incarnation: u16,
        state: MemberState,
        record: Option<&FactsRecord>,
    ) -> Option<StateChange> {
        let name = identity.name.hash();
        let before = self.remove(name);
        let share = digest_share(identity, state, record);
        let bucket = Self::bucket_index(name);
        self.live_count += usize::from(state.is_live());
        self.bucket_sums[bucket] = self.bucket_sums[bucket].wrapping_add(share);
        let unchanged = before
            .as_ref()
            .filter(|known| known.state == state && known.identity == *identity);
        let has_changed = unchanged.is_none();
        let known = KnownMember {
            identity: identity.clone(),
            incarnation,
            state,
            state_since: unchanged.map_or(now, |known| known.state_since),
            digest_share: share,
        };
        self.members.insert(name, known);
        has_changed.then(|| StateChange {
            previous_state: before.map(|known| known.state),
        })
    }

    pub(crate) fn remove(&mut self, name: NameHash) -> Option<KnownMember> {
        let known = self.members.remove(&name)?;
        let bucket = Self::bucket_index(name);
        self.live_count -= usize::from(known.state.is_live());
        self.bucket_sums[bucket] = self.bucket_sums[bucket].wrapping_sub(known.digest_share);
        Some(known)
    }

    /// The sums of all buckets, with the local member included.
    pub(crate) fn sums_with(
        &self,
        local: &MemberIdentity,
        record: Option<&FactsRecord>,
    ) -> [u64; DIGEST_BUCKETS] {
        let mut sums = self.bucket_sums;
        let own = &mut sums[Self::bucket_index(local.name.hash())];
        *own = own.wrapping_add(digest_share(local, MemberState::Alive, record));
        sums
    }

    /// The bucket to which a member belongs.
    pub(crate) fn bucket_index(name: NameHash) -> usize {
        (name.as_u64() % DIGEST_BUCKETS as u64) as usize
    }
}
