//! The hosts as published to the placer: the accepted list. A ready host becomes draining if its node's agent is not
//! alive or flap damping suppresses it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use maplethread_config::{DampingMode, HostEntry, HostState};
use maplethread_damping::{DampingPolicy, FlapDamping};

use crate::Micros;
use crate::catalogue::{EntriesByHost, HostList, ListDifferences, MemberStatus, UnhealthyMembers};

/// How long [`DampingMode::Hold`] suppresses a host that is ready again.
const FIXED_HOLD_DURATION: Micros = 3_000_000;

/// The accepted list, and the hosts as last published to the placer.
pub(super) struct PublishedHosts {
    entries: EntriesByHost,
    members: UnhealthyMembers,
    /// Hosts as last published to the placer.
    published: BTreeMap<String, HostEntry>,
    damping: FlapDamping<String>,
    /// Hosts with unpublished changes, those whose state got worse first.
    unpublished: VecDeque<String>,
}

impl PublishedHosts {
    /// Creates an empty list.
    pub(super) fn new(mode: DampingMode, max_hosts: usize, seed: u64) -> PublishedHosts {
        let policy = match mode {
            DampingMode::Penalty => DampingPolicy::Penalty,
            DampingMode::Off => DampingPolicy::Off,
            DampingMode::Hold => DampingPolicy::Hold(FIXED_HOLD_DURATION),
        };
        PublishedHosts {
            entries: EntriesByHost::new(),
            members: UnhealthyMembers::new(),
            published: BTreeMap::new(),
            damping: FlapDamping::new(policy, max_hosts, seed),
            unpublished: VecDeque::new(),
        }
    }

    /// Number of listed hosts.
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Number of hosts that are ready again but suppressed by damping.
    pub(super) fn suppressed_count(&self) -> usize {
        self.damping.suppressed_count()
    }

    /// When the next suppressed host is released.
    pub(super) fn next_release(&self) -> Option<Micros> {
        self.damping.next_release()
    }

    /// Number of hosts with unpublished changes.
    pub(super) fn unpublished_count(&self) -> usize {
        self.unpublished.len()
    }

    /// How a list differs from the accepted one.
    pub(super) fn differences(&self, list: &HostList) -> ListDifferences {
        ListDifferences::between(&self.entries, &list.entries)
    }

    /// Applies a list of the members that are not alive.
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

    /// Applies those hosts of an unconfirmed list that are not ready in it.
    pub(super) fn apply_degradations(&mut self, list: &HostList) {
        for (name, entry) in &list.entries {
            if entry.host.state != HostState::Ready
                && let Some(current) = self.entries.get_mut(name)
            {
                let current = Arc::make_mut(current);
                current.host.state = entry.host.state;
                current.status = entry.status;
                self.unpublished.push_back(name.clone());
            }
        }
    }

    /// Applies an accepted list.
    pub(super) fn apply_list(&mut self, list: HostList) {
        let mut entries = list.entries;
        // A host whose entry has become invalid is kept, but drained.
        for invalid in &list.invalid_entries {
            if let Some(current) = self.entries.get(&invalid.name)
                && !entries.contains_key(&invalid.name)
            {
                let mut kept = current.clone();
                Arc::make_mut(&mut kept).host.state = HostState::Draining;
                entries.insert(invalid.name.clone(), kept);
            }
        }
        let differences = ListDifferences::between(&self.entries, &entries);
        self.entries = entries;
        self.unpublished.extend(differences.degraded);
        self.unpublished.extend(differences.other);
    }

    /// Publishes the changes of at most `max_hosts` hosts, and returns those that differ from what was last published.
    pub(super) fn publish_next(&mut self, now: Micros, max_hosts: usize) -> Vec<HostEntry> {
        let count = self.unpublished.len().min(max_hosts);
        let names: Vec<String> = self.unpublished.drain(..count).collect();
        self.publish(now, names)
    }

    /// Publishes the hosts that are no longer suppressed.
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

    /// The host in its current state, if that differs from what was last published.
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
        let is_ready = entry.host.state == HostState::Ready && member_state == HostState::Ready;
        let state = if self.damping.observe(now, &name, is_ready) {
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
