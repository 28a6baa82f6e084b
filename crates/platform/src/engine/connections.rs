//! Connections to hosts: offers on them, what hosts say, and how a dead host is told from a broken connection.

use std::collections::BTreeSet;

use maplethread::{
    AttemptId, AttemptOutcome, Event, FailureReason, MachineId, MachineState, Micros, TaskId,
    TaskReport,
};
use maplethread_engine::Decide;
use maplethread_platform_wire::host::{FromHost, ToHost, Told};
use maplethread_platform_wire::owner::ToOwner;
use maplethread_platform_wire::{Sid, cause};

use super::early::EarlyResult;
use super::tasks::Stand;
use super::{Engine, LinkId, Loss, Output, Timer};

/// A connection to a host with standing tasks that was silent for so long is tested. A test passes at once: one that
/// has no answer within the settings' connect time gives the connection up.
pub(super) const QUIET: Micros = 1_000_000;
/// Where the settings price tests, only as often as is needed to give up a host that is silent alone after `UNREACHABLE`.
const QUIET_PRICED: Micros = 2_500_000;
/// A host says what ended on the connection that the task came on, and once more on the next one that is opened. While
/// it has not yet seen that the old one is over, it may say it there in vain, and a new one that is opened meanwhile is
/// not the next one any more: so long is waited, many times a way through the network, with opening it.
const PARTED: Micros = 25_000;
/// Tests have an id of their own.
pub(super) const TEST: Sid = Sid(0);

/// A connection to a host.
pub(super) struct Link {
    pub(super) machine: MachineId,
    /// It is made.
    pub(super) up: bool,
    /// Attempts on it, or waiting for it.
    pub(super) attempts: BTreeSet<TaskId>,
    /// When something was last heard on it, or it was asked for or made.
    pub(super) heard: Micros,
    /// A test is out that has no answer yet.
    pub(super) tested: bool,
    /// It failed its test, and is kept for what it will tell of the process at its other end.
    pub(super) silent: bool,
    /// When its next look is due.
    pub(super) due: Micros,
}

impl<D: Decide> Engine<D> {
    /// A connection to a host: one that is up and in no doubt, else one that is being made, else a new one.
    pub(super) fn link_to(
        &mut self,
        now: Micros,
        machine: MachineId,
        but: &[LinkId],
    ) -> Option<LinkId> {
        let host = self.host_table.hosts.get(&machine)?;
        let usable =
            |id: &&LinkId| !but.contains(id) && self.connections.get(id).is_some_and(|l| !l.tested);
        let best = host
            .links
            .iter()
            .filter(usable)
            .min_by_key(|id| !self.connections[id].up)
            .copied();
        best.or_else(|| self.connect(now, machine))
    }

    pub(super) fn connect(&mut self, now: Micros, machine: MachineId) -> Option<LinkId> {
        if self.host_table.replaced(machine) {
            return None;
        }
        let host = self.host_table.hosts.get_mut(&machine)?;
        let address = host.address?;
        self.last_link += 1;
        let id = LinkId(self.last_link);
        host.links.insert(id);
        let begin = if host.standing.is_empty() {
            now
        } else {
            now.max(host.parted + PARTED)
        };
        let due = begin + self.terms.connect_within;
        let attempts = BTreeSet::new();
        let link = Link {
            machine,
            up: false,
            attempts,
            heard: now,
            tested: false,
            silent: false,
            due,
        };
        self.connections.insert(id, link);
        self.timers.schedule(due, Timer::ConnectionCheck(id));
        if begin > now {
            self.timers.schedule(begin, Timer::Connect(id));
        } else {
            self.outputs.push(Output::Connect(id, address));
        }
        Some(id)
    }

    /// A connection is to be opened that waited for the host to see the end of an earlier one.
    pub(super) fn connect_due(&mut self, now: Micros, id: LinkId) {
        let Some(machine) = self.connections.get(&id).map(|l| l.machine) else {
            return;
        };
        let address = self.host_table.hosts.get(&machine).and_then(|h| h.address);
        match address.filter(|_| !self.host_table.replaced(machine)) {
            Some(address) => self.outputs.push(Output::Connect(id, address)),
            None => self.link_lost(now, id, Loss::Broken),
        }
    }

