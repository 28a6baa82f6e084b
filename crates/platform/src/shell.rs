//! The loop: sockets and signals in; what the engine and the channel want carried out.

use std::collections::{BTreeSet, HashMap};
use std::io;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::time::Duration;

use maplethread::{Micros, Placer};
use maplethread_platform_wire::{LONGEST, host, owner};
use maplethread_reactor::{Clock, Conn, Poller, ReadOutcome, Readiness, Signals};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

use crate::channel::{Channel, Want};
use crate::engine::{Engine, LinkId, Loss, Output, OwnerId};
use crate::life;
use crate::start::{Error, io_error, load};

const LISTENER: u64 = 0;
const SIGNALS: u64 = 1;
/// The lowest bits of a token tell what it belongs to, the others which one.
const OWNER: u64 = 2;
const LINK: u64 = 3;
const CHANNEL: u64 = 1;
const KINDS: u32 = 2;

/// Bytes read from one connection in one round, so that a busy peer waits for the others.
const READ_ROUND: usize = 64 << 10;
/// Bytes of one connection that may wait to be understood.
const READ_MOST: usize = 64 << 10;
/// Bytes that may wait for an owner; one that reads too little is cut.
const OWNER_UNWRITTEN: usize = 256 << 10;
/// Rounds of reading before a decision.
const ROUNDS: usize = 4;
/// Connections accepted in one round.
const ACCEPTS: usize = 256;
/// Descriptors that are not for owners or hosts: standard ones, listener, epoll, signals, channel, files.
const RESERVED: usize = 16;

/// Runs the placer that `config` describes until it is told to end.
pub fn run(config: &Path) -> Result<(), Error> {
    let (settings, listen) = load(config)?;
    let wrong = |why: String| Error::Config { file: config.to_owned(), why };
    let unusable = |e: &dyn std::fmt::Display| wrong(format!("settings: {e}"));
    let (decisions, _) = maplethread_deployment::decode(&settings.settings).map_err(|e| unusable(&e))?;
    let terms = maplethread_deployment::terms(&settings.settings).map_err(|e| unusable(&e))?;
    let placer = Placer::new(decisions.clone(), settings.seed).map_err(|e| unusable(&e))?;
    let engine = Engine::new(terms, &decisions, placer);
    let listener = TcpListener::bind(listen).map_err(io_error(listen.to_string()))?;
    listener.set_nonblocking(true).map_err(io_error("listener"))?;
    let listen = listener.local_addr().map_err(io_error("listener"))?;
    let poller = Poller::new().map_err(io_error("epoll"))?;
    let signals = Signals::catch(&[SIGTERM, SIGINT, SIGHUP]).map_err(io_error("signals"))?;
    signals.register(&poller, SIGNALS).map_err(io_error("signals"))?;
    poller.add(&listener, LISTENER, false).map_err(io_error("listener"))?;
    let mut shell = Shell {
        engine,
        channel: Channel::new(settings.channel),
        channel_conn: None,
        channel_number: 0,
        clock: Clock::start(),
        poller,
        signals,
        listener,
        file: config.to_owned(),
        owners: HashMap::new(),
        links: HashMap::new(),
        last_owner: 0,
        most_owners: (settings.limits.sockets.saturating_sub(RESERVED) / 2).max(16),
        dirty: BTreeSet::new(),
        closing: BTreeSet::new(),
        stop_at: None,
    };
    let now = shell.clock.now();
    shell.engine.told(now, &settings.known);
    tracing::info!(name = %settings.name, %listen, sockets = settings.limits.sockets,
        cores = settings.limits.cores, memory_mb = settings.limits.memory_mb, "serving");
    shell.serve()
}

struct OwnerConn {
    conn: Conn,
    scanned: usize,
}

struct Shell {
    engine: Engine<Placer>,
    channel: Channel,
    channel_conn: Option<Conn>,
    channel_number: u64,
    clock: Clock,
    poller: Poller,
    signals: Signals,
    listener: TcpListener,
    file: PathBuf,
    owners: HashMap<OwnerId, OwnerConn>,
    links: HashMap<LinkId, Conn>,
    last_owner: u64,
    most_owners: usize,
    /// Connections with something to write.
    dirty: BTreeSet<u64>,
    /// Owners that are closed once all is written.
    closing: BTreeSet<OwnerId>,
    stop_at: Option<Micros>,
}

fn token(kind: u64, number: u64) -> u64 {
    // The numbers start at 1, so no token is the listener's or the signals'.
    (number << KINDS) | kind
}

/// What an error while connecting tells of the host.
fn why_lost(error: &io::Error) -> Loss {
    if error.kind() == io::ErrorKind::ConnectionRefused { Loss::Refused } else { Loss::Broken }
}

