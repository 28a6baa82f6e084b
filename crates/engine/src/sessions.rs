//! The host side: connections, greetings, and the frames that hosts send.

use std::collections::BTreeSet;
use std::sync::Arc;

use maplethread::{AttemptId, Ending, Event, MachineId, Note, Room, Scope, Task, TaskId, Why};
use maplethread_config::{HostEntry, HostState, Inventory};
use maplethread_wire::frame::{self, Copies, Frame, NoteKind, Offer, Reason};

use crate::answers::Answer;
use crate::engine::{Actor, Attempt, Due, Engine, Output, Stage};
use crate::hosts::{Host, Link};
use crate::names::hash;
use crate::notes::Kept;
use crate::{Decide, HostId};

pub(crate) fn why(reason: Reason) -> Option<Why> {
    Some(match reason {
        Reason::Cores => Why::Cores,
        Reason::Memory => Why::Memory,
        Reason::Line => Why::Line,
        Reason::NotHere => Why::NotHere,
        Reason::Evicted => Why::Evicted,
        Reason::PushedOut => Why::PushedOut,
        Reason::SentAway => Why::SentAway,
        Reason::Unknown | Reason::Done | Reason::Stopped | Reason::Error => return None,
    })
}

impl<D: Decide> Engine<D> {
    /// News of the whole list of hosts. Hosts that are not in it are gone.
    pub fn inventory(&mut self, now: u64, inventory: &Inventory) {
        self.now = self.now.max(now);
        self.listed = true;
        let named: BTreeSet<&str> = inventory.host.iter().map(|e| e.name.as_str()).collect();
        for host in self.hosts.values_mut().filter(|h| !named.contains(&*h.name)) {
            host.listed = HostState::Gone;
        }
        for entry in &inventory.host {
            self.take_entry(entry);
        }
        let listings = self.hosts.values_mut().filter(|h| h.tried || h.listed == HostState::Gone);
        let machines = listings.map(Host::refresh).collect();
        self.events.push(Event::Listed { scope: Scope::Full, machines });
        for id in self.hosts.keys().copied().collect::<Vec<_>>() {
            self.forget_gone(id);
        }
    }

    /// News of some hosts, each as it now is; those that are gone have that state.
    pub fn hosts_changed(&mut self, now: u64, entries: &[HostEntry]) {
        self.now = self.now.max(now);
        self.listed = true;
        let mut machines = Vec::new();
        for entry in entries {
            if entry.state == HostState::Gone && !self.by_name.contains_key(entry.name.as_str()) {
                continue;
            }
            let id = self.take_entry(entry);
            let Some(host) = self.hosts.get_mut(&id) else { continue };
            let forgotten = host.listed == HostState::Gone && host.link == Link::Down;
            if host.tried || forgotten {
                machines.push(host.refresh());
            }
            self.forget_gone(id);
        }
        if !machines.is_empty() {
            self.events.push(Event::Listed { scope: Scope::Changes, machines });
        }
    }

    /// This placer's number from now on, where it is leased.
    pub fn numbered(&mut self, number: Option<u32>) {
        self.events.push(Event::Numbered(number));
    }

