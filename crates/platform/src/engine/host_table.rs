//! The hosts listed by the command channel: ids, addresses and states, with their connections and running tasks.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

use maplethread::{Event, MachineEntry, MachineId, MachineState, Micros, TaskId, UpdateScope};
use maplethread_platform_settings::host_names::stable_hash;
use maplethread_platform_settings::{HostNames, micros_from_ms};
use maplethread_platform_wire::command_channel::{HostEntry, HostListUpdate, HostStatus};

use super::output::ConnectionId;
use super::process_interval::ProcessInterval;

/// How long the name of a removed host is kept. The policy may refer to the host's id for that time.
const NAME_RETENTION: Micros = 700_000_000;

/// A host.
pub(super) struct Host {
    /// None until the host is listed.
    pub(super) address: Option<SocketAddr>,
    /// The number of the list event that reported the latest process of the host at the address.
    claimed_address_in: u64,
    pub(super) state: MachineState,
    pub(super) started_at: Option<Micros>,
    /// Connections to the host, including those that are being opened.
    pub(super) connections: BTreeSet<ConnectionId>,
    /// Tasks that run on the host.
    pub(super) running: BTreeSet<TaskId>,
    /// When the host last was reachable, or when the first of its tasks started.
    pub(super) last_alive: Micros,
    /// When the process that runs the earliest of the tasks is known to have run.
    pub(super) process: ProcessInterval,
    /// The number of consecutive failed connects since `last_alive`.
    pub(super) failed_connects: u32,
    /// A check of the host is scheduled.
    pub(super) is_check_scheduled: bool,
    /// Whether a connection to the current process has been established.
    pub(super) was_connected: bool,
    /// When an established connection to the host was last lost.
    pub(super) last_disconnected: Micros,
    /// No connection to the host is responsive, and the policy has received the event for that.
    pub(super) is_unreachable: bool,
    /// The host was unreachable and answers again, but its process may have been replaced meanwhile.
    pub(super) is_identity_unverified: bool,
}

impl Host {
    /// A host that has not been listed yet.
    fn unlisted(now: Micros) -> Host {
        Host {
            address: None,
            claimed_address_in: 0,
            state: MachineState::Gone,
            started_at: None,
            connections: BTreeSet::new(),
            running: BTreeSet::new(),
            last_alive: now,
            process: ProcessInterval::at(now),
            failed_connects: 0,
            is_check_scheduled: false,
            was_connected: false,
            last_disconnected: 0,
            is_unreachable: false,
            is_identity_unverified: false,
        }
    }

    /// Records that the host is alive, or starts to measure its inactivity from now on.
    pub(super) fn record_alive(&mut self, now: Micros) {
        self.last_alive = now;
        self.failed_connects = 0;
        self.is_identity_unverified = false;
    }

    fn is_gone(&self) -> bool {
        self.state == MachineState::Gone
    }
}

/// A host list entry, with its names resolved to ids.
struct ResolvedEntry {
    address: SocketAddr,
    zone: u32,
    kind: usize,
}

/// A change of a host that concerns its tasks: it has a new process, no longer accepts tasks, or was replaced by another host at
/// its address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct HostChange {
    pub(super) machine: MachineId,
    /// A host that was listed before has a new process.
    pub(super) is_restarted: bool,
}

impl HostChange {
    fn of(machine: MachineId) -> HostChange {
        HostChange {
            machine,
            is_restarted: false,
        }
    }
}

/// The effects of an update of the host list.
pub(super) struct AppliedUpdate {
    /// The event for the policy.
    pub(super) event: Event,
    /// The changes that concern tasks.
    pub(super) changes: Vec<HostChange>,
}

/// All hosts that are listed, or that run a task.
#[derive(Default)]
pub(super) struct HostTable {
    names: HostNames,
    pub(super) hosts: BTreeMap<MachineId, Host>,
    /// The host that was last reported to have started at an address.
    by_address: HashMap<SocketAddr, MachineId>,
    zone_names: Vec<String>,
    machine_kind_names: Vec<String>,
    /// Removed hosts whose names are kept, with their removal times.
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

    /// Returns the id of the host with this name. A host that is not listed yet is added.
    pub(super) fn id_or_insert(&mut self, name: &str, now: Micros) -> MachineId {
        let id = self.names.id_or_assign(name);
        self.hosts.entry(id).or_insert_with(|| Host::unlisted(now));
        id
    }

    /// The id of the host with this name, if it is listed or runs a task.
    pub(super) fn id(&self, name: &str) -> Option<MachineId> {
        self.names.id_of(name)
    }

    /// The host's name, for log lines.
    pub(super) fn name(&self, id: MachineId) -> &str {
        self.names.name(id).unwrap_or("?")
    }

    /// Applies an update of the host list, the event with this number.
    pub(super) fn apply_update(
        &mut self,
        update: &HostListUpdate,
        now: Micros,
        number: u64,
    ) -> AppliedUpdate {
        let mut changes = Vec::new();
        let mut machines = Vec::new();
        for entry in &update.entries {
            machines.extend(self.apply_entry(entry, now, number, &mut changes));
        }
        if update.is_full {
            let listed: BTreeSet<MachineId> = machines.iter().map(|entry| entry.machine).collect();
            self.remove_unlisted(&listed, &mut changes);
        }
        let gone = changes
            .iter()
            .map(|change| change.machine)
            .filter(|id| self.hosts.get(id).is_some_and(Host::is_gone));
        self.removed.extend(gone.map(|id| (now, id)));
        self.remove_expired(now);
        let scope = if update.is_full {
            UpdateScope::Full
        } else {
            UpdateScope::Delta
        };
        AppliedUpdate {
            event: Event::EndpointsUpdated { scope, machines },
            changes,
        }
    }

