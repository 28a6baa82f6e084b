//! Heartbeats of the engine in simulated time: at the set interval to hosts with tasks, within the rate to idle hosts.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use maplethread::{Action, Event, MachineId, Micros};
use maplethread_config::{HostEntry, HostState};
use maplethread_engine::{ClientId, Decide, Engine, HostId, Output};
use maplethread_wire::frame::{self, Frame, Offer, Reason};
use support::NOW;

const SECOND_US: u64 = 1_000_000;
// The default settings of a placer. `MAX_IDLE_PINGS_PER_SECOND` is the default rate of 40, plus two because a turn may
// be late.
const PING_INTERVAL_US: u64 = SECOND_US;
const SILENCE_TIMEOUT_US: u64 = 3 * SECOND_US;
const MAX_IDLE_PINGS_PER_SECOND: usize = 42;
/// The host that gets all offers.
const CHOSEN: HostId = HostId(0);

/// Offers every request to one host, with this time-out.
struct OfferToChosen(Micros);

impl Decide for OfferToChosen {
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

/// An engine, and simulated hosts that answer at once.
struct SimulatedHosts {
    engine: Engine<OfferToChosen>,
    now: u64,
    hosts: u32,
    unresponsive: BTreeSet<HostId>,
    running: BTreeMap<HostId, Vec<u64>>,
    hosts_to_greet: Vec<HostId>,
    pings: Vec<(u64, HostId)>,
    disconnected: Vec<(u64, HostId)>,
    offered: Vec<u64>,
    request_count: u64,
}

fn entry(n: u32) -> HostEntry {
    HostEntry {
        name: format!("h{n}"),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 1000 + n as u16)),
        zone: "hall-a".to_owned(),
        cell: "c".to_owned(),
        kind: "std-16".to_owned(),
        state: HostState::Ready,
        started_ms: Some(NOW / 1000),
        unallocated_cores: None,
        unallocated_memory_gib: None,
    }
}

