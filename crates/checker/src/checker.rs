//! The reader of a record: what it keeps in mind, and which rule looks at what. The rules are in files of their own.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use maplethread_wire::frame::{DuplicatePolicy, Frame, Reason};

use crate::history::{HistoryEntry, Location, Observation, Outcome};
use crate::observer_delay::ObserverDelay;
use crate::parameters::RuleParameters;
use crate::replica_indexes::ReplicaIndexes;
use crate::rule_1_final_answer::{Downtime, downtimes, unreadable_inventory_spans};
use crate::verdict::{Verdict, Violation};

pub(crate) type Name = Arc<str>;

/// One attempt as the hosts saw it.
pub(crate) struct Attempt {
    /// Its place among those of its ask.
    pub(crate) number: u32,
    pub(crate) host: Name,
    pub(crate) connection: u64,
    pub(crate) sent_at: u64,
    pub(crate) evidence: usize,
    /// Nobody waits for it any more: refused, ended, called off, or its connection lost.
    pub(crate) over_since: Option<u64>,
    /// It surely never ran.
    pub(crate) never_ran: bool,
    /// The host is done with it.
    pub(crate) is_released: bool,
    pub(crate) is_accepted: bool,
}

pub(crate) struct RequestAttempts {
    pub(crate) attempts: Vec<u64>,
    pub(crate) copies: DuplicatePolicy,
    pub(crate) class: String,
    pub(crate) request_entry: Option<usize>,
}

pub(crate) struct RequestState {
    pub(crate) requested_at: u64,
    pub(crate) deadline: u64,
    pub(crate) placer: Name,
    pub(crate) evidence: usize,
    pub(crate) answer: Option<(u64, Outcome, usize)>,
    pub(crate) disconnected_at: Option<u64>,
    pub(crate) connection_lost_at: Option<u64>,
}

/// What one life of one placer holds, as far as the hosts saw it.
#[derive(Default)]
pub(crate) struct PlacerLoad {
    /// Attempts by service.
    pub(crate) attempts_by_service: BTreeMap<String, BTreeSet<u64>>,
}

pub(crate) struct Checker<'a> {
    pub(crate) parameters: &'a RuleParameters,
    pub(crate) verdict: Verdict,
    pub(crate) now: u64,
    pub(crate) entry_index: usize,
    pub(crate) requests: BTreeMap<Name, RequestState>,
    /// Placings by request and the placer's life.
    pub(crate) attempts_by_request: BTreeMap<(Name, Name, u64), RequestAttempts>,
    pub(crate) attempts: BTreeMap<u64, Attempt>,
    /// The attempts that were ever offered to each host.
    pub(crate) attempts_by_host: BTreeMap<Name, BTreeSet<u64>>,
    pub(crate) connections: BTreeMap<(Name, u64), (Name, u64)>,
    pub(crate) placements: BTreeMap<(Name, u64), PlacerLoad>,
    pub(crate) placement_of_attempt: BTreeMap<u64, (Name, u64, String)>,
    pub(crate) locations: BTreeMap<Name, Location>,
    /// Rule 3: when each placer was told that a host takes nothing new, by host.
    pub(crate) drain_announced: BTreeMap<(Name, Name), (u64, usize)>,
    pub(crate) missing_from_inventory: BTreeMap<Name, (u64, usize)>,
    /// The same by a catalogue, and the highest index that each placer was told.
    pub(crate) missing_from_catalogue: BTreeMap<(Name, Name), (u64, usize)>,
    pub(crate) highest_catalogue_index: BTreeMap<Name, u64>,
    /// The start of each host's process, and what the inventory tells of it.
    pub(crate) host_started_ms: BTreeMap<Name, u64>,
    pub(crate) listed_start_ms: BTreeMap<Name, u64>,
    /// Placers that have been told of a host's present start, since when.
    pub(crate) start_announced: BTreeMap<(Name, Name), u64>,
    /// Offers to cold hosts, in the order in which they were read: when they may have arrived at the earliest, from
    /// whom, whether it knew, and the record.
    pub(crate) warm_up_offers: BTreeMap<Name, VecDeque<(u64, Name, bool, usize)>>,
    /// When attempts stopped counting in spreads, and spreads over their limit that are looked at once what was
    /// sent before must have been read everywhere.
    pub(crate) released_at: BTreeMap<u64, u64>,
    /// Those that stopped counting by their host's word alone.
    pub(crate) released_by_host: BTreeSet<u64>,
    /// Attempts that a host named anew to their placer, from when the placer must have read that.
    pub(crate) reattached_at: BTreeMap<u64, u64>,
    pub(crate) pending_spread_checks: VecDeque<(u64, String, u32, Vec<u64>)>,
    /// What a placer holds at a host, and the host has not named since it greeted, by host and connection.
    pub(crate) not_yet_reported: BTreeMap<(Name, u64), BTreeSet<u64>>,
    /// Hosts that the inventory tells as gone.
    pub(crate) gone_hosts: BTreeSet<Name>,
    /// Tasks on lost connections, until when they count.
    pub(crate) lost_connections: VecDeque<(u64, Name, u64, Name)>,
    /// Offers sent while an earlier one was out: broken, unless that turns out to be over by this time.
    pub(crate) pending_attempt_checks: VecDeque<(u64, u64, Name, Vec<usize>)>,
    /// Times in which a placer stood still or was down.
    pub(crate) downtimes: BTreeMap<Name, Downtime>,
    /// Times in which the inventory could not be read.
    pub(crate) unreadable_inventory: Vec<(u64, u64)>,
    /// How late the readers of the record were.
    pub(crate) observer_delay: ObserverDelay,
    /// Numbers that are leased.
    pub(crate) replica_indexes: ReplicaIndexes,
}

