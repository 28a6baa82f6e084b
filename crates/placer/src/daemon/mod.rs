//! The event loop: feeds input from sockets, signals and the inventory file to the engine, and executes its outputs.

mod clients;
mod gauges;
mod hosts;
mod inventory;
mod lingering;
mod outputs;

use std::io::Write;
use std::net::SocketAddr;

use maplethread::SettingsError;
use maplethread_config::PlacerConfig;
use maplethread_consul::Update;
use maplethread_engine::{Decide, Engine, StartInfo};
use maplethread_reactor::{
    Backlog, EventLoop, FileWatch, Listener, MAX_EVENTS_PER_WAIT, Readiness, ResourceError,
};
use signal_hook::consts::{SIGINT, SIGTERM};

use crate::config_file::{Options, load_config};
use crate::consul_client::ConsulClient;
use crate::error::Error;
use crate::loop_time::TimedDecider;
use crate::membership::{MembershipSocket, PollerTokens, StartTime};
use crate::pending_writes::PendingWrites;
use crate::stall_detection::{MAX_READ_DURATION_US, StallDetector, Wait, Wakeup};
use crate::tokens::{
    INVENTORY_TOKEN, LISTENER_TOKEN, MEMBERSHIP_KEYS_TOKEN, MEMBERSHIP_TOKEN, SIGNALS_TOKEN,
    TokenAllocator,
};
use crate::trace_queue::{RecordingDecider, TraceItem};
use crate::trace_recorder::Recorder;
use clients::Clients;
use gauges::Gauges;
use hosts::Hosts;
use lingering::LingeringConnections;

/// Maximum number of bytes read per connection and round, so that a busy peer can't starve the others.
const MAX_READ_BYTES_PER_ROUND: usize = 64 << 10;
/// Maximum number of bytes buffered per connection that the engine has not parsed yet. A client that exceeds it is not
/// read until the engine has parsed some.
const MAX_UNREAD_BYTES: usize = 128 << 10;
/// Maximum number of read rounds before a decision.
const MAX_READ_ROUNDS: usize = 4;
/// Maximum number of read rounds before the first decision after a stall of the process. That decision has to be based
/// on all input that arrived during the stall.
const MAX_READ_ROUNDS_AFTER_STALL: usize = 256;

/// Runs a placer until it receives SIGTERM or SIGINT. `new_decider` creates the decider from the settings and a random
/// seed.
///
/// # Errors
/// If the settings are invalid, or a file, socket or signal handler that they need can't be opened.
pub fn run<D: Decide>(
    options: &Options,
    new_decider: impl FnOnce(&PlacerConfig, u64) -> Result<D, SettingsError>,
) -> Result<(), Error> {
    let config = load_config(&options.config_path)?;
    let event_loop = EventLoop::new(&[SIGTERM, SIGINT], SIGNALS_TOKEN)?;
    let started_ms = event_loop.now() / 1000;
    let seed = config
        .identity
        .seed
        .unwrap_or_else(|| event_loop.now() ^ (u64::from(std::process::id()) << 32));
    let decider = new_decider(&config, seed).map_err(Error::Settings)?;
    let listener = event_loop.listen(config.api.listen, Backlog::Large)?;
    let recorder = Recorder::start(&config, seed, started_ms, decider.is_replayable())
        .map_err(ResourceError::for_resource("trace writer thread"))?;
    let start = StartInfo { started_ms, seed };
    let mut daemon = Daemon::new(config, decider, start, event_loop, listener, recorder)?;
    daemon.load_inventory();
    daemon.serve()
}

/// The daemon's decider. The time for decisions and the time for recording them are measured separately.
type DaemonDecider<D> = RecordingDecider<TimedDecider<D>>;

struct Daemon<D> {
    engine: Engine<DaemonDecider<D>>,
    event_loop: EventLoop,
    /// None once shutdown has begun.
    listener: Option<Listener>,
    is_accepting: bool,
    inventory_watch: Option<FileWatch>,
    consul: Option<ConsulClient>,
    membership: Option<MembershipSocket>,
    /// This placer's index among the replicas of the placer, as last passed to the engine.
    replica_index: Option<u32>,
    config: PlacerConfig,
    tokens: TokenAllocator,
    clients: Clients,
    hosts: Hosts,
    lingering: LingeringConnections,
    pending_writes: PendingWrites,
    gauges: Gauges,
    /// The latest time at which the process exits, µs; none until shutdown begins.
    stop_deadline: Option<u64>,
    recorder: Option<Recorder>,
}

