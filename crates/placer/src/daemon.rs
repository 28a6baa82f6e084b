//! The loop: sockets, signals and the inventory file in; the engine's outputs carried out.

use std::cell::Cell;
use std::collections::{BTreeSet, HashMap};
use std::io::{self, Write};
use std::net::TcpListener;
use std::rc::Rc;
use std::time::{Duration, Instant};

use maplethread::SettingsError;
use maplethread_config::{Document, Inventory, PlacerConfig};
use maplethread_consul::Update;
use maplethread_engine::{ClientId, Decide, Engine, HostId, Output, StartInfo};
use maplethread_reactor::{
    Clock, FileWatch, MAX_EVENTS_PER_WAIT, Poller, ReadOutcome, Readiness, Signals, TcpConnection,
};

use crate::consul_client::ConsulClient;
use crate::decision_time::{DecisionTimes, LoopTime, Phase, TimedDecider};
use crate::membership::MembershipSocket;
use crate::pending_writes::PendingWrites;
use crate::start::{Error, Options, io_error, load_config};
use crate::trace_queue::{RecordingDecider, TraceItem};
use crate::trace_recorder::Recorder;

const LISTENER_TOKEN: u64 = 0;
const SIGNALS_TOKEN: u64 = 1;
const INVENTORY_TOKEN: u64 = 2;
const MEMBERSHIP_TOKEN: u64 = 3;
const MEMBERSHIP_KEYS_TOKEN: u64 = 4;
const FIRST_CONNECTION_TOKEN: u64 = 16;

/// Bytes read from one connection in one round, so that a busy peer waits for the others.
const MAX_READ_BYTES_PER_ROUND: usize = 64 << 10;
/// Bytes of one connection that may wait to be understood.
const MAX_UNREAD_BYTES: usize = 128 << 10;
/// Rounds of reading before a decision; so much more after a time in which the process stood still.
const MAX_READ_ROUNDS: usize = 4;
const MAX_READ_ROUNDS_AFTER_STALL: usize = 256;
/// Reading ends after this, so that deadlines are met also while much lies unread, µs.
const MAX_READ_DURATION_US: u64 = 100_000;
/// A timer that falls due this late tells of a process that stood still, µs.
const MIN_STALL_US: u64 = 50_000;
/// A connection that is closed gets this long to take what it was sent, µs.
const LINGER_DURATION_US: u64 = 1_000_000;
/// Connections that linger at a time; beyond it they are cut.
const MAX_LINGERING: usize = 1024;
/// The longest inventory file.
const MAX_INVENTORY_BYTES: u64 = 16 << 20;

/// Runs a placer until it is told to stop. `decider` makes what decides from the settings and a seed.
pub fn run<D: Decide>(
    options: &Options,
    decider: impl FnOnce(&PlacerConfig, u64) -> Result<D, SettingsError>,
) -> Result<(), Error> {
    let config = load_config(&options.config_path)?;
    let clock = Clock::start();
    let started_ms = clock.now() / 1000;
    let seed = config
        .identity
        .seed
        .unwrap_or_else(|| clock.now() ^ (u64::from(std::process::id()) << 32));
    let decider = decider(&config, seed).map_err(Error::Settings)?;
    let listener = maplethread_reactor::listen(config.api.listen)
        .map_err(io_error(format!("{}", config.api.listen)))?;
    let deciding = Rc::new(Cell::new(Phase::default()));
    let recorder = Recorder::start(&config, seed, started_ms, decider.is_replayable())
        .map_err(io_error("thread of the trace"))?;
    // Recording is no part of the decision's time.
    let timed = TimedDecider {
        inner: decider,
        phase: deciding.clone(),
    };
    let recording = Rc::new(Cell::new(Phase::default()));
    let queue = recorder.as_ref().map(Recorder::queue);
    let decider = RecordingDecider {
        inner: timed,
        queue,
        phase: recording.clone(),
    };
    let deciding = [deciding, recording];
    let mut daemon = Daemon::new(
        config,
        decider,
        deciding,
        StartInfo { started_ms, seed },
        clock,
        listener,
    )?;
    if recorder.is_some() {
        daemon.engine.enable_audit_log();
        daemon.recorder = recorder;
    }
    daemon.load_inventory();
    daemon.serve()
}

