//! Integration of the SWIM library: its configuration, its codec, the broadcast of facts in its messages, and its outputs.

use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

use bytes::{Buf, BufMut};
use foca::{BroadcastHandler, Config, Foca, Header, Invalidates, Notification, PeriodicParams};
use foca::{Runtime, State, Timer};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::datagram::{MAX_DATAGRAM_BYTES, MAX_ENVELOPE_BYTES};
use crate::facts::{FactsRecord, FactsVersion};
use crate::identity::{MemberIdentity, NameHash};
use crate::settings::Timing;
use crate::shared_state::Shared;

/// The number of transmissions of an update grows with the maximum size of the fleet, up to this size.
const MAX_MEMBERS_FOR_TRANSMISSIONS: usize = 400;

/// The SWIM library with this crate's codec and broadcast handler.
pub(crate) type Swim = Foca<MemberIdentity, SwimCodec, Pcg64Mcg, FactStore>;

/// Creates an instance of the library without other members.
pub(crate) fn new_swim(timing: &Timing, rng: &mut Pcg64Mcg, shared: &Shared) -> Swim {
    let non_zero = |count: usize| NonZeroUsize::new(count).unwrap_or(NonZeroUsize::MIN);
    let periodic = |interval: Duration, members: usize| {
        Some(PeriodicParams {
            frequency: interval,
            num_members: non_zero(members),
        })
    };
    let transmissions =
        timing.max_transmissions(timing.max_members.min(MAX_MEMBERS_FOR_TRANSMISSIONS));
    let config = Config {
        probe_period: timing.probe_interval,
        probe_rtt: timing.probe_timeout,
        num_indirect_probes: non_zero(timing.indirect_probes),
        max_transmissions: NonZeroU8::new(transmissions).unwrap_or(NonZeroU8::MIN),
        suspect_to_down_after: timing.suspicion_timeout(1),
        remove_down_after: Some(timing.removal_delay),
        max_packet_size: non_zero(MAX_DATAGRAM_BYTES - MAX_ENVELOPE_BYTES),
        notify_down_members: true,
        periodic_announce: None,
        periodic_announce_to_down_members: periodic(timing.discovery_interval, 2),
        periodic_gossip: periodic(timing.gossip_interval, timing.indirect_probes),
    };
    let identity = shared.borrow().identity.clone();
    Foca::with_custom_broadcast(
        identity,
        config,
        Pcg64Mcg::seed_from_u64(rng.next_u64()),
        SwimCodec(shared.clone()),
        FactStore(shared.clone()),
    )
}

/// Encodes the library's messages with postcard, and filters the updates in received ones.
pub(crate) struct SwimCodec(Shared);

#[derive(Debug, thiserror::Error)]
pub(crate) enum CodecError {
    #[error("not enough space is left in the datagram")]
    NotEnoughSpace,
    #[error(transparent)]
    Postcard(#[from] postcard::Error),
}

fn encode(value: &impl Serialize, mut buf: impl BufMut) -> Result<(), CodecError> {
    let bytes = postcard::to_allocvec(value)?;
    if buf.remaining_mut() < bytes.len() {
        return Err(CodecError::NotEnoughSpace);
    }
    buf.put_slice(&bytes);
    Ok(())
}

fn decode<T: DeserializeOwned>(mut buf: impl Buf) -> Result<T, CodecError> {
    let chunk = buf.chunk();
    let (value, rest) = postcard::take_from_bytes(chunk)?;
    let used = chunk.len() - rest.len();
    buf.advance(used);
    Ok(value)
}

impl foca::Codec<MemberIdentity> for SwimCodec {
    type Error = CodecError;

    fn encode_header(
        &mut self,
        header: &Header<MemberIdentity>,
        buf: impl BufMut,
    ) -> Result<(), CodecError> {
        encode(header, buf)
    }

    fn decode_header(&mut self, buf: impl Buf) -> Result<Header<MemberIdentity>, CodecError> {
        let header: Header<MemberIdentity> = decode(buf)?;
        let sender = foca::Member::new(header.src.clone(), header.src_incarnation, State::Alive);
        self.0.borrow_mut().reported.push(sender);
        Ok(header)
    }

    fn encode_member(
        &mut self,
        member: &foca::Member<MemberIdentity>,
        buf: impl BufMut,
    ) -> Result<(), CodecError> {
        encode(member, buf)
    }

    fn decode_member(&mut self, buf: impl Buf) -> Result<foca::Member<MemberIdentity>, CodecError> {
        Ok(self.0.borrow_mut().filter_update(decode(buf)?))
    }
}

/// Handles the facts that are broadcast in the library's messages.
pub(crate) struct FactStore(Shared);

/// The member and version of broadcast facts: newer facts replace older ones that are still queued.
pub(crate) struct FactsKey {
    name: NameHash,
    version: FactsVersion,
}

impl Invalidates for FactsKey {
    fn invalidates(&self, other: &Self) -> bool {
        self.name == other.name && self.version >= other.version
    }
}

impl BroadcastHandler<MemberIdentity> for FactStore {
    type Key = FactsKey;
    type Error = postcard::Error;

    fn receive_item(
        &mut self,
        data: &[u8],
        _: Option<&MemberIdentity>,
    ) -> Result<Option<FactsKey>, postcard::Error> {
        let record: FactsRecord = postcard::from_bytes(data)?;
        let is_new = self.0.borrow_mut().store_if_newer(&record);
        Ok(is_new.then(|| FactsKey {
            name: record.name.hash(),
            version: record.version(),
        }))
    }
}

/// The outputs of a call of the library, in order.
#[derive(Default)]
pub(crate) struct SwimOutput {
    pub(crate) datagrams: Vec<(MemberIdentity, Vec<u8>)>,
    pub(crate) timers: Vec<(Timer<MemberIdentity>, Duration)>,
    pub(crate) notifications: Vec<SwimNotification>,
}

/// A notification of the library.
pub(crate) enum SwimNotification {
    /// The state or the identity of a member has changed.
    MemberChanged(MemberIdentity),
    /// The local member was declared down.
    DeclaredDown,
}

impl Runtime<MemberIdentity> for &mut SwimOutput {
    fn notify(&mut self, notification: Notification<'_, MemberIdentity>) {
        self.notifications.push(match notification {
            Notification::MemberUp(identity)
            | Notification::MemberDown(identity)
            | Notification::Rename(_, identity) => {
                SwimNotification::MemberChanged(identity.clone())
            }
            Notification::Defunct => SwimNotification::DeclaredDown,
            _ => return,
        });
    }

    fn send_to(&mut self, to: MemberIdentity, data: &[u8]) {
        self.datagrams.push((to, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<MemberIdentity>, after: Duration) {
        self.timers.push((event, after));
    }
}
