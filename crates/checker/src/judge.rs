//! The reader of a record: what it keeps in mind, and which rule looks at what. The rules are in files of their own.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use maplethread_wire::frame::{DuplicatePolicy, Frame, Reason};

use crate::figures::RuleParameters;
use crate::numbers::ReplicaIndexes;
use crate::read_late::ObserverDelay;
use crate::record::{HistoryEntry, Location, Observation, Outcome};
use crate::rule_1::{Absences, absences, unreadable};
use crate::verdict::{Verdict, Violation};

pub(crate) type Name = Arc<str>;

/// One attempt as the hosts saw it.
pub(crate) struct Attempt {
    /// Its place among those of its ask.
    pub(crate) number: u32,
    pub(crate) host: Name,
    pub(crate) link: u64,
    pub(crate) sent: u64,
    pub(crate) shown: usize,
    /// Nobody waits for it any more: refused, ended, called off, or its connection lost.
    pub(crate) over: Option<u64>,
    /// It surely never ran.
    pub(crate) never_ran: bool,
    /// The host is done with it.
    pub(crate) gone: bool,
    pub(crate) accepted: bool,
}

pub(crate) struct Placing {
    pub(crate) attempts: Vec<u64>,
    pub(crate) copies: DuplicatePolicy,
    pub(crate) class: String,
    pub(crate) asked: Option<usize>,
}

pub(crate) struct AskState {
    pub(crate) at: u64,
    pub(crate) deadline: u64,
    pub(crate) placer: Name,
    pub(crate) shown: usize,
    pub(crate) answer: Option<(u64, Outcome, usize)>,
    pub(crate) hung_up: Option<u64>,
    pub(crate) cut: Option<u64>,
}

/// What one life of one placer holds, as far as the hosts saw it.
#[derive(Default)]
pub(crate) struct Held {
    /// Attempts by service.
    pub(crate) by_service: BTreeMap<String, BTreeSet<u64>>,
}

pub(crate) struct Judge<'a> {
    pub(crate) figures: &'a RuleParameters,
    pub(crate) verdict: Verdict,
    pub(crate) at: u64,
    pub(crate) number: usize,
    pub(crate) asks: BTreeMap<Name, AskState>,
    /// Placings by request and the placer's life.
    pub(crate) placings: BTreeMap<(Name, Name, u64), Placing>,
    pub(crate) attempts: BTreeMap<u64, Attempt>,
    /// The attempts that were ever offered to each host.
    pub(crate) attempts_at: BTreeMap<Name, BTreeSet<u64>>,
    pub(crate) links: BTreeMap<(Name, u64), (Name, u64)>,
    pub(crate) held: BTreeMap<(Name, u64), Held>,
    pub(crate) services: BTreeMap<u64, (Name, u64, String)>,
    pub(crate) places: BTreeMap<Name, Location>,
    /// Rule 3: when each placer was told that a host takes nothing new, by host.
    pub(crate) barred: BTreeMap<(Name, Name), (u64, usize)>,
    pub(crate) inventory: BTreeMap<Name, (u64, usize)>,
    /// The same by a catalogue, and the highest index that each placer was told.
    pub(crate) catalogue: BTreeMap<(Name, Name), (u64, usize)>,
    pub(crate) told_index: BTreeMap<Name, u64>,
    /// The start of each host's process, and what the inventory tells of it.
    pub(crate) started: BTreeMap<Name, u64>,
    pub(crate) listed_start: BTreeMap<Name, u64>,
    /// Placers that have been told of a host's present start, since when.
    pub(crate) told_start: BTreeMap<(Name, Name), u64>,
    /// Offers to cold hosts, in the order in which they were read: when they may have arrived at the earliest, from
    /// whom, whether it knew, and the record.
    pub(crate) cold_offers: BTreeMap<Name, VecDeque<(u64, Name, bool, usize)>>,
    /// When attempts stopped counting in spreads, and spreads over their limit that are looked at once what was
    /// sent before must have been read everywhere.
    pub(crate) released: BTreeMap<u64, u64>,
    /// Those that stopped counting by their host's word alone.
    pub(crate) told_over: BTreeSet<u64>,
    /// Attempts that a host named anew to their placer, from when the placer must have read that.
    pub(crate) taken_over: BTreeMap<u64, u64>,
    pub(crate) spreads: VecDeque<(u64, String, u32, Vec<u64>)>,
    /// What a placer holds at a host, and the host has not named since it greeted, by host and connection.
    pub(crate) unnamed: BTreeMap<(Name, u64), BTreeSet<u64>>,
    /// Hosts that the inventory tells as gone.
    pub(crate) gone: BTreeSet<Name>,
    /// Tasks on lost connections, until when they count.
    pub(crate) orphans: VecDeque<(u64, Name, u64, Name)>,
    /// Offers sent while an earlier one was out: broken, unless that turns out to be over by this time.
    pub(crate) doubles: VecDeque<(u64, u64, Name, Vec<usize>)>,
    /// Times in which a placer stood still or was down.
    pub(crate) absences: BTreeMap<Name, Absences>,
    /// Times in which the inventory could not be read.
    pub(crate) unreadable: Vec<(u64, u64)>,
    /// How late the readers of the record were.
    pub(crate) read_late: ObserverDelay,
    /// Numbers that are leased.
    pub(crate) numbers: ReplicaIndexes,
}

