//! Lists of hosts and members: read in steps, believed or not, and told host by host.
//!
//! A turn of the caller does so much work on them and no more, so that a long list, or one in which all changes, never
//! holds up decisions. Bad news is told first.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use maplethread_config::{HostEntry, HostState, ReadConsistency};
use rand_pcg::rand_core::Rng;

use super::{ConsulSource, MIN_READ_INTERVAL, QueryKind, RepeatedQuery, Update};
use crate::Micros;
use crate::catalogue::{
    CatalogueEntry, HostList, HostListReader, ListDifferences, MemberListReader, MemberStatus,
};
use crate::confidence::Assessment;
use crate::json_rows::STEP_BUDGET;
use crate::query::{ResponseMeta, next_blocking_index};

/// What telling one host costs, in the units of [`STEP`], the placer's part included.
const HOST_UPDATE_COST: usize = 20;

/// An answer that waits to be read.
pub(super) struct PendingResponse {
    pub(super) purpose: QueryKind,
    pub(super) meta: ResponseMeta,
    pub(super) body: Vec<u8>,
}

/// The answer that is being read.
pub(super) enum ActiveRead {
    Hosts(QueryKind, ResponseMeta, HostListReader),
    /// A list that is read and waits to be judged.
    HostsComplete(QueryKind, ResponseMeta, HostList),
    Members(MemberListReader),
}

impl ConsulSource {
    /// Whether there is news that was not yet read to its end, or told.
    pub fn has_pending_work(&self) -> bool {
        self.active_read.is_some()
            || !self.unread_responses.is_empty()
            || !self.unpublished.is_empty()
    }

    /// Reads and tells all that is there, however long it takes: for a caller that stood still and must not decide
    /// by what was true before.
    pub fn catch_up(&mut self, now: Micros) {
        while self.has_pending_work() {
            self.process_lists(now);
        }
    }

    /// Does one turn's work on lists.
    pub(super) fn process_lists(&mut self, now: Micros) {
        let mut work = STEP_BUDGET;
        while work > 0 && self.has_pending_work() {
            if !self.unpublished.is_empty() {
                let count = self.unpublished.len().min(work.div_ceil(HOST_UPDATE_COST));
                let names = self.unpublished.drain(..count).collect();
                self.publish_hosts(now, names);
                work = work.saturating_sub(count * HOST_UPDATE_COST);
                continue;
            }
            let Some(reading) = self.active_read.take() else {
                self.start_reading();
                continue;
            };
            self.continue_reading(now, reading, &mut work);
        }
    }

    fn start_reading(&mut self) {
        let Some(PendingResponse {
            purpose,
            meta,
            body,
        }) = self.unread_responses.pop_front()
        else {
            return;
        };
        self.active_read = Some(if purpose == QueryKind::Members {
            ActiveRead::Members(MemberListReader::new(
                body,
                std::mem::take(&mut self.last_member_rows),
                self.known_names.max_entries * 4,
            ))
        } else {
            let last = std::mem::take(&mut self.last_host_rows);
            ActiveRead::Hosts(
                purpose,
                meta,
                HostListReader::new(body, last, &self.known_names),
            )
        });
    }

