//! Anti-entropy: members compare digests of their views, and send each other the entries that differ.

use std::net::SocketAddr;
use std::time::Duration;

use super::{LocalMember, MemberTimer, as_micros};
use crate::datagram::{
    DIGEST_BUCKETS, MAX_DATAGRAM_BYTES, MAX_ENVELOPE_BYTES, MemberUpdate, Message,
};
use crate::facts::FactsRecord;
use crate::identity::MemberIdentity;
use crate::member_table::{MemberTable, Micros};
use crate::random::{random_below, with_jitter};
use crate::shared_state::SharedState;
use crate::view_digest::bucket_digests;

/// Maximum number of member updates sent in one exchange, with about ten in each datagram. The others are sent in later
/// exchanges.
const MAX_UPDATES_PER_EXCHANGE: usize = 120;

impl LocalMember {
    /// Schedules the next comparison of views, replacing an earlier schedule.
    pub(super) fn schedule_comparison(&mut self, now: Micros, interval: Duration) {
        let delay = with_jitter(&mut self.rng, as_micros(interval));
        self.next_comparison_at = self.timers.active_time(now) + delay;
        self.timers.schedule(now, delay, MemberTimer::CompareViews);
    }

    /// Compares views with a random live member.
    pub(super) fn compare_views(&mut self, now: Micros) {
        if self.timers.active_time(now) < self.next_comparison_at {
            // The comparison was rescheduled after this timer was set.
            return;
        }
        self.schedule_comparison(now, self.settings.timing.anti_entropy_interval);
        if self.is_leaving || self.name_conflict.is_some() || self.table.live_count() == 0 {
            return;
        }
        let index = random_below(&mut self.rng, self.table.live_count());
        let receiver = self.table.live().nth(index);
        if let Some(address) = receiver.map(|identity| identity.address) {
            self.start_digest_exchange(now, address);
        }
    }

    pub(super) fn start_digest_exchange(&mut self, now: Micros, to: SocketAddr) {
        let exchange = Message::DigestExchange {
            bucket_digests: self.bucket_digests(),
            is_reply: false,
        };
        self.send(now, to, exchange);
    }

    /// The digests of the local view, by bucket.
    pub(super) fn bucket_digests(&self) -> Vec<u32> {
        let shared = self.shared.borrow();
        bucket_digests(
            &self
                .table
                .bucket_sums_with(&shared.identity, shared.own_facts()),
        )
    }

    /// Sends updates of the members in buckets whose digests differ. Returns the digests of the local view.
    pub(super) fn send_differences(
        &mut self,
        now: Micros,
        to: SocketAddr,
        received_digests: &[u32],
    ) -> Vec<u32> {
        let own_digests = self.bucket_digests();
        if received_digests.len() != DIGEST_BUCKETS || own_digests == received_digests {
            return own_digests;
        }
        let mut batch = Vec::new();
        let mut free_bytes = 0;
        for update in self.differing_members(&own_digests, received_digests) {
            let size =
                postcard::experimental::serialized_size(&update).unwrap_or(MAX_DATAGRAM_BYTES);
            if free_bytes < size {
                self.send_member_updates(now, to, std::mem::take(&mut batch));
                free_bytes = MAX_DATAGRAM_BYTES - MAX_ENVELOPE_BYTES;
            }
            free_bytes = free_bytes.saturating_sub(size);
            batch.push(update);
        }
        self.send_member_updates(now, to, batch);
        own_digests
    }

    /// Updates of the members in buckets whose digests differ, including the local member; at most
    /// [`MAX_UPDATES_PER_EXCHANGE`]. Only these are copied, because a large fleet has thousands of members.
    fn differing_members(
        &mut self,
        own_digests: &[u32],
        received_digests: &[u32],
    ) -> Vec<MemberUpdate> {
        let is_in_differing_bucket = |identity: &MemberIdentity| {
            let bucket = MemberTable::bucket_index(identity.name.hash());
            own_digests[bucket] != received_digests[bucket]
        };
        let local = foca::Member::alive(self.identity());
        // Includes the receiver itself, so that it can refute a suspicion even if the first message about it was lost.
        let members = || {
            self.swim
                .iter_membership_state()
                .chain([&local])
                .filter(|member| is_in_differing_bucket(member.id()))
        };
        let count = members().count();
        // If there are too many updates for one exchange, a random start makes each exchange send a different part.
        let start = if count > MAX_UPDATES_PER_EXCHANGE {
            random_below(&mut self.rng, count)
        } else {
            0
        };
        let shared = self.shared.borrow();
        members()
            .skip(start)
            .chain(members().take(start))
            .take(MAX_UPDATES_PER_EXCHANGE)
            .map(|member| member_update(member, &shared))
            .collect()
    }

    fn send_member_updates(&mut self, now: Micros, to: SocketAddr, updates: Vec<MemberUpdate>) {
        if !updates.is_empty() {
            self.send(now, to, Message::MemberUpdates(updates));
        }
    }

    /// Applies updates from another member.
    pub(super) fn apply_member_updates(
        &mut self,
        now: Micros,
        reported_by: &str,
        updates: Vec<MemberUpdate>,
    ) {
        let mut members = Vec::with_capacity(updates.len());
        let mut records: Vec<FactsRecord> = Vec::new();
        for update in updates {
            let facts = update.facts;
            records.extend(facts.filter(|record| record.name == update.identity.name));
            let state = update.state.into();
            let member = foca::Member::new(update.identity, update.incarnation, state);
            members.push(self.shared.borrow_mut().filter_update(member));
        }
        let digest_before = self.digest.value;
        self.with_swim(now, reported_by, |swim, output| {
            for record in records {
                // `FactStore` accepts the record only if it is new; an accepted record is broadcast further.
                if let Ok(bytes) = postcard::to_allocvec(&record) {
                    swim.add_broadcast(&bytes)?;
                }
            }
            swim.apply_many(members.into_iter(), true, output)
        });
        if self.digest.value != digest_before {
            // More changes are likely to follow, so the next comparison is scheduled early: large changes spread faster.
            self.schedule_comparison(now, self.settings.timing.gossip_interval);
        }
    }
}

fn member_update(member: &foca::Member<MemberIdentity>, shared: &SharedState) -> MemberUpdate {
    MemberUpdate {
        identity: member.id().clone(),
        incarnation: member.incarnation(),
        state: member.state().into(),
        facts: shared.facts.get(&member.id().name.hash()).cloned(),
    }
}
