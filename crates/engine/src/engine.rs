//! The engine's state, its turns, and the actions of whatever decides.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use maplethread::{
    Action, AttemptId, End, Ending, Event, MachineId, Micros, Room, Settings, Task, TaskId, Why,
};
use maplethread_config::{Effect, PlacedWhen, PlacerConfig};
use maplethread_wire::frame::{self, Copies, Frame, Load, Offer, Reason};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use serde::Serialize;

use crate::answers::{Answer, Answers};
use crate::clients::Client;
use crate::hosts::{Host, Link};
use crate::life::{LifeEvent, Ring};
use crate::names::{Numbers, hash};
use crate::timers::Timers;
use crate::{ClientId, Decide, HostId};

/// Service and actor.
pub(crate) type ActorKey = (Arc<str>, Arc<str>);

/// What the engine is told of its own start.
#[derive(Clone, Copy, Debug)]
pub struct Boot {
    /// When the process started, Unix time in ms; tells lives of one placer apart.
    pub started_ms: u64,
    /// Seed of the engine's random numbers, which only spread retries to connect.
    pub seed: u64,
}

/// What the engine wants done by its caller, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Bytes for a client.
    ToClient(ClientId, Vec<u8>),
    /// Close a client's connection once what it was sent is written.
    CloseClient(ClientId),
    /// Bytes for a host.
    ToHost(HostId, Vec<u8>),
    /// Connect to a host.
    Connect(HostId, SocketAddr),
    /// Drop the connection to a host.
    CloseHost(HostId),
}

/// What an engine has done since its start, and how full it is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Asks taken.
    pub asks: u64,
    /// Answered `placed`.
    pub placed: u64,
    /// Answered `refused`.
    pub refused: u64,
    /// Answered `failed`.
    pub failed: u64,
    /// Asks whose client hung up.
    pub hung_up: u64,
    /// Asks turned away for a limit.
    pub turned_away: u64,
    /// Offers sent.
    pub offers: u64,
    /// Asks whose first offer had to wait for a host to be allowed.
    pub held: u64,
    /// Attempts called off.
    pub called_off: u64,
    /// Answers too late to be given.
    pub too_late: u64,
    /// Actors found at hosts that an earlier life had placed.
    pub adopted: u64,
}

/// When something of the protocols falls due.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Due {
    /// The decider asked to be woken.
    Wake(u64),
    /// An attempt's time is over.
    Attempt(u64),
    /// Connect to a host again.
    Connect(HostId, u64),
    /// A connection must be greeted by now.
    Greet(HostId, u64),
    /// Ping a host, and see whether it is silent.
    Ping(HostId, u64),
    /// Tasks of a host without connection are lost.
    Lost(HostId, u64),
    /// A probe's time is over.
    Probe(u32),
    /// Look after a client's connection.
    Client(ClientId),
    /// An actor counts as settled.
    Settled,
    /// Followers hear that the connection lives.
    Beat,
}

/// An ask without an answer.
pub(crate) struct Ask {
    pub task: Task,
    pub asked: Micros,
    /// It was taken in since the last turn.
    pub fresh: bool,
    pub key: ActorKey,
    pub request: Arc<str>,
    pub idempotency: Option<Arc<str>>,
    pub waiters: Vec<(ClientId, u64)>,
    pub copies: Copies,
    pub out: Option<u64>,
    pub attempts: u32,
    pub reason: Option<Reason>,
    pub may_run: Option<Arc<str>>,
    pub span: tracing::Span,
}

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Offered.
    Out,
    /// Accepted, where that does not place it yet.
    Accepted,
    /// Placed.
    Seated,
}

/// An attempt without an outcome.
pub(crate) struct Attempt {
    pub id: AttemptId,
    pub host: HostId,
    pub key: ActorKey,
    pub request: Arc<str>,
    pub class: usize,
    pub sent: Micros,
    pub until: Micros,
    /// Where its frame ends in the bytes queued on the host's connection.
    pub frame_end: u64,
    pub stage: Stage,
    pub runs: bool,
    pub called_off: bool,
    /// It is to stop, because a client or the decider said so.
    pub stop: Option<&'static str>,
}

/// Where an actor stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Actor {
    Asking(TaskId),
    Placed(u64),
}

