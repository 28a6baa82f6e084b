//! The engine: what owners, hosts and the command channel say becomes events of the decisions, and their actions
//! become messages.

mod admission_queue;
mod connections;
mod early_results;
mod failure_detection;
mod host_table;
mod owners;
mod task_table;
#[cfg(test)]
mod tests;

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

use maplethread::{
    Action, AttemptId, AttemptOutcome, AttemptResult, Event, FailureReason, MachineId,
    MachineState, Micros, RetrySafety, Settings, TaskId,
};
use maplethread_engine::{Decide, Timers};
use maplethread_platform_settings::PlatformSettings;
use maplethread_platform_wire::command_channel::CommandBatch;
use maplethread_platform_wire::host::{self, ToHost};
use maplethread_platform_wire::owner::ToOwner;
use maplethread_platform_wire::{SetupId, cause};

use admission_queue::AdmissionQueue;
use connections::HostConnection;
use early_results::EarlyResults;
use host_table::HostTable;
use owners::Owner;
use task_table::{Attempt, TaskTable};

/// Turns of the decisions in one of the engine's, while what they want fails at once.
const MAX_DECISION_ROUNDS: usize = 8;
/// Tasks at a time, whatever their state; beyond it set-ups are refused.
const MAX_TASKS: usize = 1 << 16;
/// Bytes of descriptions at a time, unless the caller sets another bound; beyond it set-ups are refused.
const MAX_DESCRIPTION_BYTES: usize = 8 << 20;
/// Asks that the decisions are told of in one turn: what many ask at once must not keep a turn from ending, since what
/// owners take back meanwhile is read after it. One costs the decisions some 0.1 ms at 400 hosts (`--bench decide`).
const MAX_ADMISSIONS_PER_TURN: usize = 64;

/// A connection of an owner, numbered by the caller and never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OwnerId(pub u64);

/// A connection to a host, numbered by the engine and never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// What the shell is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send this to an owner.
    SendToOwner(OwnerId, ToOwner),
    /// Close an owner's connection once what it was sent is written.
    CloseOwner(OwnerId),
    /// Connect.
    Connect(ConnectionId, SocketAddr),
    /// Send these bytes to a host.
    SendToHost(ConnectionId, Vec<u8>),
    /// Send these bytes, which end something at a host, and have them written before anything that is wanted after
    /// them: what ended is out until then. A connection that does not take them at once is to be closed.
    SendToHostImmediately(ConnectionId, Vec<u8>),
    /// Close a connection to a host.
    CloseConnection(ConnectionId),
}

/// Why a connection to a host is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DisconnectReason {
    /// Nobody listens there.
    Refused,
    /// It broke, was closed, or brought what can't be read.
    Broken,
}

/// How much the engine holds, to see that nothing grows with what is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableSizes {
    /// Tasks that are owed an answer, are out, or stand.
    pub tasks: usize,
    /// Connections to hosts.
    pub connections: usize,
    /// Hosts that are listed or hold a task.
    pub hosts: usize,
    /// Timers, those that are no longer wanted among them.
    pub timers: usize,
    /// Releases that no connection could take yet.
    pub pending_releases: usize,
    /// Ends of tasks that are not known, or not yet.
    pub early_results: usize,
}

/// What falls due.
enum Timer {
    Decisions(u64),
    AttemptTimeout(TaskId, u32),
    ConnectionCheck(ConnectionId),
    DelayedConnect(ConnectionId),
    HostCheck(MachineId),
    OwnerCheck(OwnerId),
    ReleaseExpiry,
    /// A task that the decisions were not told of has to be answered.
    AdmissionDeadline(TaskId),
}

/// The engine around the decisions `D`.
pub struct Engine<D> {
    decider: D,
    settings: PlatformSettings,
    /// Which classes are keyed.
    requires_idempotency_key: Vec<bool>,
    host_table: HostTable,
    connections: HashMap<ConnectionId, HostConnection>,
    last_connection_id: u64,
    owners: HashMap<OwnerId, Owner>,
    /// The owner heard last of those whose tasks stood.
    fallback_owner: Option<OwnerId>,
    tasks: TaskTable,
    max_description_bytes: usize,
    /// Asks that the decisions were not told of yet.
    admission_queue: AdmissionQueue,
    /// Ends of tasks that are not known, or not yet.
    early_results: EarlyResults,
    /// Releases that no connection could take yet.
    pending_releases: VecDeque<(Micros, SetupId, u8)>,
    timers: Timers<Timer>,
    events: Vec<Event>,
    actions: Vec<Action>,
    outputs: Vec<Output>,
    cursor: u64,
    draining_until: Option<Micros>,
    /// What is asked now is refused at once: the process is about to end.
    is_rejecting_requests: bool,
}

impl<D: Decide> Engine<D> {
    /// An engine from what the settings object says of the platform, and the decisions' part of it.
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
                .map(|c| matches!(c.retry_safety, RetrySafety::IdempotencyKey { .. }))
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
            pending_releases: VecDeque::new(),
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

