//! Rule 5: a service's spread limit counts attempts out and running tasks. A placer holds an attempt from the offer
//! until its host is done with it, or the placer has lost it from sight.

use crate::checker::{Checker, Name};
use crate::parameters::TopologyLevel;

impl Checker<'_> {
    pub(crate) fn check_spread_limit(
        &mut self,
        placer: &Name,
        life: u64,
        host: &Name,
        service: &str,
        class: &str,
    ) {
        let rule = self.parameters.classes.iter().find(|c| c.name == class);
        let Some((place, most)) = rule.and_then(|r| r.spread_limit) else {
            return;
        };
        let Some(here) = self.locations.get(host) else {
            return;
        };
        let there = |h: &Name| {
            self.locations.get(h).is_some_and(|w| match place {
                TopologyLevel::Host => w.host == here.host,
                TopologyLevel::Cell => (&w.zone, &w.cell) == (&here.zone, &here.cell),
                TopologyLevel::Zone => w.zone == here.zone,
            })
        };
        let held = self.placements.get(&(placer.clone(), life));
        let all = held.and_then(|h| h.attempts_by_service.get(service));
        let there = |wire: &&u64| self.attempts.get(wire).is_some_and(|a| there(&a.host));
        let known = |wire: &&u64| {
            self.reattached_at
                .get(wire)
                .is_none_or(|&read| read <= self.now)
        };
        let wires: Vec<u64> = all
            .into_iter()
            .flatten()
            .filter(there)
            .filter(known)
            .copied()
            .collect();
        if wires.len() as u32 > most {
            let count = wires.len();
            let what = format!(
                "{placer} has {count} tasks of {service} in one place with {host}, {most} are allowed"
            );
            self.pending_spread_checks.push_back((
                self.now + self.parameters.timing_slack_us,
                what,
                most,
                wires,
            ));
        }
    }

    /// The host is done with an attempt: it counts in no spread any more.
    pub(crate) fn release_now(&mut self, wire: u64) {
        self.release_at(wire, self.now);
    }

    /// The same, since then.
    pub(crate) fn release_at(&mut self, wire: u64, at: u64) {
        if let Some((placer, life, service)) = self.placement_of_attempt.remove(&wire)
            && let Some(held) = self.placements.get_mut(&(placer, life))
            && let Some(all) = held.attempts_by_service.get_mut(&service)
        {
            all.remove(&wire);
            self.released_at.insert(wire, at);
        }
    }

    /// The host says that it is done with an attempt. This is recorded before the placer can read it, so what the placer
    /// sent before cannot have been sent for that.
    pub(crate) fn release_by_host(&mut self, wire: u64) {
        if self.placement_of_attempt.contains_key(&wire) {
            self.released_by_host.insert(wire);
        }
        self.release_now(wire);
    }

    pub(crate) fn record_placement(&mut self, wire: u64, placer: &Name, life: u64, service: &str) {
        let held = self.placements.entry((placer.clone(), life)).or_default();
        held.attempts_by_service
            .entry(service.to_owned())
            .or_default()
            .insert(wire);
        self.placement_of_attempt
            .insert(wire, (placer.clone(), life, service.to_owned()));
        // Who is told of a task anew, by a host that names what it holds, holds it again.
        self.released_at.remove(&wire);
        self.released_by_host.remove(&wire);
    }

    /// Tasks whose host was without a connection for long enough count as lost.
    pub(crate) fn release_lost_connections(&mut self, now: u64) {
        while let Some((_, host, link, placer)) = self.lost_connections.pop_front_if(|o| o.0 < now)
        {
            let back = self
                .connections
                .iter()
                .any(|((h, _), (p, _))| *h == host && *p == placer);
            if !back {
                for wire in self.attempts_last_offered_to(&host) {
                    let is_lost = self
                        .attempts
                        .get(&wire)
                        .is_some_and(|a| a.connection <= link);
                    if is_lost
                        && self
                            .placement_of_attempt
                            .get(&wire)
                            .is_some_and(|(p, ..)| *p == placer)
                    {
                        self.release_now(wire);
                    }
                }
            }
        }
    }

    /// Spreads over their limit count only if they still are once what was sent before must have been read everywhere. What
    /// its host's word alone has ended since counts.
    pub(crate) fn settle_spread_limits(&mut self, now: u64) {
        while let Some((by, what, most, wires)) =
            self.pending_spread_checks.pop_front_if(|s| s.0 < now)
        {
            let counts = |wire: &&u64| {
                self.released_by_host.contains(wire)
                    || self.released_at.get(wire).is_none_or(|&at| at > by)
            };
            if wires.iter().filter(counts).count() as u32 > most {
                let shown = wires
                    .iter()
                    .filter_map(|w| self.attempts.get(w))
                    .map(|a| a.evidence)
                    .collect();
                self.report_violation(5, what, shown);
            }
        }
    }
}