    fn take_entry(&mut self, entry: &HostEntry) -> HostId {
        let id = match self.by_name.get(entry.name.as_str()) {
            Some(&id) => id,
            None => {
                let (id, epoch) = match self.gone.remove(entry.name.as_str()) {
                    Some((id, epoch, _)) => (id, epoch),
                    None => {
                        self.next_host += 1;
                        (HostId(self.next_host - 1), 0)
                    }
                };
                let mut host = Host::new(id, entry, hash(&entry.name), self.now);
                (host.epoch, host.born) = (epoch, epoch);
                let place = [&entry.zone, &entry.cell, &entry.kind].map(|p| p.as_str().into());
                self.notes.add(|| Kept::Host { machine: id.0, name: host.name.clone(), place });
                self.by_name.insert(host.name.clone(), id);
                self.hosts.insert(id, host);
                id
            }
        };
        let cell = self.cells.of(&format!("{}/{}", entry.zone, entry.cell));
        let zones = &self.config.placer.zones;
        let zone = zones.iter().position(|z| *z == entry.zone).unwrap_or(0) as u32;
        let kind = self.config.kind.iter().position(|k| k.name == entry.kind).unwrap_or(0);
        let Some(host) = self.hosts.get_mut(&id) else { return id };
        (host.listing.zone, host.listing.cell, host.listing.kind) = (zone, cell, kind);
        let free = entry.unasked_cores.zip(entry.unasked_memory_gib);
        host.listing.unasked = free.map(|(cores, memory)| Room::new(cores, memory));
        (host.listed, host.listed_start) = (entry.state, entry.started_ms);
        let moved = host.address != entry.address;
        host.address = entry.address;
        let (link, epoch, born) = (host.link, host.epoch, host.born);
        if moved && link != Link::Down {
            self.cut(id);
        } else if link == Link::Down && entry.state != HostState::Gone && epoch == born {
            self.connect_due(id, epoch);
        }
        id
    }

    /// Tells the decider what is new of one host.
    fn relist(&mut self, id: HostId) {
        if let Some(host) = self.hosts.get_mut(&id) {
            host.tried = true;
            let machines = vec![host.refresh()];
            self.events.push(Event::Listed { scope: Scope::Changes, machines });
        }
    }

    pub(crate) fn connect_due(&mut self, id: HostId, epoch: u64) {
        let within = self.config.hosts.connect_within_ms * 1000;
        let Some(host) = self.hosts.get_mut(&id) else { return };
        if host.epoch != epoch || host.link != Link::Down || !host.wanted() {
            return;
        }
        host.epoch += 1;
        host.link = Link::Greeting;
        (host.queued, host.written) = (0, 0);
        let (address, epoch) = (host.address, host.epoch);
        self.outputs.push(Output::Connect(id, address));
        self.timers.set(self.now + within, Due::Greet(id, epoch));
    }

    pub(crate) fn greet_due(&mut self, id: HostId, epoch: u64) {
        let Some(host) = self.hosts.get_mut(&id) else { return };
        if host.epoch == epoch && matches!(host.link, Link::Greeting | Link::Naming) {
            tracing::warn!(host = %host.name, "no greeting in time");
            self.cut(id);
        }
    }

    pub(crate) fn ping_due(&mut self, id: HostId, epoch: u64) {
        let (every, silent) = (self.config.hosts.ping_every_ms, self.config.hosts.silent_after_ms);
        let Some(host) = self.hosts.get_mut(&id) else { return };
        if host.epoch != epoch || host.link == Link::Down {
            return;
        }
        if self.stalled {
            // The silence was this placer's own.
            host.heard = self.now;
        }
        if host.heard + silent * 1000 <= self.now {
            tracing::warn!(host = %host.name, "silent; connection dropped");
            self.cut(id);
            return;
        }
        self.send(id, &Frame::Ping(epoch as u32), true);
        self.timers.set(self.now + every * 1000, Due::Ping(id, epoch));
    }

    /// The connection to a host is made.
    pub fn host_connected(&mut self, now: u64, id: HostId) {
        self.now = self.now.max(now);
        let hello = Frame::Hello {
            major: frame::MAJOR,
            minor: frame::MINOR,
            name: self.config.placer.name.clone(),
            started_ms: self.started_ms,
            most_offers: 0,
        };
        if self.hosts.get(&id).is_some_and(|h| h.link == Link::Greeting) {
            self.send(id, &hello, false);
        }
    }

    /// The kernel has taken so many bytes of this connection, ever.
    pub fn host_written(&mut self, id: HostId, written: u64) {
        if let Some(host) = self.hosts.get_mut(&id) {
            host.written = written;
        }
    }

