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

use crate::catalogue::ConsulClient;
use crate::decide_time::{DecideTime, Span, Spent, Timed};
use crate::dirty::Dirty;
use crate::fleet::Member;
use crate::recorder::Recorder;
use crate::recording::{Item, Recorded};
use crate::start::{Error, Options, io_error, load_config};

const LISTENER: u64 = 0;
const SIGNALS: u64 = 1;
const INVENTORY: u64 = 2;
const FLEET: u64 = 3;
const FLEET_KEYS: u64 = 4;
const FIRST: u64 = 16;

/// Bytes read from one connection in one round, so that a busy peer waits for the others.
const READ_ROUND: usize = 64 << 10;
/// Bytes of one connection that may wait to be understood.
const READ_MOST: usize = 128 << 10;
/// Rounds of reading before a decision; so much more after a time in which the process stood still.
const ROUNDS: usize = 4;
const ROUNDS_STALLED: usize = 256;
/// Reading ends after this, so that deadlines are met also while much lies unread, µs.
const READ_WITHIN: u64 = 100_000;
/// A timer that falls due this late tells of a process that stood still, µs.
const STALLED: u64 = 50_000;
/// A connection that is closed gets this long to take what it was sent, µs.
const LINGER: u64 = 1_000_000;
/// Connections that linger at a time; beyond it they are cut.
const MOST_LINGERING: usize = 1024;
/// The longest inventory file.
const INVENTORY_BYTES: u64 = 16 << 20;

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
    let deciding = Rc::new(Cell::new(Span::default()));
    let recorder = Recorder::start(&config, seed, started_ms, decider.is_module())
        .map_err(io_error("thread of the trace"))?;
    // Recording is no part of the decision's time.
    let timed = Timed {
        inner: decider,
        phase: deciding.clone(),
    };
    let recording = Rc::new(Cell::new(Span::default()));
    let queue = recorder.as_ref().map(Recorder::queue);
    let decider = Recorded {
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
    daemon.read_inventory();
    daemon.serve()
}

struct ClientConn {
    conn: TcpConnection,
    id: ClientId,
}

struct HostConn {
    conn: TcpConnection,
    id: HostId,
}

struct Daemon<D> {
    engine: Engine<D>,
    clock: Clock,
    poller: Poller,
    signals: Signals,
    listener: Option<TcpListener>,
    accepting: bool,
    inventory_watch: Option<FileWatch>,
    consul: Option<ConsulClient>,
    membership: Option<Member>,
    /// The placer's number, as the decisions know it.
    replica_index: Option<u32>,
    config: PlacerConfig,
    next_token: u64,
    clients: HashMap<u64, ClientConn>,
    client_tokens: HashMap<ClientId, u64>,
    hosts: HashMap<u64, HostConn>,
    host_tokens: HashMap<HostId, u64>,
    /// Closed by the engine, with what is still to be written and until when that may take.
    lingering: HashMap<u64, (TcpConnection, u64)>,
    /// Clients with bytes that the engine did not take yet.
    stuffed: BTreeSet<u64>,
    /// Some of those may get on.
    has_retriable_backlog: bool,
    /// Connections with something new to write.
    pending_writes: Dirty,
    decide_time: DecideTime,
    loop_time: Spent,
    /// What deciding took, and recording.
    decider_phases: [Rc<Cell<Span>>; 2],
    gauges_at: u64,
    stop_by: Option<u64>,
    recorder: Option<Recorder>,
}