impl SimulatedHosts {
    /// Creates hosts that all send their greeting at the same time.
    fn new(hosts: u32, offer_timeout: Micros) -> SimulatedHosts {
        let config = support::config();
        let start = support::start_info();
        let mut fleet = SimulatedHosts {
            engine: Engine::new(config, OfferToChosen(offer_timeout), start, NOW),
            now: NOW,
            hosts,
            unresponsive: BTreeSet::new(),
            running: BTreeMap::new(),
            hosts_to_greet: Vec::new(),
            pings: Vec::new(),
            disconnected: Vec::new(),
            offered: Vec::new(),
            request_count: 0,
        };
        let entries: Vec<HostEntry> = (0..hosts).map(entry).collect();
        fleet.engine.apply_host_changes(NOW, &entries);
        fleet.engine.client_opened(NOW, ClientId(1));
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
                .for_each(|output| self.apply_output(output));
            let connected: Vec<HostId> = self.hosts_to_greet.drain(..).collect();
            for id in connected {
                self.engine.host_connected(self.now, id);
            }
        }
    }

    fn apply_output(&mut self, output: Output) {
        match output {
            Output::Connect(id, _) if !self.unresponsive.contains(&id) => {
                self.hosts_to_greet.push(id)
            }
            Output::ToHost(id, bytes) => {
                let (frame, _) = frame::decode(&bytes).expect("valid frame");
                self.deliver_to_host(id, frame.expect("one complete frame"));
            }
            Output::CloseHost(id) => self.disconnected.push((self.now, id)),
            _ => {}
        }
    }

    fn deliver_to_host(&mut self, id: HostId, frame: Frame) {
        match &frame {
            Frame::Ping(_) => self.pings.push((self.now, id)),
            Frame::Offer(_) => self.offered.push(self.now),
            _ => {}
        }
        if self.unresponsive.contains(&id) {
            return;
        }
        match frame {
            Frame::Hello { .. } => {
                let name = format!("h{}", id.0);
                let (major, minor, started_ms) = (frame::MAJOR, frame::MINOR, NOW / 1000);
                self.deliver_from_host(
                    id,
                    &Frame::Hello {
                        major,
                        minor,
                        name,
                        started_ms,
                        max_offers: 0,
                    },
                );
                self.deliver_from_host(id, &Frame::HeldEnd);
            }
            Frame::Ping(nonce) => self.deliver_from_host(id, &Frame::Pong(nonce)),
            Frame::Offer(Offer {
                attempt_id: attempt,
                ..
            }) => {
                self.running.entry(id).or_default().push(attempt);
                self.deliver_from_host(id, &Frame::Accepted(attempt, 1));
                self.deliver_from_host(id, &Frame::Started(attempt, 1));
            }
            _ => {}
        }
    }

    fn deliver_from_host(&mut self, id: HostId, frame: &Frame) {
        let mut bytes = Vec::new();
        frame::encode(frame, &mut bytes);
        assert_eq!(self.engine.host_bytes(self.now, id, &bytes), bytes.len());
    }

    fn send_request(&mut self) {
        self.request_count += 1;
        let body = format!(
            r#"{{"service":"s","actor":"a{}","class":"web-api","cores":1,"memory_gib":1,"budget_ms":2000}}"#,
            self.request_count
        );
        let request = support::post_actor("", &body);
        self.engine
            .client_bytes(self.now, ClientId(1), request.as_bytes());
        self.turn(false);
        self.turn(false);
    }

    /// Ends all tasks that run on the chosen host.
    fn finish_all_tasks(&mut self) {
        for attempt in self.running.remove(&CHOSEN).unwrap_or_default() {
            self.deliver_from_host(
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

    fn max_pings_per_second(&self, since: u64) -> usize {
        let times: Vec<u64> = self
            .pings
            .iter()
            .map(|(at, _)| *at)
            .filter(|&at| at >= since)
            .collect();
        let within =
            |first: usize| times[first..].partition_point(|&at| at < times[first] + SECOND_US);
        (0..times.len()).map(within).max().unwrap_or(0)
    }
}

#[test]
fn idle_ping_rate_is_bounded_when_many_hosts_greet_at_once() {
    for hosts in [130, 1300, 2600] {
        let mut fleet = SimulatedHosts::new(hosts, SECOND_US);
        fleet.run_for(100 * SECOND_US);
        let max_pings = fleet.max_pings_per_second(NOW);
        assert!(
            max_pings <= MAX_IDLE_PINGS_PER_SECOND,
            "{hosts} hosts: {max_pings} heartbeats in a second"
        );
        let pinged: BTreeSet<HostId> = fleet.pings.iter().map(|(_, id)| *id).collect();
        assert_eq!(pinged.len() as u32, fleet.hosts);
        assert_eq!(fleet.disconnected, []);
        assert_eq!(fleet.engine.counters().heartbeats, fleet.pings.len() as u64);
    }
}

#[test]
fn stall_with_1300_hosts_disconnects_none_and_sends_no_burst() {
    let mut fleet = SimulatedHosts::new(1300, SECOND_US);
    fleet.send_request();
    fleet.run_for(10 * SECOND_US);
    fleet.now += 10 * SECOND_US;
    fleet.turn(true);
    fleet.run_for(60 * SECOND_US);
    assert_eq!(fleet.disconnected, []);
    // Two more than the limit, for the one host in use.
    let max_pings = fleet.max_pings_per_second(NOW);
    assert!(
        max_pings <= MAX_IDLE_PINGS_PER_SECOND + 2,
        "{max_pings} heartbeats in a second"
    );
}

#[test]
fn host_with_task_is_pinged_every_interval_and_disconnected_when_unresponsive() {
    let mut fleet = SimulatedHosts::new(1300, SECOND_US);
    fleet.run_for(30 * SECOND_US);
    fleet.send_request();
    assert_eq!(fleet.running[&CHOSEN].len(), 1);
    let placed = fleet.now;
    fleet.run_for(20 * SECOND_US);
    let pings = fleet.pings_to(CHOSEN, placed);
    assert!((18..=20).contains(&pings), "{pings} heartbeats in 20 s");
    fleet.unresponsive.insert(CHOSEN);
    let unresponsive_from = fleet.now;
    fleet.run_for(SILENCE_TIMEOUT_US + PING_INTERVAL_US);
    assert_eq!(fleet.disconnected.len(), 1);
    let (at, id) = fleet.disconnected[0];
    assert!(id == CHOSEN && at <= unresponsive_from + SILENCE_TIMEOUT_US + PING_INTERVAL_US);
}

#[test]
fn unresponsive_idle_host_is_disconnected_after_offer_even_if_offer_is_abandoned() {
    for offer_timeout in [300_000, 10 * SECOND_US] {
        let mut fleet = SimulatedHosts::new(1300, offer_timeout);
        fleet.run_for(10 * SECOND_US);
        fleet.unresponsive.insert(CHOSEN);
        fleet.send_request();
        let offered = fleet.offered[0];
        fleet.run_for(SILENCE_TIMEOUT_US + PING_INTERVAL_US);
        assert_eq!(
            fleet.disconnected.len(),
            1,
            "an offer with a time-out of {offer_timeout} us"
        );
        let (at, id) = fleet.disconnected[0];
        assert!(
            id == CHOSEN && at <= offered + SILENCE_TIMEOUT_US + PING_INTERVAL_US,
            "disconnected {} us after the offer",
            at - offered
        );
        assert!(fleet.pings_to(CHOSEN, offered) >= 2);
    }
}

#[test]
fn host_is_pinged_less_often_after_its_last_task_ended() {
    let mut fleet = SimulatedHosts::new(1300, SECOND_US);
    fleet.run_for(5 * SECOND_US);
    for _ in 0..2 {
        fleet.send_request();
        fleet.run_for(10 * SECOND_US);
        fleet.finish_all_tasks();
        let idle_from = fleet.now;
        fleet.run_for(64 * SECOND_US);
        let pings = fleet.pings_to(CHOSEN, idle_from);
        assert!((1..=3).contains(&pings), "{pings} heartbeats in 64 s");
    }
    assert_eq!(fleet.disconnected, []);
}

#[test]
fn unresponsive_idle_host_is_disconnected_after_its_turn() {
    let mut fleet = SimulatedHosts::new(1300, SECOND_US);
    fleet.run_for(50 * SECOND_US);
    fleet.unresponsive.insert(HostId(700));
    // The ping interval of 1 s, and a turn of 25 ms for each of the 1300 hosts.
    fleet.run_for(SECOND_US + 1300 * 25_000 + SILENCE_TIMEOUT_US);
    // The host does not answer on new connections either, so that it may be disconnected several times.
    let disconnected: BTreeSet<HostId> = fleet.disconnected.iter().map(|(_, id)| *id).collect();
    assert_eq!(disconnected, BTreeSet::from([HostId(700)]));
}
