//! Properties that hold for any sequence of events: hosts that connect, disconnect, become unresponsive, answer late,
//! come into use and become idle, and stalls of the caller.

mod support;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use maplethread_liveness::{Activity, DueAction, Liveness, Micros, Settings};
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
    Remove(u32),
    MarkInUse(u32),
    MarkIdle(u32),
    Traffic(u32),
    /// The host answers one of its unanswered heartbeats.
    Answer(u32),
    /// From now on the host answers heartbeats at once, or only in [`Step::Answer`].
    SetAnswersAtOnce(u32, bool),
    /// Time passes, and the caller handles everything when it is due.
    Wait(Micros),
    /// The caller is stalled.
    Stall(Micros),
}

fn any_step() -> impl Strategy<Value = Step> {
    let host = 0..HOSTS;
    prop_oneof![
        2 => host.clone().prop_map(Step::Greet),
        1 => host.clone().prop_map(Step::Remove),
        2 => host.clone().prop_map(Step::MarkInUse),
        3 => host.clone().prop_map(Step::MarkIdle),
        2 => host.clone().prop_map(Step::Traffic),
        2 => host.clone().prop_map(Step::Answer),
        2 => (host, any::<bool>()).prop_map(|(host, at_once)| Step::SetAnswersAtOnce(host, at_once)),
        6 => (1..2_500 * MS).prop_map(Step::Wait),
        1 => (50 * MS..12 * SECOND).prop_map(Step::Stall),
    ]
}

