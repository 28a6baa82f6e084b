//! Lists of hosts and members: read in steps, believed or not, and told host by host.
//!
//! A turn of the caller does so much work on them and no more, so that a long list, or one in which all changes, never
//! holds up decisions. Bad news is told first.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use maplethread_config::{HostEntry, HostState, ReadConsistency};
use rand_pcg::rand_core::Rng;

use super::{ConsulSource, LEAST_BETWEEN, Purpose, RepeatedQuery, Update};
use crate::Micros;
use crate::catalogue::{Entry, HostList, ListDifferences, Listing, MemberStatus, Members};
use crate::query::{Meta, next_index};
use crate::rows::STEP;
use crate::trust::Belief;

/// What telling one host costs, in the units of [`STEP`], the placer's part included.
const HOST: usize = 20;

/// An answer that waits to be read.
pub(super) struct Unread {
    pub(super) purpose: Purpose,
    pub(super) meta: Meta,
    pub(super) body: Vec<u8>,
}

/// The answer that is being read.
pub(super) enum ActiveRead {
    Hosts(Purpose, Meta, Listing),
    /// A list that is read and waits to be judged.
    HostsComplete(Purpose, Meta, HostList),
    Members(Members),
}

impl ConsulSource {
    /// Whether there is news that was not yet read to its end, or told.
    pub fn has_pending_work(&self) -> bool {
        self.active_read.is_some() || !self.unread_responses.is_empty() || !self.untold.is_empty()
    }

    /// Reads and tells all that is there, however long it takes: for a caller that stood still and must not decide
    /// by what was true before.
    pub fn catch_up(&mut self, now: Micros) {
        while self.has_pending_work() {
            self.digest(now);
        }
    }

    /// Does one turn's work on lists.
    pub(super) fn digest(&mut self, now: Micros) {
        let mut work = STEP;
        while work > 0 && self.has_pending_work() {
            if !self.untold.is_empty() {
                let count = self.untold.len().min(work.div_ceil(HOST));
                let names = self.untold.drain(..count).collect();
                self.tell(now, names);
                work = work.saturating_sub(count * HOST);
                continue;
            }
            let Some(reading) = self.active_read.take() else {
                self.begin();
                continue;
            };
            self.read_on(now, reading, &mut work);
        }
    }

    fn begin(&mut self) {
        let Some(Unread {
            purpose,
            meta,
            body,
        }) = self.unread_responses.pop_front()
        else {
            return;
        };
        self.active_read = Some(if purpose == Purpose::Members {
            ActiveRead::Members(Members::new(
                body,
                std::mem::take(&mut self.member_rows),
                self.known_names.max_entries * 4,
            ))
        } else {
            let last = std::mem::take(&mut self.last_host_rows);
            ActiveRead::Hosts(purpose, meta, Listing::new(body, last, &self.known_names))
        });
    }

    fn read_on(&mut self, now: Micros, reading: ActiveRead, work: &mut usize) {
        match reading {
            ActiveRead::Hosts(purpose, meta, mut listing) => {
                match listing.step(work, &self.known_names) {
                    Ok(false) => self.active_read = Some(ActiveRead::Hosts(purpose, meta, listing)),
                    result => {
                        let (listed, rows) = listing.finish();
                        self.last_host_rows = rows;
                        match result {
                            Err(why) => self.fail(now, purpose, &why),
                            Ok(_) => {
                                self.active_read =
                                    Some(ActiveRead::HostsComplete(purpose, meta, listed))
                            }
                        }
                    }
                }
            }
            // Comparing with what was known and dropping it costs about as much as reading the same rows again.
            ActiveRead::HostsComplete(purpose, meta, listed)
                if *work < listed.entries.len().min(STEP) =>
            {
                self.active_read = Some(ActiveRead::HostsComplete(purpose, meta, listed));
                *work = 0;
            }
            ActiveRead::HostsComplete(purpose, meta, listed) => {
                *work = work.saturating_sub(listed.entries.len());
                self.listing(now, purpose, meta, listed);
                self.well(purpose);
            }
            ActiveRead::Members(mut members) => match members.step(work) {
                Ok(false) => self.active_read = Some(ActiveRead::Members(members)),
                result => {
                    let (members, rows) = members.finish();
                    self.member_rows = rows;
                    if let Err(why) = result {
                        self.fail(now, Purpose::Members, &why);
                    } else {
                        self.members_now(members);
                        self.again(Purpose::Members, now + self.config.members_every_ms * 1000);
                        self.well(Purpose::Members);
                    }
                }
            },
        }
    }

    fn members_now(&mut self, members: BTreeMap<String, MemberStatus>) {
        if members != self.members {
            let nodes: BTreeSet<&String> = members.keys().chain(self.members.keys()).collect();
            let touched = |e: &&Arc<Entry>| nodes.contains(&e.node);
            self.untold.extend(
                self.entries
                    .values()
                    .filter(touched)
                    .map(|e| e.host.name.clone()),
            );
            self.members = members;
        }
    }

    /// The watch's answer: nothing but the index. Any other index is news, whichever way it went.
    pub(super) fn at_rest(&mut self, now: Micros, meta: Meta) {
        let moved = meta.index != self.index;
        self.index_watch.record_index(moved);
        if moved {
            self.again(Purpose::Health, now);
        } else {
            self.last_answer_at = Some(now);
            self.report.unchanged += 1;
            self.again(Purpose::Health, now + LEAST_BETWEEN);
        }
    }

