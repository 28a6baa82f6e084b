//! Owners: their connections, set-ups, and what they are told.

use std::collections::BTreeSet;

use maplethread::{AttemptOutcome, Event, MachineId, Micros, Resources, ServiceId, Task, TaskId};
use maplethread_engine::Decide;
use maplethread_platform_wire::host::ToHost;
use maplethread_platform_wire::owner::{Fault, FromOwner, SetUp, ToOwner};
use maplethread_platform_wire::{Sid, cause};

use maplethread_platform_settings::micros;

use super::early::EarlyResult;
use super::tasks::{Stand, TaskEntry};
use super::{ASKS_A_TURN, Engine, MAX_TASKS, Output, OwnerId, Timer};

/// A connection that has said nothing of use for so long is closed, within the 3 s that PROTOCOL's days give.
const SILENT_FOR: Micros = 2_500_000;
/// A release that no connection took in this time is of no use any more.
const RELEASE_WITHIN: Micros = 8_000_000;
/// Releases that wait for a connection.
const MAX_RELEASES: usize = 4096;
/// An ask that the decisions could not be told of is refused so long before its owner gives up.
const ANSWER_MARGIN: Micros = 12_000;

/// An owner's connection.
#[derive(Default)]
pub(super) struct Owner {
    /// It has said something of use.
    pub(super) spoke: bool,
    /// A task of its stood: it is no client that only makes trouble.
    pub(super) placed: bool,
    /// Its set-ups without an answer.
    pub(super) open: BTreeSet<TaskId>,
    /// When it last said something.
    pub(super) heard: Micros,
    /// It has closed its side: what it asks is owed no answer.
    pub(super) gone: bool,
}

impl<D: Decide> Engine<D> {
    /// An owner connected.
    pub fn owner_opened(&mut self, now: Micros, owner: OwnerId) {
        self.owners.insert(
            owner,
            Owner {
                heard: now,
                ..Owner::default()
            },
        );
        self.timers.schedule(now + SILENT_FOR, Timer::Owner(owner));
    }

    /// A connection that could be closed to make room for others: one that said nothing of use, or else one of which
    /// nothing ever stood, or else the one with nothing open that was silent for longest.
    pub fn spare_owner(&self) -> Option<OwnerId> {
        let spare = self.owners.iter().filter(|(_, o)| o.open.is_empty());
        spare
            .min_by_key(|(id, o)| (o.spoke, o.placed, o.heard, **id))
            .map(|(&id, _)| id)
    }

    /// An owner has closed its side, though more of what it said may lie unread: what it waits for is given up.
    pub fn owner_gone(&mut self, owner: OwnerId) {
        let Some(gone) = self.owners.get_mut(&owner) else {
            return;
        };
        gone.gone = true;
        let open = std::mem::take(&mut gone.open);
        self.not_latest(owner);
        for task in open {
            self.cancel(task);
        }
    }

    /// A connection is of no use for what is told to owners.
    fn not_latest(&mut self, owner: OwnerId) {
        if self.latest == Some(owner) {
            let placed = self
                .owners
                .iter()
                .filter(|(id, o)| **id != owner && o.placed && !o.gone);
            self.latest = placed
                .max_by_key(|(id, o)| (o.heard, **id))
                .map(|(&id, _)| id);
        }
    }

    /// An owner's connection is over: what it waits for is given up, what stands stands.
    pub fn owner_closed(&mut self, owner: OwnerId) {
        let Some(closed) = self.owners.remove(&owner) else {
            return;
        };
        self.not_latest(owner);
        for task in closed.open {
            self.cancel(task);
        }
    }

    /// An owner said something, or something that can't be read.
    pub fn owner_says(&mut self, now: Micros, owner: OwnerId, says: Result<FromOwner, Fault>) {
        let Some(from) = self.owners.get_mut(&owner) else {
            return;
        };
        from.heard = now;
        match says {
            Ok(FromOwner::SetUp(set_up)) if set_up.at.is_some() => {
                self.handed_over(now, owner, set_up)
            }
            Ok(FromOwner::SetUp(set_up)) => self.asked(now, owner, set_up),
            Ok(FromOwner::Close(sid, cause)) => self.owner_ends(now, sid, cause),
            Ok(FromOwner::Probe(sid)) => {
                from.spoke = true;
                self.outputs
                    .push(Output::ToOwner(owner, ToOwner::Probed(sid, true)));
            }
            Ok(FromOwner::Idle) => {}
            Err(fault) => {
                tracing::debug!(owner = owner.0, %fault, "an owner sent what can't be used");
                match fault {
                    Fault::Field(sid, ..) => self.turn_away(owner, sid, cause::ERROR),
                    Fault::TooLong | Fault::Unreadable(_) => self.disconnect(owner),
                }
            }
        }
    }

