//! The hosts as the placer is given them: the accepted list, made worse by the gossip pool and by flap damping.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use maplethread_config::{DampingMode, HostEntry, HostState};
use maplethread_damping::{DampingPolicy, FlapDamping};

use crate::Micros;
use crate::catalogue::{EntriesByHost, HostList, ListDifferences, MemberStatus, UnhealthyMembers};

/// How long [`DampingMode::Hold`] holds back a host that is ready again.
const FIXED_HOLD: Micros = 3_000_000;

/// The accepted list, and what the placer was given of it.
pub(super) struct PublishedHosts {
    entries: EntriesByHost,
    members: UnhealthyMembers,
    /// Hosts as the placer last got them.
    published: BTreeMap<String, HostEntry>,
    damping: FlapDamping<String>,
    /// Hosts whose change the placer did not get yet, those that got worse first.
    unpublished: VecDeque<String>,
}

impl PublishedHosts {
    /// No hosts yet.
    pub(super) fn new(mode: DampingMode, max_hosts: usize, seed: u64) -> PublishedHosts {
        let policy = match mode {
            DampingMode::Penalty => DampingPolicy::Penalty,
            DampingMode::Off => DampingPolicy::Off,
            DampingMode::Hold => DampingPolicy::Hold(FIXED_HOLD),
        };
        PublishedHosts {
            entries: EntriesByHost::new(),
            members: UnhealthyMembers::new(),
            published: BTreeMap::new(),
            damping: FlapDamping::new(policy, max_hosts, seed),
            unpublished: VecDeque::new(),
        }
    }

    /// How many hosts are listed.
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// How many hosts are ready again and held back.
    pub(super) fn held_count(&self) -> usize {
        self.damping.suppressed_count()
    }

    /// When the next host that is held back counts as ready.
    pub(super) fn next_release(&self) -> Option<Micros> {
        self.damping.next_release()
    }

    /// How many hosts have changes that are not published yet.
    pub(super) fn unpublished_count(&self) -> usize {
        self.unpublished.len()
    }

    /// How a list differs from the accepted one.
    pub(super) fn differences(&self, list: &HostList) -> ListDifferences {
        ListDifferences::between(&self.entries, &list.entries)
    }

    /// Takes the members that are not alive.
    pub(super) fn apply_members(&mut self, members: UnhealthyMembers) {
        if members == self.members {
            return;
        }
        let nodes: BTreeSet<&String> = members.keys().chain(self.members.keys()).collect();
        let affected = self
            .entries
            .values()
            .filter(|entry| nodes.contains(&entry.node));
        self.unpublished
            .extend(affected.map(|entry| entry.host.name.clone()));
        self.members = members;
    }

    /// Takes from a list that is not accepted yet only the hosts that it names as not ready.
    pub(super) fn apply_degradations(&mut self, list: &HostList) {
        for (name, entry) in &list.entries {
            if entry.host.state != HostState::Ready
                && let Some(have) = self.entries.get_mut(name)
            {
                let have = Arc::make_mut(have);
                have.host.state = entry.host.state;
                have.status = entry.status;
                self.unpublished.push_back(name.clone());
            }
        }
    }

    /// Takes an accepted list.
    pub(super) fn apply_list(&mut self, list: HostList) {
        let mut entries = list.entries;
        // An entry that can't be used any more does not lose its host, but nothing new goes there.
        for invalid in &list.invalid_entries {
            if let Some(have) = self.entries.get(&invalid.name)
                && !entries.contains_key(&invalid.name)
            {
                let mut kept = have.clone();
                Arc::make_mut(&mut kept).host.state = HostState::Draining;
                entries.insert(invalid.name.clone(), kept);
            }
        }
        let differences = ListDifferences::between(&self.entries, &entries);
        self.entries = entries;
        self.unpublished.extend(differences.degraded);
        self.unpublished.extend(differences.other);
    }

    /// Publishes the changes of at most so many hosts; returns those that now count as something else.
    pub(super) fn publish_next(&mut self, now: Micros, max_hosts: usize) -> Vec<HostEntry> {
        let count = self.unpublished.len().min(max_hosts);
        let names: Vec<String> = self.unpublished.drain(..count).collect();
        self.publish(now, names)
    }

    /// Publishes the hosts whose hold is over.
    pub(super) fn publish_released(&mut self, now: Micros) -> Vec<HostEntry> {
        let released = self.damping.release_due(now);
        self.publish(now, released)
    }

    fn publish(&mut self, now: Micros, names: Vec<String>) -> Vec<HostEntry> {
        names
            .into_iter()
            .filter_map(|name| self.refresh(now, name))
            .collect()
    }

    /// The host as it now counts, if that differs from what the placer last got.
    fn refresh(&mut self, now: Micros, name: String) -> Option<HostEntry> {
        let Some(entry) = self.entries.get(&name) else {
            self.damping.observe(now, &name, false);
            let last = self.published.remove(&name)?;
            return Some(HostEntry {
                state: HostState::Gone,
                ..last
            });
        };
        let member_state = self
            .members
            .get(&entry.node)
            .map_or(HostState::Ready, |member: &MemberStatus| {
                member.host_state()
            });
        let is_good = entry.host.state == HostState::Ready && member_state == HostState::Ready;
        let state = if self.damping.observe(now, &name, is_good) {
            HostState::Ready
        } else {
            HostState::Draining
        };
        let host = HostEntry {
            state,
            ..entry.host.clone()
        };
        if self.published.get(&name) == Some(&host) {
            return None;
        }
        self.published.insert(name, host.clone());
        Some(host)
    }
}