impl<D: Decide> Daemon<D> {
    fn new(
        config: PlacerConfig,
        decider: D,
        deciding: [Rc<Cell<Span>>; 2],
        boot: StartInfo,
        clock: Clock,
        listener: TcpListener,
    ) -> Result<Daemon<D>, Error> {
        let poller = Poller::new().map_err(io_error("epoll"))?;
        let signals = [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT];
        let signals = Signals::catch(&signals).map_err(io_error("signals"))?;
        signals
            .register(&poller, SIGNALS)
            .map_err(io_error("signals"))?;
        let watch = match &config.hosts.inventory {
            Some(path) => {
                let watch = FileWatch::new(path)
                    .map_err(io_error(format!("watching {}", path.display())))?;
                poller
                    .register(&watch, INVENTORY, false)
                    .map_err(io_error("inotify"))?;
                Some(watch)
            }
            None => None,
        };
        let catalogue = ConsulClient::new(&config, boot.seed)?;
        let boot_time = (boot.started_ms, boot.seed, clock.now());
        let fleet = Member::new(&config, boot_time, &poller, (FLEET, FLEET_KEYS))?;
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
            accepting: false,
            inventory_watch: watch,
            consul: catalogue,
            membership: fleet,
            replica_index: Some(config.identity.replica_index),
            config,
            next_token: FIRST,
            clients: HashMap::new(),
            client_tokens: HashMap::new(),
            hosts: HashMap::new(),
            host_tokens: HashMap::new(),
            lingering: HashMap::new(),
            stuffed: BTreeSet::new(),
            has_retriable_backlog: false,
            pending_writes: Dirty::default(),
            decide_time: DecideTime::new(),
            loop_time: Spent::default(),
            decider_phases: deciding,
            gauges_at: 0,
            stop_by: None,
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

    fn token(&mut self) -> u64 {
        self.next_token += 1;
        self.next_token
    }

    fn serve(&mut self) -> Result<(), Error> {
        let mut ready = Vec::new();
        let mut last_read = self.clock.now();
        loop {
            let before = self.clock.now();
            let due = self.next_due();
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
            let overslept = due.is_some_and(|at| woke > at.max(before) + STALLED);
            let stalled = overslept || before > last_read + STALLED;
            let unread_since = if before > last_read + STALLED {
                last_read
            } else {
                before
            };
            if stalled {
                tracing::warn!(ms = (woke - unread_since) / 1000, "stood still");
            }
            self.engine
                .set_unread_since(if stalled { unread_since } else { woke });
            last_read = self.read(&mut ready, woke, stalled)?.unwrap_or(last_read);
            self.feed_stuffed();
            let read = self.clock.now();
            // It may have stood still while it read, too: what has come since then is not heard yet.
            let stalled = stalled || read > woke + READ_WITHIN + STALLED;
            self.look_up(stalled);
            self.keep_notes(read);
            self.engine.turn(read, stalled);
            self.keep_notes(read);
            let decided = self.clock.now();
            self.carry_out();
            if let Some(fleet) = &mut self.membership {
                fleet.tick(self.clock.now());
            }
            self.loop_time.read.add_micros(read - woke);
            self.loop_time.turn.add_micros(decided - read);
            let written = self.clock.now();
            self.loop_time.write.add_micros(written - decided);
            self.engine.record_round(woke, written);
            if !self.accepting && self.stop_by.is_none() && self.engine.is_ready() {
                self.accept_from_now()?;
            }
            if self.done() {
                return Ok(());
            }
        }
    }

    /// Takes in what is ready, and what has come meanwhile; after a pause, all that came in it, so far as that is done soon.
    /// Returns the last time at which nothing was left unread.
    fn read(
        &mut self,
        ready: &mut Vec<Readiness>,
        woke: u64,
        stalled: bool,
    ) -> Result<Option<u64>, Error> {
        let mut read_by = None;
        self.take_in(ready);
        for _ in 1..if stalled { ROUNDS_STALLED } else { ROUNDS } {
            let looked_at = self.clock.now();
            ready.clear();
            self.poller
                .wait(Some(Duration::ZERO), ready)
                .map_err(io_error("epoll"))?;
            if ready.len() < MAX_EVENTS_PER_WAIT {
                read_by = Some(looked_at);
            }
            self.take_in(ready);
            let enough = read_by.is_some() || looked_at > woke + READ_WITHIN;
            if ready.is_empty() || (stalled && enough) {
                break;
            }
        }
        Ok(read_by)
    }

    /// Gives the recorder what the engine has noted.
    fn keep_notes(&mut self, now: u64) {
        let Some(recorder) = &self.recorder else {
            return;
        };
        let from = Instant::now();
        let queue = recorder.queue();
        self.engine
            .take_audit_entries()
            .into_iter()
            .for_each(|note| queue.push(now, Item::AuditEntry(note)));
        let mut spent = self.decider_phases[1].get();
        spent.add_nanos(from.elapsed().as_nanos() as u64);
        self.decider_phases[1].set(spent);
    }

    /// Lets the catalogue do what is due, and gives what is new to the engine.
    fn look_up(&mut self, stalled: bool) {
        let Some(catalogue) = &mut self.consul else {
            return;
        };
        let now = self.clock.now();
        if stalled {
            catalogue.source.catch_up(now);
        }
        for update in catalogue.tick(now, &self.poller, &mut self.next_token) {
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
        if self.accepting {
            self.loop_time.discovery.add_micros(self.clock.now() - now);
        }
    }

    fn next_due(&self) -> Option<u64> {
        let catalogue = self
            .consul
            .as_ref()
            .and_then(|c| c.next_timeout(self.clock.now()));
        let linger = self.lingering.values().map(|l| l.1).min();
        let fleet = self.membership.as_ref().and_then(Member::next_timeout);
        [
            self.engine.next_timeout(),
            catalogue,
            linger,
            fleet,
            self.stop_by,
        ]
        .into_iter()
        .flatten()
        .min()
    }

    fn accept_from_now(&mut self) -> Result<(), Error> {
        let Some(listener) = &self.listener else {
            return Ok(());
        };
        self.accepting = true;
        self.poller
            .register(listener, LISTENER, false)
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

    fn done(&self) -> bool {
        let Some(by) = self.stop_by else { return false };
        let written = self.clients.values().all(|c| c.conn.unwritten_bytes() == 0);
        (self.engine.pending_requests() == 0 && written) || self.clock.now() >= by
    }

    fn stop(&mut self, signal: i32) {
        if self.stop_by.is_some() {
            tracing::warn!(signal, "told to stop again; leaving at once");
            self.stop_by = Some(0);
            return;
        }
        tracing::info!(
            signal,
            open = self.engine.pending_requests(),
            "told to stop; answering what is out"
        );
        if let Some(listener) = self.listener.take()
            && self.accepting
        {
            let _ = self.poller.deregister(&listener);
        }
        self.engine.stop_accepting();
        if let Some(fleet) = &mut self.membership {
            fleet.leave(self.clock.now());
        }
        self.stop_by = Some(self.clock.now() + self.config.api.shutdown_grace_ms * 1000);
    }

    fn take_in(&mut self, ready: &[Readiness]) {
        for r in ready {
            match r.token {
                LISTENER => self.accept(),
                SIGNALS => self
                    .signals
                    .take_received()
                    .into_iter()
                    .for_each(|signal| self.stop(signal)),
                INVENTORY => {
                    if self
                        .inventory_watch
                        .as_mut()
                        .is_some_and(FileWatch::has_changed)
                    {
                        self.read_inventory();
                    }
                }
                FLEET => {
                    if let Some(fleet) = &mut self.membership {
                        fleet.read(self.clock.now());
                    }
                }
                FLEET_KEYS => {
                    if let Some(fleet) = &mut self.membership {
                        fleet.keys_changed();
                    }
                }
                token if self.hosts.contains_key(&token) => self.host_ready(token, r),
                token if self.consul.as_ref().is_some_and(|c| c.owns_token(token)) => {
                    let now = self.clock.now();
                    if let Some(catalogue) = &mut self.consul {
                        catalogue.on_ready(now, token, r, &self.poller);
                    }
                }
                token if self.clients.contains_key(&token) => self.client_ready(token, r),
                token => self.linger_ready(token, r),
            }
        }
    }

    fn read_inventory(&mut self) {
        let Some(path) = self.inventory_watch.as_ref().map(|w| w.path().to_owned()) else {
            return;
        };
        let file = path.display().to_string();
        let long = std::fs::metadata(&path).is_ok_and(|m| m.len() > INVENTORY_BYTES);
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

    fn accept(&mut self) {
        for _ in 0..64 {
            let Some(listener) = &self.listener else {
                return;
            };
            match listener.accept() {
                Ok((stream, _)) => {
                    let token = self.token();
                    let id = ClientId(token);
                    match TcpConnection::from_accepted(stream, token, &self.poller) {
                        Ok(conn) => {
                            self.clients.insert(token, ClientConn { conn, id });
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

    fn client_ready(&mut self, token: u64, r: &Readiness) {
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
        let outcome = client.conn.read_available(READ_ROUND, READ_MOST);
        let used = self.engine.client_bytes(now, id, client.conn.unread());
        client.conn.consume(used);
        let full = client.conn.unread().len() >= READ_MOST;
        if !client.conn.unread().is_empty() {
            self.stuffed.insert(token);
            self.has_retriable_backlog |= used > 0;
        }
        if full {
            let _ = client.conn.set_reading(false, &self.poller);
        }
        let gone =
            matches!(outcome, ReadOutcome::Closed | ReadOutcome::Failed) || (full && r.is_closed);
        if gone {
            self.engine.client_closed(now, id);
            self.drop_client(token);
        }
    }

    /// Bytes that the engine left, while a client had too many requests in hand, are offered to it again.
    fn feed_stuffed(&mut self) {
        let now = self.clock.now();
        if !std::mem::take(&mut self.has_retriable_backlog) {
            return;
        }
        for token in std::mem::take(&mut self.stuffed) {
            let Some(client) = self.clients.get_mut(&token) else {
                continue;
            };
            let used = self
                .engine
                .client_bytes(now, client.id, client.conn.unread());
            client.conn.consume(used);
            self.has_retriable_backlog |= used > 0;
            if !client.conn.unread().is_empty() {
                self.stuffed.insert(token);
            }
            if !client.conn.is_reading() && client.conn.unread().len() < READ_MOST {
                let _ = client.conn.set_reading(true, &self.poller);
            }
        }
    }

    fn drop_client(&mut self, token: u64) {
        self.stuffed.remove(&token);
        if let Some(client) = self.clients.remove(&token) {
            self.client_tokens.remove(&client.id);
        }
    }

    fn host_ready(&mut self, token: u64, r: &Readiness) {
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
                self.lose_host(token);
                return;
            }
            self.pending_writes.insert(token);
            self.engine.host_connected(now, id);
        }
        if r.is_writable {
            self.pending_writes.insert(token);
        }
        if r.is_readable {
            let outcome = host.conn.read_available(READ_ROUND, READ_MOST);
            let used = self.engine.host_bytes(now, id, host.conn.unread());
            host.conn.consume(used);
            if matches!(outcome, ReadOutcome::Closed | ReadOutcome::Failed) {
                self.lose_host(token);
            }
        }
    }

    fn lose_host(&mut self, token: u64) {
        if let Some(host) = self.hosts.remove(&token)
            && self.host_tokens.get(&host.id) == Some(&token)
        {
            self.host_tokens.remove(&host.id);
            self.engine
                .host_closed(self.clock.now(), host.id, host.conn.written_bytes());
        }
    }

    fn linger_ready(&mut self, token: u64, r: &Readiness) {
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
            let outcome = conn.read_available(READ_ROUND, READ_MOST);
            conn.consume(READ_MOST);
            if matches!(outcome, ReadOutcome::Closed | ReadOutcome::Failed) {
                self.lingering.remove(&token);
            }
        }
    }

    fn carry_out(&mut self) {
        // Carrying out may give rise to more, such as a connection that can't be made.
        for _ in 0..8 {
            let outputs = self.engine.take_outputs();
            if outputs.is_empty() {
                break;
            }
            outputs.into_iter().for_each(|output| self.output(output));
        }
        for token in self.pending_writes.take() {
            self.flush(token);
        }
        let now = self.clock.now();
        for read in self.engine.take_decided_arrivals() {
            self.decide_time.record(now.saturating_sub(read));
        }
        if now >= self.gauges_at {
            self.gauges_at = now + 250_000;
            (self.loop_time.decide, self.loop_time.record) =
                (self.decider_phases[0].get(), self.decider_phases[1].get());
            let mut gauges = self.decide_time.json_with(&self.loop_time);
            if let Some(catalogue) = &self.consul {
                gauges["catalogue"] = serde_json::json!(catalogue.source.report(now));
            }
            self.engine.set_gauges(gauges);
            if let Some(fleet) = self.membership.as_mut().filter(|_| self.stop_by.is_none()) {
                let load = self.engine.pending_requests() as f64
                    / self.config.api.max_pending_requests as f64;
                fleet.says(now, false, self.replica_index, load);
            }
        }
        self.lingering.retain(|_, (_, until)| *until > now);
    }

    fn output(&mut self, output: Output) {
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
                self.stuffed.remove(&token);
                self.client_tokens.remove(&id);
                let Some(mut client) = self.clients.remove(&token) else {
                    return;
                };
                let flushed = client.conn.flush(&self.poller);
                let stuck = client.conn.unwritten_bytes() > self.config.api.max_unsent_bytes;
                if flushed.is_err() || stuck || self.lingering.len() >= MOST_LINGERING {
                    client.conn.reset();
                    return;
                }
                if client.conn.unwritten_bytes() == 0 {
                    client.conn.shutdown_write();
                }
                let _ = client.conn.set_reading(true, &self.poller);
                self.lingering
                    .insert(token, (client.conn, self.clock.now() + LINGER));
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
                let token = self.token();
                match TcpConnection::connect(address, token, &self.poller) {
                    Ok(conn) => {
                        self.hosts.insert(token, HostConn { conn, id });
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
                    .map(|fleet| fleet.answer(now, after));
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

    fn flush(&mut self, token: u64) {
        if let Some(host) = self.hosts.get_mut(&token) {
            let (id, result) = (host.id, host.conn.flush(&self.poller));
            self.engine.host_written(id, host.conn.written_bytes());
            if result.is_err() {
                self.lose_host(token);
            }
        } else if let Some(client) = self.clients.get_mut(&token) {
            let (id, result) = (client.id, client.conn.flush(&self.poller));
            self.engine.client_unread(id, client.conn.unwritten_bytes());
            self.has_retriable_backlog |= self.stuffed.contains(&token);
            if result.is_err() {
                self.engine.client_closed(self.clock.now(), id);
                self.drop_client(token);
            }
        }
    }
}
