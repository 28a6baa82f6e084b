//! The engine: its state, what its caller does with it, and its turns.

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

/// What an engine needs to know about its start.
#[derive(Clone, Copy, Debug)]
pub struct StartInfo {
    /// When the process started, Unix time in ms; it tells incarnations of one placer apart.
    pub started_ms: u64,
    /// Seed of the engine's random numbers, which only spread reconnects and heartbeats over time.
    pub seed: u64,
}

/// Sessions with clients and hosts around the decisions of `D`. Times are µs on the caller's clock.
pub struct Engine<D> {
    pub(crate) config: PlacerConfig,
    pub(crate) settings: Settings,
    pub(crate) decider: D,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) started_ms: u64,
    /// The upper bits of all attempts of this incarnation.
    pub(crate) attempt_id_prefix: u64,
    pub(crate) next_attempt: u64,
    pub(crate) next_task: u64,
    pub(crate) now: Micros,
    pub(crate) turn_count: u64,
    /// Requests of clients read in this turn.
    pub(crate) requests_this_turn: usize,
    /// The caller was stalled before this turn.
    pub(crate) is_after_stall: bool,
    /// What is read now may have waited unread since then.
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
    /// Hosts that have left the inventory. One that returns is the same host: what it was sent recently still counts.
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
    /// Actors that must not run twice and of which an attempt may still start.
    pub(crate) unsettled: BTreeMap<ActorKey, UnsettledAttempt>,
    pub(crate) unsettled_attempts: HashMap<AttemptKey, ActorKey>,
    /// Probes without an answer, by nonce.
    pub(crate) probes: BTreeMap<u32, HostId>,
    pub(crate) next_probe: u32,
    pub(crate) answer_cache: AnswerCache,
    pub(crate) recent_events: RecentEvents,
    pub(crate) counters: Counters,
    pub(crate) is_stopping: bool,
    /// When the requests were read whose first offers were sent since the caller last took this.
    pub(crate) decided_arrivals: Vec<Micros>,
    pub(crate) gauges: serde_json::Value,
    pub(crate) audit_log: AuditLog,
}

impl<D: Decide> Engine<D> {
    /// An engine that knows no hosts yet. `now` is the caller's time in µs.
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

    /// What the engine has done since its start.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// How many placement requests have no answer yet.
    pub fn pending_requests(&self) -> usize {
        self.requests.len()
    }

    /// Whether clients can be served: the inventory is read, and each host in it has answered or failed to at least once.
    pub fn is_ready(&self) -> bool {
        self.has_inventory && self.hosts.values().all(|h| h.was_tried || !h.is_wanted())
    }

    /// Rejects placement requests from now on; those already accepted are still answered.
    pub fn stop_accepting(&mut self) {
        self.is_stopping = true;
    }

    /// When [`Engine::turn`] is to be called at the latest, µs.
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

    /// What is to be done since the last call.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// When the requests were read, in µs, whose first offers were sent since the last call, in the first turn that had
    /// them.
    pub fn take_first_offer_arrivals(&mut self) -> Vec<Micros> {
        std::mem::take(&mut self.decided_arrivals)
    }

    /// Keeps entries on names and requests from now on, for a recorder that takes them by
    /// [`Engine::take_audit_entries`] around each turn.
    pub fn enable_audit_log(&mut self) {
        self.audit_log.enable();
    }

    /// Entries since the last call.
    pub fn take_audit_entries(&mut self) -> Vec<AuditEntry> {
        self.audit_log.take()
    }

    /// Measurements of the caller, to be shown in the full status.
    pub fn set_gauges(&mut self, gauges: serde_json::Value) {
        self.gauges = gauges;
    }

    /// What is read up to the next turn may have waited unread since `at`, because the caller was stalled or busy. The
    /// budgets of requests count from there, so that no answer comes after a deadline that passed meanwhile.
    pub fn set_unread_since(&mut self, at: Micros) {
        self.unread_since = Some(at);
    }

    /// The caller was busy with the last turn from `from`, when it began to read, to `written`, when all output was
    /// written. What arrives meanwhile waits as long, and so do timers.
    pub fn record_busy_period(&mut self, from: Micros, written: Micros) {
        self.turn_latency.record_round(written.saturating_sub(from));
        self.warm_up_offers.mark_written(written);
    }

    /// Decides on all that has been received, and carries the decisions out. `is_after_stall` tells that the caller was
    /// stalled before this turn, so that silence was its own and not the hosts'.
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

    /// How long the earliest timer or request of this turn has waited for it.
    fn lateness(&self) -> Micros {
        let oldest_request = self.events.iter().find_map(|event| match event {
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
            .chain(oldest_request)
            .min();
        self.now.saturating_sub(due.unwrap_or(self.now))
    }

    /// Whether a host's acceptance places an attempt; otherwise its start does.
    pub(crate) fn is_placed_on_acceptance(&self) -> bool {
        self.config.placement.acceptance_point == AcceptancePoint::Accepted
    }
}
