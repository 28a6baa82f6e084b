//! The engine's state, its turns, and the actions of whatever decides.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use maplethread::{
    Action, AttemptId, BlockReason, Event, MachineId, Micros, Resources, Settings, Task, TaskId,
};
use maplethread_config::{AcceptancePoint, PlacerConfig};
use maplethread_liveness::Liveness;
use maplethread_wire::frame::{self, DuplicatePolicy, Frame, ResourceAmounts};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use serde::Serialize;

use crate::Timers;
use crate::answers::{AnswerCache, FinalAnswer};
use crate::audit_log::{AuditEntry, AuditLog};
use crate::batch;
use crate::clients::ClientConnection;
use crate::hosts::{ConnectionState, Host};
use crate::ids::{IdTable, stable_hash};
use crate::lifecycle::{LifecycleEvent, RecentEvents};
use crate::sessions::heartbeats;
use crate::turn_latency::TurnLatency;
use crate::warm_up_offers::WarmUpOffers;
use crate::{ClientId, Decide, HostId};

/// Service and actor.
pub(crate) type ActorKey = (Arc<str>, Arc<str>);

/// What the engine is told of its own start.
#[derive(Clone, Copy, Debug)]
pub struct StartInfo {
    /// When the process started, Unix time in ms; tells lives of one placer apart.
    pub started_ms: u64,
    /// Seed of the engine's random numbers, which only spread retries to connect and heartbeats.
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
    /// A client asks for the view of the fleet, or with a number for what is new since; to be answered by
    /// [`Engine::tell_fleet`], with the number of the request on its connection.
    FetchMembership(ClientId, u64, Option<u64>),
}

/// What an engine has done since its start, and how full it is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Asks taken.
    #[serde(rename = "asks")]
    pub requests: u64,
    /// Answered `placed`.
    pub placed: u64,
    /// Answered `refused`.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Answered `failed`.
    pub failed: u64,
    /// Asks whose client hung up.
    #[serde(rename = "hung_up")]
    pub disconnected: u64,
    /// Asks turned away for a limit.
    #[serde(rename = "turned_away")]
    pub unavailable: u64,
    /// Offers sent.
    pub offers: u64,
    /// Heartbeats sent to hosts.
    pub heartbeats: u64,
    /// Asks whose first offer had to wait for a host to be allowed.
    #[serde(rename = "held")]
    pub blocked: u64,
    /// Attempts called off.
    #[serde(rename = "called_off")]
    pub cancelled: u64,
    /// Answers too late to be given.
    #[serde(rename = "too_late")]
    pub past_deadline: u64,
    /// Actors found at hosts that an earlier life had placed.
    pub adopted: u64,
    /// Asks that the decider left open up to their deadline; the engine answered them in its stead.
    #[serde(rename = "overdue")]
    pub deadline_answers: u64,
    /// Asks that were held for want of something, by what; one that was held for two counts for both.
    #[serde(rename = "held_for")]
    pub blocked_by_reason: BTreeMap<&'static str, u64>,
}

/// When something of the protocols falls due.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Timer {
    /// The decider asked to be woken.
    Decider(u64),
    /// An attempt's time is over.
    AttemptTimeout(u64),
    /// Connect to a host again.
    Reconnect(HostId, u64),
    /// A connection must be greeted by now.
    GreetingTimeout(HostId, u64),
    /// Tasks of a host without connection are lost.
    TasksLost(HostId, u64),
    /// A probe's time is over.
    ProbeTimeout(u32),
    /// Look after a client's connection.
    ClientTimeout(ClientId),
    /// An actor counts as settled.
    UnsettledExpiry,
    /// Followers hear that the connection lives.
    FollowerHeartbeat,
}