/// The engine. `D` decides.
pub struct Engine<D> {
    pub(crate) config: PlacerConfig,
    pub(crate) settings: Settings,
    decider: D,
    rng: Pcg64Mcg,
    pub(crate) started_ms: u64,
    /// The upper bits of all attempts of this life.
    pub(crate) mark: u64,
    next_attempt: u64,
    pub(crate) next_task: u64,
    pub(crate) now: Micros,
    pub(crate) turns: u64,
    /// Requests taken in this turn.
    pub(crate) taken: usize,
    /// This turn follows a time in which the caller stood still.
    pub(crate) stalled: bool,
    pub(crate) events: Vec<Event>,
    pub(crate) outputs: Vec<Output>,
    pub(crate) timers: Timers<Due>,
    pub(crate) hosts: BTreeMap<HostId, Host>,
    pub(crate) by_name: BTreeMap<Arc<str>, HostId>,
    pub(crate) cells: Numbers,
    pub(crate) next_host: u32,
    pub(crate) listed: bool,
    pub(crate) clients: HashMap<ClientId, Client>,
    pub(crate) followers: BTreeSet<ClientId>,
    pub(crate) asks: HashMap<TaskId, Ask>,
    pub(crate) by_request: HashMap<Arc<str>, TaskId>,
    pub(crate) actors: BTreeMap<ActorKey, Actor>,
    pub(crate) attempts: HashMap<u64, Attempt>,
    /// Actors of which an attempt may still come to run, until when that is waited for, and the attempt.
    pub(crate) unsettled: BTreeMap<ActorKey, (Micros, u64)>,
    pub(crate) late: HashMap<u64, ActorKey>,
    probes: BTreeMap<u32, HostId>,
    next_probe: u32,
    pub(crate) answers: Answers,
    pub(crate) ring: Ring,
    pub(crate) counters: Counters,
    pub(crate) stopping: bool,
    /// When the asks were read whose first offer this turn gave.
    decided: Vec<Micros>,
    pub(crate) fresh: Vec<TaskId>,
    pub(crate) gauges: serde_json::Value,
}

/// Rounds of decisions in one turn: an offer that can't be sent is decided on anew at once, so often.
const ROUNDS: usize = 8;

impl<D: Decide> Engine<D> {
    /// An engine that knows no hosts yet.
    pub fn new(config: PlacerConfig, decider: D, boot: Boot, now: Micros) -> Engine<D> {
        let mark = hash(&format!("{}/{}", config.placer.name, boot.started_ms)) & !((1 << 40) - 1);
        let api = &config.api;
        Engine {
            settings: config.settings(),
            decider,
            rng: Pcg64Mcg::seed_from_u64(boot.seed),
            started_ms: boot.started_ms,
            mark,
            next_attempt: 0,
            next_task: 0,
            now,
            turns: 0,
            taken: 0,
            stalled: false,
            events: Vec::new(),
            outputs: Vec::new(),
            timers: Timers::default(),
            hosts: BTreeMap::new(),
            by_name: BTreeMap::new(),
            cells: Numbers::default(),
            next_host: 0,
            listed: false,
            clients: HashMap::new(),
            followers: BTreeSet::new(),
            asks: HashMap::new(),
            by_request: HashMap::new(),
            actors: BTreeMap::new(),
            attempts: HashMap::new(),
            unsettled: BTreeMap::new(),
            late: HashMap::new(),
            probes: BTreeMap::new(),
            next_probe: 0,
            answers: Answers::new(api.answers_kept, api.answers_kept_ms * 1000),
            ring: Ring::new(api.events_kept),
            counters: Counters::default(),
            stopping: false,
            decided: Vec::new(),
            fresh: Vec::new(),
            gauges: serde_json::Value::Null,
            config,
        }
    }

    /// What was done so far.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Asks without an answer.
    pub fn open_asks(&self) -> usize {
        self.asks.len()
    }

    /// Whether clients can be served: the inventory is read, and each host in it answered or failed to once.
    pub fn ready(&self) -> bool {
        self.listed && self.hosts.values().all(|h| h.tried || !h.wanted())
    }

    /// Takes no asks from now on; those in hand are still answered.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// When [`Engine::turn`] is to be called at the latest.
    pub fn next_timeout(&self) -> Option<Micros> {
        if self.events.is_empty() { self.timers.next() } else { Some(self.now) }
    }

    /// What is to be done since the last call.
    pub fn outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// When the asks were read whose first offers were given since the last call, in the turn that took them in.
    pub fn decided(&mut self) -> Vec<Micros> {
        std::mem::take(&mut self.decided)
    }

    /// What the caller has measured, to be shown with the status.
    pub fn set_gauges(&mut self, gauges: serde_json::Value) {
        self.gauges = gauges;
    }