    /// Takes in events of the command channel that are new; whether there were any.
    pub fn apply_update(&mut self, now: Micros, batch: &CommandBatch) -> bool {
        let before = self.cursor;
        for command in &batch.cmds {
            if command.cursor <= self.cursor {
                continue;
            }
            self.cursor = command.cursor;
            let Some(nodes) = &command.hosts else {
                continue;
            };
            let (event, changed) = self.host_table.apply_update(nodes, now);
            self.events.push(event);
            for machine in changed {
                self.apply_host_change(now, machine);
            }
        }
        self.cursor = self.cursor.max(batch.cursor);
        self.cursor > before
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

    /// Asks that are owed an answer.
    pub fn pending_request_count(&self) -> usize {
        self.tasks.pending_count()
    }

    /// What is held in tables.
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

    /// What is to be done, in order.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// It is about to end: what is open at `last` has its answer then.
    pub fn drain_until(&mut self, last: Micros) {
        self.draining_until = Some(last);
    }

    /// The process ends in a moment: what is asked from now on is refused, and never sent on.
    pub fn reject_new_requests(&mut self) {
        self.is_rejecting_requests = true;
    }

    /// Lets the decisions act on all that happened.
    pub fn turn(&mut self, now: Micros) {
        while let Some(due) = self.timers.pop_due(now) {
            match due {
                Timer::Decisions(label) => self.events.push(Event::TimerFired { label }),
                Timer::AttemptTimeout(task, number) => {
                    self.handle_attempt_timeout(now, task, number)
                }
                Timer::ConnectionCheck(link) => self.check_connection(now, link),
                Timer::DelayedConnect(link) => self.open_delayed_connection(now, link),
                Timer::HostCheck(machine) => self.check_host(now, machine),
                Timer::OwnerCheck(owner) => self.check_owner(owner),
                Timer::ReleaseExpiry => self.remove_expired_releases(now),
                Timer::AdmissionDeadline(task) => self.reject_unadmitted_request(task),
            }
        }
        self.admit_requests();
        for _ in 0..MAX_DECISION_ROUNDS {
            if self.events.is_empty() {
                break;
            }
            let events = std::mem::take(&mut self.events);
            let mut actions = std::mem::take(&mut self.actions);
            tracing::trace!(?events, "told");
            self.decider.turn(now, &events, &mut actions);
            tracing::trace!(?actions, "wanted");
            for action in actions.drain(..) {
                self.perform_action(now, action);
            }
            self.actions = actions;
        }
        if self.draining_until.is_some_and(|at| at <= now) {
            self.fail_pending_requests();
        }
    }

    /// The process is about to end: whoever still waits is told that its task failed, which promises nothing.
    fn fail_pending_requests(&mut self) {
        for id in self.tasks.pending_ids() {
            self.send_final_answer(id, cause::ERROR);
            self.events.push(Event::ClientDisconnected(id));
        }
    }

    fn perform_action(&mut self, now: Micros, action: Action) {
        match action {
            Action::Offer {
                task,
                machine,
                timeout: wait,
            } => self.start_attempt(now, task, machine, wait),
            Action::Cancel(id) => {
                if self
                    .tasks
                    .get(id.task)
                    .and_then(|e| e.in_flight)
                    .is_some_and(|out| out.number == id.number)
                {
                    self.abandon_attempt(id.task, AttemptOutcome::Cancelled, false);
                }
            }
            Action::Reject { task, .. } => self.send_final_answer(task, cause::NO_CAPACITY),
            Action::Fail(task) => self.send_final_answer(task, cause::ERROR),
            Action::Migrate(task) => self.notify_relocation(task),
            Action::SetTimer { after, label } => {
                self.timers.schedule(now + after, Timer::Decisions(label))
            }
            Action::Log(text) => tracing::info!("{text}"),
            Action::Blocked { task, reason: lack } => tracing::debug!(task = task.0, ?lack, "held"),
            // The channel is always asked, and none of the others is allowed here.
            Action::WatchEndpoints { .. }
            | Action::FetchEndpoints
            | Action::Probe(_)
            | Action::CloseIdle(_)
            | Action::SendToPeer { .. } => {}
        }
    }

    fn start_attempt(&mut self, now: Micros, task: TaskId, machine: MachineId, wait: Micros) {
        let Some(entry) = self.tasks.get_mut(task) else {
            return;
        };
        let (number, open, used) = (
            entry.attempt_count,
            entry.is_pending,
            entry.used_connections.clone(),
        );
        entry.attempt_count += 1;
        let until = now + wait;
        let ready = self
            .host_table
            .hosts
            .get(&machine)
            .is_some_and(|h| h.state == MachineState::Ready);
        // A second answer to an earlier attempt of the task must not be taken for the one to this: it may come late
        // (PROTOCOL's days: "a second copy"), and names the task alone. So this one goes on another connection.
        let link = if ready && open {
            self.select_connection(now, machine, &used)
        } else {
            None
        };
        let Some(link) = link else {
            self.push_attempt_finished(task, number, AttemptOutcome::ConnectFailed, None, false);
            return;
        };
        let up = self
            .connections
            .get(&link)
            .is_some_and(|l| l.is_established);
        let attempt = Attempt {
            number,
            machine,
            connection: link,
            offered_at: now,
            deadline: until,
            was_sent: up,
        };
        if let Some(entry) = self.tasks.get_mut(task) {
            entry.in_flight = Some(attempt);
            entry.used_connections.push(link);
        }
        self.timers
            .schedule(until, Timer::AttemptTimeout(task, number));
        if let Some(link) = self.connections.get_mut(&link) {
            link.attempts.insert(task);
        }
        if up {
            self.send_setup(now, task, link);
        }
    }

    /// Writes an attempt's set-up to a connection that is up.
    fn send_setup(&mut self, now: Micros, task: TaskId, link: ConnectionId) {
        let Some(entry) = self.tasks.get_mut(task) else {
            return;
        };
        let Some(out) = &mut entry.in_flight else {
            return;
        };
        out.was_sent = true;
        let set_up = &entry.setup;
        let mut bytes = Vec::with_capacity(set_up.description.len() + 128);
        let message = ToHost::Setup {
            id: set_up.id,
            class: &set_up.class,
            task_name: &set_up.task_name,
            idempotency_key: set_up.idempotency_key.as_deref(),
            answer_timeout_ms: out.deadline.saturating_sub(now).div_ceil(1000),
            description: &set_up.description,
        };
        host::encode(&mut bytes, &message);
        self.outputs.push(Output::SendToHost(link, bytes));
        self.expect_answer(now, link);
    }

    fn handle_attempt_timeout(&mut self, now: Micros, task: TaskId, number: u32) {
        let Some(out) = self
            .tasks
            .get(task)
            .and_then(|e| e.in_flight)
            .filter(|out| out.number == number)
        else {
            return;
        };
        if out.was_sent {
            self.probe_connection(now, out.connection);
            self.abandon_attempt(task, AttemptOutcome::TimedOut, false);
        } else {
            self.abandon_attempt(task, AttemptOutcome::ConnectFailed, false);
        }
    }

    /// Takes an attempt back, from the host too if it was sent, and tells the decisions how it ended.
    fn abandon_attempt(&mut self, task: TaskId, ending: AttemptOutcome, closed: bool) {
        let Some(sid) = self.tasks.get(task).map(|e| e.setup.id) else {
            return;
        };
        let Some(out) = self.remove_attempt(task) else {
            return;
        };
        if out.was_sent {
            self.send_to_host(out.connection, &ToHost::Close(sid, cause::NORMAL));
        }
        let ending = if out.was_sent {
            ending
        } else {
            AttemptOutcome::ConnectFailed
        };
        self.push_attempt_finished(task, out.number, ending, None, closed);
        self.tasks.remove_if_finished(task);
    }

    /// An attempt is out no more, for its task and for its connection.
    fn remove_attempt(&mut self, task: TaskId) -> Option<Attempt> {
        let out = self.tasks.get_mut(task)?.in_flight.take()?;
        if let Some(link) = self.connections.get_mut(&out.connection) {
            link.attempts.remove(&task);
        }
        Some(out)
    }

    /// An owner waits for its answer no more; whether it did.
    fn mark_answered(&mut self, task: TaskId) -> bool {
        let owner = self
            .tasks
            .get(task)
            .and_then(|e| self.owners.get_mut(&e.owner));
        if let Some(owner) = owner {
            owner.pending.remove(&task);
        }
        self.tasks.mark_answered(task)
    }

    fn push_attempt_finished(
        &mut self,
        task: TaskId,
        number: u32,
        ending: AttemptOutcome,
        why: Option<FailureReason>,
        closed: bool,
    ) {
        let end = AttemptResult {
            outcome: ending,
            reason: why,
            closes_task: closed,
            load: None,
        };
        self.events.push(Event::AttemptFinished {
            attempt: AttemptId { task, number },
            result: end,
        });
    }

    /// The one final answer that is not 'placed'.
    fn send_final_answer(&mut self, task: TaskId, cause: u8) {
        let Some(entry) = self.tasks.get(task) else {
            return;
        };
        let (owner, sid) = (entry.owner, entry.setup.id);
        if !self.mark_answered(task) {
            return;
        }
        self.outputs
            .push(Output::SendToOwner(owner, ToOwner::Close(sid, cause)));
        // An attempt still out has lost its owner: it ends as one whose time is up.
        self.abandon_attempt(task, AttemptOutcome::TimedOut, true);
        self.tasks.remove_if_finished(task);
    }

    fn send_to_host(&mut self, link: ConnectionId, message: &ToHost) {
        let mut bytes = Vec::new();
        host::encode(&mut bytes, message);
        let ends = matches!(message, ToHost::Close(..));
        self.outputs.push(if ends {
            Output::SendToHostImmediately(link, bytes)
        } else {
            Output::SendToHost(link, bytes)
        });
    }
}