/// An ask without an answer.
pub(crate) struct PlacementRequest {
    pub task: Task,
    pub received_at: Micros,
    /// When its client gives up. The decider is told an earlier time, by as much as turns may run late.
    pub deadline: Micros,
    /// The decider has not had a whole turn with it.
    pub awaits_first_turn: bool,
    pub key: ActorKey,
    pub request_id: Arc<str>,
    pub idempotency_key: Option<Arc<str>>,
    /// Who waits for the answer: the connection, the request's place on it, and its id.
    pub waiters: Vec<(ClientId, u64, Arc<str>)>,
    pub duplicate_policy: DuplicatePolicy,
    pub in_flight: Option<u64>,
    pub attempts: u32,
    /// How its last attempt ended, if that was not well.
    pub last_failure: Option<&'static str>,
    /// What it is held for just now, and all that it was ever held for.
    pub block_reason: Option<BlockReason>,
    pub past_block_reasons: BTreeSet<BlockReason>,
    pub possibly_started_on: Option<Arc<str>>,
    pub span: tracing::Span,
}

impl PlacementRequest {
    /// Why it is refused: what it is held for, or else how its last attempt ended.
    pub fn rejection_reason(&self) -> &'static str {
        match (self.block_reason, self.last_failure) {
            // A host that has said so knows better which.
            (Some(BlockReason::NoCapacity), Some(reason @ ("cores" | "memory" | "line"))) => reason,
            (Some(lack), _) => block_reason_name(lack),
            (None, _) if self.in_flight.is_some() => "no_answer",
            (None, Some(reason)) => reason,
            (None, None) => "unknown",
        }
    }
}

/// The API's word for what an ask is held for.
pub(crate) fn block_reason_name(lack: BlockReason) -> &'static str {
    match lack {
        BlockReason::NoKindFits => "too_large",
        BlockReason::NoReadyMachine => "no_host",
        BlockReason::NotConnected => "no_connection",
        BlockReason::OutsideDeduplicationScope => "key_group",
        BlockReason::SpreadLimit => "spread",
        BlockReason::WarmUpBudget => "cold",
        BlockReason::NoCapacity => "no_room",
    }
}

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Offered.
    Offered,
    /// Accepted, where that does not place it yet.
    Accepted,
    /// Placed.
    Placed,
}

/// An attempt without an outcome.
pub(crate) struct Attempt {
    pub id: AttemptId,
    pub host: HostId,
    pub key: ActorKey,
    pub request_id: Arc<str>,
    pub class: usize,
    pub sent_at: Micros,
    pub expires_at: Micros,
    /// Where its frame ends in the bytes queued on the host's connection.
    pub frame_end: u64,
    pub stage: Stage,
    pub is_running: bool,
    pub is_cancelled: bool,
    /// It is to stop, because a client or the decider said so.
    pub stop_reason: Option<&'static str>,
    /// Its actor is told as ended or lost, or placed elsewhere: nobody hears of its end.
    pub is_unwanted: bool,
}

/// Where an actor stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ActorState {
    Pending(TaskId),
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
    pub(crate) attempt_id_prefix: u64,
    pub(crate) next_attempt: u64,
    pub(crate) next_task: u64,
    pub(crate) now: Micros,
    pub(crate) turn_count: u64,
    /// Requests taken in this turn.
    pub(crate) requests_this_turn: usize,
    /// This turn follows a time in which the caller stood still.
    pub(crate) is_after_stall: bool,
    /// What is read now may have lain unread since then.
    pub(crate) unread_since: Option<Micros>,
    /// Open asks in the order of their deadlines.
    pub(crate) deadlines: BTreeSet<(Micros, TaskId)>,
    pub(crate) turn_latency: TurnLatency,
    pub(crate) warm_up_offers: WarmUpOffers,
    pub(crate) events: Vec<Event>,
    pub(crate) outputs: Vec<Output>,
    pub(crate) timers: Timers<Timer>,
    pub(crate) hosts: BTreeMap<HostId, Host>,
    /// Their signs of life.
    pub(crate) liveness: Liveness<HostId>,
    pub(crate) hosts_by_name: BTreeMap<Arc<str>, HostId>,
    /// Hosts that are gone: their number, connections so far, and since when. One that comes back is the same host:
    /// what it was sent a moment ago still counts.
    pub(crate) departed_hosts: BTreeMap<Arc<str>, (HostId, u64, Micros)>,
    pub(crate) cell_ids: IdTable,
    pub(crate) next_host: u32,
    pub(crate) has_inventory: bool,
    pub(crate) clients: HashMap<ClientId, ClientConnection>,
    pub(crate) followers: BTreeSet<ClientId>,
    pub(crate) requests: HashMap<TaskId, PlacementRequest>,
    pub(crate) tasks_by_request_id: HashMap<Arc<str>, TaskId>,
    pub(crate) actors: BTreeMap<ActorKey, ActorState>,
    pub(crate) attempts: HashMap<u64, Attempt>,
    /// Actors of which an attempt may still come to run, until when that is waited for, and the attempt.
    pub(crate) unsettled: BTreeMap<ActorKey, (Micros, u64)>,
    pub(crate) unsettled_attempts: HashMap<u64, ActorKey>,
    probes: BTreeMap<u32, HostId>,
    next_probe: u32,
    pub(crate) answer_cache: AnswerCache,
    pub(crate) recent_events: RecentEvents,
    pub(crate) counters: Counters,
    pub(crate) is_stopping: bool,
    /// When the asks were read whose first offer this turn gave.
    pub(crate) decided_arrivals: Vec<Micros>,
    pub(crate) gauges: serde_json::Value,
    pub(crate) audit_log: AuditLog,
}

