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
use crate::host::{Do, EmulatedHost, HostFaults, Spec, Timer};
use crate::looks::ReadTimes;
use crate::scenario::Scenario;
use crate::traffic::{Counted, LinkTraffic, TrafficCounter, kind_of};
use crate::world::{RunContext, SeededRng};

const WAKER: u64 = 0;
const LISTENERS: u64 = 1 << 32;
const CONNS: u64 = 1 << 33;
/// Simulated service is reckoned this often, µs.
const TICK: u64 = 100_000;

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
        poller.register(&waker, WAKER, false)?;
        let mut addresses = Vec::new();
        let net = 1 + std::process::id() % 200;
        for number in 0..scenario.fleet.hosts {
            let (zone, cell) = scenario.place_of(number);
            let kind = scenario.kind_of(number);
            let spec = Spec {
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
                epoch: 0,
                is_down: true,
                reachable: true,
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
            conns: HashMap::new(),
            connection_of_placer: BTreeMap::new(),
            last_token: CONNS,
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
            run.up(slot)?;
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
    epoch: u64,
    is_down: bool,
    reachable: bool,
    first_listener: Option<TcpListener>,
}

struct PlacerConnection {
    conn: TcpConnection,
    host_index: usize,
    placer: Option<Arc<str>>,
    /// Frames that wait to be written.
    unwritten: Vec<Counted>,
    traffic: LinkTraffic,
}

impl PlacerConnection {
    /// Whether its traffic counts: that of hollow placers does not.
    fn counts(&self) -> bool {
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
    conns: HashMap<u64, PlacerConnection>,
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
                .min(ticked + TICK);
            ready.clear();
            self.poller.wait(
                Some(Duration::from_micros(next.saturating_sub(now))),
                &mut ready,
            )?;
            self.read_times
                .polled(now, ready.len() < MAX_EVENTS_PER_WAIT);
            for r in &ready {
                match r.token {
                    WAKER => self.commanded()?,
                    token if token >= CONNS => self.link_ready(token, r),
                    token => self.accept((token - LISTENERS) as usize),
                }
                self.flush_dirty();
            }
            let now = self.world.clock.now();
            while let Some((slot, epoch, later)) = self.timers.pop_due(now) {
                if self.slots[slot].epoch == epoch && !self.slots[slot].is_down {
                    let mut out = Vec::new();
                    self.slots[slot]
                        .host
                        .handle_timer(now, later, &mut self.keys, &mut out);
                    self.carry_out(slot, out);
                    self.flush_dirty();
                }
            }
            if ticked + TICK <= now {
                for slot in 0..self.slots.len() {
                    if !self.slots[slot].is_down && self.slots[slot].host.has_tasks() {
                        let mut out = Vec::new();
                        self.slots[slot]
                            .host
                            .serve_interval(ticked, now, &mut self.keys, &mut out);
                        self.carry_out(slot, out);
                    }
                }
                self.flush_dirty();
                ticked = now;
            }
        }
        Ok(())
    }

    fn commanded(&mut self) -> io::Result<()> {
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
                Some(HostCommand::Crash(slot)) => self.crash(slot),
                Some(HostCommand::Start(slot)) if self.slots[slot].is_down => {
                    self.slots[slot].host.restart();
                    self.up(slot)?;
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
                Some(HostCommand::SetFaults(slot, faults)) => self.slots[slot].host.ail(faults),
                Some(HostCommand::SetReachable(slot, reachable)) => {
                    self.set_reachable(slot, reachable)
                }
                Some(HostCommand::ResetMidFrame(slot)) => {
                    let links: Vec<u64> = self
                        .conns
                        .iter()
                        .filter(|(_, l)| l.host_index == slot)
                        .map(|(&t, _)| t)
                        .collect();
                    for token in links {
                        self.flush(token);
                        if let Some(link) = self.conns.get_mut(&token) {
                            link.conn.write_buffer().extend_from_slice(&[9, 0, 0, 0, 7]);
                            let _ = link.conn.flush(&self.poller);
                        }
                        self.lose(token, true);
                    }
                }
            }
        }
    }

    fn up(&mut self, number: usize) -> io::Result<()> {
        let slot = &mut self.slots[number];
        let listener = match slot.first_listener.take() {
            Some(listener) => listener,
            None => TcpListener::bind(slot.address)?,
        };
        listener.set_nonblocking(true)?;
        self.poller
            .register(&listener, LISTENERS + number as u64, false)?;
        slot.listener = Some(listener);
        slot.is_down = false;
        slot.epoch += 1;
        let started_ms = slot.host.started_us / 1000;
        self.started
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)[number] = started_ms;
        self.world.record(Observation::HostUp {
            host: slot.host.spec.name.clone(),
            started_ms,
        });
        Ok(())
    }

    fn crash(&mut self, number: usize) {
        let slot = &mut self.slots[number];
        if slot.is_down {
            return;
        }
        slot.is_down = true;
        slot.listener = None;
        slot.host.forget_keys(&mut self.keys);
        slot.host.stop();
        self.started
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)[number] = 0;
        self.world.record(Observation::HostDown {
            host: slot.host.spec.name.clone(),
        });
        let links: Vec<u64> = self
            .conns
            .iter()
            .filter(|(_, l)| l.host_index == number)
            .map(|(&t, _)| t)
            .collect();
        links.into_iter().for_each(|token| self.lose(token, true));
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
            if !self.slots[number].reachable && conn.set_reading(false, &self.poller).is_err() {
                continue;
            }
            let (unwritten, traffic) = (Vec::new(), LinkTraffic::default());
            self.conns.insert(
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

    fn lose(&mut self, token: u64, reset: bool) {
        let Some(mut link) = self.conns.remove(&token) else {
            return;
        };
        self.pending_writes.remove(&token);
        if let Some(counter) = self.counter.as_ref().filter(|_| link.counts()) {
            counter.closed(&mut link.traffic, reset);
        }
        if let Some(late) = self.read_times.delay_to_report(self.world.clock.now()) {
            self.world.record(late);
        }
        if let Some(placer) = link.placer {
            let host = self.slots[link.host_index].host.spec.name.clone();
            self.world
                .record(Observation::LinkLost { host, link: token });
            let key = (link.host_index, placer);
            if self.connection_of_placer.get(&key) == Some(&token) {
                self.connection_of_placer.remove(&key);
            }
        }
        if reset {
            link.conn.reset();
        }
    }

    fn link_ready(&mut self, token: u64, r: &Readiness) {
        let Some(link) = self.conns.get_mut(&token) else {
            return;
        };
        if !self.slots[link.host_index].reachable {
            if r.is_closed {
                self.lose(token, false);
            }
            return;
        }
        if r.is_writable && link.conn.flush(&self.poller).is_err() {
            self.lose(token, false);
            return;
        }
        if !r.is_readable {
            return;
        }
        let outcome = link.conn.read_available(256 << 10, 512 << 10);
        let mut segment = Vec::new();
        while let Some(link) = self.conns.get_mut(&token) {
            match frame::decode(link.conn.unread()) {
                Ok((frame, used)) => {
                    link.conn.consume(used);
                    let Some(frame) = frame else { break };
                    segment.push(Counted {
                        kind: kind_of(&frame),
                        bytes: used as u64,
                    });
                    self.frame(token, frame);
                }
                Err(_) => {
                    self.lose(token, true);
                    return;
                }
            }
        }
        self.count_read(token, &segment);
        if matches!(outcome, ReadOutcome::Closed | ReadOutcome::Failed) {
            self.lose(token, false);
        }
    }

    fn frame(&mut self, token: u64, frame: Frame) {
        let now = self.world.clock.now();
        let Some(link) = self.conns.get_mut(&token) else {
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
                link: token,
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
            link: token,
            frame: frame.clone(),
        });
        let mut out = Vec::new();
        self.slots[number]
            .host
            .handle_frame(now, &placer, frame, &mut self.keys, &mut out);
        self.carry_out(number, out);
    }

    fn carry_out(&mut self, number: usize, out: Vec<Do>) {
        for what in out {
            match what {
                Do::Send(placer, frame) => {
                    if let Some(&token) = self.connection_of_placer.get(&(number, placer)) {
                        self.send(token, frame);
                    }
                }
                Do::After(after, later) => {
                    let epoch = self.slots[number].epoch;
                    self.timers
                        .schedule(self.world.clock.now() + after, (number, epoch, later));
                }
                Do::FallOver => self.crash(number),
            }
        }
    }
}
