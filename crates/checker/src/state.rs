//! The state of a check at an entry of the history, shared by the modules that implement the rules.

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

/// Identifier of an attempt in frames, unique across all processes of its placer.
pub(crate) type AttemptId = u64;

/// One process of a placer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PlacerProcess {
    pub(crate) placer: Name,
    /// Start time of the process, as in [`Observation::PlacerConnected`](crate::Observation::PlacerConnected).
    pub(crate) generation: u64,
}

/// A connection, identified by the number that its host assigned.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ConnectionKey {
    pub(crate) host: Name,
    pub(crate) connection: u64,
}

/// A pair of placer and host, the key of what one has received about the other.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PlacerAndHost {
    pub(crate) placer: Name,
    pub(crate) host: Name,
}

/// One attempt, as observed at the hosts.
pub(crate) struct Attempt {
    /// Number of earlier attempts for the same request.
    pub(crate) prior_attempts: u32,
    pub(crate) host: Name,
    pub(crate) connection: u64,
    pub(crate) sent_at: u64,
    /// Index of the history entry with its offer.
    pub(crate) evidence: usize,
    /// When the attempt was rejected, ended, stopped or cancelled, or its connection was lost.
    pub(crate) ended_at: Option<u64>,
    /// Whether the task is certain not to have run in this attempt.
    pub(crate) never_ran: bool,
    pub(crate) is_accepted: bool,
}

impl Attempt {
    /// Records when the attempt ended. The first recorded time is kept.
    pub(crate) fn end(&mut self, at: u64) {
        self.ended_at = self.ended_at.or(Some(at));
    }
}

/// Key of the attempts that one process of a placer made for a request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RequestKey {
    // The first field, so that all attempts of a request form one range of keys.
    pub(crate) request: Name,
    pub(crate) process: PlacerProcess,
}

/// The attempts that one process of a placer made for a request, see [`RequestKey`].
pub(crate) struct RequestAttempts {
    pub(crate) attempts: Vec<AttemptId>,
    pub(crate) duplicate_policy: DuplicatePolicy,
    pub(crate) class: String,
    /// Index of the history entry in which the client sent the request, if it was recorded.
    pub(crate) request_entry: Option<usize>,
}

/// A request, as observed at its client.
pub(crate) struct RequestState {
    pub(crate) requested_at: u64,
    pub(crate) deadline: u64,
    pub(crate) placer: Name,
    /// Index of the history entry with the request.
    pub(crate) evidence: usize,
    /// Index of the history entry with its first answer.
    pub(crate) answer_entry: Option<usize>,
    pub(crate) disconnected_at: Option<u64>,
    pub(crate) connection_lost_at: Option<u64>,
}

/// A notification that a host accepts no new tasks: received by one placer, or published in the inventory.
#[derive(Clone, Copy)]
pub(crate) struct Notification {
    /// When the placer had received it, or when the inventory was published, µs.
    pub(crate) known_at: u64,
    /// Index of the history entry that shows it.
    pub(crate) entry: usize,
}

/// Rule 3: the hosts that accept no new tasks, by the source of that information.
#[derive(Default)]
pub(crate) struct DrainedHosts {
    /// Announced by the host itself.
    pub(crate) draining: BTreeMap<PlacerAndHost, Notification>,
    pub(crate) missing_from_inventory: BTreeMap<Name, Notification>,
    pub(crate) missing_from_catalogue: BTreeMap<PlacerAndHost, Notification>,
    /// The catalogue index up to which each placer has received responses.
    pub(crate) highest_catalogue_index: BTreeMap<Name, u64>,
}

/// An offer to a warming host.
pub(crate) struct WarmUpOffer {
    /// The earliest time at which the offer can have arrived, µs.
    pub(crate) arrived: u64,
    pub(crate) placer: Name,
    /// Whether the placer had been informed of the host's present start.
    pub(crate) is_informed: bool,
    pub(crate) entry: usize,
}

/// Rule 4: start times of hosts, and offers to hosts that have just started.
#[derive(Default)]
pub(crate) struct WarmUp {
    /// Actual start time of each host's process, Unix time in ms.
    pub(crate) started_ms: BTreeMap<Name, u64>,
    /// Start time of each host according to the inventory or the catalogue, Unix time in ms.
    pub(crate) listed_start_ms: BTreeMap<Name, u64>,
    /// Placers to which a host has announced its present start.
    pub(crate) announced: BTreeSet<PlacerAndHost>,
    /// Offers to each host, in the order in which they were read.
    pub(crate) offers: BTreeMap<Name, VecDeque<WarmUpOffer>>,
}

/// The placer process and the service for which an attempt counts in a spread.
pub(crate) struct Placement {
    pub(crate) process: PlacerProcess,
    pub(crate) service: String,
}

