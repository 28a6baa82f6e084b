//! The event loop of the process: passes socket and signal events to the engine and to the poll of the command channel, and
//! performs their outputs.

mod channel;
mod draining;
mod hosts;
mod lingering;
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
use crate::memory_limits::MemoryLimits;
use crate::shutdown::ShutdownSchedule;
use crate::startup::{ConfigError, StartError, decode_settings, load_config};
use draining::DrainingConnection;
use lingering::LingeringConnection;
use owners::{MAX_OWNER_BYTES_PER_TURN, OwnerConnection};

const LISTENER_TOKEN: u64 = 0;
const SIGNALS_TOKEN: u64 = 1;
/// The kinds of connections in tokens; see `KIND_BITS`.
const OWNER_KIND: u64 = 2;
const HOST_KIND: u64 = 3;
const CHANNEL_KIND: u64 = 1;
/// The number of low bits of a token that contain the kind of the connection. The other bits contain its number.
const KIND_BITS: u32 = 2;

/// The maximum number of bytes of one connection that wait to be decoded.
const MAX_UNREAD_BYTES: usize = 64 << 10;
/// The maximum number of rounds in which ready connections are read before a turn of the engine.
const MAX_READ_ROUNDS: usize = 4;
/// Delay before an invalid new configuration is read again. The platform's acceptance test keeps the old channel available
/// for 1.5 s after SIGHUP, so all retries have to be within that time.
const RELOAD_RETRY_DELAY: Micros = 100_000;
/// The maximum number of further reads of an invalid new configuration.
const MAX_RELOAD_RETRIES: u32 = 10;
/// Descriptors reserved for standard streams, listener, epoll, signals, command channel and files.
const RESERVED_DESCRIPTORS: usize = 16;

/// Runs a placer with the configuration file `config_path` until it is stopped by a signal.
///
/// # Errors
///
/// Returns an error if the configuration is invalid, or a file, socket or signal cannot be opened or used.
pub fn run(config_path: &Path) -> Result<(), StartError> {
    let (config, listen) = load_config(config_path)?;
    let (policy_settings, platform_settings) = decode_settings(&config.settings)
        .map_err(|error| ConfigError::from(error).in_file(config_path))?;
    let placer = Placer::new(policy_settings.clone(), config.seed)
        .map_err(|error| ConfigError::from(error).in_file(config_path))?;
    let shutdown = ShutdownSchedule::new(platform_settings.max_deadline);
    let mut engine = Engine::new(platform_settings, &policy_settings, placer);
    let memory_bytes = (config.limits.memory_mb.clamp(8.0, 65_536.0) as usize) << 20;
    let limits = MemoryLimits::new(memory_bytes);
    engine.set_limits(limits.tables);
    // Signal handlers are installed before the listener accepts connections.
    let event_loop = EventLoop::new(&[SIGTERM, SIGINT, SIGHUP], SIGNALS_TOKEN)?;
    let mut listener = event_loop.listen(listen, Backlog::Standard)?;
    let listen = listener
        .local_address()
        .map_err(ResourceError::for_resource("listener"))?;
    listener
        .register(event_loop.poller(), LISTENER_TOKEN)
        .map_err(ResourceError::for_resource("listener"))?;
    let connection_limit = config
        .limits
        .max_descriptors
        .saturating_sub(RESERVED_DESCRIPTORS)
        .max(32);
    let mut shell = Shell {
        engine,
        channel: ChannelPoll::new(config.channel_address),
        channel_connection: None,
        channel_connection_number: 0,
        event_loop,
        listener: Some(listener),
        is_accept_pending: false,
        accept_paused_until: None,
        config_path: config_path.to_owned(),
        reload: None,
        turn_number: 0,
        owner_read_budget: MAX_OWNER_BYTES_PER_TURN,
        owners: HashMap::new(),
        lingering: BTreeMap::new(),
        buffered_owners: BTreeSet::new(),
        host_connections: HashMap::new(),
        draining_hosts: BTreeMap::new(),
        last_owner_id: 0,
        max_connections: connection_limit,
        max_buffer_bytes: limits.max_buffer_bytes,
        pending_writes: BTreeSet::new(),
        shutdown,
        stop_requested_at: None,
    };
    let now = shell.event_loop.now();
    shell.engine.apply_commands(now, &config.known_commands);
    tracing::info!(name = %config.name, %listen, sockets = config.limits.max_descriptors,
        cores = config.limits.cores, memory_mb = config.limits.memory_mb, "serving");
    shell.serve()
}

/// A scheduled reload of the configuration.
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
    /// None during shutdown.
    listener: Option<Listener>,
    /// The listener has connections to accept.
    is_accept_pending: bool,
    /// Accepting is paused until this time, for lack of descriptors.
    accept_paused_until: Option<Micros>,
    config_path: PathBuf,
    /// A scheduled reload of the configuration.
    reload: Option<Reload>,
    /// The number of the current turn of the event loop. An owner's connection is read at most once in each turn.
    turn_number: u64,
    /// How many further bytes may be read from owners in this turn.
    owner_read_budget: usize,
    owners: HashMap<OwnerId, OwnerConnection>,
    /// Owners' connections that are being closed.
    lingering: BTreeMap<OwnerId, LingeringConnection>,
    /// Owners whose connections have bytes that are not decoded or not written.
    buffered_owners: BTreeSet<OwnerId>,
    /// The maximum number of bytes in the buffers of all owners' connections, including those that are being closed.
    max_buffer_bytes: usize,
    host_connections: HashMap<ConnectionId, TcpConnection>,
    /// Connections to hosts that are being drained.
    draining_hosts: BTreeMap<ConnectionId, DrainingConnection>,
    last_owner_id: u64,
    /// The maximum number of connections of owners and hosts together.
    max_connections: usize,
    /// The tokens of connections with unwritten bytes.
    pending_writes: BTreeSet<u64>,
    shutdown: ShutdownSchedule,
    stop_requested_at: Option<Micros>,
}

