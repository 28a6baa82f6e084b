//! The inventory: the hosts with their places and states.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::error::{ConfigError, Document, parse_toml};
use crate::placer::PlacerConfig;

/// A host's state as operators set it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// It accepts tasks.
    #[default]
    Ready,
    /// It gets no new tasks.
    Draining,
    /// It was removed.
    Gone,
}

/// One host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostEntry {
    /// Its name, unique and permanent.
    pub name: String,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its cell, such as a rack.
    pub cell: String,
    /// Its kind.
    pub kind: String,
    /// Its state.
    #[serde(default)]
    pub state: HostState,
    /// When its process last started, Unix time in ms.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub started_ms: Option<u64>,
    /// Cores that were not allocated to tasks at an earlier time.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "unasked_cores")]
    pub unallocated_cores: Option<f64>,
    /// Memory that was not allocated to tasks at an earlier time, GiB.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "unasked_memory_gib")]
    pub unallocated_memory_gib: Option<f64>,
}

/// All hosts.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Inventory {
    /// The hosts.
    #[serde(default)]
    #[serde(rename = "host")]
    pub hosts: Vec<HostEntry>,
}

impl Inventory {
    /// Parses an inventory and checks it against a placer's zones and kinds. A file without hosts is rejected, since it
    /// is far more often a truncated file than a fleet without hosts; operators can list removed hosts as gone.
    ///
    /// # Errors
    ///
    /// The first error, with its line and key.
    pub fn parse(doc: Document<'_>, config: &PlacerConfig) -> Result<Inventory, ConfigError> {
        let inventory: Inventory = parse_toml(doc)?;
        doc.ensure(
            !inventory.hosts.is_empty(),
            "host",
            "no hosts; list removed hosts with state = \"gone\"",
        )?;
        let max_hosts = config.hosts.max_hosts;
        doc.ensure(
            inventory.hosts.len() <= max_hosts,
            "host",
            format!("more hosts than hosts.max_hosts = {max_hosts}"),
        )?;
        let mut names = BTreeMap::new();
        for (i, host) in inventory.hosts.iter().enumerate() {
            let key = |field: &str| format!("host[{i}].{field}");
            let is_printable = !host.name.chars().any(char::is_control);
            let is_valid_name = !host.name.is_empty() && host.name.len() <= 200 && is_printable;
            doc.ensure(
                is_valid_name,
                &key("name"),
                "expected 1 to 200 bytes without control characters",
            )?;
            if let Some(other) = names.insert(&host.name, i) {
                return Err(doc.error(
                    &key("name"),
                    format!("`{}` is already the name of host[{other}]", host.name),
                ));
            }
            let known = config.identity.zones.contains(&host.zone);
            doc.ensure(known, &key("zone"), format!("unknown zone `{}`", host.zone))?;
            let known = config.kinds.iter().any(|k| k.name == host.kind);
            doc.ensure(known, &key("kind"), format!("unknown kind `{}`", host.kind))?;
            let finite = |x: Option<f64>| x.is_none_or(f64::is_finite);
            doc.ensure(
                finite(host.unallocated_cores),
                &key("unasked_cores"),
                "expected a finite number",
            )?;
            doc.ensure(
                finite(host.unallocated_memory_gib),
                &key("unasked_memory_gib"),
                "expected a finite number",
            )?;
        }
        Ok(inventory)
    }
}
