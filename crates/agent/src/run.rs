//! The agent's shell: sockets of placers, processes and the store, around [`Agent`]. One thread; all that came in one
//! look at the sockets is one turn, with one commit.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::Child;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use maplethread_reactor::{Poller, ReadOutcome, Readiness, Signals, TcpConnection};
use maplethread_wire::frame::{self, Frame, Reason};
use rustix::process::{Pid, PidfdFlags, pidfd_open};

use crate::agent::{Action, Agent, Identity, Later, RecoveryOutcome, TaskState};
use crate::config::{AgentConfig, PreparedProgram, find_program};
use crate::process::{self, ResourceUsage};
use crate::store::{HostFacts, Store};

const SIGNALS: u64 = 0;
const LISTENER: u64 = 1;
const FIRST: u64 = 2;
/// Connections that are held at a time; more are closed at once.
const MOST_CONNS: usize = 1024;
/// A placer that lets so many octets wait is cut off.
const MOST_UNWRITTEN: usize = 4 << 20;

struct Link {
    conn: TcpConnection,
    placer: Option<Arc<str>>,
}

/// A process that is watched.
struct Watched {
    attempt: u64,
    identity: Identity,
    /// Its end is told by this.
    pidfd: OwnedFd,
    /// None for one that an earlier life of the agent started.
    child: Option<Child>,
}

struct Shell {
    config: AgentConfig,
    programs: Vec<PreparedProgram>,
    outputs: PathBuf,
    agent: Agent,
    store: Store,
    facts: HostFacts,
    poller: Poller,
    listener: TcpListener,
    conns: HashMap<u64, Link>,
    by_placer: BTreeMap<Arc<str>, u64>,
    watched: HashMap<u64, Watched>,
    next_token: u64,
    timers: Vec<(u64, Later)>,
    previous_cpu_ticks: BTreeMap<u64, u64>,
    started_at: Instant,
}

/// Runs an agent until it is told to end (SIGTERM, SIGINT); its tasks run on. SIGUSR1 drains it.
pub fn run(file: &Path, ready: impl FnOnce(SocketAddr)) -> Result<(), String> {
    let (config, programs) = AgentConfig::load(file)?;
    let outputs = config.folder.join("output");
    std::fs::create_dir_all(&outputs).map_err(|e| format!("{}: {e}", outputs.display()))?;
    let path = config.folder.join("agent.redb");
    let told = |e: crate::store::StoreError| format!("{}: {e}", path.display());
    let store = Store::open(&path).map_err(told)?;
    let (mut facts, kept) = store.load().map_err(told)?;
    let boot = process::boot_id().map_err(|e| format!("boot id: {e}"))?;
    let same_boot = facts.boot_id == boot;
    facts.boot_id = boot;
    store.commit(&[], Some(&facts)).map_err(told)?;

    let (mut shell, mut signals) = Shell::new(config, programs, outputs, store, facts)
        .map_err(|e| format!("{}: {e}", file.display()))?;
    shell.recover(kept, same_boot);
    let address = shell.listener.local_addr().map_err(|e| e.to_string())?;
    tracing::info!(name = %shell.config.name, %address, "agent serves");
    ready(address);
    shell.serve(&mut signals).map_err(|e| format!("agent: {e}"))
}