/// Reads a record, in the order of its times, and tells which rules were broken.
pub fn check(records: &[HistoryEntry], figures: &RuleParameters) -> Verdict {
    let mut judge = Judge {
        figures,
        verdict: Verdict::default(),
        at: 0,
        number: 0,
        asks: BTreeMap::new(),
        placings: BTreeMap::new(),
        attempts: BTreeMap::new(),
        attempts_at: BTreeMap::new(),
        links: BTreeMap::new(),
        held: BTreeMap::new(),
        services: BTreeMap::new(),
        places: figures
            .hosts
            .iter()
            .map(|w| (w.host.clone(), w.clone()))
            .collect(),
        barred: BTreeMap::new(),
        inventory: BTreeMap::new(),
        catalogue: BTreeMap::new(),
        told_index: BTreeMap::new(),
        started: BTreeMap::new(),
        listed_start: BTreeMap::new(),
        told_start: BTreeMap::new(),
        cold_offers: BTreeMap::new(),
        released: BTreeMap::new(),
        told_over: BTreeSet::new(),
        taken_over: BTreeMap::new(),
        spreads: VecDeque::new(),
        unnamed: BTreeMap::new(),
        orphans: VecDeque::new(),
        gone: BTreeSet::new(),
        doubles: VecDeque::new(),
        absences: absences(records),
        unreadable: unreadable(records),
        read_late: ObserverDelay::default(),
        numbers: ReplicaIndexes::default(),
    };
    for (number, record) in records.iter().enumerate() {
        (judge.at, judge.number) = (record.at_us, number);
        let read_through = judge.hosts_read_through(&record.observation);
        judge.settle_spreads(read_through);
        judge.settle_doubles(read_through);
        judge.lose_orphans(record.at_us);
        judge.take(&record.observation);
    }
    let end = records.last().map_or(0, |r| r.at_us);
    judge.settle_spreads(u64::MAX);
    judge.settle_doubles(u64::MAX);
    judge.close(end);
    judge.close_numbers(end);
    judge.verdict
}

