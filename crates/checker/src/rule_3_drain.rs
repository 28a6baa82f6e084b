//! Rule 3: a placer sends a host no new offers once the grace period has passed since the placer was notified that the
//! host drains or is gone.

use std::collections::BTreeSet;

use serde_json::Value;

use crate::history::Observer;
use crate::state::{Checker, ConnectionKey, Name, Notification, PlacerAndHost};

/// Datacentre of the emulated catalogue. A response with entries of another datacentre is ignored.
const DATACENTRE: &str = "dc1";

impl Checker<'_> {
    /// Checks that the placer of an offer had not been notified that the host accepts no new tasks.
    pub(crate) fn check_drained_host(&mut self, placer: &Name, host: &Name) {
        let arrived = self.earliest_arrival(Observer::Hosts);
        let key = PlacerAndHost {
            placer: placer.clone(),
            host: host.clone(),
        };
        let drained_hosts = &self.drained_hosts;
        let slack = self.parameters.timing_slack_us;
        let inventory = drained_hosts
            .missing_from_inventory
            .get(host)
            .map(|notification| Notification {
                known_at: self.availability.inventory_reached_placer_at(
                    placer,
                    notification.known_at,
                    slack,
                ),
                ..*notification
            });
        let sources = [
            drained_hosts.draining.get(&key).copied(),
            inventory,
            drained_hosts.missing_from_catalogue.get(&key).copied(),
        ];
        let grace = self.parameters.drain_grace_us;
        let overdue = sources
            .into_iter()
            .flatten()
            .find(|notification| arrived > notification.known_at.saturating_add(grace));
        if let Some(notification) = overdue {
            let late_ms = (self.now - notification.known_at) / 1000;
            let description = format!(
                "{placer} sent {host} an offer {late_ms} ms after it was notified that the host accepts no new tasks"
            );
            self.report_violation(3, description, vec![notification.entry, self.entry_index]);
        }
    }

    /// Records that a host has announced on a connection that it drains.
    pub(crate) fn record_drain(&mut self, connection: &ConnectionKey) {
        let Some(process) = self.connections.get(connection) else {
            return;
        };
        let key = PlacerAndHost {
            placer: process.placer.clone(),
            host: connection.host.clone(),
        };
        let notification = self.notification_for(&process.placer);
        self.drained_hosts
            .draining
            .entry(key)
            .or_insert(notification);
    }

    /// Applies a valid inventory that lists these hosts as ready.
    pub(crate) fn apply_ready_hosts(&mut self, ready: &[(Name, Option<u64>)]) {
        let notification = Notification {
            known_at: self.now,
            entry: self.entry_index,
        };
        let listed: BTreeSet<&Name> = ready.iter().map(|(host, _)| host).collect();
        let missing = &mut self.drained_hosts.missing_from_inventory;
        for host in self.locations.keys() {
            if listed.contains(host) {
                missing.remove(host);
            } else {
                missing.entry(host.clone()).or_insert(notification);
            }
        }
        for (host, started_ms) in ready {
            if let Some(started_ms) = started_ms {
                self.warm_up
                    .listed_start_ms
                    .insert(host.clone(), *started_ms);
            }
        }
    }

    /// Applies a response of the catalogue: a host with a critical check, or without an entry, accepts no new tasks. A
    /// response older than one that the placer already has is ignored, unless it was a consistent read.
    pub(crate) fn apply_catalogue_answer(
        &mut self,
        placer: &Name,
        index: u64,
        consistent: bool,
        body: &[u8],
    ) {
        let highest = self
            .drained_hosts
            .highest_catalogue_index
            .entry(placer.clone())
            .or_default();
        if index < *highest && !consistent {
            return;
        }
        let Ok(Value::Array(entries)) = serde_json::from_slice(body) else {
            return;
        };
        if entries
            .iter()
            .any(|entry| entry["Node"]["Datacenter"] != DATACENTRE)
        {
            return;
        }
        *highest = if consistent {
            index
        } else {
            index.max(*highest)
        };
        let mut ready = BTreeSet::new();
        for entry in entries.iter().filter(|entry| !is_critical(entry)) {
            let Some(name) = entry["Service"]["ID"].as_str() else {
                continue;
            };
            ready.insert(name);
            if let Some((host, _)) = self.locations.get_key_value(name)
                && let Some(started_ms) = started_ms(entry)
            {
                self.warm_up
                    .listed_start_ms
                    .insert(host.clone(), started_ms);
            }
        }
        let notification = self.notification_for(placer);
        for host in self.locations.keys() {
            let key = PlacerAndHost {
                placer: placer.clone(),
                host: host.clone(),
            };
            let missing = &mut self.drained_hosts.missing_from_catalogue;
            if ready.contains(&**host) {
                missing.remove(&key);
            } else {
                missing.entry(key).or_insert(notification);
            }
        }
    }
}

/// Whether a health check of this catalogue entry is critical.
fn is_critical(entry: &Value) -> bool {
    entry["Checks"]
        .as_array()
        .into_iter()
        .flatten()
        .any(|check| check["Status"] == "critical")
}

/// Start time of the host's process according to this catalogue entry, Unix time in ms.
fn started_ms(entry: &Value) -> Option<u64> {
    entry["Service"]["Meta"]["started_ms"]
        .as_str()?
        .parse()
        .ok()
}
