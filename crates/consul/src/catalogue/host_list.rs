//! The list of hosts: the body of `/v1/health/service/:name`.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use maplethread_config::HostState;
use serde::Deserialize;

use super::entry::{EntryError, MAX_TEXT_LENGTH, RawEntry};
use super::{CatalogueEntry, CheckStatus, KnownNames, ListFormat, ListReader};
use crate::json_rows::{RowError, Rows};

/// Invalid entries of one list that are kept one by one.
const MAX_INVALID_ENTRIES: usize = 100;
/// Datacentres of one list that are kept.
const MAX_DATACENTRES: usize = 16;

/// Entries by the host's name. An entry that is as in the previous list is the same allocation.
pub type EntriesByHost = BTreeMap<String, Arc<CatalogueEntry>>;

/// An entry that can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("entry {position} ({name:?}): {reason}")]
pub struct InvalidEntry {
    /// Its position in the list, counted from 0.
    pub position: usize,
    /// Its service id, as far as it can be read.
    pub name: String,
    /// Why it can't be used.
    pub reason: String,
}

/// A list of hosts.
#[derive(Clone, Debug, Default)]
pub struct HostList {
    /// The entries that can be used, by the host's name.
    pub entries: EntriesByHost,
    /// Those that can't be used.
    pub invalid_entries: Vec<InvalidEntry>,
    /// The datacentres that entries name.
    pub datacentres: BTreeSet<String>,
}

/// What a row of the list was parsed to.
#[derive(Debug)]
pub struct ParsedRow {
    datacentre: String,
    entry: Result<Arc<CatalogueEntry>, UnusableRow>,
}

/// A row that describes no host.
#[derive(Debug)]
struct UnusableRow {
    /// Its service id, as far as it can be read.
    name: String,
    reason: String,
}

/// The rows of the last list.
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

/// Reads a list of hosts in one go.
///
/// # Errors
///
/// The body as a whole is no list, or a too long one.
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
            Err(unusable) => {
                self.add_invalid(position, &unusable.name, unusable.reason.clone());
            }
        }
    }

    fn add_entry(&mut self, position: usize, entry: &Arc<CatalogueEntry>) {
        let name = &entry.host.name;
        let Some(other) = self.entries.get_mut(name) else {
            self.entries.insert(name.clone(), entry.clone());
            return;
        };
        // Two entries claim to be this host. Nothing shows which one is right, so the host gets nothing new.
        let reason = format!("its id stands on {} already", other.node);
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
            datacentre = shortened(&entry.node.datacenter);
            entry.into_entry(known)
        });
    ParsedRow {
        datacentre,
        entry: entry.map(Arc::new).map_err(|error| UnusableRow {
            name: shortened(&readable_id(raw)),
            reason: shortened(&error.to_string()),
        }),
    }
}

/// A text cut to its first characters, so that a list can't make the placer keep long ones.
fn shortened(text: &str) -> String {
    text.chars().take(MAX_TEXT_LENGTH).collect()
}

/// The service id of an entry whose other parts may be unreadable.
fn readable_id(raw: &str) -> String {
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