fn token(kind: u64, number: u64) -> u64 {
    // Connection numbers start at 1, so no token equals `LISTENER_TOKEN` or `SIGNALS_TOKEN`.
    (number << KIND_BITS) | kind
}

impl Shell {
    fn serve(&mut self) -> Result<(), StartError> {
        let mut ready = Vec::new();
        loop {
            self.event_loop
                .wait_until(Some(self.next_timeout()), &mut ready)?;
            self.turn_number += 1;
            self.owner_read_budget = MAX_OWNER_BYTES_PER_TURN;
            for _ in 0..MAX_READ_ROUNDS {
                if ready.is_empty() {
                    break;
                }
                self.sort_owners_last(&mut ready);
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
            // Accepting may close owners' connections, so all messages to them are written first.
            if std::mem::take(&mut self.is_accept_pending) {
                self.accept_owners();
            }
            self.expire_owner_timers(now);
            self.expire_draining_hosts(now);
            self.limit_owner_buffers();
            if self.is_finished(now) {
                return self.shut_down();
            }
        }
    }

    fn next_timeout(&self) -> Micros {
        let engine = self.engine.next_timeout().unwrap_or(Micros::MAX);
        let earliest_exit = self
            .stop_requested_at
            .map_or(Micros::MAX, ShutdownSchedule::earliest_exit);
        let lingering = self.lingering.values().map(|connection| connection.until);
        let draining = self.draining_hosts.values();
        let closing = lingering
            .chain(draining.map(|connection| connection.until))
            .min()
            .unwrap_or(Micros::MAX);
        let accept_retry = self.accept_paused_until.unwrap_or(Micros::MAX);
        let reload = self.reload.map_or(Micros::MAX, |reload| reload.due_at);
        let due = engine
            .min(self.channel.next_timeout())
            .min(closing)
            .min(accept_retry)
            .min(reload);
        // After the earliest exit, whether the shutdown is finished is checked every 10 ms.
        due.min(earliest_exit.max(self.event_loop.now() + 10_000))
    }

    fn is_finished(&self, now: Micros) -> bool {
        let Some(stop_requested_at) = self.stop_requested_at else {
            return false;
        };
        let is_all_written = self
            .owners
            .values()
            .all(|owner| owner.conn.unwritten_bytes() == 0);
        self.shutdown.is_finished(
            stop_requested_at,
            now,
            self.engine.pending_request_count(),
            is_all_written,
        )
    }

    /// Puts owners behind all others, those first whose turn to be read was the longest ago. The bytes that are read from
    /// owners in a turn are limited, so a few that send at full speed would leave nothing for the others.
    fn sort_owners_last(&self, ready: &mut [Readiness]) {
        ready.sort_by_cached_key(|readiness| {
            let is_owner = readiness.token & ((1 << KIND_BITS) - 1) == OWNER_KIND;
            is_owner.then(|| {
                let owner = self.owners.get(&OwnerId(readiness.token >> KIND_BITS));
                owner.map_or(0, OwnerConnection::last_read_turn)
            })
        });
    }

    fn dispatch_events(&mut self, ready: &[Readiness]) {
        for readiness in ready {
            match readiness.token {
                LISTENER_TOKEN => self.is_accept_pending = true,
                SIGNALS_TOKEN => self
                    .event_loop
                    .take_received_signals()
                    .into_iter()
                    .for_each(|signal| self.handle_signal(signal)),
                token => match token & ((1 << KIND_BITS) - 1) {
                    OWNER_KIND => self.handle_owner_ready(OwnerId(token >> KIND_BITS), readiness),
                    HOST_KIND => {
                        self.handle_host_ready(ConnectionId(token >> KIND_BITS), readiness)
                    }
                    _ => self.handle_channel_ready(token >> KIND_BITS, readiness),
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

    /// Applies a new configuration if a reload is due. An invalid file may be incompletely written, so it is read again.
    fn reload_config(&mut self, now: Micros) {
        let Some(reload) = self.reload.take_if(|reload| reload.due_at <= now) else {
            return;
        };
        match load_config(&self.config_path) {
            Ok((config, _)) => {
                tracing::info!(channel = %config.channel_address, "configuration reloaded");
                self.channel.set_address(config.channel_address);
                self.engine.apply_commands(now, &config.known_commands);
            }
            Err(error) if reload.retries_left == 0 => {
                tracing::error!(%error, "configuration reload failed; keeping the current configuration")
            }
            Err(error) => {
                tracing::debug!(%error, "configuration reload failed; retrying");
                self.reload = Some(Reload {
                    due_at: now + RELOAD_RETRY_DELAY,
                    retries_left: reload.retries_left - 1,
                });
            }
        }
    }
}

const _: () = assert!(MAX_MESSAGE_BYTES < MAX_UNREAD_BYTES);
