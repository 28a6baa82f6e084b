//! The I/O shell of an agent: placer connections, processes, signals and the store around an [`Agent`].
//!
//! It runs in one thread. The actions for all events that one wait of the poller returns are committed together.

mod connections;
mod error;
mod processes;

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use maplethread_reactor::{Poller, Readiness, Signals};
use signal_hook::consts::{SIGINT, SIGTERM, SIGUSR1};

use crate::agent::{Action, Agent, RecoveryOutcome, StoredTask, TaskState, Timer};
use crate::config::{AgentConfig, PreparedProgram};
use crate::process;
use crate::store::{HostFacts, Store, StoredState};
use connections::PlacerConnection;
pub use error::RunError;
use processes::WatchedProcess;

const SIGNALS_TOKEN: u64 = 0;
const LISTENER_TOKEN: u64 = 1;
/// The first token for connections and processes.
const FIRST_DYNAMIC_TOKEN: u64 = 2;

/// Whether the event loop continues after an event.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Flow {
    Continue,
    Stop,
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
    /// Connections by token.
    connections: HashMap<u64, PlacerConnection>,
    token_by_placer: BTreeMap<Arc<str>, u64>,
    /// Processes by token.
    watched: HashMap<u64, WatchedProcess>,
    next_token: u64,
    /// Timers with their expiry times, µs.
    timers: Vec<(u64, Timer)>,
    /// CPU time of each attempt at the last measurement, ticks.
    previous_cpu_ticks: BTreeMap<u64, u64>,
    /// When usage was last measured, µs.
    last_measured_us: u64,
    started_at: Instant,
}

/// Runs an agent until SIGTERM or SIGINT; its tasks keep running. SIGUSR1 drains the host. `on_ready` receives the
/// address that the agent listens on.
///
/// # Errors
/// If the settings are invalid, the store cannot be used, or a system call fails.
pub fn run(settings_file: &Path, on_ready: impl FnOnce(SocketAddr)) -> Result<(), RunError> {
    let (config, programs) = AgentConfig::load(settings_file)?;
    let setup_error = |path: &Path| {
        let path = path.to_owned();
        move |source| RunError::Setup { path, source }
    };
    let output_folder = config.output_folder();
    std::fs::create_dir_all(&output_folder).map_err(setup_error(&output_folder))?;
    let path = config.store_path();
    let store_error = |source| RunError::Store {
        path: path.clone(),
        source,
    };
    let store = Store::open(&path).map_err(store_error)?;
    let StoredState { mut facts, tasks } = store.load().map_err(store_error)?;
    let boot_id = process::boot_id().map_err(RunError::BootId)?;
    let is_same_boot = facts.boot_id == boot_id;
    facts.boot_id = boot_id;
    store.commit(&[], Some(&facts)).map_err(store_error)?;

    let (mut shell, mut signals) = Shell::new(config, programs, output_folder, store, facts)
        .map_err(setup_error(settings_file))?;
    shell.recover(tasks, is_same_boot);
    let address = shell
        .listener
        .local_addr()
        .map_err(setup_error(settings_file))?;
    tracing::info!(name = %shell.config.name, %address, "agent listening");
    on_ready(address);
    shell.serve(&mut signals).map_err(RunError::Serve)
}