    /// Closes an owner's connection; what it still waits for is given up.
    fn disconnect(&mut self, owner: OwnerId) {
        self.owner_closed(owner);
        self.outputs.push(Output::CloseOwner(owner));
    }

    /// Answers a set-up that became no ask. One whose id is open on the same connection can't be answered apart: the
    /// connection is closed.
    fn turn_away(&mut self, owner: OwnerId, sid: Sid, cause: u8) {
        let task = self.tasks.by_sid(sid).and_then(|id| self.tasks.get(id));
        if task.is_some_and(|e| e.is_pending && e.owner == owner) {
            self.disconnect(owner);
        } else {
            self.outputs
                .push(Output::ToOwner(owner, ToOwner::Close(sid, cause)));
        }
    }

    fn class(&self, set_up: &SetUp) -> Option<usize> {
        let class = self
            .terms
            .class_names
            .iter()
            .position(|name| *name == set_up.class)?;
        (!self.requires_idempotency_key[class] || set_up.idem.is_some()).then_some(class)
    }

    fn asked(&mut self, now: Micros, from: OwnerId, set_up: Box<SetUp>) {
        let sid = set_up.sid;
        let Some(class) = self.class(&set_up) else {
            tracing::debug!(%sid, class = %set_up.class, "no such class, or a keyed one without a key");
            return self.turn_away(from, sid, cause::ERROR);
        };
        if self.tasks.by_sid(sid).is_some() {
            tracing::debug!(%sid, "an id that is in use");
            return self.turn_away(from, sid, cause::MOOT);
        }
        if self.owners.get(&from).is_none_or(|o| o.gone) {
            return;
        }
        let full = self.tasks.len() >= MAX_TASKS
            || self.tasks.description_bytes() + set_up.text.len() > self.max_text;
        if self.refusing || full {
            return self.turn_away(from, sid, cause::FULL);
        }
        let left = set_up.left_ms.unwrap_or(0.0);
        // Owners don't say that a task comes again; its name does.
        let again = self.tasks.came_again(now, &set_up.key) || set_up.again;
        let task = Task {
            is_resubmission: again,
            ..self.task(class, &set_up, now + micros(left))
        };
        let entry = TaskEntry {
            set_up,
            owner: from,
            is_pending: true,
            attempts: 0,
            out: None,
            stand: None,
            used: Vec::new(),
        };
        let id = self.tasks.add(entry);
        if let Some(owner) = self.owners.get_mut(&from) {
            owner.spoke = true;
            owner.open.insert(id);
            if owner.placed && !owner.gone {
                self.latest = Some(from);
            }
        }
        self.admission_queue.push(from, Task { id, ..task });
        self.timers.schedule(
            task.deadline.saturating_sub(ANSWER_MARGIN),
            Timer::Overdue(id),
        );
    }

    /// Tells the decisions of some of what was asked, a task of each owner in turn.
    pub(super) fn admit_asks(&mut self) {
        for _ in 0..ASKS_A_TURN {
            let tasks = &self.tasks;
            let Some(task) = self
                .admission_queue
                .next(|id| tasks.get(id).is_some_and(|e| e.is_pending))
            else {
                return;
            };
            self.events.push(Event::PlacementRequested(task));
        }
    }

    /// An ask whose time is over before the decisions were told of it was never sent on.
    pub(super) fn overdue(&mut self, task: TaskId) {
        let owner = self.tasks.get(task).map(|e| e.owner);
        if owner.is_some_and(|owner| self.admission_queue.holds(owner, task)) {
            self.answer(task, cause::FULL);
        }
    }

    fn task(&self, class: usize, set_up: &SetUp, give_up_at: Micros) -> Task {
        Task {
            id: TaskId(0),
            service: ServiceId(set_up.service),
            class,
            requested: Resources {
                cores: set_up.cores,
                memory: set_up.memory,
            },
            expected_duration: set_up.life_ms.map(micros),
            deadline: give_up_at,
            is_resubmission: set_up.again,
        }
    }

    /// A task that a host holds already is this placer's from now on.
    fn handed_over(&mut self, now: Micros, owner: OwnerId, set_up: Box<SetUp>) {
        let (Some(class), Some(at)) = (self.class(&set_up), set_up.at.clone()) else {
            tracing::debug!(sid = %set_up.sid, "a running task of no known class");
            return;
        };
        if let Some(owner) = self.owners.get_mut(&owner) {
            owner.spoke = true;
        }
        if self.tasks.by_sid(set_up.sid).is_some() || self.tasks.len() >= MAX_TASKS {
            return;
        }
        // Its end may have come before it: the host tells that on the first connection, its owner on any.
        let ended = self.early.take(now, set_up.sid);
        let machine = self.host_table.by_name(&at, now);
        if let Some(EarlyResult::Told(host, cause)) = ended
            && host == machine
        {
            return self.release(now, owner, set_up.sid, cause);
        }
        self.tasks.came_again(now, &set_up.key);
        let task = self.task(class, &set_up, now);
        let sid = set_up.sid;
        let stand = Some(Stand {
            number: 0,
            machine,
            since: now,
            cut: None,
            moved: false,
        });
        let entry = TaskEntry {
            set_up,
            owner,
            is_pending: false,
            attempts: 1,
            out: None,
            stand,
            used: Vec::new(),
        };
        let id = self.tasks.add(entry);
        self.tasks.drop_text(id);
        self.events.push(Event::TaskAdopted {
            task: Task { id, ..task },
            machine,
        });
        self.stands(now, id, machine);
        self.placed(owner);
        if let Some(EarlyResult::OwnerRequested(cause)) = ended {
            self.owner_ends(now, sid, cause);
        }
    }

