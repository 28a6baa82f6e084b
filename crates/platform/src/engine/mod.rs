//! The engine: what owners, hosts and the command channel say becomes events of the decisions, and their actions
//! become messages.

mod admission_queue;
mod connections;
mod early;
mod host_table;
mod owners;
mod silence;
mod tasks;
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
use maplethread_platform_wire::channel::Batch;
use maplethread_platform_wire::host::{self, ToHost};
use maplethread_platform_wire::owner::ToOwner;
use maplethread_platform_wire::{Sid, cause};

use admission_queue::AdmissionQueue;
use connections::Link;
use early::EarlyResults;
use host_table::HostTable;
use owners::Owner;
use tasks::{Attempt, TaskTable};

/// Turns of the decisions in one of the engine's, while what they want fails at once.
const ROUNDS: usize = 8;
/// Tasks at a time, whatever their state; beyond it set-ups are refused.
const MAX_TASKS: usize = 1 << 16;
/// Bytes of descriptions at a time, unless the caller sets another bound; beyond it set-ups are refused.
const MAX_TEXT: usize = 8 << 20;
/// Asks that the decisions are told of in one turn: what many ask at once must not keep a turn from ending, since what
/// owners take back meanwhile is read after it. One costs the decisions some 0.1 ms at 400 hosts (`--bench decide`).
const ASKS_A_TURN: usize = 64;

/// A connection of an owner, numbered by the caller and never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OwnerId(pub u64);

/// A connection to a host, numbered by the engine and never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);

/// What the shell is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send this to an owner.
    ToOwner(OwnerId, ToOwner),
    /// Close an owner's connection once what it was sent is written.
    CloseOwner(OwnerId),
    /// Connect.
    Connect(LinkId, SocketAddr),
    /// Send these bytes to a host.
    ToHost(LinkId, Vec<u8>),
    /// Send these bytes, which end something at a host, and have them written before anything that is wanted after
    /// them: what ended is out until then. A connection that does not take them at once is to be closed.
    SendToHostImmediately(LinkId, Vec<u8>),
    /// Close a connection to a host.
    CloseLink(LinkId),
}

/// Why a connection to a host is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
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
    pub undelivered: usize,
    /// Ends of tasks that are not known, or not yet.
    pub early: usize,
}

/// What falls due.
enum Timer {
    Wake(u64),
    Attempt(TaskId, u32),
    ConnectionCheck(LinkId),
    Connect(LinkId),
    HostCheck(MachineId),
    Owner(OwnerId),
    Releases,
    /// A task that the decisions were not told of has to be answered.
    Overdue(TaskId),
}

/// The engine around the decisions `D`.
pub struct Engine<D> {
    decider: D,
    terms: PlatformSettings,
    /// Which classes are keyed.
    requires_idempotency_key: Vec<bool>,
    host_table: HostTable,
    connections: HashMap<LinkId, Link>,
    last_link: u64,
    owners: HashMap<OwnerId, Owner>,
    /// The owner heard last of those whose tasks stood.
    latest: Option<OwnerId>,
    tasks: TaskTable,
    max_text: usize,
    /// Asks that the decisions were not told of yet.
    admission_queue: AdmissionQueue,
    /// Ends of tasks that are not known, or not yet.
    early: EarlyResults,
    /// Releases that no connection could take yet.
    undelivered: VecDeque<(Micros, Sid, u8)>,
    timers: Timers<Timer>,
    events: Vec<Event>,
    actions: Vec<Action>,
    outputs: Vec<Output>,
    cursor: u64,
    draining_until: Option<Micros>,
    /// What is asked now is refused at once: the process is about to end.
    refusing: bool,
}

impl<D: Decide> Engine<D> {
    /// An engine from what the settings object says of the platform, and the decisions' part of it.
    pub fn new(terms: PlatformSettings, settings: &Settings, decider: D) -> Engine<D> {
        Engine {
            decider,
            host_table: HostTable::new(terms.zones.clone(), terms.kinds.clone()),
            requires_idempotency_key: settings
                .classes
                .iter()
                .map(|c| matches!(c.retry_safety, RetrySafety::IdempotencyKey { .. }))
                .collect(),
            terms,
            connections: HashMap::new(),
            last_link: 0,
            owners: HashMap::new(),
            latest: None,
            tasks: TaskTable::default(),
            max_text: MAX_TEXT,
            admission_queue: AdmissionQueue::default(),
            early: EarlyResults::default(),
            undelivered: VecDeque::new(),
            timers: Timers::default(),
            events: Vec::new(),
            actions: Vec::new(),
            outputs: Vec::new(),
            cursor: 0,
            draining_until: None,
            refusing: false,
        }
    }

