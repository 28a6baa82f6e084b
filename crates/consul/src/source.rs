//! The source of hosts and of the placer's slot: decides which calls to make to Consul, and evaluates the responses.

use std::collections::VecDeque;
use std::net::SocketAddr;

use maplethread_config::{ConsulSettings, HostEntry, PlacerConfig, ReadConsistency};
use maplethread_wire::http::Message;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use serde::Serialize;

use self::calls::{Calls, QueryKind};
use self::failure::CallFailure;
use self::lists::{ActiveRead, PendingResponse};
use self::published::PublishedHosts;
use self::requests::RequestBuilder;
use self::slots::Slots;
use crate::Micros;
use crate::catalogue::{HostList, HostRows, KnownNames, MemberRows};
use crate::index_watch::{IndexWatch, NextRead, match_nothing_filter};
use crate::lease::LeaseResponse;
use crate::list_validator::ListValidator;
use crate::request::{Consistency, RequestTarget};
use crate::response::ResponseMeta;

mod calls;
mod failure;
mod lists;
mod published;
mod requests;
mod slots;

/// Identifies a call among those in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// An action for the caller to execute.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a request to a server, and wait for the whole response.
    Call {
        /// The call.
        call: CallId,
        /// The server, by its position in the settings.
        server: usize,
        /// The request's bytes.
        request: Vec<u8>,
        /// How long to wait.
        timeout: Micros,
    },
}

/// A change for the caller to apply.
#[derive(Clone, Debug, PartialEq)]
pub enum Update {
    /// These hosts have changed; removed ones have the state `HostState::Gone`. The first update is the full list.
    Hosts(Vec<HostEntry>),
    /// The placer's slot from now on. Without one, it must not send offers to hosts that have just started.
    Slot(Option<u32>),
}

/// Contents and age of the catalogue, for operators.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct CatalogueReport {
    /// Time since a list was last accepted or found unchanged, in ms; none before the first list.
    pub age_ms: Option<u64>,
    /// The highest index of an accepted list.
    #[serde(rename = "index")]
    pub highest_index: u64,
    /// Number of hosts in the list.
    #[serde(rename = "hosts")]
    pub listed_hosts: usize,
    /// Hosts that are ready again but suppressed by flap damping.
    #[serde(rename = "damped")]
    pub suppressed_hosts: usize,
    /// Invalid entries of the last list.
    pub bad_entries: usize,
    /// Lists that were accepted.
    #[serde(rename = "taken")]
    pub accepted_answers: u64,
    /// Responses that showed by their index alone that the list had not changed.
    #[serde(rename = "unchanged")]
    pub unchanged_answers: u64,
    /// Lists that were rejected.
    #[serde(rename = "rejected")]
    pub rejected_answers: u64,
    /// Calls that failed.
    #[serde(rename = "failed")]
    pub failed_calls: u64,
    /// The placer's slot, if placers have slots.
    pub slot: Option<u32>,
    /// Whether others hold all slots.
    pub slots_full: bool,
}

/// The source of hosts and of the placer's slot.
pub struct ConsulSource {
    config: ConsulSettings,
    known_names: KnownNames,
    requests: RequestBuilder,
    rng: Pcg64Mcg,
    calls: Calls,
    /// The index on which the next read of the host list blocks; 0 before the first.
    blocking_index: u64,
    index_watch: IndexWatch,
    /// Whether the list query in flight reads only the index.
    is_index_only: bool,
    /// Timeout of list queries, not counting the wait of a blocking query.
    list_timeout: Micros,
    list_validator: ListValidator,
    /// Responses waiting to be read, at most one of each kind.
    unread_responses: VecDeque<PendingResponse>,
    active_read: Option<ActiveRead>,
    last_host_rows: HostRows,
    last_member_rows: MemberRows,
    hosts: PublishedHosts,
    /// None if placers have no slots.
    slots: Option<Slots>,
    /// The list that is waiting for confirmation.
    unconfirmed_list: Option<HostList>,
    has_list: bool,
    last_response_at: Option<Micros>,
    updates: Vec<Update>,
    report: CatalogueReport,
}

