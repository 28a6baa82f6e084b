//! Helpers shared by the tests of the event loop.
#![allow(dead_code, reason = "each test file uses some of the helpers")]

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use maplethread_reactor::{Poller, Readiness};

/// How long a test waits for an expected event. Long enough for a slow machine.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// The loopback address with port 0, for which the system assigns a free port.
pub fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Waits until a readiness event of `token` for which `is_expected` is true, and returns it.
pub fn wait_for(
    poller: &Poller,
    token: u64,
    is_expected: impl Fn(&Readiness) -> bool,
) -> Readiness {
    let deadline = Instant::now() + TEST_TIMEOUT;
    let mut ready = Vec::new();
    loop {
        ready.clear();
        let remaining = deadline
            .checked_duration_since(Instant::now())
            .expect("the event arrives within the test timeout");
        poller.wait(Some(remaining), &mut ready).expect("epoll");
        if let Some(found) = ready.iter().find(|r| r.token == token && is_expected(r)) {
            return *found;
        }
    }
}
