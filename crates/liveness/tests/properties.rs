//! What holds for every course of events: hosts that come, go, fall silent, answer late, are used and left, and a
//! caller that is stalled.

mod support;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use maplethread_liveness::{DueAction, Liveness, Micros, Settings, SignOfLife};
use proptest::collection::vec;
use proptest::prelude::*;
use support::{MS, SECOND};

const HOSTS: u32 = 12;

const SETTINGS: Settings = Settings {
    ping_interval: SECOND,
    silence_timeout: 3 * SECOND,
    max_idle_pings_per_s: 3,
    max_idle_interval: 90 * SECOND,
};

#[derive(Clone, Debug)]
enum Step {
    Greet(u32),
    Leave(u32),
    Use(u32),
    Rest(u32),
    Traffic(u32),
    /// The host answers the heartbeats that it owes an answer to.
    Answer(u32),
    /// From now on it answers at once, or not by itself.
    Prompt(u32, bool),
    /// Time passes, and the caller is called in time.
    Wait(Micros),
    /// The caller is stalled.
    Stall(Micros),
}

fn step() -> impl Strategy<Value = Step> {
    let host = 0..HOSTS;
    prop_oneof![
        2 => host.clone().prop_map(Step::Greet),
        1 => host.clone().prop_map(Step::Leave),
        2 => host.clone().prop_map(Step::Use),
        3 => host.clone().prop_map(Step::Rest),
        2 => host.clone().prop_map(Step::Traffic),
        2 => host.clone().prop_map(Step::Answer),
        2 => (host, any::<bool>()).prop_map(|(host, prompt)| Step::Prompt(host, prompt)),
        6 => (1..2_500 * MS).prop_map(Step::Wait),
        1 => (50 * MS..12 * SECOND).prop_map(Step::Stall),
    ]
}

/// What a test knows of one host.
#[derive(Clone, Copy)]
struct HostModel {
    in_use: bool,
    /// The last sign of life.
    last_sign_of_life: Micros,
    /// The same, or a later stall of the caller.
    forgiven_at: Micros,
    /// The last thing that it was heard to say other than answers.
    last_traffic: Micros,
    /// The first thing sent since the last sign of life that asks for one.
    unanswered_since: Option<Micros>,
    /// That was a heartbeat, and it was idle and owed nothing.
    is_paced: bool,
    unanswered_heartbeats: u32,
    answers_at_once: bool,
    last_heartbeat: Option<Micros>,
}

struct Model {
    liveness: Liveness<u32>,
    now: Micros,
    stalled_at: Option<Micros>,
    hosts: BTreeMap<u32, HostModel>,
    /// Heartbeats to hosts that owed nothing, within the last second.
    paced_heartbeats: VecDeque<Micros>,
}

impl Model {
    fn new() -> Model {
        Model {
            liveness: Liveness::new(SETTINGS),
            now: 10 * SECOND,
            stalled_at: None,
            hosts: BTreeMap::new(),
            paced_heartbeats: VecDeque::new(),
        }
    }

    fn apply_step(&mut self, step: Step) {
        let now = self.now;
        match step {
            Step::Greet(key) => {
                self.liveness
                    .host_greeted(now, key, SECOND / 2 + u64::from(key) * 40 * MS);
                let host = HostModel {
                    in_use: true,
                    last_sign_of_life: now,
                    forgiven_at: now,
                    last_traffic: now,
                    unanswered_since: None,
                    is_paced: false,
                    unanswered_heartbeats: 0,
                    answers_at_once: true,
                    last_heartbeat: None,
                };
                self.hosts.insert(key, host);
            }
            Step::Leave(key) => {
                self.liveness.remove(key);
                self.hosts.remove(&key);
            }
            Step::Use(key) => {
                self.liveness.mark_in_use(now, key);
                if let Some(host) = self.hosts.get_mut(&key).filter(|h| !h.in_use) {
                    host.in_use = true;
                    host.unanswered_since.get_or_insert(now);
                }
            }
            Step::Rest(key) => {
                self.liveness.mark_idle(key);
                if let Some(host) = self.hosts.get_mut(&key) {
                    host.in_use = false;
                }
            }
            Step::Traffic(key) => self.record_sign_of_life(key, SignOfLife::Traffic),
            Step::Answer(key) => {
                if self
                    .hosts
                    .get(&key)
                    .is_some_and(|h| h.unanswered_heartbeats > 0)
                {
                    self.record_sign_of_life(key, SignOfLife::Answer);
                }
            }
            Step::Prompt(key, prompt) => {
                if let Some(host) = self.hosts.get_mut(&key) {
                    host.answers_at_once = prompt;
                }
            }
            Step::Wait(span) => self.wait(span),
            Step::Stall(span) => {
                self.now += span;
                self.stalled_at = Some(self.now);
                self.turn(true);
            }
        }
    }

