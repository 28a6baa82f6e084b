//! The membership of the placers: their `[fleet]` sections, and the counters of the datagrams that each has sent.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::path::Path;

use maplethread_capacity::{Direction, MessageCount, MessageKind};
use maplethread_config::FleetSettings as FleetSection;

use crate::error::ScaleError;

/// The fleet key, for loopback only.
const KEY: &str = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f";
const KEY_FILE: &str = "fleet.key";
/// Maximum number of members that are listed as seeds.
const MAX_SEEDS: usize = 3;
/// Bytes of the IPv4 and UDP headers of a datagram.
const HEADER_BYTES: u64 = 28;

/// The datagrams that a placer process has sent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct DatagramCounters {
    /// Identifies the process that counted them; a restarted placer counts from zero.
    incarnation: u64,
    count: u64,
    bytes: u64,
}

/// The membership view of one placer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MembershipStatus {
    /// Number of live members, including the placer itself.
    pub(crate) live_members: usize,
    pub(crate) sent: DatagramCounters,
}

/// Makes sections for members on free ports, and writes their key file to this folder; other settings have their defaults.
pub(crate) fn membership_sections(
    members: usize,
    folder: &Path,
) -> Result<Vec<FleetSection>, ScaleError> {
    let failed = || ScaleError::io("key file and ports of the membership");
    std::fs::write(folder.join(KEY_FILE), KEY).map_err(failed())?;
    // All sockets stay open until all addresses are read, so that no port is used twice.
    let sockets: Result<Vec<UdpSocket>, io::Error> = (0..members)
        .map(|_| UdpSocket::bind("127.0.0.1:0"))
        .collect();
    let addresses: Result<Vec<SocketAddr>, io::Error> = sockets
        .map_err(failed())?
        .iter()
        .map(UdpSocket::local_addr)
        .collect();
    let addresses = addresses.map_err(failed())?;
    let seeds: Vec<String> = addresses
        .iter()
        .take(MAX_SEEDS)
        .map(|address| format!("\"{address}\""))
        .collect();
    let seeds = seeds.join(", ");
    let section = |address: &SocketAddr| {
        let text =
            format!("listen = \"{address}\"\nseeds = [{seeds}]\nkey_file = \"{KEY_FILE}\"\n");
        toml::from_str(&text)
            .map_err(io::Error::other)
            .map_err(failed())
    };
    addresses.iter().map(section).collect()
}

/// Reads the membership view of the placer at this address.
pub(crate) fn fetch_membership(address: SocketAddr) -> Result<MembershipStatus, ScaleError> {
    let (_, view) = maplethread_placer::get_json(address, "/v1/fleet").map_err(ScaleError::io(
        format!("membership of the placer at {address}"),
    ))?;
    let members = view["members"].as_array().map_or(&[][..], Vec::as_slice);
    let live = 1 + members
        .iter()
        .filter(|member| member["state"] == "alive")
        .count();
    let number = |value: &serde_json::Value| value.as_u64().unwrap_or(0);
    let counters = &view["counters"];
    let (count, bytes) = (number(&counters["sent"]), number(&counters["sent_bytes"]));
    Ok(MembershipStatus {
        live_members: live,
        sent: DatagramCounters {
            incarnation: number(&view["life"]),
            count,
            bytes,
        },
    })
}

/// Datagrams of all placers between two snapshots; those of a process that ended in between are not counted.
pub(crate) fn datagrams_since(
    now: &[DatagramCounters],
    before: &[DatagramCounters],
) -> Option<MessageCount> {
    let (mut count, mut bytes) = (0, 0);
    for (now, before) in now.iter().zip(before) {
        let before = if now.incarnation == before.incarnation {
            *before
        } else {
            DatagramCounters::default()
        };
        count += now.count - before.count;
        bytes += now.bytes - before.bytes;
    }
    let wire_bytes = bytes + count * HEADER_BYTES;
    let (kind, direction) = (MessageKind::FleetDatagram, Direction::FromPlacer);
    (count > 0).then_some(MessageCount {
        kind,
        direction,
        count,
        payload_bytes: bytes,
        wire_bytes,
    })
}
