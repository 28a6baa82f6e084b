//! The calls in flight, and the schedule and server of each repeated query.

use std::collections::BTreeMap;
use std::fmt;

use rand_pcg::Pcg64Mcg;

use super::{CallId, Output};
use crate::Micros;
use crate::backoff::Backoff;

/// The purpose of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum QueryKind {
    /// Read the host list.
    Health,
    /// Read the host list from a verified leader, to confirm a large loss.
    Confirm,
    /// Read the members of the gossip pool.
    Members,
    /// The next request of the slot lease.
    Lease,
    /// Register the placer as a service.
    Register,
    /// Keep the check of the registration passing.
    PassCheck,
}

/// The name in log lines, which operators search for.
impl fmt::Display for QueryKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            QueryKind::Health => "Health",
            QueryKind::Confirm => "Confirm",
            QueryKind::Members => "Members",
            QueryKind::Lease => "Lease",
            QueryKind::Register => "Register",
            QueryKind::PassCheck => "Pass",
        })
    }
}

/// A query that is repeated.
#[derive(Debug, Default)]
struct RepeatedQuery {
    in_flight: Option<CallId>,
    /// When it is sent next, unless it is in flight.
    next_at: Micros,
    backoff: Backoff,
    /// The server that gets it, by its position in the settings.
    server: usize,
}

/// A failed query.
pub(super) struct FailedQuery {
    /// The server that failed.
    pub(super) server: usize,
    /// Whether the query before it was successful.
    pub(super) is_first: bool,
}

/// The calls in flight and the queries that are repeated.
#[derive(Debug)]
pub(super) struct Calls {
    server_count: usize,
    last_id: u64,
    pending: BTreeMap<CallId, QueryKind>,
    queries: BTreeMap<QueryKind, RepeatedQuery>,
    outputs: Vec<Output>,
}

impl Calls {
    /// Creates an empty set of calls to `server_count` servers.
    pub(super) fn new(server_count: usize) -> Calls {
        Calls {
            server_count,
            last_id: 0,
            pending: BTreeMap::new(),
            queries: BTreeMap::new(),
            outputs: Vec::new(),
        }
    }

    /// Adds a query that is first sent at `next_at`. Replaces the query of this kind, if there is one.
    pub(super) fn add(&mut self, kind: QueryKind, server: usize, next_at: Micros) {
        let query = RepeatedQuery {
            server,
            next_at,
            ..RepeatedQuery::default()
        };
        self.queries.insert(kind, query);
    }

    /// Replaces a query by another one to the same server.
    pub(super) fn replace(&mut self, kind: QueryKind, by: QueryKind, next_at: Micros) {
        let server = self.server(kind);
        self.queries.remove(&kind);
        self.add(by, server, next_at);
    }

    /// The server that gets this query.
    pub(super) fn server(&self, kind: QueryKind) -> usize {
        self.queries.get(&kind).map_or(0, |query| query.server)
    }

    /// Whether a query is to be sent now.
    pub(super) fn is_due(&self, kind: QueryKind, now: Micros) -> bool {
        self.queries
            .get(&kind)
            .is_some_and(|query| query.in_flight.is_none() && query.next_at <= now)
    }

    /// When the next query is to be sent; the lease has a schedule of its own.
    pub(super) fn next_due(&self) -> Option<Micros> {
        self.queries
            .iter()
            .filter(|(kind, query)| query.in_flight.is_none() && **kind != QueryKind::Lease)
            .map(|(_, query)| query.next_at)
            .min()
    }

    /// Sends a request to the server of its kind.
    pub(super) fn send(&mut self, kind: QueryKind, request: Vec<u8>, timeout: Micros) -> CallId {
        self.last_id += 1;
        let call = CallId(self.last_id);
        self.pending.insert(call, kind);
        self.outputs.push(Output::Call {
            call,
            server: self.server(kind),
            request,
            timeout,
        });
        call
    }

    /// Sends a request as the query in flight of its kind.
    pub(super) fn start(&mut self, kind: QueryKind, request: Vec<u8>, timeout: Micros) {
        let call = self.send(kind, request, timeout);
        self.queries.entry(kind).or_default().in_flight = Some(call);
    }

    /// Removes a call, and returns its kind.
    pub(super) fn finish(&mut self, call: CallId) -> Option<QueryKind> {
        self.pending.remove(&call)
    }

    /// Whether this call is the query in flight of its kind.
    pub(super) fn is_in_flight(&self, kind: QueryKind, call: CallId) -> bool {
        self.queries
            .get(&kind)
            .is_some_and(|query| query.in_flight == Some(call))
    }

    /// Records that the query in flight of this kind was answered.
    pub(super) fn clear_in_flight(&mut self, kind: QueryKind) {
        if let Some(query) = self.queries.get_mut(&kind) {
            query.in_flight = None;
        }
    }

    /// Schedules a query for this time.
    pub(super) fn schedule(&mut self, kind: QueryKind, at: Micros) {
        if let Some(query) = self.queries.get_mut(&kind) {
            query.next_at = at;
        }
    }

    /// Prepares the confirming read, which goes to the server that gets the reads of the list. Returns false if it is
    /// in flight already.
    pub(super) fn prepare_confirmation(&mut self, now: Micros) -> bool {
        let server = self.server(QueryKind::Health);
        let query = self.queries.entry(QueryKind::Confirm).or_default();
        if query.in_flight.is_some() {
            return false;
        }
        query.next_at = now;
        query.server = server;
        true
    }

    /// Resets the backoff of a query.
    pub(super) fn record_success(&mut self, kind: QueryKind) {
        if let Some(query) = self.queries.get_mut(&kind) {
            query.backoff.reset();
        }
    }

    /// Schedules the next try of a failed query, after a backoff. Returns none if no such query is scheduled any more.
    pub(super) fn record_failure(
        &mut self,
        kind: QueryKind,
        now: Micros,
        rng: &mut Pcg64Mcg,
    ) -> Option<FailedQuery> {
        let query = self.queries.get_mut(&kind)?;
        query.in_flight = None;
        let is_first = query.backoff.failures() == 0;
        query.next_at = now + query.backoff.next_delay(rng);
        Some(FailedQuery {
            server: query.server,
            is_first,
        })
    }

    /// Sends a query to the next server from now on.
    pub(super) fn fail_over(&mut self, kind: QueryKind) {
        let server_count = self.server_count;
        if let Some(query) = self.queries.get_mut(&kind) {
            query.server = (query.server + 1) % server_count;
        }
    }

    /// Takes the calls that the caller is to send.
    pub(super) fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }
}
