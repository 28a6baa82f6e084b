//! Connections to hosts: offers on them, what hosts say, and how a dead host is told from a broken connection.

use std::collections::BTreeSet;

use maplethread::{
    AttemptId, AttemptOutcome, Event, FailureReason, MachineId, MachineState, Micros, TaskId,
    TaskReport,
};
use maplethread_engine::Decide;
use maplethread_platform_wire::host::{FromHost, ReportCode, ToHost};
use maplethread_platform_wire::owner::ToOwner;
use maplethread_platform_wire::{SetupId, cause};

use super::early_results::EarlyResult;
use super::task_table::Placement;
use super::{ConnectionId, DisconnectReason, Engine, Output, Timer};

/// A connection to a host with standing tasks that was silent for so long is tested. A test passes at once: one that
/// has no answer within the settings' connect time gives the connection up.
pub(super) const IDLE_PROBE_INTERVAL: Micros = 1_000_000;
/// Where the settings price tests, only as often as is needed to give up a host that is silent alone after `UNREACHABLE`.
const CHARGED_PROBE_INTERVAL: Micros = 2_500_000;
/// A host says what ended on the connection that the task came on, and once more on the next one that is opened. While
/// it has not yet seen that the old one is over, it may say it there in vain, and a new one that is opened meanwhile is
/// not the next one any more: so long is waited, many times a way through the network, with opening it.
const RECONNECT_DELAY: Micros = 25_000;
/// Tests have an id of their own.
pub(super) const PROBE_ID: SetupId = SetupId(0);

/// A connection to a host.
pub(super) struct HostConnection {
    pub(super) machine: MachineId,
    /// It is made.
    pub(super) is_established: bool,
    /// Attempts on it, or waiting for it.
    pub(super) attempts: BTreeSet<TaskId>,
    /// When something was last heard on it, or it was asked for or made.
    pub(super) last_received: Micros,
    /// A test is out that has no answer yet.
    pub(super) is_probe_pending: bool,
    /// It failed its test, and is kept for what it will tell of the process at its other end.
    pub(super) is_unresponsive: bool,
    /// When its next look is due.
    pub(super) next_check: Micros,
}

impl<D: Decide> Engine<D> {
    /// A connection to a host: one that is up and in no doubt, else one that is being made, else a new one.
    pub(super) fn select_connection(
        &mut self,
        now: Micros,
        machine: MachineId,
        but: &[ConnectionId],
    ) -> Option<ConnectionId> {
        let host = self.host_table.hosts.get(&machine)?;
        let usable = |id: &&ConnectionId| {
            !but.contains(id)
                && self
                    .connections
                    .get(id)
                    .is_some_and(|l| !l.is_probe_pending)
        };
        let best = host
            .connections
            .iter()
            .filter(usable)
            .min_by_key(|id| !self.connections[id].is_established)
            .copied();
        best.or_else(|| self.open_connection(now, machine))
    }

    pub(super) fn open_connection(
        &mut self,
        now: Micros,
        machine: MachineId,
    ) -> Option<ConnectionId> {
        if self.host_table.is_address_reused(machine) {
            return None;
        }
        let host = self.host_table.hosts.get_mut(&machine)?;
        let address = host.address?;
        self.last_connection_id += 1;
        let id = ConnectionId(self.last_connection_id);
        host.connections.insert(id);
        let begin = if host.running.is_empty() {
            now
        } else {
            now.max(host.last_disconnected + RECONNECT_DELAY)
        };
        let due = begin + self.settings.connect_timeout;
        let attempts = BTreeSet::new();
        let link = HostConnection {
            machine,
            is_established: false,
            attempts,
            last_received: now,
            is_probe_pending: false,
            is_unresponsive: false,
            next_check: due,
        };
        self.connections.insert(id, link);
        self.timers.schedule(due, Timer::ConnectionCheck(id));
        if begin > now {
            self.timers.schedule(begin, Timer::DelayedConnect(id));
        } else {
            self.outputs.push(Output::Connect(id, address));
        }
        Some(id)
    }

