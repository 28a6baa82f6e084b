//! The configuration that the platform gives a placer at its start.

use std::net::SocketAddr;

use serde::de::Error;
use serde::{Deserialize, Deserializer};
use serde_json::Value;

use crate::command_channel::CommandBatch;

/// What a placer is told.
#[derive(Clone, Debug, Deserialize)]
pub struct Config {
    /// Its name, the same after a restart.
    #[serde(default)]
    pub name: String,
    /// Where owners connect.
    pub listen: Option<SocketAddr>,
    /// For random numbers; new with each start, and given as up to 16 hex digits.
    #[serde(deserialize_with = "seed")]
    pub seed: u64,
    /// Its limits.
    pub limits: ResourceLimits,
    /// Where the command channel is.
    #[serde(rename = "channel")]
    pub channel_address: SocketAddr,
    /// The channel's events up to now.
    #[serde(rename = "known")]
    pub known_commands: CommandBatch,
    /// The settings object.
    pub settings: Value,
}

/// What the platform leaves a placer.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct ResourceLimits {
    /// Share of a core.
    pub cores: f64,
    /// Memory, MB.
    pub memory_mb: f64,
    /// Descriptors.
    #[serde(rename = "sockets")]
    pub max_descriptors: usize,
}

impl Config {
    /// Reads a configuration; the error names line, column and field.
    pub fn parse(text: &str) -> Result<Config, String> {
        serde_json::from_str(text).map_err(|e| e.to_string())
    }
}

fn seed<'de, D: Deserializer<'de>>(from: D) -> Result<u64, D::Error> {
    let text = String::deserialize(from)?;
    let wrong = |_| {
        D::Error::custom(format!(
            "field seed: expected up to 16 hex digits, not {text:?}"
        ))
    };
    u64::from_str_radix(&text, 16).map_err(wrong)
}
