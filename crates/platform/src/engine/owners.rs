//! Owners: their connections, set-ups, and what they are told.

use std::collections::BTreeSet;

use maplethread::{AttemptOutcome, Event, MachineId, Micros, Resources, ServiceId, Task, TaskId};
use maplethread_engine::Decide;
use maplethread_platform_wire::host::ToHost;
use maplethread_platform_wire::owner::{DecodeError, FromOwner, Setup, ToOwner};
use maplethread_platform_wire::{SetupId, cause};

use maplethread_platform_settings::micros;

use super::early_results::EarlyResult;
use super::task_table::{Placement, TaskEntry};
use super::{Engine, MAX_ADMISSIONS_PER_TURN, MAX_TASKS, Output, OwnerId, Timer};

/// A connection that has said nothing of use for so long is closed, within the 3 s that PROTOCOL's days give.
const OWNER_SILENCE_TIMEOUT: Micros = 2_500_000;
/// A release that no connection took in this time is of no use any more.
const RELEASE_LIFETIME: Micros = 8_000_000;
/// Releases that wait for a connection.
const MAX_PENDING_RELEASES: usize = 4096;
/// An ask that the decisions could not be told of is refused so long before its owner gives up.
const ANSWER_MARGIN: Micros = 12_000;

/// An owner's connection.
#[derive(Default)]
pub(super) struct Owner {
    /// It has said something of use.
    pub(super) has_sent_valid_message: bool,
    /// A task of its stood: it is no client that only makes trouble.
    pub(super) has_placed_task: bool,
    /// Its set-ups without an answer.
    pub(super) pending: BTreeSet<TaskId>,
    /// When it last said something.
    pub(super) last_received: Micros,
    /// It has closed its side: what it asks is owed no answer.
    pub(super) is_half_closed: bool,
}

impl<D: Decide> Engine<D> {
    /// An owner connected.
    pub fn owner_connected(&mut self, now: Micros, owner: OwnerId) {
        self.owners.insert(
            owner,
            Owner {
                last_received: now,
                ..Owner::default()
            },
        );
        self.timers
            .schedule(now + OWNER_SILENCE_TIMEOUT, Timer::OwnerCheck(owner));
    }

    /// A connection that could be closed to make room for others: one that said nothing of use, or else one of which
    /// nothing ever stood, or else the one with nothing open that was silent for longest.
    pub fn least_useful_owner(&self) -> Option<OwnerId> {
        let spare = self.owners.iter().filter(|(_, o)| o.pending.is_empty());
        spare
            .min_by_key(|(id, o)| {
                (
                    o.has_sent_valid_message,
                    o.has_placed_task,
                    o.last_received,
                    **id,
                )
            })
            .map(|(&id, _)| id)
    }

    /// An owner has closed its side, though more of what it said may lie unread: what it waits for is given up.
    pub fn owner_half_closed(&mut self, owner: OwnerId) {
        let Some(gone) = self.owners.get_mut(&owner) else {
            return;
        };
        gone.is_half_closed = true;
        let open = std::mem::take(&mut gone.pending);
        self.replace_fallback_owner(owner);
        for task in open {
            self.cancel_request(task);
        }
    }

    /// A connection is of no use for what is told to owners.
    fn replace_fallback_owner(&mut self, owner: OwnerId) {
        if self.fallback_owner == Some(owner) {
            let placed = self
                .owners
                .iter()
                .filter(|(id, o)| **id != owner && o.has_placed_task && !o.is_half_closed);
            self.fallback_owner = placed
                .max_by_key(|(id, o)| (o.last_received, **id))
                .map(|(&id, _)| id);
        }
    }

    /// An owner's connection is over: what it waits for is given up, what stands stands.
    pub fn owner_disconnected(&mut self, owner: OwnerId) {
        let Some(closed) = self.owners.remove(&owner) else {
            return;
        };
        self.replace_fallback_owner(owner);
        for task in closed.pending {
            self.cancel_request(task);
        }
    }

