//! Settings of the placers' membership protocol.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde::{Deserialize, Serialize};

use crate::defaults as d;

/// The placers' membership protocol.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Fleet")]
pub struct FleetSettings {
    /// The fleet's name, the same for all members. Datagrams of another fleet are rejected, even with the same key.
    #[serde(default = "d::fleet_name")]
    pub name: String,
    /// UDP address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Address that other members send to; `listen` if missing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advertise: Option<SocketAddr>,
    /// Addresses at which the placer looks for other members; they may contain its own.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// A file with the fleet's key, or with two keys while the key is changed; relative to the settings file. Reloaded
    /// when it changes.
    pub key_file: PathBuf,
    /// Interval between probes of members.
    #[serde(default = "d::probe_interval_ms")]
    #[serde(rename = "probe_every_ms")]
    pub probe_interval_ms: u64,
    /// Time within which a probed member has to answer; after it, other members are requested to probe the member.
    #[serde(default = "d::probe_timeout_ms")]
    #[serde(rename = "probe_within_ms")]
    pub probe_timeout_ms: u64,
    /// Number of members that are requested to probe a member that has not answered.
    #[serde(default = "d::indirect_probes")]
    #[serde(rename = "helpers")]
    pub indirect_probes: usize,
    /// Number of probe intervals within which a suspected member can refute the suspicion. It is multiplied by the
    /// decimal logarithm of the fleet's size if that is above 1.
    #[serde(default = "d::suspicion_multiplier")]
    #[serde(rename = "suspicion")]
    pub suspicion_multiplier: u32,
    /// Interval between messages that pass on changes.
    #[serde(default = "d::gossip_interval_ms")]
    #[serde(rename = "gossip_every_ms")]
    pub gossip_interval_ms: u64,
    /// Interval between comparisons of the view with that of another member.
    #[serde(default = "d::sync_interval_ms")]
    #[serde(rename = "sync_every_ms")]
    pub sync_interval_ms: u64,
    /// Interval between attempts to reach seeds and members that are considered down.
    #[serde(default = "d::discovery_interval_ms")]
    #[serde(rename = "seek_every_ms")]
    pub discovery_interval_ms: u64,
    /// Time after which members that left or are down are removed from the view.
    #[serde(default = "d::retention_s")]
    #[serde(rename = "forget_after_s")]
    pub retention_s: u64,
    /// Maximum number of members, including those that left or are down; further ones are rejected.
    #[serde(default = "d::max_members")]
    pub max_members: usize,
}