    /// A connection is to be opened that waited for the host to see the end of an earlier one.
    pub(super) fn open_delayed_connection(&mut self, now: Micros, id: ConnectionId) {
        let Some(machine) = self.connections.get(&id).map(|l| l.machine) else {
            return;
        };
        let address = self.host_table.hosts.get(&machine).and_then(|h| h.address);
        match address.filter(|_| !self.host_table.is_address_reused(machine)) {
            Some(address) => self.outputs.push(Output::Connect(id, address)),
            None => self.connection_lost(now, id, DisconnectReason::Broken),
        }
    }

    /// A connection is made: what waited for it goes out.
    pub fn connection_established(&mut self, now: Micros, id: ConnectionId) {
        let Some(link) = self.connections.get_mut(&id) else {
            return;
        };
        (link.is_established, link.last_received) = (true, now);
        let waiting: Vec<TaskId> = link.attempts.iter().copied().collect();
        let machine = link.machine;
        self.schedule_connection_check(id, now + self.probe_interval());
        self.record_host_connected(now, machine);
        for (sid, cause) in self.unconfirmed_closes(machine) {
            self.send_to_host(id, &ToHost::Close(sid, cause));
        }
        for task in waiting {
            // One whose time is over by now is withdrawn unsent in this turn.
            if self
                .tasks
                .get(task)
                .and_then(|e| e.in_flight)
                .is_some_and(|out| out.deadline > now)
            {
                self.send_setup(now, task, id);
            }
        }
    }

    /// Tasks that their owners ended and that their host has not released yet: what was said of them may have been lost
    /// with a connection, and saying it twice does no harm.
    fn unconfirmed_closes(&self, machine: MachineId) -> Vec<(SetupId, u8)> {
        let standing = self
            .host_table
            .hosts
            .get(&machine)
            .into_iter()
            .flat_map(|h| &h.running);
        let entries = standing.filter_map(|&task| self.tasks.get(task));
        entries
            .filter_map(|e| Some((e.setup.id, e.placement?.close_cause?)))
            .collect()
    }

    /// A connection is over.
    pub fn connection_lost(&mut self, now: Micros, id: ConnectionId, loss: DisconnectReason) {
        let Some(link) = self.connections.remove(&id) else {
            return;
        };
        let machine = link.machine;
        let name = self.host_table.name(machine).to_owned();
        tracing::debug!(host = %name, link = id.0, ?loss, up = link.is_established, open = link.attempts.len(), "link lost");
        if let Some(host) = self.host_table.hosts.get_mut(&machine) {
            host.connections.remove(&id);
        }
        for task in link.attempts {
            let Some(out) = self.remove_attempt(task) else {
                continue;
            };
            let closed = self.tasks.get(task).is_none_or(|e| !e.is_pending);
            let ending = if out.was_sent {
                AttemptOutcome::Disconnected
            } else {
                AttemptOutcome::ConnectFailed
            };
            self.push_attempt_finished(task, out.number, ending, None, closed);
            self.tasks.remove_if_finished(task);
        }
        let Some(host) = self.host_table.hosts.get_mut(&machine) else {
            return;
        };
        host.is_identity_unverified |= link.is_unresponsive;
        if link.is_established {
            host.last_disconnected = now;
        }
        if host.running.is_empty() {
            if host.is_unreachable {
                self.schedule_host_check(now, machine);
            }
            return;
        }
        // A process that drains refuses new connections while its tasks run on: only one that had a connection and
        // lost it tells by refusing the next that it has died.
        let refused = loss == DisconnectReason::Refused;
        if refused && host.state == MachineState::Draining {
            host.record_sign_of_life(now);
        }
        if (refused && host.was_connected) || host.state == MachineState::Gone {
            self.fail_running_tasks(now, machine, |_| true);
        } else {
            // What broke may have been the connection alone: what stands stands until the host can't be reached. What
            // was said on it in vain comes on the next one, whether others are open or not.
            let none = host.connections.is_empty();
            if link.is_established {
                self.open_connection(now, machine);
            }
            if none {
                self.schedule_host_check(now, machine);
            }
        }
    }