/// The expected state of one host.
#[derive(Clone, Copy)]
struct HostModel {
    in_use: bool,
    /// When anything was last received from the host.
    last_activity: Micros,
    /// The last activity or the end of the last stall of the caller, whichever is later.
    last_activity_or_stall: Micros,
    /// When something other than an answer was last received from the host.
    last_traffic: Micros,
    /// When the first offer or heartbeat since the last activity was sent to the host.
    unanswered_since: Option<Micros>,
    /// Whether that was a heartbeat to an idle host without an outstanding answer.
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
    /// Heartbeats to idle hosts without an outstanding answer, within the last second.
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
                    last_activity: now,
                    last_activity_or_stall: now,
                    last_traffic: now,
                    unanswered_since: None,
                    is_paced: false,
                    unanswered_heartbeats: 0,
                    answers_at_once: true,
                    last_heartbeat: None,
                };
                self.hosts.insert(key, host);
            }
            Step::Remove(key) => {
                self.liveness.remove(key);
                self.hosts.remove(&key);
            }
            Step::MarkInUse(key) => {
                self.liveness.mark_in_use(now, key);
                if let Some(host) = self.hosts.get_mut(&key).filter(|h| !h.in_use) {
                    host.in_use = true;
                    host.unanswered_since.get_or_insert(now);
                }
            }
            Step::MarkIdle(key) => {
                self.liveness.mark_idle(key);
                if let Some(host) = self.hosts.get_mut(&key) {
                    host.in_use = false;
                }
            }
            Step::Traffic(key) => self.record_activity(key, Activity::Traffic),
            Step::Answer(key) => {
                if self
                    .hosts
                    .get(&key)
                    .is_some_and(|h| h.unanswered_heartbeats > 0)
                {
                    self.record_activity(key, Activity::Answer);
                }
            }
            Step::SetAnswersAtOnce(key, at_once) => {
                if let Some(host) = self.hosts.get_mut(&key) {
                    host.answers_at_once = at_once;
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

    fn record_activity(&mut self, key: u32, activity: Activity) {
        let now = self.now;
        self.liveness.record_activity(now, key, activity);
        let Some(host) = self.hosts.get_mut(&key) else {
            return;
        };
        (host.last_activity, host.last_activity_or_stall) = (now, now);
        (host.unanswered_since, host.is_paced) = (None, false);
        match activity {
            Activity::Answer => host.unanswered_heartbeats -= 1,
            Activity::Traffic => host.last_traffic = now,
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
            // A stall restarts the time-out of hosts whose tick was due, and need not affect other hosts.
            for host in self.hosts.values_mut() {
                host.last_activity_or_stall = self.now;
            }
        }
        let now = self.now;
        assert!(
            self.liveness.next_due_at().is_none_or(|next| next > now),
            "the next action is due at the present time"
        );
        self.check_nothing_is_overdue();
    }

    fn check_heartbeat(&mut self, key: u32) {
        let now = self.now;
        let host = self
            .hosts
            .get_mut(&key)
            .expect("heartbeats are sent only to connected hosts");
        let was_awaiting_turn = !host.in_use && host.unanswered_since.is_none();
        if let Some(last) = host
            .last_heartbeat
            .filter(|&last| self.stalled_at.is_none_or(|at| last > at))
        {
            assert!(
                now - last >= SETTINGS.ping_interval,
                "heartbeat sent {} us after the previous one",
                now - last
            );
        }
        assert!(
            now - host.last_traffic >= SETTINGS.ping_interval,
            "heartbeat sent within the ping interval after traffic"
        );
        host.last_heartbeat = Some(now);
        host.unanswered_heartbeats += 1;
        host.unanswered_since.get_or_insert(now);
        if was_awaiting_turn {
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
            self.record_activity(key, Activity::Answer);
        }
    }

    fn check_disconnect(&mut self, key: u32, stalled: bool) {
        assert!(!stalled, "a stall of the caller disconnects no host");
        let host = self
            .hosts
            .remove(&key)
            .expect("only connected hosts are disconnected");
        // No answer is outstanding from an idle host until its turn.
        let since = if host.is_paced {
            host.unanswered_since
                .expect("a heartbeat was sent in its turn")
        } else {
            host.last_activity
        };
        assert!(
            self.now >= since + SETTINGS.silence_timeout,
            "disconnected after {} us without activity",
            self.now - since
        );
        assert!(
            host.in_use || host.unanswered_since.is_some(),
            "an idle host is sent a heartbeat before it is disconnected"
        );
    }

    /// Checks that no connected host has been inactive for longer than the guaranteed time.
    fn check_nothing_is_overdue(&self) {
        let most = SETTINGS.silence_timeout + SETTINGS.ping_interval;
        // Each host in use that becomes idle may get its turn once before a host that already waits.
        let turns = SECOND.div_ceil(u64::from(SETTINGS.max_idle_pings_per_s)) * u64::from(HOSTS);
        for (key, host) in &self.hosts {
            let inactive_for = self.now
                - host
                    .last_activity_or_stall
                    .max(host.unanswered_since.unwrap_or(0));
            if host.in_use || host.unanswered_since.is_some() {
                assert!(
                    inactive_for < most,
                    "host {key} in use or with an outstanding answer is inactive for {inactive_for} us"
                );
            } else {
                let cycle = SETTINGS.ping_interval + turns;
                assert!(
                    inactive_for <= cycle,
                    "idle host {key} got no heartbeat for {inactive_for} us"
                );
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    /// No host is disconnected before the silence time-out, and no unresponsive one stays connected beyond the time
    /// that the settings guarantee. No heartbeat is sent within the ping interval after the previous one or after
    /// traffic. Heartbeats to idle hosts stay within the rate.
    #[test]
    fn heartbeats_and_disconnects_stay_within_their_bounds(steps in vec(any_step(), 1..250)) {
        let mut model = Model::new();
        for step in steps {
            model.apply_step(step);
        }
        model.wait(20 * SECOND);
        let connected: BTreeSet<u32> = model.hosts.keys().copied().collect();
        let idle = model.hosts.values().filter(|h| !h.in_use).count();
        prop_assert_eq!(model.liveness.idle_host_count(), idle);
        prop_assert!(connected.len() <= HOSTS as usize);
    }
}