/// A spread above its limit. It is a violation if it is still above the limit at `due`.
pub(crate) struct PendingSpreadCheck {
    pub(crate) due: u64,
    pub(crate) description: String,
    pub(crate) max_tasks: u32,
    pub(crate) attempts: Vec<AttemptId>,
}

/// A lost connection. Its tasks count in the spread until `due`.
pub(crate) struct LostConnection {
    pub(crate) due: u64,
    pub(crate) key: ConnectionKey,
    pub(crate) placer: Name,
}

/// Rule 5: attempts in flight and running tasks.
#[derive(Default)]
pub(crate) struct Spreads {
    /// Counted attempts by placer process and service.
    pub(crate) attempts_by_service: BTreeMap<PlacerProcess, BTreeMap<String, BTreeSet<AttemptId>>>,
    pub(crate) placements: BTreeMap<AttemptId, Placement>,
    /// When each attempt stopped counting, µs.
    pub(crate) stopped_counting_at: BTreeMap<AttemptId, u64>,
    /// Attempts that stopped counting only because their host reported their end.
    pub(crate) ended_by_host_report: BTreeSet<AttemptId>,
    /// Attempts that a host has reported to a later process of their placer, with the time by which that process must
    /// have read the report, µs.
    pub(crate) reattached_at: BTreeMap<AttemptId, u64>,
    /// Spreads above their limit, to be checked again once everything sent before them has been read.
    pub(crate) pending_checks: VecDeque<PendingSpreadCheck>,
    /// Attempts that a placer counts at a host but that the host has not reported since the placer connected.
    pub(crate) not_yet_reported: BTreeMap<ConnectionKey, BTreeSet<AttemptId>>,
    /// Hosts that the inventory lists as gone.
    pub(crate) gone_hosts: BTreeSet<Name>,
    pub(crate) lost_connections: VecDeque<LostConnection>,
}

/// Rule 2: an offer that was sent while an earlier attempt seemed to be in flight. It is a violation if the earlier
/// attempt has not ended by `due`.
pub(crate) struct PendingAttemptCheck {
    pub(crate) due: u64,
    /// The attempt that must have ended.
    pub(crate) attempt: AttemptId,
    pub(crate) request: Name,
    pub(crate) evidence: Vec<usize>,
}

/// The state of a check.
pub(crate) struct Checker<'a> {
    pub(crate) parameters: &'a RuleParameters,
    pub(crate) verdict: Verdict,
    /// Time of the current entry, µs.
    pub(crate) now: u64,
    /// Index of the current entry.
    pub(crate) entry_index: usize,
    pub(crate) locations: BTreeMap<Name, Location>,
    pub(crate) availability: Availability,
    pub(crate) observer_delay: ObserverDelay,
    pub(crate) replica_indexes: ReplicaIndexes,
    pub(crate) requests: BTreeMap<Name, RequestState>,
    pub(crate) attempts: BTreeMap<AttemptId, Attempt>,
    /// All attempts that were ever offered to each host.
    pub(crate) attempts_by_host: BTreeMap<Name, BTreeSet<AttemptId>>,
    pub(crate) attempts_by_request: BTreeMap<RequestKey, RequestAttempts>,
    pub(crate) pending_attempts: VecDeque<PendingAttemptCheck>,
    pub(crate) connections: BTreeMap<ConnectionKey, PlacerProcess>,
    pub(crate) drained_hosts: DrainedHosts,
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
            drained_hosts: DrainedHosts::default(),
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

    /// The earliest time at which the frame that a host reads now can have been sent, µs.
    pub(crate) fn sent_to_host(&self) -> u64 {
        self.observer_delay.sent_to_host(self.now)
    }

    /// The earliest time at which the data that an observer reads now can have arrived, µs.
    pub(crate) fn earliest_arrival(&self, observer: Observer) -> u64 {
        let slack = self.parameters.timing_slack_us;
        self.observer_delay
            .earliest_arrival(observer, self.now, slack)
    }

    /// The attempts whose latest offer was sent to this host.
    pub(crate) fn attempts_last_offered_to(&self, host: &Name) -> Vec<AttemptId> {
        let is_last_host = |id: &AttemptId| {
            self.attempts
                .get(id)
                .is_some_and(|attempt| attempt.host == *host)
        };
        self.attempts_by_host
            .get(host)
            .into_iter()
            .flatten()
            .copied()
            .filter(is_last_host)
            .collect()
    }

    /// A notification that is sent to a placer now: received at once, or when the placer's downtime ends.
    pub(crate) fn notification_for(&self, placer: &Name) -> Notification {
        Notification {
            known_at: self.availability.reached_placer_at(placer, self.now),
            entry: self.entry_index,
        }
    }
}