    /// A host said something.
    pub fn handle_host_message(&mut self, now: Micros, id: ConnectionId, says: FromHost) {
        let Some(link) = self.connections.get_mut(&id) else {
            return;
        };
        let machine = link.machine;
        (link.last_received, link.is_probe_pending) = (now, false);
        self.record_host_message(now, id, machine);
        tracing::trace!(
            host = self.host_table.name(machine),
            link = id.0,
            ?says,
            "host"
        );
        match says {
            FromHost::Ready(sid, text) => self.handle_ready(now, id, sid, text),
            FromHost::Close(sid, cause, told) => {
                self.handle_host_close(now, id, machine, sid, cause, told)
            }
            FromHost::Report(sid, told, figure) => {
                self.handle_task_report(now, machine, sid, told, figure)
            }
            FromHost::Probed(_) | FromHost::Ignored => {}
        }
    }

    fn handle_ready(&mut self, now: Micros, link: ConnectionId, sid: SetupId, text: String) {
        let Some(task) = self.tasks.id_by_setup(sid) else {
            return;
        };
        let Some(entry) = self.tasks.get_mut(task) else {
            return;
        };
        let Some(out) = entry
            .in_flight
            .filter(|out| out.connection == link && out.was_sent && entry.is_pending)
        else {
            return;
        };
        entry.used_connections = Vec::new();
        let owner = entry.owner;
        entry.placement = Some(Placement {
            number: out.number,
            machine: out.machine,
            since: now,
            close_cause: None,
            is_relocation_sent: false,
        });
        self.remove_attempt(task);
        self.mark_answered(task);
        self.tasks.drop_description(task);
        self.outputs
            .push(Output::SendToOwner(owner, ToOwner::Ready(sid, text)));
        self.record_owner_placement(owner);
        let id = AttemptId {
            task,
            number: out.number,
        };
        self.events.push(Event::AttemptAccepted {
            attempt: id,
            elapsed: Some(now.saturating_sub(out.offered_at)),
        });
        self.record_running_task(now, task, out.machine);
    }

    /// A task stands on a host: a connection is kept on which its end can be told.
    pub(super) fn record_running_task(&mut self, now: Micros, task: TaskId, machine: MachineId) {
        let Some(host) = self.host_table.hosts.get_mut(&machine) else {
            return;
        };
        if host.running.is_empty() {
            host.record_sign_of_life(now);
        }
        host.running.insert(task);
        if host.connections.is_empty() {
            self.open_connection(now, machine);
            self.schedule_host_check(now, machine);
        }
    }

    fn handle_host_close(
        &mut self,
        now: Micros,
        link: ConnectionId,
        machine: MachineId,
        sid: SetupId,
        cause: u8,
        told: Option<ReportCode>,
    ) {
        let Some(task) = self.tasks.id_by_setup(sid) else {
            // Other causes are answers to set-ups, not ends of what runs.
            if matches!(cause, cause::NORMAL | cause::RESET | cause::CANCELLED) {
                self.early_results
                    .insert(now, sid, EarlyResult::HostReported(machine, cause));
            }
            return;
        };
        let Some(entry) = self.tasks.get(task) else {
            return;
        };
        if let Some(out) = entry
            .in_flight
            .filter(|out| out.connection == link && out.was_sent)
        {
            let closed = !entry.is_pending;
            self.remove_attempt(task);
            let ending = match cause {
                cause::NO_CAPACITY => AttemptOutcome::Rejected,
                cause::ERROR => AttemptOutcome::Error,
                cause::NEVER_SENT => AttemptOutcome::NeverSent,
                _ => AttemptOutcome::Disconnected,
            };
            self.push_attempt_finished(task, out.number, ending, failure_reason(told), closed);
            self.tasks.remove_if_finished(task);
        } else if let Some(stand) = entry.placement.filter(|s| s.machine == machine) {
            self.confirm_same_process(now, machine, stand.since);
            let ending = match cause {
                cause::NORMAL => AttemptOutcome::Completed,
                cause::CANCELLED => AttemptOutcome::Cancelled,
                _ => AttemptOutcome::Disconnected,
            };
            self.finish_running_task(now, task, ending, failure_reason(told), cause);
        }
    }

