//! Whether members agree on one view, how long that takes, and how their views differ.

use maplethread_membership::{MemberState, Micros};

use super::{MS, Model, member_name};

impl Model {
    /// Whether the members at these nodes have equal views, in which exactly these members are live.
    pub fn is_settled(&self, nodes: &[usize]) -> bool {
        let first = self.local_member(nodes[0]).digest();
        let names: Vec<String> = nodes
            .iter()
            .map(|p| member_name(self.processes[p].member))
            .collect();
        nodes.iter().all(|p| {
            let member = self.local_member(*p);
            member.digest() == first
                && member.live_count() == nodes.len()
                && names.iter().all(|n| {
                    *n == member_name(self.processes[p].member)
                        || member.state_of(n) == Some(MemberState::Alive)
                })
        })
    }

    /// Runs the model until the members at these nodes are settled. Returns how long it took, or `None` if it took
    /// longer than `within`.
    pub fn run_until_settled(&mut self, nodes: &[usize], within: Micros) -> Option<Micros> {
        let from = self.now;
        while self.now <= from + within {
            if self.is_settled(nodes) {
                return Some(self.now - from);
            }
            self.run(50 * MS);
        }
        None
    }

    /// Describes the views at these nodes, for the message of a failing test.
    pub fn describe_differences(&self, nodes: &[usize]) -> String {
        let mut text = String::new();
        for &p in nodes {
            let view = self.local_member(p).view(self.now);
            let live_members: Vec<String> = view
                .members
                .iter()
                .filter(|m| m.state.is_live())
                .map(|m| {
                    let started = m.facts.as_ref().map(|f| f.started_ms);
                    format!(
                        "{} {:?} at {} generation {} started {started:?}",
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
                live_members.join(", ")
            );
        }
        text
    }
}
