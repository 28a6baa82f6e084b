//! Settings of the placers' own view of their fleet.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde::{Deserialize, Serialize};

use crate::defaults as d;

/// The placers' own view of their fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Fleet")]
pub struct FleetSettings {
    /// The fleet's name, the same at all its members; another fleet's datagrams are not taken, with one key too.
    #[serde(default = "d::fleet_name")]
    pub name: String,
    /// Where it listens, UDP; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Where others send to it; where missing, the address at which it listens.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advertise: Option<SocketAddr>,
    /// Where it looks for others; its own address among them does no harm.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// A file with the fleet's key, or with two while it is changed; relative to the settings file. Read again when it
    /// changes.
    pub key_file: PathBuf,
    /// A member is tested this often.
    #[serde(default = "d::probe_every")]
    #[serde(rename = "probe_every_ms")]
    pub probe_interval_ms: u64,
    /// It has so long to answer before others are asked to test it.
    #[serde(default = "d::probe_within")]
    #[serde(rename = "probe_within_ms")]
    pub probe_timeout_ms: u64,
    /// So many others are asked.
    #[serde(default = "d::helpers")]
    #[serde(rename = "helpers")]
    pub indirect_probes: usize,
    /// A suspect has so many periods of tests to refute, times the decimal logarithm of the fleet, at least so many.
    #[serde(default = "d::suspicion")]
    #[serde(rename = "suspicion")]
    pub suspicion_multiplier: u32,
    /// News are passed on this often.
    #[serde(default = "d::gossip_every")]
    #[serde(rename = "gossip_every_ms")]
    pub gossip_interval_ms: u64,
    /// A member is asked this often whether it sees the same fleet.
    #[serde(default = "d::sync_every")]
    #[serde(rename = "sync_every_ms")]
    pub sync_interval_ms: u64,
    /// Seeds, and members thought down, are tried again this often.
    #[serde(default = "d::seek_every")]
    #[serde(rename = "seek_every_ms")]
    pub discovery_interval_ms: u64,
    /// Members that are gone are forgotten after this.
    #[serde(default = "d::forget_after")]
    #[serde(rename = "forget_after_s")]
    pub retention_s: u64,
    /// Members at a time, those that are gone included; further ones are not taken in.
    #[serde(default = "d::max_members")]
    pub max_members: usize,
}
