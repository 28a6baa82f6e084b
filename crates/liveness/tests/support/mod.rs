//! A fleet of hosts in simulated time around [`Liveness`], and the rule of fixed heartbeats to compare with.

#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};

use maplethread_liveness::{Due, Liveness, Micros, Settings, Sign};

pub const MS: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;

/// The defaults of a placer.
pub const SETTINGS: Settings = Settings {
    ping_every: SECOND,
    silent_after: 3 * SECOND,
    max_idle_pings_per_s: 40,
    max_idle_interval: 90 * SECOND,
};

/// How a host answers heartbeats.
#[derive(Clone, Copy)]
pub enum Answers {
    /// After this.
    After(Micros),
    Never,
}

/// When something happened to which host.
pub type At = (Micros, u32);

pub struct Fleet {
    pub liveness: Liveness<u32>,
    pub now: Micros,
    pub hosts: BTreeMap<u32, Answers>,
    on_the_way: BTreeSet<At>,
    pub heartbeats: Vec<At>,
    pub cut_off: Vec<At>,
}

impl Fleet {
    pub fn new(settings: Settings) -> Fleet {
        Fleet {
            liveness: Liveness::new(settings),
            now: 0,
            hosts: BTreeMap::new(),
            on_the_way: BTreeSet::new(),
            heartbeats: Vec::new(),
            cut_off: Vec::new(),
        }
    }

    /// So many hosts greet in one instant, and hold nothing.
    pub fn all_idle(settings: Settings, hosts: u32) -> Fleet {
        let mut fleet = Fleet::new(settings);
        fleet.greet_idle(0..hosts);
        fleet
    }

    pub fn greet_idle(&mut self, hosts: std::ops::Range<u32>) {
        for host in hosts {
            self.greet(host);
            self.liveness.use_ends(host);
        }
    }

    /// A host greets, and is in use.
    pub fn greet(&mut self, host: u32) {
        self.hosts.insert(host, Answers::After(5 * MS));
        self.liveness.greeted(self.now, host, SETTINGS.ping_every);
    }

    pub fn leaves(&mut self, host: u32) {
        self.hosts.remove(&host);
        self.liveness.removed(host);
    }

    pub fn answers(&mut self, hosts: std::ops::Range<u32>, how: Answers) {
        for host in hosts {
            self.hosts.insert(host, how);
        }
    }

    pub fn traffic(&mut self, host: u32) {
        self.liveness.heard(self.now, host, Sign::Traffic);
    }

    /// Time passes; whatever falls due does so in time.
    pub fn run_until(&mut self, end: Micros) {
        loop {
            let answer = self.on_the_way.first().map(|(at, _)| *at);
            let next = [answer, self.liveness.next()].into_iter().flatten().min();
            let Some(next) = next.filter(|&at| at <= end) else {
                break;
            };
            self.now = self.now.max(next);
            self.take_answers();
            self.turn(false);
        }
        self.now = end;
    }

    /// The placer does nothing for a while, and then finds in one turn what has come meanwhile.
    pub fn stands_still(&mut self, span: Micros) {
        self.now += span;
        self.take_answers();
        self.turn(true);
    }

    fn take_answers(&mut self) {
        while let Some(&(at, host)) = self.on_the_way.first()
            && at <= self.now
        {
            self.on_the_way.pop_first();
            self.liveness.heard(self.now, host, Sign::Answer);
        }
    }

    fn turn(&mut self, stalled: bool) {
        for due in self.liveness.due(self.now, stalled) {
            match due {
                Due::Heartbeat(host) => {
                    self.heartbeats.push((self.now, host));
                    if let Some(Answers::After(after)) = self.hosts.get(&host) {
                        self.on_the_way.insert((self.now + after, host));
                    }
                }
                Due::Silent(host) => {
                    self.cut_off.push((self.now, host));
                    self.hosts.remove(&host);
                }
            }
        }
        assert!(
            self.liveness.next().is_none_or(|next| next > self.now),
            "it asks to be called at once again"
        );
    }

    /// When a host was cut off.
    pub fn cut_off_at(&self, host: u32) -> Option<Micros> {
        self.cut_off
            .iter()
            .find(|(_, cut)| *cut == host)
            .map(|(at, _)| *at)
    }

    /// The times of heartbeats to one host since then.
    pub fn heartbeats_to(&self, host: u32, since: Micros) -> Vec<Micros> {
        let to_it = self
            .heartbeats
            .iter()
            .filter(|(at, to)| *to == host && *at >= since);
        to_it.map(|(at, _)| *at).collect()
    }

    /// The most heartbeats in any second, sliding, since then.
    pub fn most_in_a_second(&self, since: Micros) -> usize {
        let times: Vec<Micros> = self
            .heartbeats
            .iter()
            .map(|(at, _)| *at)
            .filter(|&at| at >= since)
            .collect();
        let within =
            |first: usize| times[first..].partition_point(|&at| at < times[first] + SECOND);
        (0..times.len()).map(within).max().unwrap_or(0)
    }
}

/// Fixed heartbeats to one host, as before they were adaptive: at every tick it is cut off or gets one.
pub struct Fixed {
    heard: Micros,
    tick: Micros,
    pub heartbeats: usize,
}

impl Fixed {
    pub fn greeted(now: Micros) -> Fixed {
        Fixed {
            heard: now,
            tick: now + SETTINGS.ping_every,
            heartbeats: 0,
        }
    }

    /// When the host is cut off that is heard at these times, answers heartbeats after `answer_after`, and says nothing
    /// from `silent_from` on.
    pub fn cut_off_at(
        &mut self,
        traffic: &[Micros],
        answer_after: Micros,
        silent_from: Micros,
    ) -> Micros {
        let mut traffic = traffic
            .iter()
            .copied()
            .filter(|&at| at < silent_from)
            .peekable();
        loop {
            let now = self.tick;
            while let Some(at) = traffic.next_if(|&at| at <= now) {
                self.heard = self.heard.max(at);
            }
            if self.heard + SETTINGS.silent_after <= now {
                return now;
            }
            self.heartbeats += 1;
            if now < silent_from {
                self.heard = self.heard.max(now + answer_after);
            }
            self.tick = now + SETTINGS.ping_every;
        }
    }
}
