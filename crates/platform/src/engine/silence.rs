//! Hosts that say nothing. A machine that is gone and one that is cut off look alike, and what stands on the second runs
//! on. What tells them apart is the old connection: it goes on where the process is the same, and breaks where it is not.
//! So a connection that fails its test is kept while tasks stand on its host, and the decisions are told that the host
//! has no connection, so that nothing is offered there until it has.

use maplethread::{AttemptOutcome, Event, MachineId, MachineState, Micros, TaskId};
use maplethread_engine::Decide;
use maplethread_platform_wire::host::ToHost;

use super::connections::{QUIET, TEST};
use super::{Engine, LinkId, Timer};

/// A host that could not be reached for so long has lost its tasks.
const UNREACHABLE: Micros = 3_000_000;
/// So has one that was silent and to which so many new connections on end did not come up in the settings' connect
/// time: a process that stands still is still connected to, and each second more that its tasks' owners are not told
/// is a second that the tasks don't run.
const UNREACHED: u32 = 3;
/// Machines fail one by one: where this many hosts with tasks, and this part of all such, are out of reach together,
/// the network between is the likelier cause, and their tasks run on...
const MANY: usize = 3;
const PART: usize = 10;
/// ...so they are given up only as late as PROTOCOL allows, which has the owners of what is over told within 8 s. All
/// placers see such a cut at once: told early, they would start anew, on what is left of the fleet, all that runs.
const CUT_OFF: Micros = 7_000_000;

impl<D: Decide> Engine<D> {
    /// An answer is due on a connection: if nothing at all comes on it in the settings' connect time, it is tested, not
    /// only when the attempt's time is over. A host tells what ended on the connection that the task came on, and owners
    /// are owed that within 1 s (PROTOCOL), so a connection that is of no further use has to be found out earlier.
    pub(super) fn expect_answer(&mut self, now: Micros, id: LinkId) {
        let due = now + self.terms.connect_within;
        if self
            .connections
            .get(&id)
            .is_some_and(|l| l.up && !l.tested && l.due > due)
        {
            self.look_at(id, due);
        }
    }

    /// A connection was not made in time, or failed its test.
    pub(super) fn no_answer(&mut self, now: Micros, id: LinkId) {
        let Some(link) = self.connections.get_mut(&id) else {
            return;
        };
        let (machine, up, was_silent) = (link.machine, link.up, link.silent);
        let Some(host) = self.host_table.hosts.get_mut(&machine) else {
            return;
        };
        // What is gone from the list is waited for no longer.
        let gone = host.state == MachineState::Gone;
        let kept = up && !gone && !host.standing.is_empty();
        host.unreached += u32::from(!up);
        if kept {
            link.silent = true;
            let attempts: Vec<TaskId> = link.attempts.iter().copied().collect();
            self.look_at(id, now + QUIET);
            for task in attempts {
                self.give_up(task, AttemptOutcome::Disconnected, false);
            }
            if was_silent {
                // The first test may be lost with a process that is gone: its successor breaks the connection at this one.
                self.send(id, &ToHost::Probe(TEST));
            }
        }
        if !gone {
            self.out_of_reach(machine);
        }
        if !kept {
            self.drop_link(now, id);
        } else if !was_silent {
            self.try_again(now, machine);
        }
        self.watch(now, machine);
    }

    fn out_of_reach(&mut self, machine: MachineId) {
        if let Some(host) = self.host_table.hosts.get_mut(&machine)
            && !std::mem::replace(&mut host.cut, true)
        {
            self.events.push(Event::ConnectionChanged {
                machine,
                is_connected: false,
            });
        }
    }

    pub(super) fn in_reach(&mut self, machine: MachineId) {
        if let Some(host) = self.host_table.hosts.get_mut(&machine)
            && std::mem::take(&mut host.cut)
        {
            self.events.push(Event::ConnectionChanged {
                machine,
                is_connected: true,
            });
        }
    }

    /// A new connection to a host is made.
    pub(super) fn reached(&mut self, now: Micros, machine: MachineId) {
        let Some(host) = self.host_table.hosts.get_mut(&machine) else {
            return;
        };
        host.linked = true;
        if host.unreached > 0 && !host.standing.is_empty() {
            // It was out of reach: its process may be another one now.
            host.unsure = true;
        } else if !host.unsure {
            // At most a connection was at fault, and its successor is made.
            host.hear(now);
            self.drop_silent(now, machine);
        }
        self.in_reach(machine);
    }

