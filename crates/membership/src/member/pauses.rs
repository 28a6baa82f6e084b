//! Pauses of the own process, and new generations of the local member.

use super::{ITSELF, LocalMember, Output, as_micros};
use crate::identity::NameHash;
use crate::member_table::Micros;
use crate::swim::new_swim;
use crate::view::Notice;

/// A call that comes this much later than the next timer was due shows that the process was paused.
const MIN_DETECTED_PAUSE: Micros = 500_000;
/// A long pause as the source of a change. Published in JSON.
const ITSELF_AFTER_PAUSE: &str = "itself, after it stood still";

impl LocalMember {
    /// Detects that the process was paused. It has not read what arrived meanwhile, so its timers are delayed by the pause:
    /// everything that waits is read before another member is suspected. After a pause as long as members that are gone are
    /// remembered, the local member starts over, as what it knows is too old.
    pub(super) fn account_for_pause(&mut self, now: Micros) {
        let expected = self.timers.next_due_at().unwrap_or(self.last_call);
        let pause = now.saturating_sub(expected.max(self.last_call));
        self.last_call = self.last_call.max(now);
        if pause < MIN_DETECTED_PAUSE {
            return;
        }
        self.timers.add_pause(pause);
        self.health.record_pause();
        self.outputs.push(Output::Notice(Notice::ProcessPaused {
            duration_ms: pause / 1000,
        }));
        if pause >= as_micros(self.settings.timing.forget_after) {
            self.restart_from_empty(now);
        }
    }

    /// Forgets all other members and goes on in a new generation.
    fn restart_from_empty(&mut self, now: Micros) {
        let names: Vec<NameHash> = self
            .table
            .iter()
            .map(|known| known.identity.name.hash())
            .collect();
        for name in names {
            self.remember_former_address(name);
            self.forget_member(name, ITSELF_AFTER_PAUSE);
        }
        self.shared.borrow_mut().known_generations.clear();
        self.restart_swim();
        self.start_generation(now, 0);
        self.discover_peers(now);
    }

    /// Goes on in a generation above the current one and above `other`: the current generation was declared down, or had
    /// to give way to another one.
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
        self.with_swim(now, ITSELF, |swim, mut output| {
            swim.change_identity(identity, &mut output)?;
            // The library starts its periodic work only once updates are applied.
            swim.apply_many(std::iter::empty(), false, output)
        });
        self.publish_facts(now);
    }

    /// Replaces the library by a new instance, which knows nobody.
    pub(super) fn restart_swim(&mut self) {
        self.swim = new_swim(&self.settings.timing, &mut self.rng, &self.shared);
        self.swim_restarts += 1;
    }
}