/// Reads a record, in the order of its times, and tells which rules were broken.
pub fn check(records: &[HistoryEntry], figures: &RuleParameters) -> Verdict {
    let mut judge = Checker {
        parameters: figures,
        verdict: Verdict::default(),
        now: 0,
        entry_index: 0,
        requests: BTreeMap::new(),
        attempts_by_request: BTreeMap::new(),
        attempts: BTreeMap::new(),
        attempts_by_host: BTreeMap::new(),
        connections: BTreeMap::new(),
        placements: BTreeMap::new(),
        placement_of_attempt: BTreeMap::new(),
        locations: figures
            .hosts
            .iter()
            .map(|w| (w.host.clone(), w.clone()))
            .collect(),
        drain_announced: BTreeMap::new(),
        missing_from_inventory: BTreeMap::new(),
        missing_from_catalogue: BTreeMap::new(),
        highest_catalogue_index: BTreeMap::new(),
        host_started_ms: BTreeMap::new(),
        listed_start_ms: BTreeMap::new(),
        start_announced: BTreeMap::new(),
        warm_up_offers: BTreeMap::new(),
        released_at: BTreeMap::new(),
        released_by_host: BTreeSet::new(),
        reattached_at: BTreeMap::new(),
        pending_spread_checks: VecDeque::new(),
        not_yet_reported: BTreeMap::new(),
        lost_connections: VecDeque::new(),
        gone_hosts: BTreeSet::new(),
        pending_attempt_checks: VecDeque::new(),
        downtimes: downtimes(records),
        unreadable_inventory: unreadable_inventory_spans(records),
        observer_delay: ObserverDelay::default(),
        replica_indexes: ReplicaIndexes::default(),
    };
    for (number, record) in records.iter().enumerate() {
        (judge.now, judge.entry_index) = (record.at_us, number);
        let read_through = judge.hosts_read_through(&record.observation);
        judge.settle_spread_limits(read_through);
        judge.settle_concurrent_attempts(read_through);
        judge.release_lost_connections(record.at_us);
        judge.apply(&record.observation);
    }
    let end = records.last().map_or(0, |r| r.at_us);
    judge.settle_spread_limits(u64::MAX);
    judge.settle_concurrent_attempts(u64::MAX);
    judge.finish_requests(end);
    judge.finish_replica_indexes(end);
    judge.verdict
}

