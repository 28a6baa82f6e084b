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

use crate::agent::{Action, Agent, ProcessIdentity, RecoveryOutcome, TaskState, Timer};
use crate::config::{AgentConfig, PreparedProgram, find_program};
use crate::process::{self, ResourceUsage};
use crate::store::{HostFacts, Store};

const SIGNALS_TOKEN: u64 = 0;
const LISTENER_TOKEN: u64 = 1;
const FIRST_DYNAMIC_TOKEN: u64 = 2;
/// Connections that are held at a time; more are closed at once.
const MAX_CONNECTIONS: usize = 1024;
/// A placer that lets so many octets wait is cut off.
const MAX_UNWRITTEN_BYTES: usize = 4 << 20;

struct PlacerConnection {
    connection: TcpConnection,
    placer: Option<Arc<str>>,
}

/// A process that is watched.
struct WatchedProcess {
    attempt: u64,
    identity: ProcessIdentity,
    /// Its end is told by this.
    pidfd: OwnedFd,
    /// None for one that an earlier life of the agent started.
    child: Option<Child>,
}

struct Shell {
    config: AgentConfig,
    programs: Vec<PreparedProgram>,
    output_folder: PathBuf,
    agent: Agent,
    store: Store,
    facts: HostFacts,
    poller: Poller,
    listener: TcpListener,
    connections: HashMap<u64, PlacerConnection>,
    token_by_placer: BTreeMap<Arc<str>, u64>,
    watched: HashMap<u64, WatchedProcess>,
    next_token: u64,
    timers: Vec<(u64, Timer)>,
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
        signals.register(&poller, SIGNALS_TOKEN)?;
        let listener = TcpListener::bind(config.listen)?;
        listener.set_nonblocking(true)?;
        poller.register(&listener, LISTENER_TOKEN, false)?;
        let started_ms = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |d| d.as_millis() as u64);
        let agent = Agent::new(
            &config.name,
            started_ms,
            config.admission_policy(),
            config.stop_grace_ms * 1000,
        );
        let shell = Shell {
            config,
            programs,
            output_folder: outputs,
            agent,
            store,
            facts,
            poller,
            listener,
            connections: HashMap::new(),
            token_by_placer: BTreeMap::new(),
            watched: HashMap::new(),
            next_token: FIRST_DYNAMIC_TOKEN,
            timers: Vec::new(),
            previous_cpu_ticks: BTreeMap::new(),
            started_at: Instant::now(),
        };
        Ok((shell, signals))
    }

    /// µs since the agent began; 0 is never given.
    fn now_us(&self) -> u64 {
        self.started_at.elapsed().as_micros() as u64 + 1
    }

    fn recover(&mut self, kept: Vec<(u64, crate::agent::StoredTask)>, same_boot: bool) {
        let marked = process::find_marked(&self.config.name);
        let found = |attempt: u64, kept: &crate::agent::StoredTask| {
            if !same_boot {
                return RecoveryOutcome::NotFound;
            }
            let of_marker = || marked.get(&attempt).and_then(|all| all.first()).copied();
            match kept.state {
                TaskState::Running(identity) if process::is_alive(identity) => {
                    RecoveryOutcome::Running(identity)
                }
                TaskState::Starting => {
                    of_marker().map_or(RecoveryOutcome::NotFound, RecoveryOutcome::Running)
                }
                _ => RecoveryOutcome::NotFound,
            }
        };
        let (now, drains) = (self.now_us(), self.facts.is_draining);
        let mut out = Vec::new();
        self.agent.recover(now, drains, kept, found, &mut out);
        let adopted: Vec<(u64, ProcessIdentity)> = self.agent.running_processes().collect();
        // What carries the marker and belongs to no task that runs is what an end left behind.
        for (attempt, all) in &marked {
            if !adopted.iter().any(|(a, _)| a == attempt) {
                all.iter()
                    .for_each(|&identity| process::signal_group(identity, true));
            }
        }
        tracing::info!(adopted = adopted.len(), "recovered");
        for (attempt, identity) in adopted {
            if let Err(e) = self.watch_process(attempt, identity, None) {
                // It ended in between.
                tracing::info!(attempt, error = %e, "its process is gone");
                let now = self.now_us();
                self.agent.handle_process_exit(now, attempt, None, &mut out);
            }
        }
        self.execute(out);
    }

    fn watch_process(
        &mut self,
        attempt: u64,
        identity: ProcessIdentity,
        child: Option<Child>,
    ) -> io::Result<()> {
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
            WatchedProcess {
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
        let mut measured = self.now_us();
        loop {
            let now = self.now_us();
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
                    SIGNALS_TOKEN => {
                        for signal in signals.take_received() {
                            if signal != signal_hook::consts::SIGUSR1 {
                                tracing::info!("told to end; tasks run on");
                                return Ok(());
                            }
                            let placers: Vec<Arc<str>> =
                                self.token_by_placer.keys().cloned().collect();
                            self.agent.drain(placers.into_iter(), &mut out);
                        }
                    }
                    LISTENER_TOKEN => self.accept_connections(),
                    token if self.watched.contains_key(&token) => {
                        self.handle_process_exit(token, &mut out)
                    }
                    token => self.handle_connection_ready(token, r, &mut out),
                }
            }
            let now = self.now_us();
            let due: Vec<Timer> = self
                .timers
                .iter()
                .filter(|t| t.0 <= now)
                .map(|t| t.1)
                .collect();
            self.timers.retain(|t| t.0 > now);
            due.into_iter()
                .for_each(|later| self.agent.handle_timer(now, later, &mut out));
            if measured + measure <= now {
                self.report_usage(now - measured, &mut out);
                measured = now;
            }
            self.execute(out);
        }
    }

    /// Makes durable what a turn wants kept, then does the rest, and what comes of it.
    fn execute(&mut self, mut turn: Vec<Action>) {
        loop {
            self.agent.report_finished(
                |placer| self.token_by_placer.contains_key(placer),
                &mut turn,
            );
            if turn.is_empty() {
                return;
            }
            if turn.contains(&Action::StoreDraining) {
                self.facts.is_draining = true;
            }
            let facts = turn.contains(&Action::StoreDraining).then_some(&self.facts);
            if let Err(e) = self.store.commit(&turn, facts) {
                tracing::error!(error = %e, "the store takes nothing; no new tasks until it does");
                let mut instead = Vec::new();
                self.agent.handle_store_failure(&turn, &mut instead);
                turn = instead;
            }
            let mut next = Vec::new();
            for what in turn {
                match what {
                    Action::StoreTask(..) | Action::RemoveTask(_) | Action::StoreDraining => {}
                    Action::Send(placer, frame) => self.send_frame(&placer, &frame),
                    Action::StartProcess(attempt) => self.start_process(attempt, &mut next),
                    Action::StopProcess(identity, force) => process::signal_group(identity, force),
                    Action::SetTimer(after, later) => {
                        let at = self.now_us() + after;
                        self.timers.push((at, later));
                    }
                }
            }
            turn = next;
        }
    }

    fn start_process(&mut self, attempt: u64, next: &mut Vec<Action>) {
        let Some(offer) = self.agent.offer(attempt) else {
            return;
        };
        let started = find_program(&self.programs, offer)
            .ok_or_else(|| io::Error::new(io::ErrorKind::NotFound, "no program for it"))
            .and_then(|runnable| {
                process::spawn(runnable, offer, &self.config.name, &self.output_folder)
            });
        let now = self.now_us();
        let result = match started {
            Ok((child, identity)) => match self.watch_process(attempt, identity, Some(child)) {
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
        self.agent.handle_start_result(now, attempt, result, next);
    }

    fn handle_process_exit(&mut self, token: u64, out: &mut Vec<Action>) {
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
        let now = self.now_us();
        self.agent
            .handle_process_exit(now, watched.attempt, well, out);
    }

    fn report_usage(&mut self, span: u64, out: &mut Vec<Action>) {
        let groups: BTreeMap<u32, ResourceUsage> = process::measure_groups();
        let tick = 1.0 / process::ticks_per_second().max(1) as f64;
        let running: Vec<(u64, ProcessIdentity)> = self.agent.running_processes().collect();
        for (attempt, identity) in running {
            self.rotate_output(attempt);
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
    fn rotate_output(&self, attempt: u64) {
        let file = process::output_path(&self.output_folder, attempt);
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

    fn accept_connections(&mut self) {
        while let Ok((stream, _)) = self.listener.accept() {
            if self.connections.len() >= MAX_CONNECTIONS {
                tracing::warn!("too many connections; one more was closed");
                continue;
            }
            let token = self.next_token;
            self.next_token += 1;
            if let Ok(conn) = TcpConnection::from_accepted(stream, token, &self.poller) {
                self.connections.insert(
                    token,
                    PlacerConnection {
                        connection: conn,
                        placer: None,
                    },
                );
            }
        }
    }

    fn close_connection(&mut self, token: u64) {
        if let Some(PlacerConnection {
            placer: Some(placer),
            ..
        }) = self.connections.remove(&token)
            && self.token_by_placer.get(&placer) == Some(&token)
        {
            self.token_by_placer.remove(&placer);
        }
    }

    fn handle_connection_ready(&mut self, token: u64, r: &Readiness, out: &mut Vec<Action>) {
        let Some(link) = self.connections.get_mut(&token) else {
            return;
        };
        if r.is_writable && link.connection.flush(&self.poller).is_err() {
            return self.close_connection(token);
        }
        if !r.is_readable {
            return;
        }
        let outcome = link.connection.read_available(256 << 10, 512 << 10);
        while let Some(link) = self.connections.get_mut(&token) {
            match frame::decode(link.connection.unread()) {
                Ok((frame, used)) => {
                    link.connection.consume(used);
                    let Some(frame) = frame else { break };
                    self.handle_frame(token, frame, out);
                }
                Err(e) => {
                    tracing::warn!(error = %e, "a placer breaks the protocol; connection dropped");
                    return self.close_connection(token);
                }
            }
        }
        if matches!(outcome, ReadOutcome::Closed | ReadOutcome::Failed) {
            self.close_connection(token);
        }
    }

    fn handle_frame(&mut self, token: u64, frame: Frame, out: &mut Vec<Action>) {
        let now = self.now_us();
        let Some(link) = self.connections.get_mut(&token) else {
            return;
        };
        match (&link.placer, frame) {
            (_, Frame::Bye(_)) => self.close_connection(token),
            (
                None,
                Frame::Hello {
                    major, minor, name, ..
                },
            ) if major == frame::MAJOR => {
                let placer: Arc<str> = name.into();
                link.placer = Some(placer.clone());
                if let Some(before) = self.token_by_placer.insert(placer.clone(), token) {
                    self.connections.remove(&before);
                }
                self.agent.handle_greeting(&placer, minor, out);
            }
            (None, _) => {
                frame::encode(
                    &Frame::Bye(format!("speaks version {}", frame::MAJOR)),
                    link.connection.write_buffer(),
                );
                let _ = link.connection.flush(&self.poller);
                self.close_connection(token);
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

    fn send_frame(&mut self, placer: &str, frame: &Frame) {
        let Some(&token) = self.token_by_placer.get(placer) else {
            return;
        };
        let Some(link) = self.connections.get_mut(&token) else {
            return;
        };
        frame::encode(frame, link.connection.write_buffer());
        if link.connection.flush(&self.poller).is_err()
            || link.connection.unwritten_bytes() > MAX_UNWRITTEN_BYTES
        {
            self.close_connection(token);
        }
    }
}