    /// Marks hosts as gone that are absent from a full list.
    fn remove_unlisted(&mut self, listed: &BTreeSet<MachineId>, changes: &mut Vec<HostChange>) {
        for (&id, host) in &mut self.hosts {
            if !listed.contains(&id) && host.address.is_some() && !host.is_gone() {
                host.state = MachineState::Gone;
                changes.push(HostChange::of(id));
            }
        }
    }

    /// Applies one entry of the list; an invalid one is logged and skipped.
    fn apply_entry(
        &mut self,
        entry: &HostEntry,
        now: Micros,
        number: u64,
        changes: &mut Vec<HostChange>,
    ) -> Option<MachineEntry> {
        let resolved = self.resolve(entry)?;
        let state = match entry.status {
            HostStatus::Active => MachineState::Ready,
            HostStatus::Leaving => MachineState::Draining,
            HostStatus::Left => MachineState::Gone,
        };
        let started_at = (entry.since_ms > 0.0).then(|| micros_from_ms(entry.since_ms));
        let machine = self.id_or_insert(&entry.name, now);
        let host = self.hosts.get_mut(&machine)?;
        let stops_accepting_tasks = host.state != state && state != MachineState::Ready;
        let has_new_process = host.started_at != started_at;
        if stops_accepting_tasks || has_new_process {
            changes.push(HostChange {
                machine,
                is_restarted: has_new_process && host.address.is_some(),
            });
        }
        let claims_address = state != MachineState::Gone
            && (has_new_process || host.is_gone() || host.address != Some(resolved.address));
        host.was_connected &= !has_new_process;
        host.address = Some(resolved.address);
        host.state = state;
        host.started_at = started_at;
        if claims_address {
            host.claimed_address_in = number;
            let holder = self.by_address.insert(resolved.address, machine);
            let replaced = holder.filter(|&holder| holder != machine);
            changes.extend(replaced.map(HostChange::of));
        }
        Some(MachineEntry {
            machine,
            stable_hash: stable_hash(&entry.name),
            zone: resolved.zone,
            cell: entry.cell,
            kind: resolved.kind,
            state,
            started_at,
            unallocated: None,
        })
    }

    fn resolve(&self, entry: &HostEntry) -> Option<ResolvedEntry> {
        let log_invalid = |field: &str, value: &str| {
            tracing::warn!(host = %entry.name, field, value, "ignoring host list entry with an invalid field");
        };
        let Some(zone) = self.zone_names.iter().position(|z| *z == entry.zone) else {
            log_invalid("zone", &entry.zone);
            return None;
        };
        let mut kinds = self.machine_kind_names.iter();
        let Some(kind) = kinds.position(|kind| *kind == entry.kind) else {
            log_invalid("type", &entry.kind);
            return None;
        };
        let Ok(address) = entry.address.parse() else {
            log_invalid("address", &entry.address);
            return None;
        };
        Some(ResolvedEntry {
            address,
            zone: zone as u32,
            kind,
        })
    }

    /// The host that has taken over the address of this one. The list may report that before it reports that this host is
    /// gone. Hosts that one event reports at the same address share it.
    pub(super) fn successor(&self, id: MachineId) -> Option<MachineId> {
        let host = self.hosts.get(&id)?;
        let successor = *self.by_address.get(&host.address?)?;
        let other = self.hosts.get(&successor)?;
        let is_replaced = host.is_gone() || host.claimed_address_in < other.claimed_address_in;
        (successor != id && !other.is_gone() && is_replaced).then_some(successor)
    }

    /// Removes a host that has never been listed and is not in use any more. Owners choose the hosts of the tasks that they
    /// hand over.
    pub(super) fn remove_unlisted_host(&mut self, id: MachineId) {
        let is_unused = self.hosts.get(&id).is_some_and(|host| {
            host.address.is_none() && host.running.is_empty() && host.connections.is_empty()
        });
        if is_unused {
            self.hosts.remove(&id);
            self.names.remove(id);
        }
    }

    /// Removes hosts that are gone and have neither connections nor tasks, and their names after `NAME_RETENTION`.
    fn remove_expired(&mut self, now: Micros) {
        self.hosts.retain(|_, host| {
            !host.is_gone() || !host.connections.is_empty() || !host.running.is_empty()
        });
        let hosts = &self.hosts;
        self.by_address.retain(|address, id| {
            hosts
                .get(id)
                .is_some_and(|host| host.address == Some(*address))
        });
        let (names, hosts) = (&mut self.names, &self.hosts);
        self.removed.retain(|&(removed_at, id)| {
            let is_kept = removed_at + NAME_RETENTION > now;
            if !is_kept && !hosts.contains_key(&id) {
                names.remove(id);
            }
            is_kept
        });
    }
}