    /// An owner's task stands: others' releases may go there too, and those that found no connection.
    pub(super) fn placed(&mut self, owner: OwnerId) {
        let Some(from) = self.owners.get_mut(&owner).filter(|o| !o.gone) else {
            return;
        };
        from.placed = true;
        self.latest = Some(owner);
        for (_, sid, cause) in std::mem::take(&mut self.undelivered) {
            self.outputs
                .push(Output::ToOwner(owner, ToOwner::Close(sid, cause)));
        }
    }

    /// An owner gives a set-up up, or ends its task.
    fn owner_ends(&mut self, now: Micros, sid: Sid, cause: u8) {
        let Some(id) = self.tasks.by_sid(sid) else {
            return self.early.put(now, sid, EarlyResult::OwnerRequested(cause));
        };
        let Some(entry) = self.tasks.get_mut(id) else {
            return;
        };
        if let Some(stand) = &mut entry.stand {
            stand.cut = Some(cause);
            let machine = stand.machine;
            self.cut(now, machine, sid, cause);
        } else {
            self.cancel(id);
        }
    }

    /// Nobody waits for the answer any more.
    fn cancel(&mut self, task: TaskId) {
        if self.close(task) {
            self.events.push(Event::ClientDisconnected(task));
            self.give_up(task, AttemptOutcome::Cancelled, true);
            self.tasks.drop_if_over(task);
        }
    }

    /// The connection that a task's owner can be told on: the one it came on, else another one.
    fn reached_on(&self, owner: OwnerId) -> Option<OwnerId> {
        Some(owner)
            .filter(|o| self.owners.get(o).is_some_and(|o| !o.gone))
            .or(self.latest)
    }

    /// Tells an owner that its task is over: on the connection it came on, else on another one.
    pub(super) fn release(&mut self, now: Micros, owner: OwnerId, sid: Sid, cause: u8) {
        match self.reached_on(owner) {
            Some(owner) => self
                .outputs
                .push(Output::ToOwner(owner, ToOwner::Close(sid, cause))),
            None => {
                tracing::debug!(%sid, "a release waits for a connection");
                if self.undelivered.len() >= MAX_RELEASES {
                    self.undelivered.pop_front();
                }
                self.undelivered
                    .push_back((now + RELEASE_WITHIN, sid, cause));
                self.timers.schedule(now + RELEASE_WITHIN, Timer::Releases);
            }
        }
    }

    pub(super) fn releases_due(&mut self, now: Micros) {
        self.undelivered.retain(|(until, ..)| *until > now);
    }

    pub(super) fn owner_due(&mut self, owner: OwnerId) {
        if self.owners.get(&owner).is_some_and(|o| !o.spoke) {
            tracing::debug!(owner = owner.0, "an owner that says nothing");
            self.disconnect(owner);
        }
    }

    /// Tells an owner to come again with a task that stands. The platform ends it at its host, which says so by a
    /// release; one from here as well would cut the task, and a task that is cut is owed a release, not a move.
    pub(super) fn move_away(&mut self, task: TaskId) {
        let Some(to) = self.tasks.get(task).and_then(|e| self.reached_on(e.owner)) else {
            return;
        };
        let Some(entry) = self.tasks.get_mut(task) else {
            return;
        };
        let sid = entry.set_up.sid;
        let Some(stand) = entry.stand.as_mut().filter(|s| s.cut.is_none() && !s.moved) else {
            return;
        };
        stand.moved = true;
        self.outputs
            .push(Output::ToOwner(to, ToOwner::Relocate(sid)));
    }

    /// Ends a standing task at its host. On a connection that is being made it goes out once that is up, as do all
    /// ends that a host may not have heard.
    fn cut(&mut self, now: Micros, machine: MachineId, sid: Sid, cause: u8) {
        let Some(link) = self.link_to(now, machine, &[]) else {
            return;
        };
        if self.connections.get(&link).is_some_and(|l| l.up) {
            self.send(link, &ToHost::Close(sid, cause));
        }
    }
}
