//! Simulated hosts and clients around an engine, with faults drawn from a seed.

use std::collections::{BTreeMap, BTreeSet};

use maplethread_config::{Document, Inventory, PlacerConfig};
use maplethread_engine::{ClientId, Engine, HostId, Output, StartInfo, Timers};
use maplethread_wire::frame::{self, Frame, Offer, Reason};
use maplethread_wire::http::{self, Limits, MessageReader, ReadResult, Role};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};

const CONFIG: &str = r#"
[placer]
name = "p0"
number = 0
placers = 2
zone = "a"
zones = ["a", "b"]
seed = 1
[api]
listen = "127.0.0.1:0"
max_asks = 150
settle_ms = 1000
[hosts]
inventory = "hosts.toml"
lost_after_ms = 1500
silent_after_ms = 1500
[rules]
cold_from = 0.2
cold_for_ms = 1000
fall_multiple = 4.0
fall_window_ms = 500
fresh_offers = 12.0
[[kind]]
name = "std"
cores = 64.0
memory_gib = 64.0
[[class]]
name = "safe"
effect = "safe"
aim_ms = 100
[[class]]
name = "keyed"
effect = "keyed"
group = "zone"
window_ms = 1000
aim_ms = 100
[[class]]
name = "unsafe"
effect = "unsafe"
aim_ms = 100
spread_over = "host"
spread_most = 3
"#;

const HOSTS: usize = 6;
const START_US: u64 = 1_700_000_000_000_000;

enum SimEvent {
    ToHost(HostId, u64, Vec<u8>),
    FromHost(HostId, u64, Vec<u8>),
    Connected(HostId, u64),
    Lost(HostId, u64),
    ToPlacer(ClientId, Vec<u8>),
    ToClient(ClientId, Vec<u8>),
    SendRequest(u64),
    ClientDisconnects(ClientId),
    TaskEnds(usize, u64, u64),
    InjectFault,
}

#[derive(Default)]
pub struct SimulatedHost {
    connection: Option<u64>,
    inbox: Vec<u8>,
    started_ms: u64,
    unresponsive: bool,
    running: BTreeMap<u64, Offer>,
}

pub struct SimulatedClient {
    reader: MessageReader,
    inbox: Vec<u8>,
    pub answers: Vec<String>,
    pub has_disconnected: bool,
    pub is_closed: bool,
    deadline: u64,
}

pub struct Simulation {
    pub engine: Engine<maplethread::Placer>,
    rng: Pcg64Mcg,
    now: u64,
    events: Timers<SimEvent>,
    hosts: Vec<SimulatedHost>,
    connection_count: u64,
    written: BTreeMap<HostId, u64>,
    pub clients: BTreeMap<ClientId, SimulatedClient>,
    pub trace: blake3::Hasher,
    /// Attempts that were offered and have not ended, with their hosts, by request id.
    open_attempts: BTreeMap<String, BTreeMap<u64, HostId>>,
    /// Ids of requests of which an attempt may have started.
    possibly_started: BTreeSet<String>,
    request_count: u64,
}

impl Simulation {
    pub fn new(seed: u64) -> Simulation {
        let config = PlacerConfig::parse(Document {
            file: "sim",
            text: CONFIG,
        })
        .expect("valid settings");
        let placer =
            maplethread::Placer::new(config.policy_settings(), seed).expect("valid settings");
        let start = StartInfo {
            started_ms: START_US / 1000,
            seed,
        };
        let mut engine = Engine::new(config.clone(), placer, start, START_US);
        let mut text = String::new();
        for n in 0..HOSTS {
            let zone = ["a", "b"][n % 2];
            text += &format!(
                "[[host]]\nname = \"h{n}\"\naddress = \"127.0.0.1:{}\"\nzone = \"{zone}\"\ncell = \"{n}\"\nkind = \"std\"\n",
                1000 + n
            );
        }
        let inventory = Inventory::parse(
            Document {
                file: "hosts",
                text: &text,
            },
            &config,
        )
        .expect("valid inventory");
        engine.apply_inventory(START_US, &inventory);
        let hosts = (0..HOSTS)
            .map(|_| SimulatedHost {
                started_ms: START_US / 1000,
                ..SimulatedHost::default()
            })
            .collect();
        Simulation {
            engine,
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: START_US,
            events: Timers::default(),
            hosts,
            connection_count: 0,
            written: BTreeMap::new(),
            clients: BTreeMap::new(),
            trace: blake3::Hasher::new(),
            open_attempts: BTreeMap::new(),
            possibly_started: BTreeSet::new(),
            request_count: 0,
        }
    }