impl<D: Decide> Daemon<D> {
    fn new(
        config: PlacerConfig,
        decider: D,
        start: StartInfo,
        event_loop: EventLoop,
        listener: Listener,
        recorder: Option<Recorder>,
    ) -> Result<Daemon<D>, Error> {
        let inventory_watch = inventory::watch(&config, event_loop.poller())?;
        let consul = ConsulClient::new(&config, start.seed)?;
        let membership = MembershipSocket::new(
            &config,
            StartTime {
                unix_ms: start.started_ms,
                seed: start.seed,
                now: event_loop.now(),
            },
            event_loop.poller(),
            PollerTokens {
                socket: MEMBERSHIP_TOKEN,
                keys: MEMBERSHIP_KEYS_TOKEN,
            },
        )?;
        let gauges = Gauges::new();
        let decider = RecordingDecider {
            inner: TimedDecider {
                inner: decider,
                phase: gauges.loop_time.deciding.clone(),
            },
            queue: recorder.as_ref().map(Recorder::queue),
            phase: gauges.loop_time.recording.clone(),
        };
        let mut engine = Engine::new(config.clone(), decider, start, event_loop.now());
        if recorder.is_some() {
            engine.enable_audit_log();
        }
        let mut replica_index = Some(config.identity.replica_index);
        if config
            .consul
            .as_ref()
            .is_some_and(|c| c.membership.is_some())
        {
            // The index comes from the slot that is leased through Consul.
            replica_index = None;
            engine.set_replica_index(None);
        }
        Ok(Daemon {
            engine,
            event_loop,
            listener: Some(listener),
            is_accepting: false,
            inventory_watch,
            consul,
            membership,
            replica_index,
            config,
            tokens: TokenAllocator::default(),
            clients: Clients::default(),
            hosts: Hosts::default(),
            lingering: LingeringConnections::default(),
            pending_writes: PendingWrites::default(),
            gauges,
            stop_deadline: None,
            recorder,
        })
    }

    fn serve(&mut self) -> Result<(), Error> {
        let mut ready = Vec::new();
        let mut stalls = StallDetector::new(self.event_loop.now());
        loop {
            let wakeup = self.wait(&stalls, &mut ready)?;
            self.engine.set_unread_since(wakeup.unread_since);
            if let Some(drained_at) = self.read_ready(&mut ready, &wakeup)? {
                stalls.record_drained(drained_at);
            }
            self.retry_backlogged_clients();
            let read_at = self.event_loop.now();
            let is_stalled = wakeup.is_stalled_by(read_at);
            self.apply_consul_updates(read_at, is_stalled);
            self.take_turn(read_at, is_stalled);
            let decided_at = self.event_loop.now();
            self.execute_outputs();
            if let Some(membership) = &mut self.membership {
                membership.tick(self.event_loop.now());
            }
            let written_at = self.event_loop.now();
            let loop_time = &mut self.gauges.loop_time;
            loop_time.reading.add_micros(read_at - wakeup.at);
            loop_time.turn.add_micros(decided_at - read_at);
            loop_time.writing.add_micros(written_at - decided_at);
            self.engine.record_busy_period(wakeup.at, written_at);
            if !self.is_accepting && self.stop_deadline.is_none() && self.engine.is_ready() {
                self.start_accepting()?;
            }
            if self.is_done() {
                return Ok(());
            }
        }
    }

    /// Waits until something is ready or due.
    fn wait(&self, stalls: &StallDetector, ready: &mut Vec<Readiness>) -> Result<Wakeup, Error> {
        let started_at = self.event_loop.now();
        let deadline = self.next_timeout();
        let wake_by = if self.clients.has_retriable_backlog() {
            Some(started_at)
        } else {
            deadline
        };
        self.event_loop.wait_until(wake_by, ready)?;
        let wait = Wait {
            started_at,
            deadline,
        };
        let wakeup = stalls.wake_up(wait, self.event_loop.now());
        if wakeup.is_stalled {
            tracing::warn!(ms = wakeup.unread_ms(), "event loop stalled");
        }
        Ok(wakeup)
    }

    /// Reads what is ready and what arrives meanwhile. After a stall, reads everything that arrived during it, for at
    /// most `MAX_READ_DURATION_US`. Returns the last time at which no input was left unread.
    fn read_ready(
        &mut self,
        ready: &mut Vec<Readiness>,
        wakeup: &Wakeup,
    ) -> Result<Option<u64>, Error> {
        let max_rounds = if wakeup.is_stalled {
            MAX_READ_ROUNDS_AFTER_STALL
        } else {
            MAX_READ_ROUNDS
        };
        let mut drained_at = None;
        self.dispatch_readiness(ready);
        for _ in 1..max_rounds {
            let polled_at = self.event_loop.now();
            self.event_loop.poll_now(ready)?;
            if ready.len() < MAX_EVENTS_PER_WAIT {
                drained_at = Some(polled_at);
            }
            self.dispatch_readiness(ready);
            let may_stop = drained_at.is_some() || polled_at > wakeup.at + MAX_READ_DURATION_US;
            if ready.is_empty() || (wakeup.is_stalled && may_stop) {
                break;
            }
        }
        Ok(drained_at)
    }

    /// Lets the engine decide on all input read so far.
    fn take_turn(&mut self, now: u64, is_stalled: bool) {
        self.record_audit_entries(now);
        self.engine.turn(now, is_stalled);
        self.record_audit_entries(now);
    }

