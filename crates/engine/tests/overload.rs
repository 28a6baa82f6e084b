//! An engine whose turns take long: what it takes it still answers in time, and what it can't bear it turns away.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use maplethread::{Action, Event, Micros, Placer, TaskId};
use maplethread_config::{Document, PlacerConfig};
use maplethread_engine::{ClientId, Decide, Engine, Output, StartInfo};

const CONFIG: &str = include_str!("../../../config/placer.toml");
const NOW: u64 = 1_700_000_000_000_000;
const BUDGET_MS: u64 = 2000;
const LONG_BUDGET_MS: u64 = 60_000;

fn config() -> PlacerConfig {
    PlacerConfig::parse(Document {
        file: "placer.toml",
        text: CONFIG,
    })
    .expect("sound")
}

fn ask(number: u64) -> Vec<u8> {
    ask_within(number, BUDGET_MS)
}

fn ask_within(number: u64, budget_ms: u64) -> Vec<u8> {
    let body = format!(
        r#"{{"service":"s","actor":"{number}","class":"web-api","cores":1,"memory_gib":1,"budget_ms":{budget_ms}}}"#
    );
    format!(
        "POST /v1/actors HTTP/1.1\r\nHost: p\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// How an ask ended at its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Told {
    Answer,
    TurnedAway,
    Cut,
}

/// An engine on a simulated clock, each of whose turns takes `turn_takes`; clients ask one thing each.
struct SlowPlacer {
    engine: Engine<Placer>,
    now: u64,
    read_at: u64,
    asked_at: BTreeMap<ClientId, u64>,
    told: BTreeMap<ClientId, (u64, Told)>,
}

impl SlowPlacer {
    fn new() -> SlowPlacer {
        let config = config();
        let placer = Placer::new(config.policy_settings(), 1).expect("sound");
        let engine = Engine::new(
            config,
            placer,
            StartInfo {
                started_ms: NOW / 1000,
                seed: 1,
            },
            NOW,
        );
        SlowPlacer {
            engine,
            now: NOW,
            read_at: NOW,
            asked_at: BTreeMap::new(),
            told: BTreeMap::new(),
        }
    }

    /// Runs up to `until`: a client asks every `ask_every`, and is read by the next turn.
    fn run(&mut self, until: u64, ask_every: u64, turn_takes: impl Fn(u64) -> u64) {
        let mut next_ask = self.now;
        while self.now < until {
            self.engine.set_unread_since(self.read_at);
            while next_ask <= self.now {
                self.ask(next_ask);
                next_ask += ask_every;
            }
            self.read_at = self.now;
            self.engine.turn(self.now, false);
            let takes = turn_takes(self.now);
            self.now += takes;
            self.write();
            self.engine.record_round(self.now - takes, self.now);
            if let Some(due) = self.engine.next_timeout() {
                self.now = self.now.max(due.min(next_ask));
            }
        }
    }

    fn ask(&mut self, at: u64) {
        let client = ClientId(1 + self.asked_at.len() as u64);
        self.asked_at.insert(client, at);
        self.engine.client_opened(self.now, client);
        self.engine.client_bytes(self.now, client, &ask(client.0));
    }

    fn write(&mut self) {
        for output in self.engine.take_outputs() {
            let (client, told) = match output {
                Output::ToClient(client, bytes) if bytes.starts_with(b"HTTP/1.1 200") => {
                    (client, Told::Answer)
                }
                Output::ToClient(client, bytes) => {
                    let text = String::from_utf8(bytes).expect("text");
                    assert!(
                        text.contains("urn:maplethread:problem:overloaded"),
                        "{text}"
                    );
                    assert!(text.contains("Retry-After: 1"), "{text}");
                    (client, Told::TurnedAway)
                }
                Output::CloseClient(client) => (client, Told::Cut),
                other => panic!("{other:?}"),
            };
            let before = self.told.insert(client, (self.now, told));
            assert_eq!(before, None, "{client:?} was told twice");
        }
    }

    fn count(&self, what: Told) -> usize {
        self.told.values().filter(|(_, told)| *told == what).count()
    }

    /// Every client whose deadline is over was told something before it.
    fn assert_in_time(&self) {
        for (client, asked) in &self.asked_at {
            let deadline = asked + BUDGET_MS * 1000;
            if deadline < self.now {
                let (at, told) = self.told[client];
                assert!(
                    at < deadline && told != Told::Cut,
                    "{told:?} {} us late",
                    at.saturating_sub(deadline)
                );
            }
        }
    }
}

#[test]
fn asks_that_are_taken_are_answered_in_time_however_late_turns_run() {
    for turn_takes in [1_000, 20_000, 45_000, 60_000, 90_000] {
        let mut placer = SlowPlacer::new();
        placer.run(NOW + 5_000_000, 10_000, |_| turn_takes);
        placer.assert_in_time();
        assert!(placer.count(Told::Answer) > 250, "turns of {turn_takes} us");
        assert_eq!(placer.engine.counters().too_late, 0);
    }
}

#[test]
fn a_placer_whose_turns_run_late_for_long_turns_asks_away_until_they_do_not() {
    let mut placer = SlowPlacer::new();
    placer.run(NOW + 1_000_000, 10_000, |_| 1_000);
    assert_eq!(placer.count(Told::TurnedAway), 0);
    // Turns grow longer by 20 ms each up to 220 ms, for three seconds.
    let length = Cell::new(0);
    placer.run(NOW + 4_000_000, 10_000, |_| {
        length.set((length.get() + 20_000).min(220_000));
        length.get()
    });
    let turned_away = placer.count(Told::TurnedAway);
    assert!(turned_away > 100, "{turned_away} of 300");
    assert_eq!(placer.engine.counters().unavailable, turned_away as u64);
    let asked = placer.asked_at.len() as u64;
    assert_eq!(
        placer.engine.counters().requests + turned_away as u64,
        asked,
        "those were not taken"
    );
    // It has time again, and soon takes everything.
    placer.run(NOW + 5_000_000, 10_000, |_| 1_000);
    let turned_away = placer.count(Told::TurnedAway);
    placer.run(NOW + 7_000_000, 10_000, |_| 1_000);
    assert_eq!(placer.count(Told::TurnedAway), turned_away);
    placer.assert_in_time();
}

#[test]
fn an_ask_that_has_time_is_taken_however_late_turns_run() {
    let mut placer = SlowPlacer::new();
    placer.run(NOW + 2_000_000, 10_000, |_| 220_000);
    let before = placer.count(Told::TurnedAway);
    assert!(before > 0, "turns run late");
    let taken = placer.engine.counters().requests;
    let client = ClientId(1_000_000);
    placer.engine.client_opened(placer.now, client);
    placer
        .engine
        .client_bytes(placer.now, client, &ask_within(client.0, LONG_BUDGET_MS));
    assert_eq!(placer.engine.counters().requests, taken + 1);
    placer.engine.turn(placer.now, false);
    placer.write();
    assert_eq!(placer.count(Told::TurnedAway), before);
}

#[test]
fn one_pause_turns_nobody_away() {
    let mut placer = SlowPlacer::new();
    let pause = NOW + 1_000_000;
    placer.run(NOW + 4_000_000, 10_000, |at| {
        if (pause..pause + 5_000).contains(&at) {
            700_000
        } else {
            1_000
        }
    });
    assert_eq!(placer.count(Told::TurnedAway), 0);
    assert!(placer.count(Told::Answer) > 200);
}

/// Notes the asks of each turn, and answers none.
struct Noting(Rc<RefCell<Vec<Vec<TaskId>>>>);

impl Decide for Noting {
    fn turn(&mut self, _: Micros, events: &[Event], _: &mut Vec<Action>) {
        let asked = events.iter().filter_map(|event| match event {
            Event::PlacementRequested(task) => Some(task.id),
            _ => None,
        });
        self.0.borrow_mut().push(asked.collect());
    }
}

#[test]
fn a_turn_places_so_many_and_leaves_the_rest_to_the_next_in_order() {
    let turns = Rc::new(RefCell::new(Vec::new()));
    let boot = StartInfo {
        started_ms: NOW / 1000,
        seed: 1,
    };
    let mut engine = Engine::new(config(), Noting(turns.clone()), boot, NOW);
    for client in 1..=500 {
        engine.client_opened(NOW, ClientId(client));
        engine.client_bytes(NOW, ClientId(client), &ask(client));
    }
    let mut now = NOW;
    while engine.next_timeout().is_some_and(|at| at <= now) {
        now += 1_000;
        engine.turn(now, false);
    }
    let turns = turns.borrow();
    assert!(
        turns.iter().all(|asked| asked.len() <= 64),
        "at most 64 in a turn"
    );
    let all: Vec<u64> = turns.iter().flatten().map(|task| task.0).collect();
    assert_eq!(
        all,
        (1..=500).collect::<Vec<_>>(),
        "all, once, and in the order in which they came"
    );
}