struct ClientConnection {
    conn: TcpConnection,
    id: ClientId,
}

struct HostConnection {
    conn: TcpConnection,
    id: HostId,
}

struct Daemon<D> {
    engine: Engine<D>,
    clock: Clock,
    poller: Poller,
    signals: Signals,
    listener: Option<TcpListener>,
    is_accepting: bool,
    inventory_watch: Option<FileWatch>,
    consul: Option<ConsulClient>,
    membership: Option<MembershipSocket>,
    /// The placer's number, as the decisions know it.
    replica_index: Option<u32>,
    config: PlacerConfig,
    last_token: u64,
    clients: HashMap<u64, ClientConnection>,
    client_tokens: HashMap<ClientId, u64>,
    hosts: HashMap<u64, HostConnection>,
    host_tokens: HashMap<HostId, u64>,
    /// Closed by the engine, with what is still to be written and until when that may take.
    lingering: HashMap<u64, (TcpConnection, u64)>,
    /// Clients with bytes that the engine did not take yet.
    backlogged_clients: BTreeSet<u64>,
    /// Some of those may get on.
    has_retriable_backlog: bool,
    /// Connections with something new to write.
    pending_writes: PendingWrites,
    decision_times: DecisionTimes,
    loop_time: LoopTime,
    /// What deciding took, and recording.
    decider_phases: [Rc<Cell<Phase>>; 2],
    next_gauges_at: u64,
    stop_deadline: Option<u64>,
    recorder: Option<Recorder>,
}

impl<D: Decide> Daemon<D> {
    fn new(
        config: PlacerConfig,
        decider: D,
        deciding: [Rc<Cell<Phase>>; 2],
        boot: StartInfo,
        clock: Clock,
        listener: TcpListener,
    ) -> Result<Daemon<D>, Error> {
        let poller = Poller::new().map_err(io_error("epoll"))?;
        let signals = [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT];
        let signals = Signals::catch(&signals).map_err(io_error("signals"))?;
        signals
            .register(&poller, SIGNALS_TOKEN)
            .map_err(io_error("signals"))?;
        let watch = match &config.hosts.inventory {
            Some(path) => {
                let watch = FileWatch::new(path)
                    .map_err(io_error(format!("watching {}", path.display())))?;
                poller
                    .register(&watch, INVENTORY_TOKEN, false)
                    .map_err(io_error("inotify"))?;
                Some(watch)
            }
            None => None,
        };
        let catalogue = ConsulClient::new(&config, boot.seed)?;
        let boot_time = (boot.started_ms, boot.seed, clock.now());
        let fleet = MembershipSocket::new(
            &config,
            boot_time,
            &poller,
            (MEMBERSHIP_TOKEN, MEMBERSHIP_KEYS_TOKEN),
        )?;
        listener
            .set_nonblocking(true)
            .map_err(io_error("listener"))?;
        let now = clock.now();
        let mut daemon = Daemon {
            engine: Engine::new(config.clone(), decider, boot, now),
            clock,
            poller,
            signals,
            listener: Some(listener),
            is_accepting: false,
            inventory_watch: watch,
            consul: catalogue,
            membership: fleet,
            replica_index: Some(config.identity.replica_index),
            config,
            last_token: FIRST_CONNECTION_TOKEN,
            clients: HashMap::new(),
            client_tokens: HashMap::new(),
            hosts: HashMap::new(),
            host_tokens: HashMap::new(),
            lingering: HashMap::new(),
            backlogged_clients: BTreeSet::new(),
            has_retriable_backlog: false,
            pending_writes: PendingWrites::default(),
            decision_times: DecisionTimes::new(),
            loop_time: LoopTime::default(),
            decider_phases: deciding,
            next_gauges_at: 0,
            stop_deadline: None,
            recorder: None,
        };
        if daemon
            .config
            .consul
            .as_ref()
            .is_some_and(|c| c.membership.is_some())
        {
            daemon.engine.set_replica_index(None);
            daemon.replica_index = None;
        }
        Ok(daemon)
    }

