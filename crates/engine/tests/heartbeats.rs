//! Heartbeats of the engine in simulated time: hosts with work as often as set, idle ones within the rate.

use std::collections::{BTreeMap, BTreeSet};

use maplethread::{Action, Event, MachineId, Micros};
use maplethread_config::{Document, HostEntry, HostState, PlacerConfig};
use maplethread_engine::{ClientId, Decide, Engine, HostId, Output, StartInfo};
use maplethread_wire::frame::{self, Frame, Offer, Reason};

const CONFIG: &str = include_str!("../../../config/placer.toml");
const START: u64 = 1_700_000_000_000_000;
const SECOND: u64 = 1_000_000;
/// The defaults: once a second, final after three, 40 a second to idle hosts (and two where a turn was late).
const PING_EVERY: u64 = SECOND;
const SILENT_AFTER: u64 = 3 * SECOND;
const MOST_IDLE_IN_A_SECOND: usize = 42;
/// The host that gets all offers.
const CHOSEN: HostId = HostId(0);

/// Offers every ask to one host, for this long.
struct ToChosen(Micros);

impl Decide for ToChosen {
    fn turn(&mut self, _: Micros, events: &[Event], actions: &mut Vec<Action>) {
        for event in events {
            if let Event::PlacementRequested(task) = event {
                actions.push(Action::Offer {
                    task: task.id,
                    machine: MachineId(CHOSEN.0),
                    timeout: self.0,
                });
            }
        }
    }
}

/// An engine and hosts that answer at once.
struct Fleet {
    engine: Engine<ToChosen>,
    now: u64,
    hosts: u32,
    silent: BTreeSet<HostId>,
    running: BTreeMap<HostId, Vec<u64>>,
    to_greet: Vec<HostId>,
    pings: Vec<(u64, HostId)>,
    cut_off: Vec<(u64, HostId)>,
    offered: Vec<u64>,
    asks: u64,
}

fn entry(n: u32) -> HostEntry {
    HostEntry {
        name: format!("h{n}"),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 1000 + n as u16)),
        zone: "hall-a".to_owned(),
        cell: "c".to_owned(),
        kind: "std-16".to_owned(),
        state: HostState::Ready,
        started_ms: Some(START / 1000),
        unallocated_cores: None,
        unallocated_memory_gib: None,
    }
}

impl Fleet {
    /// So many hosts that greet in one instant.
    fn new(hosts: u32, offer_for: Micros) -> Fleet {
        let config = PlacerConfig::parse(Document {
            file: "placer.toml",
            text: CONFIG,
        })
        .expect("sound");
        let boot = StartInfo {
            started_ms: START / 1000,
            seed: 1,
        };
        let mut fleet = Fleet {
            engine: Engine::new(config, ToChosen(offer_for), boot, START),
            now: START,
            hosts,
            silent: BTreeSet::new(),
            running: BTreeMap::new(),
            to_greet: Vec::new(),
            pings: Vec::new(),
            cut_off: Vec::new(),
            offered: Vec::new(),
            asks: 0,
        };
        let entries: Vec<HostEntry> = (0..hosts).map(entry).collect();
        fleet.engine.apply_host_changes(START, &entries);
        fleet.engine.client_opened(START, ClientId(1));
        fleet
    }

    fn run_for(&mut self, span: u64) {
        let end = self.now + span;
        self.turn(false);
        while let Some(at) = self.engine.next_timeout().filter(|&at| at <= end) {
            self.now = self.now.max(at);
            self.turn(false);
        }
        self.now = end;
    }

    fn turn(&mut self, stalled: bool) {
        self.engine.turn(self.now, stalled);
        loop {
            let outputs = self.engine.take_outputs();
            if outputs.is_empty() {
                return;
            }
            outputs
                .into_iter()
                .for_each(|output| self.carry_out(output));
            let connected: Vec<HostId> = self.to_greet.drain(..).collect();
            for id in connected {
                self.engine.host_connected(self.now, id);
            }
        }
    }

    fn carry_out(&mut self, output: Output) {
        match output {
            Output::Connect(id, _) if !self.silent.contains(&id) => self.to_greet.push(id),
            Output::ToHost(id, bytes) => {
                let (frame, _) = frame::decode(&bytes).expect("sound");
                self.host_reads(id, frame.expect("one whole frame"));
            }
            Output::CloseHost(id) => self.cut_off.push((self.now, id)),
            _ => {}
        }
    }

    fn host_reads(&mut self, id: HostId, frame: Frame) {
        match &frame {
            Frame::Ping(_) => self.pings.push((self.now, id)),
            Frame::Offer(_) => self.offered.push(self.now),
            _ => {}
        }
        if self.silent.contains(&id) {
            return;
        }
        match frame {
            Frame::Hello { .. } => {
                let name = format!("h{}", id.0);
                let (major, minor, started_ms) = (frame::MAJOR, frame::MINOR, START / 1000);
                self.says(
                    id,
                    &Frame::Hello {
                        major,
                        minor,
                        name,
                        started_ms,
                        max_offers: 0,
                    },
                );
                self.says(id, &Frame::HeldEnd);
            }
            Frame::Ping(nonce) => self.says(id, &Frame::Pong(nonce)),
            Frame::Offer(Offer {
                attempt_id: attempt,
                ..
            }) => {
                self.running.entry(id).or_default().push(attempt);
                self.says(id, &Frame::Accepted(attempt, 1));
                self.says(id, &Frame::Started(attempt, 1));
            }
            _ => {}
        }
    }

    fn says(&mut self, id: HostId, frame: &Frame) {
        let mut bytes = Vec::new();
        frame::encode(frame, &mut bytes);
        assert_eq!(self.engine.host_bytes(self.now, id, &bytes), bytes.len());
    }