    /// A host said something on a connection.
    pub(super) fn host_spoke(&mut self, now: Micros, id: LinkId, machine: MachineId) {
        let Some(link) = self.connections.get_mut(&id) else {
            return;
        };
        // A connection that goes on where it stopped leads to the process of before.
        let same = std::mem::take(&mut link.silent);
        if same {
            self.look_at(id, now + QUIET);
        }
        if let Some(host) = self
            .host_table
            .hosts
            .get_mut(&machine)
            .filter(|h| same || !h.unsure)
        {
            host.hear(now);
        }
        if same {
            tracing::debug!(
                host = self.host_table.name(machine),
                link = id.0,
                "a silent connection goes on"
            );
            self.drop_silent(now, machine);
        }
        self.in_reach(machine);
    }

    /// A host speaks of a task that stands there since then: if that was before it fell silent, its process is the same.
    pub(super) fn knows_task(&mut self, now: Micros, machine: MachineId, since: Micros) {
        let Some(host) = self
            .host_table
            .hosts
            .get_mut(&machine)
            .filter(|h| h.unsure && since <= h.heard)
        else {
            return;
        };
        host.hear(now);
        self.drop_silent(now, machine);
    }

    /// Silent connections have told what they were kept for.
    fn drop_silent(&mut self, now: Micros, machine: MachineId) {
        let Some(host) = self.host_table.hosts.get(&machine) else {
            return;
        };
        let links: Vec<LinkId> = host.links.iter().copied().collect();
        for id in links {
            if self
                .connections
                .get_mut(&id)
                .is_some_and(|l| std::mem::take(&mut l.silent))
            {
                self.drop_link(now, id);
            }
        }
    }

    /// Whether so many hosts are out of reach together that it is rather the network than they.
    fn cut_off(&self) -> bool {
        let holding = || {
            self.host_table
                .hosts
                .values()
                .filter(|h| !h.standing.is_empty())
        };
        let cut = holding().filter(|h| h.cut).count();
        cut >= MANY && cut * PART >= holding().count()
    }

    fn try_again(&mut self, now: Micros, machine: MachineId) {
        let Some(host) = self.host_table.hosts.get(&machine) else {
            return;
        };
        let waits = host
            .links
            .iter()
            .any(|id| self.connections.get(id).is_some_and(|l| !l.silent));
        let needed = !host.standing.is_empty() || (host.cut && host.state == MachineState::Ready);
        if needed && !waits {
            self.connect(now, machine);
        }
    }

    /// Has a host that holds tasks, or is out of reach, looked at.
    pub(super) fn watch(&mut self, now: Micros, machine: MachineId) {
        let Some(host) = self.host_table.hosts.get_mut(&machine) else {
            return;
        };
        if std::mem::replace(&mut host.watched, true) {
            return;
        }
        // Nobody waits for a host without tasks, and many are tried less often, together no oftener than a few.
        let seldom = host.standing.is_empty() || self.cut_off();
        let again = if seldom {
            QUIET
        } else {
            self.terms.connect_within
        };
        self.timers.schedule(now + again, Timer::HostCheck(machine));
    }

    /// A look at a host with standing tasks, or out of reach, and no connection that answers.
    pub(super) fn host_due(&mut self, now: Micros, machine: MachineId) {
        let Some(host) = self.host_table.hosts.get_mut(&machine) else {
            return;
        };
        host.watched = false;
        let up = host
            .links
            .iter()
            .any(|id| self.connections.get(id).is_some_and(|l| l.up && !l.silent));
        let (standing, quiet) = (!host.standing.is_empty(), now.saturating_sub(host.heard));
        if up && !(standing && host.unsure) || !standing && !host.cut {
            return;
        }
        let (unsure, unreached, heard) = (host.unsure, host.unreached, host.heard);
        // All hosts are gone through only for one with tasks.
        let over = || match unsure || self.cut_off() {
            true => quiet >= CUT_OFF,
            false => quiet >= UNREACHABLE || unreached >= UNREACHED,
        };
        if standing && over() {
            self.lose_standing(now, machine, |since| since <= heard);
            if let Some(host) = self.host_table.hosts.get_mut(&machine) {
                host.unsure = false;
            }
            self.drop_silent(now, machine);
        }
        self.try_again(now, machine);
        if self
            .host_table
            .hosts
            .get(&machine)
            .is_some_and(|h| h.state == MachineState::Ready || !h.standing.is_empty())
        {
            self.watch(now, machine);
        }
    }
}
