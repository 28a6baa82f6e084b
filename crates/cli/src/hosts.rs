//! `maplethread host`: emulated hosts for manual tests of a placer.

use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use maplethread_config::{Document, parse_toml};
use maplethread_emulator::scenario_run;
use serde::Deserialize;

use crate::error::{CommandError, ErrorContext};
use crate::fault_run::read_scenario;

/// The settings file of `maplethread host`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostsConfig {
    /// The file to which the placers' inventory is written.
    pub inventory: std::path::PathBuf,
    /// Seed of the random numbers.
    #[serde(default)]
    pub seed: u64,
    /// Port of the first host on 127.0.0.1, followed by those of the others; 0 selects free ports.
    #[serde(default)]
    pub first_port: u16,
    /// A scenario file, of which fleet, kinds, classes and rules apply; `demand` and `trouble` (the faults) are ignored.
    pub scenario: std::path::PathBuf,
}

/// Reads the settings file; paths in it are relative to its folder.
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

/// Listen addresses of `count` hosts.
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
/// Returns an error if a file is not valid or the hosts could not be run.
pub fn run(file: &Path) -> Result<ExitCode, CommandError> {
    let config = load(file)?;
    let scenario = Arc::new(read_scenario(&config.scenario)?);
    let addresses = listen_addresses(&config, scenario.fleet.hosts);
    scenario_run::run_hosts(&scenario, &addresses, config.seed, &config.inventory)
        .in_step("hosts")?;
    Ok(ExitCode::SUCCESS)
}
