//! The configuration that the platform gives a placer at its start.

use std::net::SocketAddr;

use serde::de::Error;
use serde::{Deserialize, Deserializer};
use serde_json::Value;

use crate::command_channel::CommandBatch;

/// The configuration of a placer.
#[derive(Clone, Debug, Deserialize)]
pub struct Config {
    /// Its name, the same after a restart.
    #[serde(default)]
    pub name: String,
    /// The address at which owners connect.
    pub listen: Option<SocketAddr>,
    /// The seed of random numbers; new with each start, and given as up to 16 hexadecimal digits.
    #[serde(deserialize_with = "deserialize_seed")]
    pub seed: u64,
    /// The resources that the placer may use.
    pub limits: ResourceLimits,
    /// The address of the command channel.
    #[serde(rename = "channel")]
    pub channel_address: SocketAddr,
    /// The channel's events up to now.
    #[serde(rename = "known")]
    pub known_commands: CommandBatch,
    /// The settings object.
    pub settings: Value,
}

/// The resources that the platform leaves a placer.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct ResourceLimits {
    /// Processor time, in cores.
    pub cores: f64,
    /// Memory, in megabytes.
    pub memory_mb: f64,
    /// File descriptors.
    #[serde(rename = "sockets")]
    pub max_descriptors: usize,
}

impl Config {
    /// Parses a configuration.
    ///
    /// # Errors
    ///
    /// Returns an error that names line, column and field if the text is no JSON object of this form.
    pub fn parse(text: &str) -> Result<Config, serde_json::Error> {
        serde_json::from_str(text)
    }
}

fn deserialize_seed<'de, D: Deserializer<'de>>(from: D) -> Result<u64, D::Error> {
    let text = String::deserialize(from)?;
    u64::from_str_radix(&text, 16).map_err(|_| {
        D::Error::custom(format!(
            "field seed: expected up to 16 hex digits, not {text:?}"
        ))
    })
}
