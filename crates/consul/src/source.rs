//! The source of hosts and slots: what is to be asked of Consul, and what its answers come to.

use std::collections::{BTreeMap, VecDeque};

use maplethread_config::{
    ConsulSettings, DampingMode as DampingKind, HostEntry, PlacerConfig, ReadConsistency,
};
use maplethread_damping::{DampingPolicy, FlapDamping};
use maplethread_wire::http::Message;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use serde::Serialize;
use serde_json::{Value, json};

use self::lists::{ActiveRead, PendingResponse};
use crate::Micros;
use crate::catalogue::{EntriesByHost, HostList, HostRows, KnownNames, MemberRows, MemberStatus};
use crate::lease::{LeaseRequest, LeaseResponse, SlotLease};

use crate::confidence::Confidence;
use crate::index_watch::{IndexWatch, NextRead, match_nothing_filter};
use crate::query::{Backoff, Consistency, RequestTarget, ResponseMeta, percent_encode};

mod lists;
mod slots;

/// A call, to be told apart from others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// What the caller is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a request to a server (by its place in the settings) and wait so long for the whole answer.
    Call {
        /// The call.
        call: CallId,
        /// The server.
        server: usize,
        /// The request.
        request: Vec<u8>,
        /// How long to wait.
        timeout: Micros,
    },
}

/// What is new.
#[derive(Clone, Debug, PartialEq)]
pub enum Update {
    /// These hosts changed; those gone have that state. The first one is the whole list.
    Hosts(Vec<HostEntry>),
    /// The placer's number from now on; without one it may send nothing to cold hosts.
    Slot(Option<u32>),
}

/// What is known and how old it is, for operators.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct CatalogueReport {
    /// Since the last answer that was taken, ms; none if there was none.
    pub age_ms: Option<u64>,
    /// The highest index taken.
    #[serde(rename = "index")]
    pub highest_index: u64,
    /// Hosts listed.
    #[serde(rename = "hosts")]
    pub listed_hosts: usize,
    /// Those whose good news waits.
    #[serde(rename = "damped")]
    pub damped_hosts: usize,
    /// Entries of the last answer that could not be used.
    pub bad_entries: usize,
    /// Answers taken, rejected, and calls that failed.
    #[serde(rename = "taken")]
    pub accepted_answers: u64,
    /// Answers that told that nothing had changed, without the list.
    #[serde(rename = "unchanged")]
    pub unchanged_answers: u64,
    /// See `taken`.
    #[serde(rename = "rejected")]
    pub rejected_answers: u64,
    /// See `taken`.
    #[serde(rename = "failed")]
    pub failed_calls: u64,
    /// The slot, if placers have them.
    pub slot: Option<u32>,
    /// All slots are held by others.
    pub slots_full: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum QueryKind {
    Health,
    Confirm,
    Members,
    Lease,
    Register,
    PassCheck,
}

/// A query that is repeated.
#[derive(Debug, Default)]
struct RepeatedQuery {
    in_flight: Option<CallId>,
    next_at: Micros,
    backoff: Backoff,
    server: usize,
}

