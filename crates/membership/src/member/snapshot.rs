//! Snapshots of the local member's view, for operators and tests.

use super::LocalMember;
use crate::member_table::{KnownMember, Member, Micros};
use crate::shared_state::SharedState;
use crate::view::{DatagramCounters, MembershipView};

impl LocalMember {
    /// Returns the local member's view of the fleet.
    pub fn view(&self, now: Micros) -> MembershipView {
        let shared = self.shared.borrow();
        let mut members: Vec<Member> = self
            .table
            .iter()
            .map(|known| member(known, &shared, now))
            .collect();
        members.sort_by(|a, b| a.name.cmp(&b.name));
        MembershipView {
            name: shared.identity.name.to_string(),
            address: shared.identity.address,
            generation: shared.identity.generation,
            facts: self.published.facts.clone(),
            digest: format!("{:016x}", self.digest.value),
            version: self.digest.version,
            unchanged_ms: now.saturating_sub(self.digest.changed_at) / 1000,
            health_score: self.health.score(),
            displaced_by: self
                .name_conflict
                .as_ref()
                .map(|conflict| conflict.holder.address),
            claimed_by: self.claimed_by(now),
            members,
            counters: DatagramCounters {
                over_capacity: shared.over_capacity,
                ..self.counters
            },
        }
    }
}

fn member(known: &KnownMember, shared: &SharedState, now: Micros) -> Member {
    let identity = &known.identity;
    Member {
        name: identity.name.to_string(),
        address: identity.address,
        generation: identity.generation,
        incarnation: known.incarnation,
        state: known.state,
        state_age_ms: now.saturating_sub(known.state_since) / 1000,
        facts: shared
            .facts
            .get(&identity.name.hash())
            .map(|record| record.facts.clone()),
    }
}
