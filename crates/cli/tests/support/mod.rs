//! A real placer process between scripted hosts and scripted clients, on free loopback ports.
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

/// Long enough for a slow machine; nothing waits so long when all is well.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// A placer with these hosts, all greeted and holding nothing, and its connections to them in the same order.
pub fn start_placer_with(hosts: &[&ScriptedHost]) -> (PlacerProcess, Vec<PlacerConnection>) {
    let mut placer = PlacerProcess::with_files(hosts, "");
    let wait_until_serving = placer.start();
    let connections = hosts.iter().map(|h| h.accept_and_greet(&[])).collect();
    wait_until_serving(&mut placer);
    (placer, connections)
}
