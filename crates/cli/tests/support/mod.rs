//! A real placer process with scripted hosts and clients, on free loopback ports.
#![allow(dead_code, unused_imports, reason = "each test file uses a part")]

mod client;
mod documented_api;
mod host;
mod placer;

use std::time::Duration;

pub use client::{Client, placement_request};
pub use documented_api::DocumentedApi;
pub use host::{PlacerConnection, ScriptedHost, wait_for_offer};
pub use placer::{CLASSES, PlacerProcess};

/// The limit for one wait of a test, long enough for slow machines; a passing test does not reach it.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Starts a placer with these hosts, which hold no tasks. Returns it with its connections to the hosts, in the same order.
pub fn start_placer_with(hosts: &[&ScriptedHost]) -> (PlacerProcess, Vec<PlacerConnection>) {
    let mut placer = PlacerProcess::with_files(hosts, "");
    let wait_until_serving = placer.start();
    let connections = hosts.iter().map(|h| h.accept_and_greet(&[])).collect();
    wait_until_serving(&mut placer);
    (placer, connections)
}