impl Shell {
    fn new(
        config: AgentConfig,
        programs: Vec<PreparedProgram>,
        output_folder: PathBuf,
        store: Store,
        facts: HostFacts,
    ) -> io::Result<(Shell, Signals)> {
        let poller = Poller::new()?;
        let signals = Signals::catch(&[SIGTERM, SIGINT, SIGUSR1])?;
        signals.register(&poller, SIGNALS_TOKEN)?;
        let listener = TcpListener::bind(config.listen)?;
        listener.set_nonblocking(true)?;
        poller.register(&listener, LISTENER_TOKEN, false)?;
        let started_ms = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |since_epoch| since_epoch.as_millis() as u64);
        let agent = Agent::new(
            &config.name,
            started_ms,
            config.admission_policy(),
            config.stop_grace_ms * 1000,
        );
        let shell = Shell {
            config,
            programs,
            output_folder,
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
            last_measured_us: 0,
            started_at: Instant::now(),
        };
        Ok((shell, signals))
    }

    /// Time since the shell was created, µs; at least 1.
    fn now_us(&self) -> u64 {
        self.started_at.elapsed().as_micros() as u64 + 1
    }

    fn allocate_token(&mut self) -> u64 {
        self.next_token += 1;
        self.next_token - 1
    }

    /// Restores the tasks that an earlier agent process stored.
    fn recover(&mut self, stored: Vec<(u64, StoredTask)>, is_same_boot: bool) {
        let marked = process::find_marked(&self.config.name);
        let find_process = |attempt: u64, task: &StoredTask| {
            if !is_same_boot {
                return RecoveryOutcome::NotFound;
            }
            let marked_process = || marked.get(&attempt).and_then(|all| all.first()).copied();
            match task.state {
                TaskState::Running(identity) if process::is_alive(identity) => {
                    RecoveryOutcome::Running(identity)
                }
                TaskState::Starting => {
                    marked_process().map_or(RecoveryOutcome::NotFound, RecoveryOutcome::Running)
                }
                _ => RecoveryOutcome::NotFound,
            }
        };
        let (now_us, is_draining) = (self.now_us(), self.facts.is_draining);
        let mut actions = Vec::new();
        self.agent
            .recover(now_us, is_draining, stored, find_process, &mut actions);
        self.adopt_processes(&marked, &mut actions);
        self.execute(actions);
    }

    fn serve(&mut self, signals: &mut Signals) -> io::Result<()> {
        let mut ready: Vec<Readiness> = Vec::new();
        self.last_measured_us = self.now_us();
        loop {
            let timeout_us = self.next_wakeup_us().saturating_sub(self.now_us());
            ready.clear();
            self.poller
                .wait(Some(Duration::from_micros(timeout_us)), &mut ready)?;
            let mut actions = Vec::new();
            for readiness in &ready {
                if self.handle_readiness(readiness, signals, &mut actions) == Flow::Stop {
                    return Ok(());
                }
            }
            self.fire_timers(&mut actions);
            self.execute(actions);
        }
    }

    /// When the next timer expires or the next measurement is due, whichever is earlier.
    fn next_wakeup_us(&self) -> u64 {
        let timers = self.timers.iter().map(|&(expires_us, _)| expires_us);
        timers.fold(self.next_measurement_us(), u64::min)
    }

    fn next_measurement_us(&self) -> u64 {
        self.last_measured_us + self.config.measure_interval_ms * 1000
    }

    fn handle_readiness(
        &mut self,
        readiness: &Readiness,
        signals: &mut Signals,
        actions: &mut Vec<Action>,
    ) -> Flow {
        match readiness.token {
            SIGNALS_TOKEN => return self.handle_signals(signals, actions),
            LISTENER_TOKEN => self.accept_connections(),
            token if self.watched.contains_key(&token) => self.handle_process_exit(token, actions),
            _ => self.handle_connection_ready(readiness, actions),
        }
        Flow::Continue
    }

    fn handle_signals(&mut self, signals: &mut Signals, actions: &mut Vec<Action>) -> Flow {
        for signal in signals.take_received() {
            if signal != SIGUSR1 {
                tracing::info!("agent stopping; its tasks keep running");
                return Flow::Stop;
            }
            let placers: Vec<Arc<str>> = self.token_by_placer.keys().cloned().collect();
            self.agent.drain(placers.into_iter(), actions);
        }
        Flow::Continue
    }

    fn fire_timers(&mut self, actions: &mut Vec<Action>) {
        let now_us = self.now_us();
        for (_, timer) in self.timers.extract_if(.., |(at, _)| *at <= now_us) {
            self.agent.handle_timer(now_us, timer, actions);
        }
        if self.next_measurement_us() <= now_us {
            self.report_usage(now_us - self.last_measured_us, actions);
            self.last_measured_us = now_us;
        }
    }

    /// Commits changes of the store, then executes the other actions and those that result from them.
    fn execute(&mut self, mut actions: Vec<Action>) {
        loop {
            let token_by_placer = &self.token_by_placer;
            self.agent
                .report_finished(|placer| token_by_placer.contains_key(placer), &mut actions);
            if actions.is_empty() {
                return;
            }
            if let Some(replacement) = self.commit_actions(&actions) {
                actions = replacement;
            }
            let mut next_actions = Vec::new();
            for action in actions {
                match action {
                    Action::StoreTask(..) | Action::RemoveTask(_) | Action::StoreDraining => {}
                    Action::Send(placer, frame) => self.send_frame(&placer, &frame),
                    Action::StartProcess(attempt) => self.start_process(attempt, &mut next_actions),
                    Action::StopProcess(identity, mode) => process::signal_group(identity, mode),
                    Action::SetTimer { delay_us, timer } => {
                        self.timers.push((self.now_us() + delay_us, timer));
                    }
                }
            }
            actions = next_actions;
        }
    }

    /// Commits the changes of the store in a list of actions. If that fails, returns the list that replaces it.
    fn commit_actions(&mut self, actions: &[Action]) -> Option<Vec<Action>> {
        let is_draining = actions.contains(&Action::StoreDraining);
        self.facts.is_draining |= is_draining;
        let facts = is_draining.then_some(&self.facts);
        let error = self.store.commit(actions, facts).err()?;
        tracing::error!(%error, "commit to the store failed; offers are rejected until the store is used again");
        let mut replacement = Vec::new();
        self.agent.handle_store_failure(actions, &mut replacement);
        Some(replacement)
    }
}
