//! The inventory of hosts, and the updates that the decider gets of it.

use std::collections::BTreeSet;

use maplethread::{Event, Micros, Resources, UpdateScope};
use maplethread_config::{HostEntry, HostState, Inventory};

use crate::audit_log::AuditEntry;
use crate::decide::Decide;
use crate::engine::Engine;
use crate::host::{ConnectionState, DepartedHost, Host};
use crate::ids::HostId;

impl<D: Decide> Engine<D> {
    /// Applies a full inventory. Hosts that are not in it are gone. `now` is in µs.
    pub fn apply_inventory(&mut self, now: Micros, inventory: &Inventory) {
        self.now = self.now.max(now);
        self.has_inventory = true;
        let listed: BTreeSet<&str> = inventory.hosts.iter().map(|e| e.name.as_str()).collect();
        for host in self
            .hosts
            .values_mut()
            .filter(|h| !listed.contains(&*h.name))
        {
            host.inventory_state = HostState::Gone;
        }
        for entry in &inventory.hosts {
            self.apply_entry(entry);
        }
        let published = self
            .hosts
            .values_mut()
            .filter(|h| h.was_tried || h.inventory_state == HostState::Gone);
        let machines = published.map(Host::refresh_entry).collect();
        self.events.push(Event::EndpointsUpdated {
            scope: UpdateScope::Full,
            machines,
        });
        for id in self.hosts.keys().copied().collect::<Vec<_>>() {
            self.remove_departed(id);
        }
    }

    /// Applies changed entries of the inventory; a host that has left it has the state `Gone`. `now` is in µs.
    pub fn apply_host_changes(&mut self, now: Micros, entries: &[HostEntry]) {
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
            if host.was_tried || host.is_departed() {
                machines.push(host.refresh_entry());
            }
            self.remove_departed(id);
        }
        if !machines.is_empty() {
            self.events.push(Event::EndpointsUpdated {
                scope: UpdateScope::Delta,
                machines,
            });
        }
    }

    /// Sets the index of this placer among its replicas, if indexes are leased; `None` while it holds no lease.
    pub fn set_replica_index(&mut self, index: Option<u32>) {
        self.events.push(Event::ReplicaIndexChanged(index));
    }

    /// Applies the entry of one host. Connects to a new host, and drops the connection if the address has changed.
    fn apply_entry(&mut self, entry: &HostEntry) -> HostId {
        let id = match self.hosts_by_name.get(entry.name.as_str()) {
            Some(&id) => id,
            None => self.add_host(entry),
        };
        let cell = self
            .cell_ids
            .id_of(&format!("{}/{}", entry.zone, entry.cell));
        let zones = &self.config.identity.zones;
        let zone = zones.iter().position(|z| *z == entry.zone).unwrap_or(0) as u32;
        let kinds = &self.config.kinds;
        let kind = kinds
            .iter()
            .position(|kind| kind.name == entry.kind)
            .unwrap_or(0);
        let Some(host) = self.hosts.get_mut(&id) else {
            return id;
        };
        (host.entry.zone, host.entry.cell, host.entry.kind) = (zone, cell, kind);
        let unallocated = entry.unallocated_cores.zip(entry.unallocated_memory_gib);
        host.entry.unallocated = unallocated.map(|(cores, memory)| Resources::new(cores, memory));
        (host.inventory_state, host.inventory_started_ms) = (entry.state, entry.started_ms);
        let has_moved = std::mem::replace(&mut host.address, entry.address) != entry.address;
        let is_down = host.connection == ConnectionState::Down;
        let epoch = host.connection_epoch;
        let was_never_connected = epoch == host.epoch_at_return;
        if has_moved && !is_down {
            self.disconnect_host(id);
        } else if is_down && entry.state != HostState::Gone && was_never_connected {
            self.connect(id, epoch);
        }
        id
    }

    /// Adds a host that is new to the inventory, or that returns to it and keeps its id.
    fn add_host(&mut self, entry: &HostEntry) -> HostId {
        let (id, epoch) = match self.departed_hosts.remove(entry.name.as_str()) {
            Some(departed) => (departed.id, departed.connection_epoch),
            None => {
                self.next_host += 1;
                (HostId(self.next_host - 1), 0)
            }
        };
        let mut host = Host::new(id, entry);
        (host.connection_epoch, host.epoch_at_return) = (epoch, epoch);
        self.audit_log.add(|| AuditEntry::Host {
            machine: id.0,
            name: host.name.clone(),
            topology: [&entry.zone, &entry.cell, &entry.kind].map(|name| name.as_str().into()),
        });
        self.hosts_by_name.insert(host.name.clone(), id);
        self.hosts.insert(id, host);
        id
    }

    /// Reports the present entry of one host to the decider.
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

    /// Removes a host that is gone and has no connection, and finishes its attempts. Its id is kept in case it returns,
    /// for up to `max_hosts` hosts; beyond that, the host that left first is removed.
    pub(super) fn remove_departed(&mut self, id: HostId) {
        if !self.hosts.get(&id).is_some_and(Host::is_departed) {
            return;
        }
        self.fail_all_attempts(id);
        let Some(host) = self.hosts.remove(&id) else {
            return;
        };
        self.hosts_by_name.remove(&host.name);
        let departed = DepartedHost {
            id,
            connection_epoch: host.connection_epoch,
            since: self.now,
        };
        self.departed_hosts.insert(host.name, departed);
        if self.departed_hosts.len() > self.config.hosts.max_hosts {
            let first = self
                .departed_hosts
                .iter()
                .min_by_key(|(_, departed)| departed.since)
                .map(|(name, _)| name.clone());
            if let Some(name) = first {
                self.departed_hosts.remove(&name);
            }
        }
    }
}
