//! The engine: turns messages from owners and hosts and events of the command channel into events for the policy, and the
//! policy's actions into messages, connections and timers.
//!
//! The methods of `Engine` are split by subject: `requests` and `attempts` handle a task from its request to its answer,
//! `running_tasks` and `releases` from its placement to its end, and `handover` a task that already runs; `owners` and
//! `connections` manage the connections of both sides, `host_messages` handles messages from hosts, `draining` connections
//! with invalid messages, `failure_detection` determines when an unreachable host has failed, `process_identity` whether a
//! process is still the one that runs a host's tasks, and `fair_share` what a full table takes back.

mod admission_queue;
mod attempts;
mod connections;
mod draining;
mod early_results;
mod ended_owners;
mod failure_detection;
mod fair_share;
mod handover;
mod host_messages;
mod host_table;
mod input_burst;
mod output;
mod owner_evidence;
mod owners;
mod process_identity;
mod process_interval;
mod recent_table;
mod release_table;
mod releases;
mod requests;
mod running_tasks;
mod task_table;
#[cfg(test)]
mod tests;
mod timer;
mod unconfirmed_tasks;

use std::collections::HashMap;

use maplethread::{
    Action, AttemptOutcome, Event, MachineId, Micros, RetrySafety, Settings, TaskId,
};
use maplethread_engine::{Decide, Timers};
use maplethread_platform_settings::PlatformSettings;
use maplethread_platform_wire::Cause;
use maplethread_platform_wire::command_channel::CommandBatch;

use admission_queue::AdmissionQueue;
use connections::HostConnection;
pub use draining::InvalidMessage;
use early_results::EarlyResults;
use ended_owners::EndedOwners;
use host_table::HostTable;
pub use output::{ConnectionId, DisconnectReason, Output, OwnerConnectionEnd, OwnerId};
use owners::Owner;
use recent_table::RecentTable;
use release_table::{OrphanedRelease, ReleaseTable, SentRelease};
use task_table::TaskTable;
use timer::Timer;

/// The maximum number of policy turns in one turn of the engine. Actions that fail at once cause further policy turns.
const MAX_POLICY_TURNS: usize = 8;

/// The limits of the task table. Requests beyond them are rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableLimits {
    /// The maximum number of tasks in any state.
    pub max_tasks: usize,
    /// The maximum number of requests that have not been answered.
    pub max_pending_requests: usize,
    /// The maximum number of tasks that were handed over and that no host has confirmed. Beyond it they displace those of
    /// clients that hand over more, or are released at once.
    pub max_unconfirmed_tasks: usize,
    /// The maximum of the total bytes of the texts of unanswered requests.
    pub max_setup_bytes: usize,
}

impl Default for TableLimits {
    fn default() -> Self {
        TableLimits {
            max_tasks: 1 << 16,
            max_pending_requests: 1 << 15,
            max_unconfirmed_tasks: 1 << 15,
            max_setup_bytes: 8 << 20,
        }
    }
}

/// The sizes of the engine's tables, to check that entries do not leak.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableSizes {
    /// Tasks that are pending, in flight or running.
    pub tasks: usize,
    /// Requests that wait for admission, including some that are not pending any more.
    pub queued_requests: usize,
    /// Connections to hosts.
    pub connections: usize,
    /// Connections to hosts that are being drained.
    pub draining_connections: usize,
    /// Hosts that are listed or run a task.
    pub hosts: usize,
    /// Scheduled timers.
    pub timers: usize,
    /// Releases of tasks whose own connections have ended.
    pub orphaned_releases: usize,
    /// Releases that were sent on the connections of their tasks and not acknowledged.
    pub sent_releases: usize,
    /// Results that arrived before their tasks were handed over to this placer.
    pub early_results: usize,
    /// Tasks that were released recently.
    pub released_tasks: usize,
}

