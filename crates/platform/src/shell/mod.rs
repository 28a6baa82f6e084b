//! The loop: sockets and signals in; what the engine and the channel want carried out.

mod hosts;
mod owners;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io;
use std::path::{Path, PathBuf};

use maplethread::{Micros, Placer};
use maplethread_platform_wire::MAX_MESSAGE_BYTES;
use maplethread_reactor::{
    Backlog, EventLoop, Listener, ReadOutcome, Readiness, ResourceError, TcpConnection,
    is_resource_exhausted,
};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

use crate::channel_poll::{ChannelAction, ChannelPoll};
use crate::engine::{ConnectionId, Engine, Output, OwnerId};
use crate::shutdown::ShutdownSchedule;
use crate::startup::{ConfigError, StartError, decode_settings, load_config};
use owners::{LingeringConnection, OwnerConnection};

const LISTENER_TOKEN: u64 = 0;
const SIGNALS_TOKEN: u64 = 1;
/// The lowest bits of a token tell what it belongs to, the others which one.
const OWNER_KIND: u64 = 2;
const HOST_KIND: u64 = 3;
const CHANNEL_KIND: u64 = 1;
const KIND_BITS: u32 = 2;

/// Bytes of one connection that may wait to be understood.
const MAX_UNREAD_BYTES: usize = 64 << 10;
/// Bytes of the channel read in one round: a list of all hosts is long.
const CHANNEL_READ_BYTES: usize = 256 << 10;
/// Rounds of reading before a decision.
const MAX_READ_ROUNDS: usize = 4;
/// A new configuration that can't be read is read again after this, so often: the old channel is kept for 1.5 s after
/// SIGHUP (PROTOCOL's days).
const RELOAD_RETRY_DELAY: Micros = 100_000;
const MAX_RELOAD_RETRIES: u32 = 10;
/// Descriptors that are not for owners or hosts: standard ones, listener, epoll, signals, channel, files.
const RESERVED_DESCRIPTORS: usize = 16;
/// Descriptions that are held at a time may take this part of the memory.
const MEMORY_DIVISOR: usize = 8;

/// Runs the placer that `config` describes until it is told to end.
pub fn run(config: &Path) -> Result<(), StartError> {
    let (settings, listen) = load_config(config)?;
    let (decisions, terms) = decode_settings(&settings.settings)
        .map_err(|error| ConfigError::from(error).in_file(config))?;
    let placer = Placer::new(decisions.clone(), settings.seed)
        .map_err(|error| ConfigError::from(error).in_file(config))?;
    let shutdown = ShutdownSchedule::new(terms.max_deadline);
    let mut engine = Engine::new(terms, &decisions, placer);
    let memory = (settings.limits.memory_mb.clamp(8.0, 65_536.0) as usize) << 20;
    engine.set_max_description_bytes(memory / MEMORY_DIVISOR);
    // Before anybody can connect: a signal is heeded from then on.
    let event_loop = EventLoop::new(&[SIGTERM, SIGINT, SIGHUP], SIGNALS_TOKEN)?;
    let mut listener = event_loop.listen(listen, Backlog::Standard)?;
    let listen = listener
        .local_address()
        .map_err(ResourceError::of("listener"))?;
    listener
        .start(event_loop.poller(), LISTENER_TOKEN)
        .map_err(ResourceError::of("listener"))?;
    let sockets = settings
        .limits
        .max_descriptors
        .saturating_sub(RESERVED_DESCRIPTORS)
        .max(32);
    let mut shell = Shell {
        engine,
        channel: ChannelPoll::new(settings.channel_address),
        channel_connection: None,
        channel_connection_number: 0,
        event_loop,
        listener: Some(listener),
        is_accept_pending: false,
        accept_paused_until: None,
        config_path: config.to_owned(),
        reload: None,
        turn_number: 0,
        owners: HashMap::new(),
        lingering: BTreeMap::new(),
        throttled_owners: BTreeSet::new(),
        host_connections: HashMap::new(),
        last_owner_id: 0,
        max_connections: sockets,
        max_throttled_owners: (memory / owners::MAX_UNWRITTEN_BYTES / MEMORY_DIVISOR).max(4),
        pending_writes: BTreeSet::new(),
        shutdown,
        stop_requested_at: None,
    };
    let now = shell.event_loop.now();
    shell.engine.apply_update(now, &settings.known_commands);
    tracing::info!(name = %settings.name, %listen, sockets = settings.limits.max_descriptors,
        cores = settings.limits.cores, memory_mb = settings.limits.memory_mb, "serving");
    shell.serve()
}