    fn ask(&mut self) {
        self.asks += 1;
        let body = format!(
            r#"{{"service":"s","actor":"a{}","class":"web-api","cores":1,"memory_gib":1,"budget_ms":2000}}"#,
            self.asks
        );
        let ask = format!(
            "POST /v1/actors HTTP/1.1\r\nHost: p\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        self.engine
            .client_bytes(self.now, ClientId(1), ask.as_bytes());
        self.turn(false);
        self.turn(false);
    }

    /// Everything that runs at the chosen host ends.
    fn all_ends(&mut self) {
        for attempt in self.running.remove(&CHOSEN).unwrap_or_default() {
            self.says(
                CHOSEN,
                &Frame::Ended(attempt, Reason::Completed, true, None),
            );
        }
        self.turn(false);
    }

    fn pings_to(&self, id: HostId, since: u64) -> usize {
        self.pings
            .iter()
            .filter(|(at, to)| *to == id && *at >= since)
            .count()
    }

    fn most_pings_in_a_second(&self, since: u64) -> usize {
        let times: Vec<u64> = self
            .pings
            .iter()
            .map(|(at, _)| *at)
            .filter(|&at| at >= since)
            .collect();
        let within =
            |first: usize| times[first..].partition_point(|&at| at < times[first] + SECOND);
        (0..times.len()).map(within).max().unwrap_or(0)
    }
}

#[test]
fn idle_hosts_that_greet_in_one_instant_are_pinged_within_the_rate() {
    for hosts in [130, 1300, 2600] {
        let mut fleet = Fleet::new(hosts, SECOND);
        fleet.run_for(100 * SECOND);
        let most = fleet.most_pings_in_a_second(START);
        assert!(
            most <= MOST_IDLE_IN_A_SECOND,
            "{hosts} hosts: {most} in a second"
        );
        let pinged: BTreeSet<HostId> = fleet.pings.iter().map(|(_, id)| *id).collect();
        assert_eq!(pinged.len() as u32, fleet.hosts);
        assert_eq!(fleet.cut_off, []);
        assert_eq!(fleet.engine.counters().heartbeats, fleet.pings.len() as u64);
    }
}

#[test]
fn a_placer_that_stood_still_beside_1300_hosts_cuts_nobody_off_and_sends_no_burst() {
    let mut fleet = Fleet::new(1300, SECOND);
    fleet.ask();
    fleet.run_for(10 * SECOND);
    fleet.now += 10 * SECOND;
    fleet.turn(true);
    fleet.run_for(60 * SECOND);
    assert_eq!(fleet.cut_off, []);
    // Beside them the one host in use.
    let most = fleet.most_pings_in_a_second(START);
    assert!(most <= MOST_IDLE_IN_A_SECOND + 2, "{most} in a second");
}

#[test]
fn a_host_with_a_task_is_pinged_every_period_and_cut_off_as_ever() {
    let mut fleet = Fleet::new(1300, SECOND);
    fleet.run_for(30 * SECOND);
    fleet.ask();
    assert_eq!(fleet.running[&CHOSEN].len(), 1);
    let placed = fleet.now;
    fleet.run_for(20 * SECOND);
    let pings = fleet.pings_to(CHOSEN, placed);
    assert!((18..=20).contains(&pings), "{pings} in 20 s");
    fleet.silent.insert(CHOSEN);
    let silent_from = fleet.now;
    fleet.run_for(SILENT_AFTER + PING_EVERY);
    assert_eq!(fleet.cut_off.len(), 1);
    let (at, id) = fleet.cut_off[0];
    assert!(id == CHOSEN && at <= silent_from + SILENT_AFTER + PING_EVERY);
}

#[test]
fn an_idle_host_that_died_is_found_after_an_offer_even_if_that_is_given_up_before() {
    for offer_for in [300_000, 10 * SECOND] {
        let mut fleet = Fleet::new(1300, offer_for);
        fleet.run_for(10 * SECOND);
        fleet.silent.insert(CHOSEN);
        fleet.ask();
        let offered = fleet.offered[0];
        fleet.run_for(SILENT_AFTER + PING_EVERY);
        assert_eq!(fleet.cut_off.len(), 1, "an offer for {offer_for} us");
        let (at, id) = fleet.cut_off[0];
        assert!(
            id == CHOSEN && at <= offered + SILENT_AFTER + PING_EVERY,
            "{} us after",
            at - offered
        );
        assert!(fleet.pings_to(CHOSEN, offered) >= 2);
    }
}

#[test]
fn a_host_whose_last_task_has_ended_is_pinged_seldom_again() {
    let mut fleet = Fleet::new(1300, SECOND);
    fleet.run_for(5 * SECOND);
    for _ in 0..2 {
        fleet.ask();
        fleet.run_for(10 * SECOND);
        fleet.all_ends();
        let idle_from = fleet.now;
        fleet.run_for(64 * SECOND);
        let pings = fleet.pings_to(CHOSEN, idle_from);
        assert!((1..=3).contains(&pings), "{pings} in 64 s");
    }
    assert_eq!(fleet.cut_off, []);
}

#[test]
fn a_silent_idle_host_is_found_in_its_turn() {
    let mut fleet = Fleet::new(1300, SECOND);
    fleet.run_for(50 * SECOND);
    fleet.silent.insert(HostId(700));
    // A second, and 1,300 turns of 25 ms.
    fleet.run_for(SECOND + 1300 * 25_000 + SILENT_AFTER);
    // It greets no new connection either.
    let cut_off: BTreeSet<HostId> = fleet.cut_off.iter().map(|(_, id)| *id).collect();
    assert_eq!(cut_off, BTreeSet::from([HostId(700)]));
}
