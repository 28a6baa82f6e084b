//! Addresses, names, keys and facts of the members in the model.

use std::net::SocketAddr;

use maplethread_membership::{Facts, KeyRing};

/// The fleet's key.
pub const KEY: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";

/// The address of a node.
pub fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (node >> 8) as u8, node as u8], 7946))
}

pub(super) fn node_of(address: SocketAddr) -> Option<usize> {
    match address {
        SocketAddr::V4(v4) if v4.port() == 7946 && v4.ip().octets()[..2] == [10, 0] => {
            let [_, _, high, low] = v4.ip().octets();
            Some(usize::from(high) << 8 | usize::from(low))
        }
        _ => None,
    }
}

/// The name of a member.
pub fn member_name(n: usize) -> String {
    format!("p-{n}")
}

/// Parses keys.
///
/// # Panics
///
/// If the text is not a valid key ring.
pub fn keys(text: &str) -> KeyRing {
    KeyRing::parse(text, "model").expect("the keys are valid")
}

/// Facts of a typical member.
pub fn facts(started_ms: u64) -> Facts {
    let text = |t: &str| t.to_owned().try_into().expect("the text is valid");
    Facts {
        version: text("0.2.0"),
        zone: text("a"),
        started_ms,
        is_draining: false,
        replica_index: None,
        load_percent: 0,
    }
}