    fn allocate_token(&mut self) -> u64 {
        self.last_token += 1;
        self.last_token
    }

    fn serve(&mut self) -> Result<(), Error> {
        let mut ready = Vec::new();
        let mut last_read = self.clock.now();
        loop {
            let before = self.clock.now();
            let due = self.next_timeout();
            let timeout = due.map(|at| Duration::from_micros(at.saturating_sub(before)));
            let timeout = if self.has_retriable_backlog {
                Some(Duration::ZERO)
            } else {
                timeout
            };
            ready.clear();
            self.poller
                .wait(timeout, &mut ready)
                .map_err(io_error("epoll"))?;
            let woke = self.clock.now();
            // It stood still while it waited, or since it last read: what lies unread may lie there since then.
            let overslept = due.is_some_and(|at| woke > at.max(before) + MIN_STALL_US);
            let stalled = overslept || before > last_read + MIN_STALL_US;
            let unread_since = if before > last_read + MIN_STALL_US {
                last_read
            } else {
                before
            };
            if stalled {
                tracing::warn!(ms = (woke - unread_since) / 1000, "stood still");
            }
            self.engine
                .set_unread_since(if stalled { unread_since } else { woke });
            last_read = self
                .read_ready(&mut ready, woke, stalled)?
                .unwrap_or(last_read);
            self.retry_backlogged_clients();
            let read = self.clock.now();
            // It may have stood still while it read, too: what has come since then is not heard yet.
            let stalled = stalled || read > woke + MAX_READ_DURATION_US + MIN_STALL_US;
            self.apply_consul_updates(stalled);
            self.record_audit_entries(read);
            self.engine.turn(read, stalled);
            self.record_audit_entries(read);
            let decided = self.clock.now();
            self.execute_outputs();
            if let Some(fleet) = &mut self.membership {
                fleet.tick(self.clock.now());
            }
            self.loop_time.read.add_micros(read - woke);
            self.loop_time.turn.add_micros(decided - read);
            let written = self.clock.now();
            self.loop_time.write.add_micros(written - decided);
            self.engine.record_round(woke, written);
            if !self.is_accepting && self.stop_deadline.is_none() && self.engine.is_ready() {
                self.start_accepting()?;
            }
            if self.is_done() {
                return Ok(());
            }
        }
    }

    /// Takes in what is ready, and what has come meanwhile; after a pause, all that came in it, so far as that is done soon.
    /// Returns the last time at which nothing was left unread.
    fn read_ready(
        &mut self,
        ready: &mut Vec<Readiness>,
        woke: u64,
        stalled: bool,
    ) -> Result<Option<u64>, Error> {
        let mut read_by = None;
        self.dispatch_readiness(ready);
        for _ in 1..if stalled {
            MAX_READ_ROUNDS_AFTER_STALL
        } else {
            MAX_READ_ROUNDS
        } {
            let looked_at = self.clock.now();
            ready.clear();
            self.poller
                .wait(Some(Duration::ZERO), ready)
                .map_err(io_error("epoll"))?;
            if ready.len() < MAX_EVENTS_PER_WAIT {
                read_by = Some(looked_at);
            }
            self.dispatch_readiness(ready);
            let enough = read_by.is_some() || looked_at > woke + MAX_READ_DURATION_US;
            if ready.is_empty() || (stalled && enough) {
                break;
            }
        }
        Ok(read_by)
    }