/// Rounds of decisions in one turn: an offer that can't be sent is decided on anew at once, so often.
const MAX_ROUNDS_PER_TURN: usize = 8;
/// So many tasks are placed in one turn. What more has come waits for the next turn, once the offers of this one are
/// written: an offer that leaves long after it was decided on may meet others in a cold host's window.
const MAX_PLACEMENTS_PER_TURN: usize = 64;
/// An ask that has no answer so long before its deadline gets one from the engine, µs. Deciders that keep rule 1
/// are earlier.
const DEADLINE_ANSWER_MARGIN: Micros = 5_000;

impl<D: Decide> Engine<D> {
    /// An engine that knows no hosts yet.
    pub fn new(config: PlacerConfig, decider: D, boot: StartInfo, now: Micros) -> Engine<D> {
        let attempt_id_prefix =
            stable_hash(&format!("{}/{}", config.identity.name, boot.started_ms))
                & !((1 << 40) - 1);
        let api = &config.api;
        Engine {
            settings: config.policy_settings(),
            decider,
            rng: Pcg64Mcg::seed_from_u64(boot.seed),
            started_ms: boot.started_ms,
            attempt_id_prefix,
            next_attempt: 0,
            next_task: 0,
            now,
            turn_count: 0,
            requests_this_turn: 0,
            is_after_stall: false,
            unread_since: None,
            deadlines: BTreeSet::new(),
            turn_latency: TurnLatency::default(),
            warm_up_offers: WarmUpOffers::new(config.policy_settings().rules.overload_window),
            events: Vec::new(),
            outputs: Vec::new(),
            timers: Timers::default(),
            hosts: BTreeMap::new(),
            liveness: heartbeats::new_liveness(&config.hosts),
            hosts_by_name: BTreeMap::new(),
            departed_hosts: BTreeMap::new(),
            cell_ids: IdTable::default(),
            next_host: 0,
            has_inventory: false,
            clients: HashMap::new(),
            followers: BTreeSet::new(),
            requests: HashMap::new(),
            tasks_by_request_id: HashMap::new(),
            actors: BTreeMap::new(),
            attempts: HashMap::new(),
            unsettled: BTreeMap::new(),
            unsettled_attempts: HashMap::new(),
            probes: BTreeMap::new(),
            next_probe: 0,
            answer_cache: AnswerCache::new(api.max_kept_answers, api.answer_retention_ms * 1000),
            recent_events: RecentEvents::new(api.max_kept_events),
            counters: Counters::default(),
            is_stopping: false,
            decided_arrivals: Vec::new(),
            gauges: serde_json::Value::Null,
            audit_log: AuditLog::default(),
            config,
        }
    }

    /// What was done so far.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Asks without an answer.
    pub fn pending_requests(&self) -> usize {
        self.requests.len()
    }

    /// Whether clients can be served: the inventory is read, and each host in it answered or failed to once.
    pub fn is_ready(&self) -> bool {
        self.has_inventory && self.hosts.values().all(|h| h.was_tried || !h.is_wanted())
    }

