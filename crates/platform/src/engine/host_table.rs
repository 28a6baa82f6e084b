//! The hosts as the command channel lists them: numbers, addresses, states, and what is connected to each.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use maplethread::{Event, MachineEntry, MachineId, MachineState, Micros, TaskId, UpdateScope};
use maplethread_platform_settings::host_names::stable_hash;
use maplethread_platform_settings::{HostNames, micros};
use maplethread_platform_wire::command_channel::{HostEntry, HostListUpdate, HostStatus};

use super::ConnectionId;

/// Names of hosts that are gone are kept as long as the decisions may know their numbers, and then forgotten.
const NAME_RETENTION: Micros = 700_000_000;

/// A host.
pub(super) struct Host {
    pub(super) address: Option<SocketAddr>,
    pub(super) state: MachineState,
    pub(super) started: Option<Micros>,
    /// Connections to it.
    pub(super) connections: BTreeSet<ConnectionId>,
    /// Tasks that stand there.
    pub(super) running: BTreeSet<TaskId>,
    /// When anything was last heard of the process that holds them, or the first of them came to stand there.
    pub(super) last_sign_of_life: Micros,
    /// New connections on end that did not come up, since `heard`.
    pub(super) failed_connects: u32,
    /// A look at its standing tasks is due.
    pub(super) is_check_scheduled: bool,
    /// A connection to this process was up.
    pub(super) was_connected: bool,
    /// When a connection to it that was up was last over.
    pub(super) last_disconnected: Micros,
    /// It has no connection that answers; the decisions were told so.
    pub(super) is_unreachable: bool,
    /// It was out of reach and answers again, and nothing yet tells that its process is still the one of before.
    pub(super) is_identity_unverified: bool,
}

impl Host {
    /// It shows that it is there, or is given time anew to do so.
    pub(super) fn record_sign_of_life(&mut self, now: Micros) {
        (
            self.last_sign_of_life,
            self.failed_connects,
            self.is_identity_unverified,
        ) = (now, 0, false);
    }
}

/// All hosts that are listed or hold a task.
#[derive(Default)]
pub(super) struct HostTable {
    names: HostNames,
    pub(super) hosts: BTreeMap<MachineId, Host>,
    zone_names: Vec<String>,
    machine_kind_names: Vec<String>,
    removed: Vec<(Micros, MachineId)>,
}

impl HostTable {
    pub(super) fn new(zone_names: Vec<String>, machine_kind_names: Vec<String>) -> HostTable {
        HostTable {
            zone_names,
            machine_kind_names,
            ..HostTable::default()
        }
    }

    /// A host by its name, which need not be listed yet.
    pub(super) fn id_or_insert(&mut self, name: &str, now: Micros) -> MachineId {
        let id = self.names.id_or_assign(name);
        self.hosts.entry(id).or_insert_with(|| Host {
            address: None,
            state: MachineState::Gone,
            started: None,
            connections: BTreeSet::new(),
            running: BTreeSet::new(),
            last_sign_of_life: now,
            failed_connects: 0,
            is_check_scheduled: false,
            was_connected: false,
            last_disconnected: 0,
            is_unreachable: false,
            is_identity_unverified: false,
        });
        id
    }

    /// Its name.
    pub(super) fn name(&self, id: MachineId) -> &str {
        self.names.name(id).unwrap_or("?")
    }

    /// Takes in entries of the list: what the decisions are told, and the hosts whose process is another one now or
    /// that don't take tasks any more.
    pub(super) fn apply_update(
        &mut self,
        nodes: &HostListUpdate,
        now: Micros,
    ) -> (Event, Vec<MachineId>) {
        let mut changed = Vec::new();
        let mut machines = Vec::new();
        let mut named = BTreeSet::new();
        for endpoint in &nodes.entries {
            let Some(listing) = self.apply_entry(endpoint, now, &mut changed) else {
                continue;
            };
            named.insert(listing.machine);
            machines.push(listing);
        }
        if nodes.snapshot {
            for (&id, host) in &mut self.hosts {
                if !named.contains(&id)
                    && host.address.is_some()
                    && host.state != MachineState::Gone
                {
                    host.state = MachineState::Gone;
                    changed.push(id);
                }
            }
        }
        let gone = changed.iter().filter(|id| {
            self.hosts
                .get(id)
                .is_some_and(|h| h.state == MachineState::Gone)
        });
        self.removed.extend(gone.map(|&id| (now, id)));
        self.remove_expired(now);
        let scope = if nodes.snapshot {
            UpdateScope::Full
        } else {
            UpdateScope::Delta
        };
        (Event::EndpointsUpdated { scope, machines }, changed)
    }

    fn apply_entry(
        &mut self,
        endpoint: &HostEntry,
        now: Micros,
        changed: &mut Vec<MachineId>,
    ) -> Option<MachineEntry> {
        let unknown = |what: &str, value: &str| {
            tracing::warn!(host = %endpoint.name, what, value, "an entry of the command channel can't be used");
        };
        let Some(zone) = self.zone_names.iter().position(|z| *z == endpoint.zone) else {
            unknown("zone", &endpoint.zone);
            return None;
        };
        let Some(kind) = self
            .machine_kind_names
            .iter()
            .position(|k| *k == endpoint.kind)
        else {
            unknown("type", &endpoint.kind);
            return None;
        };
        let Ok(address) = endpoint.address.parse() else {
            unknown("address", &endpoint.address);
            return None;
        };
        let state = match endpoint.status {
            HostStatus::Active => MachineState::Ready,
            HostStatus::Leaving => MachineState::Draining,
            HostStatus::Left => MachineState::Gone,
        };
        let started = (endpoint.since_ms > 0.0).then(|| micros(endpoint.since_ms));
        let machine = self.id_or_insert(&endpoint.name, now);
        let host = self.hosts.get_mut(&machine)?;
        if (host.state != state && state != MachineState::Ready) || host.started != started {
            changed.push(machine);
        }
        host.was_connected &= host.started == started;
        (host.address, host.state, host.started) = (Some(address), state, started);
        let label = stable_hash(&endpoint.name);
        let (zone, cell) = (zone as u32, endpoint.group);
        Some(MachineEntry {
            machine,
            stable_hash: label,
            zone,
            cell,
            kind,
            state,
            started_at: started,
            unallocated: None,
        })
    }

    /// Whether a host that is gone left its address to another one.
    pub(super) fn is_address_reused(&self, id: MachineId) -> bool {
        let Some(host) = self
            .hosts
            .get(&id)
            .filter(|h| h.state == MachineState::Gone)
        else {
            return false;
        };
        self.hosts.iter().any(|(&other, h)| {
            other != id && h.address == host.address && h.state != MachineState::Gone
        })
    }

    /// Drops hosts that are gone and hold nothing, and after a while their names.
    fn remove_expired(&mut self, now: Micros) {
        self.hosts.retain(|_, h| {
            h.state != MachineState::Gone || !h.connections.is_empty() || !h.running.is_empty()
        });
        let (names, hosts) = (&mut self.names, &self.hosts);
        self.removed.retain(|&(at, id)| {
            let keep = at + NAME_RETENTION > now;
            if !keep && !hosts.contains_key(&id) {
                names.forget(id);
            }
            keep
        });
    }
}