    /// A connection to a host could not be made, or is lost; the kernel had taken `written` bytes of it. An offer
    /// of which it had not taken all never reached the host whole, so it never ran.
    pub fn host_closed(&mut self, now: u64, id: HostId, written: u64) {
        self.now = self.now.max(now);
        let (first, most) = (self.config.hosts.reconnect_first_ms, self.config.hosts.reconnect_most_ms);
        let lost = self.config.hosts.lost_after_ms * 1000;
        let Some(host) = self.hosts.get_mut(&id) else { return };
        if host.link == Link::Down {
            return;
        }
        let was = std::mem::replace(&mut host.link, Link::Down);
        tracing::info!(host = %host.name, ?was, "connection lost");
        let attempts: Vec<u64> = host.attempts.iter().copied().collect();
        let (epoch, tries, wanted) = (host.epoch, host.tries, host.wanted());
        host.tries = tries.saturating_add(1);
        let untold = !host.tried;
        let mut holds = false;
        for wire in attempts {
            let Some(attempt) = self.attempts.get(&wire) else { continue };
            match attempt.stage {
                Stage::Seated => holds = true,
                Stage::Out if attempt.frame_end > written => {
                    self.end(wire, Ending::Unreachable, None, None, true);
                }
                Stage::Out | Stage::Accepted => self.end(wire, Ending::Reset, None, None, false),
            }
        }
        if holds && wanted {
            self.timers.set(self.now + lost, Due::Lost(id, epoch));
        } else if holds {
            self.lose_all(id);
        }
        if wanted {
            let whole = first.saturating_mul(1 << tries.min(16)).min(most) * 1000;
            let wait = self.jitter(whole);
            self.timers.set(self.now + wait, Due::Connect(id, epoch));
        }
        if untold {
            self.relist(id);
        }
        self.events.push(Event::Linked(MachineId(id.0), false));
        self.forget_gone(id);
    }

    /// Drops the connection to a host. What the kernel has not taken of it by now is never sent.
    pub(crate) fn cut(&mut self, id: HostId) {
        let Some(written) = self.hosts.get(&id).map(|h| h.written) else { return };
        self.outputs.push(Output::CloseHost(id));
        self.host_closed(self.now, id, written);
    }

    /// A host that is gone and has no connection holds nothing any more. Its number is kept for its return, for as many
    /// hosts as there may be; beyond that the one that is gone for longest is forgotten.
    fn forget_gone(&mut self, id: HostId) {
        let over = |h: &Host| h.listed == HostState::Gone && h.link == Link::Down;
        if self.hosts.get(&id).is_some_and(over) {
            self.lose_all(id);
            if let Some(host) = self.hosts.remove(&id) {
                self.by_name.remove(&host.name);
                self.gone.insert(host.name, (id, host.epoch, self.now));
                if self.gone.len() > self.config.hosts.max_hosts
                    && let Some(oldest) =
                        self.gone.iter().min_by_key(|(_, g)| g.2).map(|(name, _)| name.clone())
                {
                    self.gone.remove(&oldest);
                }
            }
        }
    }

    pub(crate) fn lost_due(&mut self, id: HostId, epoch: u64) {
        // A connection made since has its own say on what the host still holds.
        let back = |h: &Host| matches!(h.link, Link::Naming | Link::Up);
        if self.hosts.get(&id).is_some_and(|h| epoch >= h.greeted && epoch > h.born && !back(h)) {
            self.lose_all(id);
        }
    }

    fn lose_all(&mut self, id: HostId) {
        let held = self.hosts.get(&id).map(|h| h.attempts.iter().copied().collect::<Vec<_>>());
        for wire in held.unwrap_or_default() {
            self.end(wire, Ending::Reset, None, None, false);
        }
    }

