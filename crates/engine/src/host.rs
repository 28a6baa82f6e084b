//! A host: its entry in the inventory, and its connection.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use maplethread::{MachineEntry, MachineId, MachineState, Micros};
use maplethread_config::{HostEntry, HostSettings, HostState};

use crate::ids::{AttemptKey, HostId, stable_hash};

/// The state of the connection to a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionState {
    /// There is no connection. If the host is in the inventory, a timer is set for the next connection attempt.
    Down,
    /// The connection is being established, or the host has not sent its greeting yet.
    Greeting,
    /// The host has sent its greeting and is listing the tasks that it holds.
    Syncing,
    /// The connection is in use.
    Up,
}

impl ConnectionState {
    /// Whether the host has sent its greeting.
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
    /// When the host's process started according to the inventory, Unix time in ms.
    pub inventory_started_ms: Option<u64>,
    /// When the host's process started according to its greeting, Unix time in ms.
    pub reported_started_ms: Option<u64>,
    /// Whether the host has reported that it is draining.
    pub is_draining: bool,
    pub connection: ConnectionState,
    /// Number of connections started so far, so that timers of an earlier connection can be ignored.
    pub connection_epoch: u64,
    /// The value of `connection_epoch` when the host last returned to the inventory. Timers of connections up to this
    /// one are ignored.
    pub epoch_at_return: u64,
    /// The last connection on which the host sent its greeting. The time after which the host's tasks count as lost
    /// runs from the loss of this connection.
    pub greeted_epoch: u64,
    /// Connections that failed or were lost since the last one that came into use.
    pub failed_connects: u32,
    /// Bytes queued on this connection.
    pub queued_bytes: u64,
    /// Bytes of this connection that the kernel has accepted.
    pub written_bytes: u64,
    /// Attempts at the host, including those that are placed.
    pub attempts: BTreeSet<AttemptKey>,
    /// Placed attempts that the host has not listed since its greeting.
    pub unconfirmed: BTreeSet<AttemptKey>,
    /// Whether the first connection attempt has succeeded or failed.
    pub was_tried: bool,
}

impl Host {
    /// Creates a host from its entry in the inventory, without a connection.
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

    /// Updates the decider's entry of the host and returns it. The start time is the later one of those that the
    /// inventory and the host have given.
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

    /// Whether the engine should keep a connection to the host.
    pub fn is_wanted(&self) -> bool {
        self.inventory_state != HostState::Gone
    }

    /// Whether the host has left the inventory and has no connection.
    pub fn is_departed(&self) -> bool {
        !self.is_wanted() && self.connection == ConnectionState::Down
    }
}

/// The data that is kept of a host that has left the inventory.
pub(crate) struct DepartedHost {
    pub id: HostId,
    pub connection_epoch: u64,
    /// When the host left, µs.
    pub since: Micros,
}

/// The heartbeat settings of hosts.
pub(crate) fn liveness_settings(hosts: &HostSettings) -> maplethread_liveness::Settings {
    maplethread_liveness::Settings {
        ping_interval: hosts.ping_interval_ms * 1000,
        silence_timeout: hosts.silence_timeout_ms * 1000,
        max_idle_pings_per_s: hosts.max_idle_pings_per_s,
        max_idle_interval: hosts.max_idle_ping_interval_ms * 1000,
    }
}
