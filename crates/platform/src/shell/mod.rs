//! The loop of the process: events of sockets and signals go to the engine and to the poll of the command channel, and
//! their outputs are carried out.

mod channel;
mod hosts;
mod outputs;
mod owners;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::path::{Path, PathBuf};

use maplethread::{Micros, Placer};
use maplethread_platform_wire::MAX_MESSAGE_BYTES;
use maplethread_reactor::{Backlog, EventLoop, Listener, Readiness, ResourceError, TcpConnection};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

use crate::channel_poll::ChannelPoll;
use crate::engine::{ConnectionId, Engine, OwnerId};
use crate::shutdown::ShutdownSchedule;
use crate::startup::{ConfigError, StartError, decode_settings, load_config};
use owners::{LingeringConnection, OwnerConnection};

const LISTENER_TOKEN: u64 = 0;
const SIGNALS_TOKEN: u64 = 1;
/// The lowest bits of a token are the kind of a connection, the others its number.
const OWNER_KIND: u64 = 2;
const HOST_KIND: u64 = 3;
const CHANNEL_KIND: u64 = 1;
const KIND_BITS: u32 = 2;

/// How many bytes of one connection may wait to be decoded.
const MAX_UNREAD_BYTES: usize = 64 << 10;
/// How many rounds of reading come before a turn of the decisions.
const MAX_READ_ROUNDS: usize = 4;
/// After how long a new configuration that can't be used is read again, in microseconds. The old channel is kept for 1.5 s
/// after SIGHUP (PROTOCOL's days).
const RELOAD_RETRY_DELAY: Micros = 100_000;
/// How often it is read again.
const MAX_RELOAD_RETRIES: u32 = 10;
/// Descriptors that are not for owners or hosts: standard streams, listener, epoll, signals, channel, files.
const RESERVED_DESCRIPTORS: usize = 16;
/// Descriptions may take one in this many bytes of the memory, and so may what waits for throttled owners.
const MEMORY_DIVISOR: usize = 8;

/// Runs the placer that `config` describes until it is stopped by a signal.
///
/// # Errors
///
/// Returns an error if the configuration can't be used, or a file, socket or signal can't be opened or used.
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
    // Signals are handled before anybody can connect.
    let event_loop = EventLoop::new(&[SIGTERM, SIGINT, SIGHUP], SIGNALS_TOKEN)?;
    let mut listener = event_loop.listen(listen, Backlog::Standard)?;
    let listen = listener
        .local_address()
        .map_err(ResourceError::of("listener"))?;
    listener
        .register(event_loop.poller(), LISTENER_TOKEN)
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

/// A configuration that is to be read.
#[derive(Clone, Copy)]
struct Reload {
    due_at: Micros,
    retries_left: u32,
}

struct Shell {
    engine: Engine<Placer>,
    channel: ChannelPoll,
    channel_connection: Option<TcpConnection>,
    channel_connection_number: u64,
    event_loop: EventLoop,
    /// None once the process ends.
    listener: Option<Listener>,
    /// Connections wait to be accepted.
    is_accept_pending: bool,
    /// Nothing is accepted until then, for lack of descriptors.
    accept_paused_until: Option<Micros>,
    config_path: PathBuf,
    /// A new configuration is to be read.
    reload: Option<Reload>,
    /// Counts the turns of the loop; an owner's connection is read once in each.
    turn_number: u64,
    owners: HashMap<OwnerId, OwnerConnection>,
    /// Owners' connections that are being closed.
    lingering: BTreeMap<OwnerId, LingeringConnection>,
    /// Owners that are not read because they don't read.
    throttled_owners: BTreeSet<OwnerId>,
    max_throttled_owners: usize,
    host_connections: HashMap<ConnectionId, TcpConnection>,
    last_owner_id: u64,
    /// The most connections of owners and hosts together.
    max_connections: usize,
    /// The tokens of connections with unwritten bytes.
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
        let reload = self.reload.map_or(Micros::MAX, |reload| reload.due_at);
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
                    .take_received_signals()
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
            self.reload = Some(Reload {
                due_at: now,
                retries_left: MAX_RELOAD_RETRIES,
            });
            self.reload_config(now);
        } else if self.stop_requested_at.is_none() {
            tracing::info!(
                signal,
                pending_requests = self.engine.pending_request_count(),
                "stopping"
            );
            self.stop_requested_at = Some(now);
            self.engine.drain_until(self.shutdown.answer_deadline(now));
        }
    }

    /// Applies a new configuration. One that can't be used may not be completely written yet.
    fn reload_config(&mut self, now: Micros) {
        let Some(reload) = self.reload.take_if(|reload| reload.due_at <= now) else {
            return;
        };
        match load_config(&self.config_path) {
            Ok((config, _)) => {
                tracing::info!(channel = %config.channel_address, "configuration reloaded");
                self.channel.set_address(config.channel_address);
                self.engine.apply_update(now, &config.known_commands);
            }
            Err(error) if reload.retries_left == 0 => {
                tracing::error!(%error, "the new configuration can't be used; the old one is kept")
            }
            Err(error) => {
                tracing::debug!(%error, "the new configuration can't be used yet");
                self.reload = Some(Reload {
                    due_at: now + RELOAD_RETRY_DELAY,
                    retries_left: reload.retries_left - 1,
                });
            }
        }
    }
}

const _: () = assert!(MAX_MESSAGE_BYTES < MAX_UNREAD_BYTES);