    fn below(&mut self, n: u64) -> u64 {
        self.rng.next_u64() % n
    }

    fn schedule(&mut self, event: SimEvent) {
        let after = 200 + self.below(1500);
        self.events.schedule(self.now + after, event);
    }

    /// Runs for `seconds` with new requests and faults, and then for up to 20 s without either.
    pub fn run(&mut self, seconds: u64) {
        let end = START_US + seconds * 1_000_000;
        for n in 0..seconds * 40 {
            let at = self.below(seconds * 1_000_000);
            self.events
                .schedule(START_US + 100_000 + at, SimEvent::SendRequest(n));
        }
        for _ in 0..seconds * 3 {
            let at = self.below(seconds * 1_000_000);
            self.events.schedule(START_US + at, SimEvent::InjectFault);
        }
        self.turn();
        let mut steps = 0;
        while self.now < end + 20_000_000 {
            let due = [self.events.next_due_at(), self.engine.next_timeout()]
                .into_iter()
                .flatten()
                .min();
            let Some(due) = due else { break };
            self.now = self.now.max(due);
            while let Some(event) = self.events.pop_due(self.now) {
                self.handle_event(event);
            }
            self.turn();
            steps += 1;
            assert!(
                steps < 1_000_000,
                "the engine keeps requesting further calls"
            );
        }
    }

    fn turn(&mut self) {
        self.engine.turn(self.now, false);
        for output in self.engine.take_outputs() {
            self.trace
                .update(format!("{} {output:?}", self.now).as_bytes());
            match output {
                Output::Connect(id, _) => {
                    self.connection_count += 1;
                    let connection = self.connection_count;
                    self.written.insert(id, 0);
                    self.hosts[id.0 as usize].connection = Some(connection);
                    self.hosts[id.0 as usize].inbox.clear();
                    self.schedule(SimEvent::Connected(id, connection));
                }
                Output::ToHost(id, bytes) => {
                    let written = self.written.entry(id).or_default();
                    *written += bytes.len() as u64;
                    let written = *written;
                    self.engine.host_written(id, written);
                    if let Some(connection) = self.hosts[id.0 as usize].connection {
                        self.schedule_in_order(SimEvent::ToHost(id, connection, bytes));
                    }
                }
                Output::FetchMembership {
                    client: id, slot, ..
                } => self.engine.answer_membership(id, slot, None),
                Output::CloseHost(id) => self.disconnect_host(id),
                Output::ToClient(id, bytes) => {
                    self.schedule_in_order(SimEvent::ToClient(id, bytes))
                }
                Output::CloseClient(id) => {
                    if let Some(client) = self.clients.get_mut(&id) {
                        client.is_closed = true;
                    }
                }
            }
        }
    }

    /// Schedules an event after a fixed delay, which keeps the order of the bytes of a connection.
    fn schedule_in_order(&mut self, event: SimEvent) {
        self.events.schedule(self.now + 300, event);
    }

