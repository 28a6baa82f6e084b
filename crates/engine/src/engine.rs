//! The engine: its state, its interface to the caller, and its turns.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use maplethread::{Event, Micros, Settings, TaskId};
use maplethread_config::{AcceptancePoint, PlacerConfig};
use maplethread_liveness::Liveness;
use maplethread_timers::Timers;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::SeedableRng;

use crate::answers::AnswerCache;
use crate::attempt::{ActorState, Attempt, UnsettledAttempt};
use crate::audit_log::{AuditEntry, AuditLog};
use crate::client_connection::ClientConnection;
use crate::counters::Counters;
use crate::decide::Decide;
use crate::host::{DepartedHost, Host, liveness_settings};
use crate::ids::{ActorKey, AttemptKey, ClientId, HostId, IdTable};
use crate::lifecycle::RecentEvents;
use crate::output::Output;
use crate::placement_request::PlacementRequest;
use crate::timer::Timer;
use crate::turn_latency::{DEADLINE_ANSWER_MARGIN, TurnLatency};
use crate::warm_up_offers::WarmUpOffers;

/// Start parameters of an engine.
#[derive(Clone, Copy, Debug)]
pub struct StartInfo {
    /// When the process started, Unix time in ms; it distinguishes incarnations of one placer.
    pub started_ms: u64,
    /// Seed of the random numbers, which are used only to spread reconnects and heartbeats over time.
    pub seed: u64,
}

/// Manages sessions with clients and hosts, and carries out the decisions of `D`. Times are µs on the caller's clock.
pub struct Engine<D> {
    pub(crate) config: PlacerConfig,
    pub(crate) settings: Settings,
    pub(crate) decider: D,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) started_ms: u64,
    /// The upper bits of the ids of all attempts of this incarnation.
    pub(crate) attempt_id_prefix: u64,
    pub(crate) next_attempt: u64,
    pub(crate) next_task: u64,
    pub(crate) now: Micros,
    pub(crate) turn_count: u64,
    /// Number of client requests read since the last turn.
    pub(crate) requests_this_turn: usize,
    /// Whether the caller was stalled before this turn.
    pub(crate) is_after_stall: bool,
    /// The earliest time at which input that is read now may have arrived.
    pub(crate) unread_since: Option<Micros>,
    /// Unanswered requests in the order of their deadlines.
    pub(crate) deadlines: BTreeSet<(Micros, TaskId)>,
    pub(crate) turn_latency: TurnLatency,
    pub(crate) warm_up_offers: WarmUpOffers,
    pub(crate) events: Vec<Event>,
    pub(crate) outputs: Vec<Output>,
    pub(crate) timers: Timers<Timer>,
    pub(crate) hosts: BTreeMap<HostId, Host>,
    pub(crate) liveness: Liveness<HostId>,
    pub(crate) hosts_by_name: BTreeMap<Arc<str>, HostId>,
    /// Hosts that have left the inventory. A host that returns keeps its id, so that recent offers to it still count.
    pub(crate) departed_hosts: BTreeMap<Arc<str>, DepartedHost>,
    pub(crate) cell_ids: IdTable,
    pub(crate) next_host: u32,
    pub(crate) has_inventory: bool,
    pub(crate) clients: HashMap<ClientId, ClientConnection>,
    pub(crate) followers: BTreeSet<ClientId>,
    pub(crate) requests: HashMap<TaskId, PlacementRequest>,
    pub(crate) tasks_by_request_id: HashMap<Arc<str>, TaskId>,
    pub(crate) actors: BTreeMap<ActorKey, ActorState>,
    pub(crate) attempts: HashMap<AttemptKey, Attempt>,
    /// Actors that must not run twice and have an attempt that may still start.
    pub(crate) unsettled: BTreeMap<ActorKey, UnsettledAttempt>,
    pub(crate) unsettled_attempts: HashMap<AttemptKey, ActorKey>,
    pub(crate) is_unsettled_expiry_scheduled: bool,
    /// Probes without an answer, by nonce.
    pub(crate) probes: BTreeMap<u32, HostId>,
    pub(crate) next_probe: u32,
    pub(crate) answer_cache: AnswerCache,
    pub(crate) recent_events: RecentEvents,
    pub(crate) counters: Counters,
    pub(crate) is_stopping: bool,
    /// Arrival times of requests whose first offer was sent in their first turn, until the caller takes them.
    pub(crate) first_offer_arrivals: Vec<Micros>,
    pub(crate) gauges: serde_json::Value,
    pub(crate) audit_log: AuditLog,
}

