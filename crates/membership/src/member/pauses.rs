//! Detection of pauses of the local process, and new generations of the local member.

use super::{LocalMember, Output, REPORTED_BY_SELF, as_micros};
use crate::identity::NameHash;
use crate::member_table::Micros;
use crate::swim::new_swim;
use crate::view::Notice;

/// Minimum delay of a call, counted from when the next timer was due, for which the process is considered paused.
const MIN_DETECTED_PAUSE: Micros = 500_000;
/// [`crate::MembershipChange::reported_by`] of a removal after a long pause. Published in JSON.
const REPORTED_BY_SELF_AFTER_PAUSE: &str = "itself, after it stood still";

impl LocalMember {
    /// Detects a pause of the process, and delays all timers by its duration, so that datagrams that arrived during the
    /// pause are read before another member is suspected. After a pause of [`crate::Timing::removal_delay`] or longer
    /// the view is outdated, so the local member starts again with an empty one.
    pub(super) fn detect_pause(&mut self, now: Micros) {
        let expected = self.timers.next_due_at().unwrap_or(self.last_called_at);
        let pause = now.saturating_sub(expected.max(self.last_called_at));
        self.last_called_at = self.last_called_at.max(now);
        if pause < MIN_DETECTED_PAUSE {
            return;
        }
        self.timers.add_pause(pause);
        self.health.record_pause();
        self.outputs.push(Output::Notice(Notice::ProcessPaused {
            duration_ms: pause / 1000,
        }));
        if pause >= as_micros(self.settings.timing.removal_delay) {
            self.restart_from_empty(now);
        }
    }

    /// Removes all other members, and continues with a new generation.
    fn restart_from_empty(&mut self, now: Micros) {
        let names: Vec<NameHash> = self
            .table
            .iter()
            .map(|known| known.identity.name.hash())
            .collect();
        for name in names {
            self.record_former_address(name);
            self.remove_member(name, REPORTED_BY_SELF_AFTER_PAUSE);
        }
        self.shared.borrow_mut().known_generations.clear();
        self.restart_swim();
        self.start_generation(now, 0);
        self.discover_peers(now);
    }

    /// Starts a generation above the current one and above `other`, because the current generation was declared down or
    /// superseded.
    pub(super) fn start_generation(&mut self, now: Micros, other: u64) {
        if self.is_leaving {
            return;
        }
        let mut identity = self.identity();
        identity.generation = identity.generation.max(other) + 1;
        self.shared.borrow_mut().identity = identity.clone();
        self.outputs.push(Output::Notice(Notice::Renewed {
            generation: identity.generation,
        }));
        self.with_swim(now, REPORTED_BY_SELF, |swim, mut output| {
            swim.change_identity(identity, &mut output)?;
            // The library starts its periodic timers only when updates are applied.
            swim.apply_many(std::iter::empty(), false, output)
        });
        self.publish_facts(now);
    }

    /// Replaces the library by a new instance without other members.
    pub(super) fn restart_swim(&mut self) {
        self.swim = new_swim(&self.settings.timing, &mut self.rng, &self.shared);
        self.swim_restarts += 1;
    }
}
