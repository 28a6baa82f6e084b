//! Simulated hosts and a simulated clock around [`Liveness`], and heartbeats at a fixed interval to compare with.

#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};

use maplethread_liveness::{Activity, DueAction, Liveness, Micros, Settings};

pub const MS: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;

/// The default settings of a placer.
pub const SETTINGS: Settings = Settings {
    ping_interval: SECOND,
    silence_timeout: 3 * SECOND,
    max_idle_pings_per_s: 40,
    max_idle_interval: 90 * SECOND,
};

/// Whether and when a host answers heartbeats.
#[derive(Clone, Copy)]
pub enum AnswerBehaviour {
    /// After this delay.
    After(Micros),
    Never,
}

/// The time of an event, and the host that it concerns.
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

    /// Creates hosts that all send their greeting at the same time and are idle.
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

    /// Adds a host that has sent its greeting and counts as in use.
    pub fn greet(&mut self, host: u32) {
        self.hosts.insert(host, AnswerBehaviour::After(5 * MS));
        self.liveness
            .host_greeted(self.now, host, SETTINGS.ping_interval);
    }

    pub fn remove(&mut self, host: u32) {
        self.hosts.remove(&host);
        self.liveness.remove(host);
    }

    pub fn set_answers(&mut self, hosts: std::ops::Range<u32>, behaviour: AnswerBehaviour) {
        for host in hosts {
            self.hosts.insert(host, behaviour);
        }
    }

    pub fn receive_traffic(&mut self, host: u32) {
        self.liveness
            .record_activity(self.now, host, Activity::Traffic);
    }

    /// Advances the clock, and handles everything that becomes due without delay.
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

    /// Stalls the placer for `span`; afterwards it handles in one turn everything that has arrived.
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
                .record_activity(self.now, host, Activity::Answer);
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
            "the next action is due at the present time"
        );
    }

    /// When a host was disconnected.
    pub fn disconnected_at(&self, host: u32) -> Option<Micros> {
        self.disconnected
            .iter()
            .find(|(_, disconnected)| *disconnected == host)
            .map(|(at, _)| *at)
    }

    /// The times of heartbeats to one host since `since`.
    pub fn heartbeats_to(&self, host: u32, since: Micros) -> Vec<Micros> {
        let to_it = self
            .heartbeats
            .iter()
            .filter(|(at, to)| *to == host && *at >= since);
        to_it.map(|(at, _)| *at).collect()
    }

    /// The most heartbeats in any sliding second since `since`.
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

/// Heartbeats to one host at a fixed interval: at every tick the host is disconnected or sent a heartbeat.
pub struct FixedHeartbeats {
    last_activity: Micros,
    next_tick: Micros,
    pub heartbeats: usize,
}

impl FixedHeartbeats {
    pub fn greeted(now: Micros) -> FixedHeartbeats {
        FixedHeartbeats {
            last_activity: now,
            next_tick: now + SETTINGS.ping_interval,
            heartbeats: 0,
        }
    }

    /// When a host is disconnected that sends traffic at these times, answers heartbeats after `answer_after`, and
    /// sends nothing from `unresponsive_from` on.
    pub fn disconnected_at(
        &mut self,
        traffic: &[Micros],
        answer_after: Micros,
        unresponsive_from: Micros,
    ) -> Micros {
        let mut traffic = traffic
            .iter()
            .copied()
            .filter(|&at| at < unresponsive_from)
            .peekable();
        loop {
            let now = self.next_tick;
            while let Some(at) = traffic.next_if(|&at| at <= now) {
                self.last_activity = self.last_activity.max(at);
            }
            if self.last_activity + SETTINGS.silence_timeout <= now {
                return now;
            }
            self.heartbeats += 1;
            if now < unresponsive_from {
                self.last_activity = self.last_activity.max(now + answer_after);
            }
            self.next_tick = now + SETTINGS.ping_interval;
        }
    }
}