impl Checker<'_> {
    pub(crate) fn report_violation(&mut self, rule: u8, what: String, shown_by: Vec<usize>) {
        self.verdict.violations.push(Violation {
            rule,
            at_us: self.now,
            description: what,
            evidence: shown_by,
        });
    }

    fn apply(&mut self, seen: &Observation) {
        let at = self.now;
        match seen {
            Observation::HostStarted { host, started_ms } => {
                self.host_started_ms.insert(host.clone(), *started_ms);
                self.start_announced.retain(|(_, h), _| h != host);
                self.warm_up_offers.remove(host);
                // What the old process held is gone, and what it said of itself.
                self.release_host(host);
                self.drain_announced.retain(|(_, h), _| h != host);
            }
            Observation::HostStopped { host } => self.release_host(host),
            Observation::PlacerConnected {
                host,
                link,
                placer,
                incarnation: life,
            } => {
                self.connections
                    .insert((host.clone(), *link), (placer.clone(), *life));
                let own_of = |wire: &u64| {
                    self.placement_of_attempt
                        .get(wire)
                        .is_some_and(|(p, ..)| p == placer)
                };
                let own = self
                    .attempts_last_offered_to(host)
                    .into_iter()
                    .filter(own_of)
                    .collect();
                self.not_yet_reported.insert((host.clone(), *link), own);
                self.start_announced
                    .entry((placer.clone(), host.clone()))
                    .or_insert(at);
            }
            Observation::ConnectionLost { host, link } => {
                let (mut unanswered, lost_at) = (Vec::new(), self.sent_to_host());
                for wire in self.attempts_last_offered_to(host) {
                    let Some(attempt) = self.attempts.get_mut(&wire) else {
                        continue;
                    };
                    if attempt.connection == *link {
                        attempt.over_since = attempt.over_since.or(Some(lost_at));
                        self.released_by_host.remove(&wire);
                        if !attempt.is_accepted {
                            unanswered.push(wire);
                        }
                    }
                }
                // The placer hears no more of what was not answered; of the rest once it is connected again.
                unanswered
                    .into_iter()
                    .for_each(|wire| self.release_at(wire, lost_at));
                self.not_yet_reported.remove(&(host.clone(), *link));
                if let Some((placer, _)) = self.connections.remove(&(host.clone(), *link)) {
                    let after = if self.gone_hosts.contains(host) {
                        0
                    } else {
                        self.parameters.lost_after_us
                    };
                    self.lost_connections
                        .push_back((at + after, host.clone(), *link, placer));
                    self.lost_connections.make_contiguous().sort_by_key(|o| o.0);
                }
            }
            Observation::FrameFromPlacer { host, link, frame } => {
                self.apply_placer_frame(host, *link, frame)
            }
            Observation::FrameFromHost { host, link, frame } => {
                self.apply_host_frame(host, *link, frame)
            }
            Observation::PlacementRequested {
                request,
                placer,
                budget_us,
                ..
            } => {
                let deadline = at + budget_us;
                let state = RequestState {
                    requested_at: at,
                    deadline,
                    placer: placer.clone(),
                    evidence: self.entry_index,
                    answer: None,
                    disconnected_at: None,
                    connection_lost_at: None,
                };
                self.verdict.requests += 1;
                self.requests.insert(request.clone(), state);
            }
            Observation::Answered { request, outcome } => self.record_answer(request, outcome),
            Observation::ClientConnectionLost { request } => {
                if let Some(ask) = self.requests.get_mut(request) {
                    ask.connection_lost_at = ask.connection_lost_at.or(Some(at));
                }
            }
            Observation::ClientDisconnected { request } => {
                if let Some(ask) = self.requests.get_mut(request) {
                    ask.disconnected_at = ask.disconnected_at.or(Some(at));
                }
            }
            Observation::InventoryReplaced { ready, gone } => {
                // What a host without a connection held is lost as soon as it is told as gone.
                self.gone_hosts = gone.iter().cloned().collect();
                for orphan in self
                    .lost_connections
                    .iter_mut()
                    .filter(|o| self.gone_hosts.contains(&o.1))
                {
                    orphan.0 = at;
                }
                self.lost_connections.make_contiguous().sort_by_key(|o| o.0);
                let listed: BTreeSet<&Name> = ready.iter().map(|(host, _)| host).collect();
                for host in self.locations.keys() {
                    if listed.contains(host) {
                        self.missing_from_inventory.remove(host);
                    } else {
                        self.missing_from_inventory
                            .entry(host.clone())
                            .or_insert((at, self.entry_index));
                    }
                }
                for (host, start) in ready {
                    if let Some(start) = start {
                        self.listed_start_ms.insert(host.clone(), *start);
                    }
                }
            }
            Observation::CatalogueAnswered {
                placer,
                index,
                consistent,
                body,
            } => {
                self.apply_catalogue_answer(placer, *index, *consistent, body);
            }
            Observation::PlacerStarted { placer } => {
                self.observe_replica_index(seen);
                // A new life knows nothing of what the old one was told.
                self.missing_from_catalogue.retain(|(p, _), _| p != placer);
                self.highest_catalogue_index.remove(placer);
            }
            Observation::ReplicaIndexLocked { .. }
            | Observation::ReplicaIndexReleased { .. }
            | Observation::CatalogueLeaderLost { .. }
            | Observation::PlacerStopped { .. }
            | Observation::PlacerPaused { .. }
            | Observation::PlacerResumed { .. } => self.observe_replica_index(seen),
            Observation::ObserverDelayed { reader, since } => {
                self.observer_delay.set_delay(*reader, *since)
            }
            Observation::InventoryUnreadable => {}
        }
    }

    fn release_host(&mut self, host: &Name) {
        let gone = self.attempts_last_offered_to(host);
        for wire in &gone {
            let Some(attempt) = self.attempts.get_mut(wire) else {
                continue;
            };
            attempt.over_since = attempt.over_since.or(Some(self.now));
            attempt.is_released = true;
            self.released_by_host.remove(wire);
        }
        gone.into_iter().for_each(|wire| self.release_now(wire));
    }

    /// The attempts whose last offer went to a host.
    pub(crate) fn attempts_last_offered_to(&self, host: &Name) -> Vec<u64> {
        let is_there = |wire: &u64| self.attempts.get(wire).is_some_and(|a| a.host == *host);
        self.attempts_by_host
            .get(host)
            .into_iter()
            .flatten()
            .copied()
            .filter(is_there)
            .collect()
    }

    fn apply_placer_frame(&mut self, host: &Name, link: u64, frame: &Frame) {
        let at = self.now;
        match frame {
            Frame::Offer(offer) => {
                let Some((placer, life)) = self.connections.get(&(host.clone(), link)).cloned()
                else {
                    return;
                };
                self.verdict.offers += 1;
                let request: Name = offer.request_id.as_str().into();
                self.check_offer_repetition(&request, &placer, life, host, offer);
                self.check_drained_host(&placer, host);
                self.check_warm_up_budget(&placer, host);
                let attempt = Attempt {
                    number: offer.prior_attempts,
                    host: host.clone(),
                    connection: link,
                    sent_at: at,
                    evidence: self.entry_index,
                    over_since: None,
                    never_ran: false,
                    is_released: false,
                    is_accepted: false,
                };
                self.attempts.insert(offer.attempt_id, attempt);
                self.attempts_by_host
                    .entry(host.clone())
                    .or_default()
                    .insert(offer.attempt_id);
                self.record_placement(offer.attempt_id, &placer, life, &offer.service);
                self.check_spread_limit(&placer, life, host, &offer.service, &offer.class);
            }
            Frame::Cancel(wire) | Frame::Stop(wire) => {
                let sent = self.sent_to_host();
                self.released_by_host.remove(wire);
                if let Some(attempt) = self.attempts.get_mut(wire) {
                    attempt.over_since = attempt.over_since.or(Some(sent));
                    // The placer counts it no more.
                    if !attempt.is_accepted || matches!(frame, Frame::Cancel(_)) {
                        self.release_at(*wire, sent);
                    }
                }
            }
            _ => {}
        }
    }

    fn apply_host_frame(&mut self, host: &Name, link: u64, frame: &Frame) {
        let at = self.now;
        match frame {
            Frame::Refused(wire, ..) => {
                if let Some(attempt) = self.attempts.get_mut(wire) {
                    attempt.over_since = attempt.over_since.or(Some(at));
                    (attempt.never_ran, attempt.is_released) = (true, true);
                }
                self.release_by_host(*wire);
            }
            Frame::Ended(wire, reason, ran, _) => {
                if let Some(attempt) = self.attempts.get_mut(wire) {
                    attempt.over_since = attempt.over_since.or(Some(at));
                    attempt.is_released = true;
                    attempt.never_ran |= !ran && *reason != Reason::Error && !attempt.is_accepted;
                }
                self.release_by_host(*wire);
            }
            Frame::Accepted(wire, _) => {
                if let Some(attempt) = self.attempts.get_mut(wire) {
                    attempt.is_accepted = true;
                }
            }
            Frame::HeldEnd => {
                for wire in self
                    .not_yet_reported
                    .remove(&(host.clone(), link))
                    .unwrap_or_default()
                {
                    self.release_now(wire);
                }
            }
            Frame::Held(offer, _) => {
                if let Some(unnamed) = self.not_yet_reported.get_mut(&(host.clone(), link)) {
                    unnamed.remove(&offer.attempt_id);
                }
                if let Some((placer, life)) = self.connections.get(&(host.clone(), link)).cloned() {
                    // Its own are known already; those of an earlier life are this one's from now on.
                    let own = self
                        .placement_of_attempt
                        .get(&offer.attempt_id)
                        .is_some_and(|(p, l, _)| (p, *l) == (&placer, life));
                    let ended = self.attempts.get(&offer.attempt_id).is_some_and(|a| {
                        a.over_since.is_some()
                            && self
                                .connections
                                .values()
                                .any(|l| *l == (placer.clone(), life))
                            && a.connection == link
                    });
                    if !own && !ended && self.placement_of_attempt.contains_key(&offer.attempt_id) {
                        self.release_now(offer.attempt_id);
                        self.record_placement(offer.attempt_id, &placer, life, &offer.service);
                        let read =
                            self.reached_placer_at(&placer, at) + self.parameters.timing_slack_us;
                        self.reattached_at.insert(offer.attempt_id, read);
                    }
                }
            }
            Frame::Drain => {
                if let Some((placer, _)) = self.connections.get(&(host.clone(), link)).cloned() {
                    let told = self.reached_placer_at(&placer, at);
                    self.drain_announced
                        .entry((placer, host.clone()))
                        .or_insert((told, self.entry_index));
                }
            }
            _ => {}
        }
    }
}
