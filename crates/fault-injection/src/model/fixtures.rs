//! Addresses, names, keys and facts of the model's members.

use std::net::SocketAddr;

use maplethread_membership::{Facts, KeyRing};

/// The fleet's key.
pub const KEY: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";

/// The address of a place.
pub fn address(place: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (place >> 8) as u8, place as u8], 7946))
}

pub(super) fn place_of(address: SocketAddr) -> Option<usize> {
    match address {
        SocketAddr::V4(v4) if v4.port() == 7946 && v4.ip().octets()[..2] == [10, 0] => {
            let [_, _, high, low] = v4.ip().octets();
            Some(usize::from(high) << 8 | usize::from(low))
        }
        _ => None,
    }
}

/// A member's name.
pub fn member_name(n: usize) -> String {
    format!("p-{n}")
}

/// Keys from text that is known to be sound.
pub fn keys(text: &str) -> KeyRing {
    KeyRing::parse(text, "model").expect("sound keys")
}

/// Facts of a usual member.
pub fn facts(started_ms: u64) -> Facts {
    let text = |t: &str| t.to_owned().try_into().expect("sound");
    Facts {
        version: text("0.2.0"),
        zone: text("a"),
        started_ms,
        is_draining: false,
        replica_index: None,
        load_percent: 0,
    }
}
