//! Rule 5: a service's spread limit counts attempts out and running tasks. A placer holds an attempt from the offer
//! until its host is done with it, or the placer has lost it from sight.

use crate::figures::Place;
use crate::judge::{Judge, Name};

impl Judge<'_> {
    pub(crate) fn rule_5(
        &mut self,
        placer: &Name,
        life: u64,
        host: &Name,
        service: &str,
        class: &str,
    ) {
        let rule = self.figures.classes.iter().find(|c| c.name == class);
        let Some((place, most)) = rule.and_then(|r| r.spread_limit) else {
            return;
        };
        let Some(here) = self.places.get(host) else {
            return;
        };
        let there = |h: &Name| {
            self.places.get(h).is_some_and(|w| match place {
                Place::Host => w.host == here.host,
                Place::Cell => (&w.zone, &w.cell) == (&here.zone, &here.cell),
                Place::Zone => w.zone == here.zone,
            })
        };
        let held = self.held.get(&(placer.clone(), life));
        let all = held.and_then(|h| h.by_service.get(service));
        let there = |wire: &&u64| self.attempts.get(wire).is_some_and(|a| there(&a.host));
        let known = |wire: &&u64| {
            self.taken_over
                .get(wire)
                .is_none_or(|&read| read <= self.at)
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
            self.spreads
                .push_back((self.at + self.figures.slack, what, most, wires));
        }
    }

    /// The host is done with an attempt: it counts in no spread any more.
    pub(crate) fn release(&mut self, wire: u64) {
        self.release_at(wire, self.at);
    }

    /// The same, since then.
    pub(crate) fn release_at(&mut self, wire: u64, at: u64) {
        if let Some((placer, life, service)) = self.services.remove(&wire)
            && let Some(held) = self.held.get_mut(&(placer, life))
            && let Some(all) = held.by_service.get_mut(&service)
        {
            all.remove(&wire);
            self.released.insert(wire, at);
        }
    }

    /// The host says that it is done with an attempt. This is recorded before the placer can read it, so what the placer
    /// sent before cannot have been sent for that.
    pub(crate) fn release_as_told(&mut self, wire: u64) {
        if self.services.contains_key(&wire) {
            self.told_over.insert(wire);
        }
        self.release(wire);
    }

    pub(crate) fn hold(&mut self, wire: u64, placer: &Name, life: u64, service: &str) {
        let held = self.held.entry((placer.clone(), life)).or_default();
        held.by_service
            .entry(service.to_owned())
            .or_default()
            .insert(wire);
        self.services
            .insert(wire, (placer.clone(), life, service.to_owned()));
        // Who is told of a task anew, by a host that names what it holds, holds it again.
        self.released.remove(&wire);
        self.told_over.remove(&wire);
    }

    /// Tasks whose host was without a connection for long enough count as lost.
    pub(crate) fn lose_orphans(&mut self, now: u64) {
        while let Some((_, host, link, placer)) = self.orphans.pop_front_if(|o| o.0 < now) {
            let back = self
                .links
                .iter()
                .any(|((h, _), (p, _))| *h == host && *p == placer);
            if !back {
                for wire in self.attempts_at(&host) {
                    let is_lost = self.attempts.get(&wire).is_some_and(|a| a.link <= link);
                    if is_lost && self.services.get(&wire).is_some_and(|(p, ..)| *p == placer) {
                        self.release(wire);
                    }
                }
            }
        }
    }

    /// Spreads over their limit count only if they still are once what was sent before must have been read everywhere. What
    /// its host's word alone has ended since counts.
    pub(crate) fn settle_spreads(&mut self, now: u64) {
        while let Some((by, what, most, wires)) = self.spreads.pop_front_if(|s| s.0 < now) {
            let counts = |wire: &&u64| {
                self.told_over.contains(wire) || self.released.get(wire).is_none_or(|&at| at > by)
            };
            if wires.iter().filter(counts).count() as u32 > most {
                let shown = wires
                    .iter()
                    .filter_map(|w| self.attempts.get(w))
                    .map(|a| a.shown)
                    .collect();
                self.broken(5, what, shown);
            }
        }
    }
}