struct Shell {
    engine: Engine<Placer>,
    channel: ChannelPoll,
    channel_connection: Option<TcpConnection>,
    channel_connection_number: u64,
    event_loop: EventLoop,
    /// Nothing once the process leaves.
    listener: Option<Listener>,
    /// Connections wait to be accepted.
    is_accept_pending: bool,
    /// Nothing is accepted until then, since there is no descriptor for it.
    accept_paused_until: Option<Micros>,
    config_path: PathBuf,
    /// When a new configuration is read, and how often once more.
    reload: Option<(Micros, u32)>,
    /// Turns of the loop: an owner's connection is read once in each.
    turn_number: u64,
    owners: HashMap<OwnerId, OwnerConnection>,
    /// Connections that are being closed.
    lingering: BTreeMap<OwnerId, LingeringConnection>,
    /// Owners that are not read, since they don't read.
    throttled_owners: BTreeSet<OwnerId>,
    max_throttled_owners: usize,
    host_connections: HashMap<ConnectionId, TcpConnection>,
    last_owner_id: u64,
    /// Descriptors for owners and hosts.
    max_connections: usize,
    /// Connections with something to write.
    pending_writes: BTreeSet<u64>,
    shutdown: ShutdownSchedule,
    stop_requested_at: Option<Micros>,
}

fn token(kind: u64, number: u64) -> u64 {
    // The numbers start at 1, so no token is the listener's or the signals'.
    (number << KIND_BITS) | kind
}

impl Shell {
    fn serve(&mut self) -> Result<(), StartError> {
        let mut ready = Vec::new();
        loop {
            self.event_loop
                .wait_until(Some(self.next_timeout()), &mut ready)?;
            self.turn_number += 1;
            for _ in 0..MAX_READ_ROUNDS {
                if ready.is_empty() {
                    break;
                }
                self.dispatch_events(&ready);
                self.event_loop.poll_now(&mut ready)?;
            }
            let now = self.event_loop.now();
            self.reload_config(now);
            self.channel.handle_timeout(now);
            self.perform_channel_actions(now);
            self.engine.turn(now);
            self.perform_outputs(now);
            self.flush_pending_writes(now);
            // Only now, with all that is to be said written, can a connection be told to be of no use any more.
            if std::mem::take(&mut self.is_accept_pending) {
                self.accept_owners();
            }
            self.expire_owner_timers(now);
            if self.is_finished(now) {
                return self.shut_down();
            }
        }
    }

    fn next_timeout(&self) -> Micros {
        let engine = self.engine.next_timeout().unwrap_or(Micros::MAX);
        let stop = self
            .stop_requested_at
            .map_or(Micros::MAX, ShutdownSchedule::earliest_exit);
        let lingering = self
            .lingering
            .values()
            .map(|l| l.until)
            .min()
            .unwrap_or(Micros::MAX);
        let paused = self.accept_paused_until.unwrap_or(Micros::MAX);
        let reload = self.reload.map_or(Micros::MAX, |(at, _)| at);
        let due = engine
            .min(self.channel.next_timeout())
            .min(lingering)
            .min(paused)
            .min(reload);
        due.min(stop.max(self.event_loop.now() + 10_000))
    }

    fn is_finished(&self, now: Micros) -> bool {
        let Some(at) = self.stop_requested_at else {
            return false;
        };
        let written = self.owners.values().all(|o| o.conn.unwritten_bytes() == 0);
        self.shutdown
            .is_finished(at, now, self.engine.pending_request_count(), written)
    }

    fn dispatch_events(&mut self, ready: &[Readiness]) {
        for r in ready {
            match r.token {
                LISTENER_TOKEN => self.is_accept_pending = true,
                SIGNALS_TOKEN => self
                    .event_loop
                    .received_signals()
                    .into_iter()
                    .for_each(|signal| self.handle_signal(signal)),
                token => match token & ((1 << KIND_BITS) - 1) {
                    OWNER_KIND => self.handle_owner_ready(OwnerId(token >> KIND_BITS), r),
                    HOST_KIND => self.handle_host_ready(ConnectionId(token >> KIND_BITS), r),
                    _ => self.handle_channel_ready(token >> KIND_BITS, r),
                },
            }
        }
    }

    fn handle_signal(&mut self, signal: i32) {
        let now = self.event_loop.now();
        if signal == SIGHUP {
            self.reload = Some((now, MAX_RELOAD_RETRIES));
            self.reload_config(now);
        } else if self.stop_requested_at.is_none() {
            tracing::info!(
                signal,
                open = self.engine.pending_request_count(),
                "told to end"
            );
            self.stop_requested_at = Some(now);
            self.engine.drain_until(self.shutdown.answer_deadline(now));
        }
    }

