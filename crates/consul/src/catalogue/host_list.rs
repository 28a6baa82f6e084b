//! The list of hosts: the body of `/v1/health/service/:name`.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use maplethread_config::HostState;
use serde::Deserialize;

use super::entry::{EntryError, MAX_TEXT_LENGTH, RawEntry};
use super::{CatalogueEntry, CheckStatus, KnownNames, ListFormat, ListReader};
use crate::json_rows::{RowError, Rows};

/// Maximum number of invalid entries that are kept per list.
const MAX_INVALID_ENTRIES: usize = 100;
/// Maximum number of datacentres that are kept per list.
const MAX_DATACENTRES: usize = 16;

/// Entries by host name. An entry that is unchanged since the previous list shares its allocation.
pub type EntriesByHost = BTreeMap<String, Arc<CatalogueEntry>>;

/// An entry that describes no valid host.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("entry {position} ({name:?}): {reason}")]
pub struct InvalidEntry {
    /// Its position in the list, counted from 0.
    pub position: usize,
    /// Its service id, or `?` if that can't be read.
    pub name: String,
    /// Why it is invalid.
    pub reason: String,
}

/// A list of hosts.
#[derive(Clone, Debug, Default)]
pub struct HostList {
    /// The valid entries, by host name.
    pub entries: EntriesByHost,
    /// The invalid entries.
    pub invalid_entries: Vec<InvalidEntry>,
    /// The datacentres that the entries name.
    pub datacentres: BTreeSet<String>,
}

/// The result of parsing a row of the list.
#[derive(Debug)]
pub struct ParsedRow {
    datacentre: String,
    entry: Result<Arc<CatalogueEntry>, InvalidHostRow>,
}

/// A row that describes no valid host.
#[derive(Debug)]
struct InvalidHostRow {
    /// Its service id, or `?` if that can't be read.
    name: String,
    reason: String,
}

/// The rows of the previous list.
pub type HostRows = Rows<Arc<ParsedRow>>;

/// Reads a list of hosts in steps.
pub type HostListReader = ListReader<KnownNames>;

impl ListFormat for KnownNames {
    type Row = Arc<ParsedRow>;
    type List = HostList;

    fn parse(&self, raw: &str) -> Arc<ParsedRow> {
        Arc::new(parse_row(raw, self))
    }

    fn add(list: &mut HostList, position: usize, row: &Arc<ParsedRow>) {
        list.add(position, row);
    }
}

/// Reads a whole list of hosts at once.
///
/// # Errors
///
/// If the body is not a list, or has too many entries.
pub fn read_host_list(body: &[u8], known: &KnownNames) -> Result<HostList, RowError> {
    let mut reader = HostListReader::new(body.to_vec(), HostRows::default(), known.max_entries);
    let mut budget = usize::MAX;
    while !reader.step(&mut budget, known)? {}
    Ok(reader.finish().0)
}

impl HostList {
    fn add(&mut self, position: usize, row: &ParsedRow) {
        if !row.datacentre.is_empty()
            && self.datacentres.len() < MAX_DATACENTRES
            && !self.datacentres.contains(&row.datacentre)
        {
            self.datacentres.insert(row.datacentre.clone());
        }
        match &row.entry {
            Ok(entry) => self.add_entry(position, entry),
            Err(invalid) => {
                self.add_invalid(position, &invalid.name, invalid.reason.clone());
            }
        }
    }

    fn add_entry(&mut self, position: usize, entry: &Arc<CatalogueEntry>) {
        let name = &entry.host.name;
        let Some(other) = self.entries.get_mut(name) else {
            self.entries.insert(name.clone(), entry.clone());
            return;
        };
        // Two entries have this host's id, and it can't be determined which one is right. The host is drained.
        let reason = format!("its id is already registered on {}", other.node);
        let other = Arc::make_mut(other);
        other.status = CheckStatus::Critical;
        other.host.state = HostState::Draining;
        self.add_invalid(position, name, reason);
    }

    fn add_invalid(&mut self, position: usize, name: &str, reason: String) {
        if self.invalid_entries.len() < MAX_INVALID_ENTRIES {
            self.invalid_entries.push(InvalidEntry {
                position,
                name: name.to_owned(),
                reason,
            });
        }
    }
}

fn parse_row(raw: &str, known: &KnownNames) -> ParsedRow {
    let mut datacentre = String::new();
    let entry = serde_json::from_str::<RawEntry>(raw)
        .map_err(EntryError::from)
        .and_then(|entry| {
            datacentre = truncated(&entry.node.datacenter);
            entry.into_entry(known)
        });
    ParsedRow {
        datacentre,
        entry: entry.map(Arc::new).map_err(|error| InvalidHostRow {
            name: truncated(&id_or_placeholder(raw)),
            reason: truncated(&error.to_string()),
        }),
    }
}

/// Truncates a text, so that a list can't make the placer store long ones.
fn truncated(text: &str) -> String {
    text.chars().take(MAX_TEXT_LENGTH).collect()
}

/// The service id of an entry whose other fields may be invalid.
fn id_or_placeholder(raw: &str) -> String {
    #[derive(Deserialize)]
    #[serde(rename_all = "PascalCase")]
    struct EntryId {
        service: ServiceId,
    }
    #[derive(Deserialize)]
    struct ServiceId {
        #[serde(rename = "ID")]
        id: String,
    }
    serde_json::from_str::<EntryId>(raw).map_or_else(|_| "?".to_owned(), |entry| entry.service.id)
}