/// The engine, with the policy `D`.
pub struct Engine<D> {
    policy: D,
    settings: PlatformSettings,
    /// Whether a class requires an idempotency key, by class index.
    requires_idempotency_key: Vec<bool>,
    host_table: HostTable,
    connections: HashMap<ConnectionId, HostConnection>,
    /// The machines of connections that are being drained.
    draining_connections: HashMap<ConnectionId, MachineId>,
    last_connection_id: u64,
    owners: HashMap<OwnerId, Owner>,
    ended_owners: EndedOwners,
    tasks: TaskTable,
    limits: TableLimits,
    /// Requests that have not been passed to the policy yet.
    admission_queue: AdmissionQueue,
    /// Results that arrived before their tasks were handed over to this placer.
    early_results: EarlyResults,
    orphaned_releases: ReleaseTable<OrphanedRelease>,
    /// Releases that were sent on the connections of their tasks and not acknowledged.
    sent_releases: ReleaseTable<SentRelease>,
    /// The causes of the recent releases of tasks that hosts had confirmed, for owners that hand them over afterwards.
    released_tasks: RecentTable<Cause>,
    /// Set-ups that were sent to a host recently, or whose tasks have ended recently.
    possibly_run: RecentTable<()>,
    timers: Timers<Timer>,
    policy_events: Vec<Event>,
    policy_actions: Vec<Action>,
    outputs: Vec<Output>,
    /// The number of the last applied event of the command channel.
    cursor: u64,
    /// While the process drains: when requests that are still pending are answered as failed.
    draining_until: Option<Micros>,
    /// Set during shutdown: new requests are rejected at once.
    is_rejecting_requests: bool,
}

impl<D: Decide> Engine<D> {
    /// Creates an engine from the two parts of the settings object: the placer's own, and the policy's.
    pub fn new(settings: PlatformSettings, policy_settings: &Settings, policy: D) -> Engine<D> {
        Engine {
            policy,
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
            draining_connections: HashMap::new(),
            last_connection_id: 0,
            owners: HashMap::new(),
            ended_owners: EndedOwners::default(),
            tasks: TaskTable::default(),
            limits: TableLimits::default(),
            admission_queue: AdmissionQueue::default(),
            early_results: EarlyResults::default(),
            orphaned_releases: ReleaseTable::default(),
            sent_releases: ReleaseTable::default(),
            released_tasks: RecentTable::new(releases::RELEASE_RETENTION),
            possibly_run: RecentTable::new(requests::USED_ID_RETENTION),
            timers: Timers::default(),
            policy_events: Vec::new(),
            policy_actions: Vec::new(),
            outputs: Vec::new(),
            cursor: 0,
            draining_until: None,
            is_rejecting_requests: false,
        }
    }

    /// Sets the limits of the task table.
    pub fn set_limits(&mut self, limits: TableLimits) {
        self.limits = limits;
    }

    /// Applies those events of a batch from the command channel that were not applied before. Returns whether there were
    /// any.
    pub fn apply_commands(&mut self, now: Micros, batch: &CommandBatch) -> bool {
        let cursor_before = self.cursor;
        for command in &batch.commands {
            if command.cursor <= self.cursor {
                continue;
            }
            self.cursor = command.cursor;
            let Some(hosts) = &command.hosts else {
                continue;
            };
            let update = self.host_table.apply_update(hosts, now, command.cursor);
            self.policy_events.push(update.event);
            for change in update.changes {
                self.apply_host_change(now, change);
            }
        }
        self.cursor = self.cursor.max(batch.cursor);
        self.cursor > cursor_before
    }

    /// The number of the last applied event of the command channel.
    pub fn cursor(&self) -> u64 {
        self.cursor
    }

    /// When the next turn is due if no input arrives before.
    pub fn next_timeout(&self) -> Option<Micros> {
        let is_idle = self.policy_events.is_empty()
            && !self.admission_queue.has_admissible()
            && self.outputs.is_empty();
        if is_idle {
            self.timers.next_due_at()
        } else {
            Some(0)
        }
    }

    /// The number of requests that have not been answered.
    pub fn pending_request_count(&self) -> usize {
        self.tasks.pending_count()
    }

