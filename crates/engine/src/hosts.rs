//! Hosts as the engine knows them: what the inventory says, and the session with each.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use maplethread as mt;
use maplethread_config::{HostEntry, HostState};

use crate::HostId;

/// How far a session has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// No connection; the next try comes by a timer.
    Down,
    /// The connection is being made, or the greeting is awaited.
    Greeting,
    /// Greeted; the host is naming what it holds.
    Syncing,
    /// In use.
    Up,
}

/// One host.
pub struct Host {
    pub name: Arc<str>,
    pub address: SocketAddr,
    pub entry: mt::MachineEntry,
    /// The state in the inventory.
    pub inventory_state: HostState,
    /// The start that the inventory told, and the one that the host told; Unix time in ms.
    pub inventory_started_ms: Option<u64>,
    pub reported_started_ms: Option<u64>,
    /// It said that it drains.
    pub is_draining: bool,
    pub connection: ConnectionState,
    /// Counts connections, so that timers of an old one are known as such.
    pub connection_epoch: u64,
    /// Connections of before it was last gone; their timers mean nothing to it.
    pub epoch_at_return: u64,
    /// The last connection that was greeted: how long tasks are waited for counts from its loss, not an older one's.
    pub greeted_epoch: u64,
    /// Tries to connect since the last success.
    pub failed_connects: u32,
    /// Bytes queued on this connection since it was made, and those that the kernel took.
    pub queued_bytes: u64,
    pub written_bytes: u64,
    /// Attempts and tasks there, by their number on the wire.
    pub attempts: BTreeSet<u64>,
    /// Those of them that it has not yet named since it greeted.
    pub unconfirmed: BTreeSet<u64>,
    /// The first try to connect is over.
    pub was_tried: bool,
}

impl Host {
    /// A host of the inventory.
    pub fn new(id: HostId, inventory: &HostEntry, stable_hash: u64) -> Host {
        let entry = mt::MachineEntry {
            machine: mt::MachineId(id.0),
            stable_hash,
            zone: 0,
            cell: 0,
            kind: 0,
            state: mt::MachineState::Ready,
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

    /// The listing as it now stands. The newest start counts, whoever told it.
    pub fn refresh_entry(&mut self) -> mt::MachineEntry {
        self.entry.state = match self.inventory_state {
            HostState::Gone => mt::MachineState::Gone,
            HostState::Draining => mt::MachineState::Draining,
            HostState::Ready if self.is_draining => mt::MachineState::Draining,
            HostState::Ready => mt::MachineState::Ready,
        };
        self.entry.started_at = self
            .inventory_started_ms
            .max(self.reported_started_ms)
            .map(|ms| ms * 1000);
        self.entry
    }

    /// Whether connections to it are wanted.
    pub fn is_wanted(&self) -> bool {
        self.inventory_state != HostState::Gone
    }
}