    /// Takes no asks from now on; those in hand are still answered.
    pub fn stop_accepting(&mut self) {
        self.is_stopping = true;
    }

    /// When [`Engine::turn`] is to be called at the latest.
    pub fn next_timeout(&self) -> Option<Micros> {
        if !self.events.is_empty() {
            return Some(self.now);
        }
        let last_word = self
            .deadlines
            .first()
            .map(|(deadline, _)| deadline.saturating_sub(DEADLINE_ANSWER_MARGIN));
        let last_word = last_word.filter(|_| self.decider.allows_deadline_answers());
        self.timers
            .next_due_at()
            .into_iter()
            .chain(self.liveness.next_due_at())
            .chain(last_word)
            .min()
    }

    /// What is to be done since the last call.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// When the asks were read whose first offers were given since the last call, in the turn that took them in.
    pub fn take_decided_arrivals(&mut self) -> Vec<Micros> {
        std::mem::take(&mut self.decided_arrivals)
    }

    /// Keeps notes of names and asks from now on, for a recorder; to be taken by [`Engine::notes`] around each turn.
    pub fn enable_audit_log(&mut self) {
        self.audit_log.enable();
    }

    /// Notes since the last call.
    pub fn take_audit_entries(&mut self) -> Vec<AuditEntry> {
        self.audit_log.take()
    }

    /// What the caller has measured, to be shown with the status.
    pub fn set_gauges(&mut self, gauges: serde_json::Value) {
        self.gauges = gauges;
    }

    /// What is read up to the next turn may have lain unread since then: the caller stood still, or was busy. Budgets
    /// of asks count from there, so that no answer comes after a deadline that passed meanwhile.
    pub fn set_unread_since(&mut self, at: Micros) {
        self.unread_since = Some(at);
    }

    /// The caller was busy with the last turn from reading for it until all was written. What comes meanwhile waits as
    /// long, and so do deadlines that fall due.
    pub fn record_round(&mut self, from: Micros, written: Micros) {
        self.turn_latency.record_round(written.saturating_sub(from));
        self.warm_up_offers.mark_written(written);
    }

    /// Decides on all that was taken in, and carries the decisions out. `stalled` tells that the caller stood
    /// still before this turn, so that silence is its own and not the hosts'.
    pub fn turn(&mut self, now: Micros, stalled: bool) {
        (self.now, self.is_after_stall) = (self.now.max(now), stalled);
        self.turn_count += 1;
        self.requests_this_turn = 0;
        self.turn_latency.record_turn(self.now, self.lateness());
        while let Some(due) = self.timers.pop_due(self.now) {
            self.handle_timer(due);
        }
        self.send_due_heartbeats();
        self.decide();
        if self.decider.allows_deadline_answers() {
            self.answer_expiring_requests();
        }
        self.unread_since = None;
        self.answer_cache.expire(self.now);
        self.send_events_to_followers();
    }

    /// How long the earliest thing that waits for this turn has waited for it.
    fn lateness(&self) -> Micros {
        let oldest_ask = self.events.iter().find_map(|event| match event {
            Event::PlacementRequested(task) => {
                self.requests.get(&task.id).map(|ask| ask.received_at)
            }
            _ => None,
        });
        let due = self
            .timers
            .next_due_at()
            .into_iter()
            .chain(oldest_ask)
            .min();
        self.now.saturating_sub(due.unwrap_or(self.now))
    }

    /// Lets the decider take in what has happened, as far as this turn goes, and carries its actions out.
    fn decide(&mut self) {
        let (mut given, mut actions) = (Vec::new(), Vec::new());
        let mut placings_left = MAX_PLACEMENTS_PER_TURN;
        for _ in 0..MAX_ROUNDS_PER_TURN {
            let events = batch::take(&mut self.events, &mut placings_left);
            if events.is_empty() {
                break;
            }
            self.decider.turn(self.now, &events, &mut actions);
            for action in actions.drain(..) {
                self.apply_action(action);
            }
            given.extend(events.iter().filter_map(|event| match event {
                Event::PlacementRequested(task) => Some(task.id),
                _ => None,
            }));
        }
        for task in given {
            if let Some(ask) = self.requests.get_mut(&task) {
                ask.awaits_first_turn = false;
            }
        }
    }

