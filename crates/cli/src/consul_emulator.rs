//! `maplethread consul-emulator`: emulated Consul servers on loopback.

use std::net::SocketAddr;
use std::process::ExitCode;

use maplethread_consul_emulator::{EmulatorSettings, Servers};

use crate::error::{CommandError, ErrorContext};

/// Runs the servers until they end.
///
/// # Errors
///
/// Returns an error if a server could not be started, or failed.
pub fn run(port: u16, servers: u16, lag_ms: u64) -> Result<ExitCode, CommandError> {
    let at = |n: u16| {
        let port = if port == 0 { 0 } else { port.saturating_add(n) };
        SocketAddr::from(([127, 0, 0, 1], port))
    };
    let settings = EmulatorSettings {
        listen: (0..servers.max(1)).map(at).collect(),
        lag_us: lag_ms * 1000,
        ..EmulatorSettings::new(1)
    };
    let servers = Servers::start(settings).in_step("servers")?;
    for address in &servers.addresses {
        println!("stand-in for Consul listening on {address}");
    }
    servers.join().in_step("servers")?;
    Ok(ExitCode::SUCCESS)
}