    /// Decides on all that was taken in, and carries the decisions out. `stalled` tells that the caller stood
    /// still before this turn, so that silence is its own and not the hosts'.
    pub fn turn(&mut self, now: Micros, stalled: bool) {
        (self.now, self.stalled) = (self.now.max(now), stalled);
        self.turns += 1;
        self.taken = 0;
        while let Some(due) = self.timers.due(self.now) {
            self.fall_due(due);
        }
        let mut actions = Vec::new();
        for _ in 0..ROUNDS {
            if self.events.is_empty() {
                break;
            }
            let events = std::mem::take(&mut self.events);
            self.decider.turn(self.now, &events, &mut actions);
            for action in actions.drain(..) {
                self.act(action);
            }
        }
        for task in std::mem::take(&mut self.fresh) {
            if let Some(ask) = self.asks.get_mut(&task) {
                ask.fresh = false;
            }
        }
        self.answers.expire(self.now);
        self.pump();
    }

    fn fall_due(&mut self, due: Due) {
        match due {
            Due::Wake(label) => self.events.push(Event::Woken(label)),
            Due::Attempt(wire) => self.attempt_due(wire),
            Due::Connect(host, epoch) => self.connect_due(host, epoch),
            Due::Greet(host, epoch) => self.greet_due(host, epoch),
            Due::Ping(host, epoch) => self.ping_due(host, epoch),
            Due::Lost(host, epoch) => self.lost_due(host, epoch),
            Due::Probe(nonce) => {
                if let Some(host) = self.probes.remove(&nonce) {
                    let machine = MachineId(host.0);
                    self.events.push(Event::Probed { machine, ok: false, load: None });
                }
            }
            Due::Client(client) => self.client_due(client),
            Due::Settled => {
                let now = self.now;
                self.unsettled.retain(|_, (until, _)| *until > now);
                let unsettled = &self.unsettled;
                self.late.retain(|wire, key| unsettled.get(key).is_some_and(|(_, w)| w == wire));
            }
            Due::Beat => self.beat(),
        }
    }

