//! The command channel's events: numbered changes of the list of hosts.

use serde::Deserialize;

/// All events up to a number, as the channel answers and as the configuration holds them.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
pub struct CommandBatch {
    /// The number of the last event.
    pub cursor: u64,
    /// The events, in order.
    #[serde(rename = "cmds", default)]
    pub commands: Vec<Command>,
}

/// One event of the channel.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Command {
    /// Its number.
    pub cursor: u64,
    /// The change of the list of hosts, if the event is one.
    #[serde(rename = "nodes")]
    pub hosts: Option<HostListUpdate>,
}

/// Entries of the list of hosts.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct HostListUpdate {
    /// Whether the entries are all hosts; hosts that are absent from a full list are gone.
    #[serde(rename = "snapshot", default)]
    pub is_full: bool,
    /// The entries.
    #[serde(rename = "endpoints")]
    pub entries: Vec<HostEntry>,
}

/// One host of the list.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct HostEntry {
    /// Its id.
    pub name: String,
    /// The address at which it listens.
    pub address: String,
    /// The name of its zone.
    pub zone: String,
    /// The name of its kind of machine.
    #[serde(rename = "type", default)]
    pub kind: String,
    /// Its cell.
    #[serde(rename = "group", default)]
    pub cell: u32,
    /// Its state.
    pub status: HostStatus,
    /// When it started, in Unix milliseconds, if that was not long ago; otherwise 0.
    #[serde(default)]
    pub since_ms: f64,
}

/// The state of a host in the list.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum HostStatus {
    /// It accepts tasks.
    Active,
    /// It drains: it finishes its tasks and accepts no new ones.
    Leaving,
    /// It was removed.
    Left,
}

/// Decodes the body of an answer of the channel.
///
/// # Errors
///
/// Returns an error if the body is no JSON object of this form.
pub fn decode(body: &[u8]) -> Result<CommandBatch, serde_json::Error> {
    serde_json::from_slice(body)
}
