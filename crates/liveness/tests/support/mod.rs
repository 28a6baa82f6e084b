//! A fleet of hosts in simulated time around [`Liveness`], and the rule of fixed heartbeats to compare with.

#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};

use maplethread_liveness::{DueAction, Liveness, Micros, Settings, SignOfLife};

pub const MS: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;

/// The defaults of a placer.
pub const SETTINGS: Settings = Settings {
    ping_interval: SECOND,
    silence_timeout: 3 * SECOND,
    max_idle_pings_per_s: 40,
    max_idle_interval: 90 * SECOND,
};

/// How a host answers heartbeats.
#[derive(Clone, Copy)]
pub enum AnswerBehaviour {
    /// After this.
    After(Micros),
    Never,
}

/// When something happened to which host.
pub type HostEvent = (Micros, u32);

pub struct SimulatedHosts {
    pub liveness: Liveness<u32>,
    pub now: Micros,
    pub hosts: BTreeMap<u32, AnswerBehaviour>,
    answers_in_transit: BTreeSet<HostEvent>,
    pub heartbeats: Vec<HostEvent>,
    pub disconnected: Vec<HostEvent>,
}

impl SimulatedHosts {
    pub fn new(settings: Settings) -> SimulatedHosts {
        SimulatedHosts {
            liveness: Liveness::new(settings),
            now: 0,
            hosts: BTreeMap::new(),
            answers_in_transit: BTreeSet::new(),
            heartbeats: Vec::new(),
            disconnected: Vec::new(),
        }
    }

    /// So many hosts greet in one instant, and hold nothing.
    pub fn with_idle_hosts(settings: Settings, hosts: u32) -> SimulatedHosts {
        let mut fleet = SimulatedHosts::new(settings);
        fleet.greet_idle(0..hosts);
        fleet
    }

    pub fn greet_idle(&mut self, hosts: std::ops::Range<u32>) {
        for host in hosts {
            self.greet(host);
            self.liveness.mark_idle(host);
        }
    }

    /// A host greets, and is in use.
    pub fn greet(&mut self, host: u32) {
        self.hosts.insert(host, AnswerBehaviour::After(5 * MS));
        self.liveness
            .host_greeted(self.now, host, SETTINGS.ping_interval);
    }

    pub fn remove(&mut self, host: u32) {
        self.hosts.remove(&host);
        self.liveness.remove(host);
    }

    pub fn set_answers(&mut self, hosts: std::ops::Range<u32>, how: AnswerBehaviour) {
        for host in hosts {
            self.hosts.insert(host, how);
        }
    }

    pub fn receive_traffic(&mut self, host: u32) {
        self.liveness
            .record_sign_of_life(self.now, host, SignOfLife::Traffic);
    }

    /// Time passes; whatever falls due does so in time.
    pub fn run_until(&mut self, end: Micros) {
        loop {
            let answer = self.answers_in_transit.first().map(|(at, _)| *at);
            let next = [answer, self.liveness.next_due_at()]
                .into_iter()
                .flatten()
                .min();
            let Some(next) = next.filter(|&at| at <= end) else {
                break;
            };
            self.now = self.now.max(next);
            self.deliver_answers();
            self.turn(false);
        }
        self.now = end;
    }

    /// The placer does nothing for a while, and then finds in one turn what has come meanwhile.
    pub fn stall(&mut self, span: Micros) {
        self.now += span;
        self.deliver_answers();
        self.turn(true);
    }

    fn deliver_answers(&mut self) {
        while let Some(&(at, host)) = self.answers_in_transit.first()
            && at <= self.now
        {
            self.answers_in_transit.pop_first();
            self.liveness
                .record_sign_of_life(self.now, host, SignOfLife::Answer);
        }
    }

    fn turn(&mut self, stalled: bool) {
        for due in self.liveness.take_due(self.now, stalled) {
            match due {
                DueAction::SendHeartbeat(host) => {
                    self.heartbeats.push((self.now, host));
                    if let Some(AnswerBehaviour::After(after)) = self.hosts.get(&host) {
                        self.answers_in_transit.insert((self.now + after, host));
                    }
                }
                DueAction::Disconnect(host) => {
                    self.disconnected.push((self.now, host));
                    self.hosts.remove(&host);
                }
            }
        }
        assert!(
            self.liveness
                .next_due_at()
                .is_none_or(|next| next > self.now),
            "it asks to be called at once again"
        );
    }

    /// When a host was disconnected.
    pub fn disconnected_at(&self, host: u32) -> Option<Micros> {
        self.disconnected
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
    pub fn max_heartbeats_per_second(&self, since: Micros) -> usize {
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

/// Fixed heartbeats to one host, as before they were adaptive: at every tick it is disconnected or gets one.
pub struct FixedHeartbeats {
    last_sign_of_life: Micros,
    next_tick: Micros,
    pub heartbeats: usize,
}

impl FixedHeartbeats {
    pub fn greeted(now: Micros) -> FixedHeartbeats {
        FixedHeartbeats {
            last_sign_of_life: now,
            next_tick: now + SETTINGS.ping_interval,
            heartbeats: 0,
        }
    }

    /// When the host is disconnected that is heard at these times, answers heartbeats after `answer_after`, and says nothing
    /// from `silent_from` on.
    pub fn disconnected_at(
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
            let now = self.next_tick;
            while let Some(at) = traffic.next_if(|&at| at <= now) {
                self.last_sign_of_life = self.last_sign_of_life.max(at);
            }
            if self.last_sign_of_life + SETTINGS.silence_timeout <= now {
                return now;
            }
            self.heartbeats += 1;
            if now < silent_from {
                self.last_sign_of_life = self.last_sign_of_life.max(now + answer_after);
            }
            self.next_tick = now + SETTINGS.ping_interval;
        }
    }
}
