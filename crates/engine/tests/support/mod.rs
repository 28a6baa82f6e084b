//! Shared helpers of the engine's tests: settings, an inventory, and the bytes of requests and frames.

#![allow(dead_code)]

use maplethread_config::{Document, Inventory, PlacerConfig};
use maplethread_engine::StartInfo;
use maplethread_wire::frame::{self, Frame};

/// When engines start, µs.
pub const NOW: u64 = 1_700_000_000_000_000;

/// The settings of the example file.
pub fn config() -> PlacerConfig {
    PlacerConfig::parse(Document {
        file: "placer.toml",
        text: include_str!("../../../../config/placer.toml"),
    })
    .expect("the example settings are valid")
}

/// Start parameters for a start at [`NOW`] with a fixed seed.
pub fn start_info() -> StartInfo {
    StartInfo {
        started_ms: NOW / 1000,
        seed: 1,
    }
}

/// An inventory of hosts with these names in the first zone, each in a cell of its own.
pub fn inventory(config: &PlacerConfig, names: &[&str]) -> Inventory {
    let (kind, zone) = (&config.kinds[0].name, &config.identity.zones[0]);
    let hosts: Vec<String> = names
        .iter()
        .map(|name| {
            format!(
                "[[host]]\nname = \"{name}\"\naddress = \"127.0.0.1:1\"\nzone = \"{zone}\"\ncell = \"{name}\"\nkind = \"{kind}\"\n"
            )
        })
        .collect();
    let document = Document {
        file: "hosts",
        text: &hosts.concat(),
    };
    Inventory::parse(document, config).expect("valid inventory")
}

/// The greeting of a host whose process started at this Unix time in ms.
pub fn hello(name: &str, started_ms: u64) -> Frame {
    Frame::Hello {
        major: frame::MAJOR,
        minor: frame::MINOR,
        name: name.to_owned(),
        started_ms,
        max_offers: 0,
    }
}

/// Encodes frames as a host sends them.
pub fn encode(frames: &[Frame]) -> Vec<u8> {
    let mut bytes = Vec::new();
    for frame in frames {
        frame::encode(frame, &mut bytes);
    }
    bytes
}

/// A placement request with these header lines (each ended by CRLF) and this body.
pub fn post_actor(headers: &str, body: &str) -> String {
    format!(
        "POST /v1/actors HTTP/1.1\r\nHost: p\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