    /// A standing task is over, whoever says so.
    fn finish_running_task(
        &mut self,
        now: Micros,
        task: TaskId,
        ending: AttemptOutcome,
        why: Option<FailureReason>,
        cause: u8,
    ) {
        let Some(entry) = self.tasks.get_mut(task) else {
            return;
        };
        let Some(stand) = entry.placement.take() else {
            return;
        };
        let (owner, sid) = (entry.owner, entry.setup.id);
        if let Some(host) = self.host_table.hosts.get_mut(&stand.machine) {
            host.running.remove(&task);
        }
        self.push_attempt_finished(task, stand.number, ending, why, true);
        if stand.close_cause.is_none() && ending != AttemptOutcome::Cancelled {
            self.notify_release(now, owner, sid, cause);
        }
        self.tasks.remove_if_finished(task);
    }

    fn handle_task_report(
        &mut self,
        now: Micros,
        machine: MachineId,
        sid: SetupId,
        told: ReportCode,
        figure: f64,
    ) {
        let Some(task) = self.tasks.id_by_setup(sid) else {
            return;
        };
        let Some(stand) = self.tasks.get(task).and_then(|e| e.placement) else {
            return;
        };
        if stand.machine != machine || !figure.is_finite() {
            return;
        }
        self.confirm_same_process(now, machine, stand.since);
        let note = match told {
            ReportCode::Running => TaskReport::Started,
            ReportCode::CoresUsed => TaskReport::CoresUsed(figure),
            ReportCode::MemoryUsed => TaskReport::MemoryUsed(figure),
            ReportCode::ServiceShare => TaskReport::Served(figure),
            ReportCode::HostMemoryUsed => TaskReport::MachineMemory(figure),
            _ => return,
        };
        self.events.push(Event::TaskReported {
            attempt: AttemptId {
                task,
                number: stand.number,
            },
            report: note,
        });
    }

    /// News of a host: what waits for it is withdrawn where it takes nothing new, and what stood in an earlier process
    /// is over.
    pub(super) fn apply_host_change(&mut self, now: Micros, machine: MachineId) {
        let Some(host) = self.host_table.hosts.get(&machine) else {
            return;
        };
        let (state, started) = (host.state, host.started);
        let links: Vec<ConnectionId> = host.connections.iter().copied().collect();
        if state != MachineState::Ready {
            let waiting: Vec<TaskId> = links
                .iter()
                .filter_map(|id| self.connections.get(id).filter(|l| !l.is_established))
                .flat_map(|l| l.attempts.iter().copied())
                .collect();
            for task in waiting {
                self.abandon_attempt(task, AttemptOutcome::ConnectFailed, false);
            }
        }
        if let Some(started) = started {
            self.fail_running_tasks(now, machine, |since| since < started);
        }
        if state == MachineState::Gone {
            self.mark_reachable(machine);
            if links.is_empty() {
                self.fail_running_tasks(now, machine, |_| true);
            }
            // A machine that was taken away may have said nothing: its connections are tested at once.
            links
                .into_iter()
                .for_each(|link| self.probe_connection(now, link));
        }
    }

