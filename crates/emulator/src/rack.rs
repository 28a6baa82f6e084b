//! Stand-in hosts on sockets: many in one thread, each on a port of its own, all that they send and receive
//! recorded.

mod sending;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

use maplethread_admission::DeduplicationTable;
use maplethread_checker::{Observation, Observer};
use maplethread_engine::Timers;
use maplethread_reactor::{MAX_EVENTS_PER_WAIT, Poller, ReadOutcome, Readiness, TcpConnection};
use maplethread_wire::frame::{self, Frame};

use crate::hollow_placers;
use crate::host::{EmulatedHost, HostAction, HostFaults, HostSpec, Timer};
use crate::looks::ReadTimes;
use crate::scenario::Scenario;
use crate::traffic::{ConnectionTraffic, CountedFrame, TrafficCounter, message_kind};
use crate::world::{RunContext, SeededRng};

const WAKER_TOKEN: u64 = 0;
const FIRST_LISTENER_TOKEN: u64 = 1 << 32;
const FIRST_CONNECTION_TOKEN: u64 = 1 << 33;
/// Simulated service is reckoned this often, µs.
const TICK_INTERVAL_US: u64 = 100_000;

/// What is done to hosts.
#[derive(Clone, Debug)]
pub enum HostCommand {
    /// The process dies: connections are reset, the port is closed.
    Crash(usize),
    /// A new process starts, cold.
    Start(usize),
    /// It takes nothing new and tells its placers.
    Drain(usize),
    /// Its faults from now on.
    SetFaults(usize, HostFaults),
    /// Its connections are reset in the middle of a frame.
    ResetMidFrame(usize),
    /// Whether packets reach it, and its own reach others; it lives on meanwhile.
    SetReachable(usize, bool),
    /// The thread ends.
    End,
}

/// The thread of the hosts.
pub struct HostPool {
    commands: Arc<Mutex<VecDeque<HostCommand>>>,
    waker: OwnedFd,
    thread: Option<JoinHandle<io::Result<()>>>,
    /// Where each host listens.
    pub addresses: Vec<SocketAddr>,
    /// When each host last started, Unix time in ms; 0 while it is down.
    pub started_ms: Arc<Mutex<Vec<u64>>>,
}

impl HostPool {
    /// Starts all hosts of a scenario, on loopback addresses of their own or at these.
    pub fn start(
        scenario: &Arc<Scenario>,
        world: &RunContext,
        seed: u64,
        at: Option<&[SocketAddr]>,
    ) -> io::Result<HostPool> {
        HostPool::start_with_counter(scenario, world, seed, at, None)
    }

    /// The same, with all that real placers and these hosts send each other counted.
    pub fn start_with_counter(
        scenario: &Arc<Scenario>,
        world: &RunContext,
        seed: u64,
        at: Option<&[SocketAddr]>,
        counter: Option<TrafficCounter>,
    ) -> io::Result<HostPool> {
        let mut dice = SeededRng::new(seed, 3);
        let mut slots = Vec::new();
        let poller = Poller::new()?;
        let waker = Poller::waker()?;
        poller.register(&waker, WAKER_TOKEN, false)?;
        let mut addresses = Vec::new();
        let net = 1 + std::process::id() % 200;
        for number in 0..scenario.fleet.hosts {
            let (zone, cell) = scenario.location_of(number);
            let kind = scenario.kind_of(number);
            let spec = HostSpec {
                name: format!("host-{number:02}").into(),
                zone,
                cell,
                cores: kind.cores,
                memory: kind.memory_gib,
                speed: dice.between([0.85, 1.15]),
            };
            // An address of its own, so that its port stays free while it is down.
            let ip = [
                127,
                net as u8,
                (number / 250) as u8,
                (number % 250 + 1) as u8,
            ];
            let at = at
                .and_then(|at| at.get(number))
                .copied()
                .unwrap_or(SocketAddr::from((ip, 0)));
            let listener = TcpListener::bind(at)?;
            let address = listener.local_addr()?;
            addresses.push(address);
            let set = SeededRng::new(dice.seed(), number as u64);
            let host = EmulatedHost::new(spec, scenario.clone(), world.clone(), set, false);
            slots.push(HostSlot {
                host,
                address,
                listener: None,
                process_number: 0,
                is_down: true,
                is_reachable: true,
                first_listener: Some(listener),
            });
        }
        let commands = Arc::new(Mutex::new(VecDeque::new()));
        let started = Arc::new(Mutex::new(vec![0; slots.len()]));
        let mut run = HostThread {
            poller,
            slots,
            world: world.clone(),
            keys: DeduplicationTable::default(),
            connections: HashMap::new(),
            connection_of_placer: BTreeMap::new(),
            last_token: FIRST_CONNECTION_TOKEN,
            timers: Timers::default(),
            read_times: ReadTimes::new(Observer::Hosts, world.clock.now()),
            commands: commands.clone(),
            waker: rustix::io::dup(&waker)?,
            started: started.clone(),
            is_ended: false,
            counter,
            pending_writes: BTreeSet::new(),
        };
        for slot in 0..run.slots.len() {
            run.start_host(slot)?;
        }
        let thread = std::thread::Builder::new()
            .name("hosts".into())
            .spawn(move || run.run())?;
        Ok(HostPool {
            commands,
            waker,
            thread: Some(thread),
            addresses,
            started_ms: started,
        })
    }