    /// An owner said something, or something that can't be read.
    pub fn handle_owner_message(
        &mut self,
        now: Micros,
        owner: OwnerId,
        says: Result<FromOwner, DecodeError>,
    ) {
        let Some(from) = self.owners.get_mut(&owner) else {
            return;
        };
        from.last_received = now;
        match says {
            Ok(FromOwner::Setup(set_up)) if set_up.running_on.is_some() => {
                self.adopt_running_task(now, owner, set_up)
            }
            Ok(FromOwner::Setup(set_up)) => self.handle_request(now, owner, set_up),
            Ok(FromOwner::Close(sid, cause)) => self.handle_owner_close(now, sid, cause),
            Ok(FromOwner::Probe(sid)) => {
                from.has_sent_valid_message = true;
                self.outputs
                    .push(Output::SendToOwner(owner, ToOwner::Probed(sid, true)));
            }
            Ok(FromOwner::Ignored) => {}
            Err(fault) => {
                tracing::debug!(owner = owner.0, %fault, "an owner sent what can't be used");
                match fault {
                    DecodeError::InvalidField(sid, ..) => {
                        self.reject_setup(owner, sid, cause::ERROR)
                    }
                    DecodeError::LineTooLong | DecodeError::Malformed(_) => {
                        self.disconnect_owner(owner)
                    }
                }
            }
        }
    }

    /// Closes an owner's connection; what it still waits for is given up.
    fn disconnect_owner(&mut self, owner: OwnerId) {
        self.owner_disconnected(owner);
        self.outputs.push(Output::CloseOwner(owner));
    }

    /// Answers a set-up that became no ask. One whose id is open on the same connection can't be answered apart: the
    /// connection is closed.
    fn reject_setup(&mut self, owner: OwnerId, sid: SetupId, cause: u8) {
        let task = self
            .tasks
            .id_by_setup(sid)
            .and_then(|id| self.tasks.get(id));
        if task.is_some_and(|e| e.is_pending && e.owner == owner) {
            self.disconnect_owner(owner);
        } else {
            self.outputs
                .push(Output::SendToOwner(owner, ToOwner::Close(sid, cause)));
        }
    }

    fn class_index(&self, set_up: &Setup) -> Option<usize> {
        let class = self
            .settings
            .class_names
            .iter()
            .position(|name| *name == set_up.class)?;
        (!self.requires_idempotency_key[class] || set_up.idempotency_key.is_some()).then_some(class)
    }

    fn handle_request(&mut self, now: Micros, from: OwnerId, set_up: Box<Setup>) {
        let sid = set_up.id;
        let Some(class) = self.class_index(&set_up) else {
            tracing::debug!(%sid, class = %set_up.class, "no such class, or a keyed one without a key");
            return self.reject_setup(from, sid, cause::ERROR);
        };
        if self.tasks.id_by_setup(sid).is_some() {
            tracing::debug!(%sid, "an id that is in use");
            return self.reject_setup(from, sid, cause::NEVER_SENT);
        }
        if self.owners.get(&from).is_none_or(|o| o.is_half_closed) {
            return;
        }
        let full = self.tasks.len() >= MAX_TASKS
            || self.tasks.description_bytes() + set_up.description.len()
                > self.max_description_bytes;
        if self.is_rejecting_requests || full {
            return self.reject_setup(from, sid, cause::NO_CAPACITY);
        }
        let left = set_up.answer_timeout_ms.unwrap_or(0.0);
        // Owners don't say that a task comes again; its name does.
        let again = self.tasks.is_resubmission(now, &set_up.task_name) || set_up.is_resubmission;
        let task = Task {
            is_resubmission: again,
            ..self.build_task(class, &set_up, now + micros(left))
        };
        let entry = TaskEntry {
            setup: set_up,
            owner: from,
            is_pending: true,
            attempt_count: 0,
            in_flight: None,
            placement: None,
            used_connections: Vec::new(),
        };
        let id = self.tasks.insert(entry);
        if let Some(owner) = self.owners.get_mut(&from) {
            owner.has_sent_valid_message = true;
            owner.pending.insert(id);
            if owner.has_placed_task && !owner.is_half_closed {
                self.fallback_owner = Some(from);
            }
        }
        self.admission_queue.push(from, Task { id, ..task });
        self.timers.schedule(
            task.deadline.saturating_sub(ANSWER_MARGIN),
            Timer::AdmissionDeadline(id),
        );
    }

