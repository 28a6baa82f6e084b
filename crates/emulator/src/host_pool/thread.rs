//! The hosts' thread: its event loop, the hosts' timers, and commands.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use maplethread_admission::DeduplicationTable;
use maplethread_checker::{Observation, Observer};
use maplethread_engine::Timers;
use maplethread_reactor::{MAX_EVENTS_PER_WAIT, Poller, Readiness, TcpConnection};
use maplethread_wire::frame::Frame;

use super::command::HostCommand;
use crate::hollow_placers;
use crate::host::{EmulatedHost, HostAction, Timer};
use crate::read_times::ReadTimes;
use crate::run_context::{RunContext, lock};
use crate::traffic::{ConnectionTraffic, CountedFrame, TrafficCounter};

/// Tokens of the poller: the waker, the first listener, and the first connection.
const WAKER_TOKEN: u64 = 0;
const FIRST_LISTENER_TOKEN: u64 = 1 << 32;
const FIRST_CONNECTION_TOKEN: u64 = 1 << 33;
/// Interval at which service is simulated, µs.
const TICK_INTERVAL_US: u64 = 100_000;
/// The beginning of a frame that is never completed.
const INCOMPLETE_FRAME: [u8; 5] = [9, 0, 0, 0, 7];

/// A timer of a host process.
pub(super) struct HostTimer {
    host_index: usize,
    process_number: u64,
    timer: Timer,
}

/// State shared by the pool and its thread.
#[derive(Clone)]
pub(super) struct Shared {
    pub(super) commands: Arc<Mutex<VecDeque<HostCommand>>>,
    /// When each host last started, Unix time in ms; 0 while it is down.
    pub(super) started_ms: Arc<Mutex<Vec<u64>>>,
}

pub(super) struct HostSlot {
    pub(super) host: EmulatedHost,
    pub(super) address: SocketAddr,
    pub(super) listener: Option<TcpListener>,
    /// The number of the present process, by which timers of an earlier process are recognised and ignored.
    pub(super) process_number: u64,
    pub(super) is_down: bool,
    pub(super) is_reachable: bool,
    pub(super) first_listener: Option<TcpListener>,
}

pub(super) struct PlacerConnection {
    pub(super) conn: TcpConnection,
    pub(super) host_index: usize,
    pub(super) placer: Option<Arc<str>>,
    /// Frames in the write buffer that are not counted yet.
    pub(super) unwritten: Vec<CountedFrame>,
    pub(super) traffic: ConnectionTraffic,
}

impl PlacerConnection {
    /// Whether its traffic is counted; that of hollow placers is not.
    pub(super) fn is_counted(&self) -> bool {
        self.placer
            .as_deref()
            .is_none_or(|name| !hollow_placers::is_hollow(name))
    }
}

pub(super) struct HostThread {
    pub(super) poller: Poller,
    pub(super) slots: Vec<HostSlot>,
    pub(super) context: RunContext,
    pub(super) keys: DeduplicationTable,
    pub(super) connections: HashMap<u64, PlacerConnection>,
    /// The connection of each placer to each host.
    pub(super) connection_of_placer: BTreeMap<(usize, Arc<str>), u64>,
    pub(super) last_token: u64,
    pub(super) timers: Timers<HostTimer>,
    pub(super) read_times: ReadTimes,
    pub(super) shared: Shared,
    pub(super) waker: OwnedFd,
    pub(super) is_ended: bool,
    /// `None` if traffic is not counted.
    pub(super) counter: Option<TrafficCounter>,
    /// Connections with new data in the write buffer.
    pub(super) pending_writes: BTreeSet<u64>,
}

impl HostSlot {
    pub(super) fn new(host: EmulatedHost, listener: TcpListener) -> io::Result<HostSlot> {
        Ok(HostSlot {
            host,
            address: listener.local_addr()?,
            listener: None,
            process_number: 0,
            is_down: true,
            is_reachable: true,
            first_listener: Some(listener),
        })
    }
}

impl HostThread {
    /// Starts the hosts on their first listeners.
    pub(super) fn new(
        poller: Poller,
        waker: OwnedFd,
        slots: Vec<HostSlot>,
        context: RunContext,
        shared: Shared,
        counter: Option<TrafficCounter>,
    ) -> io::Result<HostThread> {
        poller.register(&waker, WAKER_TOKEN, false)?;
        let read_times = ReadTimes::new(Observer::Hosts, context.clock.now());
        let mut thread = HostThread {
            poller,
            slots,
            context,
            keys: DeduplicationTable::default(),
            connections: HashMap::new(),
            connection_of_placer: BTreeMap::new(),
            last_token: FIRST_CONNECTION_TOKEN,
            timers: Timers::default(),
            read_times,
            shared,
            waker,
            is_ended: false,
            counter,
            pending_writes: BTreeSet::new(),
        };
        for number in 0..thread.slots.len() {
            thread.start_host(number)?;
        }
        Ok(thread)
    }