    /// Standing tasks that are lost with their host.
    pub(super) fn fail_running_tasks(
        &mut self,
        now: Micros,
        machine: MachineId,
        which: impl Fn(Micros) -> bool,
    ) {
        let Some(host) = self.host_table.hosts.get(&machine) else {
            return;
        };
        let stands = |id: &TaskId| {
            self.tasks
                .get(*id)
                .and_then(|e| e.placement)
                .is_some_and(|s| which(s.since))
        };
        let lost: Vec<TaskId> = host.running.iter().copied().filter(stands).collect();
        if !lost.is_empty() {
            tracing::debug!(
                host = self.host_table.name(machine),
                tasks = lost.len(),
                "standing tasks are lost"
            );
        }
        for task in lost {
            self.finish_running_task(now, task, AttemptOutcome::Disconnected, None, cause::RESET);
        }
    }

    /// An answer did not come on this connection: it is tested, and takes no further offers until the test is passed.
    pub(super) fn probe_connection(&mut self, now: Micros, id: ConnectionId) {
        let Some(link) = self
            .connections
            .get_mut(&id)
            .filter(|l| l.is_established && !l.is_probe_pending)
        else {
            return;
        };
        link.is_probe_pending = true;
        self.schedule_connection_check(id, now + self.settings.connect_timeout);
        self.send_to_host(id, &ToHost::Probe(PROBE_ID));
    }

    /// A look at a connection: is it made, does it answer, is it still needed?
    pub(super) fn check_connection(&mut self, now: Micros, id: ConnectionId) {
        let test_after = self.probe_interval();
        let Some(link) = self
            .connections
            .get_mut(&id)
            .filter(|l| l.next_check <= now)
        else {
            return;
        };
        if !link.is_established || link.is_probe_pending {
            tracing::debug!(
                link = id.0,
                up = link.is_established,
                since = now - link.last_received,
                "no answer on a link"
            );
            return self.handle_unanswered_connection(now, id);
        }
        let quiet = now.saturating_sub(link.last_received);
        let host = self.host_table.hosts.get(&link.machine);
        let standing = host.is_some_and(|h| !h.running.is_empty());
        let gone = host.is_none_or(|h| h.state == MachineState::Gone);
        let waits = !link.attempts.is_empty() && quiet >= self.settings.connect_timeout;
        if waits || standing && quiet >= test_after {
            self.probe_connection(now, id);
        } else if !standing
            && link.attempts.is_empty()
            && (gone || quiet >= self.settings.idle_timeout / 2)
        {
            self.close_connection(now, id);
        } else {
            let next = if !link.attempts.is_empty() {
                now + self.settings.connect_timeout
            } else if quiet < test_after {
                link.last_received + test_after
            } else {
                now + test_after
            };
            self.schedule_connection_check(id, next);
        }
    }

    /// How long a connection may be silent while tasks stand on its host.
    pub(super) fn probe_interval(&self) -> Micros {
        if self.settings.are_probes_charged {
            CHARGED_PROBE_INTERVAL
        } else {
            IDLE_PROBE_INTERVAL
        }
    }

    /// A look at a connection is due at this time, and not at the one set before.
    pub(super) fn schedule_connection_check(&mut self, id: ConnectionId, at: Micros) {
        if let Some(link) = self.connections.get_mut(&id) {
            link.next_check = at;
            self.timers.schedule(at, Timer::ConnectionCheck(id));
        }
    }

    pub(super) fn close_connection(&mut self, now: Micros, id: ConnectionId) {
        self.outputs.push(Output::CloseConnection(id));
        self.connection_lost(now, id, DisconnectReason::Broken);
    }
}

fn failure_reason(told: Option<ReportCode>) -> Option<FailureReason> {
    Some(match told? {
        ReportCode::InsufficientCores => FailureReason::Cores,
        ReportCode::InsufficientMemory => FailureReason::Memory,
        ReportCode::QueueFull => FailureReason::QueueFull,
        ReportCode::Ineligible => FailureReason::Ineligible,
        ReportCode::Evicted => FailureReason::Evicted,
        ReportCode::Preempted => FailureReason::Preempted,
        ReportCode::Drained => FailureReason::Drained,
        ReportCode::Running
        | ReportCode::CoresUsed
        | ReportCode::MemoryUsed
        | ReportCode::ServiceShare
        | ReportCode::HostMemoryUsed => return None,
    })
}