    /// A connection is made: what waited for it goes out.
    pub fn link_up(&mut self, now: Micros, id: LinkId) {
        let Some(link) = self.connections.get_mut(&id) else {
            return;
        };
        (link.up, link.heard) = (true, now);
        let waiting: Vec<TaskId> = link.attempts.iter().copied().collect();
        let machine = link.machine;
        self.look_at(id, now + self.quiet());
        self.reached(now, machine);
        for (sid, cause) in self.cuts(machine) {
            self.send(id, &ToHost::Close(sid, cause));
        }
        for task in waiting {
            // One whose time is over by now is withdrawn unsent in this turn.
            if self
                .tasks
                .get(task)
                .and_then(|e| e.out)
                .is_some_and(|out| out.until > now)
            {
                self.send_set_up(now, task, id);
            }
        }
    }

    /// Tasks that their owners ended and that their host has not released yet: what was said of them may have been lost
    /// with a connection, and saying it twice does no harm.
    fn cuts(&self, machine: MachineId) -> Vec<(Sid, u8)> {
        let standing = self
            .host_table
            .hosts
            .get(&machine)
            .into_iter()
            .flat_map(|h| &h.standing);
        let entries = standing.filter_map(|&task| self.tasks.get(task));
        entries
            .filter_map(|e| Some((e.set_up.sid, e.stand?.cut?)))
            .collect()
    }

    /// A connection is over.
    pub fn link_lost(&mut self, now: Micros, id: LinkId, loss: Loss) {
        let Some(link) = self.connections.remove(&id) else {
            return;
        };
        let machine = link.machine;
        let name = self.host_table.name(machine).to_owned();
        tracing::debug!(host = %name, link = id.0, ?loss, up = link.up, open = link.attempts.len(), "link lost");
        if let Some(host) = self.host_table.hosts.get_mut(&machine) {
            host.links.remove(&id);
        }
        for task in link.attempts {
            let Some(out) = self.take_attempt(task) else {
                continue;
            };
            let closed = self.tasks.get(task).is_none_or(|e| !e.is_pending);
            let ending = if out.sent {
                AttemptOutcome::Disconnected
            } else {
                AttemptOutcome::ConnectFailed
            };
            self.ended(task, out.number, ending, None, closed);
            self.tasks.drop_if_over(task);
        }
        let Some(host) = self.host_table.hosts.get_mut(&machine) else {
            return;
        };
        host.unsure |= link.silent;
        if link.up {
            host.parted = now;
        }
        if host.standing.is_empty() {
            if host.cut {
                self.watch(now, machine);
            }
            return;
        }
        // A process that drains refuses new connections while its tasks run on: only one that had a connection and
        // lost it tells by refusing the next that it has died.
        let refused = loss == Loss::Refused;
        if refused && host.state == MachineState::Draining {
            host.hear(now);
        }
        if (refused && host.linked) || host.state == MachineState::Gone {
            self.lose_standing(now, machine, |_| true);
        } else {
            // What broke may have been the connection alone: what stands stands until the host can't be reached. What
            // was said on it in vain comes on the next one, whether others are open or not.
            let none = host.links.is_empty();
            if link.up {
                self.connect(now, machine);
            }
            if none {
                self.watch(now, machine);
            }
        }
    }

    /// A host said something.
    pub fn host_says(&mut self, now: Micros, id: LinkId, says: FromHost) {
        let Some(link) = self.connections.get_mut(&id) else {
            return;
        };
        let machine = link.machine;
        (link.heard, link.tested) = (now, false);
        self.host_spoke(now, id, machine);
        tracing::trace!(
            host = self.host_table.name(machine),
            link = id.0,
            ?says,
            "host"
        );
        match says {
            FromHost::Ready(sid, text) => self.ready(now, id, sid, text),
            FromHost::Close(sid, cause, told) => {
                self.host_closes(now, id, machine, sid, cause, told)
            }
            FromHost::Event(sid, told, figure) => self.noted(now, machine, sid, told, figure),
            FromHost::Probed(_) | FromHost::Idle => {}
        }
    }