    /// Bytes from a host; returns how many were used. The rest is to be given again, with more.
    pub fn host_bytes(&mut self, now: u64, id: HostId, unread: &[u8]) -> usize {
        self.now = self.now.max(now);
        let mut used = 0;
        loop {
            if self.hosts.get(&id).is_none_or(|h| h.link == Link::Down) {
                return unread.len();
            }
            match frame::decode(&unread[used..]) {
                Ok((frame, n)) => {
                    used += n;
                    let Some(frame) = frame else { return used };
                    if let Err(why) = self.host_frame(id, frame) {
                        self.drop_host(id, &why);
                        return unread.len();
                    }
                }
                Err(e) => {
                    self.drop_host(id, &e.to_string());
                    return unread.len();
                }
            }
        }
    }

    fn drop_host(&mut self, id: HostId, why: &str) {
        let Some(host) = self.hosts.get(&id) else { return };
        tracing::warn!(host = %host.name, why, "breaks the protocol; connection dropped");
        self.send(id, &Frame::Bye(why.to_owned()), false);
        self.cut(id);
    }

    fn host_frame(&mut self, id: HostId, frame: Frame) -> Result<(), String> {
        let now = self.now;
        let Some(host) = self.hosts.get_mut(&id) else { return Ok(()) };
        host.heard = now;
        let link = host.link;
        match frame {
            Frame::Hello { major, name, started_ms, .. } if link == Link::Greeting => {
                if major != frame::MAJOR {
                    return Err(format!("speaks version {major}, not {}", frame::MAJOR));
                }
                if *name != *host.name {
                    return Err(format!("calls itself `{name}`"));
                }
                if host.told_start != Some(started_ms) {
                    // A new process: what the old one said of itself is over.
                    (host.told_start, host.drains) = (Some(started_ms), false);
                }
                (host.link, host.greeted) = (Link::Naming, host.epoch);
                let seated = |w: &u64| self.attempts.get(w).is_some_and(|a| a.stage == Stage::Seated);
                host.unnamed = host.attempts.iter().copied().filter(seated).collect();
                let (epoch, every) = (host.epoch, self.config.hosts.ping_every_ms * 1000);
                self.timers.set(now + every, Due::Ping(id, epoch));
                Ok(())
            }
            Frame::Held(offer, runs) if link == Link::Naming => {
                self.held(id, offer, runs);
                Ok(())
            }
            // Since 1.1: what has ended while there was no connection is no loss, and its end is known.
            Frame::Ended(..) if link == Link::Naming => {
                self.news(id, frame);
                Ok(())
            }
            Frame::HeldEnd if link == Link::Naming => {
                (host.link, host.tries) = (Link::Up, 0);
                tracing::info!(host = %host.name, "connected");
                let missing: Vec<u64> = host.unnamed.iter().copied().collect();
                for wire in missing {
                    self.end(wire, Ending::Reset, None, None, true);
                }
                self.relist(id);
                self.events.push(Event::Linked(MachineId(id.0), true));
                Ok(())
            }
            Frame::Drain if matches!(link, Link::Naming | Link::Up) => {
                host.drains = true;
                if link == Link::Up {
                    self.relist(id);
                }
                Ok(())
            }
            Frame::Ping(nonce) => {
                self.send(id, &Frame::Pong(nonce), false);
                Ok(())
            }
            Frame::Pong(_) => Ok(()),
            Frame::Bye(why) => Err(format!("said goodbye: {why}")),
            frame if link == Link::Up => {
                self.news(id, frame);
                Ok(())
            }
            _ => Err("a frame out of turn".to_owned()),
        }
    }