    pub(super) fn run(&mut self) -> io::Result<()> {
        let mut ready: Vec<Readiness> = Vec::new();
        let mut last_tick = self.context.clock.now();
        while !self.is_ended {
            let now = self.context.clock.now();
            let next_due = self
                .timers
                .next_due_at()
                .unwrap_or(u64::MAX)
                .min(last_tick + TICK_INTERVAL_US);
            ready.clear();
            self.poller.wait(
                Some(Duration::from_micros(next_due.saturating_sub(now))),
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
            let now = self.context.clock.now();
            while let Some(due) = self.timers.pop_due(now) {
                let host_index = due.host_index;
                if self.slots[host_index].process_number == due.process_number
                    && !self.slots[host_index].is_down
                {
                    let mut out = Vec::new();
                    self.slots[host_index].host.handle_timer(
                        now,
                        due.timer,
                        &mut self.keys,
                        &mut out,
                    );
                    self.apply_actions(host_index, out);
                    self.flush_pending();
                }
            }
            if last_tick + TICK_INTERVAL_US <= now {
                for host_index in 0..self.slots.len() {
                    if !self.slots[host_index].is_down && self.slots[host_index].host.has_tasks() {
                        let mut out = Vec::new();
                        self.slots[host_index].host.serve_interval(
                            last_tick,
                            now,
                            &mut self.keys,
                            &mut out,
                        );
                        self.apply_actions(host_index, out);
                    }
                }
                self.flush_pending();
                last_tick = now;
            }
        }
        Ok(())
    }

    pub(super) fn handle_commands(&mut self) -> io::Result<()> {
        let _ = rustix::io::read(&self.waker, &mut [0u8; 8]);
        loop {
            let command = lock(&self.shared.commands).pop_front();
            match command {
                None => return Ok(()),
                Some(HostCommand::End) => self.is_ended = true,
                Some(HostCommand::Crash(host_index)) => self.stop_host(host_index),
                Some(HostCommand::Start(host_index)) if self.slots[host_index].is_down => {
                    self.slots[host_index].host.restart();
                    self.start_host(host_index)?;
                }
                Some(HostCommand::Start(_)) => {}
                Some(HostCommand::Drain(host_index)) => {
                    self.slots[host_index].host.drain();
                    let tokens: Vec<u64> = self
                        .connection_of_placer
                        .iter()
                        .filter(|((host, _), _)| *host == host_index)
                        .map(|(_, &token)| token)
                        .collect();
                    tokens
                        .into_iter()
                        .for_each(|token| self.send(token, Frame::Drain));
                }
                Some(HostCommand::SetFaults(host_index, faults)) => {
                    self.slots[host_index].host.set_faults(faults)
                }
                Some(HostCommand::SetReachable(host_index, reachable)) => {
                    self.set_reachable(host_index, reachable)
                }
                Some(HostCommand::ResetMidFrame(host_index)) => self.reset_mid_frame(host_index),
            }
        }
    }

    /// The connections to a host.
    pub(super) fn connections_of(&self, host_index: usize) -> Vec<u64> {
        self.connections
            .iter()
            .filter(|(_, connection)| connection.host_index == host_index)
            .map(|(&token, _)| token)
            .collect()
    }

    /// Resets the connections to a host in the middle of a frame.
    fn reset_mid_frame(&mut self, host_index: usize) {
        for token in self.connections_of(host_index) {
            self.flush(token);
            if let Some(connection) = self.connections.get_mut(&token) {
                let buffer = connection.conn.write_buffer();
                buffer.extend_from_slice(&INCOMPLETE_FRAME);
                let _ = connection.conn.flush(&self.poller);
            }
            self.close_connection(token, true);
        }
    }

    pub(super) fn start_host(&mut self, number: usize) -> io::Result<()> {
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
        lock(&self.shared.started_ms)[number] = started_ms;
        self.context.record(Observation::HostStarted {
            host: slot.host.spec.name.clone(),
            started_ms,
        });
        Ok(())
    }

    pub(super) fn stop_host(&mut self, number: usize) {
        let slot = &mut self.slots[number];
        if slot.is_down {
            return;
        }
        slot.is_down = true;
        slot.listener = None;
        slot.host.release_keys(&mut self.keys);
        slot.host.stop();
        lock(&self.shared.started_ms)[number] = 0;
        self.context.record(Observation::HostStopped {
            host: slot.host.spec.name.clone(),
        });
        for token in self.connections_of(number) {
            self.close_connection(token, true);
        }
    }

    pub(super) fn apply_actions(&mut self, number: usize, out: Vec<HostAction>) {
        for action in out {
            match action {
                HostAction::Send(placer, frame) => {
                    if let Some(&token) = self.connection_of_placer.get(&(number, placer)) {
                        self.send(token, frame);
                    }
                }
                HostAction::SetTimer(after, timer) => {
                    let due = self.context.clock.now() + after;
                    let timer = HostTimer {
                        host_index: number,
                        process_number: self.slots[number].process_number,
                        timer,
                    };
                    self.timers.schedule(due, timer);
                }
                HostAction::Crash => self.stop_host(number),
            }
        }
    }
}