    /// Sets how many bytes of descriptions may be held at a time.
    pub fn limit_text(&mut self, bytes: usize) {
        self.max_text = bytes;
    }

    /// Takes in events of the command channel that are new; whether there were any.
    pub fn apply_update(&mut self, now: Micros, batch: &Batch) -> bool {
        let before = self.cursor;
        for command in &batch.cmds {
            if command.cursor <= self.cursor {
                continue;
            }
            self.cursor = command.cursor;
            let Some(nodes) = &command.nodes else {
                continue;
            };
            let (event, changed) = self.host_table.listed(nodes, now);
            self.events.push(event);
            for machine in changed {
                self.host_changed(now, machine);
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
            undelivered: self.undelivered.len(),
            early: self.early.len(),
        }
    }

    /// What is to be done, in order.
    pub fn outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// It is about to end: what is open at `last` has its answer then.
    pub fn stop(&mut self, last: Micros) {
        self.draining_until = Some(last);
    }

    /// The process ends in a moment: what is asked from now on is refused, and never sent on.
    pub fn refuse_all(&mut self) {
        self.refusing = true;
    }

    /// Lets the decisions act on all that happened.
    pub fn turn(&mut self, now: Micros) {
        while let Some(due) = self.timers.pop_due(now) {
            match due {
                Timer::Wake(label) => self.events.push(Event::TimerFired { label }),
                Timer::Attempt(task, number) => self.attempt_over(now, task, number),
                Timer::ConnectionCheck(link) => self.link_due(now, link),
                Timer::Connect(link) => self.connect_due(now, link),
                Timer::HostCheck(machine) => self.host_due(now, machine),
                Timer::Owner(owner) => self.owner_due(owner),
                Timer::Releases => self.releases_due(now),
                Timer::Overdue(task) => self.overdue(task),
            }
        }
        self.admit_asks();
        for _ in 0..ROUNDS {
            if self.events.is_empty() {
                break;
            }
            let events = std::mem::take(&mut self.events);
            let mut actions = std::mem::take(&mut self.actions);
            tracing::trace!(?events, "told");
            self.decider.turn(now, &events, &mut actions);
            tracing::trace!(?actions, "wanted");
            for action in actions.drain(..) {
                self.carry_out(now, action);
            }
            self.actions = actions;
        }
        if self.draining_until.is_some_and(|at| at <= now) {
            self.last_words();
        }
    }

    /// The process is about to end: whoever still waits is told that its task failed, which promises nothing.
    fn last_words(&mut self) {
        for id in self.tasks.all_open() {
            self.answer(id, cause::ERROR);
            self.events.push(Event::ClientDisconnected(id));
        }
    }

    fn carry_out(&mut self, now: Micros, action: Action) {
        match action {
            Action::Offer {
                task,
                machine,
                timeout: wait,
            } => self.offer(now, task, machine, wait),
            Action::Cancel(id) => {
                if self
                    .tasks
                    .get(id.task)
                    .and_then(|e| e.out)
                    .is_some_and(|out| out.number == id.number)
                {
                    self.give_up(id.task, AttemptOutcome::Cancelled, false);
                }
            }
            Action::Reject { task, .. } => self.answer(task, cause::FULL),
            Action::Fail(task) => self.answer(task, cause::ERROR),
            Action::Migrate(task) => self.move_away(task),
            Action::SetTimer { after, label } => {
                self.timers.schedule(now + after, Timer::Wake(label))
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

    fn offer(&mut self, now: Micros, task: TaskId, machine: MachineId, wait: Micros) {
        let Some(entry) = self.tasks.get_mut(task) else {
            return;
        };
        let (number, open, used) = (entry.attempts, entry.is_pending, entry.used.clone());
        entry.attempts += 1;
        let until = now + wait;
        let ready = self
            .host_table
            .hosts
            .get(&machine)
            .is_some_and(|h| h.state == MachineState::Ready);
        // A second answer to an earlier attempt of the task must not be taken for the one to this: it may come late
        // (PROTOCOL's days: "a second copy"), and names the task alone. So this one goes on another connection.
        let link = if ready && open {
            self.link_to(now, machine, &used)
        } else {
            None
        };
        let Some(link) = link else {
            self.ended(task, number, AttemptOutcome::ConnectFailed, None, false);
            return;
        };
        let up = self.connections.get(&link).is_some_and(|l| l.up);
        let attempt = Attempt {
            number,
            machine,
            link,
            offered: now,
            until,
            sent: up,
        };
        if let Some(entry) = self.tasks.get_mut(task) {
            entry.out = Some(attempt);
            entry.used.push(link);
        }
        self.timers.schedule(until, Timer::Attempt(task, number));
        if let Some(link) = self.connections.get_mut(&link) {
            link.attempts.insert(task);
        }
        if up {
            self.send_set_up(now, task, link);
        }
    }

    /// Writes an attempt's set-up to a connection that is up.
    fn send_set_up(&mut self, now: Micros, task: TaskId, link: LinkId) {
        let Some(entry) = self.tasks.get_mut(task) else {
            return;
        };
        let Some(out) = &mut entry.out else { return };
        out.sent = true;
        let set_up = &entry.set_up;
        let mut bytes = Vec::with_capacity(set_up.text.len() + 128);
        let message = ToHost::SetUp {
            sid: set_up.sid,
            class: &set_up.class,
            key: &set_up.key,
            idem: set_up.idem.as_deref(),
            left_ms: out.until.saturating_sub(now).div_ceil(1000),
            text: &set_up.text,
        };
        host::write(&mut bytes, &message);
        self.outputs.push(Output::ToHost(link, bytes));
        self.expect_answer(now, link);
    }

    fn attempt_over(&mut self, now: Micros, task: TaskId, number: u32) {
        let Some(out) = self
            .tasks
            .get(task)
            .and_then(|e| e.out)
            .filter(|out| out.number == number)
        else {
            return;
        };
        if out.sent {
            self.doubt(now, out.link);
            self.give_up(task, AttemptOutcome::TimedOut, false);
        } else {
            self.give_up(task, AttemptOutcome::ConnectFailed, false);
        }
    }

    /// Takes an attempt back, from the host too if it was sent, and tells the decisions how it ended.
    fn give_up(&mut self, task: TaskId, ending: AttemptOutcome, closed: bool) {
        let Some(sid) = self.tasks.get(task).map(|e| e.set_up.sid) else {
            return;
        };
        let Some(out) = self.take_attempt(task) else {
            return;
        };
        if out.sent {
            self.send(out.link, &ToHost::Close(sid, cause::NORMAL));
        }
        let ending = if out.sent {
            ending
        } else {
            AttemptOutcome::ConnectFailed
        };
        self.ended(task, out.number, ending, None, closed);
        self.tasks.drop_if_over(task);
    }

    /// An attempt is out no more, for its task and for its connection.
    fn take_attempt(&mut self, task: TaskId) -> Option<Attempt> {
        let out = self.tasks.get_mut(task)?.out.take()?;
        if let Some(link) = self.connections.get_mut(&out.link) {
            link.attempts.remove(&task);
        }
        Some(out)
    }

    /// An owner waits for its answer no more; whether it did.
    fn close(&mut self, task: TaskId) -> bool {
        let owner = self
            .tasks
            .get(task)
            .and_then(|e| self.owners.get_mut(&e.owner));
        if let Some(owner) = owner {
            owner.open.remove(&task);
        }
        self.tasks.close(task)
    }

    fn ended(
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
    fn answer(&mut self, task: TaskId, cause: u8) {
        let Some(entry) = self.tasks.get(task) else {
            return;
        };
        let (owner, sid) = (entry.owner, entry.set_up.sid);
        if !self.close(task) {
            return;
        }
        self.outputs
            .push(Output::ToOwner(owner, ToOwner::Close(sid, cause)));
        // An attempt still out has lost its owner: it ends as one whose time is up.
        self.give_up(task, AttemptOutcome::TimedOut, true);
        self.tasks.drop_if_over(task);
    }

    fn send(&mut self, link: LinkId, message: &ToHost) {
        let mut bytes = Vec::new();
        host::write(&mut bytes, message);
        let ends = matches!(message, ToHost::Close(..));
        self.outputs.push(if ends {
            Output::SendToHostImmediately(link, bytes)
        } else {
            Output::ToHost(link, bytes)
        });
    }
}