impl Judge<'_> {
    pub(crate) fn broken(&mut self, rule: u8, what: String, shown_by: Vec<usize>) {
        self.verdict.violations.push(Violation {
            rule,
            at_us: self.at,
            description: what,
            shown_by,
        });
    }

    fn take(&mut self, seen: &Observation) {
        let at = self.at;
        match seen {
            Observation::HostUp { host, started_ms } => {
                self.started.insert(host.clone(), *started_ms);
                self.told_start.retain(|(_, h), _| h != host);
                self.cold_offers.remove(host);
                // What the old process held is gone, and what it said of itself.
                self.drop_host(host);
                self.barred.retain(|(_, h), _| h != host);
            }
            Observation::HostDown { host } => self.drop_host(host),
            Observation::PlacerConnected {
                host,
                link,
                placer,
                incarnation: life,
            } => {
                self.links
                    .insert((host.clone(), *link), (placer.clone(), *life));
                let own_of =
                    |wire: &u64| self.services.get(wire).is_some_and(|(p, ..)| p == placer);
                let own = self.attempts_at(host).into_iter().filter(own_of).collect();
                self.unnamed.insert((host.clone(), *link), own);
                self.told_start
                    .entry((placer.clone(), host.clone()))
                    .or_insert(at);
            }
            Observation::LinkLost { host, link } => {
                let (mut unanswered, lost_at) = (Vec::new(), self.sent_to_host());
                for wire in self.attempts_at(host) {
                    let Some(attempt) = self.attempts.get_mut(&wire) else {
                        continue;
                    };
                    if attempt.link == *link {
                        attempt.over = attempt.over.or(Some(lost_at));
                        self.told_over.remove(&wire);
                        if !attempt.accepted {
                            unanswered.push(wire);
                        }
                    }
                }
                // The placer hears no more of what was not answered; of the rest once it is connected again.
                unanswered
                    .into_iter()
                    .for_each(|wire| self.release_at(wire, lost_at));
                self.unnamed.remove(&(host.clone(), *link));
                if let Some((placer, _)) = self.links.remove(&(host.clone(), *link)) {
                    let after = if self.gone.contains(host) {
                        0
                    } else {
                        self.figures.lost_after
                    };
                    self.orphans
                        .push_back((at + after, host.clone(), *link, placer));
                    self.orphans.make_contiguous().sort_by_key(|o| o.0);
                }
            }
            Observation::FrameFromPlacer { host, link, frame } => {
                self.placer_frame(host, *link, frame)
            }
            Observation::FromHost { host, link, frame } => self.host_frame(host, *link, frame),
            Observation::PlacementRequested {
                request,
                placer,
                budget_us,
                ..
            } => {
                let deadline = at + budget_us;
                let state = AskState {
                    at,
                    deadline,
                    placer: placer.clone(),
                    shown: self.number,
                    answer: None,
                    hung_up: None,
                    cut: None,
                };
                self.verdict.requests += 1;
                self.asks.insert(request.clone(), state);
            }
            Observation::Answered { request, outcome } => self.answered(request, outcome),
            Observation::ClientConnectionLost { request } => {
                if let Some(ask) = self.asks.get_mut(request) {
                    ask.cut = ask.cut.or(Some(at));
                }
            }
            Observation::HungUp { request } => {
                if let Some(ask) = self.asks.get_mut(request) {
                    ask.hung_up = ask.hung_up.or(Some(at));
                }
            }
            Observation::Inventory { ready, gone } => {
                // What a host without a connection held is lost as soon as it is told as gone.
                self.gone = gone.iter().cloned().collect();
                for orphan in self.orphans.iter_mut().filter(|o| self.gone.contains(&o.1)) {
                    orphan.0 = at;
                }
                self.orphans.make_contiguous().sort_by_key(|o| o.0);
                let listed: BTreeSet<&Name> = ready.iter().map(|(host, _)| host).collect();
                for host in self.places.keys() {
                    if listed.contains(host) {
                        self.inventory.remove(host);
                    } else {
                        self.inventory
                            .entry(host.clone())
                            .or_insert((at, self.number));
                    }
                }
                for (host, start) in ready {
                    if let Some(start) = start {
                        self.listed_start.insert(host.clone(), *start);
                    }
                }
            }
            Observation::Catalogue {
                placer,
                index,
                consistent,
                body,
            } => {
                self.catalogue_told(placer, *index, *consistent, body);
            }
            Observation::PlacerUp { placer } => {
                self.number_seen(seen);
                // A new life knows nothing of what the old one was told.
                self.catalogue.retain(|(p, _), _| p != placer);
                self.told_index.remove(placer);
            }
            Observation::NumberLocked { .. }
            | Observation::NumberFree { .. }
            | Observation::NoLeader { .. }
            | Observation::PlacerDown { .. }
            | Observation::PlacerPaused { .. }
            | Observation::PlacerGoesOn { .. } => self.number_seen(seen),
            Observation::ReadLate { reader, since } => self.read_late.note(*reader, *since),
            Observation::InventoryUnreadable => {}
        }
    }

    fn drop_host(&mut self, host: &Name) {
        let gone = self.attempts_at(host);
        for wire in &gone {
            let Some(attempt) = self.attempts.get_mut(wire) else {
                continue;
            };
            attempt.over = attempt.over.or(Some(self.at));
            attempt.gone = true;
            self.told_over.remove(wire);
        }
        gone.into_iter().for_each(|wire| self.release(wire));
    }

    /// The attempts whose last offer went to a host.
    pub(crate) fn attempts_at(&self, host: &Name) -> Vec<u64> {
        let is_there = |wire: &u64| self.attempts.get(wire).is_some_and(|a| a.host == *host);
        self.attempts_at
            .get(host)
            .into_iter()
            .flatten()
            .copied()
            .filter(is_there)
            .collect()
    }

    fn placer_frame(&mut self, host: &Name, link: u64, frame: &Frame) {
        let at = self.at;
        match frame {
            Frame::Offer(offer) => {
                let Some((placer, life)) = self.links.get(&(host.clone(), link)).cloned() else {
                    return;
                };
                self.verdict.offers += 1;
                let request: Name = offer.request_id.as_str().into();
                self.rule_2(&request, &placer, life, host, offer);
                self.rule_3(&placer, host);
                self.rule_4(&placer, host);
                let attempt = Attempt {
                    number: offer.prior_attempts,
                    host: host.clone(),
                    link,
                    sent: at,
                    shown: self.number,
                    over: None,
                    never_ran: false,
                    gone: false,
                    accepted: false,
                };
                self.attempts.insert(offer.attempt_id, attempt);
                self.attempts_at
                    .entry(host.clone())
                    .or_default()
                    .insert(offer.attempt_id);
                self.hold(offer.attempt_id, &placer, life, &offer.service);
                self.rule_5(&placer, life, host, &offer.service, &offer.class);
            }
            Frame::Cancel(wire) | Frame::Stop(wire) => {
                let sent = self.sent_to_host();
                self.told_over.remove(wire);
                if let Some(attempt) = self.attempts.get_mut(wire) {
                    attempt.over = attempt.over.or(Some(sent));
                    // The placer counts it no more.
                    if !attempt.accepted || matches!(frame, Frame::Cancel(_)) {
                        self.release_at(*wire, sent);
                    }
                }
            }
            _ => {}
        }
    }

    fn host_frame(&mut self, host: &Name, link: u64, frame: &Frame) {
        let at = self.at;
        match frame {
            Frame::Refused(wire, ..) => {
                if let Some(attempt) = self.attempts.get_mut(wire) {
                    attempt.over = attempt.over.or(Some(at));
                    (attempt.never_ran, attempt.gone) = (true, true);
                }
                self.release_as_told(*wire);
            }
            Frame::Ended(wire, reason, ran, _) => {
                if let Some(attempt) = self.attempts.get_mut(wire) {
                    attempt.over = attempt.over.or(Some(at));
                    attempt.gone = true;
                    attempt.never_ran |= !ran && *reason != Reason::Error && !attempt.accepted;
                }
                self.release_as_told(*wire);
            }
            Frame::Accepted(wire, _) => {
                if let Some(attempt) = self.attempts.get_mut(wire) {
                    attempt.accepted = true;
                }
            }
            Frame::HeldEnd => {
                for wire in self
                    .unnamed
                    .remove(&(host.clone(), link))
                    .unwrap_or_default()
                {
                    self.release(wire);
                }
            }
            Frame::Held(offer, _) => {
                if let Some(unnamed) = self.unnamed.get_mut(&(host.clone(), link)) {
                    unnamed.remove(&offer.attempt_id);
                }
                if let Some((placer, life)) = self.links.get(&(host.clone(), link)).cloned() {
                    // Its own are known already; those of an earlier life are this one's from now on.
                    let own = self
                        .services
                        .get(&offer.attempt_id)
                        .is_some_and(|(p, l, _)| (p, *l) == (&placer, life));
                    let ended = self.attempts.get(&offer.attempt_id).is_some_and(|a| {
                        a.over.is_some()
                            && self.links.values().any(|l| *l == (placer.clone(), life))
                            && a.link == link
                    });
                    if !own && !ended && self.services.contains_key(&offer.attempt_id) {
                        self.release(offer.attempt_id);
                        self.hold(offer.attempt_id, &placer, life, &offer.service);
                        let read = self.reached(&placer, at) + self.figures.slack;
                        self.taken_over.insert(offer.attempt_id, read);
                    }
                }
            }
            Frame::Drain => {
                if let Some((placer, _)) = self.links.get(&(host.clone(), link)).cloned() {
                    let told = self.reached(&placer, at);
                    self.barred
                        .entry((placer, host.clone()))
                        .or_insert((told, self.number));
                }
            }
            _ => {}
        }
    }
}