    /// Gives the recorder what the engine has noted.
    fn record_audit_entries(&mut self, now: u64) {
        let Some(recorder) = &self.recorder else {
            return;
        };
        let from = Instant::now();
        let queue = recorder.queue();
        self.engine
            .take_audit_entries()
            .into_iter()
            .for_each(|note| queue.push(now, TraceItem::AuditEntry(note)));
        let mut spent = self.decider_phases[1].get();
        spent.add_nanos(from.elapsed().as_nanos() as u64);
        self.decider_phases[1].set(spent);
    }

    /// Lets the catalogue do what is due, and gives what is new to the engine.
    fn apply_consul_updates(&mut self, stalled: bool) {
        let Some(catalogue) = &mut self.consul else {
            return;
        };
        let now = self.clock.now();
        if stalled {
            catalogue.source.catch_up(now);
        }
        for update in catalogue.tick(now, &self.poller, &mut self.last_token) {
            match update {
                Update::Hosts(hosts) => {
                    tracing::info!(hosts = hosts.len(), "news of the catalogue");
                    self.engine.apply_host_changes(now, &hosts);
                }
                Update::Slot(slot) => {
                    self.replica_index = slot;
                    self.engine.set_replica_index(slot);
                }
            }
        }
        if self.is_accepting {
            self.loop_time.discovery.add_micros(self.clock.now() - now);
        }
    }

    fn next_timeout(&self) -> Option<u64> {
        let catalogue = self
            .consul
            .as_ref()
            .and_then(|c| c.next_timeout(self.clock.now()));
        let linger = self.lingering.values().map(|l| l.1).min();
        let fleet = self
            .membership
            .as_ref()
            .and_then(MembershipSocket::next_timeout);
        [
            self.engine.next_timeout(),
            catalogue,
            linger,
            fleet,
            self.stop_deadline,
        ]
        .into_iter()
        .flatten()
        .min()
    }

    fn start_accepting(&mut self) -> Result<(), Error> {
        let Some(listener) = &self.listener else {
            return Ok(());
        };
        self.is_accepting = true;
        self.poller
            .register(listener, LISTENER_TOKEN, false)
            .map_err(io_error("listener"))?;
        let address = listener.local_addr().map_err(io_error("listener"))?;
        tracing::info!(placer = %self.config.identity.name, %address, "listening");
        if let Some(catalogue) = &mut self.consul {
            catalogue
                .source
                .set_registration(&self.config.identity.name, address);
        }
        let mut out = io::stdout().lock();
        let _ = writeln!(
            out,
            "maplethread placer {} listening on {address}",
            self.config.identity.name
        );
        let _ = out.flush();
        Ok(())
    }

    fn is_done(&self) -> bool {
        let Some(by) = self.stop_deadline else {
            return false;
        };
        let written = self.clients.values().all(|c| c.conn.unwritten_bytes() == 0);
        (self.engine.pending_requests() == 0 && written) || self.clock.now() >= by
    }

    fn begin_shutdown(&mut self, signal: i32) {
        if self.stop_deadline.is_some() {
            tracing::warn!(signal, "told to stop again; leaving at once");
            self.stop_deadline = Some(0);
            return;
        }
        tracing::info!(
            signal,
            open = self.engine.pending_requests(),
            "told to stop; answering what is out"
        );
        if let Some(listener) = self.listener.take()
            && self.is_accepting
        {
            let _ = self.poller.deregister(&listener);
        }
        self.engine.stop_accepting();
        if let Some(fleet) = &mut self.membership {
            fleet.leave(self.clock.now());
        }
        self.stop_deadline = Some(self.clock.now() + self.config.api.shutdown_grace_ms * 1000);
    }

