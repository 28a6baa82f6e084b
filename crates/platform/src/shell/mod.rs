//! The loop: sockets and signals in; what the engine and the channel want carried out.

mod hosts;
mod owners;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::time::Duration;

use maplethread::{Micros, Placer};
use maplethread_platform_wire::LONGEST;
use maplethread_reactor::{
    Clock, Poller, ReadOutcome, Readiness, Signals, TcpConnection, is_resource_exhausted,
};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

use crate::channel::{ChannelPoll, Want};
use crate::engine::{Engine, LinkId, Output, OwnerId};
use crate::shutdown::ShutdownSchedule;
use crate::start::{StartError, decode_settings, io_error, load};
use owners::{LingeringConnection, OwnerConn};

const LISTENER: u64 = 0;
const SIGNALS: u64 = 1;
/// The lowest bits of a token tell what it belongs to, the others which one.
const OWNER: u64 = 2;
const LINK: u64 = 3;
const CHANNEL: u64 = 1;
const KINDS: u32 = 2;

/// Bytes of one connection that may wait to be understood.
const MAX_UNREAD: usize = 64 << 10;
/// Bytes of the channel read in one round: a list of all hosts is long.
const CHANNEL_ROUND: usize = 256 << 10;
/// Rounds of reading before a decision.
const ROUNDS: usize = 4;
/// A new configuration that can't be read is read again after this, so often: the old channel is kept for 1.5 s after
/// SIGHUP (PROTOCOL's days).
const RELOAD_AFTER: Micros = 100_000;
const RELOADS: u32 = 10;
/// Descriptors that are not for owners or hosts: standard ones, listener, epoll, signals, channel, files.
const RESERVED: usize = 16;
/// Descriptions that are held at a time may take this part of the memory.
const TEXT_PART: usize = 8;

/// Runs the placer that `config` describes until it is told to end.
pub fn run(config: &Path) -> Result<(), StartError> {
    let (settings, listen) = load(config)?;
    let wrong = |why: String| StartError::Config {
        file: config.to_owned(),
        why,
    };
    let unusable = |e: &dyn std::fmt::Display| wrong(format!("settings: {e}"));
    let (decisions, terms) = decode_settings(&settings.settings).map_err(|e| unusable(&e))?;
    let placer = Placer::new(decisions.clone(), settings.seed).map_err(|e| unusable(&e))?;
    let shutdown = ShutdownSchedule::new(terms.longest_deadline);
    let mut engine = Engine::new(terms, &decisions, placer);
    let memory = (settings.limits.memory_mb.clamp(8.0, 65_536.0) as usize) << 20;
    engine.limit_text(memory / TEXT_PART);
    let poller = Poller::new().map_err(io_error("epoll"))?;
    // Before anybody can connect: a signal is heeded from then on.
    let signals = Signals::catch(&[SIGTERM, SIGINT, SIGHUP]).map_err(io_error("signals"))?;
    signals
        .register(&poller, SIGNALS)
        .map_err(io_error("signals"))?;
    let listener = TcpListener::bind(listen).map_err(io_error(listen.to_string()))?;
    listener
        .set_nonblocking(true)
        .map_err(io_error("listener"))?;
    let listen = listener.local_addr().map_err(io_error("listener"))?;
    poller
        .register(&listener, LISTENER, false)
        .map_err(io_error("listener"))?;
    let sockets = settings.limits.sockets.saturating_sub(RESERVED).max(32);
    let mut shell = Shell {
        engine,
        channel: ChannelPoll::new(settings.channel),
        channel_conn: None,
        channel_number: 0,
        clock: Clock::start(),
        poller,
        signals,
        listener: Some(listener),
        accept_due: false,
        paused: None,
        config_path: config.to_owned(),
        reload: None,
        turn_number: 0,
        owners: HashMap::new(),
        lingering: BTreeMap::new(),
        throttled: BTreeSet::new(),
        host_connections: HashMap::new(),
        last_owner: 0,
        sockets,
        max_throttled: (memory / owners::MAX_UNWRITTEN / TEXT_PART).max(4),
        dirty: BTreeSet::new(),
        shutdown,
        stop_at: None,
    };
    let now = shell.clock.now();
    shell.engine.apply_update(now, &settings.known);
    tracing::info!(name = %settings.name, %listen, sockets = settings.limits.sockets,
        cores = settings.limits.cores, memory_mb = settings.limits.memory_mb, "serving");
    shell.serve()
}