    /// Draws a span between half of `whole` and the whole.
    pub(crate) fn jitter(&mut self, whole: Micros) -> Micros {
        let half = whole / 2;
        half + self.rng.next_u64() % (whole - half).max(1)
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Offer(task, machine, wait) => self.offer(task, HostId(machine.0), wait),
            Action::Cancel(id) => {
                let out = self.asks.get(&id.task).and_then(|a| a.out);
                if let Some(wire) = out.filter(|w| self.attempts.get(w).is_some_and(|a| a.id == id)) {
                    self.call_off(wire);
                }
            }
            Action::Refuse(task, come_back) => {
                let Some(ask) = self.asks.get(&task) else { return };
                let reason = ask.reason.map_or("no_host", Reason::name);
                let come_back_ms = come_back.unwrap_or(0) / 1000;
                let (request, attempts) = (ask.request.clone(), ask.attempts);
                self.answer(task, Answer::Refused { request, reason, come_back_ms, attempts });
            }
            Action::Fail(task) => {
                let Some(ask) = self.asks.get(&task) else { return };
                let host = ask.out.and_then(|w| self.attempts.get(&w)).map(|a| a.host);
                let host = host.and_then(|h| self.hosts.get(&h)).map(|h| h.name.clone());
                let unknown = match host.as_ref().or(ask.may_run.as_ref()) {
                    Some(host) => format!("whether it runs on {host}"),
                    None => "whether it runs".to_owned(),
                };
                let (request, attempts) = (ask.request.clone(), ask.attempts);
                self.answer(task, Answer::Failed { request, unknown, attempts });
            }
            Action::Move(task) => {
                let wire = self.attempts.iter().find(|(_, a)| a.id.task == task && a.stage == Stage::Seated);
                if let Some(wire) = wire.map(|(&wire, _)| wire) {
                    self.stop_attempt(wire, "moved");
                }
            }
            Action::Wake(after, label) => self.timers.set(self.now + after, Due::Wake(label)),
            Action::Probe(machine) => {
                let host = HostId(machine.0);
                self.next_probe = self.next_probe.wrapping_add(1);
                let nonce = self.next_probe;
                if self.send(host, &Frame::Probe(nonce), true).is_some() {
                    self.probes.insert(nonce, host);
                    let wait = self.config.hosts.connect_within_ms * 1000;
                    self.timers.set(self.now + wait, Due::Probe(nonce));
                } else {
                    self.events.push(Event::Probed { machine, ok: false, load: None });
                }
            }
            Action::Log(line) => tracing::info!(target: "maplethread::decisions", "{line}"),
            // The list comes unasked, one connection a host is kept, and placers do not talk.
            Action::Listen(_) | Action::Lookup | Action::CloseIdle(_) | Action::Tell { .. } => {}
        }
    }

    pub(crate) fn probed(&mut self, nonce: u32, load: Load) {
        if let Some(host) = self.probes.remove(&nonce) {
            let load = Some(Room::new(load.cores, load.memory));
            self.events.push(Event::Probed { machine: MachineId(host.0), ok: true, load });
        }
    }

    /// Queues a frame for a host; where it ends in the bytes of this connection. Without a connection, or where
    /// too much waits to be written, it is not sent. What must not be lost may take twice the room; beyond it
    /// the connection is dropped, which ends what hangs on it by the rules.
    pub(crate) fn send(&mut self, id: HostId, frame: &Frame, may_fail: bool) -> Option<u64> {
        let host = self.hosts.get_mut(&id)?;
        if host.link == Link::Down || (may_fail && host.link != Link::Up) {
            return None;
        }
        let waiting = host.queued - host.written;
        let most = self.config.hosts.max_unwritten_bytes as u64;
        if waiting > if may_fail { most } else { 2 * most } {
            if !may_fail {
                tracing::warn!(host = %host.name, "too much waits to be written; connection dropped");
                self.cut(id);
            }
            return None;
        }
        let mut bytes = Vec::with_capacity(160);
        frame::encode(frame, &mut bytes);
        host.queued += bytes.len() as u64;
        let end = host.queued;
        self.outputs.push(Output::ToHost(id, bytes));
        Some(end)
    }

    fn offer(&mut self, task: TaskId, host: HostId, wait: Micros) {
        let Some(ask) = self.asks.get_mut(&task) else {
            tracing::warn!(task = task.0, "an offer for a task that is not asked for");
            return;
        };
        let id = AttemptId { task, number: ask.attempts };
        ask.attempts += 1;
        let wire = self.mark | (self.next_attempt & ((1 << 40) - 1));
        self.next_attempt += 1;
        let class = &self.config.class[ask.task.class];
        let offer = Offer {
            attempt: wire,
            number: id.number,
            service: ask.key.0.to_string(),
            actor: ask.key.1.to_string(),
            class: class.name.clone(),
            request: ask.request.to_string(),
            asks: Load { cores: ask.task.asks.cores, memory: ask.task.asks.memory },
            priority: class.priority,
            copies: ask.copies,
            life_ms: ask.task.life.unwrap_or(0) / 1000,
            wait_ms: (wait / 1000).min(u64::from(u32::MAX)) as u32,
        };
        let (key, request, class, span) =
            (ask.key.clone(), ask.request.clone(), ask.task.class, ask.span.clone());
        let name = self.hosts.get(&host).map(|h| h.name.clone()).unwrap_or_default();
        let Some(frame_end) = self.send(host, &Frame::Offer(offer), true) else {
            span.in_scope(|| tracing::debug!(host = %name, attempt = id.number, "no connection"));
            let end = End { ending: Ending::Unreachable, why: None, closed: false, load: None };
            self.events.push(Event::Ended(id, end));
            return;
        };
        span.in_scope(|| {
            tracing::debug!(host = %name, attempt = id.number, wait_ms = wait / 1000, "offered");
        });
        self.counters.offers += 1;
        let (sent, until) = (self.now, self.now + wait);
        let (stage, runs, called_off, stop) = (Stage::Out, false, false, None);
        let attempt =
            Attempt { id, host, key, request, class, sent, until, frame_end, stage, runs, called_off, stop };
        self.attempts.insert(wire, attempt);
        if let Some(ask) = self.asks.get_mut(&task) {
            ask.out = Some(wire);
            if id.number == 0 {
                // What is held for want of a host is waited for, not decided on slowly.
                if ask.fresh {
                    self.decided.push(ask.asked);
                } else {
                    self.counters.held += 1;
                }
            }
        }
        if let Some(host) = self.hosts.get_mut(&host) {
            host.attempts.insert(wire);
        }
        self.timers.set(until, Due::Attempt(wire));
    }

    fn attempt_due(&mut self, wire: u64) {
        let Some(attempt) = self.attempts.get(&wire) else { return };
        if attempt.stage == Stage::Seated || attempt.until > self.now {
            return;
        }
        if !attempt.called_off {
            let host = attempt.host;
            self.send(host, &Frame::Cancel(wire), false);
        }
        self.end(wire, Ending::TimedOut, None, None, false);
    }

    /// Nobody waits for this attempt any more.
    pub(crate) fn call_off(&mut self, wire: u64) {
        let Some(attempt) = self.attempts.get_mut(&wire) else { return };
        if std::mem::replace(&mut attempt.called_off, true) {
            return;
        }
        self.counters.called_off += 1;
        let (host, key, class) = (attempt.host, attempt.key.clone(), attempt.class);
        self.unsettle(class, key, wire);
        self.send(host, &Frame::Cancel(wire), false);
    }

    /// An attempt of an actor that must not run twice may still come to run.
    fn unsettle(&mut self, class: usize, key: ActorKey, wire: u64) {
        if self.config.class[class].effect != Effect::Safe {
            let until = self.now + self.config.api.settle_ms * 1000;
            self.timers.set(until, Due::Settled);
            self.unsettled.insert(key.clone(), (until, wire));
            self.late.insert(wire, key);
        }
    }

    /// It is now known that this attempt does not run.
    pub(crate) fn settle(&mut self, wire: u64) {
        if let Some(key) = self.late.remove(&wire)
            && self.unsettled.get(&key).is_some_and(|(_, w)| *w == wire)
        {
            self.unsettled.remove(&key);
        }
    }

    /// Tells a host to stop a placed task; if it has no connection, once it has.
    pub(crate) fn stop_attempt(&mut self, wire: u64, why: &'static str) {
        let Some(attempt) = self.attempts.get_mut(&wire) else { return };
        attempt.stop = Some(why);
        let host = attempt.host;
        self.send(host, &Frame::Stop(wire), false);
    }

    /// An attempt has its outcome. `known_dead` tells that it surely does not run (any more).
    pub(crate) fn end(
        &mut self,
        wire: u64,
        ending: Ending,
        why: Option<Why>,
        load: Option<Load>,
        known_dead: bool,
    ) {
        let Some(attempt) = self.attempts.remove(&wire) else { return };
        let host_name = match self.hosts.get_mut(&attempt.host) {
            Some(host) => {
                host.attempts.remove(&wire);
                host.unnamed.remove(&wire);
                host.name.clone()
            }
            None => Arc::from(""),
        };
        let seated = attempt.stage == Stage::Seated;
        let never_ran = matches!(ending, Ending::Refused | Ending::Unreachable);
        if known_dead || never_ran {
            self.settle(wire);
        } else if !seated {
            self.unsettle(attempt.class, attempt.key.clone(), wire);
        }
        let mut closed = seated;
        match self.asks.get_mut(&attempt.id.task) {
            Some(ask) => {
                ask.out = ask.out.filter(|&w| w != wire);
                if !never_ran {
                    ask.may_run.get_or_insert_with(|| host_name.clone());
                }
                ask.span.in_scope(|| {
                    tracing::debug!(host = %host_name, attempt = attempt.id.number, ?ending, ?why, "ended");
                });
            }
            None => closed = true,
        }
        if seated {
            if self.actors.get(&attempt.key) == Some(&Actor::Placed(wire)) {
                self.actors.remove(&attempt.key);
            }
            let (event, reason) = match (ending, why) {
                (Ending::Done, _) => ("ended", None),
                (Ending::Cancelled, _) => (attempt.stop.unwrap_or("stopped"), None),
                (Ending::Error, _) => ("ended", Some("error")),
                (_, Some(Why::Evicted)) => ("evicted", Some("memory")),
                (_, Some(Why::PushedOut)) => ("evicted", Some("pushed_out")),
                (_, Some(Why::SentAway)) => ("evicted", Some("sent_away")),
                _ => ("lost", None),
            };
            self.tell(event, &attempt.key, host_name, reason, attempt.request.clone());
        }
        let load = load.map(|l| Room::new(l.cores, l.memory));
        self.events.push(Event::Ended(attempt.id, End { ending, why, closed, load }));
    }

    pub(crate) fn tell(
        &mut self,
        event: &'static str,
        key: &ActorKey,
        host: Arc<str>,
        reason: Option<&'static str>,
        request: Arc<str>,
    ) {
        let (service, actor) = key.clone();
        let at_ms = self.now / 1000;
        tracing::debug!(request = %request, service = %service, actor = %actor, host = %host, reason, event);
        self.ring.push(LifeEvent { seq: 0, at_ms, event, service, actor, host, reason, request });
    }

    /// Whether a placing is done once a host has accepted.
    pub(crate) fn placed_when_accepted(&self) -> bool {
        self.config.placing.placed_when == PlacedWhen::Accepted
    }
}