impl Shell {
    fn new(
        config: AgentConfig,
        programs: Vec<PreparedProgram>,
        outputs: PathBuf,
        store: Store,
        facts: HostFacts,
    ) -> io::Result<(Shell, Signals)> {
        let poller = Poller::new()?;
        let signals = Signals::catch(&[
            signal_hook::consts::SIGTERM,
            signal_hook::consts::SIGINT,
            signal_hook::consts::SIGUSR1,
        ])?;
        signals.register(&poller, SIGNALS)?;
        let listener = TcpListener::bind(config.listen)?;
        listener.set_nonblocking(true)?;
        poller.register(&listener, LISTENER, false)?;
        let started_ms = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |d| d.as_millis() as u64);
        let agent = Agent::new(
            &config.name,
            started_ms,
            config.policy(),
            config.stop_grace_ms * 1000,
        );
        let shell = Shell {
            config,
            programs,
            outputs,
            agent,
            store,
            facts,
            poller,
            listener,
            conns: HashMap::new(),
            by_placer: BTreeMap::new(),
            watched: HashMap::new(),
            next_token: FIRST,
            timers: Vec::new(),
            previous_cpu_ticks: BTreeMap::new(),
            started_at: Instant::now(),
        };
        Ok((shell, signals))
    }

    /// µs since the agent began; 0 is never given.
    fn now(&self) -> u64 {
        self.started_at.elapsed().as_micros() as u64 + 1
    }

    fn recover(&mut self, kept: Vec<(u64, crate::agent::StoredTask)>, same_boot: bool) {
        let marked = process::marked(&self.config.name);
        let found = |attempt: u64, kept: &crate::agent::StoredTask| {
            if !same_boot {
                return RecoveryOutcome::Gone;
            }
            let of_marker = || marked.get(&attempt).and_then(|all| all.first()).copied();
            match kept.state {
                TaskState::Running(identity) if process::is_alive(identity) => {
                    RecoveryOutcome::Alive(identity)
                }
                TaskState::Starting => {
                    of_marker().map_or(RecoveryOutcome::Gone, RecoveryOutcome::Alive)
                }
                _ => RecoveryOutcome::Gone,
            }
        };
        let (now, drains) = (self.now(), self.facts.is_draining);
        let mut out = Vec::new();
        self.agent.recover(now, drains, kept, found, &mut out);
        let adopted: Vec<(u64, Identity)> = self.agent.running_processes().collect();
        // What carries the marker and belongs to no task that runs is what an end left behind.
        for (attempt, all) in &marked {
            if !adopted.iter().any(|(a, _)| a == attempt) {
                all.iter()
                    .for_each(|&identity| process::signal_group(identity, true));
            }
        }
        tracing::info!(adopted = adopted.len(), "recovered");
        for (attempt, identity) in adopted {
            if let Err(e) = self.watch(attempt, identity, None) {
                // It ended in between.
                tracing::info!(attempt, error = %e, "its process is gone");
                let now = self.now();
                self.agent.exited(now, attempt, None, &mut out);
            }
        }
        self.carry_out(out);
    }

    fn watch(&mut self, attempt: u64, identity: Identity, child: Option<Child>) -> io::Result<()> {
        let pid = Pid::from_raw(identity.pid as i32).ok_or(io::ErrorKind::NotFound)?;
        let pidfd = pidfd_open(pid, PidfdFlags::empty())?;
        // Only what still is that process now is what the descriptor stands for.
        if child.is_none() && !process::is_alive(identity) {
            return Err(io::ErrorKind::NotFound.into());
        }
        let token = self.next_token;
        self.next_token += 1;
        self.poller.register(&pidfd, token, false)?;
        self.watched.insert(
            token,
            Watched {
                attempt,
                identity,
                pidfd,
                child,
            },
        );
        Ok(())
    }

    fn serve(&mut self, signals: &mut Signals) -> io::Result<()> {
        let mut ready: Vec<Readiness> = Vec::new();
        let measure = self.config.measure_ms * 1000;
        let mut measured = self.now();
        loop {
            let now = self.now();
            let next = self
                .timers
                .iter()
                .map(|t| t.0)
                .min()
                .unwrap_or(u64::MAX)
                .min(measured + measure);
            ready.clear();
            self.poller.wait(
                Some(Duration::from_micros(next.saturating_sub(now))),
                &mut ready,
            )?;
            let mut out = Vec::new();
            for r in &ready {
                match r.token {
                    SIGNALS => {
                        for signal in signals.take_received() {
                            if signal != signal_hook::consts::SIGUSR1 {
                                tracing::info!("told to end; tasks run on");
                                return Ok(());
                            }
                            let placers: Vec<Arc<str>> = self.by_placer.keys().cloned().collect();
                            self.agent.drain(placers.into_iter(), &mut out);
                        }
                    }
                    LISTENER => self.accept(),
                    token if self.watched.contains_key(&token) => {
                        self.process_ended(token, &mut out)
                    }
                    token => self.link_ready(token, r, &mut out),
                }
            }
            let now = self.now();
            let due: Vec<Later> = self
                .timers
                .iter()
                .filter(|t| t.0 <= now)
                .map(|t| t.1)
                .collect();
            self.timers.retain(|t| t.0 > now);
            due.into_iter()
                .for_each(|later| self.agent.handle_timer(now, later, &mut out));
            if measured + measure <= now {
                self.measure(now - measured, &mut out);
                measured = now;
            }
            self.carry_out(out);
        }
    }

    /// Makes durable what a turn wants kept, then does the rest, and what comes of it.
    fn carry_out(&mut self, mut turn: Vec<Action>) {
        loop {
            self.agent
                .report_finished(|placer| self.by_placer.contains_key(placer), &mut turn);
            if turn.is_empty() {
                return;
            }
            if turn.contains(&Action::KeepDrain) {
                self.facts.is_draining = true;
            }
            let facts = turn.contains(&Action::KeepDrain).then_some(&self.facts);
            if let Err(e) = self.store.commit(&turn, facts) {
                tracing::error!(error = %e, "the store takes nothing; no new tasks until it does");
                let mut instead = Vec::new();
                self.agent.unkept(&turn, &mut instead);
                turn = instead;
            }
            let mut next = Vec::new();
            for what in turn {
                match what {
                    Action::StoreTask(..) | Action::Forget(_) | Action::KeepDrain => {}
                    Action::Send(placer, frame) => self.send(&placer, &frame),
                    Action::Spawn(attempt) => self.spawn(attempt, &mut next),
                    Action::Kill(identity, force) => process::signal_group(identity, force),
                    Action::After(after, later) => {
                        let at = self.now() + after;
                        self.timers.push((at, later));
                    }
                }
            }
            turn = next;
        }
    }

    fn spawn(&mut self, attempt: u64, next: &mut Vec<Action>) {
        let Some(offer) = self.agent.offer(attempt) else {
            return;
        };
        let started = find_program(&self.programs, offer)
            .ok_or_else(|| io::Error::new(io::ErrorKind::NotFound, "no program for it"))
            .and_then(|runnable| process::spawn(runnable, offer, &self.config.name, &self.outputs));
        let now = self.now();
        let result = match started {
            Ok((child, identity)) => match self.watch(attempt, identity, Some(child)) {
                Ok(()) => Ok(identity),
                Err(e) => {
                    tracing::error!(attempt, error = %e, "its end could not be watched; it is ended");
                    process::signal_group(identity, true);
                    Err(Reason::Error)
                }
            },
            Err(e) => {
                tracing::warn!(attempt, error = %e, "its program could not be started");
                Err(Reason::Error)
            }
        };
        self.agent.spawned(now, attempt, result, next);
    }

    fn process_ended(&mut self, token: u64, out: &mut Vec<Action>) {
        let Some(mut watched) = self.watched.remove(&token) else {
            return;
        };
        let _ = self.poller.deregister(&watched.pidfd);
        // The rest of its group goes with it; until it is reaped the group's number is its own.
        process::signal_group(watched.identity, true);
        let well = watched
            .child
            .as_mut()
            .and_then(|c| c.wait().ok())
            .map(|status| status.success());
        self.previous_cpu_ticks.remove(&watched.attempt);
        let now = self.now();
        self.agent.exited(now, watched.attempt, well, out);
    }

    fn measure(&mut self, span: u64, out: &mut Vec<Action>) {
        let groups: BTreeMap<u32, ResourceUsage> = process::measure_groups();
        let tick = 1.0 / process::ticks_a_second().max(1) as f64;
        let running: Vec<(u64, Identity)> = self.agent.running_processes().collect();
        for (attempt, identity) in running {
            self.rotate(attempt);
            let Some(used) = groups.get(&identity.pid) else {
                continue;
            };
            let before = self.previous_cpu_ticks.insert(attempt, used.cpu_ticks);
            if let Some(before) = before {
                let cores = used.cpu_ticks.saturating_sub(before) as f64 * tick
                    / (span as f64 / 1e6).max(1e-3);
                self.agent.report_usage(
                    attempt,
                    cores,
                    used.resident_bytes as f64 / (1u64 << 30) as f64,
                    out,
                );
            }
        }
    }

    /// Puts a task's output aside once it is too long. Tasks append, so what they write next begins the file anew.
    fn rotate(&self, attempt: u64) {
        let file = process::output_path(&self.outputs, attempt);
        if std::fs::metadata(&file).is_ok_and(|m| m.len() > self.config.output_kib << 10) {
            let kept = std::fs::copy(&file, file.with_extension("log.1")).and_then(|_| {
                std::fs::OpenOptions::new()
                    .write(true)
                    .open(&file)?
                    .set_len(0)
            });
            if let Err(e) = kept {
                tracing::warn!(file = %file.display(), error = %e, "output could not be put aside");
            }
        }
    }

    fn accept(&mut self) {
        while let Ok((stream, _)) = self.listener.accept() {
            if self.conns.len() >= MOST_CONNS {
                tracing::warn!("too many connections; one more was closed");
                continue;
            }
            let token = self.next_token;
            self.next_token += 1;
            if let Ok(conn) = TcpConnection::from_accepted(stream, token, &self.poller) {
                self.conns.insert(token, Link { conn, placer: None });
            }
        }
    }

    fn lose(&mut self, token: u64) {
        if let Some(Link {
            placer: Some(placer),
            ..
        }) = self.conns.remove(&token)
            && self.by_placer.get(&placer) == Some(&token)
        {
            self.by_placer.remove(&placer);
        }
    }

    fn link_ready(&mut self, token: u64, r: &Readiness, out: &mut Vec<Action>) {
        let Some(link) = self.conns.get_mut(&token) else {
            return;
        };
        if r.is_writable && link.conn.flush(&self.poller).is_err() {
            return self.lose(token);
        }
        if !r.is_readable {
            return;
        }
        let outcome = link.conn.read_available(256 << 10, 512 << 10);
        while let Some(link) = self.conns.get_mut(&token) {
            match frame::decode(link.conn.unread()) {
                Ok((frame, used)) => {
                    link.conn.consume(used);
                    let Some(frame) = frame else { break };
                    self.frame(token, frame, out);
                }
                Err(e) => {
                    tracing::warn!(error = %e, "a placer breaks the protocol; connection dropped");
                    return self.lose(token);
                }
            }
        }
        if matches!(outcome, ReadOutcome::Closed | ReadOutcome::Failed) {
            self.lose(token);
        }
    }

    fn frame(&mut self, token: u64, frame: Frame, out: &mut Vec<Action>) {
        let now = self.now();
        let Some(link) = self.conns.get_mut(&token) else {
            return;
        };
        match (&link.placer, frame) {
            (_, Frame::Bye(_)) => self.lose(token),
            (
                None,
                Frame::Hello {
                    major, minor, name, ..
                },
            ) if major == frame::MAJOR => {
                let placer: Arc<str> = name.into();
                link.placer = Some(placer.clone());
                if let Some(before) = self.by_placer.insert(placer.clone(), token) {
                    self.conns.remove(&before);
                }
                self.agent.handle_greeting(&placer, minor, out);
            }
            (None, _) => {
                frame::encode(
                    &Frame::Bye(format!("speaks version {}", frame::MAJOR)),
                    link.conn.write_buffer(),
                );
                let _ = link.conn.flush(&self.poller);
                self.lose(token);
            }
            (Some(placer), Frame::Offer(offer))
                if find_program(&self.programs, &offer).is_none() =>
            {
                let refused = Frame::Refused(offer.attempt_id, Reason::Ineligible, None);
                out.push(Action::Send(placer.clone(), refused));
            }
            (Some(placer), frame) => {
                let placer = placer.clone();
                self.agent.handle_frame(now, &placer, frame, out);
            }
        }
    }

    fn send(&mut self, placer: &str, frame: &Frame) {
        let Some(&token) = self.by_placer.get(placer) else {
            return;
        };
        let Some(link) = self.conns.get_mut(&token) else {
            return;
        };
        frame::encode(frame, link.conn.write_buffer());
        if link.conn.flush(&self.poller).is_err() || link.conn.unwritten_bytes() > MOST_UNWRITTEN {
            self.lose(token);
        }
    }
}