/// The source.
pub struct ConsulSource {
    config: ConsulSettings,
    known_names: KnownNames,
    user_agent: String,
    token: Option<String>,
    rng: Pcg64Mcg,
    next_call: u64,
    pending_calls: BTreeMap<CallId, QueryKind>,
    queries: BTreeMap<QueryKind, RepeatedQuery>,
    index: u64,
    index_watch: IndexWatch,
    /// The query of the list that is out asks for nothing but the index.
    is_index_only: bool,
    /// How late an answer about the list may be.
    list_timeout: Micros,
    confidence: Confidence,
    /// Answers that wait to be read, one of each kind at most.
    unread_responses: VecDeque<PendingResponse>,
    active_read: Option<ActiveRead>,
    /// The last answers as they were read.
    last_host_rows: HostRows,
    last_member_rows: MemberRows,
    /// Hosts of which there is news that was not yet told.
    unpublished: VecDeque<String>,
    /// What was last taken, by name.
    entries: EntriesByHost,
    /// Hosts as they were last told.
    published: BTreeMap<String, HostEntry>,
    members: BTreeMap<String, MemberStatus>,
    damping: FlapDamping<String>,
    lease: Option<SlotLease>,
    lease_request: Option<(CallId, LeaseRequest)>,
    slot: Option<u32>,
    lock_delay_ms: u64,
    /// The answer that waits to be confirmed.
    unconfirmed_list: Option<HostList>,
    has_list: bool,
    /// What placers register: name, address and port of the API.
    registration: Option<(String, std::net::SocketAddr)>,
    take_outputs: Vec<Output>,
    updates: Vec<Update>,
    last_answer_at: Option<Micros>,
    report: CatalogueReport,
}

/// Every successful read is followed by the next no sooner than this, so that a storm of changes is read in steps.
const MIN_READ_INTERVAL: Micros = 30_000;
/// Calls that do not block are waited for so long.
const SHORT_CALL_TIMEOUT: Micros = 2_000_000;
/// An answer about the list that comes so late is still news, where `ask_within` leaves as much.
const MAX_LIST_LATENESS: Micros = 6_000_000;
/// Left of `ask_within` when a late answer is given up.
const LIST_LATENESS_MARGIN: Micros = 500_000;

impl ConsulSource {
    /// A source by a placer's settings.
    pub fn new(
        placer: &PlacerConfig,
        consul: &ConsulSettings,
        token: Option<String>,
        seed: u64,
    ) -> ConsulSource {
        let policy = match consul.damping {
            DampingKind::Penalty => DampingPolicy::Penalty,
            DampingKind::Off => DampingPolicy::Off,
            DampingKind::Hold => DampingPolicy::Hold(3_000_000),
        };
        let most = placer.hosts.max_hosts;
        let known = KnownNames {
            zones: placer.identity.zones.clone(),
            kinds: placer.kinds.iter().map(|k| k.name.clone()).collect(),
            max_entries: most,
        };
        let lease = consul
            .membership
            .as_ref()
            .map(|m| SlotLease::new(placer.identity.replica_count, m.ttl_ms * 1000, seed ^ 1));
        let wait = consul.max_wait_ms * 1000;
        let left = (placer.rules.max_poll_interval_ms * 1000)
            .saturating_sub(wait + wait / 16 + LIST_LATENESS_MARGIN);
        let late = left.min(MAX_LIST_LATENESS);
        let mut source = ConsulSource {
            known_names: known,
            user_agent: format!("maplethread ({})", placer.identity.name),
            token,
            rng: Pcg64Mcg::seed_from_u64(seed),
            next_call: 0,
            pending_calls: BTreeMap::new(),
            queries: BTreeMap::new(),
            index: 0,
            index_watch: IndexWatch::new(consul.watch),
            is_index_only: false,
            list_timeout: late.max(SHORT_CALL_TIMEOUT),
            confidence: Confidence::new(consul.datacentre.clone()),
            unread_responses: VecDeque::new(),
            active_read: None,
            last_host_rows: HostRows::default(),
            last_member_rows: MemberRows::default(),
            unpublished: VecDeque::new(),
            entries: EntriesByHost::new(),
            published: BTreeMap::new(),
            members: BTreeMap::new(),
            damping: FlapDamping::new(policy, most, seed ^ 2),
            lease,
            lease_request: None,
            slot: None,
            lock_delay_ms: consul.membership.as_ref().map_or(0, |m| m.lock_delay_ms),
            unconfirmed_list: None,
            has_list: false,
            registration: None,
            take_outputs: Vec::new(),
            updates: Vec::new(),
            last_answer_at: None,
            report: CatalogueReport::default(),
            config: consul.clone(),
        };
        // Placers begin at different servers, so that none gets all of them.
        let first = source.rng.next_u64() as usize % source.config.servers.len();
        for purpose in [QueryKind::Health, QueryKind::Members] {
            source.queries.insert(
                purpose,
                RepeatedQuery {
                    server: first,
                    ..RepeatedQuery::default()
                },
            );
        }
        if source.lease.is_some() {
            source.queries.insert(
                QueryKind::Lease,
                RepeatedQuery {
                    server: first,
                    ..RepeatedQuery::default()
                },
            );
        }
        source
    }

