//! Whether members agree, how long that takes, and how they differ.

use maplethread_membership::{MemberState, Micros};

use super::{MS, Model, member_name};

impl Model {
    /// Whether the members at these places see each other, all alike, and nobody else as live.
    pub fn is_settled(&self, places: &[usize]) -> bool {
        let first = self.local_member(places[0]).digest();
        let names: Vec<String> = places
            .iter()
            .map(|p| member_name(self.processes[p].member))
            .collect();
        places.iter().all(|p| {
            let fleet = self.local_member(*p);
            fleet.digest() == first
                && fleet.live_count() == places.len()
                && names.iter().all(|n| {
                    *n == member_name(self.processes[p].member)
                        || fleet.state_of(n) == Some(MemberState::Alive)
                })
        })
    }

    /// Lets time pass until these are settled: how long it took, or nothing if it took longer than `within`.
    pub fn run_until_settled(&mut self, places: &[usize], within: Micros) -> Option<Micros> {
        let from = self.now;
        while self.now <= from + within {
            if self.is_settled(places) {
                return Some(self.now - from);
            }
            self.run(50 * MS);
        }
        None
    }

    /// Why these are not settled, for a failing test.
    pub fn describe_differences(&self, places: &[usize]) -> String {
        let mut text = String::new();
        for &p in places {
            let view = self.local_member(p).view(self.now);
            let others: Vec<String> = view
                .members
                .iter()
                .filter(|m| m.state.is_live())
                .map(|m| {
                    let started = m.facts.as_ref().map(|f| f.started_ms);
                    format!(
                        "{} {:?} at {} life {} started {started:?}",
                        m.name, m.state, m.address, m.generation
                    )
                })
                .collect();
            text += &format!(
                "{}: {} live, {} health {} displaced {:?}; {}\n",
                view.name,
                self.local_member(p).live_count(),
                view.digest,
                view.health_score,
                view.displaced_by,
                others.join(", ")
            );
        }
        text
    }
}