    /// Has something done to a host.
    pub fn command(&self, command: HostCommand) {
        let mut commands = self
            .commands
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        commands.push_back(command);
        let _ = rustix::io::write(&self.waker, &1u64.to_ne_bytes());
    }

    /// Waits for the thread to end, which it does only when something fails.
    pub fn join(mut self) -> io::Result<()> {
        match self.thread.take().map(JoinHandle::join) {
            Some(Ok(result)) => result,
            _ => Err(io::Error::other("the hosts' thread panicked")),
        }
    }
}

impl Drop for HostPool {
    fn drop(&mut self) {
        self.command(HostCommand::End);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

struct HostSlot {
    host: EmulatedHost,
    address: SocketAddr,
    listener: Option<TcpListener>,
    /// Counts processes, so that timers of an old one are known as such.
    process_number: u64,
    is_down: bool,
    is_reachable: bool,
    first_listener: Option<TcpListener>,
}

struct PlacerConnection {
    conn: TcpConnection,
    host_index: usize,
    placer: Option<Arc<str>>,
    /// Frames that wait to be written.
    unwritten: Vec<CountedFrame>,
    traffic: ConnectionTraffic,
}

impl PlacerConnection {
    /// Whether its traffic counts: that of hollow placers does not.
    fn is_counted(&self) -> bool {
        self.placer
            .as_deref()
            .is_none_or(|name| !hollow_placers::is_hollow(name))
    }
}

struct HostThread {
    poller: Poller,
    slots: Vec<HostSlot>,
    world: RunContext,
    keys: DeduplicationTable,
    connections: HashMap<u64, PlacerConnection>,
    /// The connection of each placer to each host.
    connection_of_placer: BTreeMap<(usize, Arc<str>), u64>,
    last_token: u64,
    timers: Timers<(usize, u64, Timer)>,
    read_times: ReadTimes,
    commands: Arc<Mutex<VecDeque<HostCommand>>>,
    waker: OwnedFd,
    started: Arc<Mutex<Vec<u64>>>,
    is_ended: bool,
    /// Nothing is counted without it.
    counter: Option<TrafficCounter>,
    /// Connections with something new to write.
    pending_writes: BTreeSet<u64>,
}

impl HostThread {
    fn run(&mut self) -> io::Result<()> {
        let mut ready: Vec<Readiness> = Vec::new();
        let mut ticked = self.world.clock.now();
        while !self.is_ended {
            let now = self.world.clock.now();
            let next = self
                .timers
                .next_due_at()
                .unwrap_or(u64::MAX)
                .min(ticked + TICK_INTERVAL_US);
            ready.clear();
            self.poller.wait(
                Some(Duration::from_micros(next.saturating_sub(now))),
                &mut ready,
            )?;
            self.read_times
                .polled(now, ready.len() < MAX_EVENTS_PER_WAIT);
            for r in &ready {
                match r.token {
                    WAKER_TOKEN => self.handle_commands()?,
                    token if token >= FIRST_CONNECTION_TOKEN => self.handle_ready(token, r),
                    token => self.accept((token - FIRST_LISTENER_TOKEN) as usize),
                }
                self.flush_pending();
            }
            let now = self.world.clock.now();
            while let Some((slot, epoch, later)) = self.timers.pop_due(now) {
                if self.slots[slot].process_number == epoch && !self.slots[slot].is_down {
                    let mut out = Vec::new();
                    self.slots[slot]
                        .host
                        .handle_timer(now, later, &mut self.keys, &mut out);
                    self.apply_actions(slot, out);
                    self.flush_pending();
                }
            }
            if ticked + TICK_INTERVAL_US <= now {
                for slot in 0..self.slots.len() {
                    if !self.slots[slot].is_down && self.slots[slot].host.has_tasks() {
                        let mut out = Vec::new();
                        self.slots[slot]
                            .host
                            .serve_interval(ticked, now, &mut self.keys, &mut out);
                        self.apply_actions(slot, out);
                    }
                }
                self.flush_pending();
                ticked = now;
            }
        }
        Ok(())
    }

    fn handle_commands(&mut self) -> io::Result<()> {
        let _ = rustix::io::read(&self.waker, &mut [0u8; 8]);
        loop {
            let command = {
                let mut commands = self
                    .commands
                    .lock()
                    .unwrap_or_else(std::sync::PoisonError::into_inner);
                commands.pop_front()
            };
            match command {
                None => return Ok(()),
                Some(HostCommand::End) => self.is_ended = true,
                Some(HostCommand::Crash(slot)) => self.stop_host(slot),
                Some(HostCommand::Start(slot)) if self.slots[slot].is_down => {
                    self.slots[slot].host.restart();
                    self.start_host(slot)?;
                }
                Some(HostCommand::Start(_)) => {}
                Some(HostCommand::Drain(slot)) => {
                    self.slots[slot].host.drain();
                    let links: Vec<u64> = self
                        .connection_of_placer
                        .iter()
                        .filter(|((s, _), _)| *s == slot)
                        .map(|(_, &t)| t)
                        .collect();
                    links
                        .into_iter()
                        .for_each(|token| self.send(token, Frame::Drain));
                }
                Some(HostCommand::SetFaults(slot, faults)) => {
                    self.slots[slot].host.set_faults(faults)
                }
                Some(HostCommand::SetReachable(slot, reachable)) => {
                    self.set_reachable(slot, reachable)
                }
                Some(HostCommand::ResetMidFrame(slot)) => {
                    let links: Vec<u64> = self
                        .connections
                        .iter()
                        .filter(|(_, l)| l.host_index == slot)
                        .map(|(&t, _)| t)
                        .collect();
                    for token in links {
                        self.flush(token);
                        if let Some(link) = self.connections.get_mut(&token) {
                            link.conn.write_buffer().extend_from_slice(&[9, 0, 0, 0, 7]);
                            let _ = link.conn.flush(&self.poller);
                        }
                        self.close_connection(token, true);
                    }
                }
            }
        }
    }

    fn start_host(&mut self, number: usize) -> io::Result<()> {
        let slot = &mut self.slots[number];
        let listener = match slot.first_listener.take() {
            Some(listener) => listener,
            None => TcpListener::bind(slot.address)?,
        };
        listener.set_nonblocking(true)?;
        self.poller
            .register(&listener, FIRST_LISTENER_TOKEN + number as u64, false)?;
        slot.listener = Some(listener);
        slot.is_down = false;
        slot.process_number += 1;
        let started_ms = slot.host.started_us / 1000;
        self.started
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)[number] = started_ms;
        self.world.record(Observation::HostStarted {
            host: slot.host.spec.name.clone(),
            started_ms,
        });
        Ok(())
    }

    fn stop_host(&mut self, number: usize) {
        let slot = &mut self.slots[number];
        if slot.is_down {
            return;
        }
        slot.is_down = true;
        slot.listener = None;
        slot.host.release_keys(&mut self.keys);
        slot.host.stop();
        self.started
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)[number] = 0;
        self.world.record(Observation::HostStopped {
            host: slot.host.spec.name.clone(),
        });
        let links: Vec<u64> = self
            .connections
            .iter()
            .filter(|(_, l)| l.host_index == number)
            .map(|(&t, _)| t)
            .collect();
        links
            .into_iter()
            .for_each(|token| self.close_connection(token, true));
    }

