//! `maplethread host`: stand-in hosts for trying a placer by hand.

use std::net::SocketAddr;
use std::path::Path;

use maplethread_config::{Document, parse_toml};
use serde::Deserialize;

/// A file that says which stand-in hosts to run.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostsConfig {
    /// Where the inventory that placers read is written.
    pub inventory: std::path::PathBuf,
    /// Seed of all that is drawn.
    #[serde(default)]
    pub seed: u64,
    /// The first port of the hosts, which listen on 127.0.0.1; 0 for free ones.
    #[serde(default)]
    pub first_port: u16,
    /// Fleet, kinds, classes and rules, as in a scenario; `demand` and `trouble` play no part.
    pub scenario: std::path::PathBuf,
}

/// Reads the file.
pub fn load(path: &Path) -> Result<HostsConfig, String> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| format!("{file}: {e}"))?;
    let mut config: HostsConfig = parse_toml(Document {
        file: &file,
        text: &text,
    })
    .map_err(|e| e.to_string())?;
    if let Some(folder) = path.parent() {
        config.inventory = folder.join(&config.inventory);
        config.scenario = folder.join(&config.scenario);
    }
    Ok(config)
}

/// Addresses of so many hosts.
pub fn listen_addresses(config: &HostsConfig, count: usize) -> Vec<SocketAddr> {
    let port = |n: usize| {
        if config.first_port == 0 {
            0
        } else {
            config.first_port.saturating_add(n as u16)
        }
    };
    (0..count)
        .map(|n| SocketAddr::from(([127, 0, 0, 1], port(n))))
        .collect()
}