    /// The sizes of the engine's tables.
    pub fn table_sizes(&self) -> TableSizes {
        TableSizes {
            tasks: self.tasks.len(),
            queued_requests: self.admission_queue.len(),
            connections: self.connections.len(),
            draining_connections: self.draining_connections.len(),
            hosts: self.host_table.hosts.len(),
            timers: self.timers.len(),
            orphaned_releases: self.orphaned_releases.len(),
            sent_releases: self.sent_releases.len(),
            early_results: self.early_results.len(),
            released_tasks: self.released_tasks.len(),
        }
    }

    /// Removes and returns the outputs for the shell, in the order in which they are to be performed.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// Starts to drain: requests that are still pending at `deadline` are answered as failed then.
    pub fn drain_until(&mut self, deadline: Micros) {
        self.draining_until = Some(deadline);
    }

    /// Rejects all requests from now on without offering them to hosts. Used during shutdown.
    pub fn reject_new_requests(&mut self) {
        self.is_rejecting_requests = true;
    }

    /// Handles due timers, passes all collected events to the policy and performs its actions.
    pub fn turn(&mut self, now: Micros) {
        while let Some(timer) = self.timers.pop_due(now) {
            self.handle_timer(now, timer);
        }
        self.admit_requests();
        for _ in 0..MAX_POLICY_TURNS {
            if self.policy_events.is_empty() {
                break;
            }
            let events = std::mem::take(&mut self.policy_events);
            let mut actions = std::mem::take(&mut self.policy_actions);
            tracing::trace!(?events, "policy events");
            self.policy.turn(now, &events, &mut actions);
            tracing::trace!(?actions, "policy actions");
            for action in actions.drain(..) {
                self.perform_action(now, action);
            }
            self.policy_actions = actions;
        }
        if self.draining_until.is_some_and(|deadline| deadline <= now) {
            self.fail_pending_requests(now);
        }
    }

    fn handle_timer(&mut self, now: Micros, timer: Timer) {
        match timer {
            Timer::Policy(label) => self.policy_events.push(Event::TimerFired { label }),
            Timer::AttemptTimeout(attempt) => self.handle_attempt_timeout(now, attempt),
            Timer::ConnectionCheck(connection) => self.check_connection(now, connection),
            Timer::DelayedConnect(connection) => self.open_delayed_connection(now, connection),
            Timer::HostCheck(machine) => self.check_host(now, machine),
            Timer::OwnerCheck(owner) => self.check_owner(now, owner),
            Timer::BurstEnd(owner) => self.end_input_burst(now, owner),
            Timer::AdmissionDeadline(task) => self.reject_unadmitted_request(now, task),
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
            Action::Reject { task, .. } => self.send_final_answer(now, task, Cause::NO_CAPACITY),
            Action::Fail(task) => self.send_final_answer(now, task, Cause::ERROR),
            Action::Migrate(task) => self.notify_relocation(task),
            Action::SetTimer { after, label } => self.set_policy_timer(now + after, label),
            Action::Log(text) => tracing::info!("{text}"),
            Action::Blocked { task, reason } => {
                tracing::debug!(task = task.0, ?reason, "task blocked")
            }
            // The command channel is always polled, and the platform allows none of the other actions.
            Action::WatchEndpoints { .. }
            | Action::FetchEndpoints
            | Action::Probe(_)
            | Action::CloseIdleConnections(_)
            | Action::SendToPeer { .. } => {}
        }
    }

    /// Sets a timer of the policy. That of a task is dropped when the task needs no answer any more.
    fn set_policy_timer(&mut self, at: Micros, label: u64) {
        match TaskId::from_timer_label(label) {
            Some(task) => self.set_deadline_timer(task, at, Timer::Policy(label)),
            None => drop(self.timers.schedule(at, Timer::Policy(label))),
        }
    }

    /// Answers all pending requests with an error, which does not say whether the task has run. Used when draining ends.
    fn fail_pending_requests(&mut self, now: Micros) {
        for task in self.tasks.pending_ids() {
            self.send_final_answer(now, task, Cause::ERROR);
            self.policy_events.push(Event::ClientDisconnected(task));
        }
    }
}
