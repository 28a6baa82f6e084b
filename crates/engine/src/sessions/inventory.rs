//! The list of hosts as discovery tells it, and what of it the decider hears.

use std::collections::BTreeSet;

use maplethread::{Event, Resources, UpdateScope};
use maplethread_config::{HostEntry, HostState, Inventory};

use crate::audit_log::AuditEntry;
use crate::engine::Engine;
use crate::hosts::{ConnectionState, Host};
use crate::ids::stable_hash;
use crate::{Decide, HostId};

impl<D: Decide> Engine<D> {
    /// News of the whole list of hosts. Hosts that are not in it are gone.
    pub fn apply_inventory(&mut self, now: u64, inventory: &Inventory) {
        self.now = self.now.max(now);
        self.has_inventory = true;
        let named: BTreeSet<&str> = inventory.hosts.iter().map(|e| e.name.as_str()).collect();
        for host in self
            .hosts
            .values_mut()
            .filter(|h| !named.contains(&*h.name))
        {
            host.inventory_state = HostState::Gone;
        }
        for entry in &inventory.hosts {
            self.apply_entry(entry);
        }
        let listings = self
            .hosts
            .values_mut()
            .filter(|h| h.was_tried || h.inventory_state == HostState::Gone);
        let machines = listings.map(Host::refresh_entry).collect();
        self.events.push(Event::EndpointsUpdated {
            scope: UpdateScope::Full,
            machines,
        });
        for id in self.hosts.keys().copied().collect::<Vec<_>>() {
            self.forget_departed(id);
        }
    }

    /// News of some hosts, each as it now is; those that are gone have that state.
    pub fn apply_host_changes(&mut self, now: u64, entries: &[HostEntry]) {
        self.now = self.now.max(now);
        self.has_inventory = true;
        let mut machines = Vec::new();
        for entry in entries {
            if entry.state == HostState::Gone
                && !self.hosts_by_name.contains_key(entry.name.as_str())
            {
                continue;
            }
            let id = self.apply_entry(entry);
            let Some(host) = self.hosts.get_mut(&id) else {
                continue;
            };
            let forgotten =
                host.inventory_state == HostState::Gone && host.connection == ConnectionState::Down;
            if host.was_tried || forgotten {
                machines.push(host.refresh_entry());
            }
            self.forget_departed(id);
        }
        if !machines.is_empty() {
            self.events.push(Event::EndpointsUpdated {
                scope: UpdateScope::Delta,
                machines,
            });
        }
    }

    /// This placer's number from now on, where it is leased.
    pub fn set_replica_index(&mut self, number: Option<u32>) {
        self.events.push(Event::ReplicaIndexChanged(number));
    }

    pub(super) fn apply_entry(&mut self, entry: &HostEntry) -> HostId {
        let id = match self.hosts_by_name.get(entry.name.as_str()) {
            Some(&id) => id,
            None => {
                let (id, epoch) = match self.departed_hosts.remove(entry.name.as_str()) {
                    Some((id, epoch, _)) => (id, epoch),
                    None => {
                        self.next_host += 1;
                        (HostId(self.next_host - 1), 0)
                    }
                };
                let mut host = Host::new(id, entry, stable_hash(&entry.name));
                (host.connection_epoch, host.epoch_at_return) = (epoch, epoch);
                let place = [&entry.zone, &entry.cell, &entry.kind].map(|p| p.as_str().into());
                self.audit_log.add(|| AuditEntry::Host {
                    machine: id.0,
                    name: host.name.clone(),
                    topology: place,
                });
                self.hosts_by_name.insert(host.name.clone(), id);
                self.hosts.insert(id, host);
                id
            }
        };
        let cell = self
            .cell_ids
            .id_of(&format!("{}/{}", entry.zone, entry.cell));
        let zones = &self.config.identity.zones;
        let zone = zones.iter().position(|z| *z == entry.zone).unwrap_or(0) as u32;
        let kind = self
            .config
            .kinds
            .iter()
            .position(|k| k.name == entry.kind)
            .unwrap_or(0);
        let Some(host) = self.hosts.get_mut(&id) else {
            return id;
        };
        (host.entry.zone, host.entry.cell, host.entry.kind) = (zone, cell, kind);
        let free = entry.unallocated_cores.zip(entry.unallocated_memory_gib);
        host.entry.unallocated = free.map(|(cores, memory)| Resources::new(cores, memory));
        (host.inventory_state, host.inventory_started_ms) = (entry.state, entry.started_ms);
        let moved = host.address != entry.address;
        host.address = entry.address;
        let (link, epoch, born) = (host.connection, host.connection_epoch, host.epoch_at_return);
        if moved && link != ConnectionState::Down {
            self.disconnect_host(id);
        } else if link == ConnectionState::Down && entry.state != HostState::Gone && epoch == born {
            self.connect(id, epoch);
        }
        id
    }

    /// Tells the decider what is new of one host.
    pub(super) fn publish_host(&mut self, id: HostId) {
        if let Some(host) = self.hosts.get_mut(&id) {
            host.was_tried = true;
            let machines = vec![host.refresh_entry()];
            self.events.push(Event::EndpointsUpdated {
                scope: UpdateScope::Delta,
                machines,
            });
        }
    }

    /// A host that is gone and has no connection holds nothing any more. Its number is kept for its return, for as many
    /// hosts as there may be; beyond that the one that is gone for longest is forgotten.
    pub(super) fn forget_departed(&mut self, id: HostId) {
        let over = |h: &Host| {
            h.inventory_state == HostState::Gone && h.connection == ConnectionState::Down
        };
        if self.hosts.get(&id).is_some_and(over) {
            self.fail_all_attempts(id);
            if let Some(host) = self.hosts.remove(&id) {
                self.hosts_by_name.remove(&host.name);
                self.departed_hosts
                    .insert(host.name, (id, host.connection_epoch, self.now));
                if self.departed_hosts.len() > self.config.hosts.max_hosts
                    && let Some(oldest) = self
                        .departed_hosts
                        .iter()
                        .min_by_key(|(_, g)| g.2)
                        .map(|(name, _)| name.clone())
                {
                    self.departed_hosts.remove(&oldest);
                }
            }
        }
    }
}
