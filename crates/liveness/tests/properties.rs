//! What holds for every course of events: hosts that come, go, fall silent, answer late, are used and left, and a
//! caller that stands still.

mod support;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use maplethread_liveness::{Due, Liveness, Micros, Settings, Sign};
use proptest::collection::vec;
use proptest::prelude::*;
use support::{MS, SECOND};

const HOSTS: u32 = 12;

const SETTINGS: Settings = Settings {
    ping_every: SECOND,
    silent_after: 3 * SECOND,
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
    /// The caller stands still.
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
struct Known {
    in_use: bool,
    /// The last sign of life.
    sign: Micros,
    /// The same, or a later standstill of the caller.
    excused: Micros,
    /// The last thing that it was heard to say other than answers.
    traffic: Micros,
    /// The first thing sent since the last sign of life that asks for one.
    asked: Option<Micros>,
    /// That was a heartbeat, and it was idle and owed nothing.
    in_its_turn: bool,
    owed: u32,
    prompt: bool,
    last_heartbeat: Option<Micros>,
}

struct Model {
    liveness: Liveness<u32>,
    now: Micros,
    stalled_at: Option<Micros>,
    hosts: BTreeMap<u32, Known>,
    /// Heartbeats to hosts that owed nothing, within the last second.
    paced: VecDeque<Micros>,
}

impl Model {
    fn new() -> Model {
        Model {
            liveness: Liveness::new(SETTINGS),
            now: 10 * SECOND,
            stalled_at: None,
            hosts: BTreeMap::new(),
            paced: VecDeque::new(),
        }
    }

    fn play(&mut self, step: Step) {
        let now = self.now;
        match step {
            Step::Greet(key) => {
                self.liveness
                    .greeted(now, key, SECOND / 2 + u64::from(key) * 40 * MS);
                let host = Known {
                    in_use: true,
                    sign: now,
                    excused: now,
                    traffic: now,
                    asked: None,
                    in_its_turn: false,
                    owed: 0,
                    prompt: true,
                    last_heartbeat: None,
                };
                self.hosts.insert(key, host);
            }
            Step::Leave(key) => {
                self.liveness.removed(key);
                self.hosts.remove(&key);
            }
            Step::Use(key) => {
                self.liveness.use_begins(now, key);
                if let Some(host) = self.hosts.get_mut(&key).filter(|h| !h.in_use) {
                    host.in_use = true;
                    host.asked.get_or_insert(now);
                }
            }
            Step::Rest(key) => {
                self.liveness.use_ends(key);
                if let Some(host) = self.hosts.get_mut(&key) {
                    host.in_use = false;
                }
            }
            Step::Traffic(key) => self.heard(key, Sign::Traffic),
            Step::Answer(key) => {
                if self.hosts.get(&key).is_some_and(|h| h.owed > 0) {
                    self.heard(key, Sign::Answer);
                }
            }
            Step::Prompt(key, prompt) => {
                if let Some(host) = self.hosts.get_mut(&key) {
                    host.prompt = prompt;
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

    fn heard(&mut self, key: u32, sign: Sign) {
        let now = self.now;
        self.liveness.heard(now, key, sign);
        let Some(host) = self.hosts.get_mut(&key) else {
            return;
        };
        (host.sign, host.excused) = (now, now);
        (host.asked, host.in_its_turn) = (None, false);
        match sign {
            Sign::Answer => host.owed -= 1,
            Sign::Traffic => host.traffic = now,
        }
        if host.owed > 0 {
            host.asked = Some(now);
        }
    }

    fn wait(&mut self, span: Micros) {
        let end = self.now + span;
        while let Some(next) = self.liveness.next().filter(|&next| next <= end) {
            self.now = self.now.max(next);
            self.turn(false);
        }
        self.now = end;
    }

    fn turn(&mut self, stalled: bool) {
        for due in self.liveness.due(self.now, stalled) {
            match due {
                Due::Heartbeat(key) => self.heartbeat(key),
                Due::Silent(key) => self.silent(key, stalled),
            }
        }
        if stalled {
            // A standstill excuses those whose tick had come, and may excuse nobody else.
            for host in self.hosts.values_mut() {
                host.excused = self.now;
            }
        }
        let now = self.now;
        assert!(
            self.liveness.next().is_none_or(|next| next > now),
            "it asks to be called at once again"
        );
        self.nobody_is_overdue();
    }

    fn heartbeat(&mut self, key: u32) {
        let now = self.now;
        let host = self
            .hosts
            .get_mut(&key)
            .expect("only hosts that are there get heartbeats");
        let settled = !host.in_use && host.asked.is_none();
        if let Some(last) = host
            .last_heartbeat
            .filter(|&last| self.stalled_at.is_none_or(|at| last > at))
        {
            assert!(
                now - last >= SETTINGS.ping_every,
                "{} us after the last one",
                now - last
            );
        }
        assert!(
            now - host.traffic >= SETTINGS.ping_every,
            "it was heard within the period"
        );
        host.last_heartbeat = Some(now);
        host.owed += 1;
        host.asked.get_or_insert(now);
        if settled {
            host.in_its_turn = true;
            self.paced.push_back(now);
            self.paced.retain(|&at| at + SECOND > now);
            let most = SETTINGS.max_idle_pings_per_s as usize + 2;
            assert!(
                self.paced.len() <= most,
                "{} heartbeats to idle hosts in a second",
                self.paced.len()
            );
        }
        if host.prompt {
            self.heard(key, Sign::Answer);
        }
    }

    fn silent(&mut self, key: u32, stalled: bool) {
        assert!(!stalled, "nobody is cut off for the caller's standstill");
        let host = self
            .hosts
            .remove(&key)
            .expect("only hosts that are there are cut off");
        // One that was idle owes nothing until its turn.
        let since = if host.in_its_turn {
            host.asked.expect("asked in its turn")
        } else {
            host.sign
        };
        assert!(
            self.now >= since + SETTINGS.silent_after,
            "cut off {} us after",
            self.now - since
        );
        assert!(
            host.in_use || host.asked.is_some(),
            "an idle host is asked before it is cut off"
        );
    }

    /// Whoever is still there has been heard within what is promised.
    fn nobody_is_overdue(&self) {
        let most = SETTINGS.silent_after + SETTINGS.ping_every;
        // Hosts in use that come to rest may go before one that waits, each of them once.
        let turns = SECOND.div_ceil(u64::from(SETTINGS.max_idle_pings_per_s)) * u64::from(HOSTS);
        for (key, host) in &self.hosts {
            let silent_for = self.now - host.excused.max(host.asked.unwrap_or(0));
            if host.in_use || host.asked.is_some() {
                assert!(
                    silent_for < most,
                    "host {key} is silent for {silent_for} us"
                );
            } else {
                let round = SETTINGS.ping_every + turns;
                assert!(silent_for <= round, "host {key} waits for {silent_for} us");
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    /// Nobody is cut off before its silence is final, nor stays beyond what is promised; no heartbeat is sent within the
    /// period of the last or of traffic; and those to idle hosts stay within the rate.
    #[test]
    fn no_promise_is_broken(steps in vec(step(), 1..250)) {
        let mut model = Model::new();
        for step in steps {
            model.play(step);
        }
        model.wait(20 * SECOND);
        let there: BTreeSet<u32> = model.hosts.keys().copied().collect();
        let idle = model.hosts.values().filter(|h| !h.in_use).count();
        prop_assert_eq!(model.liveness.idle_hosts(), idle);
        prop_assert!(there.len() <= HOSTS as usize);
    }
}