    /// Takes in a new configuration. One that can't be read may still be on its way into its file.
    fn reload_config(&mut self, now: Micros) {
        let Some((_, left)) = self.reload.take_if(|(at, _)| *at <= now) else {
            return;
        };
        match load_config(&self.config_path) {
            Ok((config, _)) => {
                tracing::info!(channel = %config.channel_address, "new configuration");
                self.channel.set_address(config.channel_address);
                self.engine.apply_update(now, &config.known_commands);
            }
            Err(error) if left == 0 => {
                tracing::error!(%error, "the new configuration can't be used; the old one is kept")
            }
            Err(error) => {
                tracing::debug!(%error, "the new configuration can't be used yet");
                self.reload = Some((now + RELOAD_RETRY_DELAY, left - 1));
            }
        }
    }

    fn handle_channel_ready(&mut self, number: u64, r: &Readiness) {
        let now = self.event_loop.now();
        if number != self.channel_connection_number {
            return;
        }
        let Some(conn) = &mut self.channel_connection else {
            return;
        };
        if conn.is_connecting() {
            if !r.is_writable && !r.is_closed {
                return;
            }
            match conn.finish_connect() {
                Ok(()) => self
                    .channel
                    .connection_established(now, self.engine.cursor()),
                Err(error) => {
                    tracing::warn!(%error, "the command channel");
                    self.channel.connection_lost(now);
                }
            }
        } else if r.is_readable {
            let outcome = conn.read_available(CHANNEL_READ_BYTES, MAX_UNREAD_BYTES);
            loop {
                let (used, batch) = self.channel.read_response(now, conn.unread());
                conn.consume(used);
                if let Some(batch) = &batch {
                    self.engine.apply_update(now, batch);
                    self.channel.poll_again(now, self.engine.cursor());
                }
                if batch.is_none() || used == 0 {
                    break;
                }
            }
            if matches!(outcome, ReadOutcome::Closed | ReadOutcome::Failed) {
                self.channel.connection_lost(now);
            }
        }
        self.perform_channel_actions(now);
    }

    fn perform_channel_actions(&mut self, now: Micros) {
        for want in std::mem::take(&mut self.channel.actions) {
            match want {
                ChannelAction::Close => self.channel_connection = None,
                ChannelAction::Connect(address) => {
                    self.channel_connection_number += 1;
                    let token = token(CHANNEL_KIND, self.channel_connection_number);
                    match self.connect(address, token) {
                        Ok(conn) => self.channel_connection = Some(conn),
                        Err(error) => {
                            tracing::warn!(%error, "the command channel");
                            self.channel.connection_lost(now);
                        }
                    }
                }
                ChannelAction::Send(bytes) => {
                    if let Some(conn) = &mut self.channel_connection {
                        conn.write_buffer().extend_from_slice(&bytes);
                    }
                }
            }
        }
        if let Some(conn) = &mut self.channel_connection
            && conn.flush(self.event_loop.poller()).is_err()
        {
            self.channel.connection_lost(now);
        }
    }

    /// Opens a connection, for which an owner's that can be spared is closed if there is no descriptor for it.
    fn connect(&mut self, to: std::net::SocketAddr, token: u64) -> io::Result<TcpConnection> {
        match TcpConnection::connect(to, token, self.event_loop.poller()) {
            Err(error) if is_resource_exhausted(&error) && self.close_least_useful_owner() => {
                TcpConnection::connect(to, token, self.event_loop.poller())
            }
            result => result,
        }
    }

    fn perform_outputs(&mut self, now: Micros) {
        loop {
            let mut outputs = self.engine.take_outputs();
            if outputs.is_empty() {
                return;
            }
            // What owners are told comes first: to reach a host, an owner's connection may have to be closed. The rest
            // keeps its order.
            outputs.sort_by_key(|o| !matches!(o, Output::SendToOwner(..)));
            for output in outputs {
                self.perform_output(now, output);
            }
        }
    }

    fn perform_output(&mut self, now: Micros, output: Output) {
        match output {
            Output::SendToOwner(id, message) => self.send_to_owner(id, &message),
            Output::CloseOwner(id) => self.start_lingering(now, id),
            Output::Connect(id, address) => self.connect_host(now, id, address),
            Output::SendToHost(id, bytes) => {
                if let Some(conn) = self.host_connections.get_mut(&id) {
                    conn.write_buffer().extend_from_slice(&bytes);
                    self.pending_writes.insert(token(HOST_KIND, id.0));
                }
            }
            Output::SendToHostImmediately(id, bytes) => {
                self.send_to_host_immediately(now, id, &bytes)
            }
            Output::CloseConnection(id) => {
                self.host_connections.remove(&id);
                self.resume_accepting();
            }
        }
    }

    fn flush_pending_writes(&mut self, now: Micros) {
        for token in std::mem::take(&mut self.pending_writes) {
            let number = token >> KIND_BITS;
            if token & ((1 << KIND_BITS) - 1) == OWNER_KIND {
                self.flush_owner(OwnerId(number));
            } else {
                self.flush_host(now, ConnectionId(number));
            }
        }
    }
}

const _: () = assert!(MAX_MESSAGE_BYTES < MAX_UNREAD_BYTES);