    /// Answers in the decider's stead the asks that it left open and that the next turn may be too late for.
    fn answer_expiring_requests(&mut self) {
        let margin = self.turn_latency.answer_margin();
        let by = self.now + DEADLINE_ANSWER_MARGIN;
        let near = self
            .deadlines
            .iter()
            .take_while(|(deadline, _)| *deadline <= by + margin);
        let due: Vec<TaskId> = near
            .filter(|(deadline, task)| {
                let asked = self
                    .requests
                    .get(task)
                    .map_or(*deadline, |ask| ask.received_at);
                *deadline <= by + self.answer_margin_for(deadline.saturating_sub(asked))
            })
            .map(|&(_, task)| task)
            .collect();
        due.into_iter()
            .for_each(|task| self.send_deadline_answer(task));
    }

    /// So long before its deadline an ask with this budget must be answered, as late as turns run.
    pub(crate) fn answer_margin_for(&self, budget: Micros) -> Micros {
        self.turn_latency.answer_margin().min(budget / 2)
    }

    fn handle_timer(&mut self, due: Timer) {
        match due {
            Timer::Decider(label) => self.events.push(Event::TimerFired { label }),
            Timer::AttemptTimeout(wire) => self.handle_attempt_timeout(wire),
            Timer::Reconnect(host, epoch) => self.connect(host, epoch),
            Timer::GreetingTimeout(host, epoch) => self.handle_greeting_timeout(host, epoch),
            Timer::TasksLost(host, epoch) => self.handle_tasks_lost(host, epoch),
            Timer::ProbeTimeout(nonce) => {
                if let Some(host) = self.probes.remove(&nonce) {
                    let machine = MachineId(host.0);
                    self.events.push(Event::Probed {
                        machine,
                        answered: false,
                        load: None,
                    });
                }
            }
            Timer::ClientTimeout(client) => self.handle_client_timeout(client),
            Timer::UnsettledExpiry => {
                let now = self.now;
                self.unsettled.retain(|_, (until, _)| *until > now);
                let unsettled = &self.unsettled;
                self.unsettled_attempts
                    .retain(|wire, key| unsettled.get(key).is_some_and(|(_, w)| w == wire));
            }
            Timer::FollowerHeartbeat => self.heartbeat_followers(),
        }
    }

    /// Draws a span between half of `whole` and the whole.
    pub(crate) fn jitter(&mut self, whole: Micros) -> Micros {
        let half = whole / 2;
        half + self.rng.next_u64() % (whole - half).max(1)
    }