impl Shell {
    fn serve(&mut self) -> Result<(), Error> {
        let mut ready = Vec::new();
        loop {
            let before = self.clock.now();
            let timeout = self.next_due().saturating_sub(before);
            ready.clear();
            self.poller.wait(Some(Duration::from_micros(timeout)), &mut ready).map_err(io_error("epoll"))?;
            for _ in 0..ROUNDS {
                if ready.is_empty() {
                    break;
                }
                self.take_in(&ready);
                ready.clear();
                self.poller.wait(Some(Duration::ZERO), &mut ready).map_err(io_error("epoll"))?;
            }
            let now = self.clock.now();
            self.channel.tick(now);
            self.ask_channel(now);
            self.engine.turn(now);
            self.carry_out(now);
            self.flush(now);
            if self.done(now) {
                return Ok(());
            }
        }
    }

    fn next_due(&self) -> Micros {
        let engine = self.engine.next_timeout().unwrap_or(Micros::MAX);
        let stop = self.stop_at.map_or(Micros::MAX, life::earliest);
        engine.min(self.channel.next_timeout()).min(stop.max(self.clock.now() + 10_000))
    }

    fn done(&self, now: Micros) -> bool {
        let Some(at) = self.stop_at else { return false };
        let written = self.owners.values().all(|o| o.conn.unwritten() == 0);
        life::over(at, now, self.engine.open_asks(), written)
    }

    fn take_in(&mut self, ready: &[Readiness]) {
        for r in ready {
            match r.token {
                LISTENER => self.accept(),
                SIGNALS => self.signals.take().into_iter().for_each(|signal| self.signal(signal)),
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
            match load(&self.file) {
                Ok((config, _)) => {
                    tracing::info!(channel = %config.channel, "new configuration");
                    self.channel.moved(config.channel);
                    self.engine.told(now, &config.known);
                }
                Err(error) => {
                    tracing::error!(%error, "the new configuration can't be used; the old one is kept")
                }
            }
        } else if self.stop_at.is_none() {
            tracing::info!(signal, open = self.engine.open_asks(), "told to end");
            self.stop_at = Some(now);
            self.engine.stop(now + life::ANSWERED_BY);
        }
    }

    fn accept(&mut self) {
        for _ in 0..ACCEPTS {
            let stream = match self.listener.accept() {
                Ok((stream, _)) => stream,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) => {
                    tracing::warn!(%error, "accept");
                    if !self.spare() {
                        return;
                    }
                    continue;
                }
            };
            while self.owners.len() >= self.most_owners && self.spare() {}
            self.last_owner += 1;
            let id = OwnerId(self.last_owner);
            match Conn::accepted(stream, token(OWNER, id.0), &self.poller) {
                Ok(conn) => {
                    self.owners.insert(id, OwnerConn { conn, scanned: 0 });
                    self.engine.owner_opened(self.clock.now(), id);
                }
                Err(error) => tracing::warn!(%error, "an owner's connection"),
            }
        }
    }

    /// Closes the owner's connection that can be spared first.
    fn spare(&mut self) -> bool {
        let Some(id) = self.engine.spare_owner() else { return false };
        self.drop_owner(id);
        true
    }

    fn drop_owner(&mut self, id: OwnerId) {
        self.owners.remove(&id);
        self.closing.remove(&id);
        self.engine.owner_closed(id);
    }

    fn owner_ready(&mut self, id: OwnerId, r: &Readiness) {
        let now = self.clock.now();
        let Some(owner) = self.owners.get_mut(&id) else { return };
        if r.write {
            self.dirty.insert(token(OWNER, id.0));
        }
        if !r.read {
            return;
        }
        let outcome = owner.conn.fill(READ_ROUND, READ_MOST);
        if self.closing.contains(&id) {
            let all = owner.conn.unread().len();
            owner.conn.take(all);
        }
        while let Some((says, n)) = owner::read(owner.conn.unread(), &mut owner.scanned) {
            owner.conn.take(n);
            tracing::trace!(owner = id.0, ?says, "owner");
            self.engine.owner_says(now, id, says);
        }
        if matches!(outcome, ReadOutcome::Closed | ReadOutcome::Broken) {
            self.drop_owner(id);
        }
    }

    fn link_ready(&mut self, id: LinkId, r: &Readiness) {
        let now = self.clock.now();
        let Some(conn) = self.links.get_mut(&id) else { return };
        if conn.connecting() {
            if !r.write && !r.closed {
                return;
            }
            match conn.connected() {
                Ok(()) => {
                    self.engine.link_up(now, id);
                    self.dirty.insert(token(LINK, id.0));
                }
                Err(error) => {
                    self.lose(now, id, why_lost(&error));
                    return;
                }
            }
        } else if r.write {
            self.dirty.insert(token(LINK, id.0));
        }
        if !r.read {
            return;
        }
        let Some(conn) = self.links.get_mut(&id) else { return };
        let outcome = conn.fill(READ_ROUND, READ_MOST);
        loop {
            match host::read(conn.unread()) {
                Ok(Some((says, n))) => {
                    conn.take(n);
                    self.engine.host_says(now, id, says);
                }
                Ok(None) => break,
                Err(fault) => {
                    tracing::debug!(link = id.0, %fault, "a host sent what can't be read");
                    self.lose(now, id, Loss::Broken);
                    return;
                }
            }
        }
        if matches!(outcome, ReadOutcome::Closed | ReadOutcome::Broken) {
            self.lose(now, id, Loss::Broken);
        }
    }