    /// Tells the decisions of some of what was asked, a task of each owner in turn.
    pub(super) fn admit_requests(&mut self) {
        for _ in 0..MAX_ADMISSIONS_PER_TURN {
            let tasks = &self.tasks;
            let Some(task) = self
                .admission_queue
                .pop_next(|id| tasks.get(id).is_some_and(|e| e.is_pending))
            else {
                return;
            };
            self.events.push(Event::PlacementRequested(task));
        }
    }

    /// An ask whose time is over before the decisions were told of it was never sent on.
    pub(super) fn reject_unadmitted_request(&mut self, task: TaskId) {
        let owner = self.tasks.get(task).map(|e| e.owner);
        if owner.is_some_and(|owner| self.admission_queue.contains(owner, task)) {
            self.send_final_answer(task, cause::NO_CAPACITY);
        }
    }

    fn build_task(&self, class: usize, set_up: &Setup, give_up_at: Micros) -> Task {
        Task {
            id: TaskId(0),
            service: ServiceId(set_up.service),
            class,
            requested: Resources {
                cores: set_up.cores,
                memory: set_up.memory,
            },
            expected_duration: set_up.expected_duration_ms.map(micros),
            deadline: give_up_at,
            is_resubmission: set_up.is_resubmission,
        }
    }

    /// A task that a host holds already is this placer's from now on.
    fn adopt_running_task(&mut self, now: Micros, owner: OwnerId, set_up: Box<Setup>) {
        let (Some(class), Some(at)) = (self.class_index(&set_up), set_up.running_on.clone()) else {
            tracing::debug!(sid = %set_up.id, "a running task of no known class");
            return;
        };
        if let Some(owner) = self.owners.get_mut(&owner) {
            owner.has_sent_valid_message = true;
        }
        if self.tasks.id_by_setup(set_up.id).is_some() || self.tasks.len() >= MAX_TASKS {
            return;
        }
        // Its end may have come before it: the host tells that on the first connection, its owner on any.
        let ended = self.early_results.take(now, set_up.id);
        let machine = self.host_table.id_or_insert(&at, now);
        if let Some(EarlyResult::HostReported(host, cause)) = ended
            && host == machine
        {
            return self.notify_release(now, owner, set_up.id, cause);
        }
        self.tasks.is_resubmission(now, &set_up.task_name);
        let task = self.build_task(class, &set_up, now);
        let sid = set_up.id;
        let stand = Some(Placement {
            number: 0,
            machine,
            since: now,
            close_cause: None,
            is_relocation_sent: false,
        });
        let entry = TaskEntry {
            setup: set_up,
            owner,
            is_pending: false,
            attempt_count: 1,
            in_flight: None,
            placement: stand,
            used_connections: Vec::new(),
        };
        let id = self.tasks.insert(entry);
        self.tasks.drop_description(id);
        self.events.push(Event::TaskAdopted {
            task: Task { id, ..task },
            machine,
        });
        self.record_running_task(now, id, machine);
        self.record_owner_placement(owner);
        if let Some(EarlyResult::OwnerRequested(cause)) = ended {
            self.handle_owner_close(now, sid, cause);
        }
    }

    /// An owner's task stands: others' releases may go there too, and those that found no connection.
    pub(super) fn record_owner_placement(&mut self, owner: OwnerId) {
        let Some(from) = self.owners.get_mut(&owner).filter(|o| !o.is_half_closed) else {
            return;
        };
        from.has_placed_task = true;
        self.fallback_owner = Some(owner);
        for (_, sid, cause) in std::mem::take(&mut self.pending_releases) {
            self.outputs
                .push(Output::SendToOwner(owner, ToOwner::Close(sid, cause)));
        }
    }

