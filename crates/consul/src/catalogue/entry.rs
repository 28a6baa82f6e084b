//! One entry of `/v1/health/service/:name`, and the host that it describes.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};

use maplethread_config::HostEntry;
use serde::Deserialize;

use super::CheckStatus;

/// Maximum length of a name or metadata value, in bytes, and of an error text, in characters.
pub(super) const MAX_TEXT_LENGTH: usize = 200;
/// Start times from here on (the year 2100, Unix time in ms) are rejected as invalid.
const MAX_START_MS: u64 = 4_102_444_800_000;

/// A host as listed in the catalogue.
#[derive(Clone, Debug, PartialEq)]
pub struct CatalogueEntry {
    /// The host, with the state that follows from its checks.
    pub host: HostEntry,
    /// The node on which it runs.
    pub node: String,
    /// The worst status of its checks.
    pub status: CheckStatus,
}

/// The names that hosts may use, from the placer's settings, and the maximum length of a list.
#[derive(Clone, Debug, Default)]
pub struct KnownNames {
    /// Zones.
    pub zones: Vec<String>,
    /// Kinds of hosts.
    pub kinds: Vec<String>,
    /// Maximum number of entries in a list.
    pub max_entries: usize,
}

/// Why an entry is invalid.
#[derive(Debug, thiserror::Error)]
pub(super) enum EntryError {
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    #[error("{field}: expected 1 to {MAX_TEXT_LENGTH} bytes without control characters")]
    InvalidText { field: &'static str },
    #[error("metadata `{key}` is missing from the service and its node")]
    MissingMetadata { key: &'static str },
    #[error("zone `{0}` is not in the placer's settings")]
    UnknownZone(String),
    #[error("kind `{0}` is not in the placer's settings")]
    UnknownKind(String),
    #[error("started_ms: expected a Unix time in ms before the year 2100")]
    InvalidStart,
    #[error("address: expected an IP address")]
    InvalidAddress,
    #[error("port {0}: expected 1 to 65535")]
    InvalidPort(i64),
}

/// An entry in Consul's JSON format.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct RawEntry {
    pub(super) node: RawNode,
    service: RawService,
    #[serde(default)]
    checks: Vec<RawCheck>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct RawNode {
    node: String,
    #[serde(default)]
    address: String,
    #[serde(default)]
    pub(super) datacenter: String,
    #[serde(default)]
    meta: Option<BTreeMap<String, String>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RawService {
    #[serde(rename = "ID")]
    id: String,
    #[serde(default)]
    address: String,
    #[serde(default)]
    port: i64,
    #[serde(default)]
    meta: Option<BTreeMap<String, String>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RawCheck {
    #[serde(rename = "CheckID", default)]
    check_id: String,
    #[serde(default)]
    status: String,
}

impl RawEntry {
    /// A metadata value of the service, or else of its node.
    fn metadata(&self, key: &str) -> Option<&str> {
        [&self.service.meta, &self.node.meta]
            .into_iter()
            .find_map(|meta| meta.as_ref()?.get(key))
            .map(String::as_str)
    }

    fn required_metadata(&self, key: &'static str) -> Result<String, EntryError> {
        let value = self
            .metadata(key)
            .ok_or(EntryError::MissingMetadata { key })?;
        check_text(key, value)?;
        Ok(value.to_owned())
    }

    fn started_ms(&self) -> Result<Option<u64>, EntryError> {
        let parse = |text: &str| {
            let ms = text.parse::<u64>().ok();
            ms.filter(|&ms| ms > 0 && ms < MAX_START_MS)
                .ok_or(EntryError::InvalidStart)
        };
        self.metadata("started_ms").map(parse).transpose()
    }

    /// Where the host listens: the service's address, or else that of its node.
    fn address(&self) -> Result<SocketAddr, EntryError> {
        let ip = if self.service.address.is_empty() {
            &self.node.address
        } else {
            &self.service.address
        };
        let ip: IpAddr = ip.parse().map_err(|_| EntryError::InvalidAddress)?;
        let port = u16::try_from(self.service.port)
            .ok()
            .filter(|&port| port > 0)
            .ok_or(EntryError::InvalidPort(self.service.port))?;
        Ok(SocketAddr::new(ip, port))
    }

    /// Validates the entry and converts it to the host that it describes.
    pub(super) fn into_entry(self, known: &KnownNames) -> Result<CatalogueEntry, EntryError> {
        check_text("Service.ID", &self.service.id)?;
        check_text("Node.Node", &self.node.node)?;
        let zone = self.required_metadata("zone")?;
        let cell = self.required_metadata("cell")?;
        let kind = self.required_metadata("kind")?;
        if !known.zones.contains(&zone) {
            return Err(EntryError::UnknownZone(zone));
        }
        if !known.kinds.contains(&kind) {
            return Err(EntryError::UnknownKind(kind));
        }
        let started_ms = self.started_ms()?;
        let address = self.address()?;
        let status = worst_status(&self.checks);
        Ok(CatalogueEntry {
            host: HostEntry {
                name: self.service.id,
                address,
                zone,
                cell,
                kind,
                state: status.host_state(),
                started_ms,
                unallocated_cores: None,
                unallocated_memory_gib: None,
            },
            node: self.node.node,
            status,
        })
    }
}

fn check_text(field: &'static str, text: &str) -> Result<(), EntryError> {
    let is_valid =
        !text.is_empty() && text.len() <= MAX_TEXT_LENGTH && !text.chars().any(char::is_control);
    if is_valid {
        Ok(())
    } else {
        Err(EntryError::InvalidText { field })
    }
}

/// The worst of node-level and service-level checks, as Consul merges them. An unknown status counts as critical.
fn worst_status(checks: &[RawCheck]) -> CheckStatus {
    let status = |check: &RawCheck| match check.status.as_str() {
        "passing" => CheckStatus::Passing,
        "warning" => CheckStatus::Warning,
        _ if check.check_id == "_node_maintenance"
            || check.check_id.starts_with("_service_maintenance:") =>
        {
            CheckStatus::Maintenance
        }
        _ => CheckStatus::Critical,
    };
    checks
        .iter()
        .map(status)
        .max()
        .unwrap_or(CheckStatus::Passing)
}