    fn lose(&mut self, now: Micros, id: LinkId, loss: Loss) {
        self.links.remove(&id);
        self.engine.link_lost(now, id, loss);
    }

    fn channel_ready(&mut self, number: u64, r: &Readiness) {
        let now = self.clock.now();
        if number != self.channel_number {
            return;
        }
        let Some(conn) = &mut self.channel_conn else { return };
        if conn.connecting() {
            if !r.write && !r.closed {
                return;
            }
            match conn.connected() {
                Ok(()) => self.channel.up(now, self.engine.cursor()),
                Err(error) => {
                    tracing::warn!(%error, "the command channel");
                    self.channel.broken(now);
                }
            }
        } else if r.read {
            let outcome = conn.fill(READ_ROUND, READ_MOST);
            loop {
                let (used, batch) = self.channel.read(now, conn.unread());
                conn.take(used);
                if let Some(batch) = &batch {
                    self.engine.told(now, batch);
                    self.channel.next(now, self.engine.cursor());
                }
                if batch.is_none() || used == 0 {
                    break;
                }
            }
            if matches!(outcome, ReadOutcome::Closed | ReadOutcome::Broken) {
                self.channel.broken(now);
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
                    match Conn::connect(address, token, &self.poller) {
                        Ok(conn) => self.channel_conn = Some(conn),
                        Err(error) => {
                            tracing::warn!(%error, "the command channel");
                            self.channel.broken(now);
                        }
                    }
                }
                Want::Send(bytes) => {
                    if let Some(conn) = &mut self.channel_conn {
                        conn.out().extend_from_slice(&bytes);
                    }
                }
            }
        }
        if let Some(conn) = &mut self.channel_conn
            && conn.flush(&self.poller).is_err()
        {
            self.channel.broken(now);
        }
    }

    fn carry_out(&mut self, now: Micros) {
        loop {
            let outputs = self.engine.outputs();
            if outputs.is_empty() {
                return;
            }
            for output in outputs {
                self.carry_out_one(now, output);
            }
        }
    }

    fn carry_out_one(&mut self, now: Micros, output: Output) {
        match output {
            Output::ToOwner(id, message) => {
                tracing::trace!(owner = id.0, ?message, "to owner");
                if let Some(owner) = self.owners.get_mut(&id) {
                    owner::write(owner.conn.out(), &message);
                    self.dirty.insert(token(OWNER, id.0));
                }
            }
            Output::CloseOwner(id) => {
                self.closing.insert(id);
                self.dirty.insert(token(OWNER, id.0));
            }
            Output::Connect(id, address) => match Conn::connect(address, token(LINK, id.0), &self.poller) {
                Ok(conn) => drop(self.links.insert(id, conn)),
                Err(error) => {
                    tracing::debug!(%address, %error, "connect");
                    self.engine.link_lost(now, id, why_lost(&error));
                }
            },
            Output::ToHost(id, bytes) => {
                if let Some(conn) = self.links.get_mut(&id) {
                    conn.out().extend_from_slice(&bytes);
                    self.dirty.insert(token(LINK, id.0));
                }
            }
            Output::End(id, bytes) => {
                let Some(conn) = self.links.get_mut(&id) else { return };
                conn.out().extend_from_slice(&bytes);
                if conn.flush(&self.poller).is_err() || conn.unwritten() > 0 {
                    tracing::debug!(link = id.0, "a connection does not take an end");
                    self.lose(now, id, Loss::Broken);
                }
            }
            Output::CloseLink(id) => drop(self.links.remove(&id)),
        }
    }

    fn flush(&mut self, now: Micros) {
        for token in std::mem::take(&mut self.dirty) {
            let number = token >> KINDS;
            if token & ((1 << KINDS) - 1) == OWNER {
                let id = OwnerId(number);
                let Some(owner) = self.owners.get_mut(&id) else { continue };
                let failed = owner.conn.flush(&self.poller).is_err();
                let written = owner.conn.unwritten() == 0;
                if failed || owner.conn.unwritten() > OWNER_UNWRITTEN || (written && self.closing.remove(&id))
                {
                    self.drop_owner(id);
                }
            } else {
                let id = LinkId(number);
                let Some(conn) = self.links.get_mut(&id) else { continue };
                if conn.flush(&self.poller).is_err() {
                    self.lose(now, id, Loss::Broken);
                }
            }
        }
    }
}

const _: () = assert!(LONGEST < READ_MOST);
