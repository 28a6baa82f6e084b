//! Publication of the local member's facts, and of its leave.

use super::{LocalMember, MemberTimer, REPORTED_BY_SELF};
use crate::datagram::{MemberUpdate, Message, WireState};
use crate::facts::{Facts, FactsRecord};
use crate::member_table::Micros;
use crate::random::random_below;

/// Minimum interval between publications of facts.
const MIN_FACTS_INTERVAL: Micros = 1_000_000;
/// How many times a leave is announced, because datagrams can be lost.
const LEAVE_ANNOUNCEMENTS: u32 = 3;
/// Interval between announcements of a leave.
const LEAVE_ANNOUNCEMENT_INTERVAL: Micros = 50_000;

impl LocalMember {
    /// Publishes new facts, at most once per second: of several changes within a second only the last one is published.
    pub fn set_facts(&mut self, now: Micros, facts: Facts) {
        if self.published.facts == facts || self.is_leaving {
            return;
        }
        self.published.facts = facts;
        let next_allowed = self.published.published_at + MIN_FACTS_INTERVAL;
        let delay = next_allowed.saturating_sub(now);
        if delay == 0 {
            self.publish_facts(now);
        } else if !self.published.is_update_scheduled {
            self.published.is_update_scheduled = true;
            self.timers.schedule(now, delay, MemberTimer::PublishFacts);
        }
    }

    /// Leaves the fleet. The leave is announced several times, because datagrams can be lost, so the caller must keep calling
    /// [`LocalMember::tick`] for a short time.
    pub fn leave(&mut self, now: Micros) {
        if self.is_leaving {
            return;
        }
        self.is_leaving = true;
        self.published.facts.is_draining = true;
        self.publish_facts(now);
        self.with_swim(now, REPORTED_BY_SELF, |swim, output| {
            swim.leave_cluster(output)
        });
        self.announce_leave(now, LEAVE_ANNOUNCEMENTS);
    }

    pub(super) fn publish_scheduled_facts(&mut self, now: Micros) {
        self.published.is_update_scheduled = false;
        self.publish_facts(now);
    }

    /// Queues the current facts for broadcast in the library's messages.
    pub(super) fn publish_facts(&mut self, now: Micros) {
        self.published.published_at = now;
        self.published.sequence += 1;
        let identity = self.identity();
        let record = FactsRecord {
            name: identity.name,
            generation: identity.generation,
            sequence: self.published.sequence,
            is_leaving: self.is_leaving,
            facts: self.published.facts.clone(),
        };
        if let Ok(bytes) = postcard::to_allocvec(&record) {
            self.with_swim(now, REPORTED_BY_SELF, |swim, _| {
                swim.add_broadcast(&bytes).map(drop)
            });
        }
    }

    /// Announces the leave to random members, and schedules the remaining announcements.
    pub(super) fn announce_leave(&mut self, now: Micros, remaining: u32) {
        let facts = self.shared.borrow().own_facts().cloned();
        let update = MemberUpdate {
            identity: self.identity(),
            incarnation: u16::MAX,
            state: WireState::Down,
            facts,
        };
        for _ in 0..self.settings.timing.indirect_probes {
            let index = random_below(&mut self.rng, self.table.live_count());
            let receiver = self.table.live().nth(index);
            if let Some(address) = receiver.map(|identity| identity.address) {
                self.send(now, address, Message::MemberUpdates(vec![update.clone()]));
            }
        }
        if remaining > 1 {
            let timer = MemberTimer::AnnounceLeave {
                remaining: remaining - 1,
            };
            self.timers
                .schedule(now, LEAVE_ANNOUNCEMENT_INTERVAL, timer);
        }
    }
}