impl<D: Decide> Engine<D> {
    /// Creates an engine without hosts. `now` is the caller's time in µs.
    pub fn new(config: PlacerConfig, decider: D, start: StartInfo, now: Micros) -> Engine<D> {
        let attempt_id_prefix = AttemptKey::prefix_of(&config.identity.name, start.started_ms);
        let settings = config.policy_settings();
        let api = &config.api;
        Engine {
            decider,
            rng: Pcg64Mcg::seed_from_u64(start.seed),
            started_ms: start.started_ms,
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
            warm_up_offers: WarmUpOffers::new(settings.rules.overload_window),
            settings,
            events: Vec::new(),
            outputs: Vec::new(),
            timers: Timers::default(),
            hosts: BTreeMap::new(),
            liveness: Liveness::new(liveness_settings(&config.hosts)),
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
            is_unsettled_expiry_scheduled: false,
            probes: BTreeMap::new(),
            next_probe: 0,
            answer_cache: AnswerCache::new(api.max_kept_answers, api.answer_retention_ms * 1000),
            recent_events: RecentEvents::new(api.max_kept_events),
            counters: Counters::default(),
            is_stopping: false,
            first_offer_arrivals: Vec::new(),
            gauges: serde_json::Value::Null,
            audit_log: AuditLog::default(),
            config,
        }
    }

    /// The counters since the start of the engine.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Number of placement requests without an answer.
    pub fn pending_requests(&self) -> usize {
        self.requests.len()
    }

    /// Whether the engine is ready to serve clients: the inventory has been read, and the first connection to each host
    /// in it has come into use or failed.
    pub fn is_ready(&self) -> bool {
        self.has_inventory && self.hosts.values().all(|h| h.was_tried || !h.is_wanted())
    }

    /// Rejects placement requests from now on. Requests that were accepted before are still answered.
    pub fn stop_accepting(&mut self) {
        self.is_stopping = true;
    }

    /// The latest time at which the caller must call [`Engine::turn`], µs.
    pub fn next_timeout(&self) -> Option<Micros> {
        if !self.events.is_empty() {
            return Some(self.now);
        }
        let deadline_answer = self
            .deadlines
            .first()
            .map(|(deadline, _)| deadline.saturating_sub(DEADLINE_ANSWER_MARGIN))
            .filter(|_| self.decider.allows_deadline_answers());
        self.timers
            .next_due_at()
            .into_iter()
            .chain(self.liveness.next_due_at())
            .chain(deadline_answer)
            .min()
    }

    /// The number of scheduled timers, to check that those of ended requests and connections do not remain.
    pub fn timer_count(&self) -> usize {
        self.timers.len()
    }

    /// Takes the outputs since the last call.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// Takes the arrival times, in µs, of the requests whose first offer was sent since the last call. Requests that
    /// were not offered in their first turn are left out.
    pub fn take_first_offer_arrivals(&mut self) -> Vec<Micros> {
        std::mem::take(&mut self.first_offer_arrivals)
    }

    /// Starts to keep audit entries, for a recorder that takes them with [`Engine::take_audit_entries`] around each
    /// turn.
    pub fn enable_audit_log(&mut self) {
        self.audit_log.enable();
    }

    /// Takes the audit entries since the last call.
    pub fn take_audit_entries(&mut self) -> Vec<AuditEntry> {
        self.audit_log.take()
    }

    /// Sets the caller's measurements, which the full status shows.
    pub fn set_gauges(&mut self, gauges: serde_json::Value) {
        self.gauges = gauges;
    }

    /// Declares that input read before the next turn may have been waiting since `at`, because the caller was stalled
    /// or busy. Budgets of requests count from `at`, so that no answer is sent after the client's deadline.
    pub fn set_unread_since(&mut self, at: Micros) {
        self.unread_since = Some(at);
    }

    /// Records that the caller was busy with the last turn from `from`, when it began to read, until `written`, when it
    /// had written all output. Input and timers that came due in between had to wait.
    pub fn record_busy_period(&mut self, from: Micros, written: Micros) {
        self.turn_latency.record_round(written.saturating_sub(from));
        self.warm_up_offers.mark_written(written);
    }

    /// Handles due timers, passes the received events to the decider, and carries out its actions. `is_after_stall`
    /// means that the caller was stalled before this turn, so that the time without input does not count towards the
    /// silence time-outs of hosts.
    pub fn turn(&mut self, now: Micros, is_after_stall: bool) {
        self.now = self.now.max(now);
        self.is_after_stall = is_after_stall;
        self.turn_count += 1;
        self.requests_this_turn = 0;
        self.turn_latency.record_turn(self.now, self.lateness());
        while let Some(timer) = self.timers.pop_due(self.now) {
            self.handle_timer(timer);
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

    /// How long the earliest due timer or pending request has waited for this turn.
    fn lateness(&self) -> Micros {
        let oldest_arrival = self.events.iter().find_map(|event| match event {
            Event::PlacementRequested(task) => self
                .requests
                .get(&task.id)
                .map(|request| request.received_at),
            _ => None,
        });
        let due = self
            .timers
            .next_due_at()
            .into_iter()
            .chain(oldest_arrival)
            .min();
        self.now.saturating_sub(due.unwrap_or(self.now))
    }

    /// Whether a task counts as placed once a host has accepted it; otherwise it counts as placed once it has started.
    pub(crate) fn is_placed_on_acceptance(&self) -> bool {
        self.config.placement.acceptance_point == AcceptancePoint::Accepted
    }
}
