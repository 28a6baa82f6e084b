//! The inventory of a run, as a file or in the catalogue: the listed hosts, and delayed changes.

use std::io;
use std::path::Path;
use std::sync::Arc;

use maplethread_checker::Observation;
use maplethread_config::{HostState, Inventory};

use super::ScenarioRun;
use crate::catalogue_registration::register_host;
use crate::fault_plan::InventoryContent;
use crate::settings::{host_name, inventory};

/// A file that cannot be parsed as an inventory.
const INVALID_INVENTORY: &str = "[[host]]\nname = \"host-00\"\nadress = \"?\u{0}\" [[";

/// A host and its start time, if known, Unix time in ms.
type ReadyHost = (Arc<str>, Option<u64>);

/// A change of a host that the inventory does not list yet.
pub(super) struct PendingListing {
    due: u64,
    host: usize,
    state: HostState,
}

/// The listed state of the hosts, and changes that are not listed yet.
pub(super) struct ListedHosts {
    /// The state and the start time of each host.
    pub(super) entries: Vec<(HostState, Option<u64>)>,
    pub(super) pending: Vec<PendingListing>,
    /// Delay until a change is listed, µs.
    pub(super) delay_us: u64,
    /// Whether the inventory file is empty or invalid at present.
    is_unreadable: bool,
    /// The hosts that the last valid inventory file listed as ready.
    ready: Vec<ReadyHost>,
    /// The hosts as they are registered in the catalogue.
    registered: Inventory,
    /// Whether some changes are not registered in the catalogue yet.
    has_unregistered: bool,
}

impl ListedHosts {
    pub(super) fn new(host_count: usize, delay_us: u64) -> ListedHosts {
        ListedHosts {
            entries: vec![(HostState::Ready, None); host_count],
            pending: Vec::new(),
            delay_us,
            is_unreadable: false,
            ready: Vec::new(),
            registered: Inventory::default(),
            has_unregistered: false,
        }
    }

    fn is_pending(&self, host: usize) -> bool {
        self.pending.iter().any(|listing| listing.host == host)
    }
}

impl ScenarioRun<'_> {
    /// Lists a host in a state after the inventory's delay.
    pub(super) fn list_host(&mut self, host: usize, state: HostState) {
        let due = self.context.clock.now() + self.listed.delay_us;
        let listing = PendingListing { due, host, state };
        self.listed.pending.push(listing);
    }

    /// Lists the changes that are due.
    pub(super) fn publish_due_listings(&mut self, now: u64) -> io::Result<()> {
        let is_due = |listing: &PendingListing| listing.due <= now;
        let has_changes = self.listed.has_unregistered || self.listed.pending.iter().any(is_due);
        if self.listed.is_unreadable || !has_changes {
            return Ok(());
        }
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.listed.pending)
            .into_iter()
            .partition(is_due);
        self.listed.pending = later;
        for PendingListing { host, state, .. } in due {
            let started_ms = Some(self.host_started_ms(host)).filter(|&ms| ms > 0);
            let entry = &mut self.listed.entries[host];
            *entry = (state, started_ms.or(entry.1));
        }
        self.write_inventory()
    }

    /// Changes the health of a host, if the host is up and listed accordingly; the effects of other faults are kept.
    pub(super) fn set_health(&mut self, host: usize, is_healthy: bool) -> io::Result<()> {
        let (from, to) = if is_healthy {
            (HostState::Draining, HostState::Ready)
        } else {
            (HostState::Ready, HostState::Draining)
        };
        let is_up = self.host_started_ms(host) > 0 && !self.draining_hosts.contains(&host);
        if !is_up || self.listed.entries[host].0 != from || self.listed.is_pending(host) {
            return Ok(());
        }
        self.listed.entries[host].0 = to;
        if is_healthy {
            let now = self.context.clock.now();
            self.health_returns.push((now, host_name(host).into()));
        }
        if self.listed.is_unreadable {
            return Ok(());
        }
        self.write_inventory()
    }

    /// Replaces the contents of the inventory file. Runs with a catalogue use catalogue faults instead.
    pub(super) fn replace_inventory(&mut self, content: InventoryContent) -> io::Result<()> {
        let text = match content {
            InventoryContent::Valid => {
                self.listed.is_unreadable = false;
                return self.write_inventory();
            }
            InventoryContent::Empty => "",
            InventoryContent::Invalid => INVALID_INVENTORY,
        };
        self.listed.is_unreadable = true;
        self.context.record(Observation::InventoryUnreadable);
        replace_file(&self.inventory_file(), text)
    }

    pub(super) fn write_inventory(&mut self) -> io::Result<()> {
        let addresses = &self.host_pool.addresses;
        let inventory = inventory(&self.scenario, addresses, &self.listed.entries);
        if self.servers.is_some() {
            self.register_hosts(&inventory);
            Ok(())
        } else {
            self.write_inventory_file(&inventory)
        }
    }

    /// Registers the changes that the catalogue does not have. A catalogue without a leader rejects them; they are
    /// retried on the next call.
    fn register_hosts(&mut self, inventory: &Inventory) {
        let Some(servers) = &self.servers else { return };
        let mut registered = Vec::new();
        for host in &inventory.hosts {
            let hosts = &self.listed.registered.hosts;
            let current = hosts.iter().find(|current| current.name == host.name);
            match current {
                Some(current) if current == host => registered.push(host.clone()),
                _ if register_host(servers.addresses[0], host).is_ok() => {
                    registered.push(host.clone());
                }
                _ => registered.extend(current.cloned()),
            }
        }
        self.listed.has_unregistered = registered != inventory.hosts;
        self.listed.registered.hosts = registered;
    }

    fn write_inventory_file(&mut self, inventory: &Inventory) -> io::Result<()> {
        let in_state = |state| inventory.hosts.iter().filter(move |h| h.state == state);
        let ready: Vec<ReadyHost> = in_state(HostState::Ready)
            .map(|h| (h.name.as_str().into(), h.started_ms))
            .collect();
        let gone: Vec<Arc<str>> = in_state(HostState::Gone)
            .map(|h| h.name.as_str().into())
            .collect();
        let text = toml::to_string(inventory).map_err(io::Error::other)?;
        // A placer may use a newly ready host before the new file is recorded, so ready hosts are recorded before the
        // file is replaced. Removals count only once the file is in place, so hosts that are no longer ready are kept
        // in the first entry.
        let is_listed = |host: &Arc<str>| ready.iter().any(|(listed, _)| listed == host);
        let previous = std::mem::take(&mut self.listed.ready);
        let no_longer_ready = previous.into_iter().filter(|(host, _)| !is_listed(host));
        self.context.record(Observation::InventoryReplaced {
            ready: ready.iter().cloned().chain(no_longer_ready).collect(),
            gone: gone.clone(),
        });
        replace_file(&self.inventory_file(), &text)?;
        self.context.record(Observation::InventoryReplaced {
            ready: ready.clone(),
            gone,
        });
        self.listed.ready = ready;
        Ok(())
    }

    fn inventory_file(&self) -> std::path::PathBuf {
        self.folder.join("hosts.toml")
    }
}

/// Replaces a file atomically, as the documentation requires of operators for inventories.
///
/// # Errors
///
/// The new file cannot be written, or cannot be renamed to the final path.
pub fn replace_file(path: &Path, text: &str) -> io::Result<()> {
    let mut new = path.as_os_str().to_owned();
    new.push(".new");
    std::fs::write(&new, text)?;
    std::fs::rename(&new, path)
}