    fn dispatch_readiness(&mut self, ready: &[Readiness]) {
        for r in ready {
            match r.token {
                LISTENER_TOKEN => self.accept_clients(),
                SIGNALS_TOKEN => self
                    .signals
                    .take_received()
                    .into_iter()
                    .for_each(|signal| self.begin_shutdown(signal)),
                INVENTORY_TOKEN => {
                    if self
                        .inventory_watch
                        .as_mut()
                        .is_some_and(FileWatch::has_changed)
                    {
                        self.load_inventory();
                    }
                }
                MEMBERSHIP_TOKEN => {
                    if let Some(fleet) = &mut self.membership {
                        fleet.read_datagrams(self.clock.now());
                    }
                }
                MEMBERSHIP_KEYS_TOKEN => {
                    if let Some(fleet) = &mut self.membership {
                        fleet.reload_keys();
                    }
                }
                token if self.hosts.contains_key(&token) => self.on_host_ready(token, r),
                token if self.consul.as_ref().is_some_and(|c| c.owns_token(token)) => {
                    let now = self.clock.now();
                    if let Some(catalogue) = &mut self.consul {
                        catalogue.on_ready(now, token, r, &self.poller);
                    }
                }
                token if self.clients.contains_key(&token) => self.on_client_ready(token, r),
                token => self.on_lingering_ready(token, r),
            }
        }
    }

    fn load_inventory(&mut self) {
        let Some(path) = self.inventory_watch.as_ref().map(|w| w.path().to_owned()) else {
            return;
        };
        let file = path.display().to_string();
        let long = std::fs::metadata(&path).is_ok_and(|m| m.len() > MAX_INVENTORY_BYTES);
        let text = if long {
            Err(io::Error::new(io::ErrorKind::FileTooLarge, "over 16 MiB"))
        } else {
            std::fs::read_to_string(&path)
        };
        let text = match text {
            Ok(text) => text,
            Err(e) => {
                tracing::error!(%file, error = %e, "inventory can't be read; the last good list is kept");
                return;
            }
        };
        match Inventory::parse(
            Document {
                file: &file,
                text: &text,
            },
            &self.config,
        ) {
            Ok(inventory) => {
                tracing::info!(%file, hosts = inventory.hosts.len(), "inventory read");
                self.engine.apply_inventory(self.clock.now(), &inventory);
            }
            Err(e) => tracing::error!(error = %e, "bad inventory; the last good list is kept"),
        }
    }

