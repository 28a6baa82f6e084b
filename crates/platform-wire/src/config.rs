//! The configuration that the platform gives a placer at its start.

use std::net::SocketAddr;

use serde::Deserialize;
use serde_json::Value;

use crate::channel::Batch;

/// What a placer is told.
#[derive(Clone, Debug, Deserialize)]
pub struct Config {
    /// Its name, the same after a restart.
    #[serde(default)]
    pub name: String,
    /// Where owners connect.
    pub listen: Option<SocketAddr>,
    /// For random numbers, 16 hex digits; new with each start.
    pub seed: String,
    /// Its limits.
    pub limits: Limits,
    /// Where the command channel is.
    pub channel: SocketAddr,
    /// The channel's events up to now.
    pub known: Batch,
    /// The settings object.
    pub settings: Value,
}

/// What the platform leaves a placer.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Limits {
    /// Share of a core.
    pub cores: f64,
    /// Memory, MB.
    pub memory_mb: f64,
    /// Descriptors.
    pub sockets: usize,
}

impl Config {
    /// Reads a configuration; the error names line, column and field.
    pub fn parse(text: &str) -> Result<Config, String> {
        let config: Config = serde_json::from_str(text).map_err(|e| e.to_string())?;
        match config.seed_number() {
            Some(_) => Ok(config),
            None => Err(format!("field seed: expected up to 16 hex digits, not {:?}", config.seed)),
        }
    }

    fn seed_number(&self) -> Option<u64> {
        u64::from_str_radix(&self.seed, 16).ok()
    }

    /// The seed.
    pub fn seed(&self) -> u64 {
        self.seed_number().unwrap_or_default()
    }
}
