//! The table of other members, with digests of its content.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Serialize;

use crate::datagram::DIGEST_BUCKETS;
use crate::facts::{Facts, FactsRecord};
use crate::identity::{MemberIdentity, NameHash, content_hash};

/// Time in µs of a monotonic clock with an arbitrary origin.
pub type Micros = u64;

/// The state of a member in the view of another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// The member answers probes.
    Alive,
    /// The member did not answer a probe, and is declared down unless it refutes the suspicion in time.
    Suspect,
    /// The member announced its leave.
    Left,
    /// The member did not refute a suspicion in time.
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
    /// The address of the member.
    pub address: SocketAddr,
    /// The generation of the member.
    #[serde(rename = "life")]
    pub generation: u64,
    /// The state before the change; `None` if the member was unknown.
    #[serde(rename = "from")]
    pub previous_state: Option<MemberState>,
    /// The state after the change; `None` if the member was removed.
    #[serde(rename = "to")]
    pub new_state: Option<MemberState>,
    /// The source of the change: the name of another member, or a fixed text such as [`crate::OWN_PROBE`] if the local
    /// member detected it.
    #[serde(rename = "by")]
    pub reported_by: String,
}

/// Another member in a [`crate::MembershipView`].
#[derive(Clone, Debug, Serialize)]
pub struct Member {
    /// The name of the member.
    pub name: String,
    /// The address of the member.
    pub address: SocketAddr,
    /// The generation of the member.
    #[serde(rename = "life")]
    pub generation: u64,
    /// The incarnation within the generation: how many suspicions the member refuted.
    pub incarnation: u16,
    /// The state of the member.
    pub state: MemberState,
    /// How long the member has been in this state, in ms.
    #[serde(rename = "for_ms")]
    pub state_age_ms: u64,
    /// The facts that the member publishes; `None` if none were received yet.
    pub facts: Option<Facts>,
}

/// The table entry of another member.
pub(crate) struct KnownMember {
    pub(crate) identity: MemberIdentity,
    pub(crate) incarnation: u16,
    pub(crate) state: MemberState,
    pub(crate) state_since: Micros,
    /// The contribution to the digest sum of the member's bucket.
    digest_contribution: u64,
}

/// A change of a member's identity or state in the table.
pub(crate) struct StateChange {
    /// The state before; `None` for a member that was unknown.
    pub(crate) previous_state: Option<MemberState>,
}

/// All other known members, by the hash of their names.
#[derive(Default)]
pub(crate) struct MemberTable {
    members: BTreeMap<NameHash, KnownMember>,
    live_count: usize,
    bucket_sums: [u64; DIGEST_BUCKETS],
}

/// The contribution of a member to the digest sum of its bucket: 0 unless the member is live.
fn digest_contribution(
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

    /// The other live members, ordered by name hash.
    pub(crate) fn live(&self) -> impl Iterator<Item = &MemberIdentity> {
        self.iter()
            .filter(|known| known.state.is_live())
            .map(|known| &known.identity)
    }

    /// The number of other live members.
    pub(crate) fn live_count(&self) -> usize {
        self.live_count
    }

    pub(crate) fn len(&self) -> usize {
        self.members.len()
    }

    /// Stores the entry of a member. Returns the change if the identity or state differs from before.
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
        let contribution = digest_contribution(identity, state, record);
        let bucket = Self::bucket_index(name);
        self.live_count += usize::from(state.is_live());
        self.bucket_sums[bucket] = self.bucket_sums[bucket].wrapping_add(contribution);
        let unchanged = before
            .as_ref()
            .filter(|known| known.state == state && known.identity == *identity);
        let has_changed = unchanged.is_none();
        let known = KnownMember {
            identity: identity.clone(),
            incarnation,
            state,
            state_since: unchanged.map_or(now, |known| known.state_since),
            digest_contribution: contribution,
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
        self.bucket_sums[bucket] = self.bucket_sums[bucket].wrapping_sub(known.digest_contribution);
        Some(known)
    }

    /// The digest sums of all buckets, including the local member.
    pub(crate) fn bucket_sums_with(
        &self,
        local: &MemberIdentity,
        record: Option<&FactsRecord>,
    ) -> [u64; DIGEST_BUCKETS] {
        let mut sums = self.bucket_sums;
        let own = &mut sums[Self::bucket_index(local.name.hash())];
        *own = own.wrapping_add(digest_contribution(local, MemberState::Alive, record));
        sums
    }

    /// The bucket to which a member belongs.
    pub(crate) fn bucket_index(name: NameHash) -> usize {
        (name.as_u64() % DIGEST_BUCKETS as u64) as usize
    }
}