struct Shell {
    engine: Engine<Placer>,
    channel: ChannelPoll,
    channel_conn: Option<TcpConnection>,
    channel_number: u64,
    clock: Clock,
    poller: Poller,
    signals: Signals,
    /// Nothing once the process leaves.
    listener: Option<TcpListener>,
    /// Connections wait to be accepted.
    accept_due: bool,
    /// Nothing is accepted until then, since there is no descriptor for it.
    paused: Option<Micros>,
    config_path: PathBuf,
    /// When a new configuration is read, and how often once more.
    reload: Option<(Micros, u32)>,
    /// Turns of the loop: an owner's connection is read once in each.
    turn_number: u64,
    owners: HashMap<OwnerId, OwnerConn>,
    /// Connections that are being closed.
    lingering: BTreeMap<OwnerId, LingeringConnection>,
    /// Owners that are not read, since they don't read.
    throttled: BTreeSet<OwnerId>,
    max_throttled: usize,
    host_connections: HashMap<LinkId, TcpConnection>,
    last_owner: u64,
    /// Descriptors for owners and hosts.
    sockets: usize,
    /// Connections with something to write.
    dirty: BTreeSet<u64>,
    shutdown: ShutdownSchedule,
    stop_at: Option<Micros>,
}

fn token(kind: u64, number: u64) -> u64 {
    // The numbers start at 1, so no token is the listener's or the signals'.
    (number << KINDS) | kind
}

impl Shell {
    fn serve(&mut self) -> Result<(), StartError> {
        let mut ready = Vec::new();
        loop {
            let before = self.clock.now();
            let timeout = self.next_due().saturating_sub(before);
            ready.clear();
            self.poller
                .wait(Some(Duration::from_micros(timeout)), &mut ready)
                .map_err(io_error("epoll"))?;
            self.turn_number += 1;
            for _ in 0..ROUNDS {
                if ready.is_empty() {
                    break;
                }
                self.take_in(&ready);
                ready.clear();
                self.poller
                    .wait(Some(Duration::ZERO), &mut ready)
                    .map_err(io_error("epoll"))?;
            }
            let now = self.clock.now();
            self.load_again(now);
            self.channel.tick(now);
            self.ask_channel(now);
            self.engine.turn(now);
            self.carry_out(now);
            self.flush(now);
            // Only now, with all that is to be said written, can a connection be told to be of no use any more.
            if std::mem::take(&mut self.accept_due) {
                self.accept();
            }
            self.look_after(now);
            if self.done(now) {
                return self.shut_down();
            }
        }
    }

    fn next_due(&self) -> Micros {
        let engine = self.engine.next_timeout().unwrap_or(Micros::MAX);
        let stop = self.stop_at.map_or(Micros::MAX, ShutdownSchedule::earliest);
        let lingering = self
            .lingering
            .values()
            .map(|l| l.until)
            .min()
            .unwrap_or(Micros::MAX);
        let paused = self.paused.unwrap_or(Micros::MAX);
        let reload = self.reload.map_or(Micros::MAX, |(at, _)| at);
        let due = engine
            .min(self.channel.next_timeout())
            .min(lingering)
            .min(paused)
            .min(reload);
        due.min(stop.max(self.clock.now() + 10_000))
    }

    fn done(&self, now: Micros) -> bool {
        let Some(at) = self.stop_at else { return false };
        let written = self.owners.values().all(|o| o.conn.unwritten_bytes() == 0);
        self.shutdown
            .over(at, now, self.engine.pending_request_count(), written)
    }

    fn take_in(&mut self, ready: &[Readiness]) {
        for r in ready {
            match r.token {
                LISTENER => self.accept_due = true,
                SIGNALS => self
                    .signals
                    .take_received()
                    .into_iter()
                    .for_each(|signal| self.signal(signal)),
                token => match token & ((1 << KINDS) - 1) {
                    OWNER => self.owner_ready(OwnerId(token >> KINDS), r),
                    LINK => self.link_ready(LinkId(token >> KINDS), r),
                    _ => self.channel_ready(token >> KINDS, r),
                },
            }
        }
    }