    fn apply_action(&mut self, action: Action) {
        match action {
            Action::Offer {
                task,
                machine,
                timeout: wait,
            } => self.send_offer(task, HostId(machine.0), wait),
            Action::Cancel(id) => {
                let out = self.requests.get(&id.task).and_then(|a| a.in_flight);
                if let Some(wire) = out.filter(|w| self.attempts.get(w).is_some_and(|a| a.id == id))
                {
                    self.cancel_attempt(wire);
                }
            }
            Action::Reject {
                task,
                retry_after: come_back,
            } => {
                let Some(ask) = self.requests.get(&task) else {
                    return;
                };
                let reason = ask.rejection_reason();
                let come_back_ms = come_back.unwrap_or(0) / 1000;
                let (request, attempts) = (ask.request_id.clone(), ask.attempts);
                self.finish_request(
                    task,
                    FinalAnswer::Refused {
                        request,
                        reason,
                        come_back_ms,
                        attempts,
                    },
                );
            }
            Action::Fail(task) => {
                let Some(ask) = self.requests.get(&task) else {
                    return;
                };
                let host = ask
                    .in_flight
                    .and_then(|w| self.attempts.get(&w))
                    .map(|a| a.host);
                let host = host
                    .and_then(|h| self.hosts.get(&h))
                    .map(|h| h.name.clone());
                let unknown = match host.as_ref().or(ask.possibly_started_on.as_ref()) {
                    Some(host) => format!("whether it runs on {host}"),
                    None => "whether it runs".to_owned(),
                };
                let (request, attempts) = (ask.request_id.clone(), ask.attempts);
                self.finish_request(
                    task,
                    FinalAnswer::Failed {
                        request,
                        unknown,
                        attempts,
                    },
                );
            }
            Action::Blocked { task, reason: lack } => {
                let Some(ask) = self.requests.get_mut(&task) else {
                    return;
                };
                ask.block_reason = Some(lack);
                if ask.past_block_reasons.insert(lack) {
                    *self
                        .counters
                        .blocked_by_reason
                        .entry(block_reason_name(lack))
                        .or_default() += 1;
                }
                ask.span
                    .in_scope(|| tracing::debug!(held_for = block_reason_name(lack), "held"));
            }
            Action::Migrate(task) => {
                let wire = self
                    .attempts
                    .iter()
                    .find(|(_, a)| a.id.task == task && a.stage == Stage::Placed);
                if let Some(wire) = wire.map(|(&wire, _)| wire) {
                    self.stop_attempt(wire, "moved");
                }
            }
            Action::SetTimer { after, label } => self
                .timers
                .schedule(self.now + after, Timer::Decider(label)),
            Action::Probe(machine) => {
                let host = HostId(machine.0);
                self.next_probe = self.next_probe.wrapping_add(1);
                let nonce = self.next_probe;
                if self.send_frame(host, &Frame::Probe(nonce), true).is_some() {
                    self.probes.insert(nonce, host);
                    let wait = self.config.hosts.connect_timeout_ms * 1000;
                    self.timers
                        .schedule(self.now + wait, Timer::ProbeTimeout(nonce));
                } else {
                    self.events.push(Event::Probed {
                        machine,
                        answered: false,
                        load: None,
                    });
                }
            }
            Action::Log(line) => tracing::info!(target: "maplethread::decisions", "{line}"),
            // The list comes unasked, one connection a host is kept, and placers do not talk.
            Action::WatchEndpoints { .. }
            | Action::FetchEndpoints
            | Action::CloseIdle(_)
            | Action::SendToPeer { .. } => {}
        }
    }

    pub(crate) fn handle_probe_report(&mut self, nonce: u32, load: ResourceAmounts) {
        if let Some(host) = self.probes.remove(&nonce) {
            let load = Some(Resources::new(load.cores, load.memory_gib));
            self.events.push(Event::Probed {
                machine: MachineId(host.0),
                answered: true,
                load,
            });
        }
    }

    /// Queues a frame for a host; where it ends in the bytes of this connection. Without a connection, or where
    /// too much waits to be written, it is not sent. What must not be lost may take twice the room; beyond it
    /// the connection is dropped, which ends what hangs on it by the rules.
    pub(crate) fn send_frame(&mut self, id: HostId, frame: &Frame, may_fail: bool) -> Option<u64> {
        let host = self.hosts.get_mut(&id)?;
        if host.connection == ConnectionState::Down
            || (may_fail && host.connection != ConnectionState::Up)
        {
            return None;
        }
        let waiting = host.queued_bytes - host.written_bytes;
        let most = self.config.hosts.max_unwritten_bytes as u64;
        if waiting > if may_fail { most } else { 2 * most } {
            if !may_fail {
                tracing::warn!(host = %host.name, "too much waits to be written; connection dropped");
                self.disconnect_host(id);
            }
            return None;
        }
        let mut bytes = Vec::with_capacity(160);
        frame::encode(frame, &mut bytes);
        host.queued_bytes += bytes.len() as u64;
        let end = host.queued_bytes;
        self.outputs.push(Output::ToHost(id, bytes));
        Some(end)
    }

    pub(crate) fn publish_event(
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
        self.recent_events.push(LifecycleEvent {
            seq: 0,
            at_ms,
            event,
            service,
            actor,
            host,
            reason,
            request,
        });
    }

    /// Whether a placing is done once a host has accepted.
    pub(crate) fn is_placed_on_acceptance(&self) -> bool {
        self.config.placement.acceptance_point == AcceptancePoint::Accepted
    }
}
