//! Anti-entropy: members compare digests of their views, and send what differs.

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

/// How many members are sent in answer to one exchange, some ten to a datagram; the others follow with the next exchange.
const MAX_UPDATES_PER_EXCHANGE: usize = 120;

impl LocalMember {
    /// Schedules the next comparison of views, in place of an earlier schedule.
    pub(super) fn schedule_comparison(&mut self, now: Micros, interval: Duration) {
        let delay = with_jitter(&mut self.rng, as_micros(interval));
        self.next_comparison_at = self.timers.active_time(now) + delay;
        self.timers.schedule(now, delay, MemberTimer::CompareViews);
    }

    /// Compares views with a random live member.
    pub(super) fn compare_views(&mut self, now: Micros) {
        if self.timers.active_time(now) < self.next_comparison_at {
            // The schedule was changed since this timer was set.
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
        bucket_digests(&self.table.sums_with(&shared.identity, shared.own_facts()))
    }

    /// Sends what this member knows of members in buckets whose digests differ; returns the digests of the own view.
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
        let mut page = Vec::new();
        let mut free_bytes = 0;
        for update in self.differing_members(&own_digests, received_digests) {
            let size =
                postcard::experimental::serialized_size(&update).unwrap_or(MAX_DATAGRAM_BYTES);
            if free_bytes < size {
                self.send_member_updates(now, to, std::mem::take(&mut page));
                free_bytes = MAX_DATAGRAM_BYTES - MAX_ENVELOPE_BYTES;
            }
            free_bytes = free_bytes.saturating_sub(size);
            page.push(update);
        }
        self.send_member_updates(now, to, page);
        own_digests
    }

    /// What this member knows of members in buckets whose digests differ, itself included; at most
    /// [`MAX_UPDATES_PER_EXCHANGE`]. Only those are copied, as a large fleet has thousands.
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
        // The receiver itself is included, so that it learns of a suspicion whose message was lost.
        let members = || {
            self.swim
                .iter_membership_state()
                .chain([&local])
                .filter(|member| is_in_differing_bucket(member.id()))
        };
        let count = members().count();
        // If not all can be sent, each exchange sends others.
        let first = if count > MAX_UPDATES_PER_EXCHANGE {
            random_below(&mut self.rng, count)
        } else {
            0
        };
        let shared = self.shared.borrow();
        members()
            .skip(first)
            .chain(members().take(first))
            .take(MAX_UPDATES_PER_EXCHANGE)
            .map(|member| member_update(member, &shared))
            .collect()
    }

    fn send_member_updates(&mut self, now: Micros, to: SocketAddr, updates: Vec<MemberUpdate>) {
        if !updates.is_empty() {
            self.send(now, to, Message::MemberUpdates(updates));
        }
    }

    /// Applies what another member knows.
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
                // The store of facts decides whether the record is new; if it is, it is passed on.
                if let Ok(bytes) = postcard::to_allocvec(&record) {
                    swim.add_broadcast(&bytes)?;
                }
            }
            swim.apply_many(members.into_iter(), true, output)
        });
        if self.digest.value != digest_before {
            // More changes may follow, so the next comparison comes soon: many changes at once spread without delay.
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