    fn ready(&mut self, now: Micros, link: LinkId, sid: Sid, text: String) {
        let Some(task) = self.tasks.by_sid(sid) else {
            return;
        };
        let Some(entry) = self.tasks.get_mut(task) else {
            return;
        };
        let Some(out) = entry
            .out
            .filter(|out| out.link == link && out.sent && entry.is_pending)
        else {
            return;
        };
        entry.used = Vec::new();
        let owner = entry.owner;
        entry.stand = Some(Stand {
            number: out.number,
            machine: out.machine,
            since: now,
            cut: None,
            moved: false,
        });
        self.take_attempt(task);
        self.close(task);
        self.tasks.drop_text(task);
        self.outputs
            .push(Output::ToOwner(owner, ToOwner::Ready(sid, text)));
        self.placed(owner);
        let id = AttemptId {
            task,
            number: out.number,
        };
        self.events.push(Event::AttemptAccepted {
            attempt: id,
            elapsed: Some(now.saturating_sub(out.offered)),
        });
        self.stands(now, task, out.machine);
    }

    /// A task stands on a host: a connection is kept on which its end can be told.
    pub(super) fn stands(&mut self, now: Micros, task: TaskId, machine: MachineId) {
        let Some(host) = self.host_table.hosts.get_mut(&machine) else {
            return;
        };
        if host.standing.is_empty() {
            host.hear(now);
        }
        host.standing.insert(task);
        if host.links.is_empty() {
            self.connect(now, machine);
            self.watch(now, machine);
        }
    }

    fn host_closes(
        &mut self,
        now: Micros,
        link: LinkId,
        machine: MachineId,
        sid: Sid,
        cause: u8,
        told: Option<Told>,
    ) {
        let Some(task) = self.tasks.by_sid(sid) else {
            // Other causes are answers to set-ups, not ends of what runs.
            if matches!(cause, cause::NORMAL | cause::RESET | cause::CANCELLED) {
                self.early.put(now, sid, EarlyResult::Told(machine, cause));
            }
            return;
        };
        let Some(entry) = self.tasks.get(task) else {
            return;
        };
        if let Some(out) = entry.out.filter(|out| out.link == link && out.sent) {
            let closed = !entry.is_pending;
            self.take_attempt(task);
            let ending = match cause {
                cause::FULL => AttemptOutcome::Rejected,
                cause::ERROR => AttemptOutcome::Error,
                cause::MOOT => AttemptOutcome::NeverSent,
                _ => AttemptOutcome::Disconnected,
            };
            self.ended(task, out.number, ending, why(told), closed);
            self.tasks.drop_if_over(task);
        } else if let Some(stand) = entry.stand.filter(|s| s.machine == machine) {
            self.knows_task(now, machine, stand.since);
            let ending = match cause {
                cause::NORMAL => AttemptOutcome::Completed,
                cause::CANCELLED => AttemptOutcome::Cancelled,
                _ => AttemptOutcome::Disconnected,
            };
            self.over(now, task, ending, why(told), cause);
        }
    }

    /// A standing task is over, whoever says so.
    fn over(
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
        let Some(stand) = entry.stand.take() else {
            return;
        };
        let (owner, sid) = (entry.owner, entry.set_up.sid);
        if let Some(host) = self.host_table.hosts.get_mut(&stand.machine) {
            host.standing.remove(&task);
        }
        self.ended(task, stand.number, ending, why, true);
        if stand.cut.is_none() && ending != AttemptOutcome::Cancelled {
            self.release(now, owner, sid, cause);
        }
        self.tasks.drop_if_over(task);
    }