    /// What a greeted host says of attempts. Numbers that are not, or no longer, known are survived.
    fn news(&mut self, id: HostId, frame: Frame) {
        let at_this_host =
            |engine: &Self, wire: &u64| engine.attempts.get(wire).is_some_and(|a| a.host == id);
        match frame {
            Frame::Accepted(wire, took) if at_this_host(self, &wire) => self.accepted(wire, took),
            // Its time was over, or the connection had broken in between: it was called off then; again does no harm.
            Frame::Accepted(wire, _) => {
                self.send(id, &Frame::Stop(wire), false);
            }
            Frame::Started(wire, took) if at_this_host(self, &wire) => self.started(wire, took),
            Frame::Refused(wire, reason, load) if at_this_host(self, &wire) => {
                self.end(wire, Ending::Refused, Some(reason), load, true);
            }
            Frame::Ended(wire, reason, ran, load) if at_this_host(self, &wire) => {
                let seated = self.attempts.get(&wire).is_some_and(|a| a.stage == Stage::Seated);
                let ending = match reason {
                    Reason::Done => Ending::Done,
                    Reason::Error => Ending::Error,
                    Reason::Stopped => Ending::Cancelled,
                    // Handed back before it ran and before it was placed.
                    _ if !ran && !seated => Ending::Refused,
                    _ => Ending::Reset,
                };
                self.end(wire, ending, Some(reason), load, reason != Reason::Error);
            }
            Frame::Refused(wire, ..) => self.settle(wire),
            Frame::Ended(wire, reason, ..) if reason != Reason::Error => self.settle(wire),
            Frame::Note(wire, kind, x) if at_this_host(self, &wire) => {
                let note = match kind {
                    NoteKind::Cores => Note::CoresUsed(x),
                    NoteKind::Memory => Note::MemoryUsed(x),
                    NoteKind::Served => Note::Served(x),
                    NoteKind::HostMemory => Note::MachineMemory(x),
                };
                if let Some(attempt) = self.attempts.get(&wire) {
                    self.events.push(Event::Noted(attempt.id, note));
                }
            }
            Frame::Report(nonce, load) => self.probed(nonce, load),
            _ => {}
        }
    }

    fn accepted(&mut self, wire: u64, took_ms: u32) {
        let accepts = self.placed_when_accepted();
        let Some(attempt) = self.attempts.get_mut(&wire) else { return };
        if attempt.called_off || attempt.stage != Stage::Out {
            return;
        }
        attempt.stage = Stage::Accepted;
        if accepts {
            self.seat(wire, took_ms);
        }
    }

    fn started(&mut self, wire: u64, took_ms: u32) {
        let Some(attempt) = self.attempts.get_mut(&wire) else { return };
        if attempt.called_off || attempt.stage == Stage::Out || std::mem::replace(&mut attempt.runs, true) {
            return;
        }
        if attempt.stage != Stage::Seated {
            self.seat(wire, took_ms);
        }
        let Some(attempt) = self.attempts.get(&wire).filter(|a| a.stage == Stage::Seated) else { return };
        let (id, key, request) = (attempt.id, attempt.key.clone(), attempt.request.clone());
        let host = self.host_name(attempt.host);
        if self.placed_when_accepted() {
            self.events.push(Event::Noted(id, Note::Started));
        }
        self.tell("started", &key, host, None, request);
    }

    /// The attempt's answer is in: the ask is placed, if its time is not over.
    fn seat(&mut self, wire: u64, took_ms: u32) {
        let Some(attempt) = self.attempts.get_mut(&wire) else { return };
        let task = attempt.id.task;
        let in_time = self.asks.get(&task).is_some_and(|ask| ask.deadline > self.now);
        if !in_time {
            self.call_off(wire);
            return;
        }
        attempt.stage = Stage::Seated;
        let (id, host, key) = (attempt.id, attempt.host, attempt.key.clone());
        let (request, number, sent) = (attempt.request.clone(), attempt.id.number, attempt.sent);
        // A caller that stood still can't tell when the answer came; what the host measured stands for it.
        let elapsed = self.stalled.then(|| (self.now - sent).min(u64::from(took_ms) * 1000));
        self.events.push(Event::Seated(id, elapsed));
        self.actors.insert(key.clone(), Actor::Placed(wire));
        let name = self.host_name(host);
        let address = self.hosts.get(&host).map(|h| h.address.to_string()).unwrap_or_default();
        let (service, actor) = key.clone();
        self.tell("placed", &key, name.clone(), None, request.clone());
        self.answer(task, Answer::Placed { request, service, actor, host: name, address, attempt: number });
    }

