//! What the tests of the event loop share.
#![allow(dead_code, reason = "each test file uses a part")]

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use maplethread_reactor::{Poller, Readiness};

/// Long enough for a slow machine; nothing waits so long when all is well.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// Any free port on loopback.
pub fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Waits until a token is reported with a readiness that is wanted.
pub fn wait_for(poller: &Poller, token: u64, is_wanted: impl Fn(&Readiness) -> bool) -> Readiness {
    let deadline = Instant::now() + PATIENCE;
    let mut ready = Vec::new();
    loop {
        ready.clear();
        let left = deadline
            .checked_duration_since(Instant::now())
            .expect("the readiness comes in time");
        poller.wait(Some(left), &mut ready).expect("epoll");
        if let Some(found) = ready.iter().find(|r| r.token == token && is_wanted(r)) {
            return *found;
        }
    }
}