    fn handle_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::Connected(id, connection) => {
                if self.hosts[id.0 as usize].connection == Some(connection) {
                    self.engine.host_connected(self.now, id);
                }
            }
            SimEvent::ToHost(id, connection, bytes) => {
                let host = &mut self.hosts[id.0 as usize];
                if host.connection != Some(connection) {
                    return;
                }
                host.inbox.extend(bytes);
                let mut inbox = std::mem::take(&mut host.inbox);
                while let (Some(frame), used) = frame::decode(&inbox).expect("valid frames") {
                    inbox.drain(..used);
                    self.handle_host_frame(id, frame);
                }
                self.hosts[id.0 as usize].inbox = inbox;
            }
            SimEvent::FromHost(id, connection, bytes) => {
                if self.hosts[id.0 as usize].connection == Some(connection) {
                    let used = self.engine.host_bytes(self.now, id, &bytes);
                    assert_eq!(used, bytes.len());
                }
            }
            SimEvent::Lost(id, connection) => {
                if self.hosts[id.0 as usize].connection == Some(connection) {
                    self.disconnect_host(id);
                    let written = self.written.get(&id).copied().unwrap_or(0);
                    self.engine.host_closed(self.now, id, written);
                }
            }
            SimEvent::SendRequest(n) => self.send_request(n),
            SimEvent::ToPlacer(id, bytes) => {
                if self
                    .clients
                    .get(&id)
                    .is_some_and(|c| !c.is_closed && !c.has_disconnected)
                {
                    let used = self.engine.client_bytes(self.now, id, &bytes);
                    assert_eq!(used, bytes.len());
                }
            }
            SimEvent::ToClient(id, bytes) => {
                let now = self.now;
                let Some(client) = self.clients.get_mut(&id) else {
                    return;
                };
                client.inbox.extend(bytes);
                while let (ReadResult::Message(message), used) =
                    client.reader.read(&client.inbox).expect("valid HTTP")
                {
                    client.inbox.drain(..used);
                    assert!(now <= client.deadline, "answered after the deadline");
                    client
                        .answers
                        .push(String::from_utf8_lossy(&message.body).into_owned());
                }
            }
            SimEvent::ClientDisconnects(id) => {
                if let Some(client) = self.clients.get_mut(&id)
                    && !client.is_closed
                    && client.answers.is_empty()
                {
                    client.has_disconnected = true;
                    self.engine.client_closed(self.now, id);
                }
            }
            SimEvent::TaskEnds(host, attempt, started_ms) => {
                if self.hosts[host].started_ms == started_ms
                    && self.hosts[host].running.remove(&attempt).is_some()
                {
                    self.send_from_host(
                        HostId(host as u32),
                        Frame::Ended(attempt, Reason::Completed, true, None),
                    );
                }
            }
            SimEvent::InjectFault => self.inject_fault(),
        }
    }

    fn send_from_host(&mut self, id: HostId, frame: Frame) {
        let Some(connection) = self.hosts[id.0 as usize].connection else {
            return;
        };
        let mut bytes = Vec::new();
        frame::encode(&frame, &mut bytes);
        self.schedule_in_order(SimEvent::FromHost(id, connection, bytes));
    }

    fn handle_host_frame(&mut self, id: HostId, frame: Frame) {
        let number = id.0 as usize;
        match &frame {
            Frame::Offer(offer) => {
                let attempts = self
                    .open_attempts
                    .entry(offer.request_id.clone())
                    .or_default();
                assert!(
                    attempts.is_empty(),
                    "{} has two attempts at the same time",
                    offer.request_id
                );
                attempts.insert(offer.attempt_id, id);
                if offer.class == "unsafe" {
                    assert!(
                        !self.possibly_started.contains(&offer.request_id),
                        "{} may run twice",
                        offer.request_id
                    );
                }
            }
            Frame::Cancel(attempt) | Frame::Stop(attempt) => self.remove_attempt(*attempt),
            _ => {}
        }
        if self.hosts[number].unresponsive {
            if let Frame::Offer(offer) = &frame {
                self.possibly_started.insert(offer.request_id.clone());
            }
            return;
        }
        match frame {
            Frame::Hello { .. } => {
                let (major, minor, name) = (frame::MAJOR, frame::MINOR, format!("h{number}"));
                let started_ms = self.hosts[number].started_ms;
                self.send_from_host(
                    id,
                    Frame::Hello {
                        major,
                        minor,
                        name,
                        started_ms,
                        max_offers: 0,
                    },
                );
                for offer in self.hosts[number]
                    .running
                    .values()
                    .cloned()
                    .collect::<Vec<_>>()
                {
                    self.send_from_host(id, Frame::Held(offer, true));
                }
                self.send_from_host(id, Frame::HeldEnd);
            }
            Frame::Offer(offer) => {
                let attempt = offer.attempt_id;
                let behaviour = self.below(10);
                if behaviour != 1 {
                    self.possibly_started.insert(offer.request_id.clone());
                }
                match behaviour {
                    0 => {}
                    1 => {
                        self.remove_attempt(attempt);
                        self.send_from_host(id, Frame::Refused(attempt, Reason::Cores, None));
                    }
                    2 => {
                        self.remove_attempt(attempt);
                        self.send_from_host(id, Frame::Ended(attempt, Reason::Error, true, None));
                    }
                    _ => {
                        self.hosts[number].running.insert(attempt, offer);
                        self.send_from_host(id, Frame::Accepted(attempt, 1));
                        self.send_from_host(id, Frame::Started(attempt, 2));
                        let (duration, started_ms) =
                            (self.below(3_000_000), self.hosts[number].started_ms);
                        self.events.schedule(
                            self.now + 1000 + duration,
                            SimEvent::TaskEnds(number, attempt, started_ms),
                        );
                    }
                }
            }
            Frame::Cancel(attempt) | Frame::Stop(attempt) => {
                let has_run = self.hosts[number].running.remove(&attempt).is_some();
                self.send_from_host(id, Frame::Ended(attempt, Reason::Stopped, has_run, None));
            }
            Frame::Ping(nonce) => self.send_from_host(id, Frame::Pong(nonce)),
            _ => {}
        }
    }

    /// Removes an attempt that has been rejected, ended, cancelled or stopped.
    fn remove_attempt(&mut self, attempt: u64) {
        for attempts in self.open_attempts.values_mut() {
            attempts.remove(&attempt);
        }
    }

    fn disconnect_host(&mut self, id: HostId) {
        self.hosts[id.0 as usize].connection = None;
        self.open_attempts
            .values_mut()
            .for_each(|attempts| attempts.retain(|_, host| *host != id));
    }

    fn send_request(&mut self, n: u64) {
        let id = ClientId(n + 1);
        let class = ["safe", "keyed", "unsafe"][self.below(3) as usize];
        // Of each even and odd pair of numbers, some request the same actor.
        let actor = n - n % (1 + self.below(2));
        let budget = 300 + self.below(1500);
        let body = format!(
            r#"{{"service":"s{}","actor":"a{actor}","class":"{class}","cores":1,"memory_gib":1,"budget_ms":{budget}}}"#,
            n % 7
        );
        let mut bytes = Vec::new();
        let request = format!("r{n}");
        http::write_request(
            &mut bytes,
            "POST",
            "/v1/actors",
            &[("Host", "p"), ("X-Request-Id", &request)],
            body.as_bytes(),
        );
        let client = SimulatedClient {
            reader: MessageReader::new(Role::Responses, Limits::default()),
            inbox: Vec::new(),
            answers: Vec::new(),
            has_disconnected: false,
            is_closed: false,
            // The client's budget starts before the placer reads the request, and the answer takes 0.3 ms to arrive.
            deadline: self.now + budget * 1000 + 2000,
        };
        self.clients.insert(id, client);
        self.engine.client_opened(self.now, id);
        self.schedule(SimEvent::ToPlacer(id, bytes));
        if self.below(6) == 0 {
            let after = self.below(budget * 1000);
            self.events
                .schedule(self.now + after, SimEvent::ClientDisconnects(id));
        }
        self.request_count += 1;
    }

    fn inject_fault(&mut self) {
        let number = self.below(HOSTS as u64) as usize;
        let id = HostId(number as u32);
        let host = &mut self.hosts[number];
        match self.rng.next_u64() % 4 {
            0 => host.unresponsive = true,
            1 => {
                // The host restarts and loses all its tasks.
                host.unresponsive = false;
                host.started_ms = self.now / 1000;
                host.running.clear();
                if let Some(connection) = host.connection {
                    self.schedule(SimEvent::Lost(id, connection));
                }
            }
            2 => {
                host.unresponsive = false;
                if let Some(connection) = host.connection {
                    self.schedule(SimEvent::Lost(id, connection));
                }
            }
            _ => host.unresponsive = false,
        }
    }

    /// Ends all faults and all running tasks, and runs for up to 30 s, after which the engine must hold no request,
    /// attempt or actor.
    pub fn run_until_settled(&mut self) {
        for number in 0..HOSTS {
            self.hosts[number].unresponsive = false;
        }
        let end = self.now + 30_000_000;
        for number in 0..HOSTS {
            for attempt in self.hosts[number]
                .running
                .keys()
                .copied()
                .collect::<Vec<_>>()
            {
                let started_ms = self.hosts[number].started_ms;
                self.events.schedule(
                    self.now + 1000,
                    SimEvent::TaskEnds(number, attempt, started_ms),
                );
            }
        }
        while let Some(due) = [self.events.next_due_at(), self.engine.next_timeout()]
            .into_iter()
            .flatten()
            .min()
        {
            if due > end {
                break;
            }
            self.now = self.now.max(due);
            while let Some(event) = self.events.pop_due(self.now) {
                self.handle_event(event);
            }
            self.turn();
        }
    }

    pub fn status(&mut self) -> String {
        let id = ClientId(u64::MAX);
        self.engine.client_opened(self.now, id);
        self.engine
            .client_bytes(self.now, id, b"GET /v1/status HTTP/1.1\r\nHost: p\r\n\r\n");
        let mut text = String::new();
        for output in self.engine.take_outputs() {
            if let Output::ToClient(_, bytes) = output {
                text += &String::from_utf8_lossy(&bytes);
            }
        }
        text
    }
}
