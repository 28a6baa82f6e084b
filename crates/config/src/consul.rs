//! Settings of Consul as the source of hosts and of the placer's slot.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde::{Deserialize, Serialize};

use crate::defaults as d;

/// Consul as the source of hosts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Consul")]
pub struct ConsulSettings {
    /// Servers or agents with Consul's HTTP API; they are tried one after the other.
    pub servers: Vec<SocketAddr>,
    /// The service under which hosts are registered.
    #[serde(default = "d::host_service")]
    pub service: String,
    /// The datacentre; lists of another one are rejected. If missing, that of the first list.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub datacentre: Option<String>,
    /// A file with the ACL token, relative to the settings file.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub token_file: Option<PathBuf>,
    /// Consistency mode of reads.
    #[serde(default)]
    #[serde(rename = "reads")]
    pub consistency: ReadConsistency,
    /// A filter expression for the hosts' entries.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub filter: Option<String>,
    /// Whether to read only the list's index between reads of the full list, to detect changes.
    #[serde(default = "d::enabled")]
    pub watch: bool,
    /// Maximum wait of a blocking query; at most half of `rules.ask_within_ms`.
    #[serde(default = "d::max_wait_ms")]
    #[serde(rename = "wait_ms")]
    pub max_wait_ms: u64,
    /// Interval between reads of the members of the gossip pool.
    #[serde(default = "d::member_read_interval_ms")]
    #[serde(rename = "members_every_ms")]
    pub member_read_interval_ms: u64,
    /// Maximum size of a response; longer ones are rejected.
    #[serde(default = "d::max_response_bytes")]
    #[serde(rename = "max_answer_bytes")]
    pub max_response_bytes: usize,
    /// How a host that becomes ready after repeated changes is suppressed.
    #[serde(default)]
    pub damping: DampingMode,
    /// Registration of the placers and leases of their slots; neither if missing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub membership: Option<SlotLeaseSettings>,
}

/// Consistency mode of reads.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", expecting = "enum Reads")]
pub enum ReadConsistency {
    /// Answered by the leader.
    #[default]
    Default,
    /// Answered by any server.
    Stale,
    /// Answered by the leader after it has verified that it leads.
    Consistent,
}

/// How a host that becomes ready after repeated changes is suppressed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", expecting = "enum Damping")]
pub enum DampingMode {
    /// By a penalty that decays over time.
    Penalty,
    /// Not at all.
    #[default]
    Off,
    /// Always for three seconds, as a baseline for comparisons.
    Hold,
}

/// Registration of the placers and leases of their slots.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Membership")]
pub struct SlotLeaseSettings {
    /// The service under which placers register.
    #[serde(default = "d::placer_service")]
    pub service: String,
    /// Prefix of the keys of the slots; `placer.placers` is the number of slots.
    #[serde(default = "d::slot_key_prefix")]
    #[serde(rename = "prefix")]
    pub key_prefix: String,
    /// TTL of the session and of the check; Consul requires at least 10 s.
    #[serde(default = "d::session_ttl_ms")]
    pub ttl_ms: u64,
    /// Consul's lock delay: how long after the end of a session its slot can't be acquired by another one.
    #[serde(default = "d::lock_delay_ms")]
    pub lock_delay_ms: u64,
}
