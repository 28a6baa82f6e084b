//! The command channel's events: numbered changes of the list of hosts.

use serde::Deserialize;

/// Events up to a number, as the channel answers and as the configuration holds them.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
pub struct CommandBatch {
    /// The number of the last event.
    pub cursor: u64,
    /// The events, in order.
    #[serde(default)]
    pub cmds: Vec<Command>,
}

/// One event.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Command {
    /// Its number.
    pub cursor: u64,
    /// Hosts that changed, or all.
    #[serde(rename = "nodes")]
    pub hosts: Option<HostListUpdate>,
}

/// Entries of the list of hosts.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct HostListUpdate {
    /// These are all hosts.
    #[serde(default)]
    pub snapshot: bool,
    /// The entries.
    #[serde(rename = "endpoints")]
    pub entries: Vec<HostEntry>,
}

/// A host, as listed.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct HostEntry {
    /// Its id.
    pub name: String,
    /// Where it listens.
    pub address: String,
    /// The name of its zone.
    pub zone: String,
    /// The name of its kind.
    #[serde(rename = "type", default)]
    pub kind: String,
    /// Its cell.
    #[serde(default)]
    pub group: u32,
    /// Its state.
    pub status: HostStatus,
    /// When it started, Unix ms, if that was not long ago; else 0.
    #[serde(default)]
    pub since_ms: f64,
}

/// What the channel says of a host.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum HostStatus {
    /// It takes tasks.
    Active,
    /// It finishes its work.
    Leaving,
    /// It was removed.
    Left,
}

/// Reads an answer of the channel.
pub fn decode(body: &[u8]) -> Result<CommandBatch, serde_json::Error> {
    serde_json::from_slice(body)
}
