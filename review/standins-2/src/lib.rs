//! Stand-ins for the review's scripts: hosts, owners and the command channel of the operators' platform, written from the
//! protocol page, and a starter for the placer. Only the standard library is used; every address is a loopback address.

pub mod channel;
pub mod host;
pub mod owner;
pub mod placer;
pub mod record;
pub mod settings;

use std::time::{Duration, Instant};

/// Whether the disruption is played (`TROUBLE=0` leaves it out).
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Waits until `is_done` holds. Returns whether it did within the time.
pub fn wait_for(time: Duration, mut is_done: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + time;
    loop {
        if is_done() {
            return true;
        }
        if Instant::now() >= end {
            return false;
        }
        std::thread::sleep(Duration::from_millis(2));
    }
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// The Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |time| time.as_millis() as u64)
}

/// Small deterministic random numbers.
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }
}
