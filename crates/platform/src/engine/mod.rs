//! The engine: messages of owners and hosts and events of the command channel become events of the decisions, and the
//! decisions' actions become messages, connections and timers.
//!
//! The methods of `Engine` stand in the module of what they deal with: `requests` and `attempts` follow a task from
//! its request to its answer, `running_tasks` and `releases` from there to its end; `owners` and `connections`
//! hold the connections of both sides, `host_messages` handles what hosts send, and `failure_detection` decides when
//! a silent host has failed.

mod admission_queue;
mod attempts;
mod connections;
mod early_results;
mod failure_detection;
mod host_messages;
mod host_table;
mod output;
mod owners;
mod releases;
mod requests;
mod running_tasks;
mod task_table;
#[cfg(test)]
mod tests;
mod timer;

use std::collections::HashMap;

use maplethread::{Action, AttemptOutcome, Event, Micros, RetrySafety, Settings};
use maplethread_engine::{Decide, Timers};
use maplethread_platform_settings::PlatformSettings;
use maplethread_platform_wire::Cause;
use maplethread_platform_wire::command_channel::CommandBatch;

use admission_queue::AdmissionQueue;
use connections::HostConnection;
use early_results::EarlyResults;
use host_table::HostTable;
pub use output::{ConnectionId, DisconnectReason, Output, OwnerId};
use owners::Owner;
use releases::PendingReleases;
use task_table::TaskTable;
use timer::Timer;

/// Turns of the decisions within one turn of the engine, while their actions fail at once.
const MAX_DECISION_ROUNDS: usize = 8;
/// Bytes of descriptions that are held at a time, unless the caller sets another bound; beyond it set-ups are rejected.
const MAX_DESCRIPTION_BYTES: usize = 8 << 20;

/// The sizes of the engine's tables, to check that none grows with what is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableSizes {
    /// Tasks that are pending, in flight or running.
    pub tasks: usize,
    /// Connections to hosts.
    pub connections: usize,
    /// Hosts that are listed or run a task.
    pub hosts: usize,
    /// Timers, including those that are no longer needed.
    pub timers: usize,
    /// Releases that wait for an owner's connection.
    pub pending_releases: usize,
    /// Results of tasks that are unknown, or not known yet.
    pub early_results: usize,
}

/// The engine around the decisions `D`.
pub struct Engine<D> {
    decider: D,
    settings: PlatformSettings,
    /// Whether a class requires an idempotency key, by the class's index.
    requires_idempotency_key: Vec<bool>,
    host_table: HostTable,
    connections: HashMap<ConnectionId, HostConnection>,
    last_connection_id: u64,
    owners: HashMap<OwnerId, Owner>,
    /// The owner that was most recently active, of those that have placed a task: it gets what others can't be sent.
    fallback_owner: Option<OwnerId>,
    tasks: TaskTable,
    max_description_bytes: usize,
    /// Requests that the decisions have not seen yet.
    admission_queue: AdmissionQueue,
    /// Results of tasks that are unknown, or not known yet.
    early_results: EarlyResults,
    /// Releases that wait for an owner's connection.
    pending_releases: PendingReleases,
    timers: Timers<Timer>,
    events: Vec<Event>,
    actions: Vec<Action>,
    outputs: Vec<Output>,
    /// The number of the last event of the command channel.
    cursor: u64,
    /// When the process drains: the time at which all pending requests are answered.
    draining_until: Option<Micros>,
    /// New requests are rejected at once, as the process is about to end.
    is_rejecting_requests: bool,
}

impl<D: Decide> Engine<D> {
    /// An engine from both parts of the settings object: what the service uses, and what the decisions use.
    pub fn new(settings: PlatformSettings, policy_settings: &Settings, decider: D) -> Engine<D> {
        Engine {
            decider,
            host_table: HostTable::new(
                settings.zone_names.clone(),
                settings.machine_kind_names.clone(),
            ),
            requires_idempotency_key: policy_settings
                .classes
                .iter()
                .map(|class| matches!(class.retry_safety, RetrySafety::IdempotencyKey { .. }))
                .collect(),
            settings,
            connections: HashMap::new(),
            last_connection_id: 0,
            owners: HashMap::new(),
            fallback_owner: None,
            tasks: TaskTable::default(),
            max_description_bytes: MAX_DESCRIPTION_BYTES,
            admission_queue: AdmissionQueue::default(),
            early_results: EarlyResults::default(),
            pending_releases: PendingReleases::default(),
            timers: Timers::default(),
            events: Vec::new(),
            actions: Vec::new(),
            outputs: Vec::new(),
            cursor: 0,
            draining_until: None,
            is_rejecting_requests: false,
        }
    }

    /// Sets how many bytes of descriptions may be held at a time.
    pub fn set_max_description_bytes(&mut self, bytes: usize) {
        self.max_description_bytes = bytes;
    }

