//! The configuration with which the platform starts a placer.

use std::net::SocketAddr;

use serde::de::Error;
use serde::{Deserialize, Deserializer};
use serde_json::Value;

use crate::command_channel::CommandBatch;

/// The configuration of a placer.
#[derive(Clone, Debug, Deserialize)]
pub struct Config {
    /// The name of the placer, which stays the same after a restart.
    #[serde(default)]
    pub name: String,
    /// The address at which owners connect.
    pub listen: Option<SocketAddr>,
    /// The seed of the random generator, new with each start. Encoded as up to 16 hexadecimal digits.
    #[serde(deserialize_with = "deserialize_seed")]
    pub seed: u64,
    /// The resources that the placer may use.
    pub limits: ResourceLimits,
    /// The address of the command channel.
    #[serde(rename = "channel")]
    pub channel_address: SocketAddr,
    /// The events of the command channel up to the start.
    #[serde(rename = "known")]
    pub known_commands: CommandBatch,
    /// The settings object, decoded by the platform-settings crate.
    pub settings: Value,
}

/// The resources that a placer may use.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct ResourceLimits {
    /// CPU time, in cores.
    pub cores: f64,
    /// Memory, in megabytes.
    pub memory_mb: f64,
    /// The maximum number of open file descriptors.
    #[serde(rename = "sockets")]
    pub max_descriptors: usize,
}

impl Config {
    /// Parses a configuration.
    ///
    /// # Errors
    ///
    /// Returns an error with line, column and field if the text is not valid JSON or does not describe a configuration.
    pub fn parse(text: &str) -> Result<Config, serde_json::Error> {
        serde_json::from_str(text)
    }
}

fn deserialize_seed<'de, D: Deserializer<'de>>(from: D) -> Result<u64, D::Error> {
    let text = String::deserialize(from)?;
    u64::from_str_radix(&text, 16).map_err(|_| {
        D::Error::custom(format!(
            "field seed: expected up to 16 hexadecimal digits, got {text:?}"
        ))
    })
}
