//! Whether members agree, how long that takes, and how they differ.

use maplethread_fleet::{Micros, State};

use super::{MS, Model, name};

impl Model {
    /// Whether the members at these places see each other, all alike, and nobody else as live.
    pub fn settled(&self, places: &[usize]) -> bool {
        let first = self.fleet(places[0]).digest();
        let names: Vec<String> = places
            .iter()
            .map(|p| name(self.processes[p].name))
            .collect();
        places.iter().all(|p| {
            let fleet = self.fleet(*p);
            fleet.digest() == first
                && fleet.live() == places.len()
                && names.iter().all(|n| {
                    *n == name(self.processes[p].name) || fleet.state_of(n) == Some(State::Alive)
                })
        })
    }

    /// Lets time pass until these are settled: how long it took, or nothing if it took longer than `within`.
    pub fn settles(&mut self, places: &[usize], within: Micros) -> Option<Micros> {
        let from = self.now;
        while self.now <= from + within {
            if self.settled(places) {
                return Some(self.now - from);
            }
            self.run(50 * MS);
        }
        None
    }

    /// Why these are not settled, for a failing test.
    pub fn differences(&self, places: &[usize]) -> String {
        let mut text = String::new();
        for &p in places {
            let view = self.fleet(p).view(self.now);
            let others: Vec<String> = view
                .members
                .iter()
                .filter(|m| m.state.live())
                .map(|m| {
                    let started = m.facts.as_ref().map(|f| f.started_ms);
                    format!(
                        "{} {:?} at {} life {} started {started:?}",
                        m.name, m.state, m.address, m.life
                    )
                })
                .collect();
            text += &format!(
                "{}: {} live, {} health {} displaced {:?}; {}\n",
                view.name,
                self.fleet(p).live(),
                view.digest,
                view.health,
                view.displaced_by,
                others.join(", ")
            );
        }
        text
    }
}