    /// Applies those events of the command channel that are new. Returns whether there were any.
    pub fn apply_update(&mut self, now: Micros, batch: &CommandBatch) -> bool {
        let cursor_before = self.cursor;
        for command in &batch.commands {
            if command.cursor <= self.cursor {
                continue;
            }
            self.cursor = command.cursor;
            let Some(hosts) = &command.hosts else {
                continue;
            };
            let (event, changed) = self.host_table.apply_update(hosts, now);
            self.events.push(event);
            for machine in changed {
                self.apply_host_change(now, machine);
            }
        }
        self.cursor = self.cursor.max(batch.cursor);
        self.cursor > cursor_before
    }

    /// The number of the last event of the command channel.
    pub fn cursor(&self) -> u64 {
        self.cursor
    }

    /// When a turn is due even if nothing happens.
    pub fn next_timeout(&self) -> Option<Micros> {
        if self.events.is_empty() && self.admission_queue.is_empty() {
            self.timers.next_due_at()
        } else {
            Some(0)
        }
    }

    /// How many requests wait for their answer.
    pub fn pending_request_count(&self) -> usize {
        self.tasks.pending_count()
    }

    /// The sizes of all tables.
    pub fn table_sizes(&self) -> TableSizes {
        TableSizes {
            tasks: self.tasks.len(),
            connections: self.connections.len(),
            hosts: self.host_table.hosts.len(),
            timers: self.timers.len(),
            pending_releases: self.pending_releases.len(),
            early_results: self.early_results.len(),
        }
    }

    /// Takes the actions for the shell, in the order in which they are to be performed.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// Announces that the process will end: requests that are still pending at `deadline` are answered then.
    pub fn drain_until(&mut self, deadline: Micros) {
        self.draining_until = Some(deadline);
    }

    /// Rejects all requests from now on, without offering them to hosts: the process ends in a moment.
    pub fn reject_new_requests(&mut self) {
        self.is_rejecting_requests = true;
    }

    /// Handles due timers, and lets the decisions act on everything that happened.
    pub fn turn(&mut self, now: Micros) {
        while let Some(timer) = self.timers.pop_due(now) {
            self.handle_timer(now, timer);
        }
        self.admit_requests();
        for _ in 0..MAX_DECISION_ROUNDS {
            if self.events.is_empty() {
                break;
            }
            let events = std::mem::take(&mut self.events);
            let mut actions = std::mem::take(&mut self.actions);
            tracing::trace!(?events, "events of a turn");
            self.decider.turn(now, &events, &mut actions);
            tracing::trace!(?actions, "actions of a turn");
            for action in actions.drain(..) {
                self.perform_action(now, action);
            }
            self.actions = actions;
        }
        if self.draining_until.is_some_and(|deadline| deadline <= now) {
            self.fail_pending_requests();
        }
    }

    fn handle_timer(&mut self, now: Micros, timer: Timer) {
        match timer {
            Timer::Decisions(label) => self.events.push(Event::TimerFired { label }),
            Timer::AttemptTimeout(attempt) => self.handle_attempt_timeout(now, attempt),
            Timer::ConnectionCheck(connection) => self.check_connection(now, connection),
            Timer::DelayedConnect(connection) => self.open_delayed_connection(now, connection),
            Timer::HostCheck(machine) => self.check_host(now, machine),
            Timer::OwnerCheck(owner) => self.check_owner(owner),
            Timer::ReleaseExpiry => self.pending_releases.remove_expired(now),
            Timer::AdmissionDeadline(task) => self.reject_unadmitted_request(task),
        }
    }

    fn perform_action(&mut self, now: Micros, action: Action) {
        match action {
            Action::Offer {
                task,
                machine,
                timeout,
            } => self.start_attempt(now, task, machine, timeout),
            Action::Cancel(attempt) => {
                if self.attempt_in_flight(attempt).is_some() {
                    self.abandon_attempt(attempt.task, AttemptOutcome::Cancelled, false);
                }
            }
            Action::Reject { task, .. } => self.send_final_answer(task, Cause::NO_CAPACITY),
            Action::Fail(task) => self.send_final_answer(task, Cause::ERROR),
            Action::Migrate(task) => self.notify_relocation(task),
            Action::SetTimer { after, label } => {
                self.timers.schedule(now + after, Timer::Decisions(label))
            }
            Action::Log(text) => tracing::info!("{text}"),
            Action::Blocked { task, reason } => {
                tracing::debug!(task = task.0, ?reason, "task blocked")
            }
            // The command channel is always polled, and the platform permits none of the others.
            Action::WatchEndpoints { .. }
            | Action::FetchEndpoints
            | Action::Probe(_)
            | Action::CloseIdle(_)
            | Action::SendToPeer { .. } => {}
        }
    }

    /// Answers all pending requests as failed, which promises nothing: the process is about to end.
    fn fail_pending_requests(&mut self) {
        for task in self.tasks.pending_ids() {
            self.send_final_answer(task, Cause::ERROR);
            self.events.push(Event::ClientDisconnected(task));
        }
    }
}