    fn accept_clients(&mut self) {
        for _ in 0..64 {
            let Some(listener) = &self.listener else {
                return;
            };
            match listener.accept() {
                Ok((stream, _)) => {
                    let token = self.allocate_token();
                    let id = ClientId(token);
                    match TcpConnection::from_accepted(stream, token, &self.poller) {
                        Ok(conn) => {
                            self.clients.insert(token, ClientConnection { conn, id });
                            self.client_tokens.insert(id, token);
                            self.engine.client_opened(self.clock.now(), id);
                        }
                        Err(e) => tracing::warn!(error = %e, "a connection could not be taken"),
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e) => {
                    // Too many open files, most likely: those waiting stay in the kernel's queue.
                    tracing::warn!(error = %e, "accept");
                    return;
                }
            }
        }
    }

    fn on_client_ready(&mut self, token: u64, r: &Readiness) {
        let now = self.clock.now();
        let Some(client) = self.clients.get_mut(&token) else {
            return;
        };
        if r.is_writable {
            self.pending_writes.insert(token);
        }
        if !r.is_readable {
            return;
        }
        let id = client.id;
        let outcome = client
            .conn
            .read_available(MAX_READ_BYTES_PER_ROUND, MAX_UNREAD_BYTES);
        let used = self.engine.client_bytes(now, id, client.conn.unread());
        client.conn.consume(used);
        let full = client.conn.unread().len() >= MAX_UNREAD_BYTES;
        if !client.conn.unread().is_empty() {
            self.backlogged_clients.insert(token);
            self.has_retriable_backlog |= used > 0;
        }
        if full {
            let _ = client.conn.set_reading(false, &self.poller);
        }
        let gone =
            matches!(outcome, ReadOutcome::Closed | ReadOutcome::Failed) || (full && r.is_closed);
        if gone {
            self.engine.client_closed(now, id);
            self.remove_client(token);
        }
    }

    /// Bytes that the engine left, while a client had too many requests in hand, are offered to it again.
    fn retry_backlogged_clients(&mut self) {
        let now = self.clock.now();
        if !std::mem::take(&mut self.has_retriable_backlog) {
            return;
        }
        for token in std::mem::take(&mut self.backlogged_clients) {
            let Some(client) = self.clients.get_mut(&token) else {
                continue;
            };
            let used = self
                .engine
                .client_bytes(now, client.id, client.conn.unread());
            client.conn.consume(used);
            self.has_retriable_backlog |= used > 0;
            if !client.conn.unread().is_empty() {
                self.backlogged_clients.insert(token);
            }
            if !client.conn.is_reading() && client.conn.unread().len() < MAX_UNREAD_BYTES {
                let _ = client.conn.set_reading(true, &self.poller);
            }
        }
    }

    fn remove_client(&mut self, token: u64) {
        self.backlogged_clients.remove(&token);
        if let Some(client) = self.clients.remove(&token) {
            self.client_tokens.remove(&client.id);
        }
    }

    fn on_host_ready(&mut self, token: u64, r: &Readiness) {
        let now = self.clock.now();
        let Some(host) = self.hosts.get_mut(&token) else {
            return;
        };
        let id = host.id;
        if host.conn.is_connecting() {
            if !r.is_writable && !r.is_closed {
                return;
            }
            if let Err(e) = host.conn.finish_connect() {
                tracing::debug!(host = id.0, error = %e, "not connected");
                self.remove_host(token);
                return;
            }
            self.pending_writes.insert(token);
            self.engine.host_connected(now, id);
        }
        if r.is_writable {
            self.pending_writes.insert(token);
        }
        if r.is_readable {
            let outcome = host
                .conn
                .read_available(MAX_READ_BYTES_PER_ROUND, MAX_UNREAD_BYTES);
            let used = self.engine.host_bytes(now, id, host.conn.unread());
            host.conn.consume(used);
            if matches!(outcome, ReadOutcome::Closed | ReadOutcome::Failed) {
                self.remove_host(token);
            }
        }
    }

    fn remove_host(&mut self, token: u64) {
        if let Some(host) = self.hosts.remove(&token)
            && self.host_tokens.get(&host.id) == Some(&token)
        {
            self.host_tokens.remove(&host.id);
            self.engine
                .host_closed(self.clock.now(), host.id, host.conn.written_bytes());
        }
    }

    fn on_lingering_ready(&mut self, token: u64, r: &Readiness) {
        let Some((conn, _)) = self.lingering.get_mut(&token) else {
            return;
        };
        if conn.flush(&self.poller).is_err() {
            self.lingering.remove(&token);
            return;
        }
        if conn.unwritten_bytes() == 0 {
            conn.shutdown_write();
        }
        if r.is_readable {
            let outcome = conn.read_available(MAX_READ_BYTES_PER_ROUND, MAX_UNREAD_BYTES);
            conn.consume(MAX_UNREAD_BYTES);
            if matches!(outcome, ReadOutcome::Closed | ReadOutcome::Failed) {
                self.lingering.remove(&token);
            }
        }
    }

    fn execute_outputs(&mut self) {
        // Carrying out may give rise to more, such as a connection that can't be made.
        for _ in 0..8 {
            let outputs = self.engine.take_outputs();
            if outputs.is_empty() {
                break;
            }
            outputs
                .into_iter()
                .for_each(|output| self.execute_output(output));
        }
        for token in self.pending_writes.take() {
            self.flush_connection(token);
        }
        let now = self.clock.now();
        for read in self.engine.take_decided_arrivals() {
            self.decision_times.record(now.saturating_sub(read));
        }
        if now >= self.next_gauges_at {
            self.next_gauges_at = now + 250_000;
            (self.loop_time.decide, self.loop_time.record) =
                (self.decider_phases[0].get(), self.decider_phases[1].get());
            let mut gauges = self.decision_times.to_json(&self.loop_time);
            if let Some(catalogue) = &self.consul {
                gauges["catalogue"] = serde_json::json!(catalogue.source.report(now));
            }
            self.engine.set_gauges(gauges);
            if let Some(fleet) = self
                .membership
                .as_mut()
                .filter(|_| self.stop_deadline.is_none())
            {
                let load = self.engine.pending_requests() as f64
                    / self.config.api.max_pending_requests as f64;
                fleet.announce(now, false, self.replica_index, load);
            }
        }
        self.lingering.retain(|_, (_, until)| *until > now);
    }

    fn execute_output(&mut self, output: Output) {
        match output {
            Output::ToClient(id, bytes) => {
                if let Some(&token) = self.client_tokens.get(&id)
                    && let Some(client) = self.clients.get_mut(&token)
                {
                    client.conn.write_buffer().extend_from_slice(&bytes);
                    self.pending_writes.insert(token);
                }
            }
            Output::CloseClient(id) => {
                let Some(token) = self.client_tokens.get(&id).copied() else {
                    return;
                };
                self.backlogged_clients.remove(&token);
                self.client_tokens.remove(&id);
                let Some(mut client) = self.clients.remove(&token) else {
                    return;
                };
                let flushed = client.conn.flush(&self.poller);
                let stuck = client.conn.unwritten_bytes() > self.config.api.max_unsent_bytes;
                if flushed.is_err() || stuck || self.lingering.len() >= MAX_LINGERING {
                    client.conn.reset();
                    return;
                }
                if client.conn.unwritten_bytes() == 0 {
                    client.conn.shutdown_write();
                }
                let _ = client.conn.set_reading(true, &self.poller);
                self.lingering
                    .insert(token, (client.conn, self.clock.now() + LINGER_DURATION_US));
            }
            Output::ToHost(id, bytes) => {
                if let Some(&token) = self.host_tokens.get(&id)
                    && let Some(host) = self.hosts.get_mut(&token)
                {
                    host.conn.write_buffer().extend_from_slice(&bytes);
                    self.pending_writes.insert(token);
                }
            }
            Output::Connect(id, address) => {
                let token = self.allocate_token();
                match TcpConnection::connect(address, token, &self.poller) {
                    Ok(conn) => {
                        self.hosts.insert(token, HostConnection { conn, id });
                        self.host_tokens.insert(id, token);
                    }
                    Err(e) => {
                        tracing::debug!(host = id.0, %address, error = %e, "not connected");
                        self.engine.host_closed(self.clock.now(), id, 0);
                    }
                }
            }
            Output::FetchMembership(id, slot, after) => {
                let now = self.clock.now();
                let view = self
                    .membership
                    .as_ref()
                    .map(|fleet| fleet.view_json(now, after));
                self.engine.answer_membership(id, slot, view.as_ref());
            }
            Output::CloseHost(id) => {
                if let Some(token) = self.host_tokens.remove(&id) {
                    self.pending_writes.remove(token);
                    self.hosts.remove(&token);
                }
            }
        }
    }

    fn flush_connection(&mut self, token: u64) {
        if let Some(host) = self.hosts.get_mut(&token) {
            let (id, result) = (host.id, host.conn.flush(&self.poller));
            self.engine.host_written(id, host.conn.written_bytes());
            if result.is_err() {
                self.remove_host(token);
            }
        } else if let Some(client) = self.clients.get_mut(&token) {
            let (id, result) = (client.id, client.conn.flush(&self.poller));
            self.engine.client_unread(id, client.conn.unwritten_bytes());
            self.has_retriable_backlog |= self.backlogged_clients.contains(&token);
            if result.is_err() {
                self.engine.client_closed(self.clock.now(), id);
                self.remove_client(token);
            }
        }
    }
}