    /// An owner gives a set-up up, or ends its task.
    fn handle_owner_close(&mut self, now: Micros, sid: SetupId, cause: u8) {
        let Some(id) = self.tasks.id_by_setup(sid) else {
            return self
                .early_results
                .insert(now, sid, EarlyResult::OwnerRequested(cause));
        };
        let Some(entry) = self.tasks.get_mut(id) else {
            return;
        };
        if let Some(stand) = &mut entry.placement {
            stand.close_cause = Some(cause);
            let machine = stand.machine;
            self.close_at_host(now, machine, sid, cause);
        } else {
            self.cancel_request(id);
        }
    }

    /// Nobody waits for the answer any more.
    fn cancel_request(&mut self, task: TaskId) {
        if self.mark_answered(task) {
            self.events.push(Event::ClientDisconnected(task));
            self.abandon_attempt(task, AttemptOutcome::Cancelled, true);
            self.tasks.remove_if_finished(task);
        }
    }

    /// The connection that a task's owner can be told on: the one it came on, else another one.
    fn reachable_owner(&self, owner: OwnerId) -> Option<OwnerId> {
        Some(owner)
            .filter(|o| self.owners.get(o).is_some_and(|o| !o.is_half_closed))
            .or(self.fallback_owner)
    }

    /// Tells an owner that its task is over: on the connection it came on, else on another one.
    pub(super) fn notify_release(&mut self, now: Micros, owner: OwnerId, sid: SetupId, cause: u8) {
        match self.reachable_owner(owner) {
            Some(owner) => self
                .outputs
                .push(Output::SendToOwner(owner, ToOwner::Close(sid, cause))),
            None => {
                tracing::debug!(%sid, "a release waits for a connection");
                if self.pending_releases.len() >= MAX_PENDING_RELEASES {
                    self.pending_releases.pop_front();
                }
                self.pending_releases
                    .push_back((now + RELEASE_LIFETIME, sid, cause));
                self.timers
                    .schedule(now + RELEASE_LIFETIME, Timer::ReleaseExpiry);
            }
        }
    }

    pub(super) fn remove_expired_releases(&mut self, now: Micros) {
        self.pending_releases.retain(|(until, ..)| *until > now);
    }

    pub(super) fn check_owner(&mut self, owner: OwnerId) {
        if self
            .owners
            .get(&owner)
            .is_some_and(|o| !o.has_sent_valid_message)
        {
            tracing::debug!(owner = owner.0, "an owner that says nothing");
            self.disconnect_owner(owner);
        }
    }

    /// Tells an owner to come again with a task that stands. The platform ends it at its host, which says so by a
    /// release; one from here as well would cut the task, and a task that is cut is owed a release, not a move.
    pub(super) fn notify_relocation(&mut self, task: TaskId) {
        let Some(to) = self
            .tasks
            .get(task)
            .and_then(|e| self.reachable_owner(e.owner))
        else {
            return;
        };
        let Some(entry) = self.tasks.get_mut(task) else {
            return;
        };
        let sid = entry.setup.id;
        let Some(stand) = entry
            .placement
            .as_mut()
            .filter(|s| s.close_cause.is_none() && !s.is_relocation_sent)
        else {
            return;
        };
        stand.is_relocation_sent = true;
        self.outputs
            .push(Output::SendToOwner(to, ToOwner::Relocate(sid)));
    }

    /// Ends a standing task at its host. On a connection that is being made it goes out once that is up, as do all
    /// ends that a host may not have heard.
    fn close_at_host(&mut self, now: Micros, machine: MachineId, sid: SetupId, cause: u8) {
        let Some(link) = self.select_connection(now, machine, &[]) else {
            return;
        };
        if self
            .connections
            .get(&link)
            .is_some_and(|l| l.is_established)
        {
            self.send_to_host(link, &ToHost::Close(sid, cause));
        }
    }
}
