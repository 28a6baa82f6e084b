//! The events of the command channel: numbered updates of the host list.

use serde::Deserialize;

/// A batch of events, as in responses of the channel and in the configuration.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
pub struct CommandBatch {
    /// The number of the last event.
    pub cursor: u64,
    /// The events, in order.
    #[serde(rename = "cmds", default)]
    pub commands: Vec<Command>,
}

/// An event of the command channel.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Command {
    /// The number of the event.
    pub cursor: u64,
    /// The update of the host list, if the event contains one.
    #[serde(rename = "nodes")]
    pub hosts: Option<HostListUpdate>,
}

/// An update of the host list.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct HostListUpdate {
    /// Whether the entries are the full list. Hosts that are absent from a full list were removed.
    #[serde(rename = "snapshot", default)]
    pub is_full: bool,
    /// The listed hosts.
    #[serde(rename = "endpoints")]
    pub entries: Vec<HostEntry>,
}

/// An entry of the host list.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct HostEntry {
    /// The name of the host, which identifies it.
    pub name: String,
    /// The address at which the host listens.
    pub address: String,
    /// The name of the host's zone.
    pub zone: String,
    /// The name of the machine type.
    #[serde(rename = "type", default)]
    pub kind: String,
    /// The cell of the host.
    #[serde(rename = "group", default)]
    pub cell: u32,
    /// The state of the host.
    pub status: HostStatus,
    /// When the host's process started, in Unix milliseconds, or 0 if that was long ago.
    #[serde(default)]
    pub since_ms: f64,
}

/// The state of a host in the list.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum HostStatus {
    /// The host accepts tasks.
    Active,
    /// The host drains: it finishes its tasks and accepts no new ones.
    Leaving,
    /// The host was removed.
    Left,
}

/// Decodes the body of a response of the command channel.
///
/// # Errors
///
/// Returns an error if the body is not valid JSON or does not describe a batch.
pub fn decode(body: &[u8]) -> Result<CommandBatch, serde_json::Error> {
    serde_json::from_slice(body)
}