/// Minimum time between a successful read and the next one, so that a burst of changes is read in batches.
const MIN_READ_INTERVAL: Micros = 30_000;
/// Timeout of calls that do not block.
const SHORT_CALL_TIMEOUT: Micros = 2_000_000;
/// Maximum timeout of list queries: a response this late is still useful, if `rules.ask_within_ms` leaves as much time.
const MAX_LIST_TIMEOUT: Micros = 6_000_000;
/// Time left of `rules.ask_within_ms` when a list query times out.
const LIST_TIMEOUT_MARGIN: Micros = 500_000;
const MICROS_PER_MS: Micros = 1000;

impl ConsulSource {
    /// Creates a source from a placer's settings. `seed` is the seed of all its random numbers.
    pub fn new(
        placer: &PlacerConfig,
        consul: &ConsulSettings,
        token: Option<String>,
        seed: u64,
    ) -> ConsulSource {
        let max_hosts = placer.hosts.max_hosts;
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        // Placers start with different servers, so that no server gets all of them.
        let first_server = rng.next_u64() as usize % consul.servers.len();
        let slots = consul
            .membership
            .as_ref()
            .map(|membership| Slots::new(membership, placer.identity.replica_count, seed ^ 1));
        let mut calls = Calls::new(consul.servers.len());
        calls.add(QueryKind::Health, first_server, 0);
        calls.add(QueryKind::Members, first_server, 0);
        if slots.is_some() {
            calls.add(QueryKind::Lease, first_server, 0);
        }
        ConsulSource {
            known_names: KnownNames {
                zones: placer.identity.zones.clone(),
                kinds: placer.kinds.iter().map(|kind| kind.name.clone()).collect(),
                max_entries: max_hosts,
            },
            requests: RequestBuilder {
                user_agent: format!("maplethread ({})", placer.identity.name),
                token,
                datacentre: consul.datacentre.clone(),
            },
            rng,
            calls,
            blocking_index: 0,
            index_watch: IndexWatch::new(consul.watch),
            is_index_only: false,
            list_timeout: list_timeout(placer, consul),
            list_validator: ListValidator::new(consul.datacentre.clone()),
            unread_responses: VecDeque::new(),
            active_read: None,
            last_host_rows: HostRows::default(),
            last_member_rows: MemberRows::default(),
            hosts: PublishedHosts::new(consul.damping, max_hosts, seed ^ 2),
            slots,
            unconfirmed_list: None,
            has_list: false,
            last_response_at: None,
            updates: Vec::new(),
            report: CatalogueReport::default(),
            config: consul.clone(),
        }
    }

    /// Sets the placer's name and the address of its API. The placer registers itself under them if placers have slots.
    pub fn set_registration(&mut self, name: &str, address: SocketAddr) {
        if let Some(slots) = &mut self.slots {
            slots.set_registration(name, address);
            let server = self.calls.server(QueryKind::Health);
            self.calls.add(QueryKind::Register, server, 0);
        }
    }

    /// Whether a list has been accepted.
    pub fn has_list(&self) -> bool {
        self.has_list
    }

    /// Contents and age of the catalogue.
    pub fn report(&self, now: Micros) -> CatalogueReport {
        CatalogueReport {
            age_ms: self.age_ms(now),
            highest_index: self.list_validator.highest_index(),
            listed_hosts: self.hosts.len(),
            suppressed_hosts: self.hosts.suppressed_count(),
            slot: self.slots.as_ref().and_then(Slots::current),
            slots_full: self.slots.as_ref().is_some_and(Slots::are_all_taken),
            ..self.report.clone()
        }
    }

    fn age_ms(&self, now: Micros) -> Option<u64> {
        self.last_response_at
            .map(|at| now.saturating_sub(at) / MICROS_PER_MS)
    }