    fn accept(&mut self, number: usize) {
        while let Some(listener) = self.slots.get(number).and_then(|s| s.listener.as_ref())
            && let Ok((stream, _)) = listener.accept()
        {
            self.last_token += 1;
            let token = self.last_token;
            let Ok(mut conn) = TcpConnection::from_accepted(stream, token, &self.poller) else {
                continue;
            };
            if !self.slots[number].is_reachable && conn.set_reading(false, &self.poller).is_err() {
                continue;
            }
            let (unwritten, traffic) = (Vec::new(), ConnectionTraffic::default());
            self.connections.insert(
                token,
                PlacerConnection {
                    conn,
                    host_index: number,
                    placer: None,
                    unwritten,
                    traffic,
                },
            );
        }
    }

    fn close_connection(&mut self, token: u64, reset: bool) {
        let Some(mut link) = self.connections.remove(&token) else {
            return;
        };
        self.pending_writes.remove(&token);
        if let Some(counter) = self.counter.as_ref().filter(|_| link.is_counted()) {
            counter.closed(&mut link.traffic, reset);
        }
        if let Some(late) = self.read_times.delay_to_report(self.world.clock.now()) {
            self.world.record(late);
        }
        if let Some(placer) = link.placer {
            let host = self.slots[link.host_index].host.spec.name.clone();
            self.world.record(Observation::ConnectionLost {
                host,
                connection: token,
            });
            let key = (link.host_index, placer);
            if self.connection_of_placer.get(&key) == Some(&token) {
                self.connection_of_placer.remove(&key);
            }
        }
        if reset {
            link.conn.reset();
        }
    }