    pub(crate) fn host_name(&self, id: HostId) -> Arc<str> {
        self.hosts.get(&id).map(|h| h.name.clone()).unwrap_or_default()
    }

    /// A task that a host holds of this placer, told after a new connection.
    fn held(&mut self, id: HostId, offer: Offer, runs: bool) {
        let wire = offer.attempt;
        if let Some(attempt) = self.attempts.get(&wire) {
            if attempt.stage != Stage::Seated || attempt.host != id {
                return;
            }
            let (stop, was) = (attempt.stop.is_some(), attempt.runs);
            if let Some(host) = self.hosts.get_mut(&id) {
                host.unnamed.remove(&wire);
            }
            if runs && !was {
                self.started(wire, 0);
            }
            if stop {
                self.send(id, &Frame::Stop(wire), false);
            }
            return;
        }
        let key = (Arc::<str>::from(offer.service.as_str()), Arc::<str>::from(offer.actor.as_str()));
        let Some(class) = self.config.class.iter().position(|c| c.name == offer.class) else {
            tracing::warn!(host = %self.host_name(id), class = offer.class, "holds a task of no known class");
            return;
        };
        // An attempt of this life that ended or was told as lost, or another copy: it is not wanted. It runs until the
        // host has stopped it, and counts as long.
        let own = wire & !((1 << 40) - 1) == self.mark;
        let unwanted = own || matches!(self.actors.get(&key), Some(Actor::Placed(_)));
        self.next_task += 1;
        let task = Task {
            id: TaskId(self.next_task),
            service: maplethread::ServiceId(hash(&offer.service)),
            class,
            asks: Room::new(offer.asks.cores, offer.asks.memory),
            life: (offer.life_ms > 0).then_some(offer.life_ms * 1000),
            give_up_at: self.now,
            again: false,
        };
        self.notes.add(|| Kept::Service(task.service, key.0.clone()));
        let request: Arc<str> = offer.request.as_str().into();
        let attempt = Attempt {
            id: AttemptId { task: task.id, number: 0 },
            host: id,
            key: key.clone(),
            request: request.clone(),
            class,
            sent: self.now,
            until: self.now,
            frame_end: 0,
            stage: Stage::Seated,
            runs,
            called_off: false,
            stop: unwanted.then_some("unwanted"),
            unwanted,
        };
        self.attempts.insert(wire, attempt);
        if let Some(host) = self.hosts.get_mut(&id) {
            host.attempts.insert(wire);
        }
        self.events.push(Event::Running(task, MachineId(id.0)));
        if unwanted {
            self.send(id, &Frame::Stop(wire), false);
            return;
        }
        self.counters.adopted += 1;
        let before = self.actors.insert(key.clone(), Actor::Placed(wire));
        let name = self.host_name(id);
        self.tell("adopted", &key, name.clone(), None, request);
        // Somebody asks for it just now: here it is.
        if let Some(Actor::Asking(asked)) = before {
            let address = self.hosts.get(&id).map(|h| h.address.to_string()).unwrap_or_default();
            let request = self.asks.get(&asked).map(|a| a.request.clone()).unwrap_or_default();
            let (service, actor) = key;
            self.events.push(Event::HungUp(asked));
            self.answer(asked, Answer::Placed { request, service, actor, host: name, address, attempt: 0 });
        }
    }
}

/// What stands on the wire for a class's effect.
pub(crate) fn copies(effect: maplethread::Effect, key: u64) -> Copies {
    match effect {
        maplethread::Effect::Safe => Copies::Safe,
        maplethread::Effect::Keyed { .. } => Copies::Keyed(key),
        maplethread::Effect::Unsafe => Copies::Unsafe,
    }
}