    /// The placer serves under this name and address, and registers itself if it has slots.
    pub fn set_registration(&mut self, name: &str, address: std::net::SocketAddr) {
        if self.lease.is_some() {
            self.registration = Some((name.to_owned(), address));
            let server = self.queries.get(&QueryKind::Health).map_or(0, |l| l.server);
            self.queries.insert(
                QueryKind::Register,
                RepeatedQuery {
                    server,
                    ..RepeatedQuery::default()
                },
            );
        }
    }

    /// Whether a list was taken.
    pub fn has_list(&self) -> bool {
        self.has_list
    }

    /// What is known and how old it is.
    pub fn report(&self, now: Micros) -> CatalogueReport {
        let slots_full = self
            .lease
            .as_ref()
            .is_some_and(SlotLease::are_all_slots_taken);
        CatalogueReport {
            age_ms: self.last_answer_at.map(|at| now.saturating_sub(at) / 1000),
            highest_index: self.confidence.highest_index(),
            listed_hosts: self.entries.len(),
            damped_hosts: self.damping.held_count(),
            slot: self.slot,
            slots_full,
            ..self.report.clone()
        }
    }

    /// What the caller is to do since the last call.
    pub fn outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.take_outputs)
    }

    /// What is new since the last call.
    pub fn take_updates(&mut self) -> Vec<Update> {
        std::mem::take(&mut self.updates)
    }

    /// When [`Source::tick`] is to be called at the latest.
    pub fn next_timeout(&self, now: Micros) -> Option<Micros> {
        let loops = self
            .queries
            .iter()
            .filter(|(p, l)| l.in_flight.is_none() && **p != QueryKind::Lease)
            .map(|(_, l)| l.next_at);
        let lease = self.lease.as_ref().and_then(|l| l.next_due(now));
        let own = self
            .lease
            .as_ref()
            .and_then(SlotLease::valid_until)
            .filter(|&u| u > now && self.slot.is_some());
        let busy = self.has_pending_work().then_some(now);
        busy.into_iter()
            .chain(loops)
            .chain(lease)
            .chain(own)
            .chain(self.damping.next_release())
            .chain(self.confidence.confirmation_deadline())
            .min()
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Micros) {
        self.fence(now);
        if self
            .confidence
            .confirmation_deadline()
            .is_some_and(|due| due <= now)
            && let Some(listed) = self.unconfirmed_list.take()
        {
            // No leader has contradicted it in time: the rules win.
            self.accept_list(now, listed);
        }
        self.process_lists(now);
        let released = self.damping.release_due(now);
        self.publish_hosts(now, released);
        for purpose in [
            QueryKind::Health,
            QueryKind::Members,
            QueryKind::Register,
            QueryKind::PassCheck,
        ] {
            if self
                .queries
                .get(&purpose)
                .is_some_and(|l| l.in_flight.is_none() && l.next_at <= now)
            {
                self.start_query(now, purpose);
            }
        }
        self.advance_lease(now);
    }

    fn target_in_datacentre(&self, path: String) -> RequestTarget {
        RequestTarget::new(path).with_optional_param("dc", self.config.datacentre.as_deref())
    }

    fn health_target(&self, mode: Consistency, filter: Option<&str>) -> RequestTarget {
        let path = format!(
            "/v1/health/service/{}",
            percent_encode(&self.config.service)
        );
        self.target_in_datacentre(path)
            .with_optional_param("filter", filter)
            .with_consistency(mode)
    }

    fn send(
        &mut self,
        purpose: QueryKind,
        server: usize,
        request: Vec<u8>,
        within: Micros,
    ) -> CallId {
        self.next_call += 1;
        let call = CallId(self.next_call);
        self.pending_calls.insert(call, purpose);
        self.take_outputs.push(Output::Call {
            call,
            server,
            request,
            timeout: within,
        });
        call
    }

    fn start_query(&mut self, now: Micros, purpose: QueryKind) {
        let wait = self.config.max_wait_ms;
        let mode = match self.config.consistency {
            ReadConsistency::Default => Consistency::Default,
            ReadConsistency::Stale => Consistency::Stale,
            ReadConsistency::Consistent => Consistency::Consistent,
        };
        let (target, method, body, within) = match purpose {
            QueryKind::Health => {
                let next = if self.index > 0 {
                    self.index_watch.next_read(now)
                } else {
                    NextRead::Full
                };
                self.is_index_only = next == NextRead::IndexOnly;
                let empty = self
                    .is_index_only
                    .then(|| match_nothing_filter(self.config.filter.as_deref()));
                let mut target =
                    self.health_target(mode, empty.as_deref().or(self.config.filter.as_deref()));
                let mut within = self.list_timeout;
                if next != NextRead::Full {
                    target = target
                        .with_param("index", &self.index.to_string())
                        .with_param("wait", &format!("{wait}ms"));
                    // The server adds up to a sixteenth of the wait.
                    within += (wait + wait / 16) * 1000;
                }
                (target, "GET", Value::Null, within)
            }
            QueryKind::Confirm => (
                self.health_target(Consistency::Consistent, self.config.filter.as_deref()),
                "GET",
                Value::Null,
                SHORT_CALL_TIMEOUT,
            ),
            QueryKind::Members => (
                RequestTarget::new("/v1/agent/members"),
                "GET",
                Value::Null,
                SHORT_CALL_TIMEOUT,
            ),
            QueryKind::Register => {
                let Some((name, address)) = &self.registration else {
                    return;
                };
                let Some(m) = &self.config.membership else {
                    return;
                };
                let body = json!({
                    "ID": name, "Name": m.service, "Address": address.ip().to_string(), "Port": address.port(),
                    "Check": {
                        "TTL": format!("{}ms", m.ttl_ms),
                        "DeregisterCriticalServiceAfter": "10m",
                    },
                });
                (
                    RequestTarget::new("/v1/agent/service/register"),
                    "PUT",
                    body,
                    SHORT_CALL_TIMEOUT,
                )
            }
            QueryKind::PassCheck => {
                let Some((name, _)) = &self.registration else {
                    return;
                };
                let path = format!("/v1/agent/check/pass/service:{}", percent_encode(name));
                (
                    RequestTarget::new(path),
                    "PUT",
                    Value::Null,
                    SHORT_CALL_TIMEOUT,
                )
            }
            QueryKind::Lease => return,
        };
        let body = if body.is_null() {
            Vec::new()
        } else {
            body.to_string().into_bytes()
        };
        let request = target.to_request(method, &self.user_agent, self.token.as_deref(), &body);
        let server = self.queries.get(&purpose).map_or(0, |l| l.server);
        let call = self.send(purpose, server, request, within);
        self.queries.entry(purpose).or_default().in_flight = Some(call);
    }

    /// A call's answer.
    pub fn handle_response(&mut self, now: Micros, call: CallId, message: Message) {
        let Some(purpose) = self.pending_calls.remove(&call) else {
            return;
        };
        let status = message.head.status();
        if purpose == QueryKind::Lease {
            let told = self.parse_lease_response(call, status, &message.body);
            if told == LeaseResponse::Failed {
                self.fail_over(QueryKind::Lease);
            }
            self.complete_lease_request(now, told);
            return;
        }
        if self
            .queries
            .get(&purpose)
            .is_none_or(|l| l.in_flight != Some(call))
        {
            return;
        }
        if purpose == QueryKind::Health && self.is_index_only && status == 400 {
            self.index_watch.disable();
        }
        if status != 200 {
            let why =
                String::from_utf8_lossy(&message.body[..message.body.len().min(120)]).into_owned();
            self.record_failure(now, purpose, &format!("status {status}: {why}"));
            return;
        }
        if let Some(l) = self.queries.get_mut(&purpose) {
            l.in_flight = None;
        }
        let meta = ResponseMeta::from_message(&message);
        match purpose {
            QueryKind::Health if self.is_index_only && message.body.trim_ascii() == b"[]" => {
                self.handle_index_response(now, meta);
            }
            QueryKind::Health | QueryKind::Confirm | QueryKind::Members => {
                // The next one is asked for when this one is read.
                self.schedule(purpose, Micros::MAX);
                self.unread_responses.push_back(PendingResponse {
                    purpose,
                    meta,
                    body: message.body,
                });
                return;
            }
            QueryKind::Register => {
                let server = self.queries.remove(&purpose).map_or(0, |l| l.server);
                self.queries.insert(
                    QueryKind::PassCheck,
                    RepeatedQuery {
                        server,
                        next_at: now,
                        ..RepeatedQuery::default()
                    },
                );
            }
            QueryKind::PassCheck => {
                let ttl = self.config.membership.as_ref().map_or(10_000, |m| m.ttl_ms) * 1000;
                self.schedule(purpose, now + ttl / 3);
            }
            QueryKind::Lease => {}
        }
        self.record_success(purpose);
    }

    fn record_success(&mut self, purpose: QueryKind) {
        if let Some(l) = self.queries.get_mut(&purpose) {
            l.backoff.reset();
        }
    }

    /// A call got no answer, or one that is no HTTP.
    pub fn handle_failure(&mut self, now: Micros, call: CallId, why: &str) {
        let Some(purpose) = self.pending_calls.remove(&call) else {
            return;
        };
        if purpose == QueryKind::Lease {
            self.fail_over(QueryKind::Lease);
            self.complete_lease_request(now, LeaseResponse::Failed);
        } else if self
            .queries
            .get(&purpose)
            .is_some_and(|l| l.in_flight == Some(call))
        {
            self.record_failure(now, purpose, why);
        }
    }

    fn schedule(&mut self, purpose: QueryKind, at: Micros) {
        if let Some(l) = self.queries.get_mut(&purpose) {
            l.next_at = at;
        }
    }

    fn fail_over(&mut self, purpose: QueryKind) {
        let servers = self.config.servers.len();
        if let Some(l) = self.queries.get_mut(&purpose) {
            l.server = (l.server + 1) % servers;
        }
    }

    fn record_failure(&mut self, now: Micros, purpose: QueryKind, why: &str) {
        self.report.failed_calls += 1;
        let Some(l) = self.queries.get_mut(&purpose) else {
            return;
        };
        l.in_flight = None;
        let first = l.backoff.failures() == 0;
        l.next_at = now + l.backoff.next_wait(&mut self.rng);
        let server = self.config.servers[l.server];
        if first {
            tracing::warn!(%server, why, age_ms = self.last_answer_at.map(|h| (now - h) / 1000), "{purpose:?} query failed");
        }
        // A check that a restarted agent does not know: register anew.
        if purpose == QueryKind::PassCheck
            && (why.starts_with("status 404") || why.contains("nknown check"))
        {
            let server = l.server;
            self.queries.remove(&QueryKind::PassCheck);
            self.queries.insert(
                QueryKind::Register,
                RepeatedQuery {
                    server,
                    next_at: now,
                    ..RepeatedQuery::default()
                },
            );
            return;
        }
        self.fail_over(purpose);
    }
}