    fn handle_ready(&mut self, token: u64, r: &Readiness) {
        let Some(link) = self.connections.get_mut(&token) else {
            return;
        };
        if !self.slots[link.host_index].is_reachable {
            if r.is_closed {
                self.close_connection(token, false);
            }
            return;
        }
        if r.is_writable && link.conn.flush(&self.poller).is_err() {
            self.close_connection(token, false);
            return;
        }
        if !r.is_readable {
            return;
        }
        let outcome = link.conn.read_available(256 << 10, 512 << 10);
        let mut segment = Vec::new();
        while let Some(link) = self.connections.get_mut(&token) {
            match frame::decode(link.conn.unread()) {
                Ok((frame, used)) => {
                    link.conn.consume(used);
                    let Some(frame) = frame else { break };
                    segment.push(CountedFrame {
                        kind: message_kind(&frame),
                        bytes: used as u64,
                    });
                    self.handle_frame(token, frame);
                }
                Err(_) => {
                    self.close_connection(token, true);
                    return;
                }
            }
        }
        self.count_received(token, &segment);
        if matches!(outcome, ReadOutcome::Closed | ReadOutcome::Failed) {
            self.close_connection(token, false);
        }
    }

    fn handle_frame(&mut self, token: u64, frame: Frame) {
        let now = self.world.clock.now();
        let Some(link) = self.connections.get_mut(&token) else {
            return;
        };
        let number = link.host_index;
        let host = self.slots[number].host.spec.name.clone();
        if let Frame::Hello {
            name, started_ms, ..
        } = &frame
        {
            let placer: Arc<str> = name.as_str().into();
            link.placer = Some(placer.clone());
            self.world.record(Observation::PlacerConnected {
                host: host.clone(),
                connection: token,
                placer: placer.clone(),
                incarnation: *started_ms,
            });
            self.connection_of_placer
                .insert((number, placer.clone()), token);
            let slot = &self.slots[number].host;
            if slot.is_silent() {
                return;
            }
            let hello = Frame::Hello {
                major: frame::MAJOR,
                minor: frame::MINOR,
                name: host.to_string(),
                started_ms: slot.started_us / 1000,
                max_offers: 0,
            };
            let mut frames = vec![hello];
            frames.extend(slot.held_frames(&placer));
            frames.push(Frame::HeldEnd);
            if slot.is_draining() {
                frames.push(Frame::Drain);
            }
            frames.into_iter().for_each(|frame| self.send(token, frame));
            return;
        }
        let Some(placer) = link.placer.clone() else {
            return;
        };
        if let Some(late) = self.read_times.delay_to_report(now) {
            self.world.record(late);
        }
        self.world.record(Observation::FrameFromPlacer {
            host,
            connection: token,
            frame: frame.clone(),
        });
        let mut out = Vec::new();
        self.slots[number]
            .host
            .handle_frame(now, &placer, frame, &mut self.keys, &mut out);
        self.apply_actions(number, out);
    }

    fn apply_actions(&mut self, number: usize, out: Vec<HostAction>) {
        for what in out {
            match what {
                HostAction::Send(placer, frame) => {
                    if let Some(&token) = self.connection_of_placer.get(&(number, placer)) {
                        self.send(token, frame);
                    }
                }
                HostAction::SetTimer(after, later) => {
                    let epoch = self.slots[number].process_number;
                    self.timers
                        .schedule(self.world.clock.now() + after, (number, epoch, later));
                }
                HostAction::Crash => self.stop_host(number),
            }
        }
    }
}