    fn listing(&mut self, now: Micros, purpose: Purpose, meta: Meta, listed: HostList) {
        let differences = ListDifferences::between(&self.entries, &listed.entries);
        let consistent =
            purpose == Purpose::Confirm || self.config.reads == ReadConsistency::Consistent;
        if purpose == Purpose::Health {
            if std::mem::take(&mut self.is_index_only) {
                self.index_watch.refused();
            }
            let unannounced = meta.index == self.index
                && listed.invalid_entries.is_empty()
                && !differences.is_empty();
            let drawn = (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
            self.index_watch.record_full_read(now, unannounced, drawn);
            self.index = next_index(self.index, meta.index);
            self.again(purpose, now + LEAST_BETWEEN);
        } else {
            self.again(purpose, Micros::MAX);
        }
        for bad in listed.invalid_entries.iter().take(5) {
            tracing::debug!(%bad, "bad catalogue entry");
        }
        if listed.invalid_entries.len() != self.report.bad_entries {
            self.report.bad_entries = listed.invalid_entries.len();
            if let Some(first) = listed.invalid_entries.first() {
                tracing::warn!(count = listed.invalid_entries.len(), %first, "catalogue entries that can't be used");
            }
        }
        match self.trust.judge(
            now,
            meta,
            consistent,
            &listed,
            self.entries.len(),
            differences.removed_count,
        ) {
            Belief::Take => self.take(now, listed),
            Belief::Confirm => {
                tracing::warn!(
                    listed = listed.entries.len(),
                    have = self.entries.len(),
                    "a great loss; asking a leader"
                );
                // Bad news of hosts that it does list is not held up.
                for (name, entry) in &listed.entries {
                    if entry.host.state != HostState::Ready
                        && let Some(have) = self.entries.get_mut(name)
                    {
                        let have = Arc::make_mut(have);
                        (have.host.state, have.status) = (entry.host.state, entry.status);
                        self.untold.push_back(name.clone());
                    }
                }
                self.doubted = Some(listed);
                self.confirm(now);
            }
            Belief::Reject(why) => {
                self.report.rejected += 1;
                tracing::debug!(
                    why,
                    index = meta.index,
                    highest = self.trust.highest(),
                    "answer not taken"
                );
                if purpose == Purpose::Health {
                    // Another server is asked, from the beginning; and a leader, in case all went back.
                    self.fail_over(purpose);
                    self.index = 0;
                    self.again(purpose, now + 4 * LEAST_BETWEEN);
                    self.confirm(now);
                }
            }
        }
    }

    fn confirm(&mut self, now: Micros) {
        let server = self.loops.get(&Purpose::Health).map_or(0, |l| l.server);
        let waits = self
            .unread_responses
            .iter()
            .any(|u| u.purpose == Purpose::Confirm);
        let l = self.loops.entry(Purpose::Confirm).or_insert(RepeatedQuery {
            server,
            ..RepeatedQuery::default()
        });
        if l.in_flight.is_none() && !waits {
            (l.next_at, l.server) = (now, server);
            self.start_query(now, Purpose::Confirm);
        }
    }

    /// A listing counts.
    pub(super) fn take(&mut self, now: Micros, listed: HostList) {
        self.doubted = None;
        self.report.accepted_answers += 1;
        self.last_answer_at = Some(now);
        // An entry that can't be used any more does not lose its host, but nothing new goes there.
        let mut entries = listed.entries;
        for bad in &listed.invalid_entries {
            if let Some(have) = self.entries.get(&bad.name)
                && !entries.contains_key(&bad.name)
            {
                let mut kept = have.clone();
                Arc::make_mut(&mut kept).host.state = HostState::Draining;
                entries.insert(bad.name.clone(), kept);
            }
        }
        let differences = ListDifferences::between(&self.entries, &entries);
        self.entries = entries;
        self.untold.extend(differences.worse);
        self.untold.extend(differences.other);
        if !std::mem::replace(&mut self.began, true) {
            // The first list is told as a whole.
            let names = self.untold.drain(..).collect();
            self.tell(now, names);
            if self.entries.is_empty() {
                self.updates.push(Update::Hosts(Vec::new()));
            }
        }
    }

    /// Tells what these hosts now count as, if that changed.
    pub(super) fn tell(&mut self, now: Micros, names: Vec<String>) {
        let mut changed = Vec::new();
        for name in names {
            let Some(entry) = self.entries.get(&name) else {
                self.damping.told(now, &name, false);
                if let Some(gone) = self.published.remove(&name) {
                    changed.push(HostEntry {
                        state: HostState::Gone,
                        ..gone
                    });
                }
                continue;
            };
            let member = self
                .members
                .get(&entry.node)
                .map_or(HostState::Ready, |m| m.host_state());
            let good = entry.host.state == HostState::Ready && member == HostState::Ready;
            let counts = self.damping.told(now, &name, good);
            let state = if counts {
                HostState::Ready
            } else {
                HostState::Draining
            };
            let told = HostEntry {
                state,
                ..entry.host.clone()
            };
            if self.published.get(&name).is_none_or(|t| *t != told) {
                changed.push(told.clone());
                self.published.insert(name, told);
            }
        }
        if !changed.is_empty() {
            self.updates.push(Update::Hosts(changed));
        }
    }
}
