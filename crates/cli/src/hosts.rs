//! `maplethread host`: emulated hosts for trying a placer by hand.

use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use maplethread_config::{Document, parse_toml};
use maplethread_emulator::scenario_run;
use serde::Deserialize;

use crate::error::{CommandError, ErrorContext};
use crate::fault_run::read_scenario;

/// A file that says which emulated hosts to run.
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
    /// Fleet, kinds, classes and rules, as in a scenario; `demand` and `trouble` (the faults) play no part.
    pub scenario: std::path::PathBuf,
}

/// Reads the file.
fn load(path: &Path) -> Result<HostsConfig, CommandError> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).in_file(path)?;
    let mut config: HostsConfig = parse_toml(Document {
        file: &file,
        text: &text,
    })
    .in_library()?;
    if let Some(folder) = path.parent() {
        config.inventory = folder.join(&config.inventory);
        config.scenario = folder.join(&config.scenario);
    }
    Ok(config)
}

/// Addresses of so many hosts.
fn listen_addresses(config: &HostsConfig, count: usize) -> Vec<SocketAddr> {
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

/// Runs emulated hosts until they are stopped.
///
/// # Errors
///
/// What is wrong with a file, or what kept the hosts from running.
pub fn run(file: &Path) -> Result<ExitCode, CommandError> {
    let config = load(file)?;
    let scenario = Arc::new(read_scenario(&config.scenario)?);
    let addresses = listen_addresses(&config, scenario.fleet.hosts);
    scenario_run::run_hosts(&scenario, &addresses, config.seed, &config.inventory)
        .in_step("hosts")?;
    Ok(ExitCode::SUCCESS)
}
