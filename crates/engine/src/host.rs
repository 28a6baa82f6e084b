//! A host as the engine knows it: what the inventory says of it, and its connection.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use maplethread::{MachineEntry, MachineId, MachineState, Micros};
use maplethread_config::{HostEntry, HostSettings, HostState};

use crate::ids::{AttemptKey, HostId, stable_hash};

/// How far the connection to a host has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionState {
    /// There is no connection; a timer starts the next try.
    Down,
    /// The connection is being made, or the host's greeting is awaited.
    Greeting,
    /// The host has greeted and is naming the tasks that it holds.
    Syncing,
    /// In use.
    Up,
}

impl ConnectionState {
    /// Whether the host has greeted on it.
    pub fn is_greeted(self) -> bool {
        matches!(self, ConnectionState::Syncing | ConnectionState::Up)
    }
}

/// One host.
pub(crate) struct Host {
    pub name: Arc<str>,
    pub address: SocketAddr,
    pub entry: MachineEntry,
    /// The state in the inventory.
    pub inventory_state: HostState,
    /// When its process started according to the inventory, Unix time in ms.
    pub inventory_started_ms: Option<u64>,
    /// When its process started according to itself, Unix time in ms.
    pub reported_started_ms: Option<u64>,
    /// It has said that it drains.
    pub is_draining: bool,
    pub connection: ConnectionState,
    /// Counts connections, so that timers of an earlier one are recognised.
    pub connection_epoch: u64,
    /// The connections before it last left the inventory; their timers no longer concern it.
    pub epoch_at_return: u64,
    /// The last connection that was greeted. How long its tasks are waited for counts from the loss of this one.
    pub greeted_epoch: u64,
    /// Connections lost or not made since the last one that was in use.
    pub failed_connects: u32,
    /// Bytes queued on this connection.
    pub queued_bytes: u64,
    /// Bytes of this connection that the kernel has taken.
    pub written_bytes: u64,
    /// Attempts and tasks at the host.
    pub attempts: BTreeSet<AttemptKey>,
    /// Those of them that it has not named since it greeted.
    pub unconfirmed: BTreeSet<AttemptKey>,
    /// The first try to connect is over.
    pub was_tried: bool,
}

impl Host {
    /// A host of the inventory.
    pub fn new(id: HostId, inventory: &HostEntry) -> Host {
        let entry = MachineEntry {
            machine: MachineId(id.0),
            stable_hash: stable_hash(&inventory.name),
            zone: 0,
            cell: 0,
            kind: 0,
            state: MachineState::Ready,
            started_at: None,
            unallocated: None,
        };
        Host {
            name: inventory.name.as_str().into(),
            address: inventory.address,
            entry,
            inventory_state: inventory.state,
            inventory_started_ms: None,
            reported_started_ms: None,
            is_draining: false,
            connection: ConnectionState::Down,
            connection_epoch: 0,
            epoch_at_return: 0,
            greeted_epoch: 0,
            failed_connects: 0,
            queued_bytes: 0,
            written_bytes: 0,
            attempts: BTreeSet::new(),
            unconfirmed: BTreeSet::new(),
            was_tried: false,
        }
    }

    /// Brings its entry up to date and returns it. The latest start counts, whether the inventory or the host named it.
    pub fn refresh_entry(&mut self) -> MachineEntry {
        self.entry.state = match self.inventory_state {
            HostState::Gone => MachineState::Gone,
            HostState::Draining => MachineState::Draining,
            HostState::Ready if self.is_draining => MachineState::Draining,
            HostState::Ready => MachineState::Ready,
        };
        self.entry.started_at = self
            .inventory_started_ms
            .max(self.reported_started_ms)
            .map(|ms| ms * 1000);
        self.entry
    }

    /// Whether it is to be connected to.
    pub fn is_wanted(&self) -> bool {
        self.inventory_state != HostState::Gone
    }

    /// Whether it has left the inventory and has no connection.
    pub fn is_departed(&self) -> bool {
        !self.is_wanted() && self.connection == ConnectionState::Down
    }
}

/// What is kept of a host that has left the inventory.
pub(crate) struct DepartedHost {
    pub id: HostId,
    pub connection_epoch: u64,
    /// When it left, µs.
    pub since: Micros,
}

/// How often hosts are pinged, as the settings say.
pub(crate) fn liveness_settings(hosts: &HostSettings) -> maplethread_liveness::Settings {
    maplethread_liveness::Settings {
        ping_interval: hosts.ping_interval_ms * 1000,
        silence_timeout: hosts.silence_timeout_ms * 1000,
        max_idle_pings_per_s: hosts.max_idle_pings_per_s,
        max_idle_interval: hosts.max_idle_ping_interval_ms * 1000,
    }
}
