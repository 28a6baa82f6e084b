//! What the checker knows at an entry of the history. The rules are checked in modules of their own, which share this.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use maplethread_wire::frame::DuplicatePolicy;

use crate::availability::Availability;
use crate::history::{HistoryEntry, Location, Observer};
use crate::observer_delay::ObserverDelay;
use crate::parameters::RuleParameters;
use crate::replica_indexes::ReplicaIndexes;
use crate::verdict::{Verdict, Violation};

/// The name of a host, a placer or a request.
pub(crate) type Name = Arc<str>;

/// The number of an attempt in frames, unique over all processes of its placer.
pub(crate) type AttemptId = u64;

/// One process of a placer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Incarnation {
    pub(crate) placer: Name,
    pub(crate) number: u64,
}

/// A connection, by the number that its host gave it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ConnectionKey {
    pub(crate) host: Name,
    pub(crate) connection: u64,
}

/// What a placer knows of a host.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PlacerAndHost {
    pub(crate) placer: Name,
    pub(crate) host: Name,
}

/// One attempt as the hosts saw it.
pub(crate) struct Attempt {
    /// How many attempts of its request came before.
    pub(crate) prior_attempts: u32,
    pub(crate) host: Name,
    pub(crate) connection: u64,
    pub(crate) sent_at: u64,
    /// The entry of its offer.
    pub(crate) evidence: usize,
    /// Since when nobody waits for it: rejected, ended, cancelled, or its connection was lost.
    pub(crate) over_since: Option<u64>,
    /// It surely never ran.
    pub(crate) never_ran: bool,
    pub(crate) is_accepted: bool,
}

impl Attempt {
    /// Nobody waits for it from this time on, unless that was so before.
    pub(crate) fn end(&mut self, at: u64) {
        self.over_since = self.over_since.or(Some(at));
    }
}

/// The attempts that one process of a placer made for a request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RequestKey {
    // First, so that all attempts of a request are a range.
    pub(crate) request: Name,
    pub(crate) incarnation: Incarnation,
}

/// See [`RequestKey`].
pub(crate) struct RequestAttempts {
    pub(crate) attempts: Vec<AttemptId>,
    pub(crate) duplicate_policy: DuplicatePolicy,
    pub(crate) class: String,
    /// The entry of the request, if a client was seen to send it.
    pub(crate) request_entry: Option<usize>,
}

/// A request as its client saw it.
pub(crate) struct RequestState {
    pub(crate) requested_at: u64,
    pub(crate) deadline: u64,
    pub(crate) placer: Name,
    /// The entry of the request.
    pub(crate) evidence: usize,
    /// The entry of its first answer.
    pub(crate) answer_entry: Option<usize>,
    pub(crate) disconnected_at: Option<u64>,
    pub(crate) connection_lost_at: Option<u64>,
}

/// News that reached a placer, or the inventory.
#[derive(Clone, Copy)]
pub(crate) struct News {
    /// When it was known, µs.
    pub(crate) known_at: u64,
    /// The entry that shows it.
    pub(crate) entry: usize,
}

/// Rule 3: the hosts that take nothing new, by source.
#[derive(Default)]
pub(crate) struct ClosedHosts {
    /// Announced by the host itself.
    pub(crate) draining: BTreeMap<PlacerAndHost, News>,
    pub(crate) missing_from_inventory: BTreeMap<Name, News>,
    pub(crate) missing_from_catalogue: BTreeMap<PlacerAndHost, News>,
    /// The highest index of the catalogue's answers to each placer.
    pub(crate) highest_catalogue_index: BTreeMap<Name, u64>,
}

/// An offer to a host that warms up.
pub(crate) struct WarmUpOffer {
    /// The earliest time at which it can have arrived.
    pub(crate) arrived: u64,
    pub(crate) placer: Name,
    /// Whether the placer knew that the host has just started.
    pub(crate) is_informed: bool,
    pub(crate) entry: usize,
}

/// Rule 4: hosts that have just started.
#[derive(Default)]
pub(crate) struct WarmUp {
    /// The start of each host's process, Unix time in ms.
    pub(crate) started_ms: BTreeMap<Name, u64>,
    /// The start of each host by the inventory or the catalogue, Unix time in ms.
    pub(crate) listed_start_ms: BTreeMap<Name, u64>,
    /// Placers that a host has told its present start.
    pub(crate) announced: BTreeSet<PlacerAndHost>,
    /// Offers in the order in which they were read.
    pub(crate) offers: BTreeMap<Name, VecDeque<WarmUpOffer>>,
}

/// Who counts an attempt in a spread.
pub(crate) struct Placement {
    pub(crate) incarnation: Incarnation,
    pub(crate) service: String,
}

/// A spread over its limit, unless that turns out to be over by `due`.
pub(crate) struct PendingSpreadCheck {
    pub(crate) due: u64,
    pub(crate) description: String,
    pub(crate) max_tasks: u32,
    pub(crate) attempts: Vec<AttemptId>,
}

/// A lost connection, whose tasks count until `due`.
pub(crate) struct LostConnection {
    pub(crate) due: u64,
    pub(crate) key: ConnectionKey,
    pub(crate) placer: Name,
}