    /// Takes the outputs since the last call.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        self.calls.take_outputs()
    }

    /// Takes the updates since the last call.
    pub fn take_updates(&mut self) -> Vec<Update> {
        std::mem::take(&mut self.updates)
    }

    /// The latest time at which [`ConsulSource::tick`] must be called.
    pub fn next_timeout(&self, now: Micros) -> Option<Micros> {
        let slots = self.slots.as_ref();
        [
            self.has_pending_work().then_some(now),
            self.calls.next_due(),
            slots.and_then(|slots| slots.next_due(now)),
            slots.and_then(|slots| slots.expiry(now)),
            self.hosts.next_release(),
            self.list_validator.confirmation_deadline(),
        ]
        .into_iter()
        .flatten()
        .min()
    }

    /// Does everything that is due.
    pub fn tick(&mut self, now: Micros) {
        self.refresh_slot(now);
        if self
            .list_validator
            .confirmation_deadline()
            .is_some_and(|deadline| deadline <= now)
            && let Some(list) = self.unconfirmed_list.take()
        {
            // No consistent read has shown otherwise in time, so the loss is accepted: rule 3 has precedence.
            self.accept_list(now, list);
        }
        self.process_lists(now);
        let released = self.hosts.publish_released(now);
        self.push_hosts(released);
        for kind in [
            QueryKind::Health,
            QueryKind::Members,
            QueryKind::Register,
            QueryKind::PassCheck,
        ] {
            if self.calls.is_due(kind, now) {
                self.start_query(now, kind);
            }
        }
        self.advance_lease(now);
    }

    /// Queues an update of hosts, if any have changed.
    fn push_hosts(&mut self, changed: Vec<HostEntry>) {
        if !changed.is_empty() {
            self.updates.push(Update::Hosts(changed));
        }
    }

    fn start_query(&mut self, now: Micros, kind: QueryKind) {
        let (request, timeout) = match kind {
            QueryKind::Health => self.health_request(now),
            QueryKind::Confirm => {
                let target = self.requests.health(
                    &self.config.service,
                    Consistency::Consistent,
                    self.config.filter.as_deref(),
                );
                (self.requests.get(&target), SHORT_CALL_TIMEOUT)
            }
            QueryKind::Members => {
                let target = RequestTarget::new("/v1/agent/members");
                (self.requests.get(&target), SHORT_CALL_TIMEOUT)
            }
            QueryKind::Register | QueryKind::PassCheck => {
                let slots = self.slots.as_ref();
                let request = slots.and_then(|slots| match kind {
                    QueryKind::Register => slots.registration_request(&self.requests),
                    _ => slots.pass_check_request(&self.requests),
                });
                let Some(request) = request else { return };
                (request, SHORT_CALL_TIMEOUT)
            }
            // Requests of the lease depend on its state: see `advance_lease`.
            QueryKind::Lease => return,
        };
        self.calls.start(kind, request, timeout);
    }

    /// The request of the next read of the host list, and its timeout.
    fn health_request(&mut self, now: Micros) -> (Vec<u8>, Micros) {
        let next_read = if self.blocking_index > 0 {
            self.index_watch.next_read(now)
        } else {
            NextRead::Full
        };
        self.is_index_only = next_read == NextRead::IndexOnly;
        let configured = self.config.filter.as_deref();
        let index_only_filter = self.is_index_only.then(|| match_nothing_filter(configured));
        let consistency = match self.config.consistency {
            ReadConsistency::Default => Consistency::Default,
            ReadConsistency::Stale => Consistency::Stale,
            ReadConsistency::Consistent => Consistency::Consistent,
        };
        let mut target = self.requests.health(
            &self.config.service,
            consistency,
            index_only_filter.as_deref().or(configured),
        );
        let mut timeout = self.list_timeout;
        if next_read != NextRead::Full {
            let wait_ms = self.config.max_wait_ms;
            target = target
                .with_param("index", &self.blocking_index.to_string())
                .with_param("wait", &format!("{wait_ms}ms"));
            timeout += longest_blocking_wait(wait_ms) * MICROS_PER_MS;
        }
        (self.requests.get(&target), timeout)
    }

    /// Processes the response to a call.
    pub fn handle_response(&mut self, now: Micros, call: CallId, message: Message) {
        let Some(kind) = self.calls.finish(call) else {
            return;
        };
        let status = message.head.status();
        if kind == QueryKind::Lease {
            self.handle_lease_response(now, call, status, &message.body);
            return;
        }
        if !self.calls.is_in_flight(kind, call) {
            return;
        }
        if kind == QueryKind::Health && self.is_index_only && status == 400 {
            self.index_watch.disable();
        }
        if status != 200 {
            self.record_failure(now, kind, &CallFailure::status(status, &message.body));
            return;
        }
        self.calls.clear_in_flight(kind);
        let meta = ResponseMeta::from_message(&message);
        match kind {
            QueryKind::Health if self.is_index_only && message.body.trim_ascii() == b"[]" => {
                self.handle_index_response(now, meta);
            }
            QueryKind::Health | QueryKind::Confirm | QueryKind::Members => {
                // The next query is sent when this response has been read.
                self.calls.schedule(kind, Micros::MAX);
                self.unread_responses.push_back(PendingResponse {
                    kind,
                    meta,
                    body: message.body,
                });
                return;
            }
            QueryKind::Register => self.calls.replace(kind, QueryKind::PassCheck, now),
            QueryKind::PassCheck => {
                let interval = self.slots.as_ref().map_or(0, Slots::pass_check_interval);
                self.calls.schedule(kind, now + interval);
            }
            QueryKind::Lease => {}
        }
        self.calls.record_success(kind);
    }

    /// Records that a call got no response, or one that is not HTTP.
    pub fn handle_failure(&mut self, now: Micros, call: CallId, reason: &str) {
        let Some(kind) = self.calls.finish(call) else {
            return;
        };
        if kind == QueryKind::Lease {
            self.calls.fail_over(QueryKind::Lease);
            self.complete_lease_request(now, LeaseResponse::Failed);
        } else if self.calls.is_in_flight(kind, call) {
            self.record_failure(now, kind, &CallFailure::NoResponse(reason.to_owned()));
        }
    }

    fn record_failure(&mut self, now: Micros, kind: QueryKind, failure: &CallFailure) {
        self.report.failed_calls += 1;
        let Some(failed) = self.calls.record_failure(kind, now, &mut self.rng) else {
            return;
        };
        if failed.is_first {
            let server = self.config.servers[failed.server];
            tracing::warn!(%server, reason = %failure, age_ms = self.age_ms(now), "{kind} query failed");
        }
        if kind == QueryKind::PassCheck && failure.is_unknown_check() {
            // A restarted agent does not have the check any more, so the placer registers again.
            self.calls.replace(kind, QueryKind::Register, now);
        } else {
            self.calls.fail_over(kind);
        }
    }
}

/// How long a server may delay the response to a blocking query, in the unit of `wait`: Consul adds a random time of up
/// to a sixteenth.
fn longest_blocking_wait(wait: u64) -> u64 {
    wait + wait / 16
}

/// The timeout of list queries that keeps the list from becoming older than the rules allow.
fn list_timeout(placer: &PlacerConfig, consul: &ConsulSettings) -> Micros {
    let longest_wait = longest_blocking_wait(consul.max_wait_ms * MICROS_PER_MS);
    let max_age = placer.rules.max_poll_interval_ms * MICROS_PER_MS;
    max_age
        .saturating_sub(longest_wait + LIST_TIMEOUT_MARGIN)
        .clamp(SHORT_CALL_TIMEOUT, MAX_LIST_TIMEOUT)
}
