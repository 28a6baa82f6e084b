//! An engine whose turns take long: accepted requests are answered in time, and requests are rejected under overload.

mod support;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use maplethread::{Action, Event, Micros, Placer, TaskId};
use maplethread_config::PlacerConfig;
use maplethread_engine::{ClientId, Decide, Engine, Output};
use support::NOW;

const BUDGET_MS: u64 = 2000;
const LONG_BUDGET_MS: u64 = 60_000;

fn config() -> PlacerConfig {
    support::config()
}

fn request_bytes(number: u64) -> Vec<u8> {
    request_bytes_with_budget(number, BUDGET_MS)
}

fn request_bytes_with_budget(number: u64, budget_ms: u64) -> Vec<u8> {
    let body = format!(
        r#"{{"service":"s","actor":"{number}","class":"web-api","cores":1,"memory_gib":1,"budget_ms":{budget_ms}}}"#
    );
    support::post_actor("", &body).into_bytes()
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ClientOutcome {
    Answered,
    Unavailable,
    Disconnected,
}

/// An engine on a simulated clock, whose turns take time. Each client sends one request.
struct SlowPlacer {
    engine: Engine<Placer>,
    now: u64,
    read_at: u64,
    sent_at: BTreeMap<ClientId, u64>,
    outcomes: BTreeMap<ClientId, (u64, ClientOutcome)>,
}

impl SlowPlacer {
    fn new() -> SlowPlacer {
        let config = config();
        let placer = Placer::new(config.policy_settings(), 1).expect("valid settings");
        let engine = Engine::new(config, placer, support::start_info(), NOW);
        SlowPlacer {
            engine,
            now: NOW,
            read_at: NOW,
            sent_at: BTreeMap::new(),
            outcomes: BTreeMap::new(),
        }
    }

    /// Runs until `until`. Every `request_interval` a new client sends a request, which the next turn reads. A turn
    /// takes `turn_duration`, given its start.
    fn run_until(&mut self, until: u64, request_interval: u64, turn_duration: impl Fn(u64) -> u64) {
        let mut next_request = self.now;
        while self.now < until {
            self.engine.set_unread_since(self.read_at);
            while next_request <= self.now {
                self.send_request(next_request);
                next_request += request_interval;
            }
            self.read_at = self.now;
            self.engine.turn(self.now, false);
            let duration = turn_duration(self.now);
            self.now += duration;
            self.record_outputs();
            self.engine
                .record_busy_period(self.now - duration, self.now);
            if let Some(due) = self.engine.next_timeout() {
                self.now = self.now.max(due.min(next_request));
            }
        }
    }

    fn send_request(&mut self, at: u64) {
        let client = ClientId(1 + self.sent_at.len() as u64);
        self.sent_at.insert(client, at);
        self.engine.client_opened(self.now, client);
        self.engine
            .client_bytes(self.now, client, &request_bytes(client.0));
    }

    fn record_outputs(&mut self) {
        for output in self.engine.take_outputs() {
            let (client, outcome) = match output {
                Output::ToClient(client, bytes) if bytes.starts_with(b"HTTP/1.1 200") => {
                    (client, ClientOutcome::Answered)
                }
                Output::ToClient(client, bytes) => {
                    let text = String::from_utf8(bytes).expect("UTF-8");
                    assert!(
                        text.contains("urn:maplethread:problem:overloaded"),
                        "{text}"
                    );
                    assert!(text.contains("Retry-After: 1"), "{text}");
                    (client, ClientOutcome::Unavailable)
                }
                Output::CloseClient(client) => (client, ClientOutcome::Disconnected),
                other => panic!("{other:?}"),
            };
            let previous = self.outcomes.insert(client, (self.now, outcome));
            assert_eq!(previous, None, "{client:?} got two outcomes");
        }
    }

    fn count(&self, wanted: ClientOutcome) -> usize {
        self.outcomes
            .values()
            .filter(|(_, outcome)| *outcome == wanted)
            .count()
    }

    /// Asserts that every client whose deadline has passed got a response before it.
    fn assert_answered_in_time(&self) {
        for (client, sent_at) in &self.sent_at {
            let deadline = sent_at + BUDGET_MS * 1000;
            if deadline < self.now {
                let (at, outcome) = self.outcomes[client];
                assert!(
                    at < deadline && outcome != ClientOutcome::Disconnected,
                    "{outcome:?} {} us after the deadline",
                    at.saturating_sub(deadline)
                );
            }
        }
    }
}

#[test]
fn accepted_requests_are_answered_in_time_when_turns_run_late() {
    for turn_duration in [1_000, 20_000, 45_000, 60_000, 90_000] {
        let mut placer = SlowPlacer::new();
        placer.run_until(NOW + 5_000_000, 10_000, |_| turn_duration);
        placer.assert_answered_in_time();
        assert!(
            placer.count(ClientOutcome::Answered) > 250,
            "turns of {turn_duration} us"
        );
        assert_eq!(placer.engine.counters().past_deadline, 0);
    }
}

#[test]
fn placer_rejects_requests_while_turns_stay_late_and_accepts_them_afterwards() {
    let mut placer = SlowPlacer::new();
    placer.run_until(NOW + 1_000_000, 10_000, |_| 1_000);
    assert_eq!(placer.count(ClientOutcome::Unavailable), 0);
    // Turns grow longer by 20 ms each up to 220 ms, for three seconds.
    let length = Cell::new(0);
    placer.run_until(NOW + 4_000_000, 10_000, |_| {
        length.set((length.get() + 20_000).min(220_000));
        length.get()
    });
    let rejected = placer.count(ClientOutcome::Unavailable);
    assert!(rejected > 100, "{rejected} of 300 requests rejected");
    assert_eq!(placer.engine.counters().unavailable, rejected as u64);
    let sent = placer.sent_at.len() as u64;
    assert_eq!(
        placer.engine.counters().requests + rejected as u64,
        sent,
        "each request is either accepted or rejected"
    );
    // Turns are short again, and soon all requests are accepted.
    placer.run_until(NOW + 5_000_000, 10_000, |_| 1_000);
    let rejected = placer.count(ClientOutcome::Unavailable);
    placer.run_until(NOW + 7_000_000, 10_000, |_| 1_000);
    assert_eq!(placer.count(ClientOutcome::Unavailable), rejected);
    placer.assert_answered_in_time();
}

#[test]
fn request_with_long_budget_is_accepted_when_turns_run_late() {
    let mut placer = SlowPlacer::new();
    placer.run_until(NOW + 2_000_000, 10_000, |_| 220_000);
    let before = placer.count(ClientOutcome::Unavailable);
    assert!(before > 0, "late turns must cause rejections first");
    let accepted = placer.engine.counters().requests;
    let client = ClientId(1_000_000);
    placer.engine.client_opened(placer.now, client);
    placer.engine.client_bytes(
        placer.now,
        client,
        &request_bytes_with_budget(client.0, LONG_BUDGET_MS),
    );
    assert_eq!(placer.engine.counters().requests, accepted + 1);
    placer.engine.turn(placer.now, false);
    placer.record_outputs();
    assert_eq!(placer.count(ClientOutcome::Unavailable), before);
}

#[test]
fn single_pause_rejects_no_request() {
    let mut placer = SlowPlacer::new();
    let pause = NOW + 1_000_000;
    placer.run_until(NOW + 4_000_000, 10_000, |at| {
        if (pause..pause + 5_000).contains(&at) {
            700_000
        } else {
            1_000
        }
    });
    assert_eq!(placer.count(ClientOutcome::Unavailable), 0);
    assert!(placer.count(ClientOutcome::Answered) > 200);
}

/// A decider that records the requests of each turn, and answers none.
struct RecordingDecider(Rc<RefCell<Vec<Vec<TaskId>>>>);

impl Decide for RecordingDecider {
    fn turn(&mut self, _: Micros, events: &[Event], _: &mut Vec<Action>) {
        let requested = events.iter().filter_map(|event| match event {
            Event::PlacementRequested(task) => Some(task.id),
            _ => None,
        });
        self.0.borrow_mut().push(requested.collect());
    }
}

#[test]
fn turn_places_at_most_its_limit_and_leaves_the_rest_in_order() {
    let turns = Rc::new(RefCell::new(Vec::new()));
    let start = support::start_info();
    let mut engine = Engine::new(config(), RecordingDecider(turns.clone()), start, NOW);
    for client in 1..=500 {
        engine.client_opened(NOW, ClientId(client));
        engine.client_bytes(NOW, ClientId(client), &request_bytes(client));
    }
    let mut now = NOW;
    while engine.next_timeout().is_some_and(|at| at <= now) {
        now += 1_000;
        engine.turn(now, false);
    }
    let turns = turns.borrow();
    assert!(
        turns.iter().all(|requested| requested.len() <= 64),
        "at most 64 requests in a turn"
    );
    let all: Vec<u64> = turns.iter().flatten().map(|task| task.0).collect();
    assert_eq!(
        all,
        (1..=500).collect::<Vec<_>>(),
        "all requests, each once, in the order of arrival"
    );
}