    /// Passes new entries of the engine's audit log to the recorder.
    fn record_audit_entries(&mut self, now: u64) {
        let Some(recorder) = &self.recorder else {
            return;
        };
        let queue = recorder.queue();
        let engine = &mut self.engine;
        self.gauges.loop_time.recording.measure(|| {
            for entry in engine.take_audit_entries() {
                queue.push(now, TraceItem::AuditEntry(entry));
            }
        });
    }

    /// Runs the Consul client and passes its updates to the engine. `now` is the time of the decision that follows: a
    /// later time could be after a stall that the decision does not take into account.
    fn apply_consul_updates(&mut self, now: u64, is_stalled: bool) {
        let Some(consul) = &mut self.consul else {
            return;
        };
        if is_stalled {
            consul.source.catch_up(now);
        }
        for update in consul.tick(now, self.event_loop.poller(), &mut self.tokens) {
            match update {
                Update::Hosts(hosts) => {
                    tracing::info!(hosts = hosts.len(), "catalogue updated");
                    self.engine.apply_host_changes(now, &hosts);
                }
                Update::Slot(replica_index) => {
                    self.replica_index = replica_index;
                    self.engine.set_replica_index(replica_index);
                }
            }
        }
        if self.is_accepting {
            let updated_at = self.event_loop.now();
            self.gauges.loop_time.updating.add_micros(updated_at - now);
        }
    }

    /// The next time at which something is due, µs.
    fn next_timeout(&self) -> Option<u64> {
        let consul = self.consul.as_ref();
        [
            self.engine.next_timeout(),
            consul.and_then(|c| c.next_timeout(self.event_loop.now())),
            self.membership
                .as_ref()
                .and_then(MembershipSocket::next_timeout),
            self.lingering.next_timeout(),
            self.stop_deadline,
        ]
        .into_iter()
        .flatten()
        .min()
    }

    /// Starts serving clients and announces the listening address to the parent process.
    fn start_accepting(&mut self) -> Result<(), Error> {
        let Some(listener) = &mut self.listener else {
            return Ok(());
        };
        self.is_accepting = true;
        listener
            .register(self.event_loop.poller(), LISTENER_TOKEN)
            .map_err(ResourceError::for_resource("listener"))?;
        let address = listener
            .local_address()
            .map_err(ResourceError::for_resource("listener"))?;
        let name = &self.config.identity.name;
        tracing::info!(placer = %name, %address, "listening");
        if let Some(consul) = &mut self.consul {
            consul.source.set_registration(name, address);
        }
        announce_address(name, address);
        Ok(())
    }

    /// Whether the process may exit: every request is answered and written, or the grace period is over.
    fn is_done(&self) -> bool {
        self.stop_deadline.is_some_and(|deadline| {
            (self.engine.pending_requests() == 0 && self.clients.is_all_written())
                || self.event_loop.now() >= deadline
        })
    }

    /// Stops accepting clients and answers pending requests. A second signal ends the process at once.
    fn begin_shutdown(&mut self, signal: i32) {
        if self.stop_deadline.is_some() {
            tracing::warn!(signal, "second signal: exiting at once");
            self.stop_deadline = Some(0);
            return;
        }
        let pending = self.engine.pending_requests();
        tracing::info!(signal, pending, "shutting down: answering pending requests");
        self.listener = None;
        self.engine.stop_accepting();
        if let Some(membership) = &mut self.membership {
            membership.leave(self.event_loop.now());
        }
        let now = self.event_loop.now();
        self.stop_deadline = Some(now + self.config.api.shutdown_grace_ms * 1000);
    }

    fn dispatch_readiness(&mut self, ready: &[Readiness]) {
        for readiness in ready {
            match readiness.token {
                LISTENER_TOKEN => self.accept_clients(),
                SIGNALS_TOKEN => {
                    for signal in self.event_loop.take_received_signals() {
                        self.begin_shutdown(signal);
                    }
                }
                INVENTORY_TOKEN => self.on_inventory_ready(),
                MEMBERSHIP_TOKEN => {
                    if let Some(membership) = &mut self.membership {
                        membership.read_datagrams(self.event_loop.now());
                    }
                }
                MEMBERSHIP_KEYS_TOKEN => {
                    if let Some(membership) = &mut self.membership {
                        membership.reload_keys();
                    }
                }
                _ => self.on_connection_ready(readiness),
            }
        }
    }

    fn on_connection_ready(&mut self, readiness: &Readiness) {
        let token = readiness.token;
        if self.hosts.owns_token(token) {
            self.on_host_ready(readiness);
        } else if let Some(consul) = self.consul.as_mut().filter(|c| c.owns_token(token)) {
            consul.on_ready(self.event_loop.now(), readiness, self.event_loop.poller());
        } else if self.clients.owns_token(token) {
            self.on_client_ready(readiness);
        } else {
            self.lingering.on_ready(readiness, self.event_loop.poller());
        }
    }
}

/// Prints the listening address on standard output.
fn announce_address(name: &str, address: SocketAddr) {
    let mut out = std::io::stdout().lock();
    // Errors are ignored: if standard output is closed, no process waits for the address.
    let _ = writeln!(out, "maplethread placer {name} listening on {address}");
    let _ = out.flush();
}