    fn record_sign_of_life(&mut self, key: u32, sign: SignOfLife) {
        let now = self.now;
        self.liveness.record_sign_of_life(now, key, sign);
        let Some(host) = self.hosts.get_mut(&key) else {
            return;
        };
        (host.last_sign_of_life, host.forgiven_at) = (now, now);
        (host.unanswered_since, host.is_paced) = (None, false);
        match sign {
            SignOfLife::Answer => host.unanswered_heartbeats -= 1,
            SignOfLife::Traffic => host.last_traffic = now,
        }
        if host.unanswered_heartbeats > 0 {
            host.unanswered_since = Some(now);
        }
    }

    fn wait(&mut self, span: Micros) {
        let end = self.now + span;
        while let Some(next) = self.liveness.next_due_at().filter(|&next| next <= end) {
            self.now = self.now.max(next);
            self.turn(false);
        }
        self.now = end;
    }

    fn turn(&mut self, stalled: bool) {
        for due in self.liveness.take_due(self.now, stalled) {
            match due {
                DueAction::SendHeartbeat(key) => self.check_heartbeat(key),
                DueAction::Disconnect(key) => self.check_disconnect(key, stalled),
            }
        }
        if stalled {
            // A stall excuses those whose tick had come, and may excuse nobody else.
            for host in self.hosts.values_mut() {
                host.forgiven_at = self.now;
            }
        }
        let now = self.now;
        assert!(
            self.liveness.next_due_at().is_none_or(|next| next > now),
            "it asks to be called at once again"
        );
        self.check_nothing_is_overdue();
    }

    fn check_heartbeat(&mut self, key: u32) {
        let now = self.now;
        let host = self
            .hosts
            .get_mut(&key)
            .expect("only hosts that are there get heartbeats");
        let settled = !host.in_use && host.unanswered_since.is_none();
        if let Some(last) = host
            .last_heartbeat
            .filter(|&last| self.stalled_at.is_none_or(|at| last > at))
        {
            assert!(
                now - last >= SETTINGS.ping_interval,
                "{} us after the last one",
                now - last
            );
        }
        assert!(
            now - host.last_traffic >= SETTINGS.ping_interval,
            "it was heard within the period"
        );
        host.last_heartbeat = Some(now);
        host.unanswered_heartbeats += 1;
        host.unanswered_since.get_or_insert(now);
        if settled {
            host.is_paced = true;
            self.paced_heartbeats.push_back(now);
            self.paced_heartbeats.retain(|&at| at + SECOND > now);
            let most = SETTINGS.max_idle_pings_per_s as usize + 2;
            assert!(
                self.paced_heartbeats.len() <= most,
                "{} heartbeats to idle hosts in a second",
                self.paced_heartbeats.len()
            );
        }
        if host.answers_at_once {
            self.record_sign_of_life(key, SignOfLife::Answer);
        }
    }

    fn check_disconnect(&mut self, key: u32, stalled: bool) {
        assert!(!stalled, "nobody is cut off for the caller's standstill");
        let host = self
            .hosts
            .remove(&key)
            .expect("only hosts that are there are cut off");
        // One that was idle owes nothing until its turn.
        let since = if host.is_paced {
            host.unanswered_since.expect("asked in its turn")
        } else {
            host.last_sign_of_life
        };
        assert!(
            self.now >= since + SETTINGS.silence_timeout,
            "cut off {} us after",
            self.now - since
        );
        assert!(
            host.in_use || host.unanswered_since.is_some(),
            "an idle host is asked before it is cut off"
        );
    }

    /// Whoever is still there has been heard within what is promised.
    fn check_nothing_is_overdue(&self) {
        let most = SETTINGS.silence_timeout + SETTINGS.ping_interval;
        // Hosts in use that come to rest may go before one that waits, each of them once.
        let turns = SECOND.div_ceil(u64::from(SETTINGS.max_idle_pings_per_s)) * u64::from(HOSTS);
        for (key, host) in &self.hosts {
            let silent_for = self.now - host.forgiven_at.max(host.unanswered_since.unwrap_or(0));
            if host.in_use || host.unanswered_since.is_some() {
                assert!(
                    silent_for < most,
                    "host {key} is silent for {silent_for} us"
                );
            } else {
                let round = SETTINGS.ping_interval + turns;
                assert!(silent_for <= round, "host {key} waits for {silent_for} us");
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    /// Nobody is disconnected before its silence is final, nor stays beyond what is promised; no heartbeat is sent within the
    /// period of the last or of traffic; and those to idle hosts stay within the rate.
    #[test]
    fn no_promise_is_broken(steps in vec(step(), 1..250)) {
        let mut model = Model::new();
        for step in steps {
            model.apply_step(step);
        }
        model.wait(20 * SECOND);
        let there: BTreeSet<u32> = model.hosts.keys().copied().collect();
        let idle = model.hosts.values().filter(|h| !h.in_use).count();
        prop_assert_eq!(model.liveness.idle_host_count(), idle);
        prop_assert!(there.len() <= HOSTS as usize);
    }
}
