//! Settings of Consul as the source of hosts and of the placer's slot.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde::{Deserialize, Serialize};

use crate::defaults as d;

/// Consul as the source of hosts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Consul")]
pub struct ConsulSettings {
    /// Servers or agents that speak the HTTP API; one after the other is tried.
    pub servers: Vec<SocketAddr>,
    /// The service under which hosts are registered.
    #[serde(default = "d::host_service")]
    pub service: String,
    /// The datacentre; answers of another one are not taken. Where missing, that of the first answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub datacentre: Option<String>,
    /// A file with the ACL token, relative to the settings file.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub token_file: Option<PathBuf>,
    /// How consistent reads are.
    #[serde(default)]
    #[serde(rename = "reads")]
    pub consistency: ReadConsistency,
    /// A filter expression for the hosts' entries.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub filter: Option<String>,
    /// Between reads of the whole list, wait for its index alone to move.
    #[serde(default = "d::enabled")]
    pub watch: bool,
    /// A blocking query waits so long for news; at most half of `rules.ask_within_ms`.
    #[serde(default = "d::wait")]
    #[serde(rename = "wait_ms")]
    pub max_wait_ms: u64,
    /// The members of the gossip pool are read this often.
    #[serde(default = "d::members_every")]
    #[serde(rename = "members_every_ms")]
    pub member_read_interval_ms: u64,
    /// A longer answer is refused.
    #[serde(default = "d::max_answer")]
    #[serde(rename = "max_answer_bytes")]
    pub max_response_bytes: usize,
    /// How good news after repeated changes is held back.
    #[serde(default)]
    pub damping: DampingMode,
    /// The placers' own membership.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub membership: Option<SlotLeaseSettings>,
}

/// How consistent reads are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", expecting = "enum Reads")]
pub enum ReadConsistency {
    /// By the leader.
    #[default]
    Default,
    /// By any server.
    Stale,
    /// By a leader that verified itself.
    Consistent,
}

/// How good news after repeated changes is held back.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", expecting = "enum Damping")]
pub enum DampingMode {
    /// By a penalty that decays.
    Penalty,
    /// Not at all.
    #[default]
    Off,
    /// Always for three seconds; for comparison.
    Hold,
}

/// The placers' own membership.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Membership")]
pub struct SlotLeaseSettings {
    /// The service under which placers register.
    #[serde(default = "d::placer_service")]
    pub service: String,
    /// Keys of the slots lie under this prefix; `placer.placers` is their number.
    #[serde(default = "d::slots_prefix")]
    #[serde(rename = "prefix")]
    pub key_prefix: String,
    /// TTL of the session and of the check, at least 10 s as Consul has it.
    #[serde(default = "d::ttl")]
    pub ttl_ms: u64,
    /// Nobody takes the slot of a lost session for so long.
    #[serde(default = "d::lock_delay")]
    pub lock_delay_ms: u64,
}