    fn continue_reading(&mut self, now: Micros, reading: ActiveRead, work: &mut usize) {
        match reading {
            ActiveRead::Hosts(purpose, meta, mut listing) => {
                match listing.step(work, &self.known_names) {
                    Ok(false) => self.active_read = Some(ActiveRead::Hosts(purpose, meta, listing)),
                    result => {
                        let (listed, rows) = listing.finish();
                        self.last_host_rows = rows;
                        match result {
                            Err(why) => self.record_failure(now, purpose, &why),
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
                if *work < listed.entries.len().min(STEP_BUDGET) =>
            {
                self.active_read = Some(ActiveRead::HostsComplete(purpose, meta, listed));
                *work = 0;
            }
            ActiveRead::HostsComplete(purpose, meta, listed) => {
                *work = work.saturating_sub(listed.entries.len());
                self.handle_host_list(now, purpose, meta, listed);
                self.record_success(purpose);
            }
            ActiveRead::Members(mut members) => match members.step(work) {
                Ok(false) => self.active_read = Some(ActiveRead::Members(members)),
                result => {
                    let (members, rows) = members.finish();
                    self.last_member_rows = rows;
                    if let Err(why) = result {
                        self.record_failure(now, QueryKind::Members, &why);
                    } else {
                        self.apply_members(members);
                        self.schedule(
                            QueryKind::Members,
                            now + self.config.member_read_interval_ms * 1000,
                        );
                        self.record_success(QueryKind::Members);
                    }
                }
            },
        }
    }

    fn apply_members(&mut self, members: BTreeMap<String, MemberStatus>) {
        if members != self.members {
            let nodes: BTreeSet<&String> = members.keys().chain(self.members.keys()).collect();
            let touched = |e: &&Arc<CatalogueEntry>| nodes.contains(&e.node);
            self.unpublished.extend(
                self.entries
                    .values()
                    .filter(touched)
                    .map(|e| e.host.name.clone()),
            );
            self.members = members;
        }
    }

    /// The watch's answer: nothing but the index. Any other index is news, whichever way it went.
    pub(super) fn handle_index_response(&mut self, now: Micros, meta: ResponseMeta) {
        let moved = meta.index != self.index;
        self.index_watch.record_index(moved);
        if moved {
            self.schedule(QueryKind::Health, now);
        } else {
            self.last_answer_at = Some(now);
            self.report.unchanged_answers += 1;
            self.schedule(QueryKind::Health, now + MIN_READ_INTERVAL);
        }
    }

    fn handle_host_list(
        &mut self,
        now: Micros,
        purpose: QueryKind,
        meta: ResponseMeta,
        listed: HostList,
    ) {
        let differences = ListDifferences::between(&self.entries, &listed.entries);
        let consistent =
            purpose == QueryKind::Confirm || self.config.consistency == ReadConsistency::Consistent;
        if purpose == QueryKind::Health {
            if std::mem::take(&mut self.is_index_only) {
                self.index_watch.disable();
            }
            let unannounced = meta.index == self.index
                && listed.invalid_entries.is_empty()
                && !differences.is_empty();
            let drawn = (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
            self.index_watch.record_full_read(now, unannounced, drawn);
            self.index = next_blocking_index(self.index, meta.index);
            self.schedule(purpose, now + MIN_READ_INTERVAL);
        } else {
            self.schedule(purpose, Micros::MAX);
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
        match self.confidence.assess(
            now,
            meta,
            consistent,
            &listed,
            self.entries.len(),
            differences.removed_count,
        ) {
            Assessment::Accept => self.accept_list(now, listed),
            Assessment::Confirm => {
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
                        self.unpublished.push_back(name.clone());
                    }
                }
                self.unconfirmed_list = Some(listed);
                self.request_confirmation(now);
            }
            Assessment::Reject(why) => {
                self.report.rejected_answers += 1;
                tracing::debug!(
                    why,
                    index = meta.index,
                    highest = self.confidence.highest_index(),
                    "answer not taken"
                );
                if purpose == QueryKind::Health {
                    // Another server is asked, from the beginning; and a leader, in case all went back.
                    self.fail_over(purpose);
                    self.index = 0;
                    self.schedule(purpose, now + 4 * MIN_READ_INTERVAL);
                    self.request_confirmation(now);
                }
            }
        }
    }

    fn request_confirmation(&mut self, now: Micros) {
        let server = self.queries.get(&QueryKind::Health).map_or(0, |l| l.server);
        let waits = self
            .unread_responses
            .iter()
            .any(|u| u.purpose == QueryKind::Confirm);
        let l = self
            .queries
            .entry(QueryKind::Confirm)
            .or_insert(RepeatedQuery {
                server,
                ..RepeatedQuery::default()
            });
        if l.in_flight.is_none() && !waits {
            (l.next_at, l.server) = (now, server);
            self.start_query(now, QueryKind::Confirm);
        }
    }

    /// A listing counts.
    pub(super) fn accept_list(&mut self, now: Micros, listed: HostList) {
        self.unconfirmed_list = None;
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
        self.unpublished.extend(differences.degraded);
        self.unpublished.extend(differences.other);
        if !std::mem::replace(&mut self.has_list, true) {
            // The first list is told as a whole.
            let names = self.unpublished.drain(..).collect();
            self.publish_hosts(now, names);
            if self.entries.is_empty() {
                self.updates.push(Update::Hosts(Vec::new()));
            }
        }
    }

    /// Tells what these hosts now count as, if that changed.
    pub(super) fn publish_hosts(&mut self, now: Micros, names: Vec<String>) {
        let mut changed = Vec::new();
        for name in names {
            let Some(entry) = self.entries.get(&name) else {
                self.damping.observe(now, &name, false);
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
            let counts = self.damping.observe(now, &name, good);
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