    fn noted(&mut self, now: Micros, machine: MachineId, sid: Sid, told: Told, figure: f64) {
        let Some(task) = self.tasks.by_sid(sid) else {
            return;
        };
        let Some(stand) = self.tasks.get(task).and_then(|e| e.stand) else {
            return;
        };
        if stand.machine != machine || !figure.is_finite() {
            return;
        }
        self.knows_task(now, machine, stand.since);
        let note = match told {
            Told::Live => TaskReport::Started,
            Told::Cores => TaskReport::CoresUsed(figure),
            Told::Memory => TaskReport::MemoryUsed(figure),
            Told::Served => TaskReport::Served(figure),
            Told::Pressure => TaskReport::MachineMemory(figure),
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
    pub(super) fn host_changed(&mut self, now: Micros, machine: MachineId) {
        let Some(host) = self.host_table.hosts.get(&machine) else {
            return;
        };
        let (state, started) = (host.state, host.started);
        let links: Vec<LinkId> = host.links.iter().copied().collect();
        if state != MachineState::Ready {
            let waiting: Vec<TaskId> = links
                .iter()
                .filter_map(|id| self.connections.get(id).filter(|l| !l.up))
                .flat_map(|l| l.attempts.iter().copied())
                .collect();
            for task in waiting {
                self.give_up(task, AttemptOutcome::ConnectFailed, false);
            }
        }
        if let Some(started) = started {
            self.lose_standing(now, machine, |since| since < started);
        }
        if state == MachineState::Gone {
            self.in_reach(machine);
            if links.is_empty() {
                self.lose_standing(now, machine, |_| true);
            }
            // A machine that was taken away may have said nothing: its connections are tested at once.
            links.into_iter().for_each(|link| self.doubt(now, link));
        }
    }

    /// Standing tasks that are lost with their host.
    pub(super) fn lose_standing(
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
                .and_then(|e| e.stand)
                .is_some_and(|s| which(s.since))
        };
        let lost: Vec<TaskId> = host.standing.iter().copied().filter(stands).collect();
        if !lost.is_empty() {
            tracing::debug!(
                host = self.host_table.name(machine),
                tasks = lost.len(),
                "standing tasks are lost"
            );
        }
        for task in lost {
            self.over(now, task, AttemptOutcome::Disconnected, None, cause::RESET);
        }
    }

    /// An answer did not come on this connection: it is tested, and takes no further offers until the test is passed.
    pub(super) fn doubt(&mut self, now: Micros, id: LinkId) {
        let Some(link) = self.connections.get_mut(&id).filter(|l| l.up && !l.tested) else {
            return;
        };
        link.tested = true;
        self.look_at(id, now + self.terms.connect_within);
        self.send(id, &ToHost::Probe(TEST));
    }

    /// A look at a connection: is it made, does it answer, is it still needed?
    pub(super) fn link_due(&mut self, now: Micros, id: LinkId) {
        let test_after = self.quiet();
        let Some(link) = self.connections.get_mut(&id).filter(|l| l.due <= now) else {
            return;
        };
        if !link.up || link.tested {
            tracing::debug!(
                link = id.0,
                up = link.up,
                since = now - link.heard,
                "no answer on a link"
            );
            return self.no_answer(now, id);
        }
        let quiet = now.saturating_sub(link.heard);
        let host = self.host_table.hosts.get(&link.machine);
        let standing = host.is_some_and(|h| !h.standing.is_empty());
        let gone = host.is_none_or(|h| h.state == MachineState::Gone);
        let waits = !link.attempts.is_empty() && quiet >= self.terms.connect_within;
        if waits || standing && quiet >= test_after {
            self.doubt(now, id);
        } else if !standing
            && link.attempts.is_empty()
            && (gone || quiet >= self.terms.idle_for / 2)
        {
            self.drop_link(now, id);
        } else {
            let next = if !link.attempts.is_empty() {
                now + self.terms.connect_within
            } else if quiet < test_after {
                link.heard + test_after
            } else {
                now + test_after
            };
            self.look_at(id, next);
        }
    }

    /// How long a connection may be silent while tasks stand on its host.
    pub(super) fn quiet(&self) -> Micros {
        if self.terms.tests_cost {
            QUIET_PRICED
        } else {
            QUIET
        }
    }

    /// A look at a connection is due at this time, and not at the one set before.
    pub(super) fn look_at(&mut self, id: LinkId, at: Micros) {
        if let Some(link) = self.connections.get_mut(&id) {
            link.due = at;
            self.timers.schedule(at, Timer::ConnectionCheck(id));
        }
    }

    pub(super) fn drop_link(&mut self, now: Micros, id: LinkId) {
        self.outputs.push(Output::CloseLink(id));
        self.link_lost(now, id, Loss::Broken);
    }
}

fn why(told: Option<Told>) -> Option<FailureReason> {
    Some(match told? {
        Told::NoCores => FailureReason::Cores,
        Told::NoMemory => FailureReason::Memory,
        Told::NoLine => FailureReason::QueueFull,
        Told::NotHere => FailureReason::Ineligible,
        Told::Evicted => FailureReason::Evicted,
        Told::PushedOut => FailureReason::Preempted,
        Told::SentAway => FailureReason::Drained,
        Told::Live | Told::Cores | Told::Memory | Told::Served | Told::Pressure => return None,
    })
}