    fn signal(&mut self, signal: i32) {
        let now = self.clock.now();
        if signal == SIGHUP {
            self.reload = Some((now, RELOADS));
            self.load_again(now);
        } else if self.stop_at.is_none() {
            tracing::info!(
                signal,
                open = self.engine.pending_request_count(),
                "told to end"
            );
            self.stop_at = Some(now);
            self.engine.stop(self.shutdown.answered_by(now));
        }
    }

    /// Takes in a new configuration. One that can't be read may still be on its way into its file.
    fn load_again(&mut self, now: Micros) {
        let Some((_, left)) = self.reload.take_if(|(at, _)| *at <= now) else {
            return;
        };
        match load(&self.config_path) {
            Ok((config, _)) => {
                tracing::info!(channel = %config.channel, "new configuration");
                self.channel.moved(config.channel);
                self.engine.apply_update(now, &config.known);
            }
            Err(error) if left == 0 => {
                tracing::error!(%error, "the new configuration can't be used; the old one is kept")
            }
            Err(error) => {
                tracing::debug!(%error, "the new configuration can't be used yet");
                self.reload = Some((now + RELOAD_AFTER, left - 1));
            }
        }
    }

    fn channel_ready(&mut self, number: u64, r: &Readiness) {
        let now = self.clock.now();
        if number != self.channel_number {
            return;
        }
        let Some(conn) = &mut self.channel_conn else {
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
            let outcome = conn.read_available(CHANNEL_ROUND, MAX_UNREAD);
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
        self.ask_channel(now);
    }

    fn ask_channel(&mut self, now: Micros) {
        for want in std::mem::take(&mut self.channel.wants) {
            match want {
                Want::Close => self.channel_conn = None,
                Want::Connect(address) => {
                    self.channel_number += 1;
                    let token = token(CHANNEL, self.channel_number);
                    match self.connect(address, token) {
                        Ok(conn) => self.channel_conn = Some(conn),
                        Err(error) => {
                            tracing::warn!(%error, "the command channel");
                            self.channel.connection_lost(now);
                        }
                    }
                }
                Want::Send(bytes) => {
                    if let Some(conn) = &mut self.channel_conn {
                        conn.write_buffer().extend_from_slice(&bytes);
                    }
                }
            }
        }
        if let Some(conn) = &mut self.channel_conn
            && conn.flush(&self.poller).is_err()
        {
            self.channel.connection_lost(now);
        }
    }

    /// Opens a connection, for which an owner's that can be spared is closed if there is no descriptor for it.
    fn connect(&mut self, to: std::net::SocketAddr, token: u64) -> io::Result<TcpConnection> {
        match TcpConnection::connect(to, token, &self.poller) {
            Err(error) if is_resource_exhausted(&error) && self.spare() => {
                TcpConnection::connect(to, token, &self.poller)
            }
            result => result,
        }
    }

    fn carry_out(&mut self, now: Micros) {
        loop {
            let mut outputs = self.engine.outputs();
            if outputs.is_empty() {
                return;
            }
            // What owners are told comes first: to reach a host, an owner's connection may have to be closed. The rest
            // keeps its order.
            outputs.sort_by_key(|o| !matches!(o, Output::ToOwner(..)));
            for output in outputs {
                self.carry_out_one(now, output);
            }
        }
    }

    fn carry_out_one(&mut self, now: Micros, output: Output) {
        match output {
            Output::ToOwner(id, message) => self.tell_owner(id, &message),
            Output::CloseOwner(id) => self.linger(now, id),
            Output::Connect(id, address) => self.connect_host(now, id, address),
            Output::ToHost(id, bytes) => {
                if let Some(conn) = self.host_connections.get_mut(&id) {
                    conn.write_buffer().extend_from_slice(&bytes);
                    self.dirty.insert(token(LINK, id.0));
                }
            }
            Output::SendToHostImmediately(id, bytes) => self.end_at_host(now, id, &bytes),
            Output::CloseLink(id) => {
                self.host_connections.remove(&id);
                self.resume();
            }
        }
    }

    fn flush(&mut self, now: Micros) {
        for token in std::mem::take(&mut self.dirty) {
            let number = token >> KINDS;
            if token & ((1 << KINDS) - 1) == OWNER {
                self.flush_owner(OwnerId(number));
            } else {
                self.flush_host(now, LinkId(number));
            }
        }
    }
}

const _: () = assert!(LONGEST < MAX_UNREAD);