/// Rule 5: attempts in flight and running tasks.
#[derive(Default)]
pub(crate) struct Spreads {
    /// Attempts by service, of each process of a placer.
    pub(crate) attempts_by_service: BTreeMap<Incarnation, BTreeMap<String, BTreeSet<AttemptId>>>,
    pub(crate) placements: BTreeMap<AttemptId, Placement>,
    /// When attempts stopped counting.
    pub(crate) released_at: BTreeMap<AttemptId, u64>,
    /// Attempts that stopped counting by their host's report alone.
    pub(crate) released_by_host: BTreeSet<AttemptId>,
    /// Attempts that a host has reported to another process of their placer, from when that must have read it.
    pub(crate) reattached_at: BTreeMap<AttemptId, u64>,
    /// Spreads over their limit, to be checked once all that was sent before must have been read.
    pub(crate) pending: VecDeque<PendingSpreadCheck>,
    /// What a placer counts at a host and the host has not reported since the placer connected.
    pub(crate) not_yet_reported: BTreeMap<ConnectionKey, BTreeSet<AttemptId>>,
    /// Hosts that the inventory lists as gone.
    pub(crate) gone_hosts: BTreeSet<Name>,
    pub(crate) lost_connections: VecDeque<LostConnection>,
}

/// Rule 2: an offer that was sent while an earlier attempt was in flight, unless that turns out to be over by `due`.
pub(crate) struct PendingAttemptCheck {
    pub(crate) due: u64,
    /// The earlier attempt.
    pub(crate) attempt: AttemptId,
    pub(crate) request: Name,
    pub(crate) evidence: Vec<usize>,
}

/// The state of a check.
pub(crate) struct Checker<'a> {
    pub(crate) parameters: &'a RuleParameters,
    pub(crate) verdict: Verdict,
    /// The time of the present entry, µs.
    pub(crate) now: u64,
    /// The index of the present entry.
    pub(crate) entry_index: usize,
    pub(crate) locations: BTreeMap<Name, Location>,
    pub(crate) availability: Availability,
    pub(crate) observer_delay: ObserverDelay,
    pub(crate) replica_indexes: ReplicaIndexes,
    pub(crate) requests: BTreeMap<Name, RequestState>,
    pub(crate) attempts: BTreeMap<AttemptId, Attempt>,
    /// The attempts that were ever offered to each host.
    pub(crate) attempts_by_host: BTreeMap<Name, BTreeSet<AttemptId>>,
    pub(crate) attempts_by_request: BTreeMap<RequestKey, RequestAttempts>,
    pub(crate) pending_attempts: VecDeque<PendingAttemptCheck>,
    pub(crate) connections: BTreeMap<ConnectionKey, Incarnation>,
    pub(crate) closed_hosts: ClosedHosts,
    pub(crate) warm_up: WarmUp,
    pub(crate) spreads: Spreads,
}

impl<'a> Checker<'a> {
    pub(crate) fn new(history: &[HistoryEntry], parameters: &'a RuleParameters) -> Checker<'a> {
        let locations = parameters
            .hosts
            .iter()
            .map(|location| (location.host.clone(), location.clone()))
            .collect();
        Checker {
            parameters,
            verdict: Verdict::default(),
            now: 0,
            entry_index: 0,
            locations,
            availability: Availability::from(history),
            observer_delay: ObserverDelay::default(),
            replica_indexes: ReplicaIndexes::default(),
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            attempts_by_host: BTreeMap::new(),
            attempts_by_request: BTreeMap::new(),
            pending_attempts: VecDeque::new(),
            connections: BTreeMap::new(),
            closed_hosts: ClosedHosts::default(),
            warm_up: WarmUp::default(),
            spreads: Spreads::default(),
        }
    }

    pub(crate) fn report_violation(&mut self, rule: u8, description: String, evidence: Vec<usize>) {
        self.verdict.violations.push(Violation {
            rule,
            at_us: self.now,
            description,
            evidence,
        });
    }

    /// When that which a host reads now was sent at the earliest, µs.
    pub(crate) fn sent_to_host(&self) -> u64 {
        self.observer_delay.sent_to_host(self.now)
    }

    /// The earliest time at which that which is read now can have come, µs.
    pub(crate) fn earliest_arrival(&self, observer: Observer) -> u64 {
        let slack = self.parameters.timing_slack_us;
        self.observer_delay
            .earliest_arrival(observer, self.now, slack)
    }

    /// The attempts whose last offer went to a host.
    pub(crate) fn attempts_last_offered_to(&self, host: &Name) -> Vec<AttemptId> {
        let is_there = |id: &AttemptId| {
            self.attempts
                .get(id)
                .is_some_and(|attempt| attempt.host == *host)
        };
        self.attempts_by_host
            .get(host)
            .into_iter()
            .flatten()
            .copied()
            .filter(is_there)
            .collect()
    }

    /// News that reaches a placer from now on: at once, or when its downtime ends.
    pub(crate) fn news_for(&self, placer: &Name) -> News {
        News {
            known_at: self.availability.reached_placer_at(placer, self.now),
            entry: self.entry_index,
        }
    }
}
